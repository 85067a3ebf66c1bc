#pragma once

#include "anvil-upstream-context.h"

/** upstream_fleet_t - every upstream of a deployment */
typedef struct upstream_fleet upstream_fleet_t;

/** upstream_fleet_open - listens for all of them; NULL with @error if an address can't be had */
upstream_fleet_t *upstream_fleet_open (upstream_context_t *context, GError **error);
void upstream_fleet_close (upstream_fleet_t *fleet);

/**
 * upstream_fleet_set_faults - {"NAME":{...},"galeria-*":{...}}, patterns with * and ?
 *
 * Return: FALSE if a pattern names no upstream or a fault is malformed; those
 * before it are in force.
 */
gboolean upstream_fleet_set_faults (upstream_fleet_t *fleet, const json_t *json);

/** upstream_fleet_report - what the upstreams, regions and links have seen; a new reference */
json_t *upstream_fleet_report (const upstream_fleet_t *fleet);
