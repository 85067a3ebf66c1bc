#include "steer/registry-internal.h"

#include <string.h>

void
registry_entry_drop (gpointer data)
{
  registry_entry_t *entry = data;

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
  registry->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, registry_entry_drop);
  registry->removed_keys = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
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

void
registry_notify (anvil_registry_t *registry,
                 anvil_time_t now,
                 const registry_entry_t *entry,
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

/* Takes a row into account for what the upstream said: another process has not said it, and one
 * whose row returns from draining to ready stays after all. */
static void
update_leaving (anvil_registry_t *registry,
                anvil_time_t now,
                anvil_registered_upstream_t *upstream,
                const anvil_upstream_report_t *report)
{
  if (upstream->draining && !report->draining && upstream->started_at == report->started_at)
    leaving_set_stays (registry->leaving, upstream->key);
  leaving_set_row_read (registry->leaving, now, upstream->key, report->started_at);
  upstream->leaving = leaving_set_contains (registry->leaving, upstream->key, report->started_at);
}

/* Updates an upstream from a report; TRUE if anything changed. */
static gboolean
update (anvil_registry_t *registry,
        anvil_time_t now,
        registry_entry_t *entry,
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
  update_leaving (registry, now, upstream, report);
  upstream->address = report->address;
  upstream->port = report->port;
  upstream->slots = report->slots;
  upstream->draining = report->draining;
  upstream->cold_until = MAX (upstream->cold_until, cold_until);
  upstream->reported_at = now;
  upstream->started_at = report->started_at;
  upstream->sequence = report->sequence;
  upstream->removal_pending = FALSE;
  upstream->evacuated = in_evacuated_zone (registry, upstream->zone);
  return changed || was_pending || was_usable != anvil_registry_usable (upstream);
}

static registry_entry_t *
insert (anvil_registry_t *registry, guint64 key, anvil_str_t id)
{
  registry_entry_t *entry = g_new0 (registry_entry_t, 1);

  entry->upstream.key = key;
  entry->upstream.id = anvil_str_dup (id);
  g_hash_table_insert (registry->entries, &entry->upstream.key, entry);
  g_hash_table_remove (registry->removed_keys, &key);
  return entry;
}

/* Whether a report is older than what is known of its upstream. The rows of one era arrive in their
 * order, so it may be only once the store has come back from an older copy. */
static gboolean
is_older (const anvil_registry_t *registry,
          anvil_time_t now,
          gint64 started_at,
          guint64 sequence,
          const anvil_upstream_report_t *report)
{
  if (!registry->has_returned)
    return FALSE;
  /* Clocks of upstreams may be set back, so this counts only while old rows come back. */
  if (report->started_at != started_at)
    return report->started_at < started_at && now < registry->return_ends;
  return report->sequence < sequence && (report->sequence > 0 || now < registry->return_ends);
}

/* Whether a report says that a process is ready that is known to drain, without being newer. Rows
 * without numbers can't be ordered. */
static gboolean
would_undo_drain (const anvil_registry_t *registry,
                  anvil_time_t now,
                  const anvil_registered_upstream_t *upstream,
                  const anvil_upstream_report_t *report)
{
  return now < registry->return_ends && upstream->draining && !report->draining
         && report->started_at == upstream->started_at && report->sequence <= upstream->sequence;
}

/* Whether a report is of a process that has left. The sequence of its last report may not be known
 * here, so what the copy has of it is never newer than its removal. */
static gboolean
has_left (const anvil_registry_t *registry,
          anvil_time_t now,
          guint64 key,
          const anvil_upstream_report_t *report)
{
  removed_process_t *removed = g_hash_table_lookup (registry->removed_keys, &key);

  if (removed == NULL || now >= registry->return_ends)
    return FALSE;
  if (registry->reading_copy && report->started_at == removed->started_at)
    removed->sequence = MAX (removed->sequence, report->sequence);
  return is_older (registry, now, removed->started_at, removed->sequence, report)
         || (report->started_at == removed->started_at && report->sequence == removed->sequence);
}

/* Takes a report that is older than the known one: its row exists, that is all it tells. */
static gboolean
apply_older (anvil_registry_t *registry, anvil_time_t now, registry_entry_t *entry)
{
  entry->in_snapshot = TRUE;
  entry->listed_in_era = TRUE;
  if (!entry->upstream.removal_pending)
    return FALSE;
  entry->upstream.removal_pending = FALSE;
  registry_notify (registry, now, entry, ANVIL_REGISTRY_CHANGED);
  return TRUE;
}

gboolean
anvil_registry_apply (anvil_registry_t *registry,
                      anvil_time_t now,
                      const anvil_upstream_report_t *report)
{
  guint64 key = anvil_str_hash (report->id);
  registry_entry_t *entry = g_hash_table_lookup (registry->entries, &key);
  gboolean restarted;

  if (entry == NULL)
    {
      if (has_left (registry, now, key, report))
        return FALSE;
      entry = insert (registry, key, report->id);
      entry->in_snapshot = TRUE;
      entry->listed_in_era = TRUE;
      entry->seen_in_era = TRUE;
      update (registry, now, entry, report);
      registry_notify (registry, now, entry, ANVIL_REGISTRY_JOINED);
      return TRUE;
    }
  if (is_older (registry, now, entry->upstream.started_at, entry->upstream.sequence, report)
      || would_undo_drain (registry, now, &entry->upstream, report))
    return apply_older (registry, now, entry);
  entry->in_snapshot = TRUE;
  entry->listed_in_era = TRUE;
  entry->seen_in_era = TRUE;
  restarted = entry->upstream.started_at != report->started_at;
  if (restarted)
    entry->upstream.cold_until = 0;
  if (!update (registry, now, entry, report) && !restarted)
    return FALSE;
  registry_notify (registry, now, entry,
                   restarted ? ANVIL_REGISTRY_RESTARTED : ANVIL_REGISTRY_CHANGED);
  return TRUE;
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
      registry_entry_t *entry = value;

      if (strcmp (entry->upstream.zone, name) != 0)
        continue;
      entry->upstream.evacuated = evacuated;
      if (!evacuated)
        entry->upstream.cold_until = MAX (entry->upstream.cold_until, now + cold_time);
      registry_notify (registry, now, entry, ANVIL_REGISTRY_CHANGED);
    }
  g_free (name);
}

gboolean
anvil_registry_set_leaving (anvil_registry_t *registry,
                            anvil_time_t now,
                            guint64 key,
                            const char *service,
                            gint64 started_at,
                            gboolean from_peer)
{
  registry_entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  if (entry != NULL && started_at == 0)
    started_at = entry->upstream.started_at;
  if (entry != NULL && started_at < entry->upstream.started_at)
    return FALSE;
  if (!leaving_set_add (registry->leaving, now, key, service, started_at, from_peer))
    return FALSE;
  if (entry == NULL)
    {
      leaving_set_row_gone (registry->leaving, now, key);
      return TRUE;
    }
  leaving_set_row_read (registry->leaving, now, key, entry->upstream.started_at);
  entry->upstream.leaving = TRUE;
  registry_notify (registry, now, entry, ANVIL_REGISTRY_CHANGED);
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
  const registry_entry_t *entry = g_hash_table_lookup (registry->entries, &key);

  return entry != NULL ? &entry->upstream : NULL;
}

gboolean
anvil_registry_recently_removed (const anvil_registry_t *registry, guint64 key)
{
  return g_hash_table_contains (registry->removed_keys, &key);
}

void
anvil_registry_set_version (anvil_registry_t *registry, anvil_store_position_t version)
{
  registry->version = version;
}

anvil_store_position_t
anvil_registry_version (const anvil_registry_t *registry)
{
  return registry->version;
}

anvil_store_position_t
anvil_registry_row_version (const anvil_registry_t *registry, guint64 key)
{
  const anvil_registered_upstream_t *upstream = anvil_registry_lookup (registry, key);

  if (upstream == NULL || upstream->removal_pending)
    return (anvil_store_position_t){ 0 };
  return registry->version;
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
      const anvil_registered_upstream_t *upstream = &((const registry_entry_t *) value)->upstream;

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

/* Why an upstream that is known here must not be used, or has been known and is gone; NULL if
 * neither. @zone is where its slots were granted, empty if that isn't known. */
static const char *
known_reason (const anvil_registry_t *registry,
              const anvil_registered_upstream_t *upstream,
              guint64 key,
              anvil_str_t zone,
              gint64 started_at)
{
  if (upstream != NULL && upstream->draining)
    return "draining";
  if (leaving_set_contains (registry->leaving, key,
                            upstream != NULL ? MAX (upstream->started_at, started_at) : started_at))
    return "leaving";
  if ((upstream != NULL && upstream->evacuated)
      || (zone.length > 0 && is_evacuated (registry, zone)))
    return "evacuated";
  return upstream == NULL && anvil_registry_recently_removed (registry, key) ? "left" : NULL;
}

const char *
anvil_registry_reason_to_withhold (const anvil_registry_t *registry, guint64 key, gint64 started_at)
{
  return known_reason (registry, anvil_registry_lookup (registry, key), key, (anvil_str_t){ 0 },
                       started_at);
}

const char *
anvil_registry_reason_not_to_use (const anvil_registry_t *registry,
                                  guint64 key,
                                  anvil_str_t zone,
                                  gint64 started_at,
                                  anvil_store_position_t grant_version,
                                  anvil_time_t store_ok_for)
{
  const anvil_registered_upstream_t *upstream = anvil_registry_lookup (registry, key);
  const char *reason = known_reason (registry, upstream, key, zone, started_at);

  if (reason != NULL || upstream != NULL)
    return reason;
  if (anvil_store_position_later (grant_version, registry->version)
      || store_ok_for < ANVIL_REGISTRY_REMOVAL_GRACE || registry->returning)
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
    visit (context, &((registry_entry_t *) value)->upstream);
}
