#include "helper-fault-proxy.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "anvil/clock.h"
#include "net/stream-end.h"

/* A slow link passes its bytes in this many portions a second. */
#define PORTIONS_PER_SECOND 50

/**
 * pair_t - a proxied connection
 * @ends: sockets to the client (0) and to the target (1)
 * @states: how each of them has ended
 * @timers: forward delayed data, by the side that sent it
 */
typedef struct
{
  fault_proxy_t *proxy;
  struct bufferevent *ends[2];
  anvil_stream_end_t states[2];
  struct event *timers[2];
} pair_t;

struct fault_proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  guint16 port;
  guint16 target;
  fault_proxy_kind_t fault;
  guint delay_ms;
  GHashTable *pairs;
  /* Limit of what all clients together receive, or NULL. */
  struct ev_token_bucket_cfg *rate;
  struct bufferevent_rate_limit_group *clients;
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
forwards (const fault_proxy_t *proxy, guint side)
{
  return proxy->fault != FAULT_PROXY_BLACKHOLE
         && !(proxy->fault == FAULT_PROXY_ONE_WAY && side == 1);
}

static void
forward (pair_t *pair, guint side)
{
  if (forwards (pair->proxy, side))
    bufferevent_write_buffer (pair->ends[1 - side], bufferevent_get_input (pair->ends[side]));
}

static guint
side_index (const pair_t *pair, const struct bufferevent *end)
{
  return pair->ends[0] == end ? 0 : 1;
}

static void
on_read (struct bufferevent *end, void *data)
{
  pair_t *pair = data;
  guint side = side_index (pair, end);
  struct timeval delay = { .tv_usec = (suseconds_t) pair->proxy->delay_ms * 1000 };

  if (pair->proxy->fault == FAULT_PROXY_DELAY)
    event_add (pair->timers[side], &delay);
  else
    forward (pair, side);
}

static void
on_client_delay (evutil_socket_t unused_fd, short unused_what, void *data)
{
  forward (data, 0);
}

static void
on_target_delay (evutil_socket_t unused_fd, short unused_what, void *data)
{
  forward (data, 1);
}

/* After one side has closed, its data is sent before the other side is closed. */
static void
on_output_sent (struct bufferevent *end, void *data)
{
  if (evbuffer_get_length (bufferevent_get_output (end)) == 0)
    pair_free (data, FALSE);
}

static void
on_end_event (struct bufferevent *end, short what, void *data)
{
  pair_t *pair = data;
  guint side = side_index (pair, end);
  anvil_stream_state_t state = anvil_stream_end_update (&pair->states[side], end, what);

  if (state == ANVIL_STREAM_OPEN)
    return;
  /* A partition hides the end of a connection too. */
  if (state == ANVIL_STREAM_ENDED && !forwards (pair->proxy, side))
    return;
  if (state == ANVIL_STREAM_BROKEN)
    {
      pair_free (pair, TRUE);
      return;
    }
  forward (pair, side);
  bufferevent_setcb (pair->ends[1 - side], NULL, on_output_sent, on_end_event, pair);
  on_output_sent (pair->ends[1 - side], pair);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *data)
{
  fault_proxy_t *proxy = data;
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (proxy->target),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  pair_t *pair = g_new0 (pair_t, 1);

  pair->proxy = proxy;
  pair->ends[0]
      = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  pair->ends[1]
      = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  pair->timers[0] = evtimer_new (proxy->base, on_client_delay, pair);
  pair->timers[1] = evtimer_new (proxy->base, on_target_delay, pair);
  g_hash_table_add (proxy->pairs, pair);
  if (proxy->clients != NULL)
    bufferevent_add_to_rate_limit_group (pair->ends[0], proxy->clients);
  bufferevent_socket_connect (pair->ends[1], (struct sockaddr *) &to, sizeof to);
  if (proxy->fault == FAULT_PROXY_RESET)
    {
      pair_free (pair, TRUE);
      return;
    }
  for (guint i = 0; i < 2; i++)
    {
      bufferevent_setcb (pair->ends[i], on_read, NULL, on_end_event, pair);
      bufferevent_enable (pair->ends[i], EV_READ | EV_WRITE);
    }
}

fault_proxy_t *
fault_proxy_open (struct event_base *base)
{
  fault_proxy_t *proxy = g_new0 (fault_proxy_t, 1);
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof local;

  proxy->base = base;
  proxy->pairs = g_hash_table_new (NULL, NULL);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                             SOMAXCONN, (struct sockaddr *) &local, sizeof local);
  if (proxy->listener == NULL)
    g_error ("fault proxy can't listen on a loopback port");
  getsockname (evconnlistener_get_fd (proxy->listener), (struct sockaddr *) &local, &length);
  proxy->port = ntohs (local.sin_port);
  return proxy;
}

void
fault_proxy_reset_connections (fault_proxy_t *proxy)
{
  GList *open = g_hash_table_get_keys (proxy->pairs);

  for (GList *link = open; link != NULL; link = link->next)
    pair_free (link->data, TRUE);
  g_list_free (open);
}

void
fault_proxy_close (fault_proxy_t *proxy)
{
  fault_proxy_reset_connections (proxy);
  evconnlistener_free (proxy->listener);
  g_hash_table_unref (proxy->pairs);
  if (proxy->clients != NULL)
    {
      bufferevent_rate_limit_group_free (proxy->clients);
      ev_token_bucket_cfg_free (proxy->rate);
    }
  g_free (proxy);
}

void
fault_proxy_set_target (fault_proxy_t *proxy, guint16 port)
{
  proxy->target = port;
}

guint16
fault_proxy_port (const fault_proxy_t *proxy)
{
  return proxy->port;
}

/* Data held back during a fault is delivered when it ends, as after a partition. */
static void
forward_held_data (fault_proxy_t *proxy)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, proxy->pairs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      forward (key, 0);
      forward (key, 1);
    }
}

void
fault_proxy_set_fault (fault_proxy_t *proxy, fault_proxy_kind_t fault, guint delay_ms)
{
  proxy->fault = fault;
  proxy->delay_ms = delay_ms;
  if (fault == FAULT_PROXY_RESET)
    fault_proxy_reset_connections (proxy);
  else if (fault == FAULT_PROXY_NONE)
    forward_held_data (proxy);
}

void
fault_proxy_set_rate (fault_proxy_t *proxy, guint bytes_per_second)
{
  const struct timeval portion = { .tv_usec = ANVIL_SECOND / PORTIONS_PER_SECOND };
  const guint bytes = bytes_per_second / PORTIONS_PER_SECOND;

  g_assert (proxy->clients == NULL);
  proxy->rate
      = ev_token_bucket_cfg_new (EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, bytes, bytes, &portion);
  proxy->clients = bufferevent_rate_limit_group_new (proxy->base, proxy->rate);
}
