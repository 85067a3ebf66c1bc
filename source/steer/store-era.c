#include "steer/store-era.h"

#define REPORT_PERIOD (1 * ANVIL_SECOND)

store_era_verdict_t
store_era_hear (store_era_t *state, anvil_time_t now, guint64 era)
{
  const gboolean first = !state->known;

  if (state->known && era < state->era)
    return STORE_ERA_OUTDATED;
  state->known = TRUE;
  if (era == state->era)
    return STORE_ERA_PRESENT;
  state->era = era;
  /* Nothing was read in an earlier one. */
  if (first)
    return STORE_ERA_PRESENT;
  state->risen_at = now;
  state->n_rises++;
  return STORE_ERA_RISEN;
}

gboolean
store_era_hear_from_peer (store_era_t *state, anvil_time_t now, guint64 era)
{
  return era > state->era && store_era_hear (state, now, era) == STORE_ERA_RISEN;
}

gboolean
store_era_may_report (store_era_t *state, anvil_time_t now)
{
  if (state->reported_at != 0 && now - state->reported_at < REPORT_PERIOD)
    return FALSE;
  state->reported_at = now;
  return TRUE;
}

gboolean
store_era_returning (const store_era_t *state, anvil_time_t now)
{
  return state->n_rises > 0 && now - state->risen_at < ANVIL_STORE_RETURN_TIME;
}
