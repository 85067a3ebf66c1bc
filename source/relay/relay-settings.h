#pragma once

#include "anvil/dispatcher.h"
#include "anvil/node.h"

/* Most entries that settings name as a first contact. */
#define ANVIL_RELAY_MAX_SEEDS 16

/**
 * anvil_relay_endpoint_t - where to listen or to connect
 * @address: IPv4 in host order
 * @port: TCP port
 */
typedef struct
{
  guint32 address;
  guint16 port;
} anvil_relay_endpoint_t;

/**
 * anvil_relay_settings_t - settings of an entry that serves registered upstreams
 * @vm: name of this VM
 * @zone: its availability zone
 * @regions: region by availability zone, of all zones
 * @callers: where callers connect
 * @readiness: where the platform asks whether this entry is ready; port 0 for nowhere
 * @lookups: where callers ask which entries to use; port 0 for nowhere
 * @peers: where other entries connect
 * @metrics: where counters are read; port 0 for nowhere
 * @store: the deployment's store
 * @seeds: other entries to begin with, which may be stale
 * @n_seeds: how many
 * @grace: time between the request to stop and the kill, microseconds
 * @lookup_ttl_s: how long callers may keep the answer of a look-up, seconds
 * @capacity: processor that this process may use, thousandths of a core
 * @memory_bytes: memory that this process may use
 * @max_descriptors: descriptors that it may use
 * @bounds: limits that entries keep together
 */
typedef struct
{
  char *vm;
  char *zone;
  GHashTable *regions;
  anvil_relay_endpoint_t callers;
  anvil_relay_endpoint_t readiness;
  anvil_relay_endpoint_t lookups;
  anvil_relay_endpoint_t peers;
  anvil_relay_endpoint_t metrics;
  anvil_relay_endpoint_t store;
  anvil_node_t seeds[ANVIL_RELAY_MAX_SEEDS];
  guint n_seeds;
  anvil_time_t grace;
  guint lookup_ttl_s;
  guint capacity;
  gsize memory_bytes;
  guint max_descriptors;
  anvil_dispatcher_limits_t bounds;
} anvil_relay_settings_t;

/** anvil_relay_settings_clear - frees what the settings own */
void anvil_relay_settings_clear (anvil_relay_settings_t *settings);

/** anvil_relay_settings_region - region of a zone, or NULL; borrowed */
const char *anvil_relay_settings_region (const anvil_relay_settings_t *settings, const char *zone);
