#include "anvil/clock.h"

#include <time.h>

anvil_time_t
anvil_clock_now (void)
{
  return g_get_monotonic_time ();
}

anvil_time_t
anvil_clock_boot (void)
{
  struct timespec boot;

  clock_gettime (CLOCK_BOOTTIME, &boot);
  return boot.tv_sec * ANVIL_SECOND + boot.tv_nsec / 1000;
}

anvil_time_t
anvil_clock_wall (void)
{
  return g_get_real_time ();
}

struct timeval
anvil_time_to_timeval (anvil_time_t duration)
{
  anvil_time_t clamped = MAX (duration, 0);

  return (struct timeval){ .tv_sec = clamped / ANVIL_SECOND, .tv_usec = clamped % ANVIL_SECOND };
}
