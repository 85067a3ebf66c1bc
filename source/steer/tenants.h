#pragma once

#include "anvil/tenants.h"

/*
 * Index of the keys of a routing table's tenants, and their validation.
 */

typedef struct anvil_tenant_index anvil_tenant_index_t;

/**
 * anvil_tenant_index_new - checks tenants and indexes their keys
 * @tenants: anvil_tenant_t; borrowed, and must not change as long as the index exists
 *
 * Return: NULL with @error naming the field and the tenant, never a key, if a tenant is invalid,
 * two have one name, or a key occurs twice.
 */
anvil_tenant_index_t *anvil_tenant_index_new (const GArray *tenants, GError **error);
void anvil_tenant_index_drop (anvil_tenant_index_t *index);

/** anvil_tenant_index_lookup - the tenant that holds a key, or NULL; see
 * anvil_routes_lookup_tenant() */
const anvil_tenant_t *anvil_tenant_index_lookup (const anvil_tenant_index_t *index,
                                                 anvil_str_t key);

/** anvil_tenant_index_find - a tenant by its name, or NULL */
const anvil_tenant_t *anvil_tenant_index_find (const anvil_tenant_index_t *index, anvil_str_t name);
