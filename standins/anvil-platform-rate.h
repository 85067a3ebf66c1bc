#pragma once

#include "anvil/clock.h"

/**
 * platform_rate_limiter_t - a limit of calls a second
 * @rate_per_s: the limit; a quarter of a second's calls may come at once
 * @tokens: calls that may come now
 * @refilled_at: when @tokens was right
 */
typedef struct
{
  guint rate_per_s;
  gdouble tokens;
  anvil_time_t refilled_at;
} platform_rate_limiter_t;

/** platform_rate_limiter_allow - counts a call; FALSE if it is over the limit */
gboolean platform_rate_limiter_allow (platform_rate_limiter_t *rate, anvil_time_t now);
