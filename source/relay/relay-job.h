#pragma once

#include "anvil/metrics.h"
#include "relay/relay-caller.h"
#include "relay/relay-upstream.h"
#include "relay/slot-broker.h"

/*
 * Requests from their arrival to their answer.
 *
 * A job asks for a slot, sends its request to the upstream that it gets, and
 * answers its caller. "Refused" always means that the request has not run and
 * won't; what may have run is never refused afterwards.
 */

typedef struct anvil_relay_jobs anvil_relay_jobs_t;

/**
 * anvil_relay_job_parts_t - what jobs work with; all borrowed
 * @known_at: when what is known of upstreams was last read, monotonic clock;
 *   G_MAXINT64 while the store is away, when older knowledge must do
 */
typedef struct
{
  struct event_base *base;
  const anvil_relay_settings_t *settings;
  const anvil_header_names_t *wire;
  const anvil_registry_t *registry;
  anvil_slot_broker_t *desk;
  anvil_relay_upstream_pool_t *pool;
  anvil_metrics_t *counters;
  anvil_time_t (*known_at) (void *context);
  void *context;
} anvil_relay_job_parts_t;

anvil_relay_jobs_t *anvil_relay_jobs_new (const anvil_relay_job_parts_t *parts);

/** anvil_relay_jobs_drop - ends all jobs; their callers get no answer */
void anvil_relay_jobs_drop (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_set_routes - a newer configuration; requests that come from now on use it */
void anvil_relay_jobs_set_routes (anvil_relay_jobs_t *jobs, anvil_routes_t *routes);
const anvil_routes_t *anvil_relay_jobs_routes (const anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_close - requests that come from now on are refused: this entry shuts down */
void anvil_relay_jobs_close (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_accept - a whole request */
void anvil_relay_jobs_accept (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request);

/** anvil_relay_jobs_gone - the caller of a request has left */
void anvil_relay_jobs_gone (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request);

/* Answers of the desk, see anvil_relay_desk_events_t. */
void anvil_relay_jobs_granted (anvil_relay_jobs_t *jobs,
                               guint64 number,
                               anvil_node_t from,
                               const anvil_grant_t *grant);
void anvil_relay_jobs_refused (anvil_relay_jobs_t *jobs,
                               guint64 number,
                               anvil_node_t from,
                               const anvil_task_refusal_info_t *refused);
void anvil_relay_jobs_holder_changed (anvil_relay_jobs_t *jobs,
                                      const char *service,
                                      anvil_node_t holder);
void anvil_relay_jobs_peer_restarted (anvil_relay_jobs_t *jobs, anvil_node_t peer);

/** anvil_relay_jobs_tick - asks again where an answer is overdue */
void anvil_relay_jobs_tick (anvil_relay_jobs_t *jobs, anvil_time_t now);

/** anvil_relay_jobs_count - requests that have no answer yet */
guint anvil_relay_jobs_count (const anvil_relay_jobs_t *jobs);
