#pragma once

#include "common-measure.h"
#include "common-policy.h"

/**
 * common_arrivals_t - callers of a deployment: open loop, with look-ups that they cache
 *
 * What arrives depends on the seed alone, not on what was decided before.
 */
typedef struct common_arrivals common_arrivals_t;

common_arrivals_t *common_arrivals_new (fake_net_t *net,
                                        common_measure_t *measure,
                                        common_policy_t *policy,
                                        guint32 seed);
void common_arrivals_drop (common_arrivals_t *arrivals);

/** common_arrivals_set - requests a second of a service from now on, in all regions together */
void common_arrivals_set (common_arrivals_t *arrivals, guint service, gdouble per_second);

/** common_capacity - most requests a second of a service that its slots can run
 * @service_time: mean
 */
gdouble common_capacity (const anvil_config_t *config, guint service, anvil_time_t service_time);
