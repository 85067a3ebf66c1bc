#pragma once

#include "anvil/config.h"

/** common_decision_cost_t - processor time of one submit and finish, nanoseconds */
typedef struct
{
  gdouble core_ns;
  gdouble random_ns;
} common_decision_cost_t;

/** common_decision_cost - times the core and a random choice in one run, on a deployment of one
 * seat
 */
common_decision_cost_t common_decision_cost (anvil_config_t *config, guint n_decisions);
