#include "anvil-platform-rate.h"

#define BUCKET_FILLS_PER_S 4

gboolean
platform_rate_limiter_allow (platform_rate_limiter_t *limiter, anvil_time_t now)
{
  gdouble max_tokens = (gdouble) limiter->rate_per_s / BUCKET_FILLS_PER_S;

  limiter->tokens += (gdouble) (now - limiter->refilled_at) * limiter->rate_per_s / ANVIL_SECOND;
  limiter->tokens = MIN (limiter->tokens, max_tokens);
  limiter->refilled_at = now;
  if (limiter->tokens < 1)
    return FALSE;
  limiter->tokens -= 1;
  return TRUE;
}
