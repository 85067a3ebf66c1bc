#include "caller-connection.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "anvil/log.h"

/* Interval at which connections that evhttp has closed are freed and their sockets closed. */
#define SWEEP_INTERVAL_US 100000
/* How long a rejected connection stays open. Closing it while the caller still sends would reset it
 * and could discard the response. */
#define LINGER_TIMEOUT_S 2

/* A response to a request that evhttp has not read completely. */
typedef struct
{
  const char *status;
  const char *message;
  const char *counter_label;
} early_response_t;

static const early_response_t memory_limit_response
    = { .status = "503 Service Unavailable",
        .message = "the entry buffers too many request bytes",
        .counter_label = "reason=\"memory\"" };
static const early_response_t read_timeout_response
    = { .status = "408 Request Timeout",
        .message = "the request was not received in time",
        .counter_label = "reason=\"slow\"" };

struct anvil_caller_connections
{
  struct event_base *base;
  anvil_caller_limits_t limits;
  anvil_metrics_t *metrics;
  guint64 buffered_bytes;
  struct event *sweep_timer;
  /* connection_t by the bufferevent that evhttp uses. */
  GHashTable *by_bufferevent;
};

typedef struct
{
  anvil_caller_connections_t *connections;
  struct bufferevent *bev;
  /* Limits the time to receive a request, then the time that the connection lingers. */
  struct event *timer;
  struct event *close_event;
  guint64 received_bytes;
  gboolean reading;
  gboolean lingering;
  const early_response_t *early_response;
  anvil_caller_disconnected_cb_t disconnected;
  void *disconnected_context;
} connection_t;

static void
release_bytes (connection_t *connection)
{
  connection->connections->buffered_bytes -= connection->received_bytes;
  connection->received_bytes = 0;
}

/*
 * evhttp does not report that it frees a connection. It clears the callbacks of
 * the bufferevent, which stays valid because a reference to it is held here.
 */
static gboolean
is_open (const connection_t *connection)
{
  bufferevent_event_cb callback;

  bufferevent_getcb (connection->bev, NULL, NULL, &callback, NULL);
  return callback != NULL;
}

/* Makes evhttp close the connection as if the caller had closed it. */
static void
trigger_close (connection_t *connection)
{
  bufferevent_trigger_event (connection->bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/* evhttp can't respond to a request that it is still reading, so the response is written directly
 * to the socket. */
static void
send_early_response (connection_t *connection)
{
  evutil_socket_t fd = bufferevent_getfd (connection->bev);
  const struct timeval linger_timeout = { .tv_sec = LINGER_TIMEOUT_S };
  const early_response_t *response = connection->early_response;
  char *text;

  text
      = g_strdup_printf ("HTTP/1.1 %s\r\nAnvil-Outcome: refused\r\nRetry-After: 1\r\n"
                         "Connection: close\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n{\"error\":\"%s\"}",
                         response->status, strlen (response->message) + strlen ("{\"error\":\"\"}"),
                         response->message);
  if (send (fd, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
    anvil_log (ANVIL_LOG_DEBUG, "caller", "can't send the early response error=\"%s\"",
               g_strerror (errno));
  g_free (text);
  shutdown (fd, SHUT_WR);
  bufferevent_disable (connection->bev, EV_READ);
  event_add (connection->timer, &linger_timeout);
}

static void
reject (connection_t *connection, const early_response_t *response)
{
  const struct timeval no_delay = { 0 };

  anvil_metrics_add_counter (connection->connections->metrics, "anvil_bad_requests_total",
                             response->counter_label, 1);
  connection->early_response = response;
  connection->reading = FALSE;
  release_bytes (connection);
  event_add (connection->timer, &no_delay);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  connection_t *connection = data;

  if (!is_open (connection))
    return;
  if (connection->reading)
    reject (connection, &read_timeout_response);
  else if (connection->lingering)
    trigger_close (connection);
  else if (connection->early_response != NULL)
    {
      connection->lingering = TRUE;
      send_early_response (connection);
    }
}

static void
add_received_bytes (connection_t *connection, gsize length)
{
  anvil_time_t timeout = connection->connections->limits.read_timeout;
  struct timeval timeout_tv
      = { .tv_sec = timeout / ANVIL_SECOND, .tv_usec = timeout % ANVIL_SECOND };

  connection->received_bytes += length;
  connection->connections->buffered_bytes += length;
  if (!connection->reading)
    {
      connection->reading = TRUE;
      event_add (connection->timer, &timeout_tv);
    }
  if (connection->connections->buffered_bytes > connection->connections->limits.max_buffered_bytes)
    reject (connection, &memory_limit_response);
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  connection_t *connection = data;

  if (info->n_added == 0 || connection->early_response != NULL)
    return;
  if (is_open (connection))
    add_received_bytes (connection, info->n_added);
  else
    bufferevent_disable (connection->bev, EV_READ);
}

static void
drop_connection (gpointer data)
{
  connection_t *connection = data;

  release_bytes (connection);
  event_free (connection->timer);
  if (connection->close_event != NULL)
    event_free (connection->close_event);
  evbuffer_remove_cb (bufferevent_get_input (connection->bev), on_input, connection);
  bufferevent_decref (connection->bev);
  g_free (connection);
}

struct bufferevent *
anvil_caller_connections_new_bufferevent (struct event_base *base, void *data)
{
  anvil_caller_connections_t *connections = data;
  connection_t *connection = g_new0 (connection_t, 1);

  connection->connections = connections;
  /* The socket is closed with the last reference. Otherwise its descriptor could be reused by
   * another connection while this bufferevent still reads from it. */
  connection->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref (connection->bev);
  evbuffer_add_cb (bufferevent_get_input (connection->bev), on_input, connection);
  connection->timer = evtimer_new (base, on_timer, connection);
  g_hash_table_insert (connections->by_bufferevent, connection->bev, connection);
  return connection->bev;
}

static gboolean
is_closed_by_evhttp (gpointer key, gpointer value, gpointer data)
{
  return !is_open (value);
}

static void
on_sweep (evutil_socket_t fd, short what, void *data)
{
  anvil_caller_connections_t *connections = data;

  g_hash_table_foreach_remove (connections->by_bufferevent, is_closed_by_evhttp, NULL);
}

anvil_caller_connections_t *
anvil_caller_connections_new (struct event_base *base,
                              const anvil_caller_limits_t *limits,
                              anvil_metrics_t *metrics)
{
  anvil_caller_connections_t *connections = g_new0 (anvil_caller_connections_t, 1);
  const struct timeval interval = { .tv_usec = SWEEP_INTERVAL_US };

  connections->base = base;
  connections->limits = *limits;
  connections->metrics = metrics;
  connections->by_bufferevent = g_hash_table_new_full (NULL, NULL, NULL, drop_connection);
  connections->sweep_timer = event_new (base, -1, EV_PERSIST, on_sweep, connections);
  event_add (connections->sweep_timer, &interval);
  return connections;
}

void
anvil_caller_connections_drop (anvil_caller_connections_t *connections)
{
  if (connections == NULL)
    return;
  event_free (connections->sweep_timer);
  g_hash_table_unref (connections->by_bufferevent);
  g_free (connections);
}

static connection_t *
lookup_connection (anvil_caller_connections_t *connections, struct evhttp_request *request)
{
  struct evhttp_connection *http = evhttp_request_get_connection (request);

  if (http == NULL)
    return NULL;
  return g_hash_table_lookup (connections->by_bufferevent,
                              evhttp_connection_get_bufferevent (http));
}

void
anvil_caller_connections_request_received (anvil_caller_connections_t *connections,
                                           struct evhttp_request *request)
{
  connection_t *connection = lookup_connection (connections, request);

  if (connection == NULL)
    return;
  connection->reading = FALSE;
  event_del (connection->timer);
}

static void
on_closed (evutil_socket_t fd, short what, void *data)
{
  connection_t *connection = data;
  anvil_caller_disconnected_cb_t disconnected = connection->disconnected;

  connection->disconnected = NULL;
  if (disconnected != NULL)
    disconnected (connection->disconnected_context);
}

void
anvil_caller_connections_watch_disconnect (anvil_caller_connections_t *connections,
                                           struct evhttp_request *request,
                                           anvil_caller_disconnected_cb_t disconnected,
                                           void *context)
{
  connection_t *connection = lookup_connection (connections, request);

  if (connection == NULL)
    return;
  connection->disconnected = disconnected;
  connection->disconnected_context = context;
  if (connection->close_event == NULL)
    connection->close_event = event_new (connections->base, bufferevent_getfd (connection->bev),
                                         EV_CLOSED, on_closed, connection);
  event_add (connection->close_event, NULL);
}

void
anvil_caller_connections_request_finished (anvil_caller_connections_t *connections,
                                           struct evhttp_request *request)
{
  connection_t *connection = lookup_connection (connections, request);

  if (connection == NULL)
    return;
  connection->disconnected = NULL;
  if (connection->close_event != NULL)
    event_del (connection->close_event);
  release_bytes (connection);
}

guint64
anvil_caller_connections_buffered_bytes (const anvil_caller_connections_t *connections)
{
  return connections->buffered_bytes;
}

guint
anvil_caller_connections_count (const anvil_caller_connections_t *connections)
{
  return g_hash_table_size (connections->by_bufferevent);
}

gsize
anvil_caller_connections_unsent_bytes (const anvil_caller_connections_t *connections)
{
  GHashTableIter iter;
  gpointer value;
  gsize unsent = 0;

  g_hash_table_iter_init (&iter, connections->by_bufferevent);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const connection_t *connection = value;

      if (is_open (connection))
        unsent += evbuffer_get_length (bufferevent_get_output (connection->bev));
    }
  return unsent;
}
