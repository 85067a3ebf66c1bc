#include "relay/request-limit-table.h"

#include <string.h>

#include "anvil/log.h"

/* Changes of one upstream's limit are logged at most this often. */
#define LOG_INTERVAL (1 * ANVIL_SECOND)

/* Kept when the limit ends, until the upstream does, so that an upstream that names one in some
 * responses only is logged no more often. */
typedef struct
{
  char *service;
  char *upstream_id;
  anvil_request_limit_t limit;
  anvil_time_t recorded_at;
  anvil_time_t logged_at;
} entry_t;

struct anvil_request_limit_table
{
  /* entry_t by key of the upstream. */
  GHashTable *entries;
};

static void
entry_drop (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->service);
  g_free (entry->upstream_id);
  g_free (entry);
}

anvil_request_limit_table_t *
anvil_request_limit_table_new (void)
{
  anvil_request_limit_table_t *table = g_new0 (anvil_request_limit_table_t, 1);

  table->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, entry_drop);
  return table;
}

void
anvil_request_limit_table_drop (anvil_request_limit_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static entry_t *
add_entry (anvil_request_limit_table_t *table,
           const char *service,
           guint64 upstream,
           const char *upstream_id)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->service = g_strdup (service);
  entry->upstream_id = g_strdup (upstream_id);
  g_hash_table_insert (table->entries, g_memdup2 (&upstream, sizeof upstream), entry);
  return entry;
}

static void
log_change (entry_t *entry, anvil_time_t now)
{
  if (entry->logged_at > 0 && now - entry->logged_at < LOG_INTERVAL)
    return;
  entry->logged_at = now;
  if (entry->limit.state == ANVIL_REQUEST_LIMIT_NAMED)
    anvil_log (ANVIL_LOG_NOTICE, "limit",
               "upstream names a request limit upstream=%s service=%s per_second=%g",
               entry->upstream_id, entry->service, entry->limit.per_second);
  else
    anvil_log (ANVIL_LOG_NOTICE, "limit",
               "upstream names no request limit any more upstream=%s service=%s",
               entry->upstream_id, entry->service);
}

void
anvil_request_limit_table_record (anvil_request_limit_table_t *table,
                                  anvil_time_t now,
                                  const char *service,
                                  guint64 upstream,
                                  const char *upstream_id,
                                  const anvil_request_limit_t *limit)
{
  entry_t *entry = g_hash_table_lookup (table->entries, &upstream);
  gboolean changed;

  if (limit->state == ANVIL_REQUEST_LIMIT_UNKNOWN
      || (limit->state == ANVIL_REQUEST_LIMIT_NONE && entry == NULL))
    return;
  if (entry == NULL)
    entry = add_entry (table, service, upstream, upstream_id);
  changed = entry->limit.state != limit->state || entry->limit.per_second != limit->per_second;
  entry->limit = *limit;
  entry->recorded_at = now;
  if (changed)
    log_change (entry, now);
}

void
anvil_request_limit_table_remove (anvil_request_limit_table_t *table, guint64 upstream)
{
  g_hash_table_remove (table->entries, &upstream);
}

GArray *
anvil_request_limit_table_list (const anvil_request_limit_table_t *table,
                                anvil_time_t now,
                                const char *service)
{
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (anvil_named_limit_t));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const entry_t *entry = value;
      const anvil_named_limit_t limit = { .upstream = *(const guint64 *) key,
                                          .per_second = entry->limit.per_second,
                                          .age = now - entry->recorded_at };

      if (entry->limit.state == ANVIL_REQUEST_LIMIT_NAMED && strcmp (entry->service, service) == 0)
        g_array_append_val (limits, limit);
    }
  return limits;
}

guint
anvil_request_limit_table_count (const anvil_request_limit_table_t *table)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const entry_t *) value)->limit.state == ANVIL_REQUEST_LIMIT_NAMED;
  return n;
}
