#pragma once

#include "anvil/clock.h"

/* Factor on the service time of the first request of a cold upstream. */
#define FAKE_COLD_FACTOR 4.0
/* Number of requests after which the excess service time has fallen to 1/e. */
#define FAKE_WARM_REQUESTS 50.0

/**
 * fake_upstream_t - a simulated upstream
 * @slots: number of requests that it runs at a time; more wait at the upstream
 * @draining: it rejects new requests and reports the drain
 * @leaving: the platform's list shows it as leaving
 * @down: connections are refused
 * @shed_per_mille: share of the requests that it rejects
 * @cold: its caches were empty at the start
 * @served: number of requests since its start
 * @running: number of requests that run
 * @waiting: ids of the attempts that wait for a slot
 * @reported_load: number of requests in its load report, which may be out of date
 * @reported_draining: whether its load report shows a drain
 */
typedef struct
{
  guint index;
  guint64 key;
  guint zone;
  guint region;
  guint service;
  guint slots;
  gboolean draining;
  gboolean leaving;
  gboolean down;
  guint shed_per_mille;
  gboolean cold;
  guint served;
  guint running;
  GQueue waiting;
  guint reported_load;
  gboolean reported_draining;
} fake_upstream_t;

/** fake_upstream_service_time - exponentially distributed service time of the next request */
anvil_time_t
fake_upstream_service_time (fake_upstream_t *upstream, anvil_time_t mean, GRand *random);
