/* Links between entries, over TCP sockets. */

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
#include "helper-ports.h"

#define LOCALHOST 0x7f000001u
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)

/* The links of one entry, and what it received. */
typedef struct
{
  anvil_node_t node;
  anvil_peers_t *peers;
  guint n_messages;
  anvil_message_t last_message;
  anvil_node_t last_from;
  guint64 requested_generation;
  guint64 file_generation;
  GString *file;
} endpoint_t;

static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  endpoint_t *endpoint = context;

  endpoint->n_messages++;
  endpoint->last_message = *message;
  endpoint->last_from = from;
}

static void
on_config_requested (void *context, anvil_node_t from, guint64 generation)
{
  endpoint_t *endpoint = context;

  endpoint->requested_generation = generation;
  anvil_peers_send_config (endpoint->peers, from, generation, anvil_str ("{}"), anvil_str ("file"));
}

static void
on_config_received (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  endpoint_t *endpoint = context;

  endpoint->file_generation = generation;
  g_string_append_len (endpoint->file, file.data, (gssize) file.length);
}

static endpoint_t *
endpoint_open (struct event_base *base, anvil_node_t node)
{
  static const anvil_peers_callbacks_t callbacks = { .message_received = on_message,
                                                     .config_requested = on_config_requested,
                                                     .config_received = on_config_received };
  endpoint_t *endpoint = g_new0 (endpoint_t, 1);
  GError *error = NULL;

  endpoint->node = node != 0 ? node : anvil_node (LOCALHOST, reserve_port ());
  endpoint->file = g_string_new (NULL);
  endpoint->peers = anvil_peers_open (base, endpoint->node, &callbacks, endpoint, &error);
  ck_assert_msg (endpoint->peers != NULL, "%s", error != NULL ? error->message : "");
  return endpoint;
}

static void
endpoint_close (endpoint_t *endpoint)
{
  anvil_peers_close (endpoint->peers);
  g_string_free (endpoint->file, TRUE);
  g_free (endpoint);
}

/* Runs the loop until @condition holds; fails the test after WAIT_TIMEOUT. */
#define WAIT(base, condition)                                                                      \
  do                                                                                               \
    {                                                                                              \
      anvil_time_t deadline = anvil_clock_now () + WAIT_TIMEOUT;                                   \
      while (!(condition))                                                                         \
        {                                                                                          \
          ck_assert_msg (anvil_clock_now () < deadline, "timed out: %s", #condition);              \
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

/* Whether the peer has closed the connection. */
static gboolean
raw_closed (int fd)
{
  char byte;
  ssize_t n_received = recv (fd, &byte, 1, MSG_DONTWAIT);

  return n_received == 0 || (n_received < 0 && errno == ECONNRESET);
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
send_release (endpoint_t *from, const endpoint_t *to, guint16 seat)
{
  anvil_message_t *message = new_release (seat);

  anvil_peers_send (from->peers, to->node, message);
  g_free (message);
}

START_TEST (test_messages_and_files_are_delivered)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  endpoint_t *b = endpoint_open (base, 0);

  send_release (a, b, 7);
  WAIT (base, b->n_messages == 1);
  ck_assert_uint_eq (b->last_message.grant_release.seat, 7);
  ck_assert_uint_eq (b->last_from, a->node);
  anvil_peers_request_config (a->peers, b->node, 5);
  WAIT (base, a->file_generation == 5);
  ck_assert_str_eq (a->file->str, "file");
  endpoint_close (a);
  endpoint_close (b);
  event_base_free (base);
}
END_TEST

/* Invalid input, which must close the link that it came from and no other. */
static const struct
{
  const char *description;
  gboolean hello;
  const char *bytes;
  gsize length;
} invalid_inputs[] = {
#define INPUT(description, hello, bytes)                                                           \
  {                                                                                                \
    description, hello, bytes, sizeof (bytes) - 1                                                  \
  }
  INPUT ("an HTTP request", FALSE, "GET / HTTP/1.1\r\n\r\n"),
  INPUT ("a message before hello", FALSE, "\0\0\0\x08\x92\x01\x92\x04\x93\x01\x02\x03"),
  INPUT ("too long a frame before hello", FALSE, "\0\x01\0\0"),
  INPUT ("a frame above the length limit", TRUE, "\x7f\xff\xff\xff"),
  INPUT ("an empty frame", TRUE, "\0\0\0\0"),
  INPUT ("an unknown message", TRUE, "\0\0\0\x05\x92\x01\x92\x0f\x90"),
  INPUT ("an unknown kind of frame", TRUE, "\0\0\0\x03\x92\x0f\x90"),
  INPUT ("a truncated object", TRUE, "\0\0\0\x03\x92\x01\x92"),
  INPUT ("a second hello", TRUE, "\0\0\0\x05\x92\x00\x92\x01\x05"),
#undef INPUT
};

START_TEST (test_invalid_input_closes_only_its_own_link)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  endpoint_t *b = endpoint_open (base, 0);
  guint sent = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (invalid_inputs); i++)
    {
      guint64 n_bad_before = b->peers != NULL ? anvil_peers_counters (b->peers)->bad_frames : 0;
      int fd = raw_connect (b->node);

      if (invalid_inputs[i].hello)
        raw_send_hello (fd, ANVIL_PROTOCOL_VERSION);
      raw_send (fd, invalid_inputs[i].bytes, invalid_inputs[i].length);
      WAIT (base, raw_closed (fd));
      ck_assert_msg (anvil_peers_counters (b->peers)->bad_frames == n_bad_before + 1,
                     "not counted: %s", invalid_inputs[i].description);
      send_release (a, b, (guint16) i);
      sent++;
      WAIT (base, b->n_messages == sent);
      close (fd);
    }
  /* The link of the valid peer stayed open: it sent one hello for all messages. */
  ck_assert_uint_eq (anvil_peers_counters (a->peers)->frames_out, 1 + sent);
  endpoint_close (a);
  endpoint_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_peer_of_another_version_is_rejected)
{
  struct event_base *base = event_base_new ();
  endpoint_t *endpoint = endpoint_open (base, 0);
  int fd = raw_connect (endpoint->node);
  anvil_message_t *message = new_release (1);
  anvil_frame_t *frame = g_new0 (anvil_frame_t, 1);

  raw_send_hello (fd, ANVIL_PROTOCOL_VERSION + 1);
  frame->kind = ANVIL_FRAME_MESSAGE;
  frame->message = *message;
  raw_send_frame (fd, frame);
  WAIT (base, raw_closed (fd));
  ck_assert_uint_eq (anvil_peers_counters (endpoint->peers)->version_mismatches, 1);
  ck_assert_uint_eq (endpoint->n_messages, 0);
  close (fd);
  g_free (frame);
  g_free (message);
  endpoint_close (endpoint);
  event_base_free (base);
}
END_TEST

START_TEST (test_incomplete_frame_does_not_delay_other_links)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  endpoint_t *b = endpoint_open (base, 0);
  int fd = raw_connect (b->node);

  raw_send_hello (fd, ANVIL_PROTOCOL_VERSION);
  raw_send (fd, "\0\0\0\x08\x92\x01", 6);
  send_release (a, b, 1);
  WAIT (base, b->n_messages == 1);
  ck_assert (!raw_closed (fd));
  raw_send (fd, "\x92\x04\x93\x02\x02\x03", 6);
  WAIT (base, b->n_messages == 2);
  ck_assert_uint_eq (b->last_message.grant_release.seat, 2);
  close (fd);
  endpoint_close (a);
  endpoint_close (b);
  event_base_free (base);
}
END_TEST

/* Lets what was sent arrive. */
static void
run_loop (struct event_base *base)
{
  for (anvil_time_t until = anvil_clock_now () + 50 * ANVIL_MS; anvil_clock_now () < until;)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* Guards against frames that never end: each may take megabytes. */
START_TEST (test_incomplete_frames_are_limited_together)
{
  static const char bytes[100000];
  const guint32 prefix = htonl (sizeof bytes + 1);
  struct event_base *base = event_base_new ();
  endpoint_t *endpoint = endpoint_open (base, 0);
  int fds[4];

  anvil_peers_set_limits (endpoint->peers, 10, 3 * (sizeof bytes + sizeof prefix));
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = raw_connect (endpoint->node);
      raw_send_hello (fds[i], ANVIL_PROTOCOL_VERSION);
      raw_send (fds[i], &prefix, sizeof prefix);
      raw_send (fds[i], bytes, sizeof bytes - i);
      run_loop (base);
    }
  /* The first has the longest one. */
  WAIT (base, raw_closed (fds[0]));
  for (guint i = 1; i < G_N_ELEMENTS (fds); i++)
    ck_assert (!raw_closed (fds[i]));
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
  endpoint_close (endpoint);
  event_base_free (base);
}
END_TEST

/* Guards against connections that keep peers out. */
START_TEST (test_a_new_link_displaces_the_oldest_without_a_hello)
{
  struct event_base *base = event_base_new ();
  endpoint_t *endpoint = endpoint_open (base, 0);
  int fds[4];

  anvil_peers_set_limits (endpoint->peers, G_N_ELEMENTS (fds) - 1, ANVIL_MAX_FRAME_BYTES);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = raw_connect (endpoint->node);
      if (i == 0)
        raw_send_hello (fds[i], ANVIL_PROTOCOL_VERSION);
      run_loop (base);
    }
  WAIT (base, raw_closed (fds[1]));
  ck_assert (!raw_closed (fds[0]));
  ck_assert (!raw_closed (fds[2]));
  ck_assert (!raw_closed (fds[3]));
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
  endpoint_close (endpoint);
  event_base_free (base);
}
END_TEST

START_TEST (test_queue_for_a_slow_reader_is_limited)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  endpoint_t *b = endpoint_open (base, 0);
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOCALHOST) };
  socklen_t length = sizeof local;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char *file = g_malloc0 (1u << 20);
  anvil_node_t slow;

  ck_assert_int_eq (bind (listener, (struct sockaddr *) &local, sizeof local), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &local, &length), 0);
  slow = anvil_node (LOCALHOST, ntohs (local.sin_port));

  /* 64 MB for a peer that never reads; at least half must be dropped. */
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
  endpoint_close (a);
  endpoint_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_restarted_peer_is_reconnected)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  endpoint_t *b = endpoint_open (base, 0);
  anvil_node_t node = b->node;

  send_release (a, b, 1);
  WAIT (base, b->n_messages == 1);
  endpoint_close (b);
  b = endpoint_open (base, node);
  /* Messages may be lost until the link is open again. */
  WAIT (base, (send_release (a, b, 2), event_base_loop (base, EVLOOP_NONBLOCK), b->n_messages > 0));
  ck_assert_uint_eq (b->last_message.grant_release.seat, 2);
  endpoint_close (a);
  endpoint_close (b);
  event_base_free (base);
}
END_TEST

START_TEST (test_address_in_use_is_an_error)
{
  struct event_base *base = event_base_new ();
  endpoint_t *a = endpoint_open (base, 0);
  anvil_peers_callbacks_t callbacks = { .message_received = on_message };
  GError *error = NULL;

  ck_assert_ptr_null (anvil_peers_open (base, a->node, &callbacks, a, &error));
  ck_assert_ptr_nonnull (error);
  g_error_free (error);
  endpoint_close (a);
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
  tcase_add_test (tcase, test_messages_and_files_are_delivered);
  tcase_add_test (tcase, test_invalid_input_closes_only_its_own_link);
  tcase_add_test (tcase, test_peer_of_another_version_is_rejected);
  tcase_add_test (tcase, test_incomplete_frame_does_not_delay_other_links);
  tcase_add_test (tcase, test_incomplete_frames_are_limited_together);
  tcase_add_test (tcase, test_a_new_link_displaces_the_oldest_without_a_hello);
  tcase_add_test (tcase, test_queue_for_a_slow_reader_is_limited);
  tcase_add_test (tcase, test_restarted_peer_is_reconnected);
  tcase_add_test (tcase, test_address_in_use_is_an_error);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
