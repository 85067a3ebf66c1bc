#include "anvil-upstream-link.h"

#include <string.h>

#define STEP (ANVIL_SECOND / UPSTREAM_METER_STEPS)

void
upstream_link_init (upstream_link_t *link, const anvil_link_t *from)
{
  *link = (upstream_link_t){
    .from = from->from,
    .to = from->to,
    .limit = from->bits_per_s,
    .delay = from->delay,
    .counted_at = -ANVIL_SECOND,
  };
}

/* Bits offered in the second that ends with the step of @now. */
static gint64
last_second (upstream_link_t *link, anvil_time_t now)
{
  gint64 step = now / STEP;
  gint64 sum = 0;

  for (gint64 i = MAX (link->step + 1, step - UPSTREAM_METER_STEPS + 1); i <= step; i++)
    link->steps[i % UPSTREAM_METER_STEPS] = 0;
  link->step = step;
  for (guint i = 0; i < UPSTREAM_METER_STEPS; i++)
    sum += link->steps[i];
  return sum;
}

static void
meter (upstream_link_t *link, anvil_time_t now, gint64 bits)
{
  gint64 sum = last_second (link, now) + bits;

  link->steps[link->step % UPSTREAM_METER_STEPS] += bits;
  link->bits += bits;
  link->peak = MAX (link->peak, sum);
  if (sum <= link->limit || now < link->counted_at + ANVIL_SECOND)
    return;
  link->overruns++;
  link->counted_at = now;
}

anvil_time_t
upstream_link_offer (upstream_link_t *link, anvil_time_t now, gint64 bits)
{
  anvil_time_t start = MAX (now, link->free_at);

  meter (link, now, bits);
  link->longest_wait = MAX (link->longest_wait, start - now);
  link->free_at = start + bits * ANVIL_SECOND / link->limit;
  return link->free_at;
}
