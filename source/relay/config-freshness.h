#pragma once

#include "anvil/members.h"
#include "relay/relay-settings.h"
#include "relay/relay-watch.h"

/*
 * Whether the configuration in force is new enough to judge keys, where the settings ask for strict
 * revocation; see steer/config-proof.h. Otherwise it always is.
 */

/**
 * anvil_config_freshness_t - set the pointers before any use; all borrowed
 * @has_tenants: the configuration in force has tenants
 * @was_fresh: what was logged last
 */
typedef struct
{
  const anvil_relay_settings_t *settings;
  const anvil_relay_watch_t *watch;
  anvil_members_t *members;
  gboolean has_tenants;
  gboolean was_fresh;
} anvil_config_freshness_t;

/** anvil_config_freshness_age - age of the proof, microseconds; negative if there is none */
anvil_time_t anvil_config_freshness_age (const anvil_config_freshness_t *freshness);

/** anvil_config_freshness_allows_keys - whether keys may be judged now */
gboolean anvil_config_freshness_allows_keys (const anvil_config_freshness_t *freshness);

/** anvil_config_freshness_is_ready - whether callers should be sent here */
gboolean anvil_config_freshness_is_ready (const anvil_config_freshness_t *freshness);

/** anvil_config_freshness_describe - names the version in force and the age of its proof, both as
 * of now, in the description that is about to be sent to a peer */
void anvil_config_freshness_describe (const anvil_config_freshness_t *freshness,
                                      anvil_member_info_t *info);

/** anvil_config_freshness_tick - applies the settings to look-ups, and logs a change */
void anvil_config_freshness_tick (anvil_config_freshness_t *freshness);
