/* What the clients of the proxy see when its target ends a connection. */

#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "anvil/clock.h"
#include "helper-fault-proxy.h"

#define WAIT_TIMEOUT (10 * ANVIL_SECOND)
/* More than the sockets of both connections hold, so that the proxy is still writing. */
#define UPLOAD_BYTES ((gsize) 32 << 20)

static struct event_base *base;
static fault_proxy_t *proxy;
static int client;
static int target;
static char *upload;
static gsize n_uploaded;

static struct sockaddr_in
loopback (guint16 port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* Receives from a socket while the proxy runs. Returns what recv() returns. */
static ssize_t
receive (int fd, char *bytes, gsize length)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;
  ssize_t n = -1;

  errno = EAGAIN;
  while (n < 0 && errno == EAGAIN && anvil_clock_now () < until)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      n = recv (fd, bytes, length, MSG_DONTWAIT);
    }
  return n;
}

/* Sends as much of the upload as the sockets take. */
static void
send_upload (void)
{
  const anvil_time_t until = anvil_clock_now () + 200 * ANVIL_MS;

  while (anvil_clock_now () < until)
    {
      ssize_t n = send (client, upload + n_uploaded, UPLOAD_BYTES - n_uploaded,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

      n_uploaded += n > 0 ? (gsize) n : 0;
      event_base_loop (base, EVLOOP_NONBLOCK);
    }
}

static void
set_up (void)
{
  struct sockaddr_in address = loopback (0);
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char byte;

  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  proxy = fault_proxy_open (base);
  ck_assert_int_eq (bind (listener, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &address, &length), 0);
  fault_proxy_set_target (proxy, ntohs (address.sin_port));
  address = loopback (fault_proxy_port (proxy));
  client = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (client, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (fcntl (listener, F_SETFL, O_NONBLOCK), 0);
  do
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      target = accept (listener, NULL, NULL);
  } while (target < 0);
  close (listener);
  /* After a first exchange the proxy writes to the target before it reads from it. */
  ck_assert_int_eq (send (client, "a", 1, MSG_NOSIGNAL), 1);
  ck_assert_int_eq (receive (target, &byte, 1), 1);
  upload = g_strnfill (UPLOAD_BYTES, 'u');
  n_uploaded = 0;
}

static void
tear_down (void)
{
  close (client);
  fault_proxy_close (proxy);
  event_base_free (base);
  g_free (upload);
}

/* Guards against a reset that reaches the client as an orderly end: what the target had sent of a
 * response without a length would look whole. */
START_TEST (test_a_reset_by_the_target_is_passed_on_as_one)
{
  const struct linger linger = { .l_onoff = 1 };
  char bytes[16];
  ssize_t n;

  send_upload ();
  ck_assert_int_eq (send (target, "part", 4, MSG_NOSIGNAL), 4);
  ck_assert_int_eq (receive (client, bytes, sizeof bytes), 4);
  ck_assert_int_eq (setsockopt (target, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (target);
  n = receive (client, bytes, sizeof bytes);
  ck_assert_msg (n < 0 && errno == ECONNRESET, "received %zd, %s", n, g_strerror (errno));
}
END_TEST

START_TEST (test_an_orderly_end_of_the_target_is_passed_on)
{
  char bytes[16];

  ck_assert_int_eq (send (target, "whole", 5, MSG_NOSIGNAL), 5);
  shutdown (target, SHUT_WR);
  ck_assert_int_eq (receive (client, bytes, sizeof bytes), 5);
  ck_assert_int_eq (receive (client, bytes, sizeof bytes), 0);
  close (target);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fault-proxy");
  TCase *tests = tcase_create ("fault-proxy");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_reset_by_the_target_is_passed_on_as_one);
  tcase_add_test (tests, test_an_orderly_end_of_the_target_is_passed_on);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
