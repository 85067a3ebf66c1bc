/* Links between entries on real sockets. */

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "anvil/codec.h"
#include "anvil/log.h"
#include "anvil/peers.h"

#define LOCALHOST 0x7f000001u
#define PATIENCE (20 * ANVIL_SECOND)

/* An entry's peers, and what arrived there. */
typedef struct
{
  anvil_node_t node;
  anvil_peers_t *peers;
  guint n_messages;
  anvil_message_t last;
  anvil_node_t last_from;
  guint64 asked;
  guint64 file_generation;
  GString *file;
} end_t;

static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  end_t *end = context;

  end->n_messages++;
  end->last = *message;
  end->last_from = from;
}

static void
on_asked (void *context, anvil_node_t from, guint64 generation)
{
  end_t *end = context;

  end->asked = generation;
  anvil_peers_send_config (end->peers, from, generation, anvil_str ("{}"), anvil_str ("file"));
}

static void
on_arrived (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  end_t *end = context;

  end->file_generation = generation;
  g_string_append_len (end->file, file.data, (gssize) file.length);
}

/* A port that the kernel gives; free again when this returns. */
static guint16
free_port (void)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOCALHOST) };
  socklen_t length = sizeof local;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &local, sizeof local), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &local, &length), 0);
  close (fd);
  return ntohs (local.sin_port);
}

static end_t *
end_open (struct event_base *base, anvil_node_t node)
{
  static const anvil_peers_callbacks_t events
      = { .message = on_message, .config_requested = on_asked, .config_received = on_arrived };
  end_t *end = g_new0 (end_t, 1);
  GError *error = NULL;

  end->node = node != 0 ? node : anvil_node (LOCALHOST, free_port ());
  end->file = g_string_new (NULL);
  end->peers = anvil_peers_open (base, end->node, &events, end, &error);
  ck_assert_msg (end->peers != NULL, "%s", error != NULL ? error->message : "");
  return end;
}

static void
end_close (end_t *end)
{
  anvil_peers_close (end->peers);
  g_string_free (end->file, TRUE);
  g_free (end);
}

/* Runs the loop until @condition holds; the test fails when it never does. */
#define WAIT(base, condition)                                                                      \
  do                                                                                               \
    {                                                                                              \
      anvil_time_t until = anvil_clock_now () + PATIENCE;                                          \
      while (!(condition))                                                                         \
        {                                                                                          \
          ck_assert_msg (anvil_clock_now () < until, "never: %s", #condition);                     \
          event_base_loop (base, EVLOOP_NONBLOCK);                                                 \
          g_usleep (200);                                                                          \
        }                                                                                          \
  } while (0)

static int
raw_connect (anvil_node_t node)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (anvil_node_port (node)),
                            .sin_addr.s_addr = htonl (anvil_node_address (node)) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  return fd;
}

static void
raw_send (int fd, const void *bytes, gsize length)
{
  ck_assert_int_eq (send (fd, bytes, length, MSG_NOSIGNAL), (ssize_t) length);
}

static void
raw_send_frame (int fd, const anvil_frame_t *frame)
{
  GByteArray *bytes = g_byte_array_new ();
  guint32 prefix;

  anvil_frame_pack (frame, bytes);
  prefix = htonl (bytes->len);
  raw_send (fd, &prefix, sizeof prefix);
  raw_send (fd, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

static void
raw_send_hello (int fd, guint64 version)
{
  anvil_frame_t hello = { .kind = ANVIL_FRAME_HELLO,
                          .hello = { .version = version, .node = anvil_node (LOCALHOST, 9) } };

  raw_send_frame (fd, &hello);
}

/* Whether the other end has closed the connection. */
static gboolean
raw_closed (int fd)
{
  char byte;
  ssize_t got = recv (fd, &byte, 1, MSG_DONTWAIT);

  return got == 0 || (got < 0 && errno == ECONNRESET);
}

static anvil_message_t *
new_release (guint16 seat)
{
  anvil_message_t *message = g_new0 (anvil_message_t, 1);

  message->kind = ANVIL_MESSAGE_GRANT_RELEASE;
  message->grant_release.seat = seat;
  return message;
}

static void
send_release (end_t *from, const end_t *to, guint16 seat)
{
  anvil_message_t *message = new_release (seat);

  anvil_peers_send (from->peers, to->node, message);
  g_free (message);
}

START_TEST (test_messages_and_files_travel)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  end_t *b = end_open (base, 0);

  send_release (a, b, 7);
  WAIT (base, b->n_messages == 1);
  ck_assert_uint_eq (b->last.grant_release.seat, 7);
  ck_assert_uint_eq (b->last_from, a->node);
  anvil_peers_request_config (a->peers, b->node, 5);
  WAIT (base, a->file_generation == 5);
  ck_assert_str_eq (a->file->str, "file");
  end_close (a);
  end_close (b);
  event_base_free (base);
}
END_TEST

/* Input that must close its own link and nothing else. */
static const struct
{
  const char *what;
  gboolean hello;
  const char *bytes;
  gsize length;
} bad_inputs[] = {
#define INPUT(what, hello, bytes)                                                                  \
  {                                                                                                \
    what, hello, bytes, sizeof (bytes) - 1                                                         \
  }
  INPUT ("an HTTP request", FALSE, "GET / HTTP/1.1\r\n\r\n"),
  INPUT ("a message before hello", FALSE, "\0\0\0\x08\x92\x01\x92\x04\x93\x01\x02\x03"),
  INPUT ("a long frame before hello", FALSE, "\0\x01\0\0"),
  INPUT ("a frame above the bound", TRUE, "\x7f\xff\xff\xff"),
  INPUT ("an empty frame", TRUE, "\0\0\0\0"),
  INPUT ("an unknown message", TRUE, "\0\0\0\x05\x92\x01\x92\x0f\x90"),
  INPUT ("an unknown kind of frame", TRUE, "\0\0\0\x03\x92\x0f\x90"),
  INPUT ("a truncated object", TRUE, "\0\0\0\x03\x92\x01\x92"),
  INPUT ("a second hello", TRUE, "\0\0\0\x05\x92\x00\x92\x01\x05"),
#undef INPUT
};

START_TEST (test_bad_input_closes_only_its_own_link)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  end_t *b = end_open (base, 0);
  guint sent = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (bad_inputs); i++)
    {
      guint64 before = b->peers != NULL ? anvil_peers_counters (b->peers)->bad_frames : 0;
      int fd = raw_connect (b->node);

      if (bad_inputs[i].hello)
        raw_send_hello (fd, ANVIL_PROTOCOL_VERSION);
      raw_send (fd, bad_inputs[i].bytes, bad_inputs[i].length);
      WAIT (base, raw_closed (fd));
      ck_assert_msg (anvil_peers_counters (b->peers)->bad_frames == before + 1, "not counted: %s",
                     bad_inputs[i].what);
      send_release (a, b, (guint16) i);
      sent++;
      WAIT (base, b->n_messages == sent);
      close (fd);
    }
  /* The good peer's link stayed open: one hello for all of its messages. */
  ck_assert_uint_eq (anvil_peers_counters (a->peers)->frames_out, 1 + sent);
  end_close (a);
  end_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_peer_of_another_version_is_refused)
{
  struct event_base *base = event_base_new ();
  end_t *end = end_open (base, 0);
  int fd = raw_connect (end->node);
  anvil_message_t *message = new_release (1);
  anvil_frame_t *frame = g_new0 (anvil_frame_t, 1);

  raw_send_hello (fd, ANVIL_PROTOCOL_VERSION + 1);
  frame->kind = ANVIL_FRAME_MESSAGE;
  frame->message = *message;
  raw_send_frame (fd, frame);
  WAIT (base, raw_closed (fd));
  ck_assert_uint_eq (anvil_peers_counters (end->peers)->version_mismatches, 1);
  ck_assert_uint_eq (end->n_messages, 0);
  close (fd);
  g_free (frame);
  g_free (message);
  end_close (end);
  event_base_free (base);
}
END_TEST

START_TEST (test_half_a_frame_waits_without_holding_up_others)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  end_t *b = end_open (base, 0);
  int fd = raw_connect (b->node);

  raw_send_hello (fd, ANVIL_PROTOCOL_VERSION);
  raw_send (fd, "\0\0\0\x08\x92\x01", 6);
  send_release (a, b, 1);
  WAIT (base, b->n_messages == 1);
  ck_assert (!raw_closed (fd));
  raw_send (fd, "\x92\x04\x93\x02\x02\x03", 6);
  WAIT (base, b->n_messages == 2);
  ck_assert_uint_eq (b->last.grant_release.seat, 2);
  close (fd);
  end_close (a);
  end_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_what_waits_for_a_slow_reader_is_bounded)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  end_t *b = end_open (base, 0);
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOCALHOST) };
  socklen_t length = sizeof local;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char *file = g_malloc0 (1u << 20);
  anvil_node_t slow;

  ck_assert_int_eq (bind (listener, (struct sockaddr *) &local, sizeof local), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &local, &length), 0);
  slow = anvil_node (LOCALHOST, ntohs (local.sin_port));

  /* 64 MB for a peer that never reads; most of it must be dropped. */
  for (guint i = 0; i < 64; i++)
    {
      anvil_str_t body = { .data = file, .length = 1u << 20 };

      anvil_peers_send_config (a->peers, slow, 1, anvil_str ("{}"), body);
      event_base_loop (base, EVLOOP_NONBLOCK);
    }
  ck_assert_uint_ge (anvil_peers_counters (a->peers)->dropped, 32);
  send_release (a, b, 1);
  WAIT (base, b->n_messages == 1);
  close (listener);
  g_free (file);
  end_close (a);
  end_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_peer_that_comes_back_is_reached_again)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  end_t *b = end_open (base, 0);
  anvil_node_t node = b->node;

  send_release (a, b, 1);
  WAIT (base, b->n_messages == 1);
  end_close (b);
  b = end_open (base, node);
  /* Messages may be lost on the way; a later one arrives. */
  WAIT (base, (send_release (a, b, 2), event_base_loop (base, EVLOOP_NONBLOCK), b->n_messages > 0));
  ck_assert_uint_eq (b->last.grant_release.seat, 2);
  end_close (a);
  end_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_address_in_use_is_an_error)
{
  struct event_base *base = event_base_new ();
  end_t *a = end_open (base, 0);
  anvil_peers_callbacks_t events = { .message = on_message };
  GError *error = NULL;

  ck_assert_ptr_null (anvil_peers_open (base, a->node, &events, a, &error));
  ck_assert_ptr_nonnull (error);
  g_error_free (error);
  end_close (a);
  event_base_free (base);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peers");
  TCase *tcase = tcase_create ("peers");
  SRunner *runner = srunner_create (suite);
  int failed;

  signal (SIGPIPE, SIG_IGN);
  anvil_log_set_level (ANVIL_LOG_ERROR);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_messages_and_files_travel);
  tcase_add_test (tcase, test_bad_input_closes_only_its_own_link);
  tcase_add_test (tcase, test_peer_of_another_version_is_refused);
  tcase_add_test (tcase, test_half_a_frame_waits_without_holding_up_others);
  tcase_add_test (tcase, test_what_waits_for_a_slow_reader_is_bounded);
  tcase_add_test (tcase, test_peer_that_comes_back_is_reached_again);
  tcase_add_test (tcase, test_address_in_use_is_an_error);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
