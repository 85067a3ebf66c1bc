#include "steer/rate-budget.h"

gdouble
anvil_rate_capacity (const anvil_rate_t *rate)
{
  return rate->per_seat * (gdouble) ANVIL_RATE_BURST / ANVIL_SECOND;
}

void
anvil_rate_accrue (anvil_rate_t *rate, anvil_time_t span)
{
  gdouble capacity = anvil_rate_capacity (rate);

  if (rate->tokens >= capacity)
    return;
  rate->tokens = MIN (capacity, rate->tokens + rate->per_seat * (gdouble) span / ANVIL_SECOND);
}

gboolean
anvil_rate_fits (const anvil_rate_t *rate, gint64 units)
{
  gdouble least = (gdouble) units;

  if (!rate->stranded)
    least = MIN (least, anvil_rate_capacity (rate));
  return rate->tokens >= least && rate->per_seat > 0;
}

void
anvil_rate_use (anvil_rate_t *rate, gint64 units)
{
  rate->tokens -= (gdouble) units;
  rate->used += units;
}

gint64
anvil_rate_lend (anvil_rate_t *rate, gint64 units)
{
  gint64 lent = MIN (units, (gint64) (rate->tokens / 2));

  if (lent <= 0)
    return 0;
  rate->tokens -= (gdouble) lent;
  return lent;
}
