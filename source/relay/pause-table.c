#include "relay/pause-table.h"

#include <string.h>

typedef struct
{
  char *service;
  gint64 started_at;
  anvil_time_t until;
} entry_t;

struct anvil_pause_table
{
  /* entry_t by key of the upstream. */
  GHashTable *entries;
};

static void
entry_drop (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->service);
  g_free (entry);
}

anvil_pause_table_t *
anvil_pause_table_new (void)
{
  anvil_pause_table_t *table = g_new0 (anvil_pause_table_t, 1);

  table->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, entry_drop);
  return table;
}

void
anvil_pause_table_drop (anvil_pause_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static gboolean
has_ended (gpointer unused_key, gpointer value, gpointer data)
{
  return ((const entry_t *) value)->until <= *(const anvil_time_t *) data;
}

anvil_time_t
anvil_pause_table_remaining (const anvil_pause_table_t *table,
                             anvil_time_t now,
                             guint64 upstream,
                             gint64 started_at)
{
  const entry_t *entry = g_hash_table_lookup (table->entries, &upstream);

  if (entry == NULL
      || (entry->started_at != 0 && started_at != 0 && started_at > entry->started_at))
    return 0;
  return MAX (entry->until - now, 0);
}

gboolean
anvil_pause_table_add (anvil_pause_table_t *table,
                       anvil_time_t now,
                       const char *service,
                       guint64 upstream,
                       gint64 started_at,
                       anvil_time_t until)
{
  entry_t *entry = g_hash_table_lookup (table->entries, &upstream);

  if (entry != NULL && entry->until > now && started_at != 0 && started_at < entry->started_at)
    return FALSE;
  if (now + anvil_pause_table_remaining (table, now, upstream, started_at) >= until)
    return FALSE;
  g_hash_table_foreach_remove (table->entries, has_ended, &now);
  entry = g_new0 (entry_t, 1);
  *entry = (entry_t){ .service = g_strdup (service), .started_at = started_at, .until = until };
  g_hash_table_replace (table->entries, g_memdup2 (&upstream, sizeof upstream), entry);
  return TRUE;
}

void
anvil_pause_table_append (const anvil_pause_table_t *table,
                          anvil_time_t now,
                          const char *service,
                          GArray *items)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const entry_t *entry = value;
      const anvil_named_announcement_t item
          = { .upstream = *(const guint64 *) key,
              .started_at = entry->started_at,
              .announcement = { .pause = MIN (entry->until - now, ANVIL_MAX_PAUSE) } };

      if (entry->until > now && strcmp (entry->service, service) == 0)
        g_array_append_val (items, item);
    }
}

guint
anvil_pause_table_count (const anvil_pause_table_t *table, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const entry_t *) value)->until > now;
  return n;
}
