/* Upstreams that left are not used by entries that lack part of the knowledge: one that was
 * restarted since, and one that the store doesn't answer. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <string.h>

#include "anvil/clock.h"

#define N_ENTRIES 3
/* More than one upstream has slots. */
#define N_REQUESTS 9
/* Until an entry has noticed that the store doesn't answer it. */
#define NOTICE_LOSS_US 2000000
/* The platform's contract: no request reaches an upstream later than this after its row is gone. */
#define MAX_DRAIN_DELAY_US 2500000

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static fleet_proxy_t *proxies[N_ENTRIES];
static guint holder;

/* Entries with a connection to the store each, an upstream that stays, and one that leaves. The
 * latter writes its row only once, so that the test can remove it while it still serves. */
static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "stays", "photos", NULL);
  fleet_add_upstream (&fleet, "leaves", "photos", "--heartbeat-ms 1000000");
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      proxies[i] = fleet_add_store_proxy (&fleet, 0);
      fleet.entry_store_endpoint = proxies[i]->endpoint;
      entries[i] = fleet_add_entry (&fleet, name, "west-a");
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
  g_usleep (NOTICE_LOSS_US);
  holder = fleet_find_holder (&fleet, "photos");
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
remove_upstream_while_holder_is_cut_off (void)
{
  kill (proxies[holder]->pid, SIGSTOP);
  g_usleep (NOTICE_LOSS_US);
  fleet_put_row (&fleet, "servers", "leaves", NULL);
}

/* The restarted entry never knew the upstream, and the holder doesn't know that it left. */
START_TEST (test_a_restarted_entry_does_not_use_an_upstream_that_left)
{
  fleet_entry_t *restarted = entries[(holder + 1) % N_ENTRIES];

  remove_upstream_while_holder_is_cut_off ();
  fleet_kill_entry (restarted, SIGKILL);
  fleet_start_entry (&fleet, restarted);
  fleet_wait_ready (restarted);
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_eq (fleet_count_responses_of (restarted, "leaves", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_an_entry_without_the_store_learns_from_its_peers_that_an_upstream_left)
{
  remove_upstream_while_holder_is_cut_off ();
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[holder], "leaves", N_REQUESTS), 0);
}
END_TEST

/* The entry reads the store itself again once that answers. */
START_TEST (test_an_entry_that_the_store_answers_again_knows_of_new_upstreams)
{
  remove_upstream_while_holder_is_cut_off ();
  g_usleep (MAX_DRAIN_DELAY_US);
  for (guint i = 0; i < N_ENTRIES; i++)
    kill (proxies[i]->pid, i == holder ? SIGCONT : SIGSTOP);
  g_usleep (NOTICE_LOSS_US);
  fleet_add_upstream (&fleet, "new", "photos", NULL);
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_gt (fleet_count_responses_of (entries[holder], "new", N_REQUESTS), 0);
}
END_TEST

static gdouble
upstreams_age_s (const fleet_entry_t *entry)
{
  char *response = fleet_request (entry->metrics_port, "GET", "/metrics", "age");
  const char *line = strstr (response, "\nanvil_upstreams_age_seconds ");
  gdouble age;

  ck_assert_ptr_nonnull (line);
  age = g_ascii_strtod (line + strlen ("\nanvil_upstreams_age_seconds "), NULL);
  g_free (response);
  return age;
}

/* The reader of the region is one of the entries. Its last read must not keep the others from
 * reading the store in time. */
START_TEST (test_entries_whose_reader_is_cut_off_read_the_store_in_time)
{
  for (guint cut = 0; cut < N_ENTRIES; cut++)
    {
      const anvil_time_t until = anvil_clock_now () + 4 * ANVIL_SECOND;

      kill (proxies[cut]->pid, SIGSTOP);
      while (anvil_clock_now () < until)
        {
          for (guint i = 0; i < N_ENTRIES; i++)
            {
              const gdouble age = i != cut ? upstreams_age_s (entries[i]) : 0;

              ck_assert_msg (age < MAX_DRAIN_DELAY_US / 1e6,
                             "entry %u knows upstreams as of %.2f s ago, %u is cut off", i, age,
                             cut);
            }
          g_usleep (10000);
        }
      kill (proxies[cut]->pid, SIGCONT);
      g_usleep (NOTICE_LOSS_US);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-drains");
  TCase *tests = tcase_create ("relay-drains");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_a_restarted_entry_does_not_use_an_upstream_that_left);
  tcase_add_test (tests,
                  test_an_entry_without_the_store_learns_from_its_peers_that_an_upstream_left);
  tcase_add_test (tests, test_an_entry_that_the_store_answers_again_knows_of_new_upstreams);
  tcase_add_test (tests, test_entries_whose_reader_is_cut_off_read_the_store_in_time);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
