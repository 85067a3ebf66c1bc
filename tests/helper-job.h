#pragma once

#include "relay/relay-job.h"

/*
 * Jobs with a broker, callers and upstreams of their own, in one process. The test is the upstreams
 * and the caller, and delivers the decisions of the broker itself.
 */

#define JOB_N_UPSTREAMS 3

/** kept_grant_t - a decision of the holder that the test delivers */
typedef struct
{
  guint64 number;
  anvil_node_t from;
  anvil_slot_grant_t grant;
} kept_grant_t;

/**
 * job_fixture_t - what the jobs depend on; service "photos", with the routes /safe/, /once/ (one
 * attempt), /none/ (safe, with a share of second runs of 0) and /unsafe/
 * @listeners: of the upstreams, which have one slot each
 * @grants: kept_grant_t, in the order of their arrival
 * @caller: connection of a caller
 */
typedef struct
{
  struct event_base *base;
  anvil_relay_settings_t settings;
  anvil_registry_t *registry;
  anvil_slot_broker_t *broker;
  anvil_relay_upstream_pool_t *pool;
  anvil_metrics_t *metrics;
  anvil_routes_t *routes;
  anvil_relay_jobs_t *jobs;
  anvil_relay_callers_t *callers;
  int listeners[JOB_N_UPSTREAMS];
  guint64 upstream_keys[JOB_N_UPSTREAMS];
  GArray *grants;
  int caller;
} job_fixture_t;

extern job_fixture_t job_fixture;

/** job_fixture_open - opens it, with a share of second runs of 0.5 and first runs counted for it */
void job_fixture_open (void);
void job_fixture_close (void);

/** job_run_for - runs the event loop for a time */
void job_run_for (anvil_time_t time);

gboolean job_is_readable (int fd);
/** job_wait_readable - fails the test if the descriptor doesn't become readable */
void job_wait_readable (int fd);
void job_send_text (int fd, const char *text);

/** job_count_running - slots in use at the holder */
guint job_count_running (void);

/** job_wait_for_grant - waits for the holder's grant of an attempt, counted from 0 */
kept_grant_t job_wait_for_grant (guint index);

/** job_deliver - delivers a grant that says when the attempt is late, 0 for never */
void job_deliver (kept_grant_t kept, anvil_time_t repeat_after);

/** job_accept_attempt - the upstream's end of the connection of an attempt whose request has
 * arrived */
int job_accept_attempt (const kept_grant_t *kept);
