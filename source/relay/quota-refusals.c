#include "relay/quota-refusals.h"

#define METRIC "anvil_quota_refusals_total"
/* Most tenants that are counted; further ones count among the others. As many as one shard has. */
#define MAX_TENANTS 4096
/* Label of the sum of tenants without a metric of their own; no tenant has an empty name. */
#define OTHERS ""

/** count_t - refusals of a tenant */
typedef struct
{
  char *tenant;
  guint64 n;
} count_t;

struct anvil_quota_refusals
{
  /* count_t by tenant. */
  GHashTable *counts;
  guint64 n_uncounted;
  gboolean changed;
};

static void
count_free (gpointer data)
{
  count_t *count = data;

  g_free (count->tenant);
  g_free (count);
}

anvil_quota_refusals_t *
anvil_quota_refusals_new (void)
{
  anvil_quota_refusals_t *refusals = g_new0 (anvil_quota_refusals_t, 1);

  refusals->counts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, count_free);
  return refusals;
}

void
anvil_quota_refusals_drop (anvil_quota_refusals_t *refusals)
{
  if (refusals == NULL)
    return;
  g_hash_table_unref (refusals->counts);
  g_free (refusals);
}

void
anvil_quota_refusals_add (anvil_quota_refusals_t *refusals, const char *tenant)
{
  count_t *count = tenant != NULL ? g_hash_table_lookup (refusals->counts, tenant) : NULL;

  refusals->changed = TRUE;
  if (count == NULL && (tenant == NULL || g_hash_table_size (refusals->counts) >= MAX_TENANTS))
    {
      refusals->n_uncounted++;
      return;
    }
  if (count == NULL)
    {
      count = g_new0 (count_t, 1);
      count->tenant = g_strdup (tenant);
      g_hash_table_insert (refusals->counts, count->tenant, count);
    }
  count->n++;
}

static gint
compare_counts (gconstpointer a, gconstpointer b)
{
  const count_t *x = *(const count_t *const *) a;
  const count_t *y = *(const count_t *const *) b;

  return x->n != y->n ? (x->n < y->n ? 1 : -1) : g_strcmp0 (x->tenant, y->tenant);
}

static char *
label (const char *tenant)
{
  GString *text = g_string_new ("tenant=\"");

  for (const char *p = tenant; *p != 0; p++)
    {
      if (*p == '"' || *p == '\\')
        g_string_append_c (text, '\\');
      g_string_append_c (text, *p);
    }
  g_string_append_c (text, '"');
  return g_string_free (text, FALSE);
}

static void
publish (anvil_metrics_t *metrics, const char *tenant, guint64 n)
{
  char *labels = label (tenant);

  anvil_metrics_set_gauge (metrics, METRIC, labels, (gdouble) n);
  g_free (labels);
}

void
anvil_quota_refusals_publish (anvil_quota_refusals_t *refusals, anvil_metrics_t *metrics)
{
  GPtrArray *sorted;
  GHashTableIter iter;
  gpointer value;
  guint64 others = refusals->n_uncounted;

  if (!refusals->changed)
    return;
  refusals->changed = FALSE;
  sorted = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, refusals->counts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (sorted, value);
  g_ptr_array_sort (sorted, compare_counts);
  /* A tenant that no longer is among the first must not keep its metric. */
  anvil_metrics_remove (metrics, METRIC);
  for (guint i = 0; i < sorted->len; i++)
    {
      const count_t *count = sorted->pdata[i];

      if (i < ANVIL_QUOTA_REFUSALS_NAMED)
        publish (metrics, count->tenant, count->n);
      else
        others += count->n;
    }
  publish (metrics, OTHERS, others);
  g_ptr_array_unref (sorted);
}
