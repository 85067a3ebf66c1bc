#pragma once

#include "anvil/dispatcher.h"
#include "anvil/node.h"

#define ANVIL_RELAY_MAX_SEEDS 16

/**
 * anvil_relay_endpoint_t - address to listen on or to connect to
 * @address: IPv4 in host order
 * @port: TCP port
 */
typedef struct
{
  guint32 address;
  guint16 port;
} anvil_relay_endpoint_t;

/**
 * anvil_relay_settings_t - settings of an entry whose upstreams register in the store
 * @vm: name of this VM
 * @zone: its availability zone
 * @region_by_zone: name of the region by name of the availability zone, for all zones
 * @caller_endpoint: listens for callers
 * @readiness_endpoint: serves the platform's readiness checks; port 0 for any free one
 * @lookup_endpoint: serves callers' look-ups of entries; port 0 for any free one
 * @peer_endpoint: listens for other entries
 * @metrics_endpoint: serves metrics; port 0 for any free one
 * @store_endpoint: address of the store
 * @seeds: addresses of entries to contact first; some may be stale
 * @n_seeds: number of @seeds
 * @shutdown_timeout: time from SIGTERM until the platform kills the process, microseconds
 * @resync_time: time after the end of an outage, of the store or of the network, within which this
 *   entry must know of every change again, microseconds
 * @lookup_ttl_s: how long callers may cache the response to a look-up, seconds
 * @cpu_millicores: CPU share of this process, thousandths of a core
 * @memory_bytes: memory limit of this process
 * @max_descriptors: limit of open file descriptors
 * @link_rate: rate of this VM's network link, bits per second; 0 if it isn't known
 * @strict_revocation: a key that was taken away must not work after @revoke_time, not even at an
 *   entry that doesn't reach the store
 * @revoke_time: see @strict_revocation, microseconds
 * @limits: limits that all entries together must keep
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
  anvil_time_t resync_time;
  guint lookup_ttl_s;
  guint cpu_millicores;
  gsize memory_bytes;
  guint max_descriptors;
  guint64 link_rate;
  gboolean strict_revocation;
  anvil_time_t revoke_time;
  anvil_dispatcher_limits_t limits;
} anvil_relay_settings_t;

/** anvil_relay_settings_clear - frees what the settings own */
void anvil_relay_settings_clear (anvil_relay_settings_t *settings);

/** anvil_relay_settings_region - region of a zone, or NULL; borrowed */
const char *anvil_relay_settings_region (const anvil_relay_settings_t *settings, const char *zone);
