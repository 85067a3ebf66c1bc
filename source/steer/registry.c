#include "anvil/registry.h"

#include <string.h>

#include "steer/leaving-set.h"

/* Keys of removed upstreams are kept so that a grant from a peer that hasn't seen the removal yet
 * is not used. Grants are used within seconds, so all keys are dropped at this number. */
#define MAX_REMOVED_KEYS 4096

/**
 * entry_t - an upstream and state private to the registry
 * @in_snapshot: seen in the snapshot that is being read
 */
typedef struct
{
  anvil_registered_upstream_t upstream;
  gboolean in_snapshot;
} entry_t;

struct anvil_registry
{
  anvil_registry_callbacks_t callbacks;
  void *context;
  /* entry_t by key. */
  GHashTable *entries;
  /* Keys of removed upstreams. */
  GHashTable *removed_keys;
  /* Names of evacuated zones. */
  GHashTable *evacuated_zones;
  leaving_set_t *leaving;
  /* Version of the store's table up to which all rows are known. */
  guint64 version;
  gboolean store_lost;
  /* When the store was last reached before it was lost. */
  anvil_time_t store_reached_at;
  /* Removals before this time are deferred; 0 if the store was never lost. */
  anvil_time_t grace_ends;
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
anvil_registry_new (const anvil_registry_callbacks_t *callbacks, void *context)
{
  anvil_registry_t *registry = g_new0 (anvil_registry_t, 1);

  registry->callbacks = *callbacks;
  registry->context = context;
  registry->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  registry->removed_keys = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  registry->evacuated_zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  registry->leaving = leaving_set_new ();
  return registry;
}

void
anvil_registry_drop (anvil_registry_t *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_unref (registry->entries);
  g_hash_table_unref (registry->removed_keys);
  g_hash_table_unref (registry->evacuated_zones);
  leaving_set_drop (registry->leaving);
  g_free (registry);
}

static void
notify (anvil_registry_t *registry,
        anvil_time_t now,
        const entry_t *entry,
        anvil_registry_change_t change)
{
  registry->callbacks.changed (registry->context, now, &entry->upstream, change);
}

static gboolean
in_evacuated_zone (const anvil_registry_t *registry, const char *zone)
{
  return g_hash_table_contains (registry->evacuated_zones, zone);
}

/* Replaces a string if it differs; TRUE if it did. */
static gboolean
update_string (char **string, anvil_str_t value)
{
  if (*string != NULL && anvil_str_equal (anvil_str (*string), value))
    return FALSE;
  g_free (*string);
  *string = anvil_str_dup (value);
  return TRUE;
}

/* Takes a row into account for what the upstream said: a process with a later start has not said
 * it, and one whose row returns from draining to ready stays after all. */
static void
update_leaving (anvil_registry_t *registry,
                anvil_registered_upstream_t *upstream,
                const anvil_upstream_report_t *report)
{
  if (upstream->draining && !report->draining && upstream->started_at == report->started_at)
    leaving_set_remove (registry->leaving, upstream->key);
  leaving_set_process_seen (registry->leaving, upstream->key, report->started_at);
  upstream->leaving = leaving_set_contains (registry->leaving, upstream->key, report->started_at);
}

/* Updates an upstream from a report; TRUE if anything changed. */
static gboolean
update (anvil_registry_t *registry,
        anvil_time_t now,
        entry_t *entry,
        const anvil_upstream_report_t *report)
{
  anvil_registered_upstream_t *upstream = &entry->upstream;
  anvil_time_t cold_until = report->cold_remaining > 0 ? now + report->cold_remaining : 0;
  gboolean was_usable = anvil_registry_usable (upstream);
  gboolean was_pending = upstream->removal_pending;
  gboolean changed = update_string (&upstream->service, report->service);

  changed |= update_string (&upstream->zone, report->zone);
  changed |= upstream->address != report->address || upstream->port != report->port
             || upstream->slots != report->slots || upstream->draining != report->draining;
  changed |= (cold_until > now) != (upstream->cold_until > now);
  update_leaving (registry, upstream, report);
  upstream->address = report->address;
  upstream->port = report->port;
  upstream->slots = report->slots;
  upstream->draining = report->draining;
  upstream->cold_until = MAX (upstream->cold_until, cold_until);
  upstream->reported_at = now;
  upstream->started_at = report->started_at;
  upstream->removal_pending = FALSE;
  upstream->evacuated = in_evacuated_zone (registry, upstream->zone);
  return changed || was_pending || was_usable != anvil_registry_usable (upstream);
}

static entry_t *
insert (anvil_registry_t *registry, guint64 key, anvil_str_t id)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->upstream.key = key;
  entry->upstream.id = anvil_str_dup (id);
  g_hash_table_insert (registry->entries, &entry->upstream.key, entry);
  g_hash_table_remove (registry->removed_keys, &key);
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
      notify (registry, now, entry, ANVIL_REGISTRY_JOINED);
      return TRUE;
    }
  entry->in_snapshot = TRUE;
  restarted = entry->upstream.started_at != report->started_at;
  if (restarted)
    entry->upstream.cold_until = 0;
  if (!update (registry, now, entry, report) && !restarted)
    return FALSE;
  notify (registry, now, entry, restarted ? ANVIL_REGISTRY_RESTARTED : ANVIL_REGISTRY_CHANGED);
  return TRUE;
}

static void
add_removed_key (anvil_registry_t *registry, guint64 key)
{
  if (g_hash_table_size (registry->removed_keys) >= MAX_REMOVED_KEYS)
    g_hash_table_remove_all (registry->removed_keys);
  g_hash_table_add (registry->removed_keys, g_memdup2 (&key, sizeof key));
}

static void
remove_now (anvil_registry_t *registry, anvil_time_t now, entry_t *entry)
{
  guint64 key = entry->upstream.key;

  add_removed_key (registry, key);
  g_hash_table_steal (registry->entries, &key);
  notify (registry, now, entry, ANVIL_REGISTRY_LEFT);
  entry_free (entry);
}

/* Removes an entry, or defers that if its row may have expired while the store was lost. The row of
 * an upstream that was about to leave is gone because it has left. */
static void
remove_or_defer (anvil_registry_t *registry, anvil_time_t now, entry_t *entry)
{
  if (entry->upstream.draining || entry->upstream.leaving
      || (!registry->store_lost && now >= registry->grace_ends))
    {
      remove_now (registry, now, entry);
      return;
    }
  if (entry->upstream.removal_pending)
    return;
  entry->upstream.removal_pending = TRUE;
  entry->upstream.removal_at
      = registry->store_lost ? now + ANVIL_REGISTRY_REMOVAL_GRACE : registry->grace_ends;
}

gboolean
anvil_registry_remove (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id)
{
  guint64 key = anvil_str_hash (id);
  entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry == NULL)
    return FALSE;
  remove_or_defer (registry, now, entry);
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

/* Collects entries before they are removed, since a removal changes the table. */
static GPtrArray *
collect (anvil_registry_t *registry,
         gboolean (*matches) (const entry_t *, anvil_time_t),
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
missed_by_snapshot (const entry_t *entry, anvil_time_t now)
{
  return !entry->in_snapshot;
}

static gboolean
removal_due (const entry_t *entry, anvil_time_t now)
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
    ((entry_t *) value)->upstream.removal_at = now;
}

void
anvil_registry_tick (anvil_registry_t *registry, anvil_time_t now)
{
  GPtrArray *due;

  if (registry->store_lost)
    return;
  due = collect (registry, removal_due, now);
  for (guint i = 0; i < due->len; i++)
    remove_now (registry, now, due->pdata[i]);
  g_ptr_array_unref (due);
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
    g_hash_table_add (registry->evacuated_zones, g_strdup (name));
  else
    g_hash_table_remove (registry->evacuated_zones, name);
  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      entry_t *entry = value;

      if (strcmp (entry->upstream.zone, name) != 0)
        continue;
      entry->upstream.evacuated = evacuated;
      if (!evacuated)
        entry->upstream.cold_until = MAX (entry->upstream.cold_until, now + cold_time);
      notify (registry, now, entry, ANVIL_REGISTRY_CHANGED);
    }
  g_free (name);
}

gboolean
anvil_registry_set_leaving (anvil_registry_t *registry,
                            anvil_time_t now,
                            guint64 key,
                            const char *service,
                            gint64 started_at)
{
  entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry != NULL && started_at == 0)
    started_at = entry->upstream.started_at;
  if (entry != NULL && started_at < entry->upstream.started_at)
    return FALSE;
  if (!leaving_set_add (registry->leaving, key, service, started_at))
    return FALSE;
  if (entry != NULL)
    {
      entry->upstream.leaving = TRUE;
      notify (registry, now, entry, ANVIL_REGISTRY_CHANGED);
    }
  return TRUE;
}

guint
anvil_registry_count_leaving (const anvil_registry_t *registry)
{
  return leaving_set_count (registry->leaving);
}

void
anvil_registry_foreach_leaving (const anvil_registry_t *registry,
                                const char *service,
                                anvil_registry_visit_leaving_t visit,
                                void *context)
{
  leaving_set_foreach (registry->leaving, service, visit, context);
}

gboolean
anvil_registry_usable (const anvil_registered_upstream_t *upstream)
{
  return !upstream->draining && !upstream->leaving && !upstream->evacuated;
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
  return g_hash_table_contains (registry->removed_keys, &key);
}

void
anvil_registry_set_version (anvil_registry_t *registry, guint64 version)
{
  registry->version = version;
}

guint64
anvil_registry_version (const anvil_registry_t *registry)
{
  return registry->version;
}

guint64
anvil_registry_row_version (const anvil_registry_t *registry, guint64 key)
{
  const anvil_registered_upstream_t *upstream = anvil_registry_lookup (registry, key);

  return upstream == NULL || upstream->removal_pending ? 0 : registry->version;
}

guint64
anvil_registry_digest (const anvil_registry_t *registry)
{
  GHashTableIter iter;
  gpointer value;
  guint64 digest = 0;

  g_hash_table_iter_init (&iter, registry->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const anvil_registered_upstream_t *upstream = &((const entry_t *) value)->upstream;

      if (!upstream->removal_pending)
        digest ^= (upstream->key + upstream->draining) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);
    }
  return digest;
}

static gboolean
is_evacuated (const anvil_registry_t *registry, anvil_str_t zone)
{
  char *name = anvil_str_dup (zone);
  gboolean evacuated = in_evacuated_zone (registry, name);

  g_free (name);
  return evacuated;
}

const char *
anvil_registry_reason_not_to_use (const anvil_registry_t *registry,
                                  guint64 key,
                                  anvil_str_t zone,
                                  gint64 started_at,
                                  guint64 grant_version,
                                  anvil_time_t store_ok_for)
{
  const anvil_registered_upstream_t *upstream = anvil_registry_lookup (registry, key);

  if (upstream != NULL && upstream->draining)
    return "draining";
  if (leaving_set_contains (registry->leaving, key,
                            upstream != NULL ? MAX (upstream->started_at, started_at) : started_at))
    return "leaving";
  if ((upstream != NULL && upstream->evacuated) || is_evacuated (registry, zone))
    return "evacuated";
  if (upstream != NULL)
    return NULL;
  if (anvil_registry_recently_removed (registry, key))
    return "left";
  if (grant_version > registry->version || store_ok_for < ANVIL_REGISTRY_REMOVAL_GRACE)
    return NULL;
  return "unknown-to-newer-read";
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
