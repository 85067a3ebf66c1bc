#pragma once

#include "anvil/config.h"

#define UPSTREAM_METER_STEPS 10

/**
 * upstream_link_t - a directed link: a queue at its rate, and a meter of what was offered to it
 * @limit: bits a second
 * @delay: one way
 * @free_at: when all that was offered has left
 * @bits: offered so far
 * @steps: bits of the last steps of 100 ms
 * @step: number of the newest step
 * @peak: most bits of one second
 * @overruns: seconds in which more than the limit was offered
 * @counted_at: when the last of them was counted
 * @longest_wait: longest time that something waited for the link
 */
typedef struct
{
  guint from;
  guint to;
  gint64 limit;
  anvil_time_t delay;
  anvil_time_t free_at;
  gint64 bits;
  gint64 steps[UPSTREAM_METER_STEPS];
  gint64 step;
  gint64 peak;
  guint64 overruns;
  anvil_time_t counted_at;
  anvil_time_t longest_wait;
} upstream_link_t;

void upstream_link_init (upstream_link_t *link, const anvil_link_t *from);

/** upstream_link_offer - puts bits on the link; when the last of them has left */
anvil_time_t upstream_link_offer (upstream_link_t *link, anvil_time_t now, gint64 bits);
