#pragma once

#include <jansson.h>

#include "anvil-upstream-link.h"

/** upstream_topology_t - zones of addresses, and the links between regions */
typedef struct upstream_topology upstream_topology_t;

/**
 * upstream_path_t - network path between a caller and an upstream
 * @request_link: link that requests use, or NULL within a region
 * @response_link: link that responses use, or NULL within a region
 * @delay: one-way delay
 */
typedef struct
{
  upstream_link_t *request_link;
  upstream_link_t *response_link;
  anvil_time_t delay;
} upstream_path_t;

upstream_topology_t *upstream_topology_new (anvil_config_t *config);
void upstream_topology_drop (upstream_topology_t *topology);

/** upstream_topology_set_vms - sets zones of addresses from {"vms":[...]}; FALSE if invalid */
gboolean upstream_topology_set_vms (upstream_topology_t *topology, const json_t *json);

/** upstream_topology_path - path from an address to a zone; an address in no known region has no
 * delay and no links */
upstream_path_t
upstream_topology_path (const upstream_topology_t *topology, guint32 address, guint zone);

/** upstream_topology_link - a directed link by index, NULL after the last */
const upstream_link_t *upstream_topology_link (const upstream_topology_t *topology, guint index);
