#pragma once

#include <jansson.h>

#include "anvil-upstream-link.h"

/** upstream_topology_t - where addresses are, and the links between regions */
typedef struct upstream_topology upstream_topology_t;

/**
 * upstream_path_t - the way between a caller and an upstream
 * @request_link: link that requests take, or NULL within a region
 * @response_link: link that answers take, or NULL
 * @delay: one way
 */
typedef struct
{
  upstream_link_t *request_link;
  upstream_link_t *response_link;
  anvil_time_t delay;
} upstream_path_t;

upstream_topology_t *upstream_topology_new (anvil_config_t *config);
void upstream_topology_drop (upstream_topology_t *places);

/** upstream_topology_set_vms - zones of addresses by {"vms":[...]}; FALSE if it is malformed */
gboolean upstream_topology_set_vms (upstream_topology_t *places, const json_t *json);

/** upstream_topology_path - the way from an address to a zone; an unknown address is next door */
upstream_path_t
upstream_topology_path (const upstream_topology_t *places, guint32 address, guint zone);

/** upstream_topology_link - a directed link by number, NULL past the last */
const upstream_link_t *upstream_topology_link (const upstream_topology_t *places, guint index);
