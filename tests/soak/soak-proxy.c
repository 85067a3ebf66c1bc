#include "soak-proxy.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

/**
 * pair_t - a connection and its other half
 * @ends: the side that connected, and the target's
 * @timers: pass on what is delayed, by the side that it comes from
 */
typedef struct
{
  soak_proxy_t *proxy;
  struct bufferevent *ends[2];
  struct event *timers[2];
} pair_t;

struct soak_proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  guint16 port;
  guint16 target;
  soak_harm_t harm;
  guint delay_ms;
  GHashTable *pairs;
};

static void
set_reset_on_close (struct bufferevent *end)
{
  const struct linger linger = { .l_onoff = 1 };

  setsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
pair_free (pair_t *pair, gboolean reset)
{
  g_hash_table_remove (pair->proxy->pairs, pair);
  for (guint i = 0; i < 2; i++)
    {
      if (reset)
        set_reset_on_close (pair->ends[i]);
      bufferevent_free (pair->ends[i]);
      event_free (pair->timers[i]);
    }
  g_free (pair);
}

static gboolean
passes (const soak_proxy_t *proxy, guint side)
{
  return proxy->harm != SOAK_HARM_SILENT && !(proxy->harm == SOAK_HARM_ONE_WAY && side == 1);
}

static void
pass_on (pair_t *pair, guint side)
{
  if (passes (pair->proxy, side))
    bufferevent_write_buffer (pair->ends[1 - side], bufferevent_get_input (pair->ends[side]));
}

static guint
side_of (const pair_t *pair, const struct bufferevent *end)
{
  return pair->ends[0] == end ? 0 : 1;
}

static void
on_read (struct bufferevent *end, void *data)
{
  pair_t *pair = data;
  guint side = side_of (pair, end);
  struct timeval delay = { .tv_usec = (suseconds_t) pair->proxy->delay_ms * 1000 };

  if (pair->proxy->harm == SOAK_HARM_DELAY)
    event_add (pair->timers[side], &delay);
  else
    pass_on (pair, side);
}

static void
on_delayed_0 (evutil_socket_t unused_fd, short unused_what, void *data)
{
  pass_on (data, 0);
}

static void
on_delayed_1 (evutil_socket_t unused_fd, short unused_what, void *data)
{
  pass_on (data, 1);
}

/* One side has closed: what it sent goes out first. */
static void
on_written_out (struct bufferevent *end, void *data)
{
  if (evbuffer_get_length (bufferevent_get_output (end)) == 0)
    pair_free (data, FALSE);
}

static void
on_event (struct bufferevent *end, short what, void *data)
{
  pair_t *pair = data;
  guint side = side_of (pair, end);

  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  /* A cut link shows nothing of an end either. */
  if ((what & BEV_EVENT_EOF) != 0 && !passes (pair->proxy, side))
    return;
  if ((what & BEV_EVENT_EOF) == 0)
    {
      pair_free (pair, TRUE);
      return;
    }
  pass_on (pair, side);
  bufferevent_setcb (pair->ends[1 - side], NULL, on_written_out, on_event, pair);
  on_written_out (pair->ends[1 - side], pair);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  soak_proxy_t *proxy = data;
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (proxy->target),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  pair_t *pair = g_new0 (pair_t, 1);

  pair->proxy = proxy;
  pair->ends[0]
      = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  pair->ends[1]
      = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  pair->timers[0] = evtimer_new (proxy->base, on_delayed_0, pair);
  pair->timers[1] = evtimer_new (proxy->base, on_delayed_1, pair);
  g_hash_table_add (proxy->pairs, pair);
  bufferevent_socket_connect (pair->ends[1], (struct sockaddr *) &to, sizeof to);
  if (proxy->harm == SOAK_HARM_REFUSE)
    {
      pair_free (pair, TRUE);
      return;
    }
  for (guint i = 0; i < 2; i++)
    {
      bufferevent_setcb (pair->ends[i], on_read, NULL, on_event, pair);
      bufferevent_enable (pair->ends[i], EV_READ | EV_WRITE);
    }
}

soak_proxy_t *
soak_proxy_open (struct event_base *base)
{
  soak_proxy_t *proxy = g_new0 (soak_proxy_t, 1);
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof local;

  proxy->base = base;
  proxy->pairs = g_hash_table_new (NULL, NULL);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                             SOMAXCONN, (struct sockaddr *) &local, sizeof local);
  if (proxy->listener == NULL)
    g_error ("the proxy can't listen");
  getsockname (evconnlistener_get_fd (proxy->listener), (struct sockaddr *) &local, &length);
  proxy->port = ntohs (local.sin_port);
  return proxy;
}

void
soak_proxy_reset (soak_proxy_t *proxy)
{
  GList *open = g_hash_table_get_keys (proxy->pairs);

  for (GList *link = open; link != NULL; link = link->next)
    pair_free (link->data, TRUE);
  g_list_free (open);
}

void
soak_proxy_close (soak_proxy_t *proxy)
{
  soak_proxy_reset (proxy);
  evconnlistener_free (proxy->listener);
  g_hash_table_unref (proxy->pairs);
  g_free (proxy);
}

void
soak_proxy_set_target (soak_proxy_t *proxy, guint16 port)
{
  proxy->target = port;
}

guint16
soak_proxy_port (const soak_proxy_t *proxy)
{
  return proxy->port;
}

/* What was held back goes out when the harm ends, as after a partition. */
static void
release (soak_proxy_t *proxy)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, proxy->pairs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      pass_on (key, 0);
      pass_on (key, 1);
    }
}

void
soak_proxy_harm (soak_proxy_t *proxy, soak_harm_t harm, guint delay_ms)
{
  proxy->harm = harm;
  proxy->delay_ms = delay_ms;
  if (harm == SOAK_HARM_REFUSE)
    soak_proxy_reset (proxy);
  else if (harm == SOAK_HARM_NONE)
    release (proxy);
}
