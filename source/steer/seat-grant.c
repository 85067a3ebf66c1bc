#include "steer/seat-grant.h"

gboolean
anvil_grant_live (const anvil_grant_t *grant, anvil_time_t now)
{
  return grant->user != ANVIL_NO_NODE && now < grant->until + ANVIL_CLOCK_GUARD;
}

gboolean
anvil_grant_give (anvil_grant_t *grant,
                  anvil_time_t now,
                  anvil_node_t user,
                  guint64 incarnation,
                  anvil_time_t asked_at,
                  gboolean unused)
{
  gboolean same_node = grant->user == user;
  gboolean same_process = same_node && grant->incarnation == incarnation;

  if (same_node && incarnation < grant->incarnation)
    return FALSE;
  /* A question from before the last one or before a release arrives late. */
  if (same_process && asked_at < grant->asked_at)
    return FALSE;
  if (!same_node && anvil_grant_live (grant, now))
    return FALSE;

  if (!same_process)
    grant->since = unused ? 0 : asked_at;
  grant->user = user;
  grant->incarnation = incarnation;
  grant->asked_at = asked_at;
  grant->until = now + ANVIL_GRANT_TERM;
  return TRUE;
}

void
anvil_grant_release (anvil_grant_t *grant,
                     anvil_time_t now,
                     anvil_node_t user,
                     guint64 incarnation,
                     anvil_time_t released_at)
{
  if (grant->user != user || grant->incarnation != incarnation || grant->asked_at > released_at)
    return;
  grant->asked_at = released_at + 1;
  grant->until = MIN (grant->until, now - ANVIL_CLOCK_GUARD);
}
