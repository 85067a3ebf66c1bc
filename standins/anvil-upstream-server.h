#pragma once

#include "anvil-upstream-cache.h"
#include "anvil-upstream-context.h"
#include "anvil-upstream-faults.h"

/**
 * upstream_counts_t - what an upstream has done
 * @runs: requests that started to run
 * @cold: of these, slowed by a cold start or a missing object
 * @finished: that ran to their end
 * @over_slots: requests that came while every slot was busy
 * @peak_wanted: most requests that ran and waited at once
 * @shed: turned away, not run
 * @drained: turned away because of a drain
 * @expired: stopped at their deadline
 * @cancelled: stopped because the caller left
 * @killed: lost in a restart
 * @peak_connections: most connections at once
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
 * upstream_mark_t - what happened after a drain began or "mark" was asked for
 * @set: whether there is a mark
 * @set_at: when it was set
 * @last_request_at: when the last request came
 * @last_run_at: when the last request started to run
 * @idle_at: when the last request ended
 */
typedef struct
{
  gboolean set;
  anvil_time_t set_at;
  anvil_time_t last_request_at;
  anvil_time_t last_run_at;
  anvil_time_t idle_at;
} upstream_mark_t;

/** upstream_load_report_t - load as it was at a time */
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
 * @index: in the configuration
 * @running: requests that occupy a slot
 * @waiting: the backlog, upstream_job_t
 * @jobs: every request under way, upstream_job_t
 * @connections: connections that have carried a request, to their upstream_connection_t
 * @streams: evhttp's streams by their input buffer
 * @load_report: what the load report shows
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

/** upstream_server_open - listens for one upstream; NULL with @error if its address can't be had */
upstream_server_t *upstream_server_open (upstream_context_t *context, guint index, GError **error);
void upstream_server_close (upstream_server_t *server);

/** upstream_server_sample_load - takes what the load report shows from now on */
void upstream_server_sample_load (upstream_server_t *server, anvil_time_t now);

/** upstream_server_set_faults - FALSE and no change if @json is malformed */
gboolean upstream_server_set_faults (upstream_server_t *server, const json_t *json);

/** upstream_server_report - counts of this upstream, a new reference */
json_t *upstream_server_report (const upstream_server_t *server);
