/* Second attempts of requests whose first one is late: which answer the caller gets, and what
 * becomes of the other attempt and its slot. */

#include "helper-job.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include "helper-ports.h"

/* Time in which nothing may happen. */
#define QUIET_TIME (200 * ANVIL_MS)
/* When a first attempt counts as late in these tests. */
#define LATE_AFTER (30 * ANVIL_MS)
/* A timer counts from the start of the turn of the event loop that set it, so it may be early. */
#define TIMER_TOLERANCE (5 * ANVIL_MS)
#define REQUEST                                                                                    \
  "POST /%s/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: one\r\n%s"                             \
  "Content-Length: 0\r\n\r\n"
#define ANSWER_A                                                                                   \
  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nA"
#define ANSWER_B                                                                                   \
  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nB"
#define FAILURE                                                                                    \
  "HTTP/1.1 500 Failed\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nF"

/* Sends the caller's request and its first attempt. */
static int
start_first (const char *route, const char *headers)
{
  char *text = g_strdup_printf (REQUEST, route, headers);
  kept_grant_t kept;

  job_send_text (job_fixture.caller, text);
  g_free (text);
  kept = job_wait_for_grant (0);
  job_deliver (kept, LATE_AFTER);
  return job_accept_attempt (&kept);
}

/* Waits until the first attempt is late, and sends the second. */
static int
start_second (void)
{
  const kept_grant_t kept = job_wait_for_grant (1);

  ck_assert_uint_ne (kept.grant.upstream, job_wait_for_grant (0).grant.upstream);
  job_deliver (kept, 0);
  return job_accept_attempt (&kept);
}

static void
expect_response (const char *status_line, const char *body)
{
  char bytes[4096] = "";

  job_wait_readable (job_fixture.caller);
  job_run_for (QUIET_TIME);
  ck_assert_int_gt (recv (job_fixture.caller, bytes, sizeof bytes - 1, 0), 0);
  ck_assert_msg (g_str_has_prefix (bytes, status_line), "%s", bytes);
  ck_assert_msg (g_str_has_suffix (bytes, body), "%s", bytes);
  ck_assert (strstr (bytes + 1, "HTTP/1.1 ") == NULL);
}

/* The entry has reset the connection. */
static void
expect_reset (int fd)
{
  char byte;

  job_wait_readable (fd);
  ck_assert_int_le (recv (fd, &byte, 1, 0), 0);
}

static guint
counter (const char *name)
{
  return (guint) anvil_metrics_value (job_fixture.metrics, name, "");
}

START_TEST (test_the_second_answer_is_passed_on_and_the_first_attempt_is_cancelled)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  ck_assert_uint_eq (job_count_running (), 2);
  job_send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  expect_reset (first);
  ck_assert_uint_eq (job_count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (job_fixture.jobs), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_won_total"), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  ck_assert_uint_ge (counter ("anvil_repeats_wasted_milliseconds_total"),
                     (LATE_AFTER - TIMER_TOLERANCE) / ANVIL_MS);
  /* The loser's answer goes nowhere: its connection is gone. */
  (void) send (first, ANSWER_A, strlen (ANSWER_A), MSG_NOSIGNAL);
  job_run_for (QUIET_TIME);
  ck_assert (!job_is_readable (job_fixture.caller));
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_first_answer_cancels_the_second_attempt)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  job_send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  expect_reset (second);
  ck_assert_uint_eq (job_count_running (), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_won_total"), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  close (first);
  close (second);
}
END_TEST

/* Both are read in one turn of the event loop. */
START_TEST (test_of_two_answers_at_once_the_caller_gets_one)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  job_send_text (first, ANSWER_A);
  job_send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "");
  ck_assert_uint_eq (job_count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (job_fixture.jobs), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_a_caller_that_leaves_ends_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  shutdown (job_fixture.caller, SHUT_RDWR);
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (job_count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (job_fixture.jobs), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_deadline_ends_both_attempts)
{
  int first = start_first ("safe", "Deadline-Ms: 700\r\n");
  int second = start_second ();

  expect_response ("HTTP/1.1 504 ", "");
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_end_of_the_entry_ends_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  anvil_relay_jobs_end (job_fixture.jobs);
  expect_response ("HTTP/1.1 504 ", "");
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_second_attempt_goes_on_when_the_first_fails)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  job_send_text (first, FAILURE);
  job_run_for (QUIET_TIME);
  ck_assert (!job_is_readable (job_fixture.caller));
  ck_assert_uint_eq (job_count_running (), 1);
  ck_assert_uint_eq (job_fixture.grants->len, 2);
  job_send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_first_attempt_goes_on_when_the_second_fails)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  job_send_text (second, FAILURE);
  job_run_for (QUIET_TIME);
  ck_assert (!job_is_readable (job_fixture.caller));
  ck_assert_uint_eq (job_count_running (), 1);
  job_send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
}
END_TEST

/* The third attempt excludes both upstreams. */
START_TEST (test_a_retry_follows_when_both_fail)
{
  int first = start_first ("safe", "");
  int second = start_second ();
  kept_grant_t third;
  int last;

  job_send_text (first, FAILURE);
  job_send_text (second, FAILURE);
  third = job_wait_for_grant (2);
  ck_assert_uint_ne (third.grant.upstream, job_wait_for_grant (0).grant.upstream);
  ck_assert_uint_ne (third.grant.upstream, job_wait_for_grant (1).grant.upstream);
  job_deliver (third, 0);
  last = job_accept_attempt (&third);
  job_send_text (last, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
  close (last);
}
END_TEST

START_TEST (test_a_request_that_must_not_run_twice_gets_no_second_attempt)
{
  int first = start_first ("unsafe", "");

  job_run_for (LATE_AFTER + QUIET_TIME);
  ck_assert_uint_eq (job_fixture.grants->len, 1);
  job_send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  close (first);
}
END_TEST

START_TEST (test_a_route_with_one_attempt_gets_no_second)
{
  int first = start_first ("once", "");

  job_run_for (LATE_AFTER + QUIET_TIME);
  ck_assert_uint_eq (job_fixture.grants->len, 1);
  close (first);
}
END_TEST

START_TEST (test_a_route_with_a_share_of_0_gets_no_second_attempt)
{
  int first = start_first ("none", "");

  job_run_for (LATE_AFTER + QUIET_TIME);
  ck_assert_uint_eq (job_fixture.grants->len, 1);
  close (first);
}
END_TEST

/* Between the grant and the sending, the upstream has said that it leaves. */
START_TEST (test_a_slot_of_an_upstream_that_leaves_is_returned)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = job_wait_for_grant (1);

  anvil_registry_set_leaving (job_fixture.registry, anvil_clock_now (), second.grant.upstream,
                              "photos", 1000, FALSE);
  job_deliver (second, 0);
  job_run_for (QUIET_TIME);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  ck_assert_uint_eq (job_count_running (), 1);
  job_send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  close (first);
}
END_TEST

/* The slot would otherwise stay in use until the deadline. */
START_TEST (test_a_grant_after_the_answer_is_returned)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = job_wait_for_grant (1);

  job_send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  job_deliver (second, 0);
  ck_assert_uint_eq (job_count_running (), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  close (first);
}
END_TEST

START_TEST (test_no_second_attempt_is_sent_once_the_entry_refuses_requests)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = job_wait_for_grant (1);

  anvil_relay_jobs_begin_shutdown (job_fixture.jobs, anvil_clock_now () + ANVIL_SECOND);
  anvil_relay_jobs_refuse_new (job_fixture.jobs);
  job_deliver (second, 0);
  ck_assert_uint_eq (job_count_running (), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  close (first);
}
END_TEST

START_TEST (test_a_restarted_holder_adopts_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();
  const anvil_run_report_t lost = { .result = ANVIL_RUN_UNUSED };

  for (guint i = 0; i < 2; i++)
    anvil_slot_broker_run_finished (job_fixture.broker, job_wait_for_grant (i).from,
                                    job_wait_for_grant (i).number, &lost);
  ck_assert_uint_eq (job_count_running (), 0);
  anvil_relay_jobs_peer_restarted (job_fixture.jobs,
                                   anvil_slot_broker_holder (job_fixture.broker, "photos"));
  ck_assert_uint_eq (job_count_running (), 2);
  job_send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  ck_assert_uint_eq (job_count_running (), 0);
  close (first);
  close (second);
}
END_TEST

static void
update_other (void *context, const anvil_registered_upstream_t *upstream)
{
  anvil_slot_broker_update_upstream (context, anvil_clock_now (), upstream, ANVIL_REGISTRY_JOINED);
}

/* Its slots would otherwise be granted again while both attempts use them. */
START_TEST (test_a_new_holder_adopts_both_attempts)
{
  static const anvil_slot_broker_callbacks_t no_callbacks = { 0 };
  anvil_relay_settings_t settings = job_fixture.settings;
  const anvil_time_t until = anvil_clock_now () + 20 * ANVIL_SECOND;
  int first = start_first ("safe", "");
  int second = start_second ();
  anvil_dispatcher_status_t status = { 0 };
  anvil_slot_broker_t *other;

  settings.peer_endpoint.port = reserve_port ();
  other = anvil_slot_broker_open (job_fixture.base, &settings, job_fixture.registry, &no_callbacks,
                                  NULL, NULL);
  ck_assert_ptr_nonnull (other);
  anvil_registry_foreach (job_fixture.registry, update_other, other);
  anvil_relay_jobs_holder_changed (job_fixture.jobs, "photos", anvil_slot_broker_self (other));
  while (status.running < 2 && anvil_clock_now () < until)
    {
      job_run_for (0);
      anvil_dispatcher_status (anvil_slot_broker_dispatcher (other), anvil_str ("photos"), &status);
    }
  ck_assert_uint_eq (status.running, 2);
  job_send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  job_run_for (QUIET_TIME);
  anvil_dispatcher_status (anvil_slot_broker_dispatcher (other), anvil_str ("photos"), &status);
  ck_assert_uint_eq (status.running, 0);
  anvil_slot_broker_close (other);
  close (first);
  close (second);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job-repeat");
  TCase *tests = tcase_create ("relay-job-repeat");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, job_fixture_open, job_fixture_close);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_the_second_answer_is_passed_on_and_the_first_attempt_is_cancelled);
  tcase_add_test (tests, test_the_first_answer_cancels_the_second_attempt);
  tcase_add_test (tests, test_of_two_answers_at_once_the_caller_gets_one);
  tcase_add_test (tests, test_a_caller_that_leaves_ends_both_attempts);
  tcase_add_test (tests, test_the_deadline_ends_both_attempts);
  tcase_add_test (tests, test_the_end_of_the_entry_ends_both_attempts);
  tcase_add_test (tests, test_the_second_attempt_goes_on_when_the_first_fails);
  tcase_add_test (tests, test_the_first_attempt_goes_on_when_the_second_fails);
  tcase_add_test (tests, test_a_retry_follows_when_both_fail);
  tcase_add_test (tests, test_a_request_that_must_not_run_twice_gets_no_second_attempt);
  tcase_add_test (tests, test_a_route_with_one_attempt_gets_no_second);
  tcase_add_test (tests, test_a_slot_of_an_upstream_that_leaves_is_returned);
  tcase_add_test (tests, test_a_grant_after_the_answer_is_returned);
  tcase_add_test (tests, test_no_second_attempt_is_sent_once_the_entry_refuses_requests);
  tcase_add_test (tests, test_a_restarted_holder_adopts_both_attempts);
  tcase_add_test (tests, test_a_new_holder_adopts_both_attempts);
  tcase_add_test (tests, test_a_route_with_a_share_of_0_gets_no_second_attempt);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
