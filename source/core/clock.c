#include "anvil/clock.h"

anvil_time_t
anvil_clock_now (void)
{
  return g_get_monotonic_time ();
}

anvil_time_t
anvil_clock_wall (void)
{
  return g_get_real_time ();
}

struct timeval
anvil_time_to_timeval (anvil_time_t span)
{
  anvil_time_t rest = MAX (span, 0);

  return (struct timeval){ .tv_sec = rest / ANVIL_SECOND, .tv_usec = rest % ANVIL_SECOND };
}
