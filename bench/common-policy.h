#pragma once

#include "fake-net.h"

/**
 * common_strategy_t - steering strategies that are compared
 * @COMMON_STRATEGY_RANDOM: each entry by itself chooses a random upstream of the half
 * @COMMON_STRATEGY_TWO_CHOICES: each entry takes the less loaded of two random upstreams
 * @COMMON_STRATEGY_STATIC: the decision core with fixed shares for each seat and no loans
 * @COMMON_STRATEGY_LOANS: the decision core
 * @COMMON_STRATEGY_DISPATCHER: a central dispatcher that knows all state, as the upper bound
 */
typedef enum
{
  COMMON_STRATEGY_RANDOM,
  COMMON_STRATEGY_TWO_CHOICES,
  COMMON_STRATEGY_STATIC,
  COMMON_STRATEGY_LOANS,
  COMMON_STRATEGY_DISPATCHER,
  COMMON_N_STRATEGIES,
} common_strategy_t;

/** common_strategy_name - name that is printed, such as "a random" */
const char *common_strategy_name (common_strategy_t strategy);

/** common_strategy_uses_core - whether the decision core implements the strategy */
gboolean common_strategy_uses_core (common_strategy_t strategy);

/** common_policy_t - implementation of a strategy that doesn't use the decision core */
typedef struct common_policy common_policy_t;

common_policy_t *
common_policy_new (common_strategy_t strategy, const anvil_config_t *config, guint32 seed);
void common_policy_drop (common_policy_t *policy);

/** common_policy_set_net - sets the network; called once before the first request */
void common_policy_set_net (common_policy_t *policy, fake_net_t *net);

/**
 * common_policy_choose_region - region to whose entries a caller sends a request
 *
 * The dispatcher prefers the caller's region if it has a free slot, then the region with the most
 * free slots. With the other strategies it is the caller's region.
 */
guint common_policy_choose_region (common_policy_t *policy,
                                   const anvil_request_t *request,
                                   guint caller_region);

/** common_policy_record - updates running requests; the dispatcher dispatches waiting ones */
void common_policy_record (common_policy_t *policy, const fake_record_t *record);

/** common_policy_set_shift_percent - sets the percentage of clients that a shift has moved
 * so far */
void common_policy_set_shift_percent (common_policy_t *policy, guint shift, gdouble percent);

/** common_policy - callbacks for a fake_net_t; their context is a common_policy_t */
extern const fake_policy_t common_policy;
