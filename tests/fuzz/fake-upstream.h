#pragma once

#include "anvil/clock.h"

/* A cold upstream takes this many times as long for its first requests. */
#define FAKE_COLD_FACTOR 4.0
/* Requests after which most of the cold start is over. */
#define FAKE_WARM_REQUESTS 50.0

/**
 * fake_upstream_t - an upstream as it really is
 * @slots: requests it runs at a time; more wait at the upstream
 * @draining: it turns new work away and says so
 * @leaving: the platform's list says that it leaves
 * @down: connections are refused
 * @shed_per_mille: part of the requests that it turns away
 * @cold: whether its caches start empty
 * @served: requests since its start
 * @running: work under way
 * @waiting: attempts that came while all slots were in use
 * @reported_load: what its load endpoint says, which may be old
 * @reported_draining: what it says of its drain
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

/** fake_upstream_service_time - time for the next request, drawn from an exponential distribution
 */
anvil_time_t
fake_upstream_service_time (fake_upstream_t *upstream, anvil_time_t mean, GRand *random);
