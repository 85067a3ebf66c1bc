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
