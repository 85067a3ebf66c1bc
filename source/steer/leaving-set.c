#include "steer/leaving-set.h"

#include <string.h>

/* Upstreams that leave end within seconds to minutes, so older ones are of no use. */
#define MAX_LEAVING 4096

/**
 * entry_t - an upstream that leaves
 * @started_at: start of its process; 0 while it is unknown
 */
typedef struct
{
  guint64 key;
  char *service;
  gint64 started_at;
} entry_t;

struct leaving_set
{
  /* entry_t by key. */
  GHashTable *entries;
  /* The same, the one that was added first at the head. */
  GQueue order;
};

static void
entry_drop (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->service);
  g_free (entry);
}

leaving_set_t *
leaving_set_new (void)
{
  leaving_set_t *set = g_new0 (leaving_set_t, 1);

  set->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_drop);
  g_queue_init (&set->order);
  return set;
}

void
leaving_set_drop (leaving_set_t *set)
{
  if (set == NULL)
    return;
  g_queue_clear (&set->order);
  g_hash_table_unref (set->entries);
  g_free (set);
}

void
leaving_set_remove (leaving_set_t *set, guint64 key)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry == NULL)
    return;
  g_queue_remove (&set->order, entry);
  g_hash_table_remove (set->entries, &key);
}

gboolean
leaving_set_add (leaving_set_t *set, guint64 key, const char *service, gint64 started_at)
{
  entry_t *entry;

  if (leaving_set_contains (set, key, started_at))
    return FALSE;
  leaving_set_remove (set, key);
  if (set->order.length >= MAX_LEAVING)
    leaving_set_remove (set, ((entry_t *) g_queue_peek_head (&set->order))->key);
  entry = g_new0 (entry_t, 1);
  *entry = (entry_t){ .key = key, .service = g_strdup (service), .started_at = started_at };
  g_hash_table_insert (set->entries, &entry->key, entry);
  g_queue_push_tail (&set->order, entry);
  return TRUE;
}

gboolean
leaving_set_contains (const leaving_set_t *set, guint64 key, gint64 started_at)
{
  const entry_t *entry = g_hash_table_lookup (set->entries, &key);

  return entry != NULL
         && (entry->started_at == 0 || started_at == 0 || started_at <= entry->started_at);
}

void
leaving_set_process_seen (leaving_set_t *set, guint64 key, gint64 started_at)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry == NULL)
    return;
  if (entry->started_at == 0)
    entry->started_at = started_at;
  else if (started_at > entry->started_at)
    leaving_set_remove (set, key);
}

guint
leaving_set_count (const leaving_set_t *set)
{
  return set->order.length;
}

void
leaving_set_foreach (const leaving_set_t *set,
                     const char *service,
                     anvil_registry_visit_leaving_t visit,
                     void *context)
{
  for (const GList *link = set->order.head; link != NULL; link = link->next)
    {
      const entry_t *entry = link->data;

      if (strcmp (entry->service, service) == 0)
        visit (context, entry->key, entry->started_at);
    }
}
