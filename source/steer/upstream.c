#include "steer/upstream.h"

#include <math.h>

void
anvil_upstream_answered (anvil_upstream_state_t *upstream, anvil_time_t now, anvil_time_t latency)
{
  upstream->failures = 0;
  upstream->ejections = 0;
  upstream->latency = upstream->latency == 0 ? latency : (upstream->latency * 7 + latency) / 8;
  upstream->latency_at = now;
}

gboolean
anvil_upstream_failed (anvil_upstream_state_t *upstream)
{
  upstream->failures++;
  return upstream->failures >= ANVIL_EJECT_FAILURES;
}

void
anvil_upstream_eject (anvil_upstream_state_t *upstream, anvil_time_t now)
{
  anvil_time_t time = ANVIL_EJECT_TIME << MIN (upstream->ejections, 4u);

  upstream->ejected_until = now + MIN (time, ANVIL_EJECT_LONGEST);
  upstream->ejections++;
  /* One more failure is enough when it comes back. */
  upstream->failures = ANVIL_EJECT_FAILURES - 1;
}

anvil_time_t
anvil_upstream_expected (const anvil_upstream_state_t *upstream,
                         anvil_time_t now,
                         anvil_time_t typical)
{
  gdouble weight;

  if (upstream->latency == 0)
    return typical;
  weight = exp2 (-(gdouble) (now - upstream->latency_at) / ANVIL_LATENCY_HALF_LIFE);
  return (anvil_time_t) (weight * upstream->latency + (1 - weight) * typical);
}

guint
anvil_upstream_warm_slots (const anvil_upstream_state_t *upstream, anvil_time_t now)
{
  anvil_time_t age = now - upstream->warm_since;

  if (upstream->warm_since == 0 || age >= ANVIL_WARM_TIME)
    return upstream->n_slots;
  return 1 + (guint) (upstream->n_slots * age / ANVIL_WARM_TIME);
}
