/* Exchanges with an upstream, without the rest of the entry: what it sees of one that is given up.
 */

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

/* Longest wait for anything that should happen. */
#define PATIENCE (20 * ANVIL_SECOND)

static const anvil_header_names_t wire = { .request_id = "Request-Id",
                                           .timeout_ms = "Deadline-Ms",
                                           .object = "Affinity-Key",
                                           .expected_upstream = "Expect-Instance",
                                           .response_marker = "Server-Stamp",
                                           .not_run = "Not-Run" };

static struct event_base *base;
static anvil_relay_upstream_pool_t *pool;
static int listener;
static guint16 port;
static anvil_relay_attempt_t *run;
static gboolean done;
static anvil_run_result_t result;

static void
on_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  done = TRUE;
  result = outcome->result;
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  done = FALSE;
  base = event_base_new ();
  pool = anvil_relay_upstream_pool_open (base, &wire, 0);
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
start (void)
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
                                                   .timeout = PATIENCE };

  run = anvil_relay_attempt_start (pool, &request, on_done, NULL);
  g_string_free (headers, TRUE);
  evbuffer_free (body);
}

static void
turn (void)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
}

/* Lets the exchange go on until @fd can be read. */
static void
wait_readable (int fd)
{
  anvil_time_t until = anvil_clock_now () + PATIENCE;
  struct pollfd readable = { .fd = fd, .events = POLLIN };

  do
    {
      turn ();
      if (poll (&readable, 1, 1) > 0)
        return;
  } while (anvil_clock_now () < until);
  ck_abort_msg ("nothing to read");
}

/* Takes the connection and the request on it. */
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

/* How the entry ended the connection: 0 in order, ECONNRESET if what was under way is dropped. */
static int
end_of (int fd)
{
  char bytes[4096];
  ssize_t n;

  wait_readable (fd);
  n = recv (fd, bytes, sizeof bytes, 0);
  ck_assert_int_le (n, 0);
  return n == 0 ? 0 : errno;
}

static void
answer (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  for (anvil_time_t until = anvil_clock_now () + PATIENCE; !done && anvil_clock_now () < until;)
    turn ();
  ck_assert (done);
}

START_TEST (test_a_cancelled_request_is_dropped_on_its_way)
{
  int fd;

  start ();
  fd = accept_request ();
  ck_assert (anvil_relay_attempt_cancel (run));
  ck_assert_int_eq (end_of (fd), ECONNRESET);
  close (fd);
}
END_TEST

START_TEST (test_an_exchange_that_fails_leaves_nothing_on_its_way)
{
  int fd;

  start ();
  fd = accept_request ();
  answer (fd, "nonsense\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_INTERRUPTED);
  ck_assert_int_eq (end_of (fd), ECONNRESET);
  close (fd);
}
END_TEST

START_TEST (test_a_connection_that_the_upstream_ends_is_closed_in_order)
{
  int fd;

  start ();
  fd = accept_request ();
  answer (fd, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n");
  ck_assert_int_eq (result, ANVIL_RUN_ANSWERED);
  ck_assert_int_eq (end_of (fd), 0);
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
  tcase_add_test (tests, test_a_cancelled_request_is_dropped_on_its_way);
  tcase_add_test (tests, test_an_exchange_that_fails_leaves_nothing_on_its_way);
  tcase_add_test (tests, test_a_connection_that_the_upstream_ends_is_closed_in_order);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
