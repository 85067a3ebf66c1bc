/* What entries tell each other of upstreams that drain. */

#include <check.h>
#include <stdlib.h>

#include "steer/drain-table.h"

#define N_DRAINS 3
/* More heartbeats than news is carried as news. */
#define MANY_HEARTBEATS 40

static anvil_drain_table_t *table;

static void
set_up (void)
{
  table = anvil_drain_table_new ();
  for (guint64 upstream = 1; upstream <= N_DRAINS; upstream++)
    anvil_drain_table_observe (table, ANVIL_SECOND, upstream, ANVIL_DRAIN_FROM_UPSTREAM, TRUE);
}

static void
tear_down (void)
{
  anvil_drain_table_drop (table);
}

START_TEST (test_every_heartbeat_carries_all_drains_that_fit_once)
{
  for (guint i = 0; i < MANY_HEARTBEATS; i++)
    {
      anvil_gossip_t gossip = { 0 };
      guint64 sum = 0;

      anvil_drain_table_fill_gossip (table, &gossip);
      for (guint k = 0; k < gossip.n_drains; k++)
        sum += gossip.drains[k].upstream;
      ck_assert_msg (gossip.n_drains == N_DRAINS && sum == 1 + 2 + 3, "heartbeat %u carries %u", i,
                     gossip.n_drains);
    }
}
END_TEST

START_TEST (test_drains_beyond_one_heartbeat_take_turns)
{
  gboolean told[ANVIL_MAX_GOSSIP_DRAINS * 2 + 1] = { FALSE };
  guint n_told = 0;

  for (guint64 upstream = N_DRAINS + 1; upstream < G_N_ELEMENTS (told); upstream++)
    anvil_drain_table_observe (table, ANVIL_SECOND, upstream, ANVIL_DRAIN_FROM_UPSTREAM, TRUE);
  for (guint i = 0; i < MANY_HEARTBEATS * ANVIL_MAX_GOSSIP_DRAINS; i++)
    {
      anvil_gossip_t gossip = { 0 };

      anvil_drain_table_fill_gossip (table, &gossip);
      for (guint k = 0; k < gossip.n_drains; k++)
        {
          n_told += !told[gossip.drains[k].upstream];
          told[gossip.drains[k].upstream] = TRUE;
        }
    }
  ck_assert_uint_eq (n_told, G_N_ELEMENTS (told) - 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("drains");
  TCase *tests = tcase_create ("drains");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_every_heartbeat_carries_all_drains_that_fit_once);
  tcase_add_test (tests, test_drains_beyond_one_heartbeat_take_turns);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
