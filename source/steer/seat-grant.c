#include "steer/seat-grant.h"

gboolean
anvil_seat_grant_active (const anvil_seat_grant_t *grant, anvil_time_t now)
{
  return grant->grantee != ANVIL_NO_NODE && now < grant->expires_at + ANVIL_CLOCK_DRIFT_MARGIN;
}

gboolean
anvil_seat_grant_try_acquire (anvil_seat_grant_t *grant,
                              anvil_time_t now,
                              anvil_node_t node,
                              guint64 incarnation,
                              anvil_time_t requested_at,
                              gboolean never_granted)
{
  gboolean same_node = grant->grantee == node;
  gboolean same_process = same_node && grant->incarnation == incarnation;

  if (same_node && incarnation < grant->incarnation)
    return FALSE;
  /* A late request, sent before the latest one or before a release. */
  if (same_process && requested_at < grant->requested_at)
    return FALSE;
  if (!same_node && anvil_seat_grant_active (grant, now))
    return FALSE;

  if (!same_process)
    grant->exclusive_since = never_granted ? 0 : requested_at;
  grant->grantee = node;
  grant->incarnation = incarnation;
  grant->requested_at = requested_at;
  grant->expires_at = now + ANVIL_GRANT_TERM;
  return TRUE;
}

void
anvil_seat_grant_release (anvil_seat_grant_t *grant,
                          anvil_time_t now,
                          anvil_node_t node,
                          guint64 incarnation,
                          anvil_time_t released_at)
{
  if (grant->grantee != node || grant->incarnation != incarnation
      || grant->requested_at > released_at)
    return;
  grant->requested_at = released_at + 1;
  grant->expires_at = MIN (grant->expires_at, now - ANVIL_CLOCK_DRIFT_MARGIN);
}
