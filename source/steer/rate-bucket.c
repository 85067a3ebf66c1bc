#include "steer/rate-bucket.h"

gdouble
anvil_rate_bucket_capacity (const anvil_rate_bucket_t *bucket)
{
  return bucket->rate_per_seat * (gdouble) ANVIL_RATE_BURST_TIME / ANVIL_SECOND;
}

void
anvil_rate_bucket_refill (anvil_rate_bucket_t *bucket, anvil_time_t duration)
{
  gdouble capacity = anvil_rate_bucket_capacity (bucket);

  if (bucket->tokens >= capacity)
    return;
  bucket->tokens
      = MIN (capacity, bucket->tokens + bucket->rate_per_seat * (gdouble) duration / ANVIL_SECOND);
}

gboolean
anvil_rate_bucket_allows (const anvil_rate_bucket_t *bucket, gint64 units)
{
  gdouble required = (gdouble) units;

  if (!bucket->refill_stopped)
    required = MIN (required, anvil_rate_bucket_capacity (bucket));
  return bucket->tokens >= required && bucket->rate_per_seat > 0;
}

void
anvil_rate_bucket_consume (anvil_rate_bucket_t *bucket, gint64 units)
{
  bucket->tokens -= (gdouble) units;
  bucket->total_used += units;
}

gint64
anvil_rate_bucket_lend (anvil_rate_bucket_t *bucket, gint64 units)
{
  gint64 lent = MIN (units, (gint64) (bucket->tokens / 2));

  if (lent <= 0)
    return 0;
  bucket->tokens -= (gdouble) lent;
  return lent;
}
