#pragma once

#include "anvil/metrics.h"
#include "anvil/steer.h"
#include "upstream-pool.h"

/**
 * anvil_health_task_t - polls upstreams for their load and health
 *
 * Upstreams with slots for this entry are polled every second, the others less
 * often; polls are spread evenly over the interval. A failed poll is not
 * reported: the core detects failed upstreams by its own requests.
 */
typedef struct anvil_health_task anvil_health_task_t;

anvil_health_task_t *anvil_health_task_open (struct event_base *base,
                                             anvil_upstream_pool_t *pool,
                                             anvil_steer_t *steer,
                                             anvil_metrics_t *metrics,
                                             const char *path);
void anvil_health_task_close (anvil_health_task_t *task);
