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
 * @region_by_zone: region by availability zone, of all zones
 * @caller_endpoint: where callers connect
 * @readiness_endpoint: where the platform asks whether this entry is ready; port 0 for nowhere
 * @lookup_endpoint: where callers ask which entries to use; port 0 for nowhere
 * @peer_endpoint: where other entries connect
 * @metrics_endpoint: where counters are read; port 0 for nowhere
 * @store_endpoint: the deployment's store
 * @seeds: other entries to begin with, which may be stale
 * @n_seeds: how many
 * @shutdown_timeout: time between the request to stop and the kill, microseconds
 * @lookup_ttl_s: how long callers may keep the answer of a look-up, seconds
 * @cpu_millicores: processor that this process may use, thousandths of a core
 * @memory_bytes: memory that this process may use
 * @max_descriptors: descriptors that it may use
 * @bounds: limits that entries keep together
 */
typedef struct
{
  char *vm;
  char *zone;
  GHashTable *region_by_zone;
  anvil_relay_endpoint_t caller_endpoint;
  anvil_relay_endpoint_t readiness_endpoint;
  anvil_relay_endpoint_t lookup_endpoint;
  anvil_relay_endpoint_t peer_endpoint;
  anvil_relay_endpoint_t metrics_endpoint;
  anvil_relay_endpoint_t store_endpoint;
  anvil_node_t seeds[ANVIL_RELAY_MAX_SEEDS];
  guint n_seeds;
  anvil_time_t shutdown_timeout;
  guint lookup_ttl_s;
  guint cpu_millicores;
  gsize memory_bytes;
  guint max_descriptors;
  anvil_dispatcher_limits_t bounds;
} anvil_relay_settings_t;

/** anvil_relay_settings_clear - frees what the settings own */
void anvil_relay_settings_clear (anvil_relay_settings_t *settings);

/** anvil_relay_settings_region - region of a zone, or NULL; borrowed */
const char *anvil_relay_settings_region (const anvil_relay_settings_t *settings, const char *zone);
