#include "anvil-upstream-run-counts.h"

/* One key and the service that ran it last. */
typedef struct
{
  const char *service;
  guint runs;
} runs_t;

struct upstream_run_counts
{
  GHashTable *runs;
};

upstream_run_counts_t *
upstream_run_counts_new (void)
{
  upstream_run_counts_t *keys = g_new0 (upstream_run_counts_t, 1);

  keys->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return keys;
}

void
upstream_run_counts_drop (upstream_run_counts_t *keys)
{
  if (keys == NULL)
    return;
  g_hash_table_unref (keys->runs);
  g_free (keys);
}

void
upstream_run_counts_add (upstream_run_counts_t *keys, const char *key, const char *service)
{
  runs_t *runs = g_hash_table_lookup (keys->runs, key);

  if (runs == NULL)
    {
      runs = g_new0 (runs_t, 1);
      g_hash_table_insert (keys->runs, g_strdup (key), runs);
    }
  runs->service = service;
  runs->runs++;
}

json_t *
upstream_run_counts_to_json (const upstream_run_counts_t *keys)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, keys->runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (json, key, json_integer (((runs_t *) value)->runs));
  return json;
}

json_t *
upstream_run_counts_duplicates_to_json (const upstream_run_counts_t *keys)
{
  json_t *json = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, keys->runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const runs_t *runs = value;

      if (runs->runs > 1)
        json_array_append_new (json, json_pack ("{s:s,s:s,s:i}", "key", key, "service",
                                                runs->service, "runs", (int) runs->runs));
    }
  return json;
}
