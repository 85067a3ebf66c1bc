#pragma once

#include "anvil/metrics.h"
#include "relay/relay-caller.h"
#include "relay/relay-upstream.h"
#include "relay/slot-broker.h"

/*
 * Callers' requests, from their arrival to the response.
 *
 * A job requests a slot, sends its request to the upstream that was granted, and
 * responds to its caller. "Refused" always means that the request has not run
 * and won't; a request that may have run is never refused afterwards.
 */

typedef struct anvil_relay_jobs anvil_relay_jobs_t;

/**
 * anvil_relay_jobs_options_t - what jobs depend on; all borrowed
 * @upstreams_read_at: when upstreams were last read, monotonic clock; G_MAXINT64 while the store
 *   doesn't answer, when requests are sent on the basis of the last read, however old
 * @max_saved_bytes: limit of the bodies of all failed responses that wait for a retry; above it the
 *   longest is dropped
 * @store_ok_for: for how long this entry or a peer has read upstreams from the store without an
 *   interruption, microseconds
 * @upstream_leaving: an upstream said that it leaves; @started_at as in
 *   anvil_registry_set_leaving(). Returns FALSE if that was known
 * @lacks_routes: whether a peer has a newer configuration than this entry, which may have more
 *   routes
 * @config_is_proven: whether the configuration in force may be used to judge keys; see
 *   steer/config-proof.h
 * @config_proof_age: for how long that hasn't been sure, microseconds; negative if it never was
 */
typedef struct
{
  struct event_base *base;
  const anvil_relay_settings_t *settings;
  const anvil_header_names_t *header_names;
  const anvil_registry_t *registry;
  anvil_slot_broker_t *slot_broker;
  anvil_relay_upstream_pool_t *upstream_pool;
  anvil_metrics_t *metrics;
  gsize max_saved_bytes;
  anvil_time_t (*upstreams_read_at) (void *context);
  anvil_time_t (*store_ok_for) (void *context);
  gboolean (*upstream_leaving) (void *context,
                                const char *service,
                                guint64 upstream,
                                gint64 started_at);
  gboolean (*lacks_routes) (void *context);
  gboolean (*config_is_proven) (void *context);
  anvil_time_t (*config_proof_age) (void *context);
  void *context;
} anvil_relay_jobs_options_t;

anvil_relay_jobs_t *anvil_relay_jobs_new (const anvil_relay_jobs_options_t *options);

/** anvil_relay_jobs_drop - ends all jobs; their callers get no response */
void anvil_relay_jobs_drop (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_set_routes - replaces the configuration for new requests */
void anvil_relay_jobs_set_routes (anvil_relay_jobs_t *jobs, anvil_routes_t *routes);
const anvil_routes_t *anvil_relay_jobs_routes (const anvil_relay_jobs_t *jobs);

/**
 * anvil_relay_jobs_begin_shutdown - sends only requests from now on that won't be cut off
 * @stop_at: when anvil_relay_jobs_end() will be called, monotonic clock
 *
 * Requests that may be repeated are still sent if their deadline lies behind @stop_at, since most
 * end before it; others are refused.
 */
void anvil_relay_jobs_begin_shutdown (anvil_relay_jobs_t *jobs, anvil_time_t stop_at);

/** anvil_relay_jobs_refuse_new - refuses new requests from now on, during shutdown, and those that
 * wait for a slot and might not end before the stop */
void anvil_relay_jobs_refuse_new (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_end - ends all jobs, and responds to their callers */
void anvil_relay_jobs_end (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_check_head - why a request isn't served because of its key, or NULL; see
 * anvil_relay_caller_callbacks_t */
const anvil_relay_refusal_t *anvil_relay_jobs_check_head (const anvil_relay_jobs_t *jobs,
                                                          const anvil_relay_request_t *request);
/** anvil_relay_route_class - hash of the figures of a route that its tasks carry, see anvil_task_t;
 * the same at all entries, and not 0, which would mean that they aren't known */
guint64 anvil_relay_route_class (const anvil_route_t *route);

/** anvil_relay_jobs_start - starts a job for a whole request */
void anvil_relay_jobs_start (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request);

/** anvil_relay_jobs_caller_disconnected - the caller of an unanswered request has disconnected */
void anvil_relay_jobs_caller_disconnected (anvil_relay_jobs_t *jobs,
                                           anvil_relay_request_t *request);

/** anvil_relay_jobs_reason_to_withhold - why a request that was on its way to a process of an
 * upstream must not be sent any more, or NULL; @started_at is 0 if its start isn't known */
const char *anvil_relay_jobs_reason_to_withhold (const anvil_relay_jobs_t *jobs,
                                                 guint64 upstream,
                                                 gint64 started_at);

/** anvil_relay_jobs_reason_not_to_use - why this entry must not send a request on a granted slot,
 * for logs; NULL if it may */
const char *anvil_relay_jobs_reason_not_to_use (const anvil_relay_jobs_t *jobs,
                                                const anvil_slot_grant_t *grant);

/** anvil_relay_jobs_announced - takes over what an upstream said of itself, and tells the holder of
 * its service */
void anvil_relay_jobs_announced (anvil_relay_jobs_t *jobs,
                                 const char *service,
                                 guint64 upstream,
                                 gint64 started_at,
                                 const anvil_announcement_t *announcement);

/** anvil_relay_jobs_record_limit - takes over what a response says of an upstream's request limit
 */
void anvil_relay_jobs_record_limit (anvil_relay_jobs_t *jobs,
                                    guint64 upstream,
                                    const char *upstream_id,
                                    const anvil_request_limit_t *limit);

/** anvil_relay_jobs_new_number - number of a task that isn't a caller's request of this entry */
guint64 anvil_relay_jobs_new_number (anvil_relay_jobs_t *jobs);

/* Callbacks of the slot broker, see anvil_slot_broker_callbacks_t. */
void anvil_relay_jobs_responded (anvil_relay_jobs_t *jobs,
                                 guint64 number,
                                 anvil_node_t from,
                                 anvil_str_t payload);
void anvil_relay_jobs_withdrawn (anvil_relay_jobs_t *jobs,
                                 guint64 number,
                                 anvil_node_t from,
                                 gboolean waited);
void anvil_relay_jobs_granted (anvil_relay_jobs_t *jobs,
                               guint64 number,
                               anvil_node_t from,
                               const anvil_slot_grant_t *grant);
void anvil_relay_jobs_refused (anvil_relay_jobs_t *jobs,
                               guint64 number,
                               anvil_node_t from,
                               const anvil_task_refusal_info_t *refused);
void anvil_relay_jobs_holder_changed (anvil_relay_jobs_t *jobs,
                                      const char *service,
                                      anvil_node_t holder);
void anvil_relay_jobs_peer_restarted (anvil_relay_jobs_t *jobs, anvil_node_t peer);

/** anvil_relay_jobs_tick - repeats requests for slots that got no answer */
void anvil_relay_jobs_tick (anvil_relay_jobs_t *jobs, anvil_time_t now);

/** anvil_relay_jobs_upstream_ended - an upstream has left or restarted */
void anvil_relay_jobs_upstream_ended (anvil_relay_jobs_t *jobs, guint64 upstream);

/** anvil_relay_jobs_count_request_limits - number of upstreams that named a request limit in their
 * last response to this entry */
guint anvil_relay_jobs_count_request_limits (const anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_count_pauses - number of upstreams that want no requests of this entry now */
guint anvil_relay_jobs_count_pauses (const anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_update_quota_metrics - publishes the requests refused by quota */
void anvil_relay_jobs_update_quota_metrics (anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_saved_bytes - bytes in the bodies of failed responses that wait for a retry */
gsize anvil_relay_jobs_saved_bytes (const anvil_relay_jobs_t *jobs);

/** anvil_relay_jobs_count - number of jobs: requests that aren't answered yet */
guint anvil_relay_jobs_count (const anvil_relay_jobs_t *jobs);
