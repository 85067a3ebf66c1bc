#include "steer/rate-bucket.h"

gdouble
anvil_rate_bucket_capacity (const anvil_rate_bucket_t *rate)
{
  return rate->rate_per_seat * (gdouble) ANVIL_RATE_BURST_TIME / ANVIL_SECOND;
}

void
anvil_rate_bucket_refill (anvil_rate_bucket_t *rate, anvil_time_t span)
{
  gdouble capacity = anvil_rate_bucket_capacity (rate);

  if (rate->tokens >= capacity)
    return;
  rate->tokens = MIN (capacity, rate->tokens + rate->rate_per_seat * (gdouble) span / ANVIL_SECOND);
}

gboolean
anvil_rate_bucket_allows (const anvil_rate_bucket_t *rate, gint64 units)
{
  gdouble least = (gdouble) units;

  if (!rate->refill_stopped)
    least = MIN (least, anvil_rate_bucket_capacity (rate));
  return rate->tokens >= least && rate->rate_per_seat > 0;
}

void
anvil_rate_bucket_consume (anvil_rate_bucket_t *rate, gint64 units)
{
  rate->tokens -= (gdouble) units;
  rate->total_used += units;
}

gint64
anvil_rate_bucket_lend (anvil_rate_bucket_t *rate, gint64 units)
{
  gint64 lent = MIN (units, (gint64) (rate->tokens / 2));

  if (lent <= 0)
    return 0;
  rate->tokens -= (gdouble) lent;
  return lent;
}
