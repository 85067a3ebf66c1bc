/* Which drains of upstreams the heartbeats between entries carry. */

#include <check.h>
#include <stdlib.h>

#include "steer/drain-table.h"

#define N_DRAINS 3
/* More heartbeats than carry a change with priority. */
#define N_HEARTBEATS 40

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

START_TEST (test_heartbeat_carries_each_drain_once_if_all_fit)
{
  for (guint i = 0; i < N_HEARTBEATS; i++)
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

START_TEST (test_heartbeats_carry_all_drains_in_turn)
{
  gboolean carried[ANVIL_MAX_GOSSIP_DRAINS * 2 + 1] = { FALSE };
  guint n_carried = 0;

  for (guint64 upstream = N_DRAINS + 1; upstream < G_N_ELEMENTS (carried); upstream++)
    anvil_drain_table_observe (table, ANVIL_SECOND, upstream, ANVIL_DRAIN_FROM_UPSTREAM, TRUE);
  for (guint i = 0; i < N_HEARTBEATS * ANVIL_MAX_GOSSIP_DRAINS; i++)
    {
      anvil_gossip_t gossip = { 0 };

      anvil_drain_table_fill_gossip (table, &gossip);
      for (guint k = 0; k < gossip.n_drains; k++)
        {
          n_carried += !carried[gossip.drains[k].upstream];
          carried[gossip.drains[k].upstream] = TRUE;
        }
    }
  ck_assert_uint_eq (n_carried, G_N_ELEMENTS (carried) - 1);
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
  tcase_add_test (tests, test_heartbeat_carries_each_drain_once_if_all_fit);
  tcase_add_test (tests, test_heartbeats_carry_all_drains_in_turn);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
