#include "peers-link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "anvil/log.h"

#define LENGTH_PREFIX_BYTES 4
/* Largest frame accepted before the peer's hello. */
#define MAX_HELLO_BYTES 64u
/* Time until the hello. */
#define HELLO_TIMEOUT_SECONDS 5
/* Receive timeout; the sender closes an idle link well before. */
#define RECEIVE_TIMEOUT_SECONDS 120
/* Limit on the time to connect, and on the time that sending may stall. */
#define WRITE_TIMEOUT_SECONDS 5

struct anvil_peer_link
{
  struct bufferevent *bev;
  anvil_node_t node;
  anvil_time_t opened_at;
  anvil_time_t last_queued_at;
  /* Bytes of an incomplete frame that have arrived. */
  gsize waiting_bytes;
  anvil_peer_link_callbacks_t callbacks;
  void *context;
  anvil_peers_counters_t *counters;
  gboolean refused;
};

anvil_node_t
anvil_peer_link_node (const anvil_peer_link_t *link)
{
  return link->node;
}

void
anvil_peer_link_set_node (anvil_peer_link_t *link, anvil_node_t node)
{
  const struct timeval receive_timeout = { .tv_sec = RECEIVE_TIMEOUT_SECONDS };

  link->node = node;
  bufferevent_set_timeouts (link->bev, &receive_timeout, NULL);
}

anvil_time_t
anvil_peer_link_last_queued_at (const anvil_peer_link_t *link)
{
  return link->last_queued_at;
}

anvil_time_t
anvil_peer_link_opened_at (const anvil_peer_link_t *link)
{
  return link->opened_at;
}

gboolean
anvil_peer_link_refused (const anvil_peer_link_t *link)
{
  return link->refused;
}

gsize
anvil_peer_link_waiting_bytes (const anvil_peer_link_t *link)
{
  return link->waiting_bytes;
}

void
anvil_peer_link_close (anvil_peer_link_t *link)
{
  bufferevent_free (link->bev);
  g_free (link);
}

static void
report_and_close (anvil_peer_link_t *link, gboolean bad_input)
{
  link->callbacks.closed (link->context, link, bad_input);
  anvil_peer_link_close (link);
}

static gboolean
handle_frame (anvil_peer_link_t *link, anvil_str_t bytes)
{
  anvil_frame_t *frame = g_new (anvil_frame_t, 1);
  GError *error = NULL;
  gboolean keep_open = anvil_frame_unpack (bytes, frame, &error);

  if (keep_open)
    {
      link->counters->frames_in++;
      keep_open = link->callbacks.frame (link->context, link, frame);
    }
  else
    {
      link->counters->bad_frames++;
      anvil_log (ANVIL_LOG_WARNING, "peers", "invalid frame received, link closed reason=\"%s\"",
                 error->message);
      g_error_free (error);
    }
  g_free (frame);
  return keep_open;
}

/* Largest frame accepted from the peer at this time. */
static guint32
frame_limit (const anvil_peer_link_t *link)
{
  return link->node != ANVIL_NO_NODE ? ANVIL_MAX_FRAME_BYTES : MAX_HELLO_BYTES;
}

/* Accounts for what is left in the input. */
static void
update_waiting_bytes (anvil_peer_link_t *link)
{
  const gsize before = link->waiting_bytes;

  link->waiting_bytes = evbuffer_get_length (bufferevent_get_input (link->bev));
  if (!link->callbacks.waiting (link->context, link, before, link->waiting_bytes))
    report_and_close (link, FALSE);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  anvil_peer_link_t *link = data;
  struct evbuffer *input = bufferevent_get_input (bev);

  for (;;)
    {
      guint32 prefix;
      anvil_str_t bytes;
      gboolean keep_open;

      if (evbuffer_copyout (input, &prefix, sizeof prefix) < (ev_ssize_t) sizeof prefix)
        {
          update_waiting_bytes (link);
          return;
        }
      bytes.length = ntohl (prefix);
      if (bytes.length > frame_limit (link))
        {
          link->counters->bad_frames++;
          anvil_log (ANVIL_LOG_WARNING, "peers", "received frame too long, link closed length=%zu",
                     bytes.length);
          report_and_close (link, TRUE);
          return;
        }
      if (evbuffer_get_length (input) < LENGTH_PREFIX_BYTES + bytes.length)
        {
          update_waiting_bytes (link);
          return;
        }
      evbuffer_drain (input, LENGTH_PREFIX_BYTES);
      bytes.data = (const char *) evbuffer_pullup (input, (ev_ssize_t) bytes.length);
      link->counters->bytes_in += LENGTH_PREFIX_BYTES + bytes.length;
      keep_open = handle_frame (link, bytes);
      evbuffer_drain (input, bytes.length);
      if (!keep_open)
        {
          report_and_close (link, TRUE);
          return;
        }
    }
}

/* Peers must not send on a link that they accepted. */
static void
on_unexpected_read (struct bufferevent *bev, void *data)
{
  anvil_peer_link_t *link = data;

  link->counters->bad_frames++;
  report_and_close (link, TRUE);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  anvil_peer_link_t *link = data;

  link->refused = (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR () == ECONNREFUSED;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    report_and_close (link, FALSE);
}

static anvil_peer_link_t *
link_new (struct event_base *base,
          evutil_socket_t fd,
          const anvil_peer_link_callbacks_t *callbacks,
          void *context,
          anvil_peers_counters_t *counters)
{
  anvil_peer_link_t *link = g_new0 (anvil_peer_link_t, 1);

  link->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  link->opened_at = anvil_clock_now ();
  link->callbacks = *callbacks;
  link->context = context;
  link->counters = counters;
  return link;
}

static void
set_no_delay (evutil_socket_t fd)
{
  int enabled = 1;

  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

anvil_peer_link_t *
anvil_peer_link_accept (struct event_base *base,
                        evutil_socket_t fd,
                        const anvil_peer_link_callbacks_t *callbacks,
                        void *context,
                        anvil_peers_counters_t *counters)
{
  anvil_peer_link_t *link = link_new (base, fd, callbacks, context, counters);
  const struct timeval hello_timeout = { .tv_sec = HELLO_TIMEOUT_SECONDS };

  bufferevent_setcb (link->bev, on_read, NULL, on_event, link);
  bufferevent_setwatermark (link->bev, EV_READ, 0, LENGTH_PREFIX_BYTES + ANVIL_MAX_FRAME_BYTES);
  bufferevent_set_timeouts (link->bev, &hello_timeout, NULL);
  bufferevent_enable (link->bev, EV_READ);
  return link;
}

static void
queue_hello (anvil_peer_link_t *link, anvil_node_t self)
{
  anvil_frame_t hello
      = { .kind = ANVIL_FRAME_HELLO, .hello = { .version = ANVIL_PROTOCOL_VERSION, .node = self } };
  GByteArray *bytes = g_byte_array_new ();

  anvil_frame_pack (&hello, bytes);
  anvil_peer_link_send (link, bytes);
  g_byte_array_unref (bytes);
}

anvil_peer_link_t *
anvil_peer_link_open (struct event_base *base,
                      anvil_node_t self,
                      anvil_node_t node,
                      const anvil_peer_link_callbacks_t *callbacks,
                      void *context,
                      anvil_peers_counters_t *counters)
{
  anvil_peer_link_t *link = link_new (base, -1, callbacks, context, counters);
  const struct timeval write_timeout = { .tv_sec = WRITE_TIMEOUT_SECONDS };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (anvil_node_port (node)),
                                 .sin_addr.s_addr = htonl (anvil_node_address (node)) };

  link->node = node;
  bufferevent_setcb (link->bev, on_unexpected_read, NULL, on_event, link);
  bufferevent_set_timeouts (link->bev, NULL, &write_timeout);
  queue_hello (link, self);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  /* Failures are reported by the deferred event callback. */
  bufferevent_socket_connect (link->bev, (struct sockaddr *) &address, sizeof address);
  set_no_delay (bufferevent_getfd (link->bev));
  return link;
}

gsize
anvil_peer_link_queued_bytes (const anvil_peer_link_t *link)
{
  return evbuffer_get_length (bufferevent_get_output (link->bev));
}

gboolean
anvil_peer_link_send (anvil_peer_link_t *link, const GByteArray *frame)
{
  struct evbuffer *output = bufferevent_get_output (link->bev);
  guint32 prefix = htonl (frame->len);

  if (evbuffer_get_length (output) > ANVIL_PEER_LINK_MAX_QUEUED_BYTES)
    return FALSE;
  evbuffer_add (output, &prefix, sizeof prefix);
  evbuffer_add (output, frame->data, frame->len);
  link->last_queued_at = anvil_clock_now ();
  link->counters->frames_out++;
  link->counters->bytes_out += sizeof prefix + frame->len;
  return TRUE;
}
