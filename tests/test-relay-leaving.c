/* Upstreams that say in their responses that they leave, while the store lists them as ready. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define MAX_ENTRIES 7
/* More than one upstream has slots. */
#define N_REQUESTS 9
/* The platform's contract: no request reaches an upstream later than this after a response in which
 * it says that it leaves was passed on. */
#define MAX_DRAIN_DELAY_US 2500000
/* Until an entry has noticed that the store doesn't answer it, or who holds a service. */
#define NOTICE_LOSS_US 2000000

static fleet_t fleet;
static fleet_entry_t *entries[MAX_ENTRIES];
static standin_t *leaves;

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "stays", "photos", NULL);
  leaves = fleet_add_upstream (&fleet, "leaves", "photos", NULL);
  fleet_configure (&fleet, NULL);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
start_entries (guint n)
{
  for (guint i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, i % 2 == 0 ? "west-a" : "east-a");
      g_free (name);
    }
  for (guint i = 0; i < n; i++)
    fleet_wait_ready (entries[i]);
}

static void
say_leaving (const standin_t *upstream)
{
  g_free (fleet_request (fleet_port (upstream), "POST", "/leaving?value=1", "leaving"));
}

/* Sends requests until an entry passes a response on in which an upstream says that it leaves. */
static void
wait_until_passed_on (const fleet_entry_t *entry)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  gboolean passed_on = FALSE;

  for (guint i = 0; !passed_on && anvil_clock_now () < until; i++)
    {
      char *path = g_strdup_printf ("/view/%u", i);
      char *response = fleet_request (entry->caller_port, "GET", path, path + 1);

      passed_on = strstr (response, "Server-Leaving: 1\r\n") != NULL;
      g_free (response);
      g_free (path);
    }
  ck_assert (passed_on);
}

START_TEST (test_an_upstream_that_says_that_it_leaves_gets_no_more_requests)
{
  start_entries (1);
  say_leaving (leaves);
  wait_until_passed_on (entries[0]);
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "leaves", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_a_holder_elsewhere_learns_that_an_upstream_leaves)
{
  guint holder;

  start_entries (MAX_ENTRIES);
  g_usleep (NOTICE_LOSS_US);
  holder = fleet_find_holder (&fleet, "photos");
  say_leaving (leaves);
  wait_until_passed_on (entries[(holder + 1) % MAX_ENTRIES]);
  g_usleep (MAX_DRAIN_DELAY_US);
  for (guint i = 0; i < MAX_ENTRIES; i++)
    ck_assert_uint_eq (fleet_count_responses_of (entries[i], "leaves", N_REQUESTS), 0);
}
END_TEST

/* What only the former holder and one entry know is handed on. */
START_TEST (test_the_next_holder_learns_that_an_upstream_leaves)
{
  const guint n = 3;
  guint holder;

  start_entries (n);
  g_usleep (NOTICE_LOSS_US);
  holder = fleet_find_holder (&fleet, "photos");
  say_leaving (leaves);
  wait_until_passed_on (entries[(holder + 1) % n]);
  fleet_kill_entry (entries[holder], SIGKILL);
  g_usleep (MAX_DRAIN_DELAY_US);
  for (guint i = 1; i < n; i++)
    ck_assert_uint_eq (fleet_count_responses_of (entries[(holder + i) % n], "leaves", N_REQUESTS),
                       0);
}
END_TEST

START_TEST (test_an_upstream_that_leaves_gets_no_requests_while_the_store_is_silent)
{
  start_entries (2);
  kill (fleet.store.pid, SIGSTOP);
  g_usleep (NOTICE_LOSS_US);
  say_leaving (leaves);
  wait_until_passed_on (entries[0]);
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "leaves", N_REQUESTS), 0);
  kill (fleet.store.pid, SIGCONT);
  g_usleep (MAX_DRAIN_DELAY_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "leaves", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_a_new_start_of_an_upstream_that_left_is_used)
{
  start_entries (2);
  say_leaving (leaves);
  wait_until_passed_on (entries[0]);
  kill (leaves->pid, SIGKILL);
  fleet_add_upstream (&fleet, "leaves", "photos", NULL);
  g_usleep (MAX_DRAIN_DELAY_US);
  for (guint i = 0; i < 2; i++)
    ck_assert_uint_gt (fleet_count_responses_of (entries[i], "leaves", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_requests_are_refused_at_once_when_all_upstreams_leave)
{
  anvil_time_t sent_at;
  char *response;

  start_entries (2);
  for (guint i = 0; i < fleet.upstreams->len; i++)
    say_leaving (fleet.upstreams->pdata[i]);
  for (guint i = 0; i < 2 * N_REQUESTS; i++)
    g_free (fleet_request (entries[0]->caller_port, "GET", "/view/1", "first"));
  sent_at = anvil_clock_now ();
  response = fleet_request (entries[0]->caller_port, "POST", "/pay/1", "last");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_msg (strstr (response, "Retry-After: ") != NULL, "%s", response);
  /* The route's timeout is 1.5 s. */
  ck_assert_int_lt (anvil_clock_now () - sent_at, 750 * ANVIL_MS);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "last"), 0);
  g_free (response);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-leaving");
  TCase *tests = tcase_create ("relay-leaving");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_an_upstream_that_says_that_it_leaves_gets_no_more_requests);
  tcase_add_test (tests, test_a_holder_elsewhere_learns_that_an_upstream_leaves);
  tcase_add_test (tests, test_the_next_holder_learns_that_an_upstream_leaves);
  tcase_add_test (tests, test_an_upstream_that_leaves_gets_no_requests_while_the_store_is_silent);
  tcase_add_test (tests, test_a_new_start_of_an_upstream_that_left_is_used);
  tcase_add_test (tests, test_requests_are_refused_at_once_when_all_upstreams_leave);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
