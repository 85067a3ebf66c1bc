#include "anvil-store-rows.h"

#include <string.h>

/* What one response to a read of a table holds at most. */
#define MAX_PAGE_ROWS 500
#define MAX_PAGE_BYTES (1u << 20)

/**
 * change_t - a row as written by one transaction
 * @value: base64, NULL if the row was removed
 * @time: when it was written, Unix milliseconds
 */
typedef struct
{
  char *table;
  char *key;
  char *value;
  guint64 version;
  gint64 time;
} change_t;

struct store_rows
{
  guint64 version;
  /* Changes up to this version aren't told any more. */
  guint64 compacted_version;
  GPtrArray *history;
  /* Version after the last return to a copy. */
  guint64 restored_version;
  /* change_t of the existing rows by "table\nkey". */
  GHashTable *rows;
};

static void
change_drop (gpointer data)
{
  change_t *change = data;

  g_free (change->table);
  g_free (change->key);
  g_free (change->value);
  g_free (change);
}

static change_t *
change_new (const char *table, const char *key, const char *value, guint64 version)
{
  change_t *change = g_new0 (change_t, 1);

  change->table = g_strdup (table);
  change->key = g_strdup (key);
  change->value = g_strdup (value);
  change->version = version;
  change->time = g_get_real_time () / 1000;
  return change;
}

store_rows_t *
store_rows_new (void)
{
  store_rows_t *rows = g_new0 (store_rows_t, 1);

  rows->history = g_ptr_array_new_with_free_func (change_drop);
  rows->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, change_drop);
  return rows;
}

void
store_rows_drop (store_rows_t *rows)
{
  if (rows == NULL)
    return;
  g_ptr_array_unref (rows->history);
  g_hash_table_unref (rows->rows);
  g_free (rows);
}

guint64
store_rows_version (const store_rows_t *rows)
{
  return rows->version;
}

static const char *
text_member (json_t *item, const char *name)
{
  const char *text = json_string_value (json_object_get (item, name));

  return text != NULL ? text : "";
}

static char *
row_id (json_t *item)
{
  return g_strconcat (text_member (item, "table"), "\n", text_member (item, "key"), NULL);
}

static gboolean
conditions_hold (const store_rows_t *rows, json_t *conditions)
{
  json_t *item;
  size_t i;

  json_array_foreach (conditions, i, item)
  {
    char *id = row_id (item);
    const change_t *row = g_hash_table_lookup (rows->rows, id);
    guint64 expected = (guint64) json_integer_value (json_object_get (item, "rowVersion"));

    g_free (id);
    if ((row != NULL ? row->version : 0) != expected)
      return FALSE;
  }
  return TRUE;
}

static void
set_row (store_rows_t *rows, const char *table, const char *key, const char *value, guint64 version)
{
  char *id = g_strconcat (table, "\n", key, NULL);

  if (value != NULL)
    g_hash_table_insert (rows->rows, id, change_new (table, key, value, version));
  else
    {
      g_hash_table_remove (rows->rows, id);
      g_free (id);
    }
}

static void
record_change (store_rows_t *rows, json_t *item, const char *value)
{
  const char *table = text_member (item, "table");
  const char *key = text_member (item, "key");

  g_ptr_array_add (rows->history, change_new (table, key, value, rows->version));
  set_row (rows, table, key, value, rows->version);
}

gboolean
store_rows_commit (store_rows_t *rows, json_t *transaction)
{
  json_t *item;
  size_t i;

  if (!conditions_hold (rows, json_object_get (transaction, "expect")))
    return FALSE;
  rows->version++;
  json_array_foreach (json_object_get (transaction, "writes"), i, item)
      record_change (rows, item, text_member (item, "value"));
  json_array_foreach (json_object_get (transaction, "remove"), i, item)
      record_change (rows, item, NULL);
  return TRUE;
}

static json_t *
change_to_json (const change_t *change)
{
  json_t *row = json_pack ("{s:s,s:s,s:s,s:I}", "table", change->table, "part", "", "key",
                           change->key, "rowVersion", (json_int_t) change->version);

  if (change->value != NULL)
    json_object_set_new (row, "value", json_string (change->value));
  else
    json_object_set_new (row, "tombstone", json_true ());
  return row;
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(const change_t *const *) a)->key, (*(const change_t *const *) b)->key);
}

json_t *
store_rows_read (const store_rows_t *rows, const char *table, const char *from, gboolean *has_more)
{
  GPtrArray *matching = g_ptr_array_new ();
  json_t *list = json_array ();
  gsize bytes = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rows->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      change_t *row = value;

      if (strcmp (row->table, table) == 0 && strcmp (row->key, from) >= 0)
        g_ptr_array_add (matching, row);
    }
  g_ptr_array_sort (matching, compare_keys);
  *has_more = FALSE;
  for (guint i = 0; i < matching->len && !*has_more; i++)
    {
      const change_t *row = matching->pdata[i];

      bytes += row->value != NULL ? strlen (row->value) : 0;
      *has_more = i == MAX_PAGE_ROWS || (i > 0 && bytes > MAX_PAGE_BYTES);
      if (!*has_more)
        json_array_append_new (list, change_to_json (row));
    }
  g_ptr_array_unref (matching);
  return list;
}

json_t *
store_rows_changes (const store_rows_t *rows, const char *table, guint64 version)
{
  json_t *list;

  if (version < rows->compacted_version || version > rows->version)
    return NULL;
  list = json_array ();
  for (guint i = 0; i < rows->history->len; i++)
    {
      const change_t *change = rows->history->pdata[i];

      if (change->version > version && strcmp (change->table, table) == 0)
        json_array_append_new (list, change_to_json (change));
    }
  return list;
}

void
store_rows_compact (store_rows_t *rows)
{
  rows->compacted_version = rows->version;
}

/* Puts a lost row at the end of the list, in place of what the list has of it. */
static void
add_lost (json_t *lost, const change_t *change)
{
  const gboolean removed = change->value == NULL;
  json_t *row = json_pack ("{s:s,s:s,s:s}", "table", change->table, "part", "", "key", change->key);
  char *id = row_id (row);

  for (size_t i = json_array_size (lost); i > 0; i--)
    {
      char *other = row_id (json_object_get (json_array_get (lost, i - 1), "row"));

      if (strcmp (other, id) == 0)
        json_array_remove (lost, i - 1);
      g_free (other);
    }
  g_free (id);
  if (!removed)
    json_object_set_new (row, "value", json_string (change->value));
  json_array_append_new (lost, json_pack ("{s:o,s:b}", "row", row, "removed", removed));
}

void
store_rows_restore (store_rows_t *rows, gint64 time, json_t *lost)
{
  guint n_kept = 0;

  while (n_kept < rows->history->len
         && ((const change_t *) rows->history->pdata[n_kept])->time <= time)
    n_kept++;
  for (guint i = n_kept; i < rows->history->len; i++)
    {
      const change_t *change = rows->history->pdata[i];

      if (strcmp (change->table, "op") == 0 || strcmp (change->table, "servers") == 0)
        add_lost (lost, change);
    }
  g_ptr_array_set_size (rows->history, (gint) n_kept);
  g_hash_table_remove_all (rows->rows);
  rows->version = 0;
  for (guint i = 0; i < n_kept; i++)
    {
      const change_t *change = rows->history->pdata[i];

      set_row (rows, change->table, change->key, change->value, change->version);
      rows->version = change->version;
    }
  rows->restored_version = rows->version;
  rows->compacted_version = MIN (rows->compacted_version, rows->version);
}

gboolean
store_rows_was_written (const store_rows_t *rows, json_t *item)
{
  for (guint i = rows->history->len; i > 0; i--)
    {
      const change_t *change = rows->history->pdata[i - 1];

      if (change->version <= rows->restored_version)
        return FALSE;
      if (strcmp (change->table, text_member (item, "table")) == 0
          && strcmp (change->key, text_member (item, "key")) == 0)
        return TRUE;
    }
  return FALSE;
}
