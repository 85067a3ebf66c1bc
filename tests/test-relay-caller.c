/* Connections of callers without the rest of the entry: when they are closed, and which responses
 * are still written before. */

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

/* Longest wait for an expected event. */
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
#define IDLE_TIMEOUT (400 * ANVIL_MS)
#define MAX_CONNECTIONS 10
#define MAX_UNSENT_BYTES ((gsize) 1 << 20)
#define FIRST_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\n\r\n"
#define SECOND_REQUEST "GET /b HTTP/1.1\r\nHost: h\r\nRequest-Id: two\r\n\r\n"

static const anvil_header_names_t header_names = { .request_id = "Request-Id",
                                                   .timeout_ms = "Deadline-Ms",
                                                   .object = "Affinity-Key",
                                                   .expected_upstream = "Expect-Instance" };

static struct event_base *base;
static anvil_relay_callers_t *callers;
static anvil_routes_limits_t limits;
/* Unanswered requests in the order of their arrival. */
static GPtrArray *requests;
static guint n_disconnected;
static int caller;
static GString *received;

static void
on_request (void *context, anvil_relay_request_t *request)
{
  g_ptr_array_add (requests, request);
}

static void
on_disconnected (void *context, anvil_relay_request_t *request)
{
  n_disconnected++;
}

static const anvil_routes_limits_t *
get_limits (void *context)
{
  return &limits;
}

static const anvil_relay_caller_callbacks_t callbacks
    = { .request = on_request, .disconnected = on_disconnected, .limits = get_limits };

static const anvil_relay_callers_options_t options = { .name = "callers",
                                                       .address = INADDR_LOOPBACK,
                                                       .header_names = &header_names,
                                                       .max_connections = MAX_CONNECTIONS,
                                                       .max_buffered_bytes = 1 << 20 };

static void
set_up_with (gsize max_unsent_bytes)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  anvil_relay_callers_options_t own_options = options;

  limits = (anvil_routes_limits_t){ .max_header_bytes = 4096,
                                    .max_body_bytes = 4096,
                                    .header_timeout = WAIT_TIMEOUT,
                                    .idle_timeout = IDLE_TIMEOUT };
  base = event_base_new ();
  requests = g_ptr_array_new ();
  received = g_string_new (NULL);
  n_disconnected = 0;
  own_options.max_unsent_bytes = max_unsent_bytes;
  callers = anvil_relay_callers_open (base, &own_options, &callbacks, NULL, NULL);
  ck_assert_ptr_nonnull (callers);
  address.sin_port = htons (anvil_relay_callers_port (callers));
  caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (caller, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (fcntl (caller, F_SETFL, O_NONBLOCK), 0);
}

static void
set_up (void)
{
  set_up_with (MAX_UNSENT_BYTES);
}

static void
set_up_without_unsent_limit (void)
{
  set_up_with (G_MAXSIZE);
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

/* Runs the event loop once and receives what the entry sent. Returns FALSE if the connection was
 * closed. */
static gboolean
run_loop_once (void)
{
  char bytes[4096];
  struct pollfd poll_fd = { .fd = caller, .events = POLLIN };
  ssize_t n;

  event_base_loop (base, EVLOOP_NONBLOCK);
  if (poll (&poll_fd, 1, 1) < 1)
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
  anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;

  while (requests->len < n && anvil_clock_now () < deadline)
    ck_assert_msg (run_loop_once (), "the connection was closed before %u requests were delivered",
                   n);
  ck_assert_uint_eq (requests->len, n);
}

static void
run_for (anvil_time_t duration)
{
  anvil_time_t deadline = anvil_clock_now () + duration;

  while (anvil_clock_now () < deadline)
    ck_assert_msg (run_loop_once (), "the connection was closed");
}

/* Returns the time at which the entry closed the connection. */
static anvil_time_t
wait_for_close (void)
{
  anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;

  while (anvil_clock_now () < deadline)
    {
      if (!run_loop_once ())
        return anvil_clock_now ();
    }
  ck_abort_msg ("the connection was not closed in time");
  return 0;
}

/* Responds to an unanswered request, counted from the first that arrived. */
static void
respond_to (guint index, const char *headers)
{
  anvil_relay_respond (g_ptr_array_steal_index (requests, index), 200, anvil_str (headers), NULL);
}

static void
respond_to_first (const char *headers)
{
  respond_to (0, headers);
}

/* Whether the responses whose "Answer" headers are given arrived in this order, and only the last
 * one closes the connection. */
static void
assert_answers (const char *const *answers, gsize n)
{
  const char *position = received->str;

  for (gsize i = 0; i < n; i++)
    {
      const char *next = strstr (position, answers[i]);

      ck_assert_msg (next != NULL, "no %s in: %s", answers[i], received->str);
      position = next;
    }
  ck_assert_ptr_eq (strstr (received->str, "Connection: close"),
                    strstr (position, "Connection: close"));
  ck_assert_ptr_nonnull (strstr (position, "Connection: close"));
}

START_TEST (test_idle_timeout_starts_with_the_last_response)
{
  anvil_time_t responded_at;

  send_text (FIRST_REQUEST);
  wait_for_requests (1);
  run_for (IDLE_TIMEOUT * 3 / 4);
  respond_to_first ("");
  responded_at = anvil_clock_now ();
  ck_assert_int_ge (wait_for_close () - responded_at, IDLE_TIMEOUT);
}
END_TEST

START_TEST (test_connection_is_not_idle_while_a_response_is_pending)
{
  send_text (FIRST_REQUEST);
  wait_for_requests (1);
  run_for (IDLE_TIMEOUT * 3 / 2);
  respond_to_first ("");
  run_for (IDLE_TIMEOUT / 2);
  ck_assert_ptr_nonnull (strstr (received->str, "HTTP/1.1 200"));
  send_text (SECOND_REQUEST);
  wait_for_requests (1);
}
END_TEST

START_TEST (test_longer_idle_timeout_applies_to_open_connections)
{
  anvil_time_t opened_at = anvil_clock_now ();

  /* The connection has to be accepted while the shorter time-out is in force. */
  while (anvil_relay_callers_count_connections (callers) == 0)
    run_loop_once ();
  limits.idle_timeout = 2 * IDLE_TIMEOUT;
  ck_assert_int_ge (wait_for_close () - opened_at, 2 * IDLE_TIMEOUT);
}
END_TEST

START_TEST (test_idle_connection_is_closed)
{
  send_text (FIRST_REQUEST);
  wait_for_requests (1);
  respond_to_first ("");
  wait_for_close ();
  ck_assert_uint_eq (n_disconnected, 0);
}
END_TEST

START_TEST (test_stalled_body_is_answered_with_408)
{
  send_text ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  wait_for_close ();
  ck_assert_msg (g_str_has_prefix (received->str, "HTTP/1.1 408"), "%s", received->str);
}
END_TEST

START_TEST (test_shutdown_answers_all_pipelined_requests)
{
  const char *first;
  const char *second;

  send_text (FIRST_REQUEST SECOND_REQUEST);
  wait_for_requests (2);
  anvil_relay_callers_begin_shutdown (callers);
  respond_to_first ("Answer: first\r\n");
  ck_assert_msg (n_disconnected == 0, "a delivered request was reported as disconnected");
  respond_to_first ("Answer: second\r\n");
  wait_for_close ();
  first = strstr (received->str, "Answer: first");
  second = strstr (received->str, "Answer: second");
  ck_assert_msg (first != NULL && second != NULL && first < second, "%s", received->str);
  ck_assert_ptr_nonnull (strstr (second, "Connection: close"));
  ck_assert_ptr_null (g_strstr_len (first, second - first, "Connection: close"));
}
END_TEST

/* Guards against requests that are run and lost: a response that waits for an earlier one was
 * marked as the connection's last, and requests that arrived until it was written got no answer. */
START_TEST (test_request_behind_a_ready_response_is_answered_during_shutdown)
{
  static const char *const answers[] = { "Answer: first", "Answer: second", "Answer: third" };

  send_text (FIRST_REQUEST SECOND_REQUEST);
  wait_for_requests (2);
  anvil_relay_callers_begin_shutdown (callers);
  respond_to (1, "Answer: second\r\n");
  send_text (SECOND_REQUEST);
  wait_for_requests (2);
  respond_to_first ("Answer: first\r\n");
  run_for (10 * ANVIL_MS);
  ck_assert_msg (n_disconnected == 0, "a delivered request was reported as disconnected");
  respond_to_first ("Answer: third\r\n");
  wait_for_close ();
  assert_answers (answers, G_N_ELEMENTS (answers));
}
END_TEST

/* Guards against the same loss of a request whose second half arrives during shutdown, before or
 * after the response ahead of it is written. */
START_TEST (test_request_that_arrives_in_parts_is_answered_during_shutdown)
{
  static const char *const answers[] = { "Answer: first", "Answer: second", "Answer: third" };

  for (guint late = 0; late < 2; late++)
    {
      tear_down ();
      set_up ();
      send_text (FIRST_REQUEST SECOND_REQUEST "GET /c HTTP/1.1\r\nHo");
      wait_for_requests (2);
      run_for (10 * ANVIL_MS);
      anvil_relay_callers_begin_shutdown (callers);
      respond_to (1, "Answer: second\r\n");
      if (late)
        respond_to_first ("Answer: first\r\n");
      run_for (10 * ANVIL_MS);
      send_text ("st: h\r\n\r\n");
      wait_for_requests (late ? 1 : 2);
      if (!late)
        respond_to_first ("Answer: first\r\n");
      run_for (10 * ANVIL_MS);
      ck_assert_msg (n_disconnected == 0, "a delivered request was reported as disconnected");
      respond_to_first ("Answer: third\r\n");
      wait_for_close ();
      assert_answers (answers, G_N_ELEMENTS (answers));
    }
}
END_TEST

/* Two responses are ready, and the caller reads none of them. */
START_TEST (test_a_caller_that_does_not_read_is_disconnected_at_the_memory_limit)
{
  char *text = g_strnfill (3 * MAX_UNSENT_BYTES, 'x');
  anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;

  /* The time-out for writing must not end the connection first. */
  limits.idle_timeout = WAIT_TIMEOUT;
  send_text (FIRST_REQUEST SECOND_REQUEST SECOND_REQUEST);
  wait_for_requests (3);
  for (guint i = 0; i < 2; i++)
    {
      struct evbuffer *body = evbuffer_new ();

      evbuffer_add (body, text, 3 * MAX_UNSENT_BYTES);
      anvil_relay_respond (g_ptr_array_steal_index (requests, 0), 200, (anvil_str_t){ 0 }, body);
      evbuffer_free (body);
    }
  while (anvil_relay_callers_count_connections (callers) > 0 && anvil_clock_now () < deadline)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_uint_eq (anvil_relay_callers_count_connections (callers), 0);
  ck_assert_uint_eq (anvil_relay_callers_unsent_bytes (callers), 0);
  ck_assert_uint_eq (n_disconnected, 1);
  g_free (text);
}
END_TEST

START_TEST (test_unsent_bytes_are_counted_until_the_caller_has_read_them)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = g_strnfill (MAX_UNSENT_BYTES / 2, 'x');

  evbuffer_add (body, text, MAX_UNSENT_BYTES / 2);
  send_text (FIRST_REQUEST);
  wait_for_requests (1);
  anvil_relay_respond (g_ptr_array_steal_index (requests, 0), 200, (anvil_str_t){ 0 }, body);
  ck_assert_uint_gt (anvil_relay_callers_unsent_bytes (callers), 0);
  while (received->len < MAX_UNSENT_BYTES / 2)
    ck_assert (run_loop_once ());
  run_for (10 * ANVIL_MS);
  ck_assert_uint_eq (anvil_relay_callers_unsent_bytes (callers), 0);
  evbuffer_free (body);
  g_free (text);
}
END_TEST

/* More than the sockets of a connection hold. */
#define LONG_RESPONSE_BYTES ((gsize) 16 << 20)

/* Guards against a part of an upload that is handed over as a request when its caller resets the
 * connection, also if it is the write of an earlier response that learns of the reset. */
START_TEST (test_a_caller_that_resets_during_its_upload_is_gone)
{
  const gboolean writing = _i == 1;
  const struct linger linger = { .l_onoff = 1 };
  char *text = g_strnfill (LONG_RESPONSE_BYTES, 'x');
  struct evbuffer *body = evbuffer_new ();
  anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;

  limits.idle_timeout = WAIT_TIMEOUT;
  evbuffer_add (body, text, writing ? LONG_RESPONSE_BYTES : 0);
  send_text (FIRST_REQUEST SECOND_REQUEST);
  wait_for_requests (2);
  anvil_relay_respond (g_ptr_array_steal_index (requests, 0), 200, (anvil_str_t){ 0 }, body);
  send_text ("POST /c HTTP/1.1\r\nHost: h\r\nRequest-Id: three\r\nContent-Length: 4\r\n\r\nbod");
  for (guint i = 0; i < 20; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_uint_eq (anvil_relay_callers_count_connections (callers), 1);
  ck_assert_int_eq (anvil_relay_callers_unsent_bytes (callers) > 0, writing);
  ck_assert_int_eq (setsockopt (caller, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (caller);
  while (anvil_relay_callers_count_connections (callers) > 0 && anvil_clock_now () < deadline)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_uint_eq (anvil_relay_callers_count_connections (callers), 0);
  ck_assert_uint_eq (anvil_relay_callers_buffered_bytes (callers), 0);
  ck_assert_uint_eq (n_disconnected, 1);
  ck_assert_uint_eq (requests->len, 1);
  caller = -1;
  evbuffer_free (body);
  g_free (text);
}
END_TEST

#define OFFERS                                                                                     \
  "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABk\r\n"            \
  "Expect: 100-continue\r\nTE: trailers\r\n"

static int
connect_another (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (anvil_relay_callers_port (callers)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  run_for (5 * ANVIL_MS);
  return fd;
}

static gboolean
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/* Guards against idle connections that keep new callers out. */
START_TEST (test_a_new_connection_displaces_the_one_that_is_idle_longest)
{
  int others[MAX_CONNECTIONS];

  limits.idle_timeout = WAIT_TIMEOUT;
  send_text ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_requests (1);
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    others[i] = connect_another ();
  ck_assert (is_closed (others[0]));
  for (guint i = 1; i < MAX_CONNECTIONS; i++)
    ck_assert (!is_closed (others[i]));
  ck_assert_uint_eq (anvil_relay_callers_count_displaced (callers), 1);
  ck_assert_uint_eq (anvil_relay_callers_count_connections (callers), MAX_CONNECTIONS);
  /* The first connection waits for its response, so it isn't idle. */
  respond_to_first ("");
  run_for (5 * ANVIL_MS);
  ck_assert_ptr_nonnull (strstr (received->str, "200 OK"));
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    close (others[i]);
}
END_TEST

/* Guards against proper requests that are answered 400: they offer another protocol, and the body
 * or the next request comes in a later packet. */
START_TEST (test_offers_of_other_protocols_are_not_taken_up)
{
  static const char text[]
      = "POST /a HTTP/1.1\r\nHost: h\r\n" OFFERS "Content-Length: 4\r\n\r\nbody"
        "GET /b HTTP/1.1\r\nHost: h\r\n" OFFERS "\r\n"
        "POST /c HTTP/1.1\r\nHost: h\r\n" OFFERS
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

  for (gsize split = 1; split < strlen (text); split++)
    {
      tear_down ();
      set_up ();
      ck_assert_int_eq (send (caller, text, split, MSG_NOSIGNAL), (ssize_t) split);
      run_for (2 * ANVIL_MS);
      send_text (text + split);
      wait_for_requests (3);
      for (guint i = 0; i < requests->len; i++)
        {
          const anvil_relay_request_t *request = requests->pdata[i];

          ck_assert_uint_eq (evbuffer_get_length (request->body), i == 1 ? 0 : 4);
          ck_assert_ptr_null (strstr (request->headers->str, "Upgrade"));
          ck_assert_ptr_null (strstr (request->headers->str, "HTTP2-Settings"));
        }
    }
}
END_TEST

/* Bytes without end instead of a request, until the entry closes the connection. */
START_TEST (test_input_without_end_is_refused)
{
  static const struct
  {
    const char *start;
    const char *piece;
  } floods[] = {
    { "", "\r\n" },
    { "GET /", "x" },
    { "GET / HTTP/1.1\r\nFiller: ", "x" },
    { "GET / HTTP/1.1\r\n", "Filler: x\r\n" },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n" },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x" },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: x\r\n" },
  };
  const gsize max_bytes = 16u << 20;

  for (gsize i = 0; i < G_N_ELEMENTS (floods); i++)
    {
      gsize sent = 0;

      tear_down ();
      set_up ();
      send_text (floods[i].start);
      while (run_loop_once () && sent < max_bytes)
        {
          ssize_t n = send (caller, floods[i].piece, strlen (floods[i].piece), MSG_NOSIGNAL);

          sent += n > 0 ? (gsize) n : 0;
          for (guint j = 0; n > 0 && j < 2000; j++)
            {
              n = send (caller, floods[i].piece, strlen (floods[i].piece), MSG_NOSIGNAL);
              sent += n > 0 ? (gsize) n : 0;
            }
        }
      ck_assert_msg (sent < max_bytes, "%zu: %zu bytes were taken", i, sent);
      ck_assert_msg (g_str_has_prefix (received->str, "HTTP/1.1 4"), "%zu: %s", i, received->str);
      ck_assert_uint_eq (requests->len, 0);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-caller");
  TCase *tests = tcase_create ("relay-caller");
  TCase *long_responses = tcase_create ("long responses");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_idle_timeout_starts_with_the_last_response);
  tcase_add_test (tests, test_connection_is_not_idle_while_a_response_is_pending);
  tcase_add_test (tests, test_longer_idle_timeout_applies_to_open_connections);
  tcase_add_test (tests, test_idle_connection_is_closed);
  tcase_add_test (tests, test_stalled_body_is_answered_with_408);
  tcase_add_test (tests, test_shutdown_answers_all_pipelined_requests);
  tcase_add_test (tests, test_request_behind_a_ready_response_is_answered_during_shutdown);
  tcase_add_test (tests, test_request_that_arrives_in_parts_is_answered_during_shutdown);
  tcase_add_test (tests, test_a_caller_that_does_not_read_is_disconnected_at_the_memory_limit);
  tcase_add_test (tests, test_unsent_bytes_are_counted_until_the_caller_has_read_them);
  tcase_add_test (tests, test_a_new_connection_displaces_the_one_that_is_idle_longest);
  tcase_add_test (tests, test_offers_of_other_protocols_are_not_taken_up);
  tcase_add_test (tests, test_input_without_end_is_refused);
  suite_add_tcase (suite, tests);
  tcase_add_checked_fixture (long_responses, set_up_without_unsent_limit, tear_down);
  tcase_set_timeout (long_responses, 60);
  tcase_add_loop_test (long_responses, test_a_caller_that_resets_during_its_upload_is_gone, 0, 2);
  suite_add_tcase (suite, long_responses);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
