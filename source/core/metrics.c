#include "anvil/metrics.h"

#include <string.h>

/* Upper bounds of the buckets of a histogram, seconds. */
static const gdouble histogram_bounds[]
    = { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60 };

#define N_BOUNDS G_N_ELEMENTS (histogram_bounds)

typedef enum
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM,
} metric_kind_t;

/**
 * metric_t - one metric with one set of labels
 * @value: value of a gauge, or sum of the observations of a histogram
 * @total: value of a counter
 * @buckets: observations by bucket, not cumulative; the last bucket is above all bounds
 * @count: all observations of a histogram
 */
typedef struct
{
  metric_kind_t kind;
  char *name;
  char *labels;
  gdouble value;
  guint64 total;
  guint64 buckets[N_BOUNDS + 1];
  guint64 count;
} metric_t;

struct anvil_metrics
{
  /* Metrics by metric_key(). */
  GTree *by_key;
};

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

static void
metric_free (gpointer data)
{
  metric_t *metric = data;

  g_free (metric->name);
  g_free (metric->labels);
  g_free (metric);
}

anvil_metrics_t *
anvil_metrics_new (void)
{
  anvil_metrics_t *metrics = g_new0 (anvil_metrics_t, 1);

  metrics->by_key = g_tree_new_full (compare_keys, NULL, g_free, metric_free);
  return metrics;
}

void
anvil_metrics_drop (anvil_metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  g_tree_unref (metrics->by_key);
  g_free (metrics);
}

/* The tree sorts by name, then by labels. */
static char *
metric_key (const char *name, const char *labels)
{
  return g_strconcat (name, "{", labels != NULL ? labels : "", NULL);
}

static metric_t *
metric_get (anvil_metrics_t *metrics, metric_kind_t kind, const char *name, const char *labels)
{
  char *key = metric_key (name, labels);
  metric_t *metric = g_tree_lookup (metrics->by_key, key);

  if (metric != NULL)
    {
      g_free (key);
      return metric;
    }
  metric = g_new0 (metric_t, 1);
  metric->kind = kind;
  metric->name = g_strdup (name);
  metric->labels = g_strdup (labels != NULL ? labels : "");
  g_tree_insert (metrics->by_key, key, metric);
  return metric;
}

typedef struct
{
  const char *name;
  GPtrArray *keys;
} removal_t;

static gboolean
collect_key (gpointer key, gpointer value, gpointer data)
{
  removal_t *removal = data;

  if (strcmp (((const metric_t *) value)->name, removal->name) == 0)
    g_ptr_array_add (removal->keys, key);
  return FALSE;
}

void
anvil_metrics_remove (anvil_metrics_t *metrics, const char *name)
{
  removal_t removal = { .name = name, .keys = g_ptr_array_new () };

  g_tree_foreach (metrics->by_key, collect_key, &removal);
  for (guint i = 0; i < removal.keys->len; i++)
    g_tree_remove (metrics->by_key, removal.keys->pdata[i]);
  g_ptr_array_unref (removal.keys);
}

void
anvil_metrics_add_counter (anvil_metrics_t *metrics,
                           const char *name,
                           const char *labels,
                           guint64 amount)
{
  metric_get (metrics, METRIC_COUNTER, name, labels)->total += amount;
}

void
anvil_metrics_set_gauge (anvil_metrics_t *metrics,
                         const char *name,
                         const char *labels,
                         gdouble value)
{
  metric_get (metrics, METRIC_GAUGE, name, labels)->value = value;
}

void
anvil_metrics_observe_histogram (anvil_metrics_t *metrics,
                                 const char *name,
                                 const char *labels,
                                 gdouble seconds)
{
  metric_t *metric = metric_get (metrics, METRIC_HISTOGRAM, name, labels);
  gsize bucket = 0;

  while (bucket < N_BOUNDS && seconds > histogram_bounds[bucket])
    bucket++;
  metric->buckets[bucket]++;
  metric->count++;
  metric->value += seconds;
}

gdouble
anvil_metrics_value (const anvil_metrics_t *metrics, const char *name, const char *labels)
{
  char *key = metric_key (name, labels);
  const metric_t *metric = g_tree_lookup (metrics->by_key, key);

  g_free (key);
  if (metric == NULL)
    return 0;
  return metric->kind == METRIC_COUNTER ? (gdouble) metric->total : metric->value;
}

static void
append_number (GString *out, gdouble value)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  g_string_append (out, g_ascii_formatd (text, sizeof text, "%.17g", value));
}

static void
render_histogram (const metric_t *metric, GString *out)
{
  const char *separator = metric->labels[0] != '\0' ? "," : "";
  guint64 cumulative = 0;

  for (gsize i = 0; i < N_BOUNDS; i++)
    {
      cumulative += metric->buckets[i];
      g_string_append_printf (out, "%s_bucket{%s%sle=\"", metric->name, metric->labels, separator);
      append_number (out, histogram_bounds[i]);
      g_string_append_printf (out, "\"} %" G_GUINT64_FORMAT "\n", cumulative);
    }
  g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n", metric->name,
                          metric->labels, separator, metric->count);
  g_string_append_printf (out, "%s_sum{%s} ", metric->name, metric->labels);
  append_number (out, metric->value);
  g_string_append_printf (out, "\n%s_count{%s} %" G_GUINT64_FORMAT "\n", metric->name,
                          metric->labels, metric->count);
}

typedef struct
{
  GString *out;
  const char *last_name;
} render_t;

static gboolean
render_metric (gpointer key, gpointer value, gpointer data)
{
  static const char *const kinds[] = {
    [METRIC_COUNTER] = "counter",
    [METRIC_GAUGE] = "gauge",
    [METRIC_HISTOGRAM] = "histogram",
  };
  const metric_t *metric = value;
  render_t *render = data;

  if (render->last_name == NULL || strcmp (render->last_name, metric->name) != 0)
    g_string_append_printf (render->out, "# TYPE %s %s\n", metric->name, kinds[metric->kind]);
  render->last_name = metric->name;

  if (metric->kind == METRIC_HISTOGRAM)
    {
      render_histogram (metric, render->out);
      return FALSE;
    }
  g_string_append (render->out, metric->name);
  if (metric->labels[0] != '\0')
    g_string_append_printf (render->out, "{%s}", metric->labels);
  g_string_append_c (render->out, ' ');
  if (metric->kind == METRIC_COUNTER)
    g_string_append_printf (render->out, "%" G_GUINT64_FORMAT, metric->total);
  else
    append_number (render->out, metric->value);
  g_string_append_c (render->out, '\n');
  return FALSE;
}

void
anvil_metrics_render (const anvil_metrics_t *metrics, GString *out)
{
  render_t render = { .out = out };

  g_tree_foreach (metrics->by_key, render_metric, &render);
}
