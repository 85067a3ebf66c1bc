#pragma once

#include "anvil/metrics.h"
#include "anvil/steer.h"
#include "upstream-pool.h"

/**
 * anvil_health_task_t - asks upstreams for their load and health
 *
 * Upstreams that this entry may use are asked every second, the others less
 * often; the questions are spread over time. An upstream that doesn't answer
 * is no event: the core judges by its own requests.
 */
typedef struct anvil_health_task anvil_health_task_t;

anvil_health_task_t *anvil_health_task_open (struct event_base *base,
                                             anvil_upstream_pool_t *pool,
                                             anvil_steer_t *steer,
                                             anvil_metrics_t *counters,
                                             const char *path);
void anvil_health_task_close (anvil_health_task_t *task);
