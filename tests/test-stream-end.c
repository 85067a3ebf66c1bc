/* How connections end, by the order in which calls on their sockets learn of it. */

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "anvil/clock.h"
#include "net/stream-end.h"

#define WAIT_TIMEOUT (10 * ANVIL_SECOND)
/* More than the buffers of a connection hold. */
#define UNSENT_BYTES ((gsize) 16 << 20)

static struct event_base *base;
static struct bufferevent *stream;
static int peer;
static anvil_stream_end_t end;
static anvil_stream_state_t state;
static gboolean write_failed;
static gsize received_bytes;

static void
on_read (struct bufferevent *unused_stream, void *unused_data)
{
  struct evbuffer *input = bufferevent_get_input (stream);

  received_bytes += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_event (struct bufferevent *unused_stream, short events, void *unused_data)
{
  write_failed |= (events & BEV_EVENT_WRITING) != 0;
  state = anvil_stream_end_update (&end, stream, events);
}

/* Connects @stream to @peer, with bytes to write but no direction enabled. */
static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char *filler = g_strnfill (UNSENT_BYTES, 'x');

  signal (SIGPIPE, SIG_IGN);
  ck_assert_int_eq (bind (listener, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &address, &length), 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  peer = accept (listener, NULL, NULL);
  close (listener);
  evutil_make_socket_nonblocking (fd);
  base = event_base_new ();
  stream = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_disable (stream, EV_READ | EV_WRITE);
  bufferevent_setcb (stream, on_read, NULL, on_event, NULL);
  bufferevent_write (stream, filler, UNSENT_BYTES);
  g_free (filler);
  end = (anvil_stream_end_t){ 0 };
  state = ANVIL_STREAM_OPEN;
  write_failed = FALSE;
  received_bytes = 0;
}

static void
tear_down (void)
{
  bufferevent_free (stream);
  event_base_free (base);
}

static gboolean
has_state (void)
{
  return state != ANVIL_STREAM_OPEN;
}

static gboolean
has_failed_write (void)
{
  return write_failed;
}

static gboolean
has_read_part (void)
{
  return received_bytes > 0;
}

static gboolean
has_full_socket (void)
{
  gsize unsent = evbuffer_get_length (bufferevent_get_output (stream));

  event_base_loop (base, EVLOOP_NONBLOCK);
  return unsent < UNSENT_BYTES && evbuffer_get_length (bufferevent_get_output (stream)) == unsent;
}

static void
run_loop_until (gboolean (*condition) (void))
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (!condition () && anvil_clock_now () < until)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

static void
send_part (void)
{
  ck_assert_int_eq (send (peer, "part", 4, MSG_NOSIGNAL), 4);
}

static void
reset_peer (void)
{
  const struct linger linger = { .l_onoff = 1 };

  ck_assert_int_eq (setsockopt (peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), 0);
  close (peer);
}

/* Guards against an error that is overlooked, since the write has taken it before the read sees an
 * end: in an earlier turn of the loop, or in the same one. Of two events that are ready together,
 * the one that was added last is handled first. */
START_TEST (test_a_reset_that_the_write_learns_of_is_no_orderly_end)
{
  const gboolean earlier = _i == 0;

  send_part ();
  if (!earlier)
    {
      bufferevent_enable (stream, EV_READ);
      run_loop_until (has_read_part);
    }
  reset_peer ();
  bufferevent_enable (stream, EV_WRITE);
  run_loop_until (has_failed_write);
  if (earlier)
    ck_assert_int_eq (state, ANVIL_STREAM_OPEN);
  bufferevent_enable (stream, EV_READ);
  run_loop_until (has_read_part);
  run_loop_until (has_state);
  ck_assert (write_failed);
  ck_assert_int_eq (state, ANVIL_STREAM_BROKEN);
  ck_assert_uint_eq (received_bytes, 4);
}
END_TEST

START_TEST (test_a_reset_that_the_read_learns_of_is_no_orderly_end)
{
  send_part ();
  reset_peer ();
  bufferevent_enable (stream, EV_READ);
  run_loop_until (has_state);
  ck_assert (!write_failed);
  ck_assert_int_eq (state, ANVIL_STREAM_BROKEN);
  ck_assert_uint_eq (received_bytes, 4);
}
END_TEST

/* The end is read, and the error of the reset behind it is pending. */
START_TEST (test_a_reset_right_behind_the_end_is_no_orderly_end)
{
  send_part ();
  shutdown (peer, SHUT_WR);
  reset_peer ();
  bufferevent_enable (stream, EV_READ);
  run_loop_until (has_state);
  ck_assert_int_eq (state, ANVIL_STREAM_BROKEN);
}
END_TEST

START_TEST (test_an_end_in_order_is_one_while_bytes_wait_to_be_written)
{
  bufferevent_enable (stream, EV_READ | EV_WRITE);
  run_loop_until (has_full_socket);
  send_part ();
  shutdown (peer, SHUT_WR);
  run_loop_until (has_state);
  ck_assert_int_eq (state, ANVIL_STREAM_ENDED);
  ck_assert_uint_eq (received_bytes, 4);
  close (peer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stream-end");
  TCase *tests = tcase_create ("stream-end");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 30);
  tcase_add_loop_test (tests, test_a_reset_that_the_write_learns_of_is_no_orderly_end, 0, 2);
  tcase_add_test (tests, test_a_reset_that_the_read_learns_of_is_no_orderly_end);
  tcase_add_test (tests, test_a_reset_right_behind_the_end_is_no_orderly_end);
  tcase_add_test (tests, test_an_end_in_order_is_one_while_bytes_wait_to_be_written);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
