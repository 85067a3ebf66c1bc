#include "anvil-upstream-topology.h"

#include <arpa/inet.h>

#define DELAY_BETWEEN_ZONES ANVIL_MS

struct upstream_topology
{
  anvil_config_t *config;
  /* Indices of zones by address. */
  GHashTable *zones;
  upstream_link_t *links;
};

upstream_topology_t *
upstream_topology_new (anvil_config_t *config)
{
  upstream_topology_t *topology = g_new0 (upstream_topology_t, 1);

  topology->config = anvil_config_keep (config);
  topology->zones = g_hash_table_new (NULL, NULL);
  topology->links = g_new0 (upstream_link_t, config->n_links + 1);
  for (guint i = 0; i < config->n_links; i++)
    upstream_link_init (&topology->links[i], &config->links[i]);
  return topology;
}

void
upstream_topology_drop (upstream_topology_t *topology)
{
  if (topology == NULL)
    return;
  g_hash_table_unref (topology->zones);
  g_free (topology->links);
  anvil_config_drop (topology->config);
  g_free (topology);
}

static gboolean
set_vm (upstream_topology_t *topology, const json_t *vm)
{
  const char *address = json_string_value (json_object_get (vm, "address"));
  const char *name = json_string_value (json_object_get (vm, "zone"));
  struct in_addr parsed;
  guint zone;

  if (address == NULL || name == NULL || inet_pton (AF_INET, address, &parsed) != 1)
    return FALSE;
  zone = anvil_config_lookup_zone (topology->config, anvil_str (name));
  if (zone == ANVIL_NO_INDEX)
    return FALSE;
  g_hash_table_insert (topology->zones, GUINT_TO_POINTER (ntohl (parsed.s_addr)),
                       GUINT_TO_POINTER (zone));
  return TRUE;
}

gboolean
upstream_topology_set_vms (upstream_topology_t *topology, const json_t *json)
{
  const json_t *list = json_object_get (json, "vms");
  size_t index;
  json_t *vm;

  if (!json_is_array (list))
    return FALSE;
  json_array_foreach (list, index, vm)
  {
    if (!set_vm (topology, vm))
      return FALSE;
  }
  return TRUE;
}

/* Finds the zone and region of an address; ANVIL_NO_INDEX for an unknown one. */
static void
locate_address (const upstream_topology_t *topology, guint32 address, guint *zone, guint *region)
{
  gpointer known_zone;

  *zone = ANVIL_NO_INDEX;
  if (g_hash_table_lookup_extended (topology->zones, GUINT_TO_POINTER (address), NULL, &known_zone))
    {
      *zone = GPOINTER_TO_UINT (known_zone);
      *region = topology->config->zones[*zone].region;
      return;
    }
  *region = anvil_config_lookup_client_region (topology->config, address);
}

static upstream_link_t *
link_between (const upstream_topology_t *topology, guint from, guint to)
{
  guint index = anvil_config_lookup_link (topology->config, from, to);

  return index != ANVIL_NO_INDEX ? &topology->links[index] : NULL;
}

upstream_path_t
upstream_topology_path (const upstream_topology_t *topology, guint32 address, guint zone)
{
  guint to_region = topology->config->zones[zone].region;
  upstream_path_t path = { 0 };
  guint from_zone;
  guint from_region;

  locate_address (topology, address, &from_zone, &from_region);
  if (from_region == ANVIL_NO_INDEX || from_zone == zone)
    return path;
  path.delay = DELAY_BETWEEN_ZONES;
  if (from_region == to_region)
    return path;
  path.request_link = link_between (topology, from_region, to_region);
  path.response_link = link_between (topology, to_region, from_region);
  if (path.request_link != NULL)
    path.delay = path.request_link->delay;
  return path;
}

const upstream_link_t *
upstream_topology_link (const upstream_topology_t *topology, guint index)
{
  return index < topology->config->n_links ? &topology->links[index] : NULL;
}
