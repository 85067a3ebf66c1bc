#include "config/config-index.h"

#include <string.h>

#include "anvil/client-blocks.h"

/*
 * Keys of the hash tables are views owned by the configuration; values are
 * indexes.
 */
struct anvil_config_index
{
  GHashTable *zones;
  GHashTable *services;
  GHashTable *hosts;
  GHashTable *upstreams;
  GHashTable *keys;
  guint *links;
  anvil_client_blocks_t *blocks;
};

static guint
hash_view (gconstpointer view)
{
  return (guint) anvil_str_hash (*(const anvil_str_t *) view);
}

static gboolean
equal_views (gconstpointer a, gconstpointer b)
{
  return anvil_str_equal (*(const anvil_str_t *) a, *(const anvil_str_t *) b);
}

static void
add (GHashTable *table, const anvil_str_t *name, guint index)
{
  g_hash_table_insert (table, (gpointer) name, GUINT_TO_POINTER (index));
}

static guint
find (GHashTable *table, anvil_str_t name)
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

      add (index->services, &service->name, i);
      add (index->hosts, &service->name, i);
      for (guint j = 0; j < service->n_hosts; j++)
        add (index->hosts, &service->hosts[j], i);
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

  index->zones = g_hash_table_new (hash_view, equal_views);
  index->services = g_hash_table_new (hash_view, equal_views);
  index->hosts = g_hash_table_new (hash_view, equal_views);
  index->upstreams = g_hash_table_new (hash_view, equal_views);
  for (guint i = 0; i < config->n_zones; i++)
    add (index->zones, &config->zones[i].name, i);
  index->keys = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      add (index->upstreams, &config->upstreams[i].name, i);
      g_hash_table_insert (index->keys, &config->upstreams[i].key, GUINT_TO_POINTER (i));
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
  g_hash_table_unref (index->keys);
  g_free (index->links);
  anvil_client_blocks_drop (index->blocks);
  g_free (index);
}

guint
anvil_config_lookup_zone (const anvil_config_t *config, anvil_str_t name)
{
  return find (config->index->zones, name);
}

guint
anvil_config_lookup_service (const anvil_config_t *config, anvil_str_t name)
{
  return find (config->index->services, name);
}

guint
anvil_config_lookup_upstream (const anvil_config_t *config, anvil_str_t name)
{
  return find (config->index->upstreams, name);
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
  return find (config->index->hosts, name);
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

  if (!g_hash_table_lookup_extended (config->index->keys, &key, NULL, &index))
    return ANVIL_NO_INDEX;
  return GPOINTER_TO_UINT (index);
}
