/* Attempts at an upstream without the rest of the entry: how the upstream sees their connections
 * closed. */

#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/relay-upstream.h"

/* Longest wait for an expected event. */
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)

static const anvil_header_names_t header_names = { .request_id = "Request-Id",
                                                   .timeout_ms = "Deadline-Ms",
                                                   .object = "Affinity-Key",
                                                   .expected_upstream = "Expect-Instance",
                                                   .response_marker = "Server-Stamp",
                                                   .not_run = "Not-Run" };

static struct event_base *base;
static anvil_relay_upstream_pool_t *pool;
static int listener;
static guint16 port;
static anvil_relay_attempt_t *attempt;
static gboolean is_done;
static anvil_run_result_t result;

static void
on_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  is_done = TRUE;
  result = outcome->result;
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  is_done = FALSE;
  base = event_base_new ();
  pool = anvil_relay_upstream_pool_open (base, &header_names, 0);
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

static void
start_attempt (void)
{
  GString *headers = g_string_new ("Request-Id: one\r\n");
  struct evbuffer *body = evbuffer_new ();
  const anvil_relay_upstream_request_t request = { .upstream_key = 1,
                                                   .upstream_id = "u1",
                                                   .address = INADDR_LOOPBACK,
                                                   .port = port,
                                                   .method = "GET",
                                                   .target = "/a",
                                                   .headers = headers,
                                                   .body = body,
                                                   .id = "one",
                                                   .idempotent = TRUE,
                                                   .timeout = WAIT_TIMEOUT };

  attempt = anvil_relay_attempt_start (pool, &request, on_done, NULL);
  g_string_free (headers, TRUE);
  evbuffer_free (body);
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
  tcase_add_test (tests, test_connection_close_of_upstream_is_orderly);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
