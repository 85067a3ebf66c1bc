#include "upstream-pool.h"

#include "anvil/node.h"

/* Maximum number of idle connections per upstream. */
#define MAX_IDLE_PER_UPSTREAM 16
/* Idle connections are closed after this time. */
#define MAX_IDLE_TIME (4 * ANVIL_SECOND)
#define SWEEP_INTERVAL_S 1

struct anvil_upstream_pool
{
  struct event_base *base;
  struct event *sweep_timer;
  gssize max_header_bytes;
  gssize max_body_bytes;
  guint32 local_address;
  guint64 last_attempt;
  /* GQueue of idle connections by address and port, the most recently used first. */
  GHashTable *idle;
};

static void
drop_queue (gpointer data)
{
  g_queue_free_full (data, (GDestroyNotify) anvil_upstream_connection_close);
}

static gboolean
close_expired (gpointer key, gpointer value, gpointer data)
{
  GQueue *queue = value;
  anvil_time_t min_idle_since = anvil_clock_now () - MAX_IDLE_TIME;

  while (!g_queue_is_empty (queue)
         && anvil_upstream_connection_idle_since (g_queue_peek_tail (queue)) < min_idle_since)
    anvil_upstream_connection_close (g_queue_pop_tail (queue));
  return g_queue_is_empty (queue);
}

static void
on_sweep (evutil_socket_t fd, short what, void *data)
{
  anvil_upstream_pool_t *pool = data;

  g_hash_table_foreach_remove (pool->idle, close_expired, NULL);
}

anvil_upstream_pool_t *
anvil_upstream_pool_open (struct event_base *base, gssize max_header_bytes, gssize max_body_bytes)
{
  anvil_upstream_pool_t *pool = g_new0 (anvil_upstream_pool_t, 1);
  const struct timeval interval = { .tv_sec = SWEEP_INTERVAL_S };

  pool->base = base;
  pool->max_header_bytes = max_header_bytes;
  pool->max_body_bytes = max_body_bytes;
  pool->idle = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, drop_queue);
  pool->sweep_timer = event_new (base, -1, EV_PERSIST, on_sweep, pool);
  event_add (pool->sweep_timer, &interval);
  return pool;
}

void
anvil_upstream_pool_set_local_address (anvil_upstream_pool_t *pool, guint32 address)
{
  pool->local_address = address;
}

void
anvil_upstream_pool_close (anvil_upstream_pool_t *pool)
{
  if (pool == NULL)
    return;
  event_free (pool->sweep_timer);
  g_hash_table_unref (pool->idle);
  g_free (pool);
}

struct event_base *
anvil_upstream_pool_base (const anvil_upstream_pool_t *pool)
{
  return pool->base;
}

guint64
anvil_upstream_pool_next_attempt (anvil_upstream_pool_t *pool)
{
  return ++pool->last_attempt;
}

anvil_upstream_connection_t *
anvil_upstream_pool_acquire (anvil_upstream_pool_t *pool, guint32 address, guint16 port)
{
  guint64 key = anvil_node (address, port);
  GQueue *queue = g_hash_table_lookup (pool->idle, &key);
  anvil_upstream_connection_t *connection;

  if (queue != NULL && !g_queue_is_empty (queue))
    return g_queue_pop_head (queue);
  connection = anvil_upstream_connection_open (pool->base, address, port, pool->max_header_bytes,
                                               pool->max_body_bytes);
  if (pool->local_address != 0)
    anvil_upstream_connection_set_local_address (connection, pool->local_address);
  return connection;
}

void
anvil_upstream_pool_release (anvil_upstream_pool_t *pool, anvil_upstream_connection_t *connection)
{
  guint64 key = anvil_upstream_connection_key (connection);
  GQueue *queue = g_hash_table_lookup (pool->idle, &key);

  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (pool->idle, g_memdup2 (&key, sizeof key), queue);
    }
  if (g_queue_get_length (queue) >= MAX_IDLE_PER_UPSTREAM)
    {
      anvil_upstream_connection_close (connection);
      return;
    }
  anvil_upstream_connection_set_idle_since (connection, anvil_clock_now ());
  g_queue_push_head (queue, connection);
}
