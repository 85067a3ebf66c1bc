/* Requests through an entry: whole answers, truthful outcomes, one dispatch. */

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

/* A request that has reached its upstream. */
typedef struct
{
  int caller;
  int upstream;
} exchange_t;

static exchange_t
begin (rig_t *rig, const char *request, guint upstream)
{
  exchange_t exchange = { .caller = rig_connect (rig) };

  rig_send (rig, exchange.caller, request);
  exchange.upstream = rig_accept (rig, upstream);
  g_free (rig_read_message (rig, exchange.upstream));
  return exchange;
}

static void
end (const exchange_t *exchange)
{
  close (exchange->caller);
  close (exchange->upstream);
}

static void
check_answer (rig_t *rig, int caller, const char *status, const char *outcome)
{
  char *answer = rig_read_message (rig, caller);
  char *line = g_strdup_printf ("Anvil-Outcome: %s\r\n", outcome);

  ck_assert_msg (g_str_has_prefix (answer, status), "expected %s: \"%s\"", status, answer);
  RIG_ASSERT_CONTAINS (answer, line);
  g_free (line);
  g_free (answer);
}

START_TEST (test_answer_is_passed_on_whole)
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

START_TEST (test_closed_connections_take_nothing_from_later_ones)
{
  char *body = g_strnfill (CLOSING_BODY_BYTES, 'b');
  rig_t *rig = rig_open (NULL);

  /* Each caller's socket gets the number of the one that has just been closed. */
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
      check_answer (rig, exchange.caller, "HTTP/1.1 200", "answered");
      RIG_WAIT (rig, rig_peer_closed (exchange.caller));
      end (&exchange);
      g_free (text);
      g_free (request);
    }
  rig_close (rig);
  g_free (body);
}
END_TEST

START_TEST (test_spans_of_every_hop)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = begin (rig, GET_PHOTO, RIG_PHOTOS);
  GString *spans = g_string_new (NULL);

  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_answer (rig, exchange.caller, "HTTP/1.1 200", "answered");
  anvil_trace_ring_render (rig->traces, spans);
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"wait\"");
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"attempt\"");
  RIG_ASSERT_CONTAINS (spans->str, "\"name\":\"request\"");
  RIG_ASSERT_CONTAINS (spans->str, "photos-west-a-1");
  g_string_free (spans, TRUE);
  end (&exchange);
  rig_close (rig);
}
END_TEST

/* Ends of an upstream's answer after which nobody can say whether all of it came. */
static const char *const broken_answers[] = {
  "",
  "HTTP/1.1 200 OK\r\nContent-Le",
  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
  "HTTP/1.1 200 OK\r\n\r\nno end",
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 6\r\n\r\nlength",
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "not HTTP at all\r\n\r\n",
};

START_TEST (test_broken_answer_is_unknown_and_not_sent_again)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = begin (rig, POST_BOOKING, RIG_BOOKING);

  rig_send (rig, exchange.upstream, broken_answers[_i]);
  shutdown (exchange.upstream, SHUT_WR);
  check_answer (rig, exchange.caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  ck_assert_uint_eq (rig_counter (rig, "anvil_attempts_total", "result=\"unknown\""), 1);
  end (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_answer_over_its_bound_is_unknown)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = begin (rig, POST_BOOKING, RIG_BOOKING);
  char *body = g_strnfill ((1 << 20) + 1, 'a');

  rig_send (rig, exchange.upstream, "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n");
  rig_send (rig, exchange.upstream, body);
  check_answer (rig, exchange.caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  g_free (body);
  end (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_idempotent_request_is_tried_again)
{
  rig_t *rig = rig_open (NULL);
  exchange_t exchange = begin (rig, GET_PHOTO, RIG_PHOTOS);

  close (exchange.upstream);
  exchange.upstream = rig_accept (rig, RIG_PHOTOS);
  g_free (rig_read_message (rig, exchange.upstream));
  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_answer (rig, exchange.caller, "HTTP/1.1 200", "answered");
  end (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_reused_connection_that_dies_is_not_sent_on_again)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = begin (rig, POST_BOOKING, RIG_BOOKING);
  int caller = rig_connect (rig);
  char *text;

  rig_send (rig, first.upstream, OK ("2", "ok"));
  check_answer (rig, first.caller, "HTTP/1.1 200", "answered");
  rig_send (rig, caller, POST_BOOKING);
  text = rig_read_message (rig, first.upstream);
  RIG_ASSERT_CONTAINS (text, "\r\n\r\nbook");
  g_free (text);
  shutdown (first.upstream, SHUT_RDWR);
  check_answer (rig, caller, "HTTP/1.1 502", "unknown");
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
  ck_assert_uint_eq (anvil_steer_counters (rig->steer)->dispatched, 2);
  close (caller);
  end (&first);
  rig_close (rig);
}
END_TEST

START_TEST (test_upstream_that_refuses_connections_has_run_nothing)
{
  rig_t *rig = rig_open (NULL);
  int caller = rig_connect (rig);

  shutdown (rig->upstream_listeners[RIG_BOOKING], SHUT_RDWR);
  rig_send (rig, caller, POST_BOOKING);
  check_answer (rig, caller, "HTTP/1.1 503", "refused");
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_word_of_the_upstream_decides_what_a_503_means)
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
  char *answer = g_strdup_printf (
      "HTTP/1.1 503 No\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", cases[_i].header);

  rig_send (rig, caller, POST_BOOKING);
  while (!rig_readable (caller))
    {
      rig_step (rig, 0);
      if (rig_connection_pending (rig, RIG_BOOKING))
        {
          int upstream = rig_accept (rig, RIG_BOOKING);

          g_free (rig_read_message (rig, upstream));
          rig_send (rig, upstream, answer);
          close (upstream);
        }
    }
  check_answer (rig, caller, "HTTP/1.1 503", cases[_i].outcome);
  ck_assert_uint_ge (rig_counter (rig, "anvil_attempts_total", cases[_i].result), 1);
  ck_assert_uint_eq (rig_counter (rig, "anvil_attempts_total", "result=\"unknown\""), 0);
  g_free (answer);
  close (caller);
  rig_close (rig);
}
END_TEST

START_TEST (test_late_answer_reaches_nobody)
{
  rig_t *rig = rig_open (NULL);
  exchange_t late = begin (rig,
                           "POST /late HTTP/1.1\r\nHost: booking\r\nAnvil-Timeout-Ms: 200\r\n"
                           "Content-Length: 4\r\n\r\nbook",
                           RIG_BOOKING);
  exchange_t next;
  char *answer;

  check_answer (rig, late.caller, "HTTP/1.1 504", "unknown");
  /* Its connection was closed, which cancels the work; the answer goes nowhere. */
  RIG_WAIT (rig, rig_peer_closed (late.upstream));
  rig_send (rig, late.upstream, OK ("4", "late"));
  next = begin (rig, POST_BOOKING, RIG_BOOKING);
  rig_send (rig, next.upstream, OK ("4", "next"));
  answer = rig_read_message (rig, next.caller);
  RIG_ASSERT_CONTAINS (answer, "\r\n\r\nnext");
  g_free (answer);
  end (&late);
  end (&next);
  rig_close (rig);
}
END_TEST

START_TEST (test_answer_too_many_reaches_nobody)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = begin (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t next;
  char *answer;

  rig_send (rig, first.upstream, OK ("5", "first") OK ("5", "extra"));
  answer = rig_read_message (rig, first.caller);
  RIG_ASSERT_CONTAINS (answer, "\r\n\r\nfirst");
  g_free (answer);
  /* The connection isn't used again. */
  next = begin (rig, POST_BOOKING, RIG_BOOKING);
  rig_send (rig, next.upstream, OK ("4", "next"));
  answer = rig_read_message (rig, next.caller);
  RIG_ASSERT_CONTAINS (answer, "\r\n\r\nnext");
  g_free (answer);
  end (&first);
  end (&next);
  rig_close (rig);
}
END_TEST

START_TEST (test_answers_in_another_order_reach_their_own_callers)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = begin (rig, GET_PHOTO, RIG_PHOTOS);
  exchange_t second = begin (rig, GET_PHOTO, RIG_PHOTOS);
  char *answer;

  rig_send (rig, second.upstream, OK ("6", "second"));
  answer = rig_read_message (rig, second.caller);
  RIG_ASSERT_CONTAINS (answer, "\r\n\r\nsecond");
  g_free (answer);
  ck_assert (!rig_readable (first.caller));
  rig_send (rig, first.upstream, OK ("5", "first"));
  answer = rig_read_message (rig, first.caller);
  RIG_ASSERT_CONTAINS (answer, "\r\n\r\nfirst");
  g_free (answer);
  end (&first);
  end (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_caller_that_leaves_cancels_what_may_run_again)
{
  rig_t *rig = rig_open (NULL);
  exchange_t photo = begin (rig, GET_PHOTO, RIG_PHOTOS);
  exchange_t booking = begin (rig, POST_BOOKING, RIG_BOOKING);

  close (photo.caller);
  RIG_WAIT (rig, rig_peer_closed (photo.upstream));
  ck_assert (!rig_connection_pending (rig, RIG_PHOTOS));
  /* A booking is left to end. */
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

START_TEST (test_caller_that_leaves_while_it_waits_is_not_run)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = begin (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t second = begin (rig, POST_BOOKING, RIG_BOOKING);
  int caller = rig_connect (rig);

  rig_send (rig, caller, POST_BOOKING);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 3);
  close (caller);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 2);
  rig_send (rig, first.upstream, OK ("2", "ok"));
  check_answer (rig, first.caller, "HTTP/1.1 200", "answered");
  rig_send (rig, second.upstream, OK ("2", "ok"));
  check_answer (rig, second.caller, "HTTP/1.1 200", "answered");
  ck_assert_uint_eq (anvil_steer_counters (rig->steer)->dispatched, 2);
  end (&first);
  end (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_queue_that_is_full_refuses)
{
  rig_t *rig = rig_open (NULL);
  exchange_t first = begin (rig, POST_BOOKING, RIG_BOOKING);
  exchange_t second = begin (rig, POST_BOOKING, RIG_BOOKING);
  int waiting[2] = { rig_connect (rig), rig_connect (rig) };
  char *answer;

  rig_send (rig, waiting[0], POST_BOOKING);
  rig_send (rig, waiting[1], POST_BOOKING);
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 4);
  answer = rig_exchange (rig, POST_BOOKING);
  RIG_ASSERT_CONTAINS (answer, "HTTP/1.1 503");
  RIG_ASSERT_CONTAINS (answer, "Anvil-Outcome: refused");
  RIG_ASSERT_CONTAINS (answer, "Retry-After: ");
  g_free (answer);
  /* Those that wait run into their deadline and were not run either. */
  check_answer (rig, waiting[0], "HTTP/1.1 503", "refused");
  close (waiting[0]);
  close (waiting[1]);
  end (&first);
  end (&second);
  rig_close (rig);
}
END_TEST

START_TEST (test_connections_come_from_the_address_of_the_entry)
{
  rig_t *rig = rig_open (NULL);
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof peer;
  exchange_t exchange;

  anvil_upstream_pool_set_local_address (rig->upstream_pool, INADDR_LOOPBACK + 6);
  exchange = begin (rig, GET_PHOTO, RIG_PHOTOS);
  ck_assert_int_eq (getpeername (exchange.upstream, (struct sockaddr *) &peer, &length), 0);
  ck_assert_uint_eq (ntohl (peer.sin_addr.s_addr), INADDR_LOOPBACK + 6);
  rig_send (rig, exchange.upstream, OK ("2", "hi"));
  check_answer (rig, exchange.caller, "HTTP/1.1 200", "answered");
  end (&exchange);
  rig_close (rig);
}
END_TEST

START_TEST (test_lookup_says_which_entries_to_use)
{
  rig_t *rig = rig_open (NULL);
  char *answer = rig_exchange (
      rig, "GET /v1/entries?service=photos&client=127.0.0.9 HTTP/1.1\r\nHost: x\r\n\r\n");

  RIG_ASSERT_CONTAINS (answer, "HTTP/1.1 200");
  RIG_ASSERT_CONTAINS (answer, "Cache-Control: max-age=5\r\n");
  RIG_ASSERT_CONTAINS (answer, "\"generation\":1");
  RIG_ASSERT_CONTAINS (answer, "\"ttl_seconds\":5");
  RIG_ASSERT_CONTAINS (answer, "\"address\":\"127.0.0.1\"");
  RIG_ASSERT_CONTAINS (answer, "\"zone\":\"west-a\"");
  g_free (answer);
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
  tcase_add_test (tcase, test_answer_is_passed_on_whole);
  tcase_add_test (tcase, test_closed_connections_take_nothing_from_later_ones);
  tcase_add_test (tcase, test_spans_of_every_hop);
  tcase_add_loop_test (tcase, test_broken_answer_is_unknown_and_not_sent_again, 0,
                       G_N_ELEMENTS (broken_answers));
  tcase_add_test (tcase, test_answer_over_its_bound_is_unknown);
  tcase_add_test (tcase, test_idempotent_request_is_tried_again);
  tcase_add_test (tcase, test_reused_connection_that_dies_is_not_sent_on_again);
  tcase_add_test (tcase, test_upstream_that_refuses_connections_has_run_nothing);
  tcase_add_loop_test (tcase, test_word_of_the_upstream_decides_what_a_503_means, 0, 3);
  tcase_add_test (tcase, test_late_answer_reaches_nobody);
  tcase_add_test (tcase, test_answer_too_many_reaches_nobody);
  tcase_add_test (tcase, test_answers_in_another_order_reach_their_own_callers);
  tcase_add_test (tcase, test_caller_that_leaves_cancels_what_may_run_again);
  tcase_add_test (tcase, test_caller_that_leaves_while_it_waits_is_not_run);
  tcase_add_test (tcase, test_queue_that_is_full_refuses);
  tcase_add_test (tcase, test_connections_come_from_the_address_of_the_entry);
  tcase_add_test (tcase, test_lookup_says_which_entries_to_use);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
