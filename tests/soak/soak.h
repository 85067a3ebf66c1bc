#pragma once

#include "helper-fleet.h"
#include "soak-callers.h"
#include "soak-proxy.h"

#define MAX_ENTRIES 64
#define MAX_UPSTREAMS 256

/**
 * node_t - an entry or an upstream, with what may happen to it
 * @busy: a fault of it is under way
 * @harms: when faults of it began and ended, wall clock
 */
typedef struct
{
  gboolean busy;
  GArray *harms;
  fleet_entry_t *entry;
  standin_t upstream;
  char *id;
  char *notes;
  soak_proxy_t *proxy;
} node_t;

typedef struct
{
  struct event_base *base;
  GRand *random;
  fleet_t fleet;
  soak_proxy_t *store_proxy;
  char *store_endpoint;
  guint n_entries;
  guint n_upstreams;
  node_t entries[MAX_ENTRIES];
  node_t upstreams[MAX_UPSTREAMS];
  guint16 ports[MAX_ENTRIES];
  soak_callers_t *callers;
  struct event *next_fault;
  gboolean store_busy;
  GArray *store_harms;
  guint n_faults;
  guint starts;
  guint broken;
} soak_t;

/** soak_check_requests - holds what callers were told against what upstreams noted; adds to @broken
 */
void soak_check_requests (soak_t *soak, gint64 calm_at);
