#include "anvil-upstream-cache.h"

struct upstream_cache
{
  GHashTable *objects;
  GQueue insertion_order;
  guint max_objects;
};

upstream_cache_t *
upstream_cache_new (guint max_objects)
{
  upstream_cache_t *cache = g_new0 (upstream_cache_t, 1);

  cache->objects = g_hash_table_new (g_str_hash, g_str_equal);
  cache->max_objects = max_objects;
  return cache;
}

void
upstream_cache_drop (upstream_cache_t *cache)
{
  if (cache == NULL)
    return;
  upstream_cache_clear (cache);
  g_hash_table_unref (cache->objects);
  g_free (cache);
}

gboolean
upstream_cache_find_or_add (upstream_cache_t *cache, const char *object)
{
  char *added;

  if (g_hash_table_contains (cache->objects, object))
    return TRUE;
  if (g_queue_get_length (&cache->insertion_order) >= cache->max_objects)
    {
      char *oldest = g_queue_pop_head (&cache->insertion_order);

      g_hash_table_remove (cache->objects, oldest);
      g_free (oldest);
    }
  added = g_strdup (object);
  g_hash_table_add (cache->objects, added);
  g_queue_push_tail (&cache->insertion_order, added);
  return FALSE;
}

void
upstream_cache_clear (upstream_cache_t *cache)
{
  g_hash_table_remove_all (cache->objects);
  g_queue_clear_full (&cache->insertion_order, g_free);
}
