#pragma once

#include "anvil/routes.h"

/**
 * anvil_route_split_t - spreads the requests of split routes over their services
 *
 * Keeps each part's share exact over any run of requests, whatever their order:
 * a part's deficit never exceeds one request.
 */
typedef struct anvil_route_split anvil_route_split_t;

anvil_route_split_t *anvil_route_split_new (void);
void anvil_route_split_drop (anvil_route_split_t *split);

/** anvil_route_split_next - index of the part that serves the next request of @route */
guint anvil_route_split_next (anvil_route_split_t *split, const anvil_route_t *route);

/** anvil_route_split_forget - counts begin anew, for other weights */
void anvil_route_split_forget (anvil_route_split_t *split);
