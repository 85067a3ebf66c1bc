#include "anvil-platform-rate.h"

#define BURSTS_PER_S 4

gboolean
platform_rate_limiter_allow (platform_rate_limiter_t *rate, anvil_time_t now)
{
  gdouble burst = (gdouble) rate->rate_per_s / BURSTS_PER_S;

  rate->tokens += (gdouble) (now - rate->refilled_at) * rate->rate_per_s / ANVIL_SECOND;
  rate->tokens = MIN (rate->tokens, burst);
  rate->refilled_at = now;
  if (rate->tokens < 1)
    return FALSE;
  rate->tokens -= 1;
  return TRUE;
}
