#include "config/config-index.h"

#include <string.h>

#include "anvil/client-blocks.h"

/*
 * The keys of the hash tables point into the configuration, the values are
 * indexes. Links are stored in a matrix of regions: links[from * n_regions + to].
 */
struct anvil_config_index
{
  GHashTable *zones;
  GHashTable *services;
  GHashTable *hosts;
  GHashTable *upstreams;
  GHashTable *upstream_keys;
  guint *links;
  anvil_client_blocks_t *blocks;
};

static guint
hash_str (gconstpointer str)
{
  return (guint) anvil_str_hash (*(const anvil_str_t *) str);
}

static gboolean
equal_strs (gconstpointer a, gconstpointer b)
{
  return anvil_str_equal (*(const anvil_str_t *) a, *(const anvil_str_t *) b);
}

static void
insert_index (GHashTable *table, const anvil_str_t *name, guint index)
{
  g_hash_table_insert (table, (gpointer) name, GUINT_TO_POINTER (index));
}

static guint
find_index (GHashTable *table, anvil_str_t name)
{
  gpointer index;

  if (!g_hash_table_lookup_extended (table, &name, NULL, &index))
    return ANVIL_NO_INDEX;
  return GPOINTER_TO_UINT (index);
}

static void
index_services (anvil_config_index_t *index, const anvil_config_t *config)
{
  for (guint i = 0; i < config->n_services; i++)
    {
      const anvil_service_t *service = &config->services[i];

      insert_index (index->services, &service->name, i);
      insert_index (index->hosts, &service->name, i);
      for (guint j = 0; j < service->n_hosts; j++)
        insert_index (index->hosts, &service->hosts[j], i);
    }
}

static void
index_links (anvil_config_index_t *index, const anvil_config_t *config)
{
  gsize n_pairs = (gsize) config->n_regions * config->n_regions;

  index->links = g_new (guint, n_pairs);
  for (gsize i = 0; i < n_pairs; i++)
    index->links[i] = ANVIL_NO_INDEX;
  for (guint i = 0; i < config->n_links; i++)
    index->links[config->links[i].from * config->n_regions + config->links[i].to] = i;
}

anvil_config_index_t *
anvil_config_index_new (const anvil_config_t *config)
{
  anvil_config_index_t *index = g_new0 (anvil_config_index_t, 1);

  index->zones = g_hash_table_new (hash_str, equal_strs);
  index->services = g_hash_table_new (hash_str, equal_strs);
  index->hosts = g_hash_table_new (hash_str, equal_strs);
  index->upstreams = g_hash_table_new (hash_str, equal_strs);
  for (guint i = 0; i < config->n_zones; i++)
    insert_index (index->zones, &config->zones[i].name, i);
  index->upstream_keys = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      insert_index (index->upstreams, &config->upstreams[i].name, i);
      g_hash_table_insert (index->upstream_keys, &config->upstreams[i].key, GUINT_TO_POINTER (i));
    }
  index_services (index, config);
  index_links (index, config);
  index->blocks = anvil_client_blocks_new (config->blocks, config->n_blocks);
  g_assert (index->blocks != NULL);
  return index;
}

void
anvil_config_index_drop (anvil_config_index_t *index)
{
  if (index == NULL)
    return;
  g_hash_table_unref (index->zones);
  g_hash_table_unref (index->services);
  g_hash_table_unref (index->hosts);
  g_hash_table_unref (index->upstreams);
  g_hash_table_unref (index->upstream_keys);
  g_free (index->links);
  anvil_client_blocks_drop (index->blocks);
  g_free (index);
}

guint
anvil_config_lookup_zone (const anvil_config_t *config, anvil_str_t name)
{
  return find_index (config->index->zones, name);
}

guint
anvil_config_lookup_service (const anvil_config_t *config, anvil_str_t name)
{
  return find_index (config->index->services, name);
}

guint
anvil_config_lookup_upstream (const anvil_config_t *config, anvil_str_t name)
{
  return find_index (config->index->upstreams, name);
}

guint
anvil_config_lookup_host (const anvil_config_t *config, anvil_str_t host)
{
  char lower[256];
  anvil_str_t name = { .data = lower, .length = host.length };

  if (host.length > sizeof lower)
    return ANVIL_NO_INDEX;
  for (gsize i = 0; i < host.length; i++)
    lower[i] = g_ascii_tolower (host.data[i]);
  return find_index (config->index->hosts, name);
}

guint
anvil_config_lookup_link (const anvil_config_t *config, guint from, guint to)
{
  if (from >= config->n_regions || to >= config->n_regions)
    return ANVIL_NO_INDEX;
  return config->index->links[from * config->n_regions + to];
}

guint
anvil_config_lookup_client_region (const anvil_config_t *config, guint32 address)
{
  return anvil_client_blocks_lookup (config->index->blocks, address);
}

guint
anvil_config_upstream_region (const anvil_config_t *config, guint upstream)
{
  return config->zones[config->upstreams[upstream].zone].region;
}

guint
anvil_config_lookup_upstream_key (const anvil_config_t *config, guint64 key)
{
  gpointer index;

  if (!g_hash_table_lookup_extended (config->index->upstream_keys, &key, NULL, &index))
    return ANVIL_NO_INDEX;
  return GPOINTER_TO_UINT (index);
}
