#pragma once

#include "anvil/config.h"

#define UPSTREAM_METER_INTERVALS 10

/**
 * upstream_link_t - a directed link with a limited rate, and a meter of the bits queued on it
 * @from: index of the source region
 * @to: index of the destination region
 * @bits_per_s: rate limit
 * @delay: one-way delay
 * @queue_empty_at: when all queued bits are sent
 * @total_bits: bits queued so far
 * @interval_bits: bits queued in each of the last intervals of 100 ms, by number modulo the array's
 *   length
 * @newest_interval: number of the newest interval
 * @peak_bits_per_s: most bits queued within a second
 * @overruns: number of seconds in which more bits were queued than the rate permits
 * @overrun_counted_at: when @overruns was last increased
 * @longest_wait: longest time that bits waited for the link
 */
typedef struct
{
  guint from;
  guint to;
  gint64 bits_per_s;
  anvil_time_t delay;
  anvil_time_t queue_empty_at;
  gint64 total_bits;
  gint64 interval_bits[UPSTREAM_METER_INTERVALS];
  gint64 newest_interval;
  gint64 peak_bits_per_s;
  guint64 overruns;
  anvil_time_t overrun_counted_at;
  anvil_time_t longest_wait;
} upstream_link_t;

void upstream_link_init (upstream_link_t *link, const anvil_link_t *config);

/** upstream_link_enqueue - queues bits; returns when the last of them is sent */
anvil_time_t upstream_link_enqueue (upstream_link_t *link, anvil_time_t now, gint64 bits);
