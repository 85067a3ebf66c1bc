#pragma once

#include <event2/event.h>

#include "relay/relay-job.h"

/*
 * Runs requests of other entries beside their upstreams.
 *
 * An entry whose region has few upstreams sends a small request that may be repeated along with its
 * slot request. If the holder grants a slot in its own region, it sends the request to the upstream
 * itself and returns the response, so that one crossing between regions serves for both. Otherwise
 * the requester gets the grant, as without this module.
 */

typedef struct anvil_relay_forwards anvil_relay_forwards_t;

/** anvil_relay_forwards_new - all arguments are borrowed */
anvil_relay_forwards_t *anvil_relay_forwards_new (struct event_base *base,
                                                  anvil_slot_broker_t *broker,
                                                  anvil_relay_upstream_pool_t *pool,
                                                  anvil_relay_jobs_t *jobs,
                                                  const anvil_registry_t *registry,
                                                  anvil_metrics_t *metrics);

/** anvil_relay_forwards_drop - cancels all runs; their requesters get no response */
void anvil_relay_forwards_drop (anvil_relay_forwards_t *forwards);

/** anvil_relay_forwards_count - runs under way */
guint anvil_relay_forwards_count (const anvil_relay_forwards_t *forwards);

/** anvil_relay_forwards_begin_shutdown - starts no more runs, which could be cut off; their
 * requesters get the grants */
void anvil_relay_forwards_begin_shutdown (anvil_relay_forwards_t *forwards);

/** anvil_relay_forwards_count_unfinished - runs under way, and entries to which responses of runs
 * that have ended since the shutdown began are not written yet */
guint anvil_relay_forwards_count_unfinished (anvil_relay_forwards_t *forwards);

/** anvil_relay_forwards_holder_changed - tells the new holder of a service about its slots that
 * runs of this entry use */
void anvil_relay_forwards_holder_changed (anvil_relay_forwards_t *forwards,
                                          const char *service,
                                          anvil_node_t holder);

/* Callbacks of the slot broker, see anvil_slot_broker_callbacks_t. */
void anvil_relay_forwards_granted (anvil_relay_forwards_t *forwards,
                                   anvil_task_id_t id,
                                   const anvil_slot_grant_t *grant,
                                   anvil_time_t deadline,
                                   anvil_str_t payload);
void anvil_relay_forwards_cancelled (anvil_relay_forwards_t *forwards, anvil_task_id_t id);
