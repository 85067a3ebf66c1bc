/* Time-outs of calls whose response arrives in parts, and responses that break off or belong to
 * another call. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

#include "net/http-pool.h"
#include "standins/endless.h"

#define TIMEOUT (400 * ANVIL_MS)
#define PART_INTERVAL (100 * ANVIL_MS)
#define PART_BYTES 10000u
/* So that all parts take much longer than the time-out. */
#define N_PARTS 12u
/* Far above the time-out of a call, for machines that are busy. */
#define END_TIMEOUT (10 * ANVIL_SECOND)
/* What may arrive of a response without end: the limits of its head and body, for each byte of the
 * body the framing of a chunk, and what is on its way. */
#define MAX_ENDLESS_BYTES ((64u << 10) + 6 * (gsize) N_PARTS * PART_BYTES + (1u << 20))

/**
 * server_t - sends a response of N_PARTS parts to each connection
 * @parts_left: parts that were not sent yet
 * @part_bytes: bytes of a part that are sent
 * @endless: the kind of a response that never ends, sent instead; or NULL
 * @last_part: the server stops sending when so many parts are left
 */
typedef struct
{
  struct evconnlistener *listener;
  struct bufferevent *stream;
  struct event *timer;
  guint16 port;
  guint parts_left;
  guint part_bytes;
  guint last_part;
  const endless_message_t *endless;
} server_t;

static struct event_base *base;
static server_t server;
static anvil_http_pool_t *pool;
static int status;
static gsize body_bytes;
static anvil_time_t receive_time;

static void
send_part (evutil_socket_t unused_fd, short unused_what, void *unused_data)
{
  const struct timeval interval = anvil_time_to_timeval (PART_INTERVAL);
  static const char part[PART_BYTES];

  if (server.parts_left == server.last_part)
    return;
  if (server.endless != NULL)
    {
      gsize length;
      char *block = endless_block (server.endless, &length);

      bufferevent_write (server.stream, block, length);
      g_free (block);
    }
  else
    bufferevent_write (server.stream, part, server.part_bytes);
  server.parts_left--;
  evtimer_add (server.timer, &interval);
}

static void
on_read (struct bufferevent *stream, void *unused_data)
{
  struct evbuffer *input = bufferevent_get_input (stream);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (server.endless != NULL)
    {
      char *start = endless_start (server.endless, "HTTP/1.1 200 OK\r\n", "");

      bufferevent_write (server.stream, start, strlen (start));
      g_free (start);
      send_part (-1, 0, NULL);
      return;
    }
  evbuffer_add_printf (bufferevent_get_output (stream),
                       "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", N_PARTS * PART_BYTES);
  send_part (-1, 0, NULL);
}

static void
on_accept (struct evconnlistener *unused_listener,
           evutil_socket_t fd,
           struct sockaddr *unused_address,
           int unused_length,
           void *unused_data)
{
  server.stream = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (server.stream, on_read, NULL, NULL, NULL);
  bufferevent_enable (server.stream, EV_READ | EV_WRITE);
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  base = event_base_new ();
  server = (server_t){ .parts_left = N_PARTS, .part_bytes = PART_BYTES };
  server.timer = evtimer_new (base, send_part, NULL);
  server.listener = evconnlistener_new_bind (base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE, 1,
                                             (struct sockaddr *) &address, sizeof address);
  ck_assert_ptr_nonnull (server.listener);
  ck_assert_int_eq (
      getsockname (evconnlistener_get_fd (server.listener), (struct sockaddr *) &address, &length),
      0);
  pool = anvil_http_pool_open (base, INADDR_LOOPBACK, ntohs (address.sin_port), TIMEOUT);
  status = -1;
}

static void
tear_down (void)
{
  anvil_http_pool_close (pool);
  if (server.stream != NULL)
    bufferevent_free (server.stream);
  event_free (server.timer);
  evconnlistener_free (server.listener);
  event_base_free (base);
}

static void
on_result (void *context, const anvil_http_result_t *result)
{
  status = result->status;
  body_bytes = result->body != NULL ? evbuffer_get_length (result->body) : 0;
  receive_time = result->receive_time;
  event_base_loopbreak (base);
}

static void
call_server (void)
{
  const struct timeval end = anvil_time_to_timeval (END_TIMEOUT);
  const anvil_http_call_limits_t limits = { .response_bytes = (gsize) N_PARTS * PART_BYTES };

  anvil_http_pool_call_within (pool, &limits, EVHTTP_REQ_GET, "/", NULL, on_result, NULL);
  event_base_loopexit (base, &end);
  event_base_dispatch (base);
}

START_TEST (test_a_response_that_takes_longer_than_the_timeout_is_received)
{
  call_server ();
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (body_bytes, (gsize) N_PARTS * PART_BYTES);
  ck_assert_int_gt (receive_time, TIMEOUT);
}
END_TEST

START_TEST (test_a_response_that_stops_arriving_fails)
{
  anvil_time_t started_at = anvil_clock_now ();

  server.last_part = N_PARTS / 2;
  call_server ();
  ck_assert_int_eq (status, 0);
  ck_assert_int_ge (anvil_clock_now () - started_at, N_PARTS / 2 * PART_INTERVAL);
}
END_TEST

START_TEST (test_a_response_without_progress_fails)
{
  server.part_bytes = 1;
  call_server ();
  ck_assert_int_eq (status, 0);
  ck_assert_uint_gt (server.parts_left, 0);
}
END_TEST

/* Guards against calls that never end, and against responses that take memory without end. */
START_TEST (test_a_response_without_end_fails)
{
  const endless_message_t *message = &endless_messages[_i];
  const anvil_time_t started_at = anvil_clock_now ();

  server.endless = message;
  server.parts_left = G_MAXUINT;
  call_server ();
  ck_assert_msg (status == 0, "%s: %d", message->name, status);
  ck_assert_msg (anvil_clock_now () - started_at < END_TIMEOUT, "%s", message->name);
  ck_assert_uint_lt (anvil_http_pool_byte_counts (pool)->in, MAX_ENDLESS_BYTES);
}
END_TEST

/* A server of its own, which the test plays itself. */
static int
listen_for_calls (guint16 *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (fd, 5), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &address, &length), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

static gboolean
wait_for_input (int fd, anvil_time_t timeout)
{
  const anvil_time_t until = anvil_clock_now () + timeout;
  struct pollfd readable = { .fd = fd, .events = POLLIN };

  do
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      if (poll (&readable, 1, 1) > 0)
        return TRUE;
  } while (anvil_clock_now () < until);
  return FALSE;
}

static int
accept_call (int listener)
{
  char bytes[4096];
  int fd;

  ck_assert (wait_for_input (listener, END_TIMEOUT));
  fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  ck_assert (wait_for_input (fd, END_TIMEOUT));
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  return fd;
}

static void
wait_for_result (void)
{
  const anvil_time_t until = anvil_clock_now () + END_TIMEOUT;

  while (status < 0 && anvil_clock_now () < until)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

static void
answer (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  wait_for_result ();
}

static void
reset (int fd)
{
  const struct linger linger = { .l_onoff = 1 };

  ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (fd);
}

#define FIRST "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
#define NEXT "HTTP/1.1 412 No\r\nContent-Length: 2\r\n\r\nno"

START_TEST (test_the_response_to_a_call_that_was_given_up_is_not_taken_for_the_next_one)
{
  guint16 port;
  int listener = listen_for_calls (&port);
  anvil_http_pool_t *own = anvil_http_pool_open (base, INADDR_LOOPBACK, port, TIMEOUT);
  int late;
  int fd;

  anvil_http_pool_call (own, EVHTTP_REQ_GET, "/a", NULL, on_result, NULL);
  late = accept_call (listener);
  wait_for_result ();
  ck_assert_int_eq (status, 0);
  status = -1;
  anvil_http_pool_call (own, EVHTTP_REQ_GET, "/b", NULL, on_result, NULL);
  fd = accept_call (listener);
  (void) !send (late, FIRST, strlen (FIRST), MSG_NOSIGNAL);
  event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (status, -1);
  answer (fd, NEXT);
  ck_assert_int_eq (status, 412);
  close (fd);
  close (late);
  anvil_http_pool_close (own);
  close (listener);
}
END_TEST

/* The process was busy or suspended when it arrived, and makes its next call before it reads. */
START_TEST (test_a_response_that_arrived_before_a_call_was_sent_is_not_taken_for_its_own)
{
  guint16 port;
  int listener = listen_for_calls (&port);
  anvil_http_pool_t *own = anvil_http_pool_open (base, INADDR_LOOPBACK, port, TIMEOUT);
  int used;
  int fd;

  anvil_http_pool_call (own, EVHTTP_REQ_GET, "/a", NULL, on_result, NULL);
  used = accept_call (listener);
  answer (used, FIRST);
  ck_assert_int_eq (status, 200);
  event_base_loop (base, EVLOOP_NONBLOCK);
  status = -1;
  ck_assert_int_eq (send (used, FIRST, strlen (FIRST), MSG_NOSIGNAL), (ssize_t) strlen (FIRST));
  g_usleep (10000);
  anvil_http_pool_call (own, EVHTTP_REQ_GET, "/b", NULL, on_result, NULL);
  for (guint i = 0; i < 20; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (status, -1);
  fd = accept_call (listener);
  answer (fd, NEXT);
  ck_assert_int_eq (status, 412);
  close (fd);
  close (used);
  anvil_http_pool_close (own);
  close (listener);
}
END_TEST

/* More than the buffers of a connection hold, so that the call is still being written. */
#define LONG_CALL_BYTES ((gsize) 16 << 20)
#define EARLY "HTTP/1.1 200 OK\r\n\r\npart of the body"

/* Starts a long call, on a connection that has carried another one before if @reuse. Returns the
 * server's end of the connection. */
static int
start_long_call (anvil_http_pool_t *own, int listener, gboolean reuse)
{
  struct evbuffer *body = evbuffer_new ();
  char *filler = g_strnfill (LONG_CALL_BYTES, 'x');
  char bytes[4096];
  int fd = -1;

  if (reuse)
    {
      anvil_http_pool_call (own, EVHTTP_REQ_GET, "/a", NULL, on_result, NULL);
      fd = accept_call (listener);
      answer (fd, FIRST);
      ck_assert_int_eq (status, 200);
      status = -1;
    }
  evbuffer_add (body, filler, LONG_CALL_BYTES);
  anvil_http_pool_call (own, EVHTTP_REQ_POST, "/b", body, on_result, NULL);
  if (reuse)
    {
      ck_assert (wait_for_input (fd, END_TIMEOUT));
      ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
    }
  else
    fd = accept_call (listener);
  g_free (filler);
  evbuffer_free (body);
  return fd;
}

/* Guards against a part of an early response that is taken for the whole, since the write of the
 * call takes the error of the connection and the read after it sees an end. */
START_TEST (test_an_early_response_without_length_is_whole_only_at_an_orderly_end)
{
  const gboolean reuse = _i % 2 == 1;
  const gboolean orderly = _i / 2 == 1;
  guint16 port;
  int listener = listen_for_calls (&port);
  anvil_http_pool_t *own = anvil_http_pool_open (base, INADDR_LOOPBACK, port, END_TIMEOUT);
  int fd = start_long_call (own, listener, reuse);

  ck_assert_int_eq (send (fd, EARLY, strlen (EARLY), MSG_NOSIGNAL), (ssize_t) strlen (EARLY));
  for (guint i = 0; i < 20; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (status, -1);
  if (orderly)
    shutdown (fd, SHUT_WR);
  else
    reset (fd);
  wait_for_result ();
  ck_assert_int_eq (status, orderly ? 200 : 0);
  if (orderly)
    close (fd);
  anvil_http_pool_close (own);
  close (listener);
}
END_TEST

/* More than one read of the event loop takes, and less than the window of a new connection. */
#define LONG_BODY_BYTES 40000

/* Guards against the loss of an early response of which only a part was read when the write of the
 * call fails: the rest has arrived and is still to be read. */
START_TEST (test_an_early_response_that_is_whole_before_a_reset_is_received)
{
  guint16 port;
  int listener = listen_for_calls (&port);
  anvil_http_pool_t *own = anvil_http_pool_open (base, INADDR_LOOPBACK, port, END_TIMEOUT);
  int fd = start_long_call (own, listener, _i == 1);
  char *body = g_strnfill (LONG_BODY_BYTES, 'b');
  char *response
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LONG_BODY_BYTES, body);
  int unacknowledged = 1;

  ck_assert_int_eq (send (fd, response, strlen (response), MSG_NOSIGNAL),
                    (ssize_t) strlen (response));
  while (unacknowledged > 0)
    {
      g_usleep (1000);
      ck_assert_int_eq (ioctl (fd, SIOCOUTQ, &unacknowledged), 0);
    }
  reset (fd);
  wait_for_result ();
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (body_bytes, LONG_BODY_BYTES);
  g_free (response);
  g_free (body);
  anvil_http_pool_close (own);
  close (listener);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http-pool");
  TCase *tests = tcase_create ("http-pool");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_response_that_takes_longer_than_the_timeout_is_received);
  tcase_add_test (tests, test_a_response_that_stops_arriving_fails);
  tcase_add_test (tests, test_a_response_without_progress_fails);
  tcase_add_loop_test (tests, test_a_response_without_end_fails, 0, ENDLESS_N_MESSAGES);
  tcase_add_test (tests,
                  test_the_response_to_a_call_that_was_given_up_is_not_taken_for_the_next_one);
  tcase_add_test (tests,
                  test_a_response_that_arrived_before_a_call_was_sent_is_not_taken_for_its_own);
  tcase_add_loop_test (tests, test_an_early_response_without_length_is_whole_only_at_an_orderly_end,
                       0, 4);
  tcase_add_loop_test (tests, test_an_early_response_that_is_whole_before_a_reset_is_received, 0,
                       2);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
