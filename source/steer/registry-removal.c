/*
 * Removes upstreams whose rows are gone.
 *
 * While the store is unreachable, rows of live upstreams expire as well. After an
 * outage, removals are therefore deferred until these rows have had time to return.
 */

#include "steer/registry-internal.h"

/* Keys of removed upstreams are kept so that a grant from a peer that hasn't seen the removal yet
 * is not used. Grants are used within seconds, so all keys are dropped at this number. */
#define MAX_REMOVED_KEYS 4096

static void
add_removed_key (anvil_registry_t *registry, const registry_entry_t *entry)
{
  const removed_process_t process = { .key = entry->upstream.key,
                                      .started_at = entry->upstream.started_at,
                                      .sequence = entry->upstream.sequence };
  removed_process_t *removed = g_memdup2 (&process, sizeof process);

  if (g_hash_table_size (registry->removed_keys) >= MAX_REMOVED_KEYS)
    g_hash_table_remove_all (registry->removed_keys);
  g_hash_table_replace (registry->removed_keys, &removed->key, removed);
}

static void
remove_now (anvil_registry_t *registry, anvil_time_t now, registry_entry_t *entry)
{
  guint64 key = entry->upstream.key;

  add_removed_key (registry, entry);
  leaving_set_row_gone (registry->leaving, now, key);
  g_hash_table_steal (registry->entries, &key);
  registry_notify (registry, now, entry, ANVIL_REGISTRY_LEFT);
  registry_entry_drop (entry);
}

static void
defer_until (registry_entry_t *entry, anvil_time_t removal_at)
{
  if (entry->upstream.removal_pending && entry->upstream.removal_at <= removal_at)
    return;
  entry->upstream.removal_pending = TRUE;
  entry->upstream.removal_at = removal_at;
}

/* Until when a row may be missing only because the copy that the store came back from is older. A
 * row that was in the store since then was not lost, but the copy's row may have expired before its
 * upstream wrote the next one. */
static anvil_time_t
may_be_lost_until (const anvil_registry_t *registry, const registry_entry_t *entry)
{
  if (entry->seen_in_era)
    return 0;
  if (entry->listed_in_era)
    return registry->return_ends - ANVIL_STORE_RETURN_TIME + ANVIL_REGISTRY_REMOVAL_GRACE;
  return registry->return_ends;
}

/* Removes an entry, or defers that if its row may have expired while the store was lost. The row of
 * an upstream that was about to leave is gone because it has left. */
static void
remove_or_defer (anvil_registry_t *registry, anvil_time_t now, registry_entry_t *entry)
{
  const anvil_time_t lost_until = may_be_lost_until (registry, entry);

  if (now < lost_until)
    {
      defer_until (entry, lost_until);
      return;
    }
  if (entry->upstream.draining || entry->upstream.leaving
      || (!registry->store_lost && now >= registry->grace_ends))
    {
      remove_now (registry, now, entry);
      return;
    }
  defer_until (entry,
               registry->store_lost ? now + ANVIL_REGISTRY_REMOVAL_GRACE : registry->grace_ends);
}

void
anvil_registry_begin_era (anvil_registry_t *registry, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  registry->has_returned = TRUE;
  registry->returning = TRUE;
  registry->reading_copy = TRUE;
  registry->return_ends = now + ANVIL_STORE_RETURN_TIME;
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      registry_entry_t *entry = value;

      entry->listed_in_era = FALSE;
      entry->seen_in_era = FALSE;
      /* Its row may have been lost by an earlier return, and come back after this one. */
      if (entry->upstream.removal_pending)
        entry->upstream.removal_at = registry->return_ends;
    }
}

void
anvil_registry_foreach_missing (const anvil_registry_t *registry,
                                anvil_registry_visit_missing_t visit,
                                void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const registry_entry_t *entry = value;

      if (!entry->in_snapshot)
        visit (context, anvil_str (entry->upstream.id));
    }
}

void
anvil_registry_confirm_rows (anvil_registry_t *registry)
{
  GHashTableIter iter;
  gpointer value;

  registry->reading_copy = FALSE;
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      registry_entry_t *entry = value;

      if (!entry->upstream.removal_pending)
        entry->listed_in_era = TRUE;
    }
}

gboolean
anvil_registry_remove (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id)
{
  guint64 key = anvil_str_hash (id);
  registry_entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry == NULL)
    return FALSE;
  entry->listed_in_era = TRUE;
  remove_or_defer (registry, now, entry);
  return TRUE;
}

gboolean
anvil_registry_row_missing (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id)
{
  guint64 key = anvil_str_hash (id);
  registry_entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry == NULL)
    return FALSE;
  remove_or_defer (registry, now, entry);
  return TRUE;
}

guint
anvil_registry_count_deferred (const anvil_registry_t *registry)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const registry_entry_t *) value)->upstream.removal_pending ? 1 : 0;
  return n;
}

void
anvil_registry_begin_snapshot (anvil_registry_t *registry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((registry_entry_t *) value)->in_snapshot = FALSE;
}

/* Collects entries before they are removed, since a removal changes the table. */
static GPtrArray *
collect (anvil_registry_t *registry,
         gboolean (*matches) (const registry_entry_t *, anvil_time_t),
         anvil_time_t now)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (matches (value, now))
        g_ptr_array_add (found, value);
    }
  return found;
}

static gboolean
missed_by_snapshot (const registry_entry_t *entry, anvil_time_t now)
{
  return !entry->in_snapshot;
}

static gboolean
removal_due (const registry_entry_t *entry, anvil_time_t now)
{
  return entry->upstream.removal_pending && now >= entry->upstream.removal_at;
}

void
anvil_registry_end_snapshot (anvil_registry_t *registry, anvil_time_t now)
{
  GPtrArray *missing = collect (registry, missed_by_snapshot, now);

  for (guint i = 0; i < missing->len; i++)
    remove_or_defer (registry, now, missing->pdata[i]);
  g_ptr_array_unref (missing);
  registry->reading_copy = FALSE;
}

void
anvil_registry_store_lost (anvil_registry_t *registry, anvil_time_t since)
{
  if (!registry->store_lost)
    registry->store_reached_at = since;
  registry->store_lost = TRUE;
}

gboolean
anvil_registry_store_recovered (anvil_registry_t *registry, anvil_time_t now)
{
  if (!registry->store_lost)
    return FALSE;
  registry->store_lost = FALSE;
  registry->grace_ends = now + ANVIL_REGISTRY_REMOVAL_GRACE;
  return TRUE;
}

anvil_time_t
anvil_registry_grace_remaining (const anvil_registry_t *registry, anvil_time_t now)
{
  return MAX (registry->grace_ends - now, 0);
}

void
anvil_registry_extend_grace (anvil_registry_t *registry, anvil_time_t until)
{
  registry->grace_ends = MAX (registry->grace_ends, until);
}

void
anvil_registry_cancel_grace (anvil_registry_t *registry, anvil_time_t now, anvil_time_t since)
{
  GHashTableIter iter;
  gpointer value;

  gboolean no_outage = since <= registry->store_reached_at;
  gboolean rows_are_back = now - since >= ANVIL_REGISTRY_REMOVAL_GRACE;

  if (registry->store_lost || now >= registry->grace_ends || !(no_outage || rows_are_back))
    return;
  registry->grace_ends = now;
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      registry_entry_t *entry = value;

      if (now >= may_be_lost_until (registry, entry))
        entry->upstream.removal_at = now;
    }
}

void
anvil_registry_tick (anvil_registry_t *registry, anvil_time_t now)
{
  GPtrArray *due;

  registry->returning = now < registry->return_ends;
  if (registry->store_lost)
    return;
  due = collect (registry, removal_due, now);
  for (guint i = 0; i < due->len; i++)
    remove_now (registry, now, due->pdata[i]);
  g_ptr_array_unref (due);
}
