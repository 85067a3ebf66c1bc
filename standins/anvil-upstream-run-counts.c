#include "anvil-upstream-run-counts.h"

/* Runs of the requests with one key, and the service that ran the last of them. */
typedef struct
{
  const char *service;
  guint runs;
} run_count_t;

struct upstream_run_counts
{
  /* run_count_t by key. */
  GHashTable *by_key;
};

upstream_run_counts_t *
upstream_run_counts_new (void)
{
  upstream_run_counts_t *counts = g_new0 (upstream_run_counts_t, 1);

  counts->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return counts;
}

void
upstream_run_counts_drop (upstream_run_counts_t *counts)
{
  if (counts == NULL)
    return;
  g_hash_table_unref (counts->by_key);
  g_free (counts);
}

void
upstream_run_counts_add (upstream_run_counts_t *counts, const char *key, const char *service)
{
  run_count_t *count = g_hash_table_lookup (counts->by_key, key);

  if (count == NULL)
    {
      count = g_new0 (run_count_t, 1);
      g_hash_table_insert (counts->by_key, g_strdup (key), count);
    }
  count->service = service;
  count->runs++;
}

json_t *
upstream_run_counts_to_json (const upstream_run_counts_t *counts)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, counts->by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (json, key, json_integer (((run_count_t *) value)->runs));
  return json;
}

json_t *
upstream_run_counts_duplicates_to_json (const upstream_run_counts_t *counts)
{
  json_t *json = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, counts->by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const run_count_t *count = value;

      if (count->runs > 1)
        json_array_append_new (json, json_pack ("{s:s,s:s,s:i}", "key", key, "service",
                                                count->service, "runs", (int) count->runs));
    }
  return json;
}
