#pragma once

#include <jansson.h>

#include "anvil-upstream-link.h"

/** upstream_places_t - where addresses are, and the links between regions */
typedef struct upstream_places upstream_places_t;

/**
 * upstream_path_t - the way between a caller and an upstream
 * @there: link that requests take, or NULL within a region
 * @back: link that answers take, or NULL
 * @delay: one way
 */
typedef struct
{
  upstream_link_t *there;
  upstream_link_t *back;
  anvil_time_t delay;
} upstream_path_t;

upstream_places_t *upstream_places_new (anvil_config_t *config);
void upstream_places_drop (upstream_places_t *places);

/** upstream_places_set_vms - zones of addresses by {"vms":[...]}; FALSE if it is malformed */
gboolean upstream_places_set_vms (upstream_places_t *places, const json_t *json);

/** upstream_places_path - the way from an address to a zone; an unknown address is next door */
upstream_path_t upstream_places_path (const upstream_places_t *places, guint32 address, guint zone);

/** upstream_places_link - a directed link by number, NULL past the last */
const upstream_link_t *upstream_places_link (const upstream_places_t *places, guint index);
