#pragma once

#include <event2/event.h>

#include "anvil-upstream-run-counts.h"
#include "anvil-upstream-topology.h"

/**
 * upstream_region_t - the upstreams of a region together
 * @slots: of all of them
 * @running: requests that run
 * @peak_running: most that ran at once
 */
typedef struct
{
  guint slots;
  guint running;
  guint peak_running;
} upstream_region_t;

/**
 * upstream_context_t - what the upstreams of the process share
 * @service_times: mean service time of each service
 * @load_sample_interval: age that a load report may have
 * @max_queued: requests that wait at an upstream
 * @cold_requests: first requests of an upstream that are slower
 * @cold_factor: by which a cold start or a missing object slows a request
 * @max_cached_objects: room in an upstream's cache
 */
typedef struct
{
  struct event_base *base;
  anvil_config_t *config;
  GRand *random;
  upstream_topology_t *topology;
  upstream_run_counts_t *run_counts;
  upstream_region_t *regions;
  anvil_time_t *service_times;
  anvil_time_t load_sample_interval;
  guint max_queued;
  guint cold_requests;
  gdouble cold_factor;
  guint max_cached_objects;
} upstream_context_t;
