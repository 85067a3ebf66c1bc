#include "relay/relay-upstream-internal.h"

#include <poll.h>

/* A request that must not run twice is sent on an idle connection only if the connection was used
 * within this time: the longer it was idle, the likelier the upstream has closed it unnoticed. */
#define MAX_IDLE_NON_IDEMPOTENT (1500 * ANVIL_MS)
#define SWEEP_INTERVAL_S 1

static GQueue *
idle_connections_to (anvil_relay_upstream_pool_t *pool, guint64 upstream_key)
{
  return g_hash_table_lookup (pool->idle_connections, &upstream_key);
}

void
pool_add_idle (upstream_connection_t *connection)
{
  anvil_relay_upstream_pool_t *pool = connection->pool;
  GQueue *connections = idle_connections_to (pool, connection->upstream_key);

  if (connections == NULL)
    {
      connections = g_queue_new ();
      g_hash_table_insert (pool->idle_connections,
                           g_memdup2 (&connection->upstream_key, sizeof connection->upstream_key),
                           connections);
    }
  connection->idle_since = anvil_clock_now ();
  g_queue_push_head (connections, connection);
}

void
pool_remove_idle (upstream_connection_t *connection)
{
  GQueue *connections = idle_connections_to (connection->pool, connection->upstream_key);

  g_queue_remove (connections, connection);
  if (g_queue_is_empty (connections))
    g_hash_table_remove (connection->pool->idle_connections, &connection->upstream_key);
}

/* Whether bytes, or the end of the connection, have arrived and were not read yet. */
gboolean
upstream_connection_has_unread_bytes (const upstream_connection_t *connection)
{
  struct pollfd readable = { .fd = bufferevent_getfd (connection->stream), .events = POLLIN };

  return evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0
         || (readable.fd >= 0 && poll (&readable, 1, 0) > 0);
}

gboolean
upstream_connection_has_carried (const upstream_connection_t *connection, const char *request_id)
{
  const guint64 hash = anvil_str_hash (anvil_str (request_id));

  for (guint i = 0; i < connection->n_requests; i++)
    {
      if (connection->id_hashes[i] == hash)
        return TRUE;
    }
  return FALSE;
}

void
upstream_connection_add_request (upstream_connection_t *connection, const char *request_id)
{
  connection->id_hashes[connection->n_requests++] = anvil_str_hash (anvil_str (request_id));
}

/* Returns an idle connection that may carry the request, or NULL. */
upstream_connection_t *
pool_take_idle (anvil_relay_upstream_pool_t *pool, const anvil_relay_upstream_request_t *request)
{
  GQueue *connections = idle_connections_to (pool, request->upstream_key);
  upstream_connection_t *connection = connections != NULL ? g_queue_peek_head (connections) : NULL;
  anvil_time_t idle_for;

  if (connection == NULL || request->id == NULL
      || upstream_connection_has_carried (connection, request->id))
    return NULL;
  idle_for = anvil_clock_now () - connection->idle_since;
  if (connection->address != request->address || connection->port != request->port
      || idle_for > connection->idle_timeout
      || (!request->idempotent && idle_for > MAX_IDLE_NON_IDEMPOTENT))
    return NULL;
  pool_remove_idle (connection);
  if (upstream_connection_has_unread_bytes (connection))
    {
      upstream_connection_close (connection);
      return NULL;
    }
  connection->reused = TRUE;
  pool->counters.connections_reused++;
  return connection;
}

void
anvil_relay_upstream_pool_close_idle (anvil_relay_upstream_pool_t *pool, guint64 upstream_key)
{
  GQueue *connections = idle_connections_to (pool, upstream_key);

  if (connections == NULL)
    return;
  for (GList *item = connections->head; item != NULL; item = item->next)
    upstream_connection_close (item->data);
  g_hash_table_remove (pool->idle_connections, &upstream_key);
}

/* Closes connections whose idle time-out has passed. The longest idle are at the tail. */
static void
on_sweep_timer (evutil_socket_t unused_fd, short unused_events, void *data)
{
  anvil_relay_upstream_pool_t *pool = data;
  anvil_time_t now = anvil_clock_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->idle_connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *connections = value;
      upstream_connection_t *oldest;

      while ((oldest = g_queue_peek_tail (connections)) != NULL
             && now - oldest->idle_since > oldest->idle_timeout)
        upstream_connection_close (g_queue_pop_tail (connections));
      if (g_queue_is_empty (connections))
        g_hash_table_iter_remove (&iter);
    }
}

anvil_relay_upstream_pool_t *
anvil_relay_upstream_pool_open (struct event_base *base,
                                const anvil_header_names_t *header_names,
                                guint32 local_address,
                                gsize max_buffered_bytes)
{
  anvil_relay_upstream_pool_t *pool = g_new0 (anvil_relay_upstream_pool_t, 1);
  const struct timeval interval = { .tv_sec = SWEEP_INTERVAL_S };

  pool->base = base;
  pool->header_names = header_names;
  pool->local_address = local_address;
  pool->idle_connections
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify) g_queue_free);
  pool->attempts = g_hash_table_new (NULL, NULL);
  pool->max_buffered_bytes = max_buffered_bytes;
  pool->sweep_timer = event_new (base, -1, EV_PERSIST, on_sweep_timer, pool);
  event_add (pool->sweep_timer, &interval);
  return pool;
}

void
anvil_relay_upstream_pool_close (anvil_relay_upstream_pool_t *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (pool == NULL)
    return;
  g_hash_table_iter_init (&iter, pool->idle_connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQueue *connections = value;

      for (GList *item = connections->head; item != NULL; item = item->next)
        upstream_connection_close (item->data);
    }
  g_hash_table_unref (pool->idle_connections);
  g_hash_table_unref (pool->attempts);
  event_free (pool->sweep_timer);
  g_free (pool);
}

void
anvil_relay_upstream_pool_set_withhold (anvil_relay_upstream_pool_t *pool,
                                        anvil_relay_withhold_cb_t withhold,
                                        void *context)
{
  pool->withhold = withhold;
  pool->withhold_context = context;
}

const anvil_relay_upstream_pool_counters_t *
anvil_relay_upstream_pool_counters (const anvil_relay_upstream_pool_t *pool)
{
  return &pool->counters;
}

gsize
anvil_relay_upstream_pool_buffered_bytes (const anvil_relay_upstream_pool_t *pool)
{
  return pool->buffered_bytes;
}
