/* Attempts at an upstream without the rest of the entry: how their connections are closed, and what
 * becomes of responses that break off, come twice, or never end. */

#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/relay-upstream.h"

/* Longest wait for an expected event. */
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
/* Memory of the pool for responses; a fraction of what the tests send. */
#define MAX_BUFFERED_BYTES ((gsize) 4 << 20)

static const anvil_header_names_t header_names = { .request_id = "Request-Id",
                                                   .timeout_ms = "Deadline-Ms",
                                                   .object = "Affinity-Key",
                                                   .expected_upstream = "Expect-Instance",
                                                   .upstream_id = "Instance-Id",
                                                   .response_marker = "Server-Stamp",
                                                   .not_run = "Not-Run",
                                                   .request_limit = "Server-Limit",
                                                   .leaving = "Server-Leaving",
                                                   .load = "Server-Load" };

static struct event_base *base;
static anvil_relay_upstream_pool_t *pool;
static int listener;
static guint16 port;
static anvil_relay_attempt_t *attempt;
static gboolean is_done;
static anvil_run_result_t result;
static guint status;
static anvil_request_limit_t request_limit;
static guint speed;
static char *body_text;
static char *headers_text;

static void
on_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  is_done = TRUE;
  result = outcome->result;
  status = outcome->status;
  request_limit = outcome->request_limit;
  speed = outcome->speed;
  g_free (headers_text);
  headers_text = g_strdup (outcome->headers != NULL ? outcome->headers->str : "");
  g_free (body_text);
  body_text = outcome->body == NULL ? NULL
                                    : g_strndup ((const char *) evbuffer_pullup (outcome->body, -1),
                                                 evbuffer_get_length (outcome->body));
}

static anvil_relay_attempt_cb_t attempt_callback = on_done;
static anvil_announcement_t announced;
static guint n_announced;

static void
on_announced (void *context, const anvil_announcement_t *announcement)
{
  n_announced++;
  announced = *announcement;
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  is_done = FALSE;
  base = event_base_new ();
  pool = anvil_relay_upstream_pool_open (base, &header_names, 0, MAX_BUFFERED_BYTES);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 5), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &address, &length), 0);
  port = ntohs (address.sin_port);
}

static void
tear_down (void)
{
  anvil_relay_upstream_pool_close (pool);
  event_base_free (base);
  close (listener);
  g_clear_pointer (&body_text, g_free);
  g_clear_pointer (&headers_text, g_free);
}

static void
start_attempt_with_body (const char *id, const char *method, gsize length)
{
  GString *headers = g_string_new (NULL);
  struct evbuffer *body = evbuffer_new ();
  char *filler = g_strnfill (length, 'x');
  const anvil_relay_upstream_request_t request = { .upstream_key = 1,
                                                   .upstream_id = "u1",
                                                   .address = INADDR_LOOPBACK,
                                                   .port = port,
                                                   .method = method,
                                                   .target = "/a",
                                                   .headers = headers,
                                                   .body = body,
                                                   .id = id,
                                                   .idempotent = TRUE,
                                                   .timeout = WAIT_TIMEOUT,
                                                   .announced = on_announced };

  evbuffer_add (body, filler, length);
  g_free (filler);
  is_done = FALSE;
  if (id != NULL)
    g_string_printf (headers, "Request-Id: %s\r\n", id);
  attempt = anvil_relay_attempt_start (pool, &request, attempt_callback, NULL);
  g_string_free (headers, TRUE);
  evbuffer_free (body);
}

static void
start_attempt_with (const char *id, const char *method)
{
  start_attempt_with_body (id, method, 0);
}

static void
start_attempt_for (const char *id)
{
  start_attempt_with (id, "GET");
}

static void
start_attempt (void)
{
  start_attempt_for ("one");
}

static void
run_loop_once (void)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
}

/* Runs the event loop until @fd is readable. */
static void
wait_readable (int fd)
{
  anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  do
    {
      run_loop_once ();
      if (poll (&poll_fd, 1, 1) > 0)
        return;
  } while (anvil_clock_now () < deadline);
  ck_abort_msg ("nothing to read");
}

/* Accepts the connection and receives the request. */
static int
accept_request (void)
{
  char bytes[4096];
  int fd;

  wait_readable (listener);
  fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  wait_readable (fd);
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  return fd;
}

/* Returns how the entry closed the connection: 0 for an orderly close, ECONNRESET for a reset,
 * which drops data in transit. */
static int
receive_close (int fd)
{
  char bytes[4096];
  ssize_t n;

  wait_readable (fd);
  n = recv (fd, bytes, sizeof bytes, 0);
  ck_assert_int_le (n, 0);
  return n == 0 ? 0 : errno;
}

static void
send_response (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  for (anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;
       !is_done && anvil_clock_now () < deadline;)
    run_loop_once ();
  ck_assert (is_done);
}

static void
wait_until_done (void)
{
  for (anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;
       !is_done && anvil_clock_now () < deadline;)
    run_loop_once ();
  ck_assert (is_done);
}

/* Closes the upstream's end, by a reset if @reset. */
static void
close_end (int fd, gboolean reset)
{
  const struct linger linger = { .l_onoff = 1 };

  if (reset)
    ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (fd);
}

START_TEST (test_cancelled_attempt_resets_the_connection)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  ck_assert (anvil_relay_attempt_cancel (attempt));
  ck_assert_int_eq (receive_close (fd), ECONNRESET);
  close (fd);
}
END_TEST

START_TEST (test_failed_attempt_resets_the_connection)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, "nonsense\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  ck_assert_int_eq (receive_close (fd), ECONNRESET);
  close (fd);
}
END_TEST

/* At the deadline of a request that was suspended with its entry, the response is in the socket. */
START_TEST (test_bytes_that_have_arrived_are_noticed_before_they_are_read)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  ck_assert (!anvil_relay_attempt_has_unread_bytes (attempt));
  ck_assert_int_eq (send (fd, "H", 1, MSG_NOSIGNAL), 1);
  for (anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;
       !anvil_relay_attempt_has_unread_bytes (attempt) && anvil_clock_now () < deadline;)
    g_usleep (1000);
  ck_assert (anvil_relay_attempt_has_unread_bytes (attempt));
  anvil_relay_attempt_cancel (attempt);
  close (fd);
}
END_TEST

START_TEST (test_connection_close_of_upstream_is_orderly)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd,
                 "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 0\r\n"
                 "Connection: close\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_int_eq (receive_close (fd), 0);
  close (fd);
}
END_TEST

/* A response that ends early, by an orderly close or a reset at any place. */
START_TEST (test_a_response_that_breaks_off_is_never_complete)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
    "\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (responses); i++)
    for (gsize length = 0; length < strlen (responses[i]); length++)
      for (guint reset = 0; reset < 2; reset++)
        {
          int fd;

          start_attempt ();
          fd = accept_request ();
          ck_assert_int_eq (send (fd, responses[i], length, MSG_NOSIGNAL), (ssize_t) length);
          close_end (fd, reset != 0);
          wait_until_done ();
          ck_assert_msg (result == ANVIL_RUN_INTERRUPTED, "%zu: %zu bytes gave %d", i, length,
                         (int) result);
        }
}
END_TEST

#define CUT_HEAD "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n"

/* Guards against a success that is made of half of a head: the upstream stops in it and closes,
 * also behind interim responses, and where a response has no body or lines end with a bare line
 * feed. */
START_TEST (test_a_head_that_breaks_off_is_never_a_response)
{
  static const struct
  {
    const char *method;
    const char *head;
  } cases[] = {
    { "GET", CUT_HEAD "\r\n" },
    { "GET", CUT_HEAD "Content-Length: 0\r\n\r\n" },
    { "GET", "HTTP/1.1 100 Continue\r\n\r\n" CUT_HEAD "Content-Length: 0\r\n\r\n" },
    { "GET",
      "HTTP/1.1 103 Early Hints\r\nRequest-Id: one\r\nServer-Stamp: s\r\n\r\n" CUT_HEAD "\r\n" },
    { "HEAD", CUT_HEAD "Content-Length: 400\r\n\r\n" },
    { "HEAD", "HTTP/1.1 100 Continue\r\n\r\n" CUT_HEAD "\r\n" },
    { "GET", "HTTP/1.1 204 No Content\r\nRequest-Id: one\r\nServer-Stamp: s\r\n\r\n" },
    { "GET", "HTTP/1.1 304 Not Modified\r\nRequest-Id: one\r\nServer-Stamp: s\r\n\r\n" },
    { "GET", "HTTP/1.1 200 OK\nRequest-Id: one\nServer-Stamp: s\nContent-Length: 0\n\n" },
    { "GET", CUT_HEAD "Content-Length: 0\n\n" },
    { "GET", CUT_HEAD "Transfer-Encoding: chunked\r\n\r\n" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    for (gsize length = 0; length < strlen (cases[i].head); length++)
      for (guint reset = 0; reset < 2; reset++)
        {
          int fd;

          start_attempt_with ("one", cases[i].method);
          fd = accept_request ();
          ck_assert_int_eq (send (fd, cases[i].head, length, MSG_NOSIGNAL), (ssize_t) length);
          close_end (fd, reset != 0);
          wait_until_done ();
          ck_assert_msg (result == ANVIL_RUN_INTERRUPTED, "%zu: %zu bytes gave %d", i, length,
                         (int) result);
        }
}
END_TEST

START_TEST (test_a_response_without_length_ends_with_an_orderly_close_only)
{
  const char *response = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n\r\nbody";

  for (guint reset = 0; reset < 2; reset++)
    {
      int fd;

      start_attempt ();
      fd = accept_request ();
      ck_assert_int_eq (send (fd, response, strlen (response), MSG_NOSIGNAL),
                        (ssize_t) strlen (response));
      for (guint i = 0; i < 100; i++)
        run_loop_once ();
      close_end (fd, reset != 0);
      wait_until_done ();
      ck_assert_int_eq (result, reset != 0 ? ANVIL_RUN_INTERRUPTED : ANVIL_RUN_ANSWERED);
    }
}
END_TEST

#define RESPONSE_TO(id)                                                                            \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\n" id

/* Completes the first request on a connection that stays open. */
static int
complete_first_request (void)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, RESPONSE_TO ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  return fd;
}

/* The copy has arrived when the next request is about to be sent, and the event loop has not read
 * it. */
START_TEST (test_a_connection_with_unread_bytes_is_not_used_again)
{
  int used = complete_first_request ();
  struct pollfd poll_fd = { .fd = used, .events = POLLIN };
  int fd;

  ck_assert_int_eq (send (used, RESPONSE_TO ("one"), 10, MSG_NOSIGNAL), 10);
  g_usleep (10000);
  start_attempt_for ("two");
  fd = accept_request ();
  send_response (fd, RESPONSE_TO ("two"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_str_eq (body_text, "two");
  ck_assert_int_eq (poll (&poll_fd, 1, 1000), 1);
  close (fd);
  close (used);
}
END_TEST

/* The copy arrives in place of the response to the next request, whole or in two parts. */
START_TEST (test_a_late_copy_is_not_the_response_to_the_next_request)
{
  const char *copy = RESPONSE_TO ("one");

  for (gsize first_part = 1; first_part <= strlen (copy); first_part++)
    {
      int fd = complete_first_request ();

      start_attempt_for ("two");
      wait_readable (fd);
      ck_assert_int_eq (send (fd, copy, first_part, MSG_NOSIGNAL), (ssize_t) first_part);
      for (guint i = 0; i < 10; i++)
        run_loop_once ();
      ck_assert (!is_done);
      ck_assert_int_eq (send (fd, copy + first_part, strlen (copy) - first_part, MSG_NOSIGNAL),
                        (ssize_t) (strlen (copy) - first_part));
      send_response (fd, RESPONSE_TO ("two"));
      ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
      ck_assert_str_eq (body_text, "two");
      close (fd);
    }
}
END_TEST

/* A rejection without an id may belong to an earlier request of the connection. If it were taken
 * for this one, a request that runs would be sent again or be refused as not run. */
START_TEST (test_a_rejection_without_an_id_counts_only_on_a_new_connection)
{
  const char *rejection = "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, rejection);
  ck_assert_int_eq (result, ANVIL_RUN_SHED);
  close (fd);
  fd = complete_first_request ();
  start_attempt_for ("two");
  wait_readable (fd);
  ck_assert_int_eq (send (fd, rejection, strlen (rejection), MSG_NOSIGNAL),
                    (ssize_t) strlen (rejection));
  send_response (fd, RESPONSE_TO ("two"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  close (fd);
}
END_TEST

#define REJECTION_OF(id)                                                                           \
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: " id "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

/* Guards against a rejection that the upstream writes twice: if the request were sent on that
 * connection again, the copy would say of a running request that it has not run. */
START_TEST (test_a_rejected_request_that_returns_is_sent_on_a_new_connection)
{
  int used;
  int fd;

  start_attempt ();
  used = accept_request ();
  send_response (used, REJECTION_OF ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_SHED);
  start_attempt_for ("one");
  fd = accept_request ();
  send_response (fd, RESPONSE_TO ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  close (fd);
  close (used);
}
END_TEST

/* Guards against the copy of a refusal that arrives when its request is under way again: nothing in
 * the copy tells whether it answers the first or the second time. */
START_TEST (test_a_request_that_comes_again_is_not_sent_on_the_connection_that_carried_it)
{
  static const char *const first_responses[] = { REJECTION_OF ("one"), RESPONSE_TO ("one") };

  for (gsize i = 0; i < G_N_ELEMENTS (first_responses); i++)
    {
      int used;
      int fd;

      start_attempt ();
      used = accept_request ();
      send_response (used, first_responses[i]);
      start_attempt_for ("one");
      fd = accept_request ();
      send_response (fd, RESPONSE_TO ("one"));
      ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
      close (fd);
      close (used);
    }
}
END_TEST

/* A connection keeps the ids that it has carried, so it can't be used for ever. */
START_TEST (test_a_connection_is_closed_after_a_bounded_number_of_requests)
{
  const guint more_than_any = 1000;
  struct pollfd poll_fd = { .events = POLLIN };
  char bytes[4096];
  guint n = 1;

  poll_fd.fd = complete_first_request ();
  for (; n < more_than_any; n++)
    {
      char *id = g_strdup_printf ("id-%u", n);
      char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
                                        "Content-Length: 0\r\n\r\n",
                                        id);

      start_attempt_for (id);
      wait_readable (poll_fd.fd);
      if (recv (poll_fd.fd, bytes, sizeof bytes, 0) > 0)
        send_response (poll_fd.fd, response);
      else
        anvil_relay_attempt_cancel (g_steal_pointer (&attempt));
      g_free (response);
      g_free (id);
      if (attempt == NULL)
        break;
    }
  ck_assert_uint_gt (n, 1);
  ck_assert_uint_lt (n, more_than_any);
  close (poll_fd.fd);
}
END_TEST

START_TEST (test_requests_without_an_id_are_sent_on_connections_of_their_own)
{
  static const char rejection[]
      = "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  int used;
  int fd;

  start_attempt_for (NULL);
  used = accept_request ();
  send_response (used, rejection);
  ck_assert_int_eq (result, ANVIL_RUN_SHED);
  start_attempt_for (NULL);
  fd = accept_request ();
  send_response (fd, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  close (fd);
  close (used);
}
END_TEST

START_TEST (test_another_request_is_sent_on_the_connection_of_a_rejected_one)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, REJECTION_OF ("one"));
  start_attempt_for ("two");
  wait_readable (fd);
  ck_assert_int_eq (send (fd, REJECTION_OF ("one"), strlen (REJECTION_OF ("one")), MSG_NOSIGNAL),
                    (ssize_t) strlen (REJECTION_OF ("one")));
  send_response (fd, RESPONSE_TO ("two"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_str_eq (body_text, "two");
  close (fd);
}
END_TEST

/* Refusals as an upstream writes them a second time; %s is the id. */
static const char *const refusals[] = {
  "HTTP/1.1 503 U\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
  "HTTP/1.1 429 T\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 400 B\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 421 M\r\nRequest-Id: %s\r\nInstance-Id: u2\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 421 M\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
  ("HTTP/1.1 503 U\r\nRequest-Id: %s\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
   "2\r\nfu\r\n2;x=y\r\nll\r\n0\r\nRequest-Id: two\r\n\r\n"),
};

static char *
refusal_of (guint index, const char *id)
{
  GString *text = g_string_new (refusals[index]);

  g_string_replace (text, "%s", id, 1);
  return g_string_free (text, FALSE);
}

static void
send_part (int fd, const char *bytes, gsize length)
{
  ck_assert_int_eq (send (fd, bytes, length, MSG_NOSIGNAL), (ssize_t) length);
  for (guint i = 0; i < 10; i++)
    run_loop_once ();
}

START_TEST (test_the_copy_of_a_refusal_never_ends_another_request_of_its_connection)
{
  char *copy = refusal_of ((guint) _i, "one");

  for (gsize first_part = 1; first_part <= strlen (copy); first_part++)
    {
      int fd = complete_first_request ();

      start_attempt_for ("two");
      wait_readable (fd);
      send_part (fd, copy, first_part);
      ck_assert_msg (!is_done, "%s: ended after %zu bytes", copy, first_part);
      send_part (fd, copy + first_part, strlen (copy) - first_part);
      ck_assert_msg (!is_done, "%s: cut at %zu bytes", copy, first_part);
      send_response (fd, RESPONSE_TO ("two"));
      ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
      ck_assert_str_eq (body_text, "two");
      close (fd);
    }
  g_free (copy);
}
END_TEST

START_TEST (test_the_copy_of_a_refusal_that_breaks_off_is_not_a_refusal)
{
  char *copy = refusal_of ((guint) _i, "one");

  for (gsize length = 1; length <= strlen (copy); length++)
    {
      int fd = complete_first_request ();

      start_attempt_for ("two");
      wait_readable (fd);
      send_part (fd, copy, length);
      close_end (fd, length % 2 == 0);
      wait_until_done ();
      ck_assert_msg (result == ANVIL_RUN_INTERRUPTED, "%s: %d after %zu bytes", copy, result,
                     length);
    }
  g_free (copy);
}
END_TEST

/* The first attempt ends with a refusal that is cut in two; its copy comes when the request is
 * under way again, on the connection of the first attempt. */
START_TEST (test_the_copy_of_a_refusal_never_ends_the_next_attempt_of_its_request)
{
  char *refusal = refusal_of ((guint) _i, "one");

  for (gsize first_part = 1; first_part < strlen (refusal); first_part++)
    {
      int used;
      int fd;

      start_attempt ();
      used = accept_request ();
      send_part (used, refusal, first_part);
      send_response (used, refusal + first_part);
      ck_assert_msg (result == ANVIL_RUN_SHED || result == ANVIL_RUN_CONNECT_FAILED, "%s: %d",
                     refusal, result);
      start_attempt ();
      fd = accept_request ();
      /* The entry may have closed the connection. */
      (void) !send (used, refusal, strlen (refusal), MSG_NOSIGNAL);
      for (guint i = 0; i < 10; i++)
        run_loop_once ();
      ck_assert (!is_done);
      send_response (fd, RESPONSE_TO ("one"));
      ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
      ck_assert_str_eq (body_text, "one");
      anvil_relay_upstream_pool_close_idle (pool, 1);
      close (fd);
      close (used);
    }
  g_free (refusal);
}
END_TEST

/* Also if other requests were sent on that connection in between. */
START_TEST (test_a_connection_keeps_the_ids_of_all_its_requests)
{
  int used;
  int fd;

  start_attempt ();
  used = accept_request ();
  send_response (used, REJECTION_OF ("one"));
  for (guint i = 0; i < 5; i++)
    {
      char *id = g_strdup_printf ("id-%u", i);
      char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
                                        "Content-Length: 0\r\n\r\n",
                                        id);
      char bytes[4096];

      start_attempt_for (id);
      wait_readable (used);
      ck_assert_int_gt (recv (used, bytes, sizeof bytes, 0), 0);
      send_response (used, response);
      g_free (response);
      g_free (id);
    }
  start_attempt ();
  fd = accept_request ();
  ck_assert_int_eq (send (used, REJECTION_OF ("one"), strlen (REJECTION_OF ("one")), MSG_NOSIGNAL),
                    (ssize_t) strlen (REJECTION_OF ("one")));
  for (guint i = 0; i < 10; i++)
    run_loop_once ();
  ck_assert (!is_done);
  send_response (fd, RESPONSE_TO ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  close (fd);
  close (used);
}
END_TEST

/* Guards against the same where a response to another request shows that the connection carries
 * what belongs elsewhere. */
START_TEST (test_a_rejection_without_an_id_does_not_count_behind_a_response_to_another)
{
  static const char rejection[] = "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
  int fd;

  start_attempt ();
  fd = accept_request ();
  ck_assert_int_eq (send (fd, RESPONSE_TO ("two"), strlen (RESPONSE_TO ("two")), MSG_NOSIGNAL),
                    (ssize_t) strlen (RESPONSE_TO ("two")));
  ck_assert_int_eq (send (fd, rejection, strlen (rejection), MSG_NOSIGNAL),
                    (ssize_t) strlen (rejection));
  send_response (fd, RESPONSE_TO ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  close (fd);
}
END_TEST

/* Guards against requests that run and are refused, or sent once more, since a response is taken
 * for a rejection that its upstream didn't give. */
START_TEST (test_only_a_confirmed_rejection_says_that_a_request_has_not_run)
{
  static const struct
  {
    const char *response;
    anvil_run_result_t result;
  } cases[] = {
    { "HTTP/1.1 421 M\r\nInstance-Id: u2\r\n", ANVIL_RUN_CONNECT_FAILED },
    { "HTTP/1.1 421 M\r\nInstance-Id: u2\r\nRequest-Id: one\r\n", ANVIL_RUN_CONNECT_FAILED },
    { "HTTP/1.1 421 M\r\nNot-Run: 1\r\n", ANVIL_RUN_CONNECT_FAILED },
    { "HTTP/1.1 421 M\r\nNot-Run: 1\r\nInstance-Id: u1\r\n", ANVIL_RUN_SHED },
    { "HTTP/1.1 421 M\r\nRequest-Id: one\r\n", ANVIL_RUN_INTERRUPTED },
    { "HTTP/1.1 421 M\r\nRequest-Id: one\r\nInstance-Id: u1\r\n", ANVIL_RUN_INTERRUPTED },
    { "HTTP/1.1 421 M\r\nRequest-Id: one\r\nServer-Stamp: s\r\n", ANVIL_RUN_FAILED },
    { "HTTP/1.1 421 M\r\nRequest-Id: one\r\nServer-Stamp: s\r\nInstance-Id: u1\r\n",
      ANVIL_RUN_FAILED },
    { "HTTP/1.1 421 M\r\nRequest-Id: one\r\nServer-Stamp: s\r\nInstance-Id: u2\r\n",
      ANVIL_RUN_FAILED },
    { "HTTP/1.1 503 U\r\nRequest-Id: one\r\nNot-Run: 1\r\n", ANVIL_RUN_SHED },
    { "HTTP/1.1 503 U\r\nRequest-Id: one\r\nNot-Run: 1\r\nServer-Stamp: s\r\n", ANVIL_RUN_FAILED },
    { "HTTP/1.1 503 U\r\nRequest-Id: one\r\nServer-Stamp: s\r\n", ANVIL_RUN_FAILED },
    { "HTTP/1.1 400 B\r\nRequest-Id: one\r\nNot-Run: 1\r\nServer-Stamp: s\r\n",
      ANVIL_RUN_ANSWERED },
    { "HTTP/1.1 500 E\r\nRequest-Id: one\r\nNot-Run: 1\r\nServer-Stamp: s\r\n", ANVIL_RUN_FAILED },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *response = g_strconcat (cases[i].response, "Content-Length: 0\r\n\r\n", NULL);
      int fd;

      start_attempt ();
      fd = accept_request ();
      send_response (fd, response);
      ck_assert_msg (result == cases[i].result, "%s: %d", response, result);
      close (fd);
      g_free (response);
    }
}
END_TEST

/* Guards against the same by a field behind the body, which isn't part of the head. */
START_TEST (test_a_trailer_is_no_header)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, "HTTP/1.1 503 U\r\nRequest-Id: one\r\nServer-Stamp: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\nLast: x\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_FAILED);
  ck_assert_ptr_null (strstr (headers_text, "Not-Run"));
  close (fd);
}
END_TEST

/* Guards against requests that wait until their deadline: a response to another request that ends
 * only with its connection contains all that follows. */
START_TEST (test_a_response_to_another_request_without_length_ends_the_attempt)
{
  static const char *const heads[] = {
    "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\n\r\n",
    "HTTP/1.1 503 Unavailable\r\nRequest-Id: one\r\nNot-Run: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n\r\n",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      int fd = complete_first_request ();

      start_attempt_for ("two");
      wait_readable (fd);
      ck_assert_int_eq (send (fd, heads[i], strlen (heads[i]), MSG_NOSIGNAL),
                        (ssize_t) strlen (heads[i]));
      send_response (fd, RESPONSE_TO ("two"));
      ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
      close (fd);
    }
}
END_TEST

#define UPLOAD_BYTES ((gsize) 2 << 20)
/* An upstream may take this long before it reads on; longer than the time after which one that is
 * silent must be noticed. */
#define READ_PAUSE (2500 * ANVIL_MS)

static int
begin_upload (void)
{
  int fd;

  start_attempt_with_body ("one", "POST", UPLOAD_BYTES);
  fd = accept_request ();
  for (anvil_time_t until = anvil_clock_now () + 100 * ANVIL_MS; anvil_clock_now () < until;)
    run_loop_once ();
  return fd;
}

START_TEST (test_an_upstream_that_reads_an_upload_late_can_answer)
{
  char *bytes = g_malloc (UPLOAD_BYTES);
  int fd = begin_upload ();
  gsize received = 0;

  for (anvil_time_t until = anvil_clock_now () + READ_PAUSE; anvil_clock_now () < until;)
    {
      run_loop_once ();
      g_usleep (1000);
      ck_assert_msg (!is_done, "ended with %d while its upstream paused", (int) result);
    }
  while (received < UPLOAD_BYTES - 4096)
    {
      ssize_t n;

      wait_readable (fd);
      n = recv (fd, bytes, UPLOAD_BYTES, 0);
      ck_assert_int_gt (n, 0);
      received += (gsize) n;
    }
  send_response (fd, RESPONSE_TO ("one"));
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  g_free (bytes);
  close (fd);
}
END_TEST

/* Drops all that arrives on a socket, as if its host were gone. */
static void
silence (int fd)
{
  struct sock_filter drop = { .code = BPF_RET | BPF_K, .k = 0 };
  const struct sock_fprog program = { .len = 1, .filter = &drop };

  ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program), 0);
}

START_TEST (test_an_upstream_that_is_lost_during_an_upload_is_noticed)
{
  char bytes[65536];
  anvil_time_t lost_at;
  int fd = begin_upload ();

  silence (fd);
  lost_at = anvil_clock_now ();
  /* Opens the window, so that bytes are sent which are never acknowledged. */
  while (recv (fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0)
    ;
  wait_until_done ();
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  ck_assert_int_lt (anvil_clock_now () - lost_at, WAIT_TIMEOUT / 2);
  close (fd);
}
END_TEST

START_TEST (test_an_upstream_that_is_lost_before_a_short_request_is_noticed)
{
  int fd = complete_first_request ();
  anvil_time_t lost_at = anvil_clock_now ();

  silence (fd);
  start_attempt_for ("two");
  wait_until_done ();
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  ck_assert_int_lt (anvil_clock_now () - lost_at, WAIT_TIMEOUT / 2);
  close (fd);
}
END_TEST

#define LEAVING "Server-Leaving: 1\r\n"
#define PAUSE "Retry-After: 3\r\n"
#define OWN "Request-Id: one\r\nServer-Stamp: s\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"

/* What an upstream says of itself counts from the head of its own response to the request on. */
START_TEST (test_what_an_upstream_says_of_itself_is_taken_from_its_own_responses)
{
  static const struct
  {
    const char *head;
    gboolean leaving;
    anvil_time_t pause;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n" OWN LEAVING "Content-Length: 10\r\n\r\n", TRUE, 0 },
    { "HTTP/1.1 200 OK\r\n" OWN "Server-Leaving: 1 \r\nContent-Length: 10\r\n\r\n", TRUE, 0 },
    { "HTTP/1.1 500 X\r\n" OWN LEAVING "Content-Length: 10\r\n\r\n", TRUE, 0 },
    { "HTTP/1.1 103 X\r\nRequest-Id: one\r\n" LEAVING "\r\n", TRUE, 0 },
    { "HTTP/1.1 503 X\r\nRequest-Id: one\r\nNot-Run: 1\r\n" LEAVING PAUSE
      "Content-Length: 10\r\n\r\n",
      TRUE, 3 * ANVIL_SECOND },
    { "HTTP/1.1 503 X\r\n" OWN PAUSE "Content-Length: 10\r\n\r\n", FALSE, 3 * ANVIL_SECOND },
    { "HTTP/1.1 503 X\r\n" OWN "Retry-After: 1\r\n" PAUSE "Content-Length: 10\r\n\r\n", FALSE,
      3 * ANVIL_SECOND },
    { "HTTP/1.1 429 X\r\n" OWN PAUSE "Content-Length: 10\r\n\r\n", FALSE, 0 },
    { "HTTP/1.1 503 X\r\n" OWN "Retry-After: soon\r\nContent-Length: 10\r\n\r\n", FALSE, 0 },
    { "HTTP/1.1 200 OK\r\n" OWN "Server-Leaving: 0\r\nContent-Length: 10\r\n\r\n", FALSE, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n" LEAVING "Content-Length: 10\r\n\r\n", FALSE, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nServer-Stamp: s\r\n" LEAVING NO_BODY, FALSE, 0 },
    { "HTTP/1.1 200 OK\r\n" OWN "Instance-Id: u2\r\n" LEAVING "Content-Length: 10\r\n\r\n", FALSE,
      0 },
    { "HTTP/1.1 421 X\r\nRequest-Id: one\r\nNot-Run: 1\r\n" LEAVING "Content-Length: 10\r\n\r\n",
      FALSE, 0 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd;

      announced = (anvil_announcement_t){ 0 };
      n_announced = 0;
      start_attempt ();
      fd = accept_request ();
      ck_assert_int_eq (send (fd, cases[i].head, strlen (cases[i].head), MSG_NOSIGNAL),
                        (ssize_t) strlen (cases[i].head));
      for (guint n = 0; n < 20; n++)
        {
          run_loop_once ();
          g_usleep (1000);
        }
      ck_assert_msg (announced.leaving == cases[i].leaving, "%s", cases[i].head);
      ck_assert_msg (announced.pause == cases[i].pause, "%s", cases[i].head);
      ck_assert_uint_eq (n_announced, cases[i].leaving || cases[i].pause > 0 ? 1 : 0);
      if (!is_done)
        anvil_relay_attempt_cancel (attempt);
      close (fd);
    }
}
END_TEST

START_TEST (test_the_connection_to_an_upstream_that_leaves_is_closed)
{
  int fd;

  start_attempt ();
  fd = accept_request ();
  send_response (fd, "HTTP/1.1 200 OK\r\n" OWN LEAVING NO_BODY);
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_int_eq (receive_close (fd), 0);
  close (fd);
}
END_TEST

typedef struct
{
  const char *response;
  anvil_request_limit_state_t state;
  gdouble per_second;
} limit_case_t;

#define LENGTH_0 "Content-Length: 0\r\n\r\n"
#define LIMIT "Server-Limit: 7.5\r\n"
#define HEAD_200 "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n"
#define HEAD_503 "HTTP/1.1 503 Unavailable\r\nRequest-Id: one\r\nNot-Run: 1\r\n"

/* Only what the upstream itself says of this request counts, and only a run ends a limit. */
START_TEST (test_request_limits_are_taken_from_responses_to_this_request)
{
  static const limit_case_t cases[] = {
    { HEAD_200 LIMIT LENGTH_0, ANVIL_REQUEST_LIMIT_NAMED, 7.5 },
    { HEAD_200 LENGTH_0, ANVIL_REQUEST_LIMIT_NONE, 0 },
    { HEAD_200 "Server-Limit: many\r\n" LENGTH_0, ANVIL_REQUEST_LIMIT_UNKNOWN, 0 },
    { HEAD_200 "server-limit: 9\r\n" LIMIT LENGTH_0, ANVIL_REQUEST_LIMIT_NAMED, 7.5 },
    { HEAD_503 LIMIT LENGTH_0, ANVIL_REQUEST_LIMIT_NAMED, 7.5 },
    { HEAD_503 LENGTH_0, ANVIL_REQUEST_LIMIT_UNKNOWN, 0 },
    { "HTTP/1.1 421 Misdirected\r\nRequest-Id: one\r\nNot-Run: 1\r\n" LIMIT LENGTH_0,
      ANVIL_REQUEST_LIMIT_UNKNOWN, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n" LIMIT LENGTH_0, ANVIL_REQUEST_LIMIT_UNKNOWN, 0 },
    { "HTTP/1.1 100 Continue\r\n" LIMIT "\r\n" HEAD_200 LENGTH_0, ANVIL_REQUEST_LIMIT_NONE, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n" LIMIT LENGTH_0 HEAD_200
          LENGTH_0,
      ANVIL_REQUEST_LIMIT_NONE, 0 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd;

      start_attempt ();
      fd = accept_request ();
      send_response (fd, cases[i].response);
      ck_assert_msg (request_limit.state == cases[i].state
                         && request_limit.per_second == cases[i].per_second,
                     "%s: state %d, %g", cases[i].response, (int) request_limit.state,
                     request_limit.per_second);
      anvil_relay_upstream_pool_close_idle (pool, 1);
      close (fd);
    }
}
END_TEST

typedef struct
{
  const char *response;
  guint speed;
} speed_case_t;

#define SPEED "Server-Load: 1,0,3,250\r\n"

/* Guards against figures that aren't a speed, or not this upstream's, and bend expected run times.
 */
START_TEST (test_speeds_are_taken_from_responses_to_runs)
{
  static const speed_case_t cases[] = {
    { HEAD_200 SPEED LENGTH_0, 250 },
    { HEAD_200 "server-load: 1, 0, 3, 99.6\r\n" LENGTH_0, 100 },
    { HEAD_200 "Server-Load: 1,0,3,100000\r\n" LENGTH_0, 100000 },
    { HEAD_200 LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load:\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,0\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,0.4\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,-250\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,100001\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,99999999999999999999999999\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,nan\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,1e3\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,0x20\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,250%\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: 1,0,3,250,7\r\n" LENGTH_0, 0 },
    { HEAD_200 "Server-Load: ,,,250\r\n" LENGTH_0, 0 },
    { HEAD_200 SPEED "Server-Load: 1,0,3,100\r\n" LENGTH_0, 0 },
    { HEAD_503 SPEED LENGTH_0, 0 },
    { "HTTP/1.1 421 Misdirected\r\nRequest-Id: one\r\nNot-Run: 1\r\n" SPEED LENGTH_0, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n" SPEED LENGTH_0, 0 },
    { "HTTP/1.1 100 Continue\r\n" SPEED "\r\n" HEAD_200 LENGTH_0, 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n" SPEED LENGTH_0 HEAD_200
          LENGTH_0,
      0 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int fd;

      start_attempt ();
      fd = accept_request ();
      send_response (fd, cases[i].response);
      ck_assert_msg (speed == cases[i].speed, "%s: speed %u", cases[i].response, speed);
      anvil_relay_upstream_pool_close_idle (pool, 1);
      close (fd);
    }
}
END_TEST

/* More than any response may have, and than the test may need until the entry gives up. */
#define MAX_FLOOD_BYTES (64u << 20)
#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\n"

/* Sends @start, then @piece again and again until the attempt ends; returns the bytes sent. */
static gsize
flood (int fd, const char *start, const char *piece)
{
  GString *pieces = g_string_new (NULL);
  gsize sent = strlen (start);
  gsize offset = 0;

  while (pieces->len < 4096)
    g_string_append (pieces, piece);
  ck_assert_int_eq (send (fd, start, strlen (start), MSG_NOSIGNAL), (ssize_t) strlen (start));
  ck_assert_int_eq (fcntl (fd, F_SETFL, O_NONBLOCK), 0);
  while (!is_done && sent < MAX_FLOOD_BYTES)
    {
      ssize_t n = send (fd, pieces->str + offset, pieces->len - offset, MSG_NOSIGNAL);

      if (n > 0)
        {
          sent += (gsize) n;
          offset = (offset + (gsize) n) % pieces->len;
        }
      run_loop_once ();
      ck_assert_uint_le (anvil_relay_upstream_pool_buffered_bytes (pool), MAX_BUFFERED_BYTES);
    }
  g_string_free (pieces, TRUE);
  return sent;
}

/* Bytes that are in socket buffers when the entry gives up. */
#define SOCKET_BUFFER_BYTES (8u << 20)

START_TEST (test_bytes_without_end_end_the_attempt)
{
  static const struct
  {
    const char *name;
    const char *start;
    const char *piece;
    gsize max_bytes;
  } floods[] = {
    { "noise", "", "\x01\x02noise", 1 << 10 },
    { "blank lines", "", "\r\n", 128 << 10 },
    { "status line", "HTTP/1.1 200 ", "OK", 128 << 10 },
    { "header value", HEAD "Filler: ", "x", 128 << 10 },
    { "header fields", HEAD, "Filler: x\r\n", 128 << 10 },
    { "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 128 << 10 },
    { "body without length", HEAD "\r\n", "x", MAX_BUFFERED_BYTES },
    { "chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n",
      3 * MAX_BUFFERED_BYTES },
    { "chunk extension", HEAD "Transfer-Encoding: chunked\r\n\r\n4;", "x", 128 << 10 },
    { "short chunks with extensions", HEAD "Transfer-Encoding: chunked\r\n\r\n",
      "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nb\r\n", 256 << 10 },
    { "trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: x\r\n", 128 << 10 },
    { "responses to others", "",
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 128 << 10 },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (floods); i++)
    {
      gsize sent;
      int fd;

      start_attempt ();
      fd = accept_request ();
      sent = flood (fd, floods[i].start, floods[i].piece);
      ck_assert_msg (is_done && result == ANVIL_RUN_INTERRUPTED, "%s: not ended", floods[i].name);
      ck_assert_msg (sent <= floods[i].max_bytes + SOCKET_BUFFER_BYTES, "%s: %zu bytes",
                     floods[i].name, sent);
      ck_assert_uint_eq (anvil_relay_upstream_pool_buffered_bytes (pool), 0);
      close (fd);
    }
}
END_TEST

static gboolean honest_is_done;

static void
on_honest_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  honest_is_done = TRUE;
  ck_assert_int_eq (outcome->result, ANVIL_RUN_ANSWERED);
}

START_TEST (test_the_longest_response_is_given_up_for_the_others)
{
  const char *half = HEAD "Content-Length: 8\r\n\r\nhalf";
  int honest;
  int flooding;

  honest_is_done = FALSE;
  attempt_callback = on_honest_done;
  start_attempt ();
  attempt_callback = on_done;
  honest = accept_request ();
  ck_assert_int_eq (send (honest, half, strlen (half), MSG_NOSIGNAL), (ssize_t) strlen (half));
  start_attempt ();
  flooding = accept_request ();
  flood (flooding, HEAD "\r\n", "x");
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  ck_assert (!honest_is_done);
  ck_assert_int_eq (send (honest, "half", 4, MSG_NOSIGNAL), 4);
  for (anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;
       !honest_is_done && anvil_clock_now () < deadline;)
    run_loop_once ();
  ck_assert (honest_is_done);
  close (honest);
  close (flooding);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-upstream");
  TCase *tests = tcase_create ("relay-upstream");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_cancelled_attempt_resets_the_connection);
  tcase_add_test (tests, test_failed_attempt_resets_the_connection);
  tcase_add_test (tests, test_bytes_that_have_arrived_are_noticed_before_they_are_read);
  tcase_add_test (tests, test_connection_close_of_upstream_is_orderly);
  tcase_add_test (tests, test_a_response_that_breaks_off_is_never_complete);
  tcase_add_test (tests, test_a_head_that_breaks_off_is_never_a_response);
  tcase_add_test (tests, test_a_response_without_length_ends_with_an_orderly_close_only);
  tcase_add_test (tests, test_a_connection_with_unread_bytes_is_not_used_again);
  tcase_add_test (tests, test_a_late_copy_is_not_the_response_to_the_next_request);
  tcase_add_test (tests, test_a_rejection_without_an_id_counts_only_on_a_new_connection);
  tcase_add_test (tests, test_a_rejected_request_that_returns_is_sent_on_a_new_connection);
  tcase_add_test (tests,
                  test_a_request_that_comes_again_is_not_sent_on_the_connection_that_carried_it);
  tcase_add_test (tests, test_a_connection_is_closed_after_a_bounded_number_of_requests);
  tcase_add_test (tests, test_requests_without_an_id_are_sent_on_connections_of_their_own);
  tcase_add_test (tests, test_another_request_is_sent_on_the_connection_of_a_rejected_one);
  tcase_add_loop_test (tests,
                       test_the_copy_of_a_refusal_never_ends_another_request_of_its_connection, 0,
                       G_N_ELEMENTS (refusals));
  tcase_add_loop_test (tests, test_the_copy_of_a_refusal_that_breaks_off_is_not_a_refusal, 0,
                       G_N_ELEMENTS (refusals));
  tcase_add_loop_test (tests, test_the_copy_of_a_refusal_never_ends_the_next_attempt_of_its_request,
                       0, G_N_ELEMENTS (refusals));
  tcase_add_test (tests, test_a_connection_keeps_the_ids_of_all_its_requests);
  tcase_add_test (tests,
                  test_a_rejection_without_an_id_does_not_count_behind_a_response_to_another);
  tcase_add_test (tests, test_a_response_to_another_request_without_length_ends_the_attempt);
  tcase_add_test (tests, test_only_a_confirmed_rejection_says_that_a_request_has_not_run);
  tcase_add_test (tests, test_a_trailer_is_no_header);
  tcase_add_test (tests, test_an_upstream_that_reads_an_upload_late_can_answer);
  tcase_add_test (tests, test_an_upstream_that_is_lost_during_an_upload_is_noticed);
  tcase_add_test (tests, test_an_upstream_that_is_lost_before_a_short_request_is_noticed);
  tcase_add_test (tests, test_request_limits_are_taken_from_responses_to_this_request);
  tcase_add_test (tests, test_speeds_are_taken_from_responses_to_runs);
  tcase_add_test (tests, test_bytes_without_end_end_the_attempt);
  tcase_add_test (tests, test_the_longest_response_is_given_up_for_the_others);
  tcase_add_test (tests, test_what_an_upstream_says_of_itself_is_taken_from_its_own_responses);
  tcase_add_test (tests, test_the_connection_to_an_upstream_that_leaves_is_closed);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
