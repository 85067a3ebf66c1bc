#pragma once

#include "tools/anvil-config-session.h"

/**
 * anvil_config_rollout_status_t - how far a generation has got
 * @entries: entries of the platform's list
 * @in_force: those on the generation or a newer one
 * @silent: those that didn't answer
 */
typedef struct
{
  guint entries;
  guint in_force;
  guint silent;
} anvil_config_rollout_status_t;

/**
 * anvil_config_wait_in_force - asks the entries until all are on a generation
 * @patience: longest time, microseconds
 * @result: the last count
 *
 * Return: FALSE with @error if the list of entries can't be had.
 */
gboolean anvil_config_wait_in_force (anvil_config_session_t *session,
                                     guint64 generation,
                                     anvil_time_t patience,
                                     anvil_config_rollout_status_t *result,
                                     GError **error);
