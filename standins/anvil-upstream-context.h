#pragma once

#include <event2/event.h>

#include "anvil-upstream-run-counts.h"
#include "anvil-upstream-topology.h"

/**
 * upstream_region_t - totals of a region's upstreams
 * @slots: number of slots
 * @running: running requests
 * @peak_running: maximum of @running so far
 */
typedef struct
{
  guint slots;
  guint running;
  guint peak_running;
} upstream_region_t;

/**
 * upstream_context_t - state shared by all upstreams of the process
 * @regions: by index of the region
 * @service_times: mean service time by index of the service
 * @load_sample_interval: interval between samples for load reports, their maximum age
 * @max_queued: maximum number of requests that wait at an upstream
 * @cold_requests: number of slow requests after an upstream starts
 * @cold_factor: factor on the service time after a start or on a cache miss
 * @max_cached_objects: capacity of an upstream's cache
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
