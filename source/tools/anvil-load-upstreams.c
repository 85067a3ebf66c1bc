#include "anvil-load-upstreams.h"

#include <jansson.h>

#include "anvil/error.h"

static void
headroom_clear (gpointer data)
{
  load_headroom_t *headroom = data;

  g_free (headroom->name);
}

static void
drain_time_clear (gpointer data)
{
  load_drain_time_t *drain = data;

  g_free (drain->name);
}

static load_upstream_report_t *
upstreams_new (void)
{
  load_upstream_report_t *upstreams = g_new0 (load_upstream_report_t, 1);

  upstreams->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  upstreams->regions = g_array_new (FALSE, TRUE, sizeof (load_headroom_t));
  upstreams->links = g_array_new (FALSE, TRUE, sizeof (load_headroom_t));
  upstreams->drains = g_array_new (FALSE, TRUE, sizeof (load_drain_time_t));
  g_array_set_clear_func (upstreams->regions, headroom_clear);
  g_array_set_clear_func (upstreams->links, headroom_clear);
  g_array_set_clear_func (upstreams->drains, drain_time_clear);
  return upstreams;
}

void
load_upstream_report_drop (load_upstream_report_t *upstreams)
{
  if (upstreams == NULL)
    return;
  g_hash_table_unref (upstreams->runs);
  g_array_unref (upstreams->regions);
  g_array_unref (upstreams->links);
  g_array_unref (upstreams->drains);
  g_free (upstreams);
}

guint64
load_upstream_report_runs (const load_upstream_report_t *upstreams, const char *key)
{
  const guint64 *runs = g_hash_table_lookup (upstreams->runs, key);

  return runs != NULL ? *runs : 0;
}

/* Spare share of a capacity at its fullest moment; below 0 when it was exceeded. */
static gdouble
spare_percent (gdouble peak, gdouble capacity)
{
  return capacity > 0 ? 100 * (capacity - peak) / capacity : 0;
}

static gboolean
load_runs (load_upstream_report_t *upstreams, json_t *runs)
{
  const char *key;
  json_t *count;

  json_object_foreach (runs, key, count)
  {
    guint64 value;

    if (!json_is_integer (count) || json_integer_value (count) < 0)
      return FALSE;
    value = (guint64) json_integer_value (count);
    g_hash_table_insert (upstreams->runs, g_strdup (key), g_memdup2 (&value, sizeof value));
  }
  return TRUE;
}

static gboolean
load_regions (load_upstream_report_t *upstreams, json_t *regions)
{
  size_t index;
  json_t *item;

  json_array_foreach (regions, index, item)
  {
    const char *name;
    json_int_t slots;
    json_int_t peak;
    json_int_t overruns;
    load_headroom_t region;

    if (json_unpack (item, "{s:s, s:I, s:I, s:I}", "region", &name, "slots", &slots, "peak_running",
                     &peak, "overruns", &overruns)
        != 0)
      return FALSE;
    region.name = g_strdup (name);
    region.least_percent = spare_percent ((gdouble) peak, (gdouble) slots);
    region.overruns = (guint64) overruns;
    g_array_append_val (upstreams->regions, region);
  }
  return TRUE;
}

static gboolean
load_links (load_upstream_report_t *upstreams, json_t *links)
{
  size_t index;
  json_t *item;

  json_array_foreach (links, index, item)
  {
    const char *from;
    const char *to;
    json_int_t limit;
    json_int_t peak;
    json_int_t overruns;
    load_headroom_t link;

    if (json_unpack (item, "{s:s, s:s, s:I, s:I, s:I}", "from", &from, "to", &to, "bits_per_s",
                     &limit, "peak_bits_per_s", &peak, "overruns", &overruns)
        != 0)
      return FALSE;
    link.name = g_strconcat (from, "->", to, NULL);
    link.least_percent = spare_percent ((gdouble) peak, (gdouble) limit);
    link.overruns = (guint64) overruns;
    g_array_append_val (upstreams->links, link);
  }
  return TRUE;
}

static gboolean
load_drains (load_upstream_report_t *upstreams, json_t *drains)
{
  size_t index;
  json_t *item;

  json_array_foreach (drains, index, item)
  {
    const char *name;
    double ms;
    load_drain_time_t drain;

    if (json_unpack (item, "{s:s, s:F}", "upstream", &name, "drain_ms", &ms) != 0)
      return FALSE;
    drain.name = g_strdup (name);
    drain.duration = (anvil_time_t) (ms * (double) ANVIL_MS);
    g_array_append_val (upstreams->drains, drain);
  }
  return TRUE;
}

load_upstream_report_t *
load_upstream_report_parse (anvil_str_t json, GError **error)
{
  json_t *root = json_loadb (json.data != NULL ? json.data : "", json.length, 0, NULL);
  load_upstream_report_t *upstreams = upstreams_new ();
  json_t *runs;
  json_t *regions;
  json_t *links;
  json_t *drains;
  gboolean valid;

  valid = root != NULL
          && json_unpack (root, "{s:o, s:o, s:o, s:o}", "runs", &runs, "regions", &regions, "links",
                          &links, "drains", &drains)
                 == 0
          && load_runs (upstreams, runs) && load_regions (upstreams, regions)
          && load_links (upstreams, links) && load_drains (upstreams, drains);
  json_decref (root);
  if (valid)
    return upstreams;
  load_upstream_report_drop (upstreams);
  g_set_error_literal (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "upstream report: expected runs, regions, links and drains");
  return NULL;
}
