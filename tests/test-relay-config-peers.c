/* An entry that can't get a configuration from the store in time gets it from its peers, or knows
 * that it lacks it. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

/* The configuration takes five seconds of the link. */
#define LINK_BYTES_PER_SECOND 150000
#define N_ROUTES 1600
/* More than a peer sends. */
#define N_TOO_MANY_ROUTES 6000
/* The least configApplyMs of a deployment. */
#define APPLY_TIME (2500 * ANVIL_MS)
#define LOAD_TIMEOUT (30 * ANVIL_SECOND)
#define POLL_US 20000
/* Until all entries know the region's reader. */
#define SETTLE_US 3000000ul
/* Six entries that ask once a second would make 18 calls in this time. The reader's are held for
 * 1.2 s, the next in rank makes one a second, and one or two more are made around the limits. */
#define COUNT_US 3000000ul
#define MAX_CALLS 9

static fleet_t fleet;
static fleet_proxy_t *proxy;
static fleet_entry_t *peer;
static fleet_entry_t *entry;

static void
open_fleet (guint bytes_per_second)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "west", "photos", NULL);
  fleet_configure (&fleet, NULL);
  peer = fleet_add_entry (&fleet, "e0", "west-a");
  proxy = fleet_add_store_proxy (&fleet, bytes_per_second);
  fleet.entry_store_endpoint = proxy->endpoint;
  entry = fleet_add_entry (&fleet, "e1", "west-b");
  fleet_wait_ready (peer);
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static gboolean
wait_for_version (const fleet_entry_t *waiting, anvil_time_t timeout)
{
  anvil_time_t until = anvil_clock_now () + timeout;

  while (fleet_read_metric (waiting, "anvil_routes_version") != fleet.version)
    {
      if (anvil_clock_now () > until)
        return FALSE;
      g_usleep (POLL_US);
    }
  return TRUE;
}

START_TEST (test_a_change_of_a_large_configuration_is_in_force_in_time_behind_a_slow_link)
{
  open_fleet (LINK_BYTES_PER_SECOND);
  fleet_configure_routes (&fleet, N_ROUTES, "photos");
  ck_assert (wait_for_version (entry, LOAD_TIMEOUT));
  for (guint i = 0; i < 4; i++)
    {
      fleet_configure_routes (&fleet, N_ROUTES, i % 2 == 0 ? "other" : "photos");
      ck_assert (wait_for_version (entry, APPLY_TIME));
    }
}
END_TEST

START_TEST (test_a_configuration_is_in_force_in_time_where_the_store_does_not_answer)
{
  open_fleet (0);
  fleet_configure_routes (&fleet, 5, "photos");
  ck_assert (wait_for_version (entry, APPLY_TIME));
  kill (proxy->pid, SIGSTOP);
  for (guint i = 0; i < 4; i++)
    {
      fleet_configure_routes (&fleet, 6 + i, "photos");
      ck_assert (wait_for_version (entry, APPLY_TIME));
    }
  kill (proxy->pid, SIGCONT);
}
END_TEST

START_TEST (test_a_configuration_that_grows_is_in_force_where_the_store_does_not_answer)
{
  open_fleet (0);
  kill (proxy->pid, SIGSTOP);
  fleet_configure_routes (&fleet, N_ROUTES, "photos");
  ck_assert (wait_for_version (entry, APPLY_TIME));
  fleet_configure_routes (&fleet, N_ROUTES, "other");
  ck_assert (wait_for_version (entry, APPLY_TIME));
  kill (proxy->pid, SIGCONT);
}
END_TEST

START_TEST (test_a_route_that_only_a_peer_has_is_not_answered_with_404)
{
  char *response;

  open_fleet (0);
  response = fleet_request (entry->caller_port, "GET", "/more-7/1", "before");
  ck_assert_uint_eq (fleet_response_status (response), 404);
  g_free (response);
  kill (proxy->pid, SIGSTOP);
  fleet_configure_routes (&fleet, N_TOO_MANY_ROUTES, "photos");
  ck_assert (wait_for_version (peer, APPLY_TIME));
  g_usleep (APPLY_TIME);
  ck_assert_int_ne (fleet_read_metric (entry, "anvil_routes_version"), fleet.version);
  response = fleet_request (entry->caller_port, "GET", "/more-7/1", "after");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_msg (strstr (response, "Retry-After: ") != NULL, "%s", response);
  g_free (response);
  kill (proxy->pid, SIGCONT);
  ck_assert (wait_for_version (entry, FLEET_RESYNC_TIME));
  response = fleet_request (entry->caller_port, "GET", "/more-7/1", "again");
  ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
  g_free (response);
  response = fleet_request (entry->caller_port, "GET", "/nowhere/1", "unknown");
  ck_assert_msg (fleet_response_status (response) == 404, "%s", response);
  g_free (response);
}
END_TEST

/* Guards against calls to the store that grow with the number of entries: only the region's reader
 * and the next in rank follow the operators' table, and the others know of changes all the same. */
START_TEST (test_entries_that_a_reader_tells_do_not_ask_the_store)
{
  static const char *const names[] = { "e2", "e3", "e4", "e5" };
  guint calls;

  open_fleet (0);
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    fleet_wait_ready (fleet_add_entry (&fleet, names[i], "west-a"));
  g_usleep (SETTLE_US);
  calls = fleet_count_change_reads (&fleet, "op");
  g_usleep (COUNT_US);
  ck_assert_uint_le (fleet_count_change_reads (&fleet, "op") - calls, MAX_CALLS);
  fleet_configure_routes (&fleet, 5, "photos");
  for (guint i = 0; i < fleet.entries->len; i++)
    ck_assert (wait_for_version (fleet.entries->pdata[i], APPLY_TIME));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-config-peers");
  TCase *tests = tcase_create ("relay-config-peers");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, NULL, tear_down);
  tcase_set_timeout (tests, 90);
  tcase_add_test (tests,
                  test_a_change_of_a_large_configuration_is_in_force_in_time_behind_a_slow_link);
  tcase_add_test (tests, test_a_configuration_is_in_force_in_time_where_the_store_does_not_answer);
  tcase_add_test (tests,
                  test_a_configuration_that_grows_is_in_force_where_the_store_does_not_answer);
  tcase_add_test (tests, test_a_route_that_only_a_peer_has_is_not_answered_with_404);
  tcase_add_test (tests, test_entries_that_a_reader_tells_do_not_ask_the_store);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
