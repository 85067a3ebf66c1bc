#include "anvil-load-cache.h"

#include <jansson.h>

#include "anvil/error.h"
#include "anvil/settings.h"

struct load_cache
{
  guint n_services;
  load_lookup_t *lookups;
};

static gboolean
parse_entry (load_entry_t *entry, json_t *item)
{
  const char *address;
  int port;
  int weight;
  guint16 unused_port;
  char *endpoint;
  gboolean valid;

  if (json_unpack (item, "{s:s, s:i, s:i}", "address", &address, "port", &port, "weight", &weight)
      != 0)
    return FALSE;
  if (port <= 0 || port > G_MAXUINT16 || weight < 0)
    return FALSE;
  endpoint = g_strdup_printf ("%s:%d", address, port);
  valid = anvil_endpoint_parse (endpoint, &entry->address, &unused_port);
  g_free (endpoint);
  entry->port = (guint16) port;
  entry->weight = (guint) weight;
  return valid;
}

gboolean
load_lookup_parse (load_lookup_t *lookup,
                   anvil_str_t body,
                   anvil_time_t requested_at,
                   GError **error)
{
  json_error_t unused_error;
  json_t *root = json_loadb (body.data != NULL ? body.data : "", body.length, 0, &unused_error);
  json_t *items;
  json_t *item;
  json_int_t generation;
  json_int_t ttl_seconds;
  size_t index;
  gboolean valid;

  *lookup = (load_lookup_t){ 0 };
  valid = root != NULL
          && json_unpack (root, "{s:I, s:I, s:o}", "generation", &generation, "ttl_seconds",
                          &ttl_seconds, "entries", &items)
                 == 0
          && json_is_array (items) && ttl_seconds >= 0;
  if (valid)
    {
      lookup->generation = (guint64) generation;
      lookup->expires_at = requested_at + ttl_seconds * ANVIL_SECOND;
      json_array_foreach (items, index, item)
      {
        if (lookup->n_entries == LOAD_MAX_ENTRIES)
          break;
        valid = valid && parse_entry (&lookup->entries[lookup->n_entries++], item);
      }
    }
  json_decref (root);
  if (!valid)
    g_set_error_literal (
        error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
        "expected generation, ttl_seconds and entries with address, port and weight");
  return valid;
}

guint
load_lookup_choose (const load_lookup_t *lookup, guint64 tried, GRand *rand)
{
  guint64 total = 0;
  guint first_untried = LOAD_MAX_ENTRIES;
  gdouble offset;

  for (guint i = 0; i < lookup->n_entries; i++)
    {
      if ((tried >> i & 1) != 0)
        continue;
      if (first_untried == LOAD_MAX_ENTRIES)
        first_untried = i;
      total += lookup->entries[i].weight;
    }
  if (total == 0)
    return first_untried;

  offset = g_rand_double (rand) * (gdouble) total;
  for (guint i = 0; i < lookup->n_entries; i++)
    {
      if ((tried >> i & 1) != 0 || lookup->entries[i].weight == 0)
        continue;
      if (offset < lookup->entries[i].weight)
        return i;
      offset -= lookup->entries[i].weight;
    }
  return first_untried;
}

load_cache_t *
load_cache_new (guint n_services)
{
  load_cache_t *cache = g_new0 (load_cache_t, 1);

  cache->n_services = n_services;
  cache->lookups = g_new0 (load_lookup_t, n_services);
  return cache;
}

void
load_cache_drop (load_cache_t *cache)
{
  if (cache == NULL)
    return;
  g_free (cache->lookups);
  g_free (cache);
}

const load_lookup_t *
load_cache_get (const load_cache_t *cache, guint service, anvil_time_t now)
{
  const load_lookup_t *lookup = &cache->lookups[service];

  return lookup->n_entries > 0 && now < lookup->expires_at ? lookup : NULL;
}

void
load_cache_put (load_cache_t *cache, guint service, const load_lookup_t *lookup)
{
  cache->lookups[service] = *lookup;
}
