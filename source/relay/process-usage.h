#pragma once

#include "anvil/clock.h"
#include "anvil/members.h"
#include "anvil/metrics.h"

/**
 * anvil_process_usage_t - what the process takes of its VM; starts as zeroes
 * @last_tick: time of the last tick, 0 before the first
 * @max_loop_delay: the longest time by which a tick was late since the metrics were read
 * @period_started_at: start of the period in which ticks are counted
 * @period_delay: sum of the times by which the ticks of this period were late
 * @n_ticks: ticks of this period
 * @declined_share: part of the work for other entries that it should decline, thousandths; see
 *   anvil_member_info_t
 */
typedef struct
{
  anvil_time_t last_tick;
  anvil_time_t max_loop_delay;
  anvil_time_t period_started_at;
  anvil_time_t period_delay;
  guint n_ticks;
  guint declined_share;
} anvil_process_usage_t;

/**
 * anvil_process_usage_tick - called by a timer with this interval
 *
 * Adjusts @declined_share: it rises fast while ticks are late on average, as the processor time of
 * the VM is used up, and falls slowly otherwise.
 *
 * Return: whether this tick ended a period in which ticks were late on average
 */
gboolean
anvil_process_usage_tick (anvil_process_usage_t *usage, anvil_time_t now, anvil_time_t interval);

/** anvil_process_usage_update_metrics - sets the gauges of resident set, descriptors and loop */
void anvil_process_usage_update_metrics (anvil_process_usage_t *usage, anvil_metrics_t *metrics);
