#pragma once

#include "helper-fault-proxy.h"
#include "helper-fleet.h"
#include "soak-callers.h"

#define MAX_ENTRIES 64
#define MAX_UPSTREAMS 256

/**
 * node_t - an entry or an upstream, and the faults injected into it
 * @fault_active: a fault of it hasn't ended yet
 * @fault_times: when its faults began and ended, by the wall clock in microseconds
 * @reset_times: when all connections to an upstream were reset once
 * @runs_path: file in which an upstream logs its runs of requests
 */
typedef struct
{
  gboolean fault_active;
  GArray *fault_times;
  GArray *reset_times;
  fleet_entry_t *entry;
  standin_t upstream;
  char *id;
  char *runs_path;
  fault_proxy_t *proxy;
} node_t;

typedef struct
{
  struct event_base *base;
  GRand *random;
  GRand *limit_random;
  GRand *word_random;
  GRand *drill_random;
  fleet_t fleet;
  fault_proxy_t *store_proxy;
  char *store_endpoint;
  guint n_entries;
  guint n_upstreams;
  node_t entries[MAX_ENTRIES];
  node_t upstreams[MAX_UPSTREAMS];
  guint16 caller_ports[MAX_ENTRIES];
  soak_callers_t *callers;
  struct event *fault_timer;
  gboolean store_fault_active;
  GArray *store_fault_times;
  guint n_faults;
  guint n_upstream_starts;
  guint n_violations;
  /* Number of violations by the name of the guarantee. */
  GHashTable *violations;
} soak_t;

/** soak_check_requests - compares the outcomes at callers with the runs that upstreams logged; adds
 * to n_violations */
void soak_check_requests (soak_t *soak, gint64 faults_ended_at);
