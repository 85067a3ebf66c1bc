#pragma once

#include "anvil/clock.h"
#include "anvil/metrics.h"

/**
 * anvil_process_usage_t - what the process takes of its VM
 * @last_tick: time of the last tick, 0 before the first
 * @max_loop_delay: the longest time by which a tick was late since the metrics were read
 */
typedef struct
{
  anvil_time_t last_tick;
  anvil_time_t max_loop_delay;
} anvil_process_usage_t;

/** anvil_process_usage_tick - called by a timer with this interval */
void
anvil_process_usage_tick (anvil_process_usage_t *usage, anvil_time_t now, anvil_time_t interval);

/** anvil_process_usage_update_metrics - sets the gauges of resident set, descriptors and loop */
void anvil_process_usage_update_metrics (anvil_process_usage_t *usage, anvil_metrics_t *metrics);
