#pragma once

#include <event2/event.h>

#include "anvil-upstream-keys.h"
#include "anvil-upstream-places.h"

/**
 * upstream_region_t - the upstreams of a region together
 * @slots: of all of them
 * @running: requests that run
 * @peak: most that ran at once
 */
typedef struct
{
  guint slots;
  guint running;
  guint peak;
} upstream_region_t;

/**
 * upstream_context_t - what the upstreams of the process share
 * @service_times: mean service time of each service
 * @load_lag: age that a load report may have
 * @backlog: requests that wait at an upstream
 * @cold_requests: first requests of an upstream that are slower
 * @cold_factor: by which a cold start or a missing object slows a request
 * @cache_objects: room in an upstream's cache
 */
typedef struct
{
  struct event_base *base;
  anvil_config_t *config;
  GRand *random;
  upstream_places_t *places;
  upstream_keys_t *keys;
  upstream_region_t *regions;
  anvil_time_t *service_times;
  anvil_time_t load_lag;
  guint backlog;
  guint cold_requests;
  gdouble cold_factor;
  guint cache_objects;
} upstream_context_t;
