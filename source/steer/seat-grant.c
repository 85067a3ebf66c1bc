#include "steer/seat-grant.h"

gboolean
anvil_grant_active (const anvil_grant_t *grant, anvil_time_t now)
{
  return grant->grantee != ANVIL_NO_NODE && now < grant->expires_at + ANVIL_CLOCK_DRIFT_MARGIN;
}

gboolean
anvil_grant_try_acquire (anvil_grant_t *grant,
                         anvil_time_t now,
                         anvil_node_t user,
                         guint64 incarnation,
                         anvil_time_t asked_at,
                         gboolean unused)
{
  gboolean same_node = grant->grantee == user;
  gboolean same_process = same_node && grant->incarnation == incarnation;

  if (same_node && incarnation < grant->incarnation)
    return FALSE;
  /* A question from before the last one or before a release arrives late. */
  if (same_process && asked_at < grant->requested_at)
    return FALSE;
  if (!same_node && anvil_grant_active (grant, now))
    return FALSE;

  if (!same_process)
    grant->exclusive_since = unused ? 0 : asked_at;
  grant->grantee = user;
  grant->incarnation = incarnation;
  grant->requested_at = asked_at;
  grant->expires_at = now + ANVIL_GRANT_TERM;
  return TRUE;
}

void
anvil_grant_release (anvil_grant_t *grant,
                     anvil_time_t now,
                     anvil_node_t user,
                     guint64 incarnation,
                     anvil_time_t released_at)
{
  if (grant->grantee != user || grant->incarnation != incarnation
      || grant->requested_at > released_at)
    return;
  grant->requested_at = released_at + 1;
  grant->expires_at = MIN (grant->expires_at, now - ANVIL_CLOCK_DRIFT_MARGIN);
}
