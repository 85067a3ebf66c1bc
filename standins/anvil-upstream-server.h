#pragma once

#include "anvil-upstream-cache.h"
#include "anvil-upstream-context.h"
#include "anvil-upstream-faults.h"

/**
 * upstream_counts_t - counters of an upstream
 * @runs: started runs
 * @cold: runs slowed by a cold start or a cache miss
 * @finished: runs that completed
 * @over_slots: requests that arrived while all slots were busy
 * @peak_wanted: most requests that ran or waited at the same time
 * @shed: requests rejected as overload, without a run
 * @drained: requests rejected because of a drain
 * @expired: runs stopped at their deadline
 * @cancelled: requests cancelled because the caller disconnected
 * @killed: requests aborted by a restart
 * @peak_connections: most connections at the same time
 */
typedef struct
{
  guint64 runs;
  guint64 cold;
  guint64 finished;
  guint64 over_slots;
  guint peak_wanted;
  guint64 shed;
  guint64 drained;
  guint64 expired;
  guint64 cancelled;
  guint64 killed;
  guint peak_connections;
} upstream_counts_t;

/**
 * upstream_mark_t - times of events after a drain started or "mark" was set
 * @set: whether there is a mark
 * @set_at: when the mark was set
 * @last_request_at: when the last request arrived
 * @last_run_at: when the last run started
 * @idle_at: when the last running request ended
 */
typedef struct
{
  gboolean set;
  anvil_time_t set_at;
  anvil_time_t last_request_at;
  anvil_time_t last_run_at;
  anvil_time_t idle_at;
} upstream_mark_t;

/** upstream_load_report_t - sample of an upstream's load */
typedef struct
{
  anvil_time_t sampled_at;
  guint running;
  gboolean draining;
  gboolean healthy;
} upstream_load_report_t;

typedef struct upstream_job upstream_job_t;

/**
 * upstream_server_t - one upstream
 * @index: index in the configuration
 * @running: requests that hold a slot
 * @waiting: upstream_job_t that wait for a slot
 * @jobs: set of all upstream_job_t
 * @connections: connections that have carried a request, by evhttp's connection
 * @streams: evhttp's bufferevents by their input buffers
 * @cold_until_run: number of the last run that is slow after a start
 * @load_report: newest sample of the load
 */
typedef struct
{
  upstream_context_t *context;
  guint index;
  const anvil_upstream_t *upstream;
  const anvil_service_t *service;
  struct evhttp *http;
  struct evhttp_bound_socket *socket;
  guint running;
  GQueue waiting;
  GHashTable *jobs;
  GHashTable *connections;
  GHashTable *streams;
  upstream_cache_t *cache;
  guint64 cold_until_run;
  upstream_faults_t faults;
  upstream_counts_t counts;
  upstream_mark_t mark;
  upstream_load_report_t load_report;
} upstream_server_t;

/** upstream_server_open - starts an upstream; NULL with @error if its address can't be bound */
upstream_server_t *upstream_server_open (upstream_context_t *context, guint index, GError **error);
void upstream_server_close (upstream_server_t *server);

/** upstream_server_sample_load - samples the load for the load report */
void upstream_server_sample_load (upstream_server_t *server, anvil_time_t now);

/** upstream_server_set_faults - sets the faults in @json; FALSE and no change if one is invalid */
gboolean upstream_server_set_faults (upstream_server_t *server, const json_t *json);

/** upstream_server_report - counters of an upstream; a new reference */
json_t *upstream_server_report (const upstream_server_t *server);
