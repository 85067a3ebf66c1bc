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
 * slot_t - a slot of the table
 * @hash: of the key
 * @key: the key; empty slots have none
 */
typedef struct
{
  guint64 hash;
  anvil_str_t key;
  const anvil_tenant_t *tenant;
} slot_t;

/* Open addressing with linear probing. */
struct anvil_tenant_index
{
  guint64 seed;
  gsize mask;
  slot_t *slots;
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

/* The slot of a key, or the empty slot that it would get. Another key is passed over by its hash,
 * so only whole keys that are probably equal are compared. */
static slot_t *
find_slot (const anvil_tenant_index_t *index, anvil_str_t key, guint64 hash)
{
  gsize i = hash & index->mask;

  while (index->slots[i].tenant != NULL
         && (index->slots[i].hash != hash || !keys_equal (index->slots[i].key, key)))
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
check_tenant (const anvil_tenant_t *tenant, GHashTable *names, GError **error)
{
  const char *problem = NULL;

  if (tenant->name == NULL || !is_header_value (tenant->name))
    problem = "name must be a valid header value";
  else if (!g_hash_table_add (names, tenant->name))
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
      slot_t *slot = find_slot (index, key, hash);

      if (key.length == 0)
        {
          g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "tenant \"%s\": keys must not be empty", tenant->name);
          return FALSE;
        }
      if (slot->tenant != NULL)
        {
          g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "tenant \"%s\": keys must not occur twice, one is also a key of tenant "
                       "\"%s\"",
                       tenant->name, slot->tenant->name);
          return FALSE;
        }
      *slot = (slot_t){ .hash = hash, .key = key, .tenant = tenant };
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
  return index;
}

anvil_tenant_index_t *
anvil_tenant_index_new (const GArray *tenants, GError **error)
{
  anvil_tenant_index_t *index = new_table (tenants);
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  gboolean valid = TRUE;

  for (guint i = 0; valid && i < tenants->len; i++)
    {
      const anvil_tenant_t *tenant = &g_array_index (tenants, anvil_tenant_t, i);

      valid = check_tenant (tenant, names, error) && add_keys (index, tenant, error);
    }
  g_hash_table_unref (names);
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
  g_free (index);
}

const anvil_tenant_t *
anvil_tenant_index_lookup (const anvil_tenant_index_t *index, anvil_str_t key)
{
  return find_slot (index, key, hash_key (index, key))->tenant;
}
