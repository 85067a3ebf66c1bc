#include "steer/upstream.h"

#include <math.h>

void
anvil_upstream_record_response (anvil_upstream_state_t *upstream,
                                anvil_time_t now,
                                anvil_time_t latency)
{
  upstream->consecutive_failures = 0;
  upstream->consecutive_ejections = 0;
  upstream->latency = upstream->latency == 0 ? latency : (upstream->latency * 7 + latency) / 8;
  upstream->latency_at = now;
}

gboolean
anvil_upstream_record_failure (anvil_upstream_state_t *upstream)
{
  upstream->consecutive_failures++;
  return upstream->consecutive_failures >= ANVIL_EJECT_FAILURES;
}

void
anvil_upstream_eject (anvil_upstream_state_t *upstream, anvil_time_t now)
{
  anvil_time_t duration = ANVIL_EJECT_TIME << MIN (upstream->consecutive_ejections, 4u);

  upstream->ejected_until = now + MIN (duration, ANVIL_EJECT_MAX_TIME);
  upstream->consecutive_ejections++;
  /* After the ejection, one more failure is enough to eject it again. */
  upstream->consecutive_failures = ANVIL_EJECT_FAILURES - 1;
}

anvil_time_t
anvil_upstream_expected_latency (const anvil_upstream_state_t *upstream,
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
anvil_upstream_warmup_slots (const anvil_upstream_state_t *upstream, anvil_time_t now)
{
  anvil_time_t elapsed = now - upstream->warmup_started_at;

  if (upstream->warmup_started_at == 0 || elapsed >= ANVIL_WARMUP_TIME)
    return upstream->n_slots;
  return 1 + (guint) (upstream->n_slots * elapsed / ANVIL_WARMUP_TIME);
}
