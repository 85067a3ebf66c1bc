#pragma once

#include "anvil/config.h"

/** common_decision_cost_t - mean time to submit and finish a request, in nanoseconds
 * @core_ns: by the decision core
 * @random_ns: by a random choice, as the baseline
 */
typedef struct
{
  gdouble core_ns;
  gdouble random_ns;
} common_decision_cost_t;

/** common_decision_cost - times the decision core and a random choice, with a single seat */
common_decision_cost_t common_decision_cost (anvil_config_t *config, guint n_decisions);
