#pragma once

#include "common-measure.h"
#include "common-policy.h"

/**
 * common_arrivals_t - simulated callers: an open loop of Poisson arrivals, with cached look-ups
 *
 * Times, clients and objects of requests depend on the seed alone, not on earlier decisions.
 */
typedef struct common_arrivals common_arrivals_t;

common_arrivals_t *common_arrivals_new (fake_net_t *net,
                                        common_measure_t *measure,
                                        common_policy_t *policy,
                                        guint32 seed);
void common_arrivals_drop (common_arrivals_t *arrivals);

/** common_arrivals_set_rate - sets the requests per second of a service, over all regions */
void common_arrivals_set_rate (common_arrivals_t *arrivals, guint service, gdouble per_second);

/** common_service_capacity - requests per second that the slots of a service can run
 * @service_time: mean time that a request runs
 */
gdouble
common_service_capacity (const anvil_config_t *config, guint service, anvil_time_t service_time);
