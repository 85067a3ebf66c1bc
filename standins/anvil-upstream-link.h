#pragma once

#include "anvil/config.h"

#define UPSTREAM_METER_INTERVALS 10

/**
 * upstream_link_t - a directed link: a queue at its rate, and a meter of what was offered to it
 * @bits_per_s: bits a second
 * @delay: one way
 * @queue_empty_at: when all that was offered has left
 * @total_bits: offered so far
 * @interval_bits: bits of the last steps of 100 ms
 * @newest_interval: number of the newest step
 * @peak_bits_per_s: most bits of one second
 * @overruns: seconds in which more than the limit was offered
 * @overrun_counted_at: when the last of them was counted
 * @longest_wait: longest time that something waited for the link
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

void upstream_link_init (upstream_link_t *link, const anvil_link_t *from);

/** upstream_link_enqueue - puts bits on the link; when the last of them has left */
anvil_time_t upstream_link_enqueue (upstream_link_t *link, anvil_time_t now, gint64 bits);
