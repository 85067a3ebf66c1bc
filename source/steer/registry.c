#include "anvil/registry.h"

#include <string.h>

/* Upstreams that left are remembered so that a grant of a slower peer isn't used; a grant is used
 * within seconds, so the oldest may go. */
#define MAX_REMEMBERED_LEAVERS 4096

/**
 * entry_t - an upstream with what only the registry needs
 * @in_snapshot: named by the snapshot that is being read
 */
typedef struct
{
  anvil_registered_upstream_t upstream;
  gboolean in_snapshot;
} entry_t;

struct anvil_registry
{
  anvil_registry_callbacks_t events;
  void *context;
  /* entry_t by key. */
  GHashTable *entries;
  /* Keys of upstreams that left. */
  GHashTable *leavers;
  /* Names of the zones that are being emptied. */
  GHashTable *evacuated;
  gboolean store_away;
  /* When the store was last reached before it was lost. */
  anvil_time_t lost_since;
  /* Removals before this time are taken as lapses; 0 if the store was never away. */
  anvil_time_t lapses_until;
};

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->upstream.id);
  g_free (entry->upstream.service);
  g_free (entry->upstream.zone);
  g_free (entry);
}

anvil_registry_t *
anvil_registry_new (const anvil_registry_callbacks_t *events, void *context)
{
  anvil_registry_t *registry = g_new0 (anvil_registry_t, 1);

  registry->events = *events;
  registry->context = context;
  registry->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  registry->leavers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  registry->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return registry;
}

void
anvil_registry_drop (anvil_registry_t *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_unref (registry->entries);
  g_hash_table_unref (registry->leavers);
  g_hash_table_unref (registry->evacuated);
  g_free (registry);
}

static void
tell (anvil_registry_t *registry,
      anvil_time_t now,
      const entry_t *entry,
      anvil_registry_change_t change)
{
  registry->events.changed (registry->context, now, &entry->upstream, change);
}

static gboolean
in_evacuated_zone (const anvil_registry_t *registry, const char *zone)
{
  return g_hash_table_contains (registry->evacuated, zone);
}

/* Replaces a text if it differs; TRUE if it did. */
static gboolean
update_text (char **text, anvil_str_t value)
{
  if (*text != NULL && anvil_str_equal (anvil_str (*text), value))
    return FALSE;
  g_free (*text);
  *text = anvil_str_dup (value);
  return TRUE;
}

/* Takes over a report; TRUE if it says anything new. */
static gboolean
update (anvil_registry_t *registry,
        anvil_time_t now,
        entry_t *entry,
        const anvil_upstream_report_t *report)
{
  anvil_registered_upstream_t *upstream = &entry->upstream;
  anvil_time_t cold_until = report->cold_remaining > 0 ? now + report->cold_remaining : 0;
  gboolean was_usable = anvil_registry_usable (upstream);
  gboolean was_lapsing = upstream->removal_pending;
  gboolean changed = update_text (&upstream->service, report->service);

  changed |= update_text (&upstream->zone, report->zone);
  changed |= upstream->address != report->address || upstream->port != report->port
             || upstream->slots != report->slots || upstream->draining != report->draining;
  changed |= (cold_until > now) != (upstream->cold_until > now);
  upstream->address = report->address;
  upstream->port = report->port;
  upstream->slots = report->slots;
  upstream->draining = report->draining;
  upstream->cold_until = MAX (upstream->cold_until, cold_until);
  upstream->reported_at = now;
  upstream->started_at = report->started_at;
  upstream->removal_pending = FALSE;
  upstream->evacuated = in_evacuated_zone (registry, upstream->zone);
  return changed || was_lapsing || was_usable != anvil_registry_usable (upstream);
}

static entry_t *
insert (anvil_registry_t *registry, guint64 key, anvil_str_t id)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->upstream.key = key;
  entry->upstream.id = anvil_str_dup (id);
  g_hash_table_insert (registry->entries, &entry->upstream.key, entry);
  g_hash_table_remove (registry->leavers, &key);
  return entry;
}

gboolean
anvil_registry_apply (anvil_registry_t *registry,
                      anvil_time_t now,
                      const anvil_upstream_report_t *report)
{
  guint64 key = anvil_str_hash (report->id);
  entry_t *entry = g_hash_table_lookup (registry->entries, &key);
  gboolean restarted;

  if (entry == NULL)
    {
      entry = insert (registry, key, report->id);
      entry->in_snapshot = TRUE;
      update (registry, now, entry, report);
      tell (registry, now, entry, ANVIL_REGISTRY_JOINED);
      return TRUE;
    }
  entry->in_snapshot = TRUE;
  restarted = entry->upstream.started_at != report->started_at;
  if (restarted)
    entry->upstream.cold_until = 0;
  if (!update (registry, now, entry, report) && !restarted)
    return FALSE;
  tell (registry, now, entry, restarted ? ANVIL_REGISTRY_RESTARTED : ANVIL_REGISTRY_CHANGED);
  return TRUE;
}

static void
remember_leaver (anvil_registry_t *registry, guint64 key)
{
  if (g_hash_table_size (registry->leavers) >= MAX_REMEMBERED_LEAVERS)
    g_hash_table_remove_all (registry->leavers);
  g_hash_table_add (registry->leavers, g_memdup2 (&key, sizeof key));
}

static void
leave (anvil_registry_t *registry, anvil_time_t now, entry_t *entry)
{
  guint64 key = entry->upstream.key;

  remember_leaver (registry, key);
  g_hash_table_steal (registry->entries, &key);
  tell (registry, now, entry, ANVIL_REGISTRY_LEFT);
  entry_free (entry);
}

static void
remove_entry (anvil_registry_t *registry, anvil_time_t now, entry_t *entry)
{
  if (!registry->store_away && now >= registry->lapses_until)
    {
      leave (registry, now, entry);
      return;
    }
  if (entry->upstream.removal_pending)
    return;
  entry->upstream.removal_pending = TRUE;
  entry->upstream.removal_at
      = registry->store_away ? now + ANVIL_REGISTRY_REMOVAL_GRACE : registry->lapses_until;
}

gboolean
anvil_registry_remove (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id)
{
  guint64 key = anvil_str_hash (id);
  entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry == NULL)
    return FALSE;
  /* An upstream that had said that it drains has left; no lapse explains its missing row. */
  if (entry->upstream.draining)
    leave (registry, now, entry);
  else
    remove_entry (registry, now, entry);
  return TRUE;
}

void
anvil_registry_begin_snapshot (anvil_registry_t *registry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((entry_t *) value)->in_snapshot = FALSE;
}

/* Collects entries first: a removal changes the table. */
static GPtrArray *
collect (anvil_registry_t *registry,
         gboolean (*wanted) (const entry_t *, anvil_time_t),
         anvil_time_t now)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (wanted (value, now))
        g_ptr_array_add (found, value);
    }
  return found;
}

static gboolean
missed_by_snapshot (const entry_t *entry, anvil_time_t now)
{
  return !entry->in_snapshot;
}

static gboolean
lapse_over (const entry_t *entry, anvil_time_t now)
{
  return entry->upstream.removal_pending && now >= entry->upstream.removal_at;
}

void
anvil_registry_end_snapshot (anvil_registry_t *registry, anvil_time_t now)
{
  GPtrArray *missing = collect (registry, missed_by_snapshot, now);

  for (guint i = 0; i < missing->len; i++)
    remove_entry (registry, now, missing->pdata[i]);
  g_ptr_array_unref (missing);
}

void
anvil_registry_store_lost (anvil_registry_t *registry, anvil_time_t since)
{
  if (!registry->store_away)
    registry->lost_since = since;
  registry->store_away = TRUE;
}

gboolean
anvil_registry_store_recovered (anvil_registry_t *registry, anvil_time_t now)
{
  if (!registry->store_away)
    return FALSE;
  registry->store_away = FALSE;
  registry->lapses_until = now + ANVIL_REGISTRY_REMOVAL_GRACE;
  return TRUE;
}

anvil_time_t
anvil_registry_grace_remaining (const anvil_registry_t *registry, anvil_time_t now)
{
  return MAX (registry->lapses_until - now, 0);
}

void
anvil_registry_extend_grace (anvil_registry_t *registry, anvil_time_t until)
{
  registry->lapses_until = MAX (registry->lapses_until, until);
}

void
anvil_registry_cancel_grace (anvil_registry_t *registry, anvil_time_t now, anvil_time_t since)
{
  GHashTableIter iter;
  gpointer value;

  if (registry->store_away || now >= registry->lapses_until || since > registry->lost_since)
    return;
  registry->lapses_until = now;
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((entry_t *) value)->upstream.removal_at = now;
}

void
anvil_registry_tick (anvil_registry_t *registry, anvil_time_t now)
{
  GPtrArray *over;

  if (registry->store_away)
    return;
  over = collect (registry, lapse_over, now);
  for (guint i = 0; i < over->len; i++)
    leave (registry, now, over->pdata[i]);
  g_ptr_array_unref (over);
}

void
anvil_registry_set_evacuated (anvil_registry_t *registry,
                              anvil_time_t now,
                              anvil_str_t zone,
                              gboolean evacuated,
                              anvil_time_t cold_time)
{
  char *name = anvil_str_dup (zone);
  GHashTableIter iter;
  gpointer value;

  if (evacuated == in_evacuated_zone (registry, name))
    {
      g_free (name);
      return;
    }
  if (evacuated)
    g_hash_table_add (registry->evacuated, g_strdup (name));
  else
    g_hash_table_remove (registry->evacuated, name);
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      if (strcmp (entry->upstream.zone, name) != 0)
        continue;
      entry->upstream.evacuated = evacuated;
      if (!evacuated)
        entry->upstream.cold_until = MAX (entry->upstream.cold_until, now + cold_time);
      tell (registry, now, entry, ANVIL_REGISTRY_CHANGED);
    }
  g_free (name);
}

gboolean
anvil_registry_usable (const anvil_registered_upstream_t *upstream)
{
  return !upstream->draining && !upstream->evacuated;
}

const anvil_registered_upstream_t *
anvil_registry_lookup (const anvil_registry_t *registry, guint64 key)
{
  const entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  return entry != NULL ? &entry->upstream : NULL;
}

gboolean
anvil_registry_recently_removed (const anvil_registry_t *registry, guint64 key)
{
  return g_hash_table_contains (registry->leavers, &key);
}

guint
anvil_registry_count (const anvil_registry_t *registry)
{
  return g_hash_table_size (registry->entries);
}

void
anvil_registry_foreach (const anvil_registry_t *registry,
                        anvil_registry_visit_t visit,
                        void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (context, &((entry_t *) value)->upstream);
}
