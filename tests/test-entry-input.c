/* Malformed, oversized and slow requests get an error response and do not affect other callers. */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "helper-entry.h"

#define PHOTOS "GET /a HTTP/1.1\r\nHost: photos\r\n"
#define BOOK "POST /b HTTP/1.1\r\nHost: booking\r\n"

/* A well-formed request of another caller is still served. */
static void
check_other_caller (rig_t *rig)
{
  int caller = rig_connect (rig);
  int upstream;
  char *text;

  rig_send (rig, caller, BOOK "Content-Length: 2\r\n\r\nok");
  upstream = rig_accept (rig, RIG_BOOKING);
  text = rig_read_message (rig, upstream);
  RIG_ASSERT_CONTAINS (text, "POST /b HTTP/1.1\r\n");
  g_free (text);
  rig_send (rig, upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone");
  text = rig_read_message (rig, caller);
  RIG_ASSERT_CONTAINS (text, "HTTP/1.1 200");
  RIG_ASSERT_CONTAINS (text, "\r\n\r\ndone");
  g_free (text);
  close (upstream);
  close (caller);
}

static const struct
{
  const char *description;
  const char *request;
  const char *status;
} bad_requests[] = {
  { "two lengths", BOOK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 400" },
  { "two lengths that differ", BOOK "Content-Length: 2\r\nContent-Length: 9\r\n\r\nok",
    "HTTP/1.1 400" },
  { "length and chunks",
    BOOK "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 400" },
  { "chunks and length",
    BOOK "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 400" },
  { "two encodings",
    BOOK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 400" },
  { "unknown encoding", BOOK "Transfer-Encoding: gzip, chunked\r\n\r\n" PHOTOS "\r\n",
    "HTTP/1.1 413" },
  { "space in a name", BOOK "Content-Length : 2\r\n\r\n", "HTTP/1.1 400" },
  { "signed length", BOOK "Content-Length: +2\r\n\r\nok", "HTTP/1.1 400" },
  { "negative length", BOOK "Content-Length: -2\r\n\r\n", "HTTP/1.1 400" },
  { "length in words", BOOK "Content-Length: many\r\n\r\n", "HTTP/1.1 400" },
  { "two hosts", PHOTOS "Host: booking\r\n\r\n", "HTTP/1.1 400" },
  { "no host", "GET /a HTTP/1.1\r\n\r\n", "HTTP/1.1 404" },
  { "unknown host", "GET /a HTTP/1.1\r\nHost: nobody\r\n\r\n", "HTTP/1.1 404" },
  { "empty key", BOOK "Idempotency-Key: \r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 400" },
  { "two keys", BOOK "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 400" },
  { "zero timeout", PHOTOS "Anvil-Timeout-Ms: 0\r\n\r\n", "HTTP/1.1 400" },
  { "timeout in words", PHOTOS "Anvil-Timeout-Ms: soon\r\n\r\n", "HTTP/1.1 400" },
  { "no HTTP", "hello\r\n\r\n", "HTTP/1.1 400" },
  { "look-up without a service", "GET /v1/entries HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400" },
  { "look-up of an unknown service",
    "GET /v1/entries?service=nobody&client=127.0.0.1 HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 404" },
  { "look-up for no address",
    "GET /v1/entries?service=photos&client=here HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 400" },
};

START_TEST (test_bad_requests_are_refused_and_closed)
{
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);
  char *response;

  rig_send (rig, caller, bad_requests[_i].request);
  response = rig_read_message (rig, caller);
  ck_assert_msg (g_str_has_prefix (response, bad_requests[_i].status), "%s: \"%s\"",
                 bad_requests[_i].description, response);
  /* Further data on the connection is not read as a request. */
  RIG_WAIT (rig, rig_peer_closed (caller));
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING)
             && !rig_connection_pending (rig, RIG_PHOTOS));
  g_free (response);
  close (caller);
  check_other_caller (rig);
  rig_close (rig);
}
END_TEST

START_TEST (test_data_after_an_ambiguous_request_is_not_read_as_a_request)
{
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);
  char *response;

  rig_send (rig, caller,
            BOOK "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" PHOTOS "\r\n");
  response = rig_read_message (rig, caller);
  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 400");
  RIG_WAIT (rig, rig_peer_closed (caller));
  ck_assert (!rig_connection_pending (rig, RIG_PHOTOS));
  g_free (response);
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_keys_up_to_128_bytes_are_accepted)
{
  rig_t *rig = rig_open (NULL);
  char *longest = g_strnfill (128, 'k');
  char *request = g_strdup_printf (PHOTOS "Idempotency-Key: %s\r\n\r\n", longest);
  char *too_long = g_strdup_printf (PHOTOS "Idempotency-Key: %sk\r\n\r\n", longest);
  char *response = rig_exchange (rig, too_long);
  int caller = rig_connect (rig);
  int upstream;

  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 400");
  RIG_ASSERT_CONTAINS (response, "128");
  g_free (response);
  rig_send (rig, caller, request);
  upstream = rig_accept (rig, RIG_PHOTOS);
  response = rig_read_message (rig, upstream);
  RIG_ASSERT_CONTAINS (response, longest);
  g_free (response);
  g_free (request);
  g_free (too_long);
  g_free (longest);
  close (upstream);
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_headers_over_the_limit)
{
  rig_t *rig = rig_open (NULL);
  char *filler = g_strnfill (8192, 'h');
  char *request = g_strdup_printf (PHOTOS "X-Filler: %s\r\n\r\n", filler);
  int caller = rig_connect (rig);

  rig_send (rig, caller, request);
  RIG_WAIT (rig, rig_peer_closed (caller));
  ck_assert (!rig_connection_pending (rig, RIG_PHOTOS));
  close (caller);
  check_other_caller (rig);
  g_free (request);
  g_free (filler);
  rig_close (rig);
}
END_TEST

START_TEST (test_body_over_the_limits)
{
  rig_t *rig = rig_open (NULL);
  char *body = g_strnfill (65 << 10, 'b');
  char *oversized_request = g_strdup_printf (BOOK "Content-Length: %d\r\n\r\n%s", 65 << 10, body);
  char *response = rig_exchange (rig, oversized_request);

  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 413");
  g_free (response);
  /* A body over the limit for all services is not read at all. */
  response = rig_exchange (rig, BOOK "Content-Length: 1000000\r\n\r\n");
  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 413");
  g_free (response);
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  check_other_caller (rig);
  g_free (oversized_request);
  g_free (body);
  rig_close (rig);
}
END_TEST

START_TEST (test_slow_request_times_out)
{
  const anvil_caller_limits_t limits
      = { .read_timeout = 100 * ANVIL_MS, .max_buffered_bytes = 1 << 20 };
  rig_t *rig = rig_open (&limits);
  int caller = rig_connect (rig);
  char *response;

  /* Single bytes prevent the idle time-out, but not the time-out for the whole request. */
  rig_send (rig, caller, "GET /a HTTP/1.1\r\nX-Slow: ");
  while (!rig_readable (caller))
    rig_send (rig, caller, "s");
  response = rig_read_message (rig, caller);
  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 408");
  RIG_ASSERT_CONTAINS (response, "Anvil-Outcome: refused");
  RIG_WAIT (rig, rig_peer_closed (caller));
  ck_assert_uint_eq (rig_counter (rig, "anvil_bad_requests_total", "reason=\"slow\""), 1);
  g_free (response);
  close (caller);
  check_other_caller (rig);
  rig_close (rig);
}
END_TEST

START_TEST (test_buffered_request_bytes_are_limited)
{
  const anvil_caller_limits_t limits
      = { .read_timeout = RIG_TIMEOUT, .max_buffered_bytes = 100 << 10 };
  rig_t *rig = rig_open (&limits);
  char *body = g_strnfill (40 << 10, 'b');
  char *partial_request = g_strdup_printf (BOOK "Content-Length: %d\r\n\r\n%s", 60 << 10, body);
  int callers[3];
  char *response;

  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      callers[i] = rig_connect (rig);
      rig_send (rig, callers[i], partial_request);
    }
  RIG_WAIT (rig,
            rig_readable (callers[0]) || rig_readable (callers[1]) || rig_readable (callers[2]));
  ck_assert_uint_eq (rig_counter (rig, "anvil_bad_requests_total", "reason=\"memory\""), 1);
  ck_assert_uint_le (anvil_caller_connections_buffered_bytes (rig->callers), 100 << 10);
  response = rig_read_message (rig, callers[2]);
  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 503");
  RIG_ASSERT_CONTAINS (response, "Anvil-Outcome: refused");
  RIG_ASSERT_CONTAINS (response, "Retry-After: ");
  g_free (response);
  for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
    close (callers[i]);
  RIG_WAIT (rig, anvil_caller_connections_buffered_bytes (rig->callers) == 0);
  check_other_caller (rig);
  g_free (partial_request);
  g_free (body);
  rig_close (rig);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry-input");
  TCase *tcase = tcase_create ("entry-input");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_bad_requests_are_refused_and_closed, 0,
                       G_N_ELEMENTS (bad_requests));
  tcase_add_test (tcase, test_data_after_an_ambiguous_request_is_not_read_as_a_request);
  tcase_add_test (tcase, test_keys_up_to_128_bytes_are_accepted);
  tcase_add_test (tcase, test_headers_over_the_limit);
  tcase_add_test (tcase, test_body_over_the_limits);
  tcase_add_test (tcase, test_slow_request_times_out);
  tcase_add_test (tcase, test_buffered_request_bytes_are_limited);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
