/* Connections of callers, without the rest of the entry: when they end, and what is still owed. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/relay-caller.h"

/* Longest wait for anything that should happen. */
#define PATIENCE (20 * ANVIL_SECOND)
#define IDLE (400 * ANVIL_MS)
#define ONE_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n\r\n"
#define ANOTHER_REQUEST "GET /b HTTP/1.1\r\nHost: h\r\nRequest-Id: two\r\n\r\n"

static const anvil_header_names_t wire = { .request_id = "Request-Id",
                                           .timeout_ms = "Deadline-Ms",
                                           .object = "Affinity-Key",
                                           .expected_upstream = "Expect-Instance" };

static struct event_base *base;
static anvil_relay_callers_t *callers;
static anvil_routes_limits_t bounds;
/* Requests that wait for their answers, in the order of their arrival. */
static GPtrArray *requests;
static guint gone;
static int caller;
static GString *received;

static void
on_request (void *context, anvil_relay_request_t *request)
{
  g_ptr_array_add (requests, request);
}

static void
on_gone (void *context, anvil_relay_request_t *request)
{
  gone++;
}

static const anvil_routes_limits_t *
get_bounds (void *context)
{
  return &bounds;
}

static const anvil_relay_caller_callbacks_t events
    = { .request = on_request, .disconnected = on_gone, .limits = get_bounds };

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  bounds = (anvil_routes_limits_t){ .max_header_bytes = 4096,
                                    .max_body_bytes = 4096,
                                    .header_timeout = PATIENCE,
                                    .idle_timeout = IDLE };
  base = event_base_new ();
  requests = g_ptr_array_new ();
  received = g_string_new (NULL);
  gone = 0;
  callers = anvil_relay_callers_open (base, INADDR_LOOPBACK, 0, &wire, 10, 1 << 20, &events, NULL,
                                      NULL);
  ck_assert_ptr_nonnull (callers);
  address.sin_port = htons (anvil_relay_callers_port (callers));
  caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (caller, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (fcntl (caller, F_SETFL, O_NONBLOCK), 0);
}

static void
tear_down (void)
{
  close (caller);
  for (guint i = 0; i < requests->len; i++)
    anvil_relay_respond (requests->pdata[i], 503, (anvil_str_t){ 0 }, NULL);
  anvil_relay_callers_close (callers);
  event_base_free (base);
  g_ptr_array_unref (requests);
  g_string_free (received, TRUE);
}

static void
send_text (const char *text)
{
  ck_assert_int_eq (send (caller, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

/* Lets the entry's side act once; FALSE if the connection has ended. */
static gboolean
turn (void)
{
  char bytes[4096];
  struct pollfd readable = { .fd = caller, .events = POLLIN };
  ssize_t n;

  event_base_loop (base, EVLOOP_NONBLOCK);
  if (poll (&readable, 1, 1) < 1)
    return TRUE;
  n = recv (caller, bytes, sizeof bytes, 0);
  if (n <= 0)
    return FALSE;
  g_string_append_len (received, bytes, n);
  return TRUE;
}

static void
wait_for_requests (guint n)
{
  anvil_time_t until = anvil_clock_now () + PATIENCE;

  while (requests->len < n && anvil_clock_now () < until)
    ck_assert_msg (turn (), "the connection ended before %u requests were read", n);
  ck_assert_uint_eq (requests->len, n);
}

static void
run_for (anvil_time_t span)
{
  anvil_time_t until = anvil_clock_now () + span;

  while (anvil_clock_now () < until)
    ck_assert_msg (turn (), "the connection ended");
}

/* When the entry ended the connection. */
static anvil_time_t
wait_for_end (void)
{
  anvil_time_t until = anvil_clock_now () + PATIENCE;

  while (anvil_clock_now () < until)
    {
      if (!turn ())
        return anvil_clock_now ();
    }
  ck_abort_msg ("the connection never ended");
  return 0;
}

static void
answer_first (const char *headers)
{
  anvil_relay_respond (g_ptr_array_steal_index (requests, 0), 200, anvil_str (headers), NULL);
}

START_TEST (test_a_connection_is_idle_from_its_last_answer_on)
{
  anvil_time_t answered_at;

  send_text (ONE_REQUEST);
  wait_for_requests (1);
  run_for (IDLE * 3 / 4);
  answer_first ("");
  answered_at = anvil_clock_now ();
  ck_assert_int_ge (wait_for_end () - answered_at, IDLE);
}
END_TEST

START_TEST (test_a_request_that_takes_longer_than_a_caller_may_idle_keeps_its_connection)
{
  send_text (ONE_REQUEST);
  wait_for_requests (1);
  run_for (IDLE * 3 / 2);
  answer_first ("");
  run_for (IDLE / 2);
  ck_assert_ptr_nonnull (strstr (received->str, "HTTP/1.1 200"));
  send_text (ANOTHER_REQUEST);
  wait_for_requests (1);
}
END_TEST

START_TEST (test_a_longer_idle_time_holds_for_open_connections)
{
  anvil_time_t opened_at = anvil_clock_now ();

  /* So that the connection is accepted under the shorter time. */
  while (anvil_relay_callers_count_connections (callers) == 0)
    turn ();
  bounds.idle_timeout = 2 * IDLE;
  ck_assert_int_ge (wait_for_end () - opened_at, 2 * IDLE);
}
END_TEST

START_TEST (test_an_idle_connection_ends)
{
  send_text (ONE_REQUEST);
  wait_for_requests (1);
  answer_first ("");
  wait_for_end ();
  ck_assert_uint_eq (gone, 0);
}
END_TEST

START_TEST (test_a_body_that_stops_coming_is_answered_408)
{
  send_text ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  wait_for_end ();
  ck_assert_msg (g_str_has_prefix (received->str, "HTTP/1.1 408"), "%s", received->str);
}
END_TEST

START_TEST (test_a_leaving_entry_answers_all_requests_of_a_connection)
{
  const char *first;
  const char *second;

  send_text (ONE_REQUEST ANOTHER_REQUEST);
  wait_for_requests (2);
  anvil_relay_callers_begin_shutdown (callers);
  answer_first ("Answer: first\r\n");
  ck_assert_msg (gone == 0, "a request that was handed on has lost its caller");
  answer_first ("Answer: second\r\n");
  wait_for_end ();
  first = strstr (received->str, "Answer: first");
  second = strstr (received->str, "Answer: second");
  ck_assert_msg (first != NULL && second != NULL && first < second, "%s", received->str);
  ck_assert_ptr_nonnull (strstr (second, "Connection: close"));
  ck_assert_ptr_null (g_strstr_len (first, second - first, "Connection: close"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-caller");
  TCase *tests = tcase_create ("relay-caller");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_connection_is_idle_from_its_last_answer_on);
  tcase_add_test (tests,
                  test_a_request_that_takes_longer_than_a_caller_may_idle_keeps_its_connection);
  tcase_add_test (tests, test_a_longer_idle_time_holds_for_open_connections);
  tcase_add_test (tests, test_an_idle_connection_ends);
  tcase_add_test (tests, test_a_body_that_stops_coming_is_answered_408);
  tcase_add_test (tests, test_a_leaving_entry_answers_all_requests_of_a_connection);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
