#pragma once

#include "anvil/registry.h"
#include "steer/leaving-set.h"

/* Internal to the registry; see anvil/registry.h. */

/**
 * registry_entry_t - an upstream and state private to the registry
 * @in_snapshot: seen in the snapshot that is being read
 */
typedef struct
{
  anvil_registered_upstream_t upstream;
  gboolean in_snapshot;
} registry_entry_t;

struct anvil_registry
{
  anvil_registry_callbacks_t callbacks;
  void *context;
  /* registry_entry_t by key. */
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

/* Frees an entry; a GDestroyNotify. */
void registry_entry_drop (gpointer data);

void registry_notify (anvil_registry_t *registry,
                      anvil_time_t now,
                      const registry_entry_t *entry,
                      anvil_registry_change_t change);
