#pragma once

#include "anvil/registry.h"
#include "steer/leaving-set.h"
#include "steer/store-era.h"

/* Internal to the registry; see anvil/registry.h. */

/**
 * registry_entry_t - an upstream and state private to the registry
 * @in_snapshot: seen in the snapshot that is being read
 * @listed_in_era: its row was in the store at some time since that came back from an older copy
 * @seen_in_era: a report was read since the store came back from an older copy, and not one that is
 *   older than the known one
 */
typedef struct
{
  anvil_registered_upstream_t upstream;
  gboolean in_snapshot;
  gboolean listed_in_era;
  gboolean seen_in_era;
} registry_entry_t;

/** removed_process_t - the last known process of an upstream that was removed; the copy that the
 * store comes back from may have its row */
typedef struct
{
  guint64 key;
  gint64 started_at;
  guint64 sequence;
} removed_process_t;

struct anvil_registry
{
  anvil_registry_callbacks_t callbacks;
  void *context;
  /* registry_entry_t by key. */
  GHashTable *entries;
  /* removed_process_t by key. */
  GHashTable *removed_keys;
  /* Names of evacuated zones. */
  GHashTable *evacuated_zones;
  leaving_set_t *leaving;
  /* Version of the store's table up to which all rows are known. */
  anvil_store_position_t version;
  /* The store has come back from an older copy at some time, and until when a missing row is no
   * departure. */
  gboolean has_returned;
  anvil_time_t return_ends;
  /* The rows of the copy were not all read yet. */
  gboolean reading_copy;
  /* That time was not over at the last tick. */
  gboolean returning;
  gboolean store_lost;
  /* When the store was last reached before it was lost. */
  anvil_time_t store_reached_at;
  /* Removals before this time are deferred; 0 if the store was never lost. */
  anvil_time_t grace_ends;
};

/* Frees an entry; a GDestroyNotify. */
void registry_entry_drop (gpointer data);

void registry_notify (anvil_registry_t *registry,
                      anvil_time_t now,
                      const registry_entry_t *entry,
                      anvil_registry_change_t change);
