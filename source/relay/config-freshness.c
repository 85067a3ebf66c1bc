#include "relay/config-freshness.h"

#include "anvil/log.h"
#include "steer/config-proof.h"

anvil_time_t
anvil_config_freshness_age (const anvil_config_freshness_t *freshness)
{
  /* Requests are answered before the store is read for the first time. */
  return freshness->watch != NULL
             ? anvil_relay_watch_config_proof_age (freshness->watch, anvil_clock_boot ())
             : -1;
}

static gboolean
is_strict (const anvil_config_freshness_t *freshness)
{
  return freshness->settings->strict_revocation && freshness->has_tenants;
}

gboolean
anvil_config_freshness_allows_keys (const anvil_config_freshness_t *freshness)
{
  /* The store may have lost a newer configuration, which a peer would tell of. */
  return !is_strict (freshness)
         || (anvil_members_self (freshness->members)->knows_peers
             && anvil_config_proof_allows_keys (anvil_config_freshness_age (freshness),
                                                freshness->settings->revoke_time));
}

gboolean
anvil_config_freshness_is_ready (const anvil_config_freshness_t *freshness)
{
  return !is_strict (freshness)
         || anvil_config_proof_is_fresh (anvil_config_freshness_age (freshness),
                                         freshness->settings->revoke_time);
}

void
anvil_config_freshness_describe (const anvil_config_freshness_t *freshness,
                                 anvil_member_info_t *info)
{
  if (freshness->watch != NULL)
    info->config_version = anvil_relay_watch_config_version (freshness->watch);
  info->config_proof_age = anvil_config_freshness_age (freshness);
}

void
anvil_config_freshness_tick (anvil_config_freshness_t *freshness)
{
  const gboolean fresh = anvil_config_freshness_is_ready (freshness);
  const anvil_time_t age = anvil_config_freshness_age (freshness);

  anvil_config_freshness_describe (freshness, anvil_members_self (freshness->members));
  anvil_members_set_revoke_time (freshness->members,
                                 is_strict (freshness) ? freshness->settings->revoke_time : 0);
  if (fresh == freshness->was_fresh)
    return;
  freshness->was_fresh = fresh;
  anvil_log (fresh ? ANVIL_LOG_NOTICE : ANVIL_LOG_WARNING, "config",
             "%s version=%" G_GINT64_FORMAT " proof_age_ms=%" G_GINT64_FORMAT
             " revoke_ms=%" G_GINT64_FORMAT,
             fresh ? "configuration is known to be the newest"
                   : "configuration may be outdated, callers with keys are sent elsewhere",
             anvil_relay_watch_config_version (freshness->watch), age >= 0 ? age / ANVIL_MS : -1,
             freshness->settings->revoke_time / ANVIL_MS);
  /* Look-ups at peers depend on it. */
  anvil_members_request_pings (freshness->members);
}
