#include "anvil-platform-table.h"

#include <string.h>

#define MAX_KEY_BYTES 256
#define MAX_VALUE_BYTES (64u << 10)

/* A deleted row is kept with a NULL value, so that its versions continue if it is written again. */
typedef struct
{
  char *value;
  guint64 version;
} row_t;

struct platform_table
{
  GTree *rows;
};

static void
row_free (gpointer data)
{
  row_t *row = data;

  g_free (row->value);
  g_free (row);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

platform_table_t *
platform_table_new (void)
{
  platform_table_t *table = g_new0 (platform_table_t, 1);

  table->rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  return table;
}

void
platform_table_drop (platform_table_t *table)
{
  if (table == NULL)
    return;
  g_tree_unref (table->rows);
  g_free (table);
}

json_t *
platform_table_read (platform_table_t *table, const char *prefix)
{
  json_t *list = json_array ();
  GTreeNode *node = g_tree_lower_bound (table->rows, prefix);

  for (; node != NULL; node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      const row_t *row = g_tree_node_value (node);

      if (!g_str_has_prefix (key, prefix))
        break;
      if (row->value != NULL)
        json_array_append_new (list, json_pack ("{s:s,s:s,s:I}", "key", key, "value", row->value,
                                                "version", (json_int_t) row->version));
    }
  return json_pack ("{s:o}", "rows", list);
}

static gboolean
key_valid (const char *key)
{
  gsize length = key != NULL ? strlen (key) : 0;

  return length > 0 && length <= MAX_KEY_BYTES;
}

static gboolean
list_valid (const json_t *list, gboolean conditions)
{
  size_t index;
  json_t *item;

  if (list == NULL)
    return TRUE;
  if (!json_is_array (list))
    return FALSE;
  json_array_foreach (list, index, item)
  {
    const json_t *version = json_object_get (item, "version");
    const json_t *value = json_object_get (item, "value");

    if (!key_valid (json_string_value (json_object_get (item, "key"))))
      return FALSE;
    if (conditions && (!json_is_integer (version) || json_integer_value (version) < 0))
      return FALSE;
    if (!conditions && value != NULL
        && (!json_is_string (value) || json_string_length (value) > MAX_VALUE_BYTES))
      return FALSE;
  }
  return TRUE;
}

static gboolean
conditions_hold (platform_table_t *table, const json_t *conditions)
{
  size_t index;
  json_t *item;

  json_array_foreach (conditions, index, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    guint64 expected = (guint64) json_integer_value (json_object_get (item, "version"));
    const row_t *row = g_tree_lookup (table->rows, key);
    guint64 version = row != NULL && row->value != NULL ? row->version : 0;

    if (version != expected)
      return FALSE;
  }
  return TRUE;
}

static void
write_row (platform_table_t *table, const char *key, const char *value)
{
  row_t *row = g_tree_lookup (table->rows, key);

  if (row == NULL)
    {
      if (value == NULL)
        return;
      row = g_new0 (row_t, 1);
      g_tree_insert (table->rows, g_strdup (key), row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version++;
}

platform_table_result_t
platform_table_commit (platform_table_t *table, json_t *transaction, guint *n_rows)
{
  const json_t *conditions = json_object_get (transaction, "conditions");
  const json_t *writes = json_object_get (transaction, "writes");
  size_t index;
  json_t *item;

  *n_rows = 0;
  if (!list_valid (conditions, TRUE) || !list_valid (writes, FALSE))
    return PLATFORM_TABLE_MALFORMED;
  if (!conditions_hold (table, conditions))
    return PLATFORM_TABLE_CONFLICT;
  json_array_foreach (writes, index, item)
  {
    write_row (table, json_string_value (json_object_get (item, "key")),
               json_string_value (json_object_get (item, "value")));
    (*n_rows)++;
  }
  return PLATFORM_TABLE_COMMITTED;
}
