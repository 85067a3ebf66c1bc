#include "steer/leaving-set.h"

#include <string.h>

/* Most upstreams that are kept. */
#define MAX_LEAVING 4096
/* An upstream without a row is forgotten after this time. Rows that expired in an outage of the
 * store return within seconds of its end, and upstreams serve for some time after they leave. */
#define KEPT_WITHOUT_ROW (60 * ANVIL_SECOND)

/**
 * entry_t - an upstream that leaves
 * @started_at: start of its process; 0 while it is unknown
 * @row_read: a row of its process was read
 * @row_gone_at: since when it has no row; 0 while it has one
 * @stays: it stays after all
 */
typedef struct
{
  guint64 key;
  char *service;
  gint64 started_at;
  gboolean row_read;
  anvil_time_t row_gone_at;
  gboolean stays;
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

static void
remove_entry (leaving_set_t *set, guint64 key)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry == NULL)
    return;
  g_queue_remove (&set->order, entry);
  g_hash_table_remove (set->entries, &key);
}

static gboolean
is_outdated (const entry_t *entry, anvil_time_t now)
{
  return entry->row_gone_at != 0 && now - entry->row_gone_at > KEPT_WITHOUT_ROW;
}

/* Removes the outdated entries, and one more if the set is full. */
static void
make_room (leaving_set_t *set, anvil_time_t now)
{
  entry_t *oldest = NULL;
  GList *next;

  for (GList *link = set->order.head; link != NULL; link = next)
    {
      entry_t *entry = link->data;

      next = link->next;
      if (is_outdated (entry, now))
        remove_entry (set, entry->key);
      else if (oldest == NULL
               || (entry->row_gone_at != 0
                   && (oldest->row_gone_at == 0 || entry->row_gone_at < oldest->row_gone_at)))
        oldest = entry;
    }
  if (oldest != NULL && set->order.length >= MAX_LEAVING)
    remove_entry (set, oldest->key);
}

/* Whether a process that started at @started_at is the one of the entry, or an earlier one. */
static gboolean
is_same_process (const entry_t *entry, gint64 started_at)
{
  return entry->started_at == 0 || started_at == 0 || started_at <= entry->started_at;
}

gboolean
leaving_set_add (leaving_set_t *set,
                 anvil_time_t now,
                 guint64 key,
                 const char *service,
                 gint64 started_at,
                 gboolean from_peer)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry != NULL && is_same_process (entry, started_at) && (!entry->stays || from_peer))
    return FALSE;
  remove_entry (set, key);
  make_room (set, now);
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

  return entry != NULL && !entry->stays && is_same_process (entry, started_at);
}

void
leaving_set_row_read (leaving_set_t *set, anvil_time_t now, guint64 key, gint64 started_at)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry == NULL)
    return;
  if (entry->started_at == 0)
    entry->started_at = started_at;
  if (is_outdated (entry, now) || !is_same_process (entry, started_at)
      || (entry->row_read && started_at != entry->started_at))
    {
      remove_entry (set, key);
      return;
    }
  entry->row_read |= started_at == entry->started_at;
  entry->row_gone_at = 0;
}

void
leaving_set_row_gone (leaving_set_t *set, anvil_time_t now, guint64 key)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry != NULL)
    entry->row_gone_at = now;
}

void
leaving_set_stays (leaving_set_t *set, guint64 key)
{
  entry_t *entry = g_hash_table_lookup (set->entries, &key);

  if (entry != NULL)
    entry->stays = TRUE;
}

guint
leaving_set_count (const leaving_set_t *set)
{
  guint n = 0;

  for (const GList *link = set->order.head; link != NULL; link = link->next)
    n += !((const entry_t *) link->data)->stays;
  return n;
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

      if (!entry->stays && strcmp (entry->service, service) == 0)
        visit (context, entry->key, entry->started_at);
    }
}
