#pragma once

#include "fake-net.h"

/**
 * common_way_t - the ways to decide that are measured against each other
 * @COMMON_WAY_RANDOM: every entry alone, a random upstream of the half
 * @COMMON_WAY_TWO_CHOICES: the one of two random upstreams that reported less load
 * @COMMON_WAY_STATIC: the decision core with shares by seat, without loans
 * @COMMON_WAY_LOANS: the decision core
 * @COMMON_WAY_DISPATCHER: one dispatcher that knows everything at once; the bound
 */
typedef enum
{
  COMMON_WAY_RANDOM,
  COMMON_WAY_TWO_CHOICES,
  COMMON_WAY_STATIC,
  COMMON_WAY_LOANS,
  COMMON_WAY_DISPATCHER,
  COMMON_N_WAYS,
} common_way_t;

/** common_way_name - "a random" and so on */
const char *common_way_name (common_way_t way);

/** common_way_is_core - whether the decision core decides */
gboolean common_way_is_core (common_way_t way);

/** common_policy_t - the ways that aren't the core */
typedef struct common_policy common_policy_t;

common_policy_t *common_policy_new (common_way_t way, const anvil_config_t *config, guint32 seed);
void common_policy_drop (common_policy_t *policy);

/** common_policy_start - gives it the world that it decides for */
void common_policy_start (common_policy_t *policy, fake_net_t *net);

/**
 * common_policy_region - region whose entries a caller should ask
 *
 * The dispatcher sends callers to where a slot is free, their own region first;
 * for the others it is the callers' own.
 */
guint
common_policy_region (common_policy_t *policy, const anvil_request_t *request, guint caller_region);

/** common_policy_record - hears the history; only the dispatcher makes use of it at once */
void common_policy_record (common_policy_t *policy, const fake_record_t *record);

/** common_policy_shift - the share of clients that have moved to each shift's receiving half */
void common_policy_shift (common_policy_t *policy, guint shift, gdouble percent);

/** common_policy - callbacks for a fake_net_t; the context is the policy */
extern const fake_policy_t common_policy;
