#include "anvil/peers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/listener.h>

#include "anvil/error.h"
#include "anvil/largest.h"
#include "anvil/log.h"
#include "peers-link.h"

/* Usual limits on connections from other entries and on the memory for their incomplete frames. */
#define MAX_ACCEPTED_LINKS 1024
#define MAX_WAITING_BYTES (64u << 20)
/* Delay before the next connection to a peer whose link failed. */
#define RECONNECT_DELAY (100 * ANVIL_MS)
/* An outgoing link is closed when nothing was sent for this long. */
#define LINK_IDLE_TIMEOUT (30 * ANVIL_SECOND)
#define IDLE_CHECK_INTERVAL_SECONDS 10
/* Limit on recorded failures; when it is reached, all are discarded. */
#define MAX_RECORDED_FAILURES 1024

struct anvil_peers
{
  struct event_base *base;
  anvil_node_t node;
  anvil_peers_callbacks_t callbacks;
  void *context;
  struct evconnlistener *listener;
  struct event *idle_timer;
  /* Links by node. */
  GHashTable *outgoing;
  /* Time of the last failure of an outgoing link, by node. */
  GHashTable *failures;
  /* Set of links. */
  GHashTable *accepted;
  guint max_accepted;
  /* Limit of the bytes of incomplete frames on them, and their current sum. */
  gsize max_waiting_bytes;
  gsize waiting_bytes;
  anvil_peers_counters_t counters;
};

static gboolean
handle_hello (anvil_peers_t *peers, anvil_peer_link_t *link, const anvil_hello_t *hello)
{
  if (hello->version != ANVIL_PROTOCOL_VERSION)
    {
      peers->counters.version_mismatches++;
      anvil_log (ANVIL_LOG_WARNING, "peers",
                 "protocol version mismatch, link closed version=%" G_GUINT64_FORMAT,
                 hello->version);
      return FALSE;
    }
  if (hello->node == ANVIL_NO_NODE || anvil_peer_link_node (link) != ANVIL_NO_NODE)
    {
      peers->counters.bad_frames++;
      return FALSE;
    }
  anvil_peer_link_set_node (link, hello->node);
  return TRUE;
}

static gboolean
on_frame (void *context, anvil_peer_link_t *link, const anvil_frame_t *frame)
{
  anvil_peers_t *peers = context;
  anvil_node_t from = anvil_peer_link_node (link);

  if (frame->kind == ANVIL_FRAME_HELLO)
    return handle_hello (peers, link, &frame->hello);
  if (from == ANVIL_NO_NODE)
    {
      peers->counters.bad_frames++;
      return FALSE;
    }
  switch (frame->kind)
    {
    case ANVIL_FRAME_MESSAGE:
      peers->callbacks.message_received (peers->context, from, &frame->message);
      break;
    case ANVIL_FRAME_CONFIG_REQUEST:
      peers->callbacks.config_requested (peers->context, from, frame->config_request);
      break;
    case ANVIL_FRAME_CONFIG:
      peers->callbacks.config_received (peers->context, from, frame->config.generation,
                                        frame->config.head, frame->config.file);
      break;
    case ANVIL_FRAME_RELAY_MESSAGE:
      if (peers->callbacks.relay_message_received == NULL)
        {
          peers->counters.bad_frames++;
          return FALSE;
        }
      peers->callbacks.relay_message_received (peers->context, from, frame->relay_message);
      break;
    case ANVIL_FRAME_HELLO:
      break;
    }
  return TRUE;
}

static void
on_accepted_closed (void *context, anvil_peer_link_t *link, gboolean bad_input)
{
  anvil_peers_t *peers = context;

  g_hash_table_remove (peers->accepted, link);
  peers->waiting_bytes -= anvil_peer_link_waiting_bytes (link);
}

static gint64
measure_waiting_bytes (gconstpointer link)
{
  return (gint64) anvil_peer_link_waiting_bytes (link);
}

/* Returns FALSE if @link itself has to be closed. */
static gboolean
on_waiting (void *context, anvil_peer_link_t *link, gsize before, gsize bytes)
{
  anvil_peers_t *peers = context;

  peers->waiting_bytes += bytes - before;
  while (peers->waiting_bytes > peers->max_waiting_bytes)
    {
      anvil_peer_link_t *longest = anvil_find_largest (peers->accepted, measure_waiting_bytes);

      anvil_log (ANVIL_LOG_WARNING, "peers",
                 "link closed, incomplete frames exceed their memory bytes=%zu all_bytes=%zu "
                 "limit=%zu",
                 anvil_peer_link_waiting_bytes (longest), peers->waiting_bytes,
                 peers->max_waiting_bytes);
      peers->counters.dropped++;
      if (longest == link)
        return FALSE;
      on_accepted_closed (peers, longest, FALSE);
      anvil_peer_link_close (longest);
    }
  return TRUE;
}

static void
record_failure (anvil_peers_t *peers, anvil_node_t node)
{
  gint64 now = anvil_clock_now ();

  if (g_hash_table_size (peers->failures) >= MAX_RECORDED_FAILURES)
    g_hash_table_remove_all (peers->failures);
  g_hash_table_insert (peers->failures, g_memdup2 (&node, sizeof node),
                       g_memdup2 (&now, sizeof now));
}

static void
on_outgoing_closed (void *context, anvil_peer_link_t *link, gboolean bad_input)
{
  anvil_peers_t *peers = context;
  gint64 node = (gint64) anvil_peer_link_node (link);

  g_hash_table_remove (peers->outgoing, &node);
  record_failure (peers, anvil_peer_link_node (link));
  if (anvil_peer_link_refused (link) && peers->callbacks.refused != NULL)
    peers->callbacks.refused (peers->context, anvil_peer_link_node (link));
}

static const anvil_peer_link_callbacks_t accepted_callbacks
    = { .frame = on_frame, .waiting = on_waiting, .closed = on_accepted_closed };
static const anvil_peer_link_callbacks_t outgoing_callbacks
    = { .frame = NULL, .closed = on_outgoing_closed };

/* The oldest links without a hello count most, those with one not at all. */
static gint64
measure_wait_for_hello (gconstpointer link)
{
  return anvil_peer_link_node (link) == ANVIL_NO_NODE
             ? G_MAXINT64 - anvil_peer_link_opened_at (link)
             : -1;
}

/* Makes room for a link. Returns FALSE if there is none. */
static gboolean
make_room (anvil_peers_t *peers)
{
  anvil_peer_link_t *link;

  if (g_hash_table_size (peers->accepted) < peers->max_accepted)
    return TRUE;
  peers->counters.dropped++;
  link = anvil_find_largest (peers->accepted, measure_wait_for_hello);
  if (link == NULL)
    return FALSE;
  on_accepted_closed (peers, link, FALSE);
  anvil_peer_link_close (link);
  return TRUE;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  anvil_peers_t *peers = data;

  if (!make_room (peers))
    {
      evutil_closesocket (fd);
      return;
    }
  g_hash_table_add (peers->accepted, anvil_peer_link_accept (peers->base, fd, &accepted_callbacks,
                                                             peers, &peers->counters));
}

/* For example out of file descriptors. The listener keeps accepting. */
static void
on_accept_error (struct evconnlistener *listener, void *data)
{
  anvil_log (ANVIL_LOG_ERROR, "peers", "can't accept a connection error=\"%s\"",
             g_strerror (errno));
}

static void
close_idle_links (evutil_socket_t fd, short what, void *data)
{
  anvil_peers_t *peers = data;
  anvil_time_t now = anvil_clock_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (now - anvil_peer_link_last_queued_at (value) < LINK_IDLE_TIMEOUT)
        continue;
      g_hash_table_iter_remove (&iter);
      anvil_peer_link_close (value);
    }
}

static void
start_idle_timer (anvil_peers_t *peers)
{
  const struct timeval interval = { .tv_sec = IDLE_CHECK_INTERVAL_SECONDS };

  peers->idle_timer = event_new (peers->base, -1, EV_PERSIST, close_idle_links, peers);
  event_add (peers->idle_timer, &interval);
}

anvil_peers_t *
anvil_peers_open (struct event_base *base,
                  anvil_node_t node,
                  const anvil_peers_callbacks_t *callbacks,
                  void *context,
                  GError **error)
{
  struct sockaddr_in local = { .sin_family = AF_INET,
                               .sin_port = htons (anvil_node_port (node)),
                               .sin_addr.s_addr = htonl (anvil_node_address (node)) };
  anvil_peers_t *peers = g_new0 (anvil_peers_t, 1);

  peers->base = base;
  peers->node = node;
  peers->max_accepted = MAX_ACCEPTED_LINKS;
  peers->max_waiting_bytes = MAX_WAITING_BYTES;
  peers->callbacks = *callbacks;
  peers->context = context;
  peers->listener = evconnlistener_new_bind (
      base, on_accept, peers, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      SOMAXCONN, (struct sockaddr *) &local, sizeof local);
  if (peers->listener == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "can't listen for peers: %s",
                   g_strerror (errno));
      g_free (peers);
      return NULL;
    }
  evconnlistener_set_error_cb (peers->listener, on_accept_error);
  peers->outgoing = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  peers->failures = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peers->accepted = g_hash_table_new (NULL, NULL);
  start_idle_timer (peers);
  return peers;
}

static void
close_links (GHashTable *table, gboolean links_are_values)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    anvil_peer_link_close (links_are_values ? value : key);
  g_hash_table_unref (table);
}

void
anvil_peers_close (anvil_peers_t *peers)
{
  if (peers == NULL)
    return;
  evconnlistener_free (peers->listener);
  event_free (peers->idle_timer);
  close_links (peers->outgoing, TRUE);
  close_links (peers->accepted, FALSE);
  g_hash_table_unref (peers->failures);
  g_free (peers);
}

void
anvil_peers_set_limits (anvil_peers_t *peers, guint max_links, gsize max_bytes)
{
  peers->max_accepted = max_links;
  peers->max_waiting_bytes = max_bytes;
}

static anvil_peer_link_t *
get_or_open_link (anvil_peers_t *peers, anvil_node_t to)
{
  anvil_peer_link_t *link = g_hash_table_lookup (peers->outgoing, &to);
  const gint64 *failed_at = g_hash_table_lookup (peers->failures, &to);

  if (link != NULL)
    return link;
  if (failed_at != NULL && anvil_clock_now () - *failed_at < RECONNECT_DELAY)
    return NULL;
  if (failed_at != NULL)
    g_hash_table_remove (peers->failures, &to);
  link = anvil_peer_link_open (peers->base, peers->node, to, &outgoing_callbacks, peers,
                               &peers->counters);
  g_hash_table_insert (peers->outgoing, g_memdup2 (&to, sizeof to), link);
  return link;
}

static void
send_frame (anvil_peers_t *peers, anvil_node_t to, const anvil_frame_t *frame)
{
  anvil_peer_link_t *link = to != ANVIL_NO_NODE ? get_or_open_link (peers, to) : NULL;
  GByteArray *bytes;

  if (link == NULL)
    {
      peers->counters.dropped++;
      return;
    }
  bytes = g_byte_array_new ();
  anvil_frame_pack (frame, bytes);
  if (bytes->len > ANVIL_MAX_FRAME_BYTES || !anvil_peer_link_send (link, bytes))
    peers->counters.dropped++;
  g_byte_array_unref (bytes);
}

void
anvil_peers_send (anvil_peers_t *peers, anvil_node_t to, const anvil_message_t *message)
{
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);

  frame->kind = ANVIL_FRAME_MESSAGE;
  frame->message = *message;
  send_frame (peers, to, frame);
  g_free (frame);
}

void
anvil_peers_request_config (anvil_peers_t *peers, anvil_node_t to, guint64 generation)
{
  anvil_frame_t frame = { .kind = ANVIL_FRAME_CONFIG_REQUEST, .config_request = generation };

  send_frame (peers, to, &frame);
}

void
anvil_peers_send_config (
    anvil_peers_t *peers, anvil_node_t to, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  anvil_frame_t frame = { .kind = ANVIL_FRAME_CONFIG,
                          .config = { .generation = generation, .head = head, .file = file } };

  send_frame (peers, to, &frame);
}

void
anvil_peers_send_relay_message (anvil_peers_t *peers, anvil_node_t to, anvil_str_t bytes)
{
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);

  frame->kind = ANVIL_FRAME_RELAY_MESSAGE;
  frame->relay_message = bytes;
  send_frame (peers, to, frame);
  g_free (frame);
}

gsize
anvil_peers_queued_bytes (const anvil_peers_t *peers, anvil_node_t to)
{
  const anvil_peer_link_t *link = g_hash_table_lookup (peers->outgoing, &to);

  return link != NULL ? anvil_peer_link_queued_bytes (link) : 0;
}

void
anvil_peers_close_link (anvil_peers_t *peers, anvil_node_t to)
{
  anvil_peer_link_t *link = g_hash_table_lookup (peers->outgoing, &to);

  if (link == NULL)
    return;
  g_hash_table_remove (peers->outgoing, &to);
  anvil_peer_link_close (link);
}

const anvil_peers_counters_t *
anvil_peers_counters (const anvil_peers_t *peers)
{
  return &peers->counters;
}
