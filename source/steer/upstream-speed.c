#include "steer/upstream-speed.h"

#include <math.h>

/* A VM is slow for about 600 ms at a time, so a figure holds for half of that on average
 * (docs/HARD-LOAD.md, part 3). */
#define HALF_LIFE (300 * ANVIL_MS)
#define MAX_AGE (1 * ANVIL_SECOND)

gboolean
anvil_upstream_speed_is_valid (guint percent)
{
  return percent > 0 && percent <= ANVIL_MAX_SPEED;
}

void
anvil_upstream_speed_set (anvil_upstream_speed_t *speed, anvil_time_t now, guint percent)
{
  if (anvil_upstream_speed_is_valid (percent))
    *speed = (anvil_upstream_speed_t){ .percent = percent, .named_at = now };
}

static gdouble
named_factor (guint percent)
{
  return (gdouble) percent / ANVIL_USUAL_SPEED;
}

gboolean
anvil_upstream_speed_is_known (const anvil_upstream_speed_t *speed, anvil_time_t now)
{
  return speed->percent > 0 && now - speed->named_at < MAX_AGE;
}

gdouble
anvil_upstream_speed_factor (const anvil_upstream_speed_t *speed, anvil_time_t now)
{
  anvil_time_t age = MAX (now - speed->named_at, 0);

  if (!anvil_upstream_speed_is_known (speed, now))
    return 1;
  return 1 + (named_factor (speed->percent) - 1) * exp2 (-(gdouble) age / (gdouble) HALF_LIFE);
}

gdouble
anvil_upstream_speed_run_factor (gdouble start, guint percent, anvil_time_t duration)
{
  gdouble last;

  if (!anvil_upstream_speed_is_valid (percent))
    return 1;
  last = start > 0 && duration > HALF_LIFE ? (gdouble) HALF_LIFE / (gdouble) duration : 1;
  return named_factor (percent) * last + start * (1 - last);
}
