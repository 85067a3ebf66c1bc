#include "anvil-load-keys.h"

struct load_keys
{
  GHashTable *table;
};

load_keys_t *
load_keys_new (void)
{
  load_keys_t *keys = g_new0 (load_keys_t, 1);

  keys->table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return keys;
}

void
load_keys_drop (load_keys_t *keys)
{
  if (keys == NULL)
    return;
  g_hash_table_unref (keys->table);
  g_free (keys);
}

void
load_keys_record (load_keys_t *keys,
                  const char *key,
                  guint service,
                  gboolean at_most_once,
                  load_outcome_t outcome,
                  load_entry_t entry)
{
  load_key_t *record = g_hash_table_lookup (keys->table, key);

  if (record == NULL)
    {
      record = g_new0 (load_key_t, 1);
      record->service = service;
      record->at_most_once = at_most_once;
      g_hash_table_insert (keys->table, g_strdup (key), record);
    }
  record->outcomes[outcome]++;
  record->last_entry = entry;
}

const load_key_t *
load_keys_get (const load_keys_t *keys, const char *key)
{
  return g_hash_table_lookup (keys->table, key);
}

static void
check_key (load_run_check_t *result, const load_key_t *key, guint64 runs)
{
  gboolean may_have_run = key->outcomes[LOAD_ANSWERED] > 0 || key->outcomes[LOAD_UNKNOWN] > 0;

  result->runs += runs;
  if (runs > 1 && key->at_most_once)
    result->ran_twice++;
  if (runs > 1 && !key->at_most_once)
    result->repeated++;
  if (runs > 0 && !may_have_run)
    result->refused_but_ran++;
  if (runs == 0 && key->outcomes[LOAD_ANSWERED] > 0)
    result->answered_without_run++;
}

load_run_check_t
load_keys_check_runs (const load_keys_t *keys, load_key_runs_cb_t get_runs, void *context)
{
  load_run_check_t result = { .known = TRUE };
  GHashTableIter iter;
  gpointer key;
  gpointer record;

  g_hash_table_iter_init (&iter, keys->table);
  while (g_hash_table_iter_next (&iter, &key, &record))
    check_key (&result, record, get_runs (context, key));
  return result;
}
