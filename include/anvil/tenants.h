#pragma once

#include "anvil/routes.h"

/*
 * Tenants: the groups of callers that share a key, a rank and a quota.
 *
 * Tenants belong to a routing table; see anvil_routes_add_tenant(). A caller's
 * key selects its tenant. Keys are never logged.
 */

/**
 * anvil_tenant_t - one tenant; its strings belong to the routing table
 * @name: name in the configuration, in logs and for upstreams; a valid header value
 * @keys: keys of its callers
 * @has_priority: whether @priority is set; otherwise it ranks with the route
 * @priority: 0 is the most urgent; goes before the route's
 * @rate: requests a second over all entries; 0 for no limit
 * @burst: requests that may come at once beyond that
 * @regions: regions that may serve it, all if empty
 */
typedef struct
{
  char *name;
  GPtrArray *keys;
  gboolean has_priority;
  guint priority;
  gdouble rate;
  gdouble burst;
  char *regions[ANVIL_MAX_ROUTE_REGIONS];
  guint n_regions;
} anvil_tenant_t;

/** anvil_routes_add_tenant - adds a tenant to be filled in; borrowed until the next call */
anvil_tenant_t *anvil_routes_add_tenant (anvil_routes_t *routes);

/** anvil_routes_count_tenants - 0 if callers need no key */
guint anvil_routes_count_tenants (const anvil_routes_t *routes);
const anvil_tenant_t *anvil_routes_tenant_at (const anvil_routes_t *routes, guint index);

/** anvil_routes_lookup_tenant - the tenant that holds a key, or NULL; its time doesn't depend on
 * how much of a key matches. The table must be finished */
const anvil_tenant_t *anvil_routes_lookup_tenant (const anvil_routes_t *routes, anvil_str_t key);

/** anvil_routes_find_tenant - a tenant by its name, or NULL; the table must be finished */
const anvil_tenant_t *anvil_routes_find_tenant (const anvil_routes_t *routes, anvil_str_t name);
