#include "caller-connection.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "anvil/log.h"

/* How often the sockets of connections that the library has closed are closed too. */
#define SWEEP_US 100000
/* Time in which a caller that was turned away may read the answer while it still sends. */
#define LINGER_SECONDS 2

/* An answer to a request that the library has not read to its end. */
typedef struct
{
  const char *status;
  const char *message;
  const char *reason;
} early_answer_t;

static const early_answer_t busy_answer = { .status = "503 Service Unavailable",
                                            .message = "too many bytes of requests are held",
                                            .reason = "reason=\"memory\"" };
static const early_answer_t slow_answer = { .status = "408 Request Timeout",
                                            .message = "the request took too long to arrive",
                                            .reason = "reason=\"slow\"" };

struct anvil_caller_connections
{
  struct event_base *base;
  anvil_caller_limits_t limits;
  anvil_metrics_t *counters;
  guint64 buffered;
  struct event *sweep;
  /* Connections by the bufferevent that the library uses. */
  GHashTable *by_bev;
};

typedef struct
{
  anvil_caller_connections_t *owner;
  struct bufferevent *bev;
  /* Time for a request to arrive, then time to linger. */
  struct event *timer;
  struct event *closed;
  guint64 received;
  gboolean reading;
  gboolean lingering;
  const early_answer_t *turned_away;
  anvil_caller_gone_cb_t gone;
  void *gone_context;
} connection_t;

static void
forget_bytes (connection_t *connection)
{
  connection->owner->buffered -= connection->received;
  connection->received = 0;
}

/*
 * The library gives no word when it frees a connection. A reference keeps the
 * bufferevent, whose socket the library has closed by then.
 */
static gboolean
is_open (const connection_t *connection)
{
  bufferevent_event_cb callback;

  bufferevent_getcb (connection->bev, NULL, NULL, &callback, NULL);
  return callback != NULL;
}

/* Makes the library close the connection as if its caller had. */
static void
hang_up (connection_t *connection)
{
  bufferevent_trigger_event (connection->bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/* The library can't answer a request that it is still reading, so the answer is written here. */
static void
answer_and_linger (connection_t *connection)
{
  evutil_socket_t fd = bufferevent_getfd (connection->bev);
  const struct timeval linger = { .tv_sec = LINGER_SECONDS };
  const early_answer_t *answer = connection->turned_away;
  char *text;

  text = g_strdup_printf ("HTTP/1.1 %s\r\nAnvil-Outcome: refused\r\nRetry-After: 1\r\n"
                          "Connection: close\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n{\"error\":\"%s\"}",
                          answer->status, strlen (answer->message) + strlen ("{\"error\":\"\"}"),
                          answer->message);
  if (send (fd, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
    anvil_log (ANVIL_LOG_DEBUG, "caller", "can't turn a caller away error=\"%s\"",
               g_strerror (errno));
  g_free (text);
  shutdown (fd, SHUT_WR);
  bufferevent_disable (connection->bev, EV_READ);
  event_add (connection->timer, &linger);
}

static void
turn_away (connection_t *connection, const early_answer_t *answer)
{
  const struct timeval at_once = { 0 };

  anvil_metrics_add_counter (connection->owner->counters, "anvil_bad_requests_total",
                             answer->reason, 1);
  connection->turned_away = answer;
  connection->reading = FALSE;
  forget_bytes (connection);
  event_add (connection->timer, &at_once);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  connection_t *connection = data;

  if (!is_open (connection))
    return;
  if (connection->reading)
    turn_away (connection, &slow_answer);
  else if (connection->lingering)
    hang_up (connection);
  else if (connection->turned_away != NULL)
    {
      connection->lingering = TRUE;
      answer_and_linger (connection);
    }
}

static void
count_bytes (connection_t *connection, gsize length)
{
  anvil_time_t patience = connection->owner->limits.read_timeout;
  struct timeval limit = { .tv_sec = patience / ANVIL_SECOND, .tv_usec = patience % ANVIL_SECOND };

  connection->received += length;
  connection->owner->buffered += length;
  if (!connection->reading)
    {
      connection->reading = TRUE;
      event_add (connection->timer, &limit);
    }
  if (connection->owner->buffered > connection->owner->limits.max_buffered_bytes)
    turn_away (connection, &busy_answer);
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  connection_t *connection = data;

  if (info->n_added == 0 || connection->turned_away != NULL)
    return;
  if (is_open (connection))
    count_bytes (connection, info->n_added);
  else
    bufferevent_disable (connection->bev, EV_READ);
}

static void
free_connection (gpointer data)
{
  connection_t *connection = data;

  forget_bytes (connection);
  event_free (connection->timer);
  if (connection->closed != NULL)
    event_free (connection->closed);
  evbuffer_remove_cb (bufferevent_get_input (connection->bev), on_input, connection);
  bufferevent_decref (connection->bev);
  g_free (connection);
}

struct bufferevent *
anvil_caller_connections_bev (struct event_base *base, void *data)
{
  anvil_caller_connections_t *connections = data;
  connection_t *connection = g_new0 (connection_t, 1);

  connection->owner = connections;
  /* The socket is closed with the last reference, so that its number can't be given to another
   * connection while this bufferevent may still read from it. */
  connection->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref (connection->bev);
  evbuffer_add_cb (bufferevent_get_input (connection->bev), on_input, connection);
  connection->timer = evtimer_new (base, on_timer, connection);
  g_hash_table_insert (connections->by_bev, connection->bev, connection);
  return connection->bev;
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer data)
{
  return !is_open (value);
}

static void
on_sweep (evutil_socket_t fd, short what, void *data)
{
  anvil_caller_connections_t *connections = data;

  g_hash_table_foreach_remove (connections->by_bev, is_stale, NULL);
}

anvil_caller_connections_t *
anvil_caller_connections_new (struct event_base *base,
                              const anvil_caller_limits_t *limits,
                              anvil_metrics_t *counters)
{
  anvil_caller_connections_t *connections = g_new0 (anvil_caller_connections_t, 1);
  const struct timeval period = { .tv_usec = SWEEP_US };

  connections->base = base;
  connections->limits = *limits;
  connections->counters = counters;
  connections->by_bev = g_hash_table_new_full (NULL, NULL, NULL, free_connection);
  connections->sweep = event_new (base, -1, EV_PERSIST, on_sweep, connections);
  event_add (connections->sweep, &period);
  return connections;
}

void
anvil_caller_connections_drop (anvil_caller_connections_t *connections)
{
  if (connections == NULL)
    return;
  event_free (connections->sweep);
  g_hash_table_unref (connections->by_bev);
  g_free (connections);
}

static connection_t *
lookup (anvil_caller_connections_t *connections, struct evhttp_request *request)
{
  struct evhttp_connection *http = evhttp_request_get_connection (request);

  if (http == NULL)
    return NULL;
  return g_hash_table_lookup (connections->by_bev, evhttp_connection_get_bufferevent (http));
}

void
anvil_caller_begin (anvil_caller_connections_t *connections, struct evhttp_request *request)
{
  connection_t *connection = lookup (connections, request);

  if (connection == NULL)
    return;
  connection->reading = FALSE;
  event_del (connection->timer);
}

static void
on_closed (evutil_socket_t fd, short what, void *data)
{
  connection_t *connection = data;
  anvil_caller_gone_cb_t gone = connection->gone;

  connection->gone = NULL;
  if (gone != NULL)
    gone (connection->gone_context);
}

void
anvil_caller_watch (anvil_caller_connections_t *connections,
                    struct evhttp_request *request,
                    anvil_caller_gone_cb_t gone,
                    void *context)
{
  connection_t *connection = lookup (connections, request);

  if (connection == NULL)
    return;
  connection->gone = gone;
  connection->gone_context = context;
  if (connection->closed == NULL)
    connection->closed = event_new (connections->base, bufferevent_getfd (connection->bev),
                                    EV_CLOSED, on_closed, connection);
  event_add (connection->closed, NULL);
}

void
anvil_caller_end (anvil_caller_connections_t *connections, struct evhttp_request *request)
{
  connection_t *connection = lookup (connections, request);

  if (connection == NULL)
    return;
  connection->gone = NULL;
  if (connection->closed != NULL)
    event_del (connection->closed);
  forget_bytes (connection);
}

guint64
anvil_caller_buffered (const anvil_caller_connections_t *connections)
{
  return connections->buffered;
}

guint
anvil_caller_count (const anvil_caller_connections_t *connections)
{
  return g_hash_table_size (connections->by_bev);
}

gsize
anvil_caller_unsent (const anvil_caller_connections_t *connections)
{
  GHashTableIter iter;
  gpointer value;
  gsize unsent = 0;

  g_hash_table_iter_init (&iter, connections->by_bev);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const connection_t *connection = value;

      if (is_open (connection))
        unsent += evbuffer_get_length (bufferevent_get_output (connection->bev));
    }
  return unsent;
}
