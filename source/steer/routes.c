#include <string.h>

#include "anvil/error.h"
#include "steer/tenants.h"

/* Default limits, common ones of HTTP servers. */
#define DEFAULT_MAX_HEADER_BYTES (16u << 10)
#define DEFAULT_MAX_BODY_BYTES (64u << 20)
#define DEFAULT_HEADER_TIMEOUT (3 * ANVIL_SECOND)
#define DEFAULT_IDLE_TIMEOUT (15 * ANVIL_SECOND)

struct anvil_routes
{
  gint references;
  gint64 version;
  anvil_routes_limits_t limits;
  GArray *routes;
  GArray *services;
  GArray *tenants;
  /* Arrays of route indices by lower-case host, longest prefix first. */
  GHashTable *by_host;
  /* NULL until the table is finished. */
  anvil_tenant_index_t *keys;
};

static void
clear_route (gpointer data)
{
  anvil_route_t *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  for (guint i = 0; i < route->n_services; i++)
    g_free (route->services[i].service);
  for (guint i = 0; i < route->n_regions; i++)
    g_free (route->regions[i]);
}

static void
clear_service (gpointer data)
{
  anvil_service_t *service = data;

  g_free (service->name);
}

static void
clear_tenant (gpointer data)
{
  anvil_tenant_t *tenant = data;

  g_free (tenant->name);
  g_ptr_array_unref (tenant->keys);
  for (guint i = 0; i < tenant->n_regions; i++)
    g_free (tenant->regions[i]);
}

anvil_routes_t *
anvil_routes_new (gint64 version)
{
  anvil_routes_t *routes = g_new0 (anvil_routes_t, 1);

  routes->references = 1;
  routes->version = version;
  routes->limits = (anvil_routes_limits_t){ .max_header_bytes = DEFAULT_MAX_HEADER_BYTES,
                                            .max_body_bytes = DEFAULT_MAX_BODY_BYTES,
                                            .header_timeout = DEFAULT_HEADER_TIMEOUT,
                                            .idle_timeout = DEFAULT_IDLE_TIMEOUT };
  routes->routes = g_array_new (FALSE, TRUE, sizeof (anvil_route_t));
  g_array_set_clear_func (routes->routes, clear_route);
  routes->services = g_array_new (FALSE, TRUE, sizeof (anvil_service_t));
  g_array_set_clear_func (routes->services, clear_service);
  routes->tenants = g_array_new (FALSE, TRUE, sizeof (anvil_tenant_t));
  g_array_set_clear_func (routes->tenants, clear_tenant);
  routes->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref);
  return routes;
}

anvil_routes_t *
anvil_routes_keep (anvil_routes_t *routes)
{
  routes->references++;
  return routes;
}

void
anvil_routes_drop (anvil_routes_t *routes)
{
  if (routes == NULL || --routes->references > 0)
    return;
  g_array_unref (routes->routes);
  g_array_unref (routes->services);
  anvil_tenant_index_drop (routes->keys);
  g_array_unref (routes->tenants);
  g_hash_table_unref (routes->by_host);
  g_free (routes);
}

anvil_route_t *
anvil_routes_add (anvil_routes_t *routes)
{
  g_array_set_size (routes->routes, routes->routes->len + 1);
  return &g_array_index (routes->routes, anvil_route_t, routes->routes->len - 1);
}

anvil_service_t *
anvil_routes_add_service (anvil_routes_t *routes)
{
  g_array_set_size (routes->services, routes->services->len + 1);
  return &g_array_index (routes->services, anvil_service_t, routes->services->len - 1);
}

anvil_tenant_t *
anvil_routes_add_tenant (anvil_routes_t *routes)
{
  anvil_tenant_t *tenant;

  g_array_set_size (routes->tenants, routes->tenants->len + 1);
  tenant = &g_array_index (routes->tenants, anvil_tenant_t, routes->tenants->len - 1);
  tenant->keys = g_ptr_array_new_with_free_func (g_free);
  return tenant;
}

void
anvil_routes_set_limits (anvil_routes_t *routes, const anvil_routes_limits_t *limits)
{
  routes->limits = *limits;
}

gint64
anvil_routes_version (const anvil_routes_t *routes)
{
  return routes->version;
}

const anvil_routes_limits_t *
anvil_routes_limits (const anvil_routes_t *routes)
{
  return &routes->limits;
}

guint
anvil_routes_count (const anvil_routes_t *routes)
{
  return routes->routes->len;
}

const anvil_route_t *
anvil_routes_at (const anvil_routes_t *routes, guint index)
{
  return &g_array_index (routes->routes, anvil_route_t, index);
}

guint
anvil_routes_count_services (const anvil_routes_t *routes)
{
  return routes->services->len;
}

const anvil_service_t *
anvil_routes_service_at (const anvil_routes_t *routes, guint index)
{
  return &g_array_index (routes->services, anvil_service_t, index);
}

const anvil_service_t *
anvil_routes_lookup_service (const anvil_routes_t *routes, anvil_str_t name)
{
  for (guint i = 0; i < routes->services->len; i++)
    {
      const anvil_service_t *service = anvil_routes_service_at (routes, i);

      if (anvil_str_equal (anvil_str (service->name), name))
        return service;
    }
  return NULL;
}

guint
anvil_routes_count_tenants (const anvil_routes_t *routes)
{
  return routes->tenants->len;
}

const anvil_tenant_t *
anvil_routes_tenant_at (const anvil_routes_t *routes, guint index)
{
  return &g_array_index (routes->tenants, anvil_tenant_t, index);
}

const anvil_tenant_t *
anvil_routes_find_tenant (const anvil_routes_t *routes, anvil_str_t name)
{
  return anvil_tenant_index_find (routes->keys, name);
}

const anvil_tenant_t *
anvil_routes_lookup_tenant (const anvil_routes_t *routes, anvil_str_t key)
{
  return anvil_tenant_index_lookup (routes->keys, key);
}

static gboolean
check_services (const anvil_routes_t *routes, const anvil_route_t *route, GError **error)
{
  guint64 total_weight = 0;

  for (guint i = 0; i < route->n_services; i++)
    {
      const char *service = route->services[i].service;

      total_weight += route->services[i].weight;
      if (service != NULL && anvil_routes_lookup_service (routes, anvil_str (service)) != NULL)
        continue;
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "route \"%s\": service \"%s\" is not in the configuration", route->name,
                   service != NULL ? service : "");
      return FALSE;
    }
  if (total_weight > 0)
    return TRUE;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
               "route \"%s\": sum of weights must be greater than 0", route->name);
  return FALSE;
}

static gboolean
check_route (const anvil_routes_t *routes, const anvil_route_t *route, GError **error)
{
  const char *problem = NULL;

  if (route->name == NULL || route->name[0] == '\0')
    problem = "name must not be empty";
  else if (route->host == NULL || route->host[0] == '\0')
    problem = "host must not be empty";
  else if (route->prefix == NULL || !g_str_has_prefix (route->prefix, "/")
           || !g_str_has_suffix (route->prefix, "/"))
    problem = "prefix must begin and end with a slash";
  else if (route->max_attempts == 0)
    problem = "maximum number of attempts must be at least 1";
  else if (route->timeout < 0 || route->target_latency < 0)
    problem = "timeout and target latency must not be negative";
  if (problem == NULL)
    return check_services (routes, route, error);
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "route \"%s\": %s",
               route->name != NULL ? route->name : "", problem);
  return FALSE;
}

static gint
longer_prefix_first (gconstpointer a, gconstpointer b, gpointer data)
{
  const anvil_routes_t *routes = data;
  gsize length_a = strlen (anvil_routes_at (routes, *(const guint *) a)->prefix);
  gsize length_b = strlen (anvil_routes_at (routes, *(const guint *) b)->prefix);

  return length_a < length_b ? 1 : length_a > length_b ? -1 : 0;
}

static void
index_hosts (anvil_routes_t *routes)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < routes->routes->len; i++)
    {
      char *host = g_ascii_strdown (anvil_routes_at (routes, i)->host, -1);
      GArray *indices = g_hash_table_lookup (routes->by_host, host);

      if (indices == NULL)
        {
          indices = g_array_new (FALSE, FALSE, sizeof (guint));
          g_hash_table_insert (routes->by_host, g_strdup (host), indices);
        }
      g_array_append_val (indices, i);
      g_free (host);
    }
  g_hash_table_iter_init (&iter, routes->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_sort_with_data (value, longer_prefix_first, routes);
}

gboolean
anvil_routes_finish (anvil_routes_t *routes, GError **error)
{
  for (guint i = 0; i < routes->services->len; i++)
    {
      const anvil_service_t *service = anvil_routes_service_at (routes, i);

      if (service->name != NULL && service->name[0] != '\0' && service->cold_time >= 0
          && service->cold_per_second >= 0)
        continue;
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "service \"%s\": name must not be empty, and cold start time and rate must not "
                   "be negative",
                   service->name != NULL ? service->name : "");
      return FALSE;
    }
  for (guint i = 0; i < routes->routes->len; i++)
    {
      if (!check_route (routes, anvil_routes_at (routes, i), error))
        return FALSE;
    }
  routes->keys = anvil_tenant_index_new (routes->tenants, error);
  if (routes->keys == NULL)
    return FALSE;
  index_hosts (routes);
  return TRUE;
}

const anvil_route_t *
anvil_routes_match (const anvil_routes_t *routes, anvil_str_t host, anvil_str_t path)
{
  const char *colon = host.length > 0 ? memchr (host.data, ':', host.length) : NULL;
  gsize length = colon != NULL ? (gsize) (colon - host.data) : host.length;
  char *name = g_ascii_strdown (host.length > 0 ? host.data : "", (gssize) length);
  const GArray *indices = g_hash_table_lookup (routes->by_host, name);

  g_free (name);
  for (guint i = 0; indices != NULL && i < indices->len; i++)
    {
      const anvil_route_t *route = anvil_routes_at (routes, g_array_index (indices, guint, i));
      gsize prefix_length = strlen (route->prefix);

      if (prefix_length <= path.length && memcmp (route->prefix, path.data, prefix_length) == 0)
        return route;
    }
  return NULL;
}
