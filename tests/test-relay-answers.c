/* Answers of an upstream that are none by the protocol, and bodies without a length that are cut
 * off while the request is still being written: both end the attempt at once, and neither is passed
 * on. */

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

#include "relay/relay-upstream.h"

/* Longest wait for an expected event. The attempt's own time-out is longer, so that an attempt that
 * hangs until then fails the test. */
#define WAIT_TIMEOUT (10 * ANVIL_SECOND)
#define ATTEMPT_TIMEOUT (60 * ANVIL_SECOND)
#define MAX_BUFFERED_BYTES ((gsize) 4 << 20)
/* More than the buffers of a connection hold, so that the request is still being written. */
#define UPLOAD_BYTES ((gsize) 16 << 20)
#define OWN "Request-Id: one\r\nServer-Stamp: s\r\n"

static const anvil_header_names_t header_names = { .request_id = "Request-Id",
                                                   .timeout_ms = "Deadline-Ms",
                                                   .object = "Affinity-Key",
                                                   .expected_upstream = "Expect-Instance",
                                                   .upstream_id = "Instance-Id",
                                                   .response_marker = "Server-Stamp",
                                                   .not_run = "Not-Run",
                                                   .request_limit = "Server-Limit",
                                                   .leaving = "Server-Leaving" };

static struct event_base *base;
static anvil_relay_upstream_pool_t *pool;
static int listener;
static guint16 port;
static gboolean is_done;
static anvil_run_result_t result;
static guint status;
static gsize body_length;

static void
on_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  is_done = TRUE;
  result = outcome->result;
  status = outcome->status;
  body_length = outcome->body != NULL ? evbuffer_get_length (outcome->body) : 0;
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  signal (SIGPIPE, SIG_IGN);
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
}

/* Runs the event loop until @fd is readable. */
static void
wait_readable (int fd)
{
  struct pollfd readable = { .fd = fd, .events = POLLIN };

  while (poll (&readable, 1, 1) == 0)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* Starts a request with the id @id on the idle connection @idle, or on a new one if that is -1.
 * Returns the upstream's end of the connection, with the head received. */
static int
start_on (int idle, const char *id, gsize body_bytes)
{
  GString *headers = g_string_new (NULL);
  struct evbuffer *body = evbuffer_new ();
  char *filler = g_strnfill (body_bytes, 'x');
  const anvil_relay_upstream_request_t request = { .upstream_key = 1,
                                                   .upstream_id = "u1",
                                                   .address = INADDR_LOOPBACK,
                                                   .port = port,
                                                   .method = body_bytes > 0 ? "POST" : "GET",
                                                   .target = "/a",
                                                   .headers = headers,
                                                   .body = body,
                                                   .id = id,
                                                   .timeout = ATTEMPT_TIMEOUT };
  char bytes[1024];
  int fd = idle;

  g_string_printf (headers, "Request-Id: %s\r\n", id);
  evbuffer_add (body, filler, body_bytes);
  is_done = FALSE;
  anvil_relay_attempt_start (pool, &request, on_done, NULL);
  if (idle < 0)
    {
      wait_readable (listener);
      fd = accept (listener, NULL, NULL);
    }
  wait_readable (fd);
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  g_free (filler);
  evbuffer_free (body);
  g_string_free (headers, TRUE);
  return fd;
}

static int
start (gsize body_bytes)
{
  return start_on (-1, "one", body_bytes);
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

static void
wait_until_done (const char *what)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (!is_done && anvil_clock_now () < until)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_msg (is_done, "%s: the attempt hangs", what);
}

static void
reset (int fd)
{
  const struct linger linger = { .l_onoff = 1 };

  ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (fd);
}

/* Guards against a request that hangs until its deadline, and against an answer that is passed on
 * though it is none. */
START_TEST (test_what_is_no_answer_ends_the_attempt_at_once)
{
  static const char *const starts[]
      = { "HTTP/1.1 000 ", "HTTP/1.1 099 ", "HTTP/1.1 101 ",   "HTTP/1.1 600 ", "HTTP/1.1 999 ",
          "HTTP/1.1 20",   "HTTP/1.1 1000", "HTTP/1.2 200 OK", "HTTQ/1.1 200 ", "200 OK" };

  for (gsize i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      int fd = start (i % 2 == 0 ? 0 : UPLOAD_BYTES);
      char *text = g_strconcat (starts[i], "\r\n" OWN "Content-Length: 0\r\n\r\n", NULL);

      send_text (fd, text);
      wait_until_done (starts[i]);
      ck_assert_msg (result == ANVIL_RUN_INTERRUPTED && status == 0, "%s", starts[i]);
      g_free (text);
      close (fd);
    }
}
END_TEST

/* Guards against an upstream that holds a request with interim responses alone. */
START_TEST (test_interim_responses_without_end_end_the_attempt)
{
  int fd = start (0);

  for (guint i = 0; i < 20; i++)
    send_text (fd, "HTTP/1.1 100 Continue\r\n\r\n");
  wait_until_done ("100 without end");
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  close (fd);
}
END_TEST

START_TEST (test_a_few_interim_responses_are_skipped)
{
  int fd = start (0);

  send_text (fd, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                 "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 2\r\n\r\nok");
  wait_until_done ("interim responses");
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (body_length, 2);
  close (fd);
}
END_TEST

/* Guards against a part of a body that looks whole, since its connection ends in order before the
 * reset of the rest arrives. */
START_TEST (test_a_body_without_a_length_is_whole_only_at_an_orderly_end)
{
  for (guint i = 0; i < 4; i++)
    {
      const gboolean half_closed = i % 2 == 1;
      int fd = start (i < 2 ? UPLOAD_BYTES : 0);

      send_text (fd, "HTTP/1.1 200 OK\r\n" OWN "\r\npart of the body");
      if (half_closed)
        shutdown (fd, SHUT_WR);
      reset (fd);
      wait_until_done ("reset");
      ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
    }
}
END_TEST

/* Starts an upload on a connection that was idle before, where the event loop writes before it
 * reads, or on a new one, where it reads before it writes. */
static int
start_upload (gboolean reuse)
{
  int idle = -1;

  if (reuse)
    {
      idle = start (0);
      send_text (idle, "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 2\r\n\r\nok");
      wait_until_done ("the first request of a connection");
      ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
    }
  return start_on (idle, reuse ? "two" : "one", UPLOAD_BYTES);
}

static void
send_head_without_length (int fd, gboolean reuse)
{
  send_text (fd, reuse ? "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nServer-Stamp: s\r\n\r\n"
                       : "HTTP/1.1 200 OK\r\n" OWN "\r\n");
}

static void
run_loop_for (anvil_time_t time)
{
  for (anvil_time_t until = anvil_clock_now () + time; anvil_clock_now () < until;)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      g_usleep (1000);
    }
}

/* Ways in which an upstream breaks off a body. */
enum
{
  RESETS,
  /* The kernel resets a connection that is closed with unread bytes. */
  CLOSES_WITH_UNREAD_BYTES,
  SENDS_MORE_AND_RESETS,
  N_WAYS
};
static const anvil_time_t pauses[] = { 0, 5 * ANVIL_MS, 100 * ANVIL_MS };
static const gsize part_lengths[] = { 0, 1, 4999 };
#define N_CUTS (2 * N_WAYS * (int) G_N_ELEMENTS (pauses) * (int) G_N_ELEMENTS (part_lengths))

/* Guards against a part of an early body that is taken for the whole, since the write of the upload
 * takes the error of the connection and the read after it sees an end. */
START_TEST (test_an_early_body_that_is_cut_off_is_never_whole)
{
  const gboolean reuse = _i % 2 == 1;
  const int way = _i / 2 % N_WAYS;
  const anvil_time_t pause = pauses[_i / 2 / N_WAYS % (int) G_N_ELEMENTS (pauses)];
  const gsize length = part_lengths[_i / 2 / N_WAYS / (int) G_N_ELEMENTS (pauses)];
  char *part = g_strnfill (length, 'p');
  int fd = start_upload (reuse);

  send_head_without_length (fd, reuse);
  send_text (fd, part);
  run_loop_for (pause);
  if (way == SENDS_MORE_AND_RESETS)
    send_text (fd, part);
  if (way == CLOSES_WITH_UNREAD_BYTES)
    close (fd);
  else
    reset (fd);
  wait_until_done ("cut off");
  ck_assert_msg (result == ANVIL_RUN_INTERRUPTED, "reuse=%d way=%d pause=%d ms length=%zu: %d",
                 reuse, way, (int) (pause / ANVIL_MS), length, (int) result);
  g_free (part);
}
END_TEST

/* Guards against a refusal of answers that come early but are whole: the end of the stream has been
 * read before the reset arrives. */
START_TEST (test_an_early_body_that_ends_in_order_is_whole)
{
  const gboolean reuse = _i % 2 == 1;
  int fd = start_upload (reuse);

  send_head_without_length (fd, reuse);
  send_text (fd, "the whole body");
  shutdown (fd, SHUT_WR);
  if (_i / 2 == 1)
    {
      run_loop_for (100 * ANVIL_MS);
      reset (fd);
    }
  wait_until_done ("orderly end");
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (body_length, strlen ("the whole body"));
  if (_i / 2 == 0)
    close (fd);
}
END_TEST

/* More than one read of the event loop takes, and less than the window of a new connection. */
#define LONG_BODY_BYTES 40000

static void
wait_acknowledged (int fd)
{
  int unacknowledged;

  do
    {
      g_usleep (1000);
      ck_assert_int_eq (ioctl (fd, SIOCOUTQ, &unacknowledged), 0);
  } while (unacknowledged > 0);
}

/* Guards against the loss of an early response of which only a part was read when the write of the
 * upload fails: the rest has arrived and is still to be read. */
START_TEST (test_an_early_response_that_is_whole_before_a_reset_is_passed_on)
{
  const gboolean reuse = _i % 2 == 1;
  const gboolean chunked = _i / 2 % 2 == 1;
  const gboolean cut_off = _i / 4 == 1;
  char *body = g_strnfill (LONG_BODY_BYTES - (cut_off ? 1 : 0), 'b');
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n%s\r\n", reuse ? "two" : "one",
      chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 40000\r\n");
  char *start = chunked ? g_strdup_printf ("%x\r\n", LONG_BODY_BYTES) : g_strdup ("");
  char *response
      = g_strconcat (head, start, body, chunked && !cut_off ? "\r\n0\r\n\r\n" : "", NULL);
  int fd = start_upload (reuse);

  run_loop_for (5 * ANVIL_MS);
  send_text (fd, response);
  wait_acknowledged (fd);
  reset (fd);
  wait_until_done ("whole before a reset");
  ck_assert_int_eq (result, cut_off ? ANVIL_RUN_INTERRUPTED : ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (body_length, cut_off ? 0 : LONG_BODY_BYTES);
  g_free (response);
  g_free (start);
  g_free (head);
  g_free (body);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-answers");
  TCase *tests = tcase_create ("relay-answers");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 150);
  tcase_add_test (tests, test_what_is_no_answer_ends_the_attempt_at_once);
  tcase_add_test (tests, test_interim_responses_without_end_end_the_attempt);
  tcase_add_test (tests, test_a_few_interim_responses_are_skipped);
  tcase_add_test (tests, test_a_body_without_a_length_is_whole_only_at_an_orderly_end);
  tcase_add_loop_test (tests, test_an_early_body_that_is_cut_off_is_never_whole, 0, N_CUTS);
  tcase_add_loop_test (tests, test_an_early_body_that_ends_in_order_is_whole, 0, 4);
  tcase_add_loop_test (tests, test_an_early_response_that_is_whole_before_a_reset_is_passed_on, 0,
                       8);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
