#pragma once

#include "anvil-upstream-context.h"

/** upstream_fleet_t - all upstreams of a deployment */
typedef struct upstream_fleet upstream_fleet_t;

/** upstream_fleet_open - starts all upstreams; NULL with @error if an address can't be bound */
upstream_fleet_t *upstream_fleet_open (upstream_context_t *context, GError **error);
void upstream_fleet_close (upstream_fleet_t *fleet);

/**
 * upstream_fleet_set_faults - sets the faults of the upstreams whose names match
 * @json: faults by pattern with * and ?, {"NAME":{...},"galeria-*":{...}}
 *
 * Return: FALSE if a pattern matches no upstream or a fault is invalid; the faults
 * before it stay set.
 */
gboolean upstream_fleet_set_faults (upstream_fleet_t *fleet, const json_t *json);

/** upstream_fleet_report - counters of the upstreams, regions and links; a new reference */
json_t *upstream_fleet_report (const upstream_fleet_t *fleet);
