#include "anvil-upstream-topology.h"

#include <arpa/inet.h>

#define DELAY_BETWEEN_ZONES ANVIL_MS

struct upstream_topology
{
  anvil_config_t *config;
  GHashTable *zones;
  upstream_link_t *links;
};

upstream_topology_t *
upstream_topology_new (anvil_config_t *config)
{
  upstream_topology_t *places = g_new0 (upstream_topology_t, 1);

  places->config = anvil_config_keep (config);
  places->zones = g_hash_table_new (NULL, NULL);
  places->links = g_new0 (upstream_link_t, config->n_links + 1);
  for (guint i = 0; i < config->n_links; i++)
    upstream_link_init (&places->links[i], &config->links[i]);
  return places;
}

void
upstream_topology_drop (upstream_topology_t *places)
{
  if (places == NULL)
    return;
  g_hash_table_unref (places->zones);
  g_free (places->links);
  anvil_config_drop (places->config);
  g_free (places);
}

static gboolean
set_vm (upstream_topology_t *places, const json_t *vm)
{
  const char *address = json_string_value (json_object_get (vm, "address"));
  const char *name = json_string_value (json_object_get (vm, "zone"));
  struct in_addr parsed;
  guint zone;

  if (address == NULL || name == NULL || inet_pton (AF_INET, address, &parsed) != 1)
    return FALSE;
  zone = anvil_config_lookup_zone (places->config, anvil_str (name));
  if (zone == ANVIL_NONE)
    return FALSE;
  g_hash_table_insert (places->zones, GUINT_TO_POINTER (ntohl (parsed.s_addr)),
                       GUINT_TO_POINTER (zone));
  return TRUE;
}

gboolean
upstream_topology_set_vms (upstream_topology_t *places, const json_t *json)
{
  const json_t *list = json_object_get (json, "vms");
  size_t index;
  json_t *vm;

  if (!json_is_array (list))
    return FALSE;
  json_array_foreach (list, index, vm)
  {
    if (!set_vm (places, vm))
      return FALSE;
  }
  return TRUE;
}

/* Zone and region of an address; ANVIL_NONE for what isn't known. */
static void
locate (const upstream_topology_t *places, guint32 address, guint *zone, guint *region)
{
  gpointer found;

  *zone = ANVIL_NONE;
  if (g_hash_table_lookup_extended (places->zones, GUINT_TO_POINTER (address), NULL, &found))
    {
      *zone = GPOINTER_TO_UINT (found);
      *region = places->config->zones[*zone].region;
      return;
    }
  *region = anvil_config_lookup_client (places->config, address);
}

static upstream_link_t *
link_between (const upstream_topology_t *places, guint from, guint to)
{
  guint index = anvil_config_lookup_link (places->config, from, to);

  return index != ANVIL_NONE ? &places->links[index] : NULL;
}

upstream_path_t
upstream_topology_path (const upstream_topology_t *places, guint32 address, guint zone)
{
  guint region = places->config->zones[zone].region;
  upstream_path_t path = { 0 };
  guint from_zone;
  guint from;

  locate (places, address, &from_zone, &from);
  if (from == ANVIL_NONE || from_zone == zone)
    return path;
  path.delay = DELAY_BETWEEN_ZONES;
  if (from == region)
    return path;
  path.request_link = link_between (places, from, region);
  path.response_link = link_between (places, region, from);
  if (path.request_link != NULL)
    path.delay = path.request_link->delay;
  return path;
}

const upstream_link_t *
upstream_topology_link (const upstream_topology_t *places, guint index)
{
  return index < places->config->n_links ? &places->links[index] : NULL;
}
