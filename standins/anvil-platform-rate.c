#include "anvil-platform-rate.h"

#define BURSTS_PER_S 4

gboolean
platform_rate_take (platform_rate_t *rate, anvil_time_t now)
{
  gdouble burst = (gdouble) rate->per_s / BURSTS_PER_S;

  rate->credit += (gdouble) (now - rate->at) * rate->per_s / ANVIL_SECOND;
  rate->credit = MIN (rate->credit, burst);
  rate->at = now;
  if (rate->credit < 1)
    return FALSE;
  rate->credit -= 1;
  return TRUE;
}
