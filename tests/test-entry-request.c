/* Requests through an entry: complete responses, correct outcomes, no unsafe second attempt. */

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "helper-entry.h"

#define GET_PHOTO "GET /photo HTTP/1.1\r\nHost: photos\r\n\r\n"
#define POST_BOOKING "POST /book HTTP/1.1\r\nHost: booking\r\nContent-Length: 4\r\n\r\nbook"
#define OK(length, body) "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body

#define N_CLOSING_CALLERS 8u
#define CLOSING_BODY_BYTES 40000u

/* A request that was received by its upstream. */
typedef struct
{
  int caller;
  int upstream;
} exchange_t;

static exchange_t
start_exchange (rig_t *rig, const char *request, guint upstream)
{
  exchange_t exchange = { .caller = rig_connect (rig) };

  rig_send (rig, exchange.caller, request);
  exchange.upstream = rig_accept (rig, upstream);
  g_free (rig_read_message (rig, exchange.upstream));
  return exchange;
}

static void
close_exchange (const exchange_t *exchange)
{
  close (exchange->caller);
  close (exchange->upstream);
}

static void
check_response (rig_t *rig, int caller, const char *status, const char *outcome)
{
  char *response = rig_read_message (rig, caller);
  char *line = g_strdup_printf ("Anvil-Outcome: %s\r\n", outcome);

  ck_assert_msg (g_str_has_prefix (response, status), "expected %s: \"%s\"", status, response);
  RIG_ASSERT_CONTAINS (response, line);
  g_free (line);
  g_free (response);
}

START_TEST (test_request_and_response_are_forwarded)
{
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);
  char *text;
  int upstream;

  rig_send (rig, caller,
            "POST /book?x=1 HTTP/1.1\r\nHost: booking:8000\r\nContent-Length: 4\r\n"
            "Idempotency-Key: k1\r\nX-Own: kept\r\nConnection: keep-alive\r\n"
            "Anvil-Timeout-Ms: 1500\r\n"
            "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n\r\nbook");
  upstream = rig_accept (rig, RIG_BOOKING);
  text = rig_read_message (rig, upstream);
  RIG_ASSERT_CONTAINS (text, "POST /book?x=1 HTTP/1.1\r\n");
  RIG_ASSERT_CONTAINS (text, "Idempotency-Key: k1\r\n");
  RIG_ASSERT_CONTAINS (text, "X-Own: kept\r\n");
  RIG_ASSERT_CONTAINS (text, "traceparent: 00-0af7651916cd43dd8448eb211c80319c-");
  ck_assert (strstr (text, "b7ad6b7169203331") == NULL);
  RIG_ASSERT_CONTAINS (text, "Anvil-Timeout-Ms: 1");
  RIG_ASSERT_CONTAINS (text, "\r\n\r\nbook");
  g_free (text);

  rig_send (rig, upstream,
            "HTTP/1.1 201 Made\r\nX-Own: back\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  text = rig_read_message (rig, caller);
  RIG_ASSERT_CONTAINS (text, "HTTP/1.1 201 Made\r\n");
  RIG_ASSERT_CONTAINS (text, "X-Own: back\r\n");
  RIG_ASSERT_CONTAINS (text, "Anvil-Outcome: answered\r\n");
  RIG_ASSERT_CONTAINS (text, "\r\n\r\nabcde");
  g_free (text);
  close (upstream);
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_closed_connections_do_not_read_from_reused_descriptors)
{
  char *body = g_strnfill (CLOSING_BODY_BYTES, 'b');
  rig_t *rig = rig_open (NULL);

  /* Guards against a closed connection that still reads from its descriptor: each caller's socket
   * reuses the descriptor of the one closed before, and would lose part of its request. */
  for (guint i = 0; i < N_CLOSING_CALLERS; i++)
    {
      char *request
          = g_strdup_printf ("POST /book HTTP/1.1\r\nHost: booking\r\nConnection: close\r\n"
                             "Content-Length: %u\r\n\r\n%s",
                             CLOSING_BODY_BYTES, body);
      exchange_t exchange = { .caller = rig_connect (rig) };
      char *text;

      rig_send (rig, exchange.caller, request);
      exchange.upstream = rig_accept (rig, RIG_BOOKING);
      text = rig_read_message (rig, exchange.upstream);
      RIG_ASSERT_CONTAINS (text, body);
      rig_send (rig, exchange.upstream,
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
      check_response (rig, exchange.caller, "HTTP/1.1 200", "answered");
      RIG_WAIT (rig, rig_peer_closed (exchange.caller));
      close_exchange (&exchange);
      g_free (text);
      g_free (request);
    }
  rig_close (rig);
  g_free (body);
}
END_TEST

START_TEST (test_spans_are_recorded_for_every_hop)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);
  GString *spans = g_string_new (NULL);

  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_response (rig, exchange.caller, "HTTP/1.1 200", "answered");
  anvil_trace_ring_render (rig->traces, spans);
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"wait\"");
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"attempt\"");
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"request\"");
  RIG_ASSERT_CONTAINS (spans->str, "photos-west-a-1");
  g_string_free (spans, TRUE);
  close_exchange (&exchange);
  rig_close (rig);
}
END_TEST

/* Responses that are malformed, truncated or of unknown length. */
static const char *const broken_responses[] = {
  "",
  "HTTP/1.1 200 OK\r\nContent-Le",
  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
  "HTTP/1.1 200 OK\r\n\r\nno end",
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 6\r\n\r\nlength",
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "not HTTP at all\r\n\r\n",
};

START_TEST (test_broken_response_is_unknown_and_not_retried)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = start_exchange (rig, POST_BOOKING, RIG_BOOKING);

  rig_send (rig, exchange.upstream, broken_responses[_i]);
  shutdown (exchange.upstream, SHUT_WR);
  check_response (rig, exchange.caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  ck_assert_uint_eq (rig_counter (rig, "anvil_attempts_total", "result=\"unknown\""), 1);
  close_exchange (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_response_over_the_limit_is_unknown)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  char *body = g_strnfill ((1 << 20) + 1, 'a');

  rig_send (rig, exchange.upstream, "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n");
  rig_send (rig, exchange.upstream, body);
  check_response (rig, exchange.caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  g_free (body);
  close_exchange (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_idempotent_request_is_retried)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);

  close (exchange.upstream);
  exchange.upstream = rig_accept (rig, RIG_PHOTOS);
  g_free (rig_read_message (rig, exchange.upstream));
  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_response (rig, exchange.caller, "HTTP/1.1 200", "answered");
  close_exchange (&exchange);
  rig_close (rig);
}
END_TEST

/* The value of the header that names the attempt, as the upstream got it. */
static char *
attempt_id (const char *request)
{
  const char *start = strstr (request, "Anvil-Attempt-Id: ");

  if (start == NULL)
    return g_strdup ("-");
  start += strlen ("Anvil-Attempt-Id: ");
  return g_strndup (start, strcspn (start, "\r"));
}

/* Answers 200 with @body and, unless it is NULL, the id of an attempt. */
static void
send_ok (rig_t *rig, int upstream, const char *id, const char *body)
{
  char *line = id != NULL ? g_strdup_printf ("Anvil-Attempt-Id: %s\r\n", id) : g_strdup ("");
  char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s", line,
                                    strlen (body), body);

  rig_send (rig, upstream, response);
  g_free (response);
  g_free (line);
}

static exchange_t
start_booking (rig_t *rig, char **id)
{
  exchange_t exchange = { .caller = rig_connect (rig) };
  char *text;

  rig_send (rig, exchange.caller, POST_BOOKING);
  exchange.upstream = rig_accept (rig, RIG_BOOKING);
  text = rig_read_message (rig, exchange.upstream);
  *id = attempt_id (text);
  g_free (text);
  return exchange;
}

START_TEST (test_request_is_not_retried_after_a_reused_connection_closes)
{
  rig_t *rig = rig_open (NULL);
  char *id;
  exchange_t first = start_booking (rig, &id);
  int caller = rig_connect (rig);
  char *text;

  send_ok (rig, first.upstream, id, "ok");
  check_response (rig, first.caller, "HTTP/1.1 200", "answered");
  rig_send (rig, caller, POST_BOOKING);
  text = rig_read_message (rig, first.upstream);
  RIG_ASSERT_CONTAINS (text, "\r\n\r\nbook");
  g_free (text);
  shutdown (first.upstream, SHUT_RDWR);
  check_response (rig, caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  ck_assert_uint_eq (anvil_steer_counters (rig->steer)->dispatched, 2);
  close (caller);
  close_exchange (&first);
  g_free (id);
  rig_close (rig);
}
END_TEST

START_TEST (test_refused_connection_means_not_run)
{
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);

  shutdown (rig->upstream_listeners[RIG_BOOKING], SHUT_RDWR);
  rig_send (rig, caller, POST_BOOKING);
  check_response (rig, caller, "HTTP/1.1 503", "refused");
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_upstream_header_decides_the_meaning_of_a_503)
{
  static const struct
  {
    const char *header;
    const char *result;
    const char *outcome;
  } cases[] = {
    { "Anvil-Upstream: shed\r\n", "result=\"not-run\"", "refused" },
    { "Anvil-Upstream: draining\r\n", "result=\"draining\"", "refused" },
    { "", "result=\"answered\"", "answered" },
  };
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);
  char *response = g_strdup_printf (
      "HTTP/1.1 503 No\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", cases[_i].header);

  rig_send (rig, caller, POST_BOOKING);
  while (!rig_readable (caller))
    {
      rig_step (rig, 0);
      if (rig_connection_pending (rig, RIG_BOOKING))
        {
          int upstream = rig_accept (rig, RIG_BOOKING);

          g_free (rig_read_message (rig, upstream));
          rig_send (rig, upstream, response);
          close (upstream);
        }
    }
  check_response (rig, caller, "HTTP/1.1 503", cases[_i].outcome);
  ck_assert_uint_ge (rig_counter (rig, "anvil_attempts_total", cases[_i].result), 1);
  ck_assert_uint_eq (rig_counter (rig, "anvil_attempts_total", "result=\"unknown\""), 0);
  g_free (response);
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_late_response_is_dropped)
{
  rig_t *rig = rig_open (NULL);
  exchange_t late
      = start_exchange (rig,
                        "POST /late HTTP/1.1\r\nHost: booking\r\nAnvil-Timeout-Ms: 200\r\n"
                        "Content-Length: 4\r\n\r\nbook",
                        RIG_BOOKING);
  exchange_t next;
  char *response;

  check_response (rig, late.caller, "HTTP/1.1 504", "unknown");
  /* The entry has closed the connection, so the late response is not delivered to anybody. */
  RIG_WAIT (rig, rig_peer_closed (late.upstream));
  rig_send (rig, late.upstream, OK ("4", "late"));
  next = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  rig_send (rig, next.upstream, OK ("4", "next"));
  response = rig_read_message (rig, next.caller);
  RIG_ASSERT_CONTAINS (response, "\r\n\r\nnext");
  g_free (response);
  close_exchange (&late);
  close_exchange (&next);
  rig_close (rig);
}
END_TEST

START_TEST (test_surplus_response_is_dropped)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t next;
  char *response;

  rig_send (rig, first.upstream, OK ("5", "first") OK ("5", "extra"));
  response = rig_read_message (rig, first.caller);
  RIG_ASSERT_CONTAINS (response, "\r\n\r\nfirst");
  g_free (response);
  /* A connection with unexpected data is not reused. */
  next = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  rig_send (rig, next.upstream, OK ("4", "next"));
  response = rig_read_message (rig, next.caller);
  RIG_ASSERT_CONTAINS (response, "\r\n\r\nnext");
  g_free (response);
  close_exchange (&first);
  close_exchange (&next);
  rig_close (rig);
}
END_TEST

START_TEST (test_a_late_copy_is_not_taken_for_the_response_to_the_next_request)
{
  static const char *const copies[]
      = { "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nfirst",
          "HTTP/1.1 503 No\r\n%sAnvil-Upstream: shed\r\nContent-Length: 0\r\n\r\n" };
  const gboolean named = _i % 2 == 0;
  rig_t *rig = rig_open (NULL);
  char *id;
  exchange_t first = start_booking (rig, &id);
  int caller = rig_connect (rig);
  char *line = g_strdup_printf ("Anvil-Attempt-Id: %s\r\n", id);
  char *copy = g_strdup_printf (copies[_i / 2], named ? line : "");
  int upstream;

  send_ok (rig, first.upstream, id, "first");
  check_response (rig, first.caller, "HTTP/1.1 200", "answered");
  rig_send (rig, caller, POST_BOOKING);
  RIG_WAIT (rig, rig_readable (first.upstream) || rig_connection_pending (rig, RIG_BOOKING));
  upstream = rig_readable (first.upstream) ? first.upstream : rig_accept (rig, RIG_BOOKING);
  g_free (rig_read_message (rig, upstream));
  rig_send (rig, upstream, copy);
  check_response (rig, caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  close (caller);
  close_exchange (&first);
  g_free (copy);
  g_free (line);
  g_free (id);
  rig_close (rig);
}
END_TEST

START_TEST (test_a_connection_is_used_again_only_if_its_responses_name_their_requests)
{
  static const struct
  {
    const char *id;
    const char *status;
    const char *outcome;
    gboolean reused;
  } cases[] = {
    { "", "HTTP/1.1 200", "answered", TRUE },
    { NULL, "HTTP/1.1 200", "answered", FALSE },
    { "other", "HTTP/1.1 502", "unknown", FALSE },
  };
  rig_t *rig = rig_open (NULL);
  char *id;
  exchange_t first = start_booking (rig, &id);
  int caller = rig_connect (rig);
  const char *named = cases[_i].id != NULL && *cases[_i].id == '\0' ? id : cases[_i].id;

  send_ok (rig, first.upstream, named, "first");
  check_response (rig, first.caller, cases[_i].status, cases[_i].outcome);
  rig_send (rig, caller, POST_BOOKING);
  if (cases[_i].reused)
    {
      char *text = rig_read_message (rig, first.upstream);

      RIG_ASSERT_CONTAINS (text, "\r\n\r\nbook");
      g_free (text);
    }
  else
    {
      close (rig_accept (rig, RIG_BOOKING));
      ck_assert (rig_peer_closed (first.upstream));
    }
  close (caller);
  close_exchange (&first);
  g_free (id);
  rig_close (rig);
}
END_TEST

START_TEST (test_responses_out_of_order_reach_their_callers)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);
  exchange_t second = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);
  char *response;

  rig_send (rig, second.upstream, OK ("6", "second"));
  response = rig_read_message (rig, second.caller);
  RIG_ASSERT_CONTAINS (response, "\r\n\r\nsecond");
  g_free (response);
  ck_assert (!rig_readable (first.caller));
  rig_send (rig, first.upstream, OK ("5", "first"));
  response = rig_read_message (rig, first.caller);
  RIG_ASSERT_CONTAINS (response, "\r\n\r\nfirst");
  g_free (response);
  close_exchange (&first);
  close_exchange (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_disconnect_cancels_only_idempotent_requests)
{
  rig_t *rig = rig_open (NULL);
  exchange_t photo = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);
  exchange_t booking = start_exchange (rig, POST_BOOKING, RIG_BOOKING);

  close (photo.caller);
  RIG_WAIT (rig, rig_peer_closed (photo.upstream));
  ck_assert (!rig_connection_pending (rig, RIG_PHOTOS));
  /* A booking is not cancelled. */
  close (booking.caller);
  RIG_WAIT (rig, anvil_caller_connections_count (rig->callers) == 0);
  ck_assert (!rig_peer_closed (booking.upstream));
  rig_send (rig, booking.upstream, OK ("2", "ok"));
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 0);
  ck_assert_uint_eq (
      rig_counter (rig, "anvil_requests_total", "service=\"booking\",outcome=\"left\""), 1);
  close (photo.upstream);
  close (booking.upstream);
  rig_close (rig);
}
END_TEST

START_TEST (test_queued_request_of_a_disconnected_caller_is_not_run)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t second = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  int caller = rig_connect (rig);

  rig_send (rig, caller, POST_BOOKING);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 3);
  close (caller);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 2);
  rig_send (rig, first.upstream, OK ("2", "ok"));
  check_response (rig, first.caller, "HTTP/1.1 200", "answered");
  rig_send (rig, second.upstream, OK ("2", "ok"));
  check_response (rig, second.caller, "HTTP/1.1 200", "answered");
  ck_assert_uint_eq (anvil_steer_counters (rig->steer)->dispatched, 2);
  close_exchange (&first);
  close_exchange (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_full_queue_refuses_requests)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t second = start_exchange (rig, POST_BOOKING, RIG_BOOKING);
  int waiting[2] = { rig_connect (rig), rig_connect (rig) };
  char *response;

  rig_send (rig, waiting[0], POST_BOOKING);
  rig_send (rig, waiting[1], POST_BOOKING);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 4);
  response = rig_exchange (rig, POST_BOOKING);
  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 503");
  RIG_ASSERT_CONTAINS (response, "Anvil-Outcome: refused");
  RIG_ASSERT_CONTAINS (response, "Retry-After: ");
  g_free (response);
  /* Queued requests reach their deadline and are refused as not run. */
  check_response (rig, waiting[0], "HTTP/1.1 503", "refused");
  close (waiting[0]);
  close (waiting[1]);
  close_exchange (&first);
  close_exchange (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_upstream_connections_use_the_local_address)
{
  rig_t *rig = rig_open (NULL);
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof peer;
  exchange_t exchange;

  anvil_upstream_pool_set_local_address (rig->upstream_pool, INADDR_LOOPBACK + 6);
  exchange = start_exchange (rig, GET_PHOTO, RIG_PHOTOS);
  ck_assert_int_eq (getpeername (exchange.upstream, (struct sockaddr *) &peer, &length), 0);
  ck_assert_uint_eq (ntohl (peer.sin_addr.s_addr), INADDR_LOOPBACK + 6);
  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_response (rig, exchange.caller, "HTTP/1.1 200", "answered");
  close_exchange (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_lookup_returns_entries)
{
  rig_t *rig = rig_open (NULL);
  char *response = rig_exchange (
      rig, "GET /v1/entries?service=photos&client=127.0.0.9 HTTP/1.1\r\nHost: x\r\n\r\n");

  RIG_ASSERT_CONTAINS (response, "HTTP/1.1 200");
  RIG_ASSERT_CONTAINS (response, "Cache-Control: max-age=5\r\n");
  RIG_ASSERT_CONTAINS (response, "\"generation\":1");
  RIG_ASSERT_CONTAINS (response, "\"ttl_seconds\":5");
  RIG_ASSERT_CONTAINS (response, "\"address\":\"127.0.0.1\"");
  RIG_ASSERT_CONTAINS (response, "\"zone\":\"west-a\"");
  g_free (response);
  rig_close (rig);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry-request");
  TCase *tcase = tcase_create ("entry-request");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_request_and_response_are_forwarded);
  tcase_add_test (tcase, test_closed_connections_do_not_read_from_reused_descriptors);
  tcase_add_test (tcase, test_spans_are_recorded_for_every_hop);
  tcase_add_loop_test (tcase, test_broken_response_is_unknown_and_not_retried, 0,
                       G_N_ELEMENTS (broken_responses));
  tcase_add_test (tcase, test_response_over_the_limit_is_unknown);
  tcase_add_test (tcase, test_idempotent_request_is_retried);
  tcase_add_test (tcase, test_request_is_not_retried_after_a_reused_connection_closes);
  tcase_add_test (tcase, test_refused_connection_means_not_run);
  tcase_add_loop_test (tcase, test_upstream_header_decides_the_meaning_of_a_503, 0, 3);
  tcase_add_test (tcase, test_late_response_is_dropped);
  tcase_add_test (tcase, test_surplus_response_is_dropped);
  tcase_add_loop_test (tcase, test_a_late_copy_is_not_taken_for_the_response_to_the_next_request, 0,
                       4);
  tcase_add_loop_test (
      tcase, test_a_connection_is_used_again_only_if_its_responses_name_their_requests, 0, 3);
  tcase_add_test (tcase, test_responses_out_of_order_reach_their_callers);
  tcase_add_test (tcase, test_disconnect_cancels_only_idempotent_requests);
  tcase_add_test (tcase, test_queued_request_of_a_disconnected_caller_is_not_run);
  tcase_add_test (tcase, test_full_queue_refuses_requests);
  tcase_add_test (tcase, test_upstream_connections_use_the_local_address);
  tcase_add_test (tcase, test_lookup_returns_entries);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
