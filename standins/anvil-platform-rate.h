#pragma once

#include "anvil/clock.h"

/**
 * platform_rate_limiter_t - token bucket that limits the rate of calls
 * @rate_per_s: permitted calls per second; the bucket holds a quarter of that
 * @tokens: calls permitted now
 * @refilled_at: time of the last refill
 */
typedef struct
{
  guint rate_per_s;
  gdouble tokens;
  anvil_time_t refilled_at;
} platform_rate_limiter_t;

/** platform_rate_limiter_allow - consumes a token; FALSE if the limit is exceeded */
gboolean platform_rate_limiter_allow (platform_rate_limiter_t *limiter, anvil_time_t now);
