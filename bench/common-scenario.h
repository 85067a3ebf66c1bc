#pragma once

#include "common-measure.h"
#include "common-policy.h"

/** common_scenario_t - load and fault of a run */
typedef enum
{
  COMMON_SCENARIO_STEADY_50,
  COMMON_SCENARIO_STEADY_80,
  COMMON_SCENARIO_STEADY_95,
  COMMON_SCENARIO_ENTRY_LOST,
  COMMON_SCENARIO_UPLOAD_BURST,
  COMMON_SCENARIO_SHIFT_COLD,
  COMMON_SCENARIO_STORE_DOWN,
  COMMON_SCENARIO_ROLLING_DRAIN,
  COMMON_SCENARIO_REGION_LOST,
  COMMON_SCENARIO_REPORTS_FROZEN,
  COMMON_N_SCENARIOS,
} common_scenario_t;

/** common_scenario_name - name that is printed, such as "steady 50 %" */
const char *common_scenario_name (common_scenario_t scenario);

/**
 * common_scenario_run - runs a scenario with one strategy
 * @config: the deployment; changed during the run and restored after it
 * @seed: seed of the arrivals, which are the same for all strategies, and of the network
 */
common_results_t common_scenario_run (common_scenario_t scenario,
                                      common_strategy_t strategy,
                                      anvil_config_t *config,
                                      guint32 seed);
