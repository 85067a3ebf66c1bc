#include "anvil-upstream-link.h"

#include <string.h>

#define METER_INTERVAL (ANVIL_SECOND / UPSTREAM_METER_INTERVALS)

void
upstream_link_init (upstream_link_t *link, const anvil_link_t *config)
{
  *link = (upstream_link_t){
    .from = config->from,
    .to = config->to,
    .bits_per_s = config->bits_per_s,
    .delay = config->delay,
    .overrun_counted_at = -ANVIL_SECOND,
  };
}

/* Bits queued in the second that ends with the interval of @now. */
static gint64
bits_in_last_second (upstream_link_t *link, anvil_time_t now)
{
  gint64 interval = now / METER_INTERVAL;
  gint64 sum = 0;

  for (gint64 i = MAX (link->newest_interval + 1, interval - UPSTREAM_METER_INTERVALS + 1);
       i <= interval; i++)
    link->interval_bits[i % UPSTREAM_METER_INTERVALS] = 0;
  link->newest_interval = interval;
  for (guint i = 0; i < UPSTREAM_METER_INTERVALS; i++)
    sum += link->interval_bits[i];
  return sum;
}

static void
meter (upstream_link_t *link, anvil_time_t now, gint64 bits)
{
  gint64 sum = bits_in_last_second (link, now) + bits;

  link->interval_bits[link->newest_interval % UPSTREAM_METER_INTERVALS] += bits;
  link->total_bits += bits;
  link->peak_bits_per_s = MAX (link->peak_bits_per_s, sum);
  if (sum <= link->bits_per_s || now < link->overrun_counted_at + ANVIL_SECOND)
    return;
  link->overruns++;
  link->overrun_counted_at = now;
}

anvil_time_t
upstream_link_enqueue (upstream_link_t *link, anvil_time_t now, gint64 bits)
{
  anvil_time_t start = MAX (now, link->queue_empty_at);

  meter (link, now, bits);
  link->longest_wait = MAX (link->longest_wait, start - now);
  link->queue_empty_at = start + bits * ANVIL_SECOND / link->bits_per_s;
  return link->queue_empty_at;
}
