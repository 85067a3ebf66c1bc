#include "relay/warm-object-table.h"

#include <string.h>

/* Entries older than this are dropped. Objects in regular use are requested within seconds. */
#define MAX_AGE (20 * ANVIL_SECOND)

typedef struct
{
  guint64 service_hash;
  anvil_warm_object_t warm;
  anvil_time_t added_at;
} entry_t;

struct anvil_warm_object_table
{
  /* Set of entry_t. */
  GHashTable *entries;
};

static guint
entry_hash (gconstpointer data)
{
  const entry_t *entry = data;

  return (guint) ((entry->service_hash ^ entry->warm.object) >> 16);
}

static gboolean
entry_equal (gconstpointer a, gconstpointer b)
{
  const entry_t *x = a;
  const entry_t *y = b;

  return x->service_hash == y->service_hash && x->warm.object == y->warm.object;
}

anvil_warm_object_table_t *
anvil_warm_object_table_new (void)
{
  anvil_warm_object_table_t *table = g_new0 (anvil_warm_object_table_t, 1);

  table->entries = g_hash_table_new_full (entry_hash, entry_equal, g_free, NULL);
  return table;
}

void
anvil_warm_object_table_drop (anvil_warm_object_table_t *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->entries);
  g_free (table);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const entry_t *entry = key;
  const anvil_time_t *now = data;

  return *now - entry->added_at > MAX_AGE;
}

void
anvil_warm_object_table_add (anvil_warm_object_table_t *table,
                             anvil_time_t now,
                             const char *service,
                             guint64 object,
                             guint64 upstream)
{
  const entry_t entry = { .service_hash = anvil_str_hash (anvil_str (service)),
                          .warm = { .object = object, .upstream = upstream },
                          .added_at = now };
  gpointer existing;

  if (object == 0)
    return;
  if (g_hash_table_lookup_extended (table->entries, &entry, &existing, NULL))
    {
      *(entry_t *) existing = entry;
      return;
    }
  if (g_hash_table_size (table->entries) >= ANVIL_MAX_WARM_OBJECTS)
    g_hash_table_foreach_remove (table->entries, is_expired, &now);
  if (g_hash_table_size (table->entries) < ANVIL_MAX_WARM_OBJECTS)
    g_hash_table_add (table->entries, g_memdup2 (&entry, sizeof entry));
}

guint
anvil_warm_object_table_list (anvil_warm_object_table_t *table,
                              anvil_time_t now,
                              const char *service,
                              anvil_warm_object_t *list,
                              guint max)
{
  guint64 service_hash = anvil_str_hash (anvil_str (service));
  GHashTableIter iter;
  gpointer key;
  guint n = 0;

  g_hash_table_foreach_remove (table->entries, is_expired, &now);
  g_hash_table_iter_init (&iter, table->entries);
  while (n < max && g_hash_table_iter_next (&iter, &key, NULL))
    {
      const entry_t *entry = key;

      if (entry->service_hash == service_hash)
        list[n++] = entry->warm;
    }
  return n;
}

void
anvil_warm_objects_pack (const anvil_warm_object_t *objects, guint n_objects, GByteArray *out)
{
  for (guint i = 0; i < n_objects; i++)
    {
      const guint64 pair[2]
          = { GUINT64_TO_BE (objects[i].object), GUINT64_TO_BE (objects[i].upstream) };

      g_byte_array_append (out, (const guint8 *) pair, sizeof pair);
    }
}

guint
anvil_warm_objects_unpack (anvil_str_t bytes, anvil_warm_object_t *objects, guint max_objects)
{
  guint64 pair[2];
  guint n = (guint) MIN (bytes.length / sizeof pair, max_objects);

  for (guint i = 0; i < n; i++)
    {
      memcpy (pair, bytes.data + i * sizeof pair, sizeof pair);
      objects[i].object = GUINT64_FROM_BE (pair[0]);
      objects[i].upstream = GUINT64_FROM_BE (pair[1]);
    }
  return n;
}
