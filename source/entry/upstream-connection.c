#include "upstream-connection.h"

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "anvil/node.h"

/* Interval at which the token bucket of a paced connection is refilled. */
#define PACE_TICK_US 50000
#define PACE_TICKS_PER_S (1000000 / PACE_TICK_US)
/* Minimum number of bytes per tick. A smaller one would split requests into tiny packets. */
#define PACE_MIN_TICK_BYTES 1500

struct anvil_upstream_connection
{
  struct event_base *base;
  struct evhttp_connection *http;
  struct ev_token_bucket_cfg *rate_limit;
  guint64 key;
  gboolean maybe_sent;
  guint n_requests;
  anvil_time_t idle_since;
};

/* Bytes that are in the output buffer may be sent at any time. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  anvil_upstream_connection_t *connection = data;

  if (info->n_added > 0)
    connection->maybe_sent = TRUE;
}

anvil_upstream_connection_t *
anvil_upstream_connection_open (struct event_base *base,
                                guint32 address,
                                guint16 port,
                                gssize max_header_bytes,
                                gssize max_body_bytes)
{
  anvil_upstream_connection_t *connection = g_new0 (anvil_upstream_connection_t, 1);
  struct in_addr network = { .s_addr = htonl (address) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  connection->base = base;
  connection->key = anvil_node (address, port);
  connection->http = evhttp_connection_base_new (base, NULL, host, port);
  evhttp_connection_set_retries (connection->http, 0);
  evhttp_connection_set_max_headers_size (connection->http, max_header_bytes);
  evhttp_connection_set_max_body_size (connection->http, max_body_bytes);
  evbuffer_add_cb (bufferevent_get_output (evhttp_connection_get_bufferevent (connection->http)),
                   on_output, connection);
  return connection;
}

void
anvil_upstream_connection_set_local_address (anvil_upstream_connection_t *connection,
                                             guint32 address)
{
  struct in_addr network = { .s_addr = htonl (address) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  evhttp_connection_set_local_address (connection->http, host);
}

static void
drop_connection (evutil_socket_t fd, short what, void *data)
{
  anvil_upstream_connection_t *connection = data;

  evhttp_connection_free (connection->http);
  if (connection->rate_limit != NULL)
    ev_token_bucket_cfg_free (connection->rate_limit);
  g_free (connection);
}

void
anvil_upstream_connection_close (anvil_upstream_connection_t *connection)
{
  const struct timeval no_delay = { 0 };

  if (connection == NULL)
    return;
  if (event_base_once (connection->base, -1, EV_TIMEOUT, drop_connection, connection, &no_delay)
      != 0)
    g_error ("can't schedule closing an upstream connection");
}

static void
set_rate_limit (anvil_upstream_connection_t *connection, gint64 bytes_per_s)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection->http);
  const struct timeval tick = { .tv_usec = PACE_TICK_US };
  struct ev_token_bucket_cfg *previous = connection->rate_limit;

  connection->rate_limit = NULL;
  if (bytes_per_s > 0)
    {
      gsize bytes_per_tick = (gsize) MAX (bytes_per_s / PACE_TICKS_PER_S, PACE_MIN_TICK_BYTES);

      connection->rate_limit = ev_token_bucket_cfg_new (EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX,
                                                        bytes_per_tick, bytes_per_tick, &tick);
    }
  bufferevent_set_rate_limit (bev, connection->rate_limit);
  if (previous != NULL)
    ev_token_bucket_cfg_free (previous);
}

void
anvil_upstream_connection_prepare (anvil_upstream_connection_t *connection,
                                   anvil_time_t timeout,
                                   gint64 pace_bytes_per_s)
{
  struct timeval timeout_tv
      = { .tv_sec = timeout / ANVIL_SECOND, .tv_usec = timeout % ANVIL_SECOND };

  evhttp_connection_set_timeout_tv (connection->http, &timeout_tv);
  if (pace_bytes_per_s > 0 || connection->rate_limit != NULL)
    set_rate_limit (connection, pace_bytes_per_s);
  connection->maybe_sent = FALSE;
  connection->n_requests++;
}

gboolean
anvil_upstream_connection_is_new (const anvil_upstream_connection_t *connection)
{
  return connection->n_requests <= 1;
}

struct evhttp_connection *
anvil_upstream_connection_http (const anvil_upstream_connection_t *connection)
{
  return connection->http;
}

gboolean
anvil_upstream_connection_maybe_sent (const anvil_upstream_connection_t *connection)
{
  return connection->maybe_sent;
}

gboolean
anvil_upstream_connection_input_empty (const anvil_upstream_connection_t *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection->http);

  return evbuffer_get_length (bufferevent_get_input (bev)) == 0;
}

guint64
anvil_upstream_connection_key (const anvil_upstream_connection_t *connection)
{
  return connection->key;
}

anvil_time_t
anvil_upstream_connection_idle_since (const anvil_upstream_connection_t *connection)
{
  return connection->idle_since;
}

void
anvil_upstream_connection_set_idle_since (anvil_upstream_connection_t *connection, anvil_time_t now)
{
  connection->idle_since = now;
}
