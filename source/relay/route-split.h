#pragma once

#include "anvil/routes.h"

/**
 * anvil_route_split_t - spreads the requests of a route over its services by weight
 *
 * Smooth weighted round robin: over any sequence of requests, no service falls
 * more than one request behind its share.
 */
typedef struct anvil_route_split anvil_route_split_t;

anvil_route_split_t *anvil_route_split_new (void);
void anvil_route_split_drop (anvil_route_split_t *split);

/** anvil_route_split_next - index of the service that gets the next request of @route */
guint anvil_route_split_next (anvil_route_split_t *split, const anvil_route_t *route);

/** anvil_route_split_reset - discards all credits, since weights may have changed */
void anvil_route_split_reset (anvil_route_split_t *split);
