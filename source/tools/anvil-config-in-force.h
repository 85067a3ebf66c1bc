#pragma once

#include "tools/anvil-config-session.h"

/**
 * anvil_config_rollout_status_t - on how many entries a generation is in force
 * @entries: entries on the platform's VM list
 * @in_force: entries that use the generation or a newer one
 * @silent: entries that didn't respond
 */
typedef struct
{
  guint entries;
  guint in_force;
  guint silent;
} anvil_config_rollout_status_t;

/**
 * anvil_config_wait_in_force - polls the entries until all of them use a generation
 * @timeout: longest time to poll, microseconds
 * @status: result; counts of the last poll
 *
 * Return: FALSE with @error if the platform's VM list can't be read.
 */
gboolean anvil_config_wait_in_force (anvil_config_session_t *session,
                                     guint64 generation,
                                     anvil_time_t timeout,
                                     anvil_config_rollout_status_t *status,
                                     GError **error);
