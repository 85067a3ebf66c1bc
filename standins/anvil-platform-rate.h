#pragma once

#include "anvil/clock.h"

/**
 * platform_rate_t - a limit of calls a second
 * @per_s: the limit; a quarter of a second's calls may come at once
 * @credit: calls that may come now
 * @at: when @credit was right
 */
typedef struct
{
  guint per_s;
  gdouble credit;
  anvil_time_t at;
} platform_rate_t;

/** platform_rate_take - counts a call; FALSE if it is over the limit */
gboolean platform_rate_take (platform_rate_t *rate, anvil_time_t now);
