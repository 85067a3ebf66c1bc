#pragma once

#include "anvil/routes.h"

/**
 * anvil_route_split_t - spreads the requests of a route over its services by weight
 *
 * Each request goes to a service with the probability of its weight, the first one as well, so the
 * shares hold over many entries with a few requests each, and across changes of the weights. Over
 * the requests of one entry a service's share is off by less than one request for itself and for
 * each service before it.
 */
typedef struct anvil_route_split anvil_route_split_t;

anvil_route_split_t *anvil_route_split_new (void);
void anvil_route_split_drop (anvil_route_split_t *split);

/** anvil_route_split_next - index of the service that gets the next request of @route */
guint anvil_route_split_next (anvil_route_split_t *split, const anvil_route_t *route);

/** anvil_route_split_limit - forgets where the routes stand if these are more than twice as many as
 * there are now */
void anvil_route_split_limit (anvil_route_split_t *split, guint n_routes);
