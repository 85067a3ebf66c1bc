/* Target and deadline of a request's task, and what is known of its upstream when it is sent. */

#include "helper-job.h"

#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/relay-job-internal.h"

#define ARRIVED_AT (100 * ANVIL_SECOND)

START_TEST (test_target_and_deadline_include_the_way_back_to_the_caller)
{
  const anvil_route_t route = { .timeout = 2 * ANVIL_SECOND, .target_latency = 600 * ANVIL_MS };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 4 * ANVIL_SECOND);
  /* The round trip to a caller takes at least two milliseconds. */
  ck_assert_int_le (task.target, ARRIVED_AT + 598 * ANVIL_MS);
  ck_assert_int_ge (task.target, ARRIVED_AT + 570 * ANVIL_MS);
  ck_assert_int_le (task.deadline, ARRIVED_AT + 1998 * ANVIL_MS);
  ck_assert_int_ge (task.deadline, ARRIVED_AT + 1970 * ANVIL_MS);
}
END_TEST

START_TEST (test_a_callers_timeout_below_that_of_the_route_sets_the_deadline)
{
  const anvil_route_t route = { .timeout = 2 * ANVIL_SECOND, .target_latency = 600 * ANVIL_MS };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 300 * ANVIL_MS);
  ck_assert_int_lt (task.deadline, ARRIVED_AT + 300 * ANVIL_MS);
  ck_assert_int_le (task.target, task.deadline);
}
END_TEST

START_TEST (test_a_default_timeout_applies_if_none_is_given)
{
  const anvil_route_t route = { .timeout = 0 };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 0);
  ck_assert_int_gt (task.deadline, ARRIVED_AT);
  ck_assert_int_lt (task.deadline, ARRIVED_AT + 60 * ANVIL_SECOND);
  ck_assert_int_eq (task.target, task.deadline);
}
END_TEST

static void
report_draining (const kept_grant_t *kept)
{
  const anvil_registered_upstream_t *upstream
      = anvil_registry_lookup (job_fixture.registry, kept->grant.upstream);
  char *id = g_strdup (upstream->id);
  const anvil_upstream_report_t report = { .id = anvil_str (id),
                                           .service = anvil_str ("photos"),
                                           .zone = anvil_str ("west-a"),
                                           .address = upstream->address,
                                           .port = upstream->port,
                                           .slots = 1,
                                           .started_at = upstream->started_at,
                                           .draining = TRUE };

  anvil_registry_apply (job_fixture.registry, anvil_clock_now (), &report);
  g_free (id);
}

static int
listener_of (const kept_grant_t *kept)
{
  guint index = 0;

  while (job_fixture.upstream_keys[index] != kept->grant.upstream)
    index++;
  return job_fixture.listeners[index];
}

START_TEST (test_nothing_is_sent_to_an_upstream_that_drains_since_its_connection_was_opened)
{
  char byte;
  kept_grant_t first;
  kept_grant_t second;
  int used;
  int connection;

  job_send_text (job_fixture.caller, "GET /once/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                     "Request-Id: one\r\n\r\n");
  first = job_wait_for_grant (0);
  job_deliver (first, 0);
  report_draining (&first);
  second = job_wait_for_grant (1);
  ck_assert_uint_ne (second.grant.upstream, first.grant.upstream);
  used = accept (listener_of (&first), NULL, NULL);
  ck_assert_int_ge (used, 0);
  /* Reset, or closed, with nothing sent. */
  ck_assert_int_le (recv (used, &byte, 1, 0), 0);
  job_deliver (second, 0);
  connection = job_accept_attempt (&second);
  close (connection);
  close (used);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job");
  TCase *tests = tcase_create ("relay-job");
  TCase *sending = tcase_create ("sending");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_target_and_deadline_include_the_way_back_to_the_caller);
  tcase_add_test (tests, test_a_callers_timeout_below_that_of_the_route_sets_the_deadline);
  tcase_add_test (tests, test_a_default_timeout_applies_if_none_is_given);
  tcase_add_checked_fixture (sending, job_fixture_open, job_fixture_close);
  tcase_set_timeout (sending, 60);
  tcase_add_test (sending,
                  test_nothing_is_sent_to_an_upstream_that_drains_since_its_connection_was_opened);
  suite_add_tcase (suite, tests);
  suite_add_tcase (suite, sending);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
