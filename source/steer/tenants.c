#include "steer/tenants.h"

#include <math.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "anvil/error.h"

/* Slots for each key, at least. At a quarter full, nearly every look-up ends at its first slot. */
#define SLOTS_PER_KEY 4
/* Largest rate and burst, requests a second; above it a value is a mistake. */
#define MAX_RATE 1e9

/**
 * indexed_key_t - a key; borrowed from its tenant
 */
typedef struct
{
  anvil_str_t key;
  const anvil_tenant_t *tenant;
} indexed_key_t;

/**
 * slot_t - a slot of the table; small, as there are several for each key
 * @hash: upper half of the key's hash, whose lower half selects the slot
 * @number: number of the key in the list of keys, from 1; 0 if the slot is empty
 */
typedef struct
{
  guint32 hash;
  guint32 number;
} slot_t;

/**
 * anvil_tenant_index - open addressing with linear probing
 * @keys: indexed_key_t in the order in which they were added
 * @by_name: anvil_tenant_t by name
 */
struct anvil_tenant_index
{
  guint64 seed;
  gsize mask;
  slot_t *slots;
  GArray *keys;
  GHashTable *by_name;
};

/* The time depends on the lengths only. */
static gboolean
keys_equal (anvil_str_t a, anvil_str_t b)
{
  const volatile guint8 *bytes_a = (const volatile guint8 *) a.data;
  const volatile guint8 *bytes_b = (const volatile guint8 *) b.data;
  guint8 difference = 0;

  if (a.length != b.length)
    return FALSE;
  for (gsize i = 0; i < a.length; i++)
    difference |= bytes_a[i] ^ bytes_b[i];
  return difference == 0;
}

static guint64
hash_key (const anvil_tenant_index_t *index, anvil_str_t key)
{
  return XXH3_64bits_withSeed (key.data, key.length, index->seed);
}

static const indexed_key_t *
key_at (const anvil_tenant_index_t *index, const slot_t *slot)
{
  return &g_array_index (index->keys, indexed_key_t, slot->number - 1);
}

/* The slot of a key, or the empty slot that it would get. Another key is passed over by its hash,
 * so only whole keys that are probably equal are compared. */
static slot_t *
find_slot (const anvil_tenant_index_t *index, anvil_str_t key, guint64 hash)
{
  gsize i = hash & index->mask;

  while (index->slots[i].number != 0
         && (index->slots[i].hash != (guint32) (hash >> 32)
             || !keys_equal (key_at (index, &index->slots[i])->key, key)))
    i = (i + 1) & index->mask;
  return &index->slots[i];
}

/* A seed that callers don't know, so that they can't choose keys of one slot. */
static guint64
new_seed (void)
{
  guint64 seed;

  if (getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = ((guint64) g_random_int () << 32) | g_random_int ();
  return seed;
}

static gboolean
is_header_value (const char *name)
{
  const gsize length = strlen (name);

  if (length == 0 || name[0] == ' ' || name[length - 1] == ' ')
    return FALSE;
  for (gsize i = 0; i < length; i++)
    {
      if (g_ascii_iscntrl (name[i]))
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_rate (gdouble rate)
{
  return isfinite (rate) && rate >= 0 && rate <= MAX_RATE;
}

static gboolean
check_tenant (anvil_tenant_index_t *index, const anvil_tenant_t *tenant, GError **error)
{
  const char *problem = NULL;

  if (tenant->name == NULL || !is_header_value (tenant->name))
    problem = "name must be a valid header value";
  else if (!g_hash_table_insert (index->by_name, tenant->name, (gpointer) tenant))
    problem = "name must differ from those of other tenants";
  else if (!is_rate (tenant->rate))
    problem = "rate must be a number from 0 to 1e9";
  else if (!is_rate (tenant->burst))
    problem = "burst must be a number from 0 to 1e9";
  if (problem == NULL)
    return TRUE;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "tenant \"%s\": %s",
               tenant->name != NULL ? tenant->name : "", problem);
  return FALSE;
}

static gboolean
add_keys (anvil_tenant_index_t *index, const anvil_tenant_t *tenant, GError **error)
{
  for (guint i = 0; i < tenant->keys->len; i++)
    {
      const anvil_str_t key = anvil_str (tenant->keys->pdata[i]);
      const guint64 hash = hash_key (index, key);
      const indexed_key_t indexed = { .key = key, .tenant = tenant };
      slot_t *slot = find_slot (index, key, hash);

      if (key.length == 0)
        {
          g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "tenant \"%s\": keys must not be empty", tenant->name);
          return FALSE;
        }
      if (slot->number != 0)
        {
          g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "tenant \"%s\": keys must not occur twice, one is also a key of tenant "
                       "\"%s\"",
                       tenant->name, key_at (index, slot)->tenant->name);
          return FALSE;
        }
      g_array_append_val (index->keys, indexed);
      *slot = (slot_t){ .hash = (guint32) (hash >> 32), .number = index->keys->len };
    }
  return TRUE;
}

static anvil_tenant_index_t *
new_table (const GArray *tenants)
{
  anvil_tenant_index_t *index = g_new0 (anvil_tenant_index_t, 1);
  gsize n_keys = 0;
  gsize n_slots = 1;

  for (guint i = 0; i < tenants->len; i++)
    n_keys += g_array_index (tenants, anvil_tenant_t, i).keys->len;
  while (n_slots < SLOTS_PER_KEY * n_keys)
    n_slots *= 2;
  index->seed = new_seed ();
  index->mask = n_slots - 1;
  index->slots = g_new0 (slot_t, n_slots);
  index->keys = g_array_new (FALSE, FALSE, sizeof (indexed_key_t));
  index->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return index;
}

anvil_tenant_index_t *
anvil_tenant_index_new (const GArray *tenants, GError **error)
{
  anvil_tenant_index_t *index = new_table (tenants);
  gboolean valid = TRUE;

  for (guint i = 0; valid && i < tenants->len; i++)
    {
      const anvil_tenant_t *tenant = &g_array_index (tenants, anvil_tenant_t, i);

      valid = check_tenant (index, tenant, error) && add_keys (index, tenant, error);
    }
  if (!valid)
    g_clear_pointer (&index, anvil_tenant_index_drop);
  return index;
}

void
anvil_tenant_index_drop (anvil_tenant_index_t *index)
{
  if (index == NULL)
    return;
  g_free (index->slots);
  g_array_unref (index->keys);
  g_hash_table_unref (index->by_name);
  g_free (index);
}

const anvil_tenant_t *
anvil_tenant_index_lookup (const anvil_tenant_index_t *index, anvil_str_t key)
{
  const slot_t *slot = find_slot (index, key, hash_key (index, key));

  return slot->number != 0 ? key_at (index, slot)->tenant : NULL;
}

const anvil_tenant_t *
anvil_tenant_index_find (const anvil_tenant_index_t *index, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  const anvil_tenant_t *tenant = g_hash_table_lookup (index->by_name, text);

  g_free (text);
  return tenant;
}
