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
report_new (void)
{
  load_upstream_report_t *report = g_new0 (load_upstream_report_t, 1);

  report->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  report->regions = g_array_new (FALSE, TRUE, sizeof (load_headroom_t));
  report->links = g_array_new (FALSE, TRUE, sizeof (load_headroom_t));
  report->drains = g_array_new (FALSE, TRUE, sizeof (load_drain_time_t));
  g_array_set_clear_func (report->regions, headroom_clear);
  g_array_set_clear_func (report->links, headroom_clear);
  g_array_set_clear_func (report->drains, drain_time_clear);
  return report;
}

void
load_upstream_report_drop (load_upstream_report_t *report)
{
  if (report == NULL)
    return;
  g_hash_table_unref (report->runs);
  g_array_unref (report->regions);
  g_array_unref (report->links);
  g_array_unref (report->drains);
  g_free (report);
}

guint64
load_upstream_report_runs (const load_upstream_report_t *report, const char *key)
{
  const guint64 *runs = g_hash_table_lookup (report->runs, key);

  return runs != NULL ? *runs : 0;
}

/* Spare part of a capacity at peak use; negative if the peak exceeded it. */
static gdouble
spare_percent (gdouble peak, gdouble capacity)
{
  return capacity > 0 ? 100 * (capacity - peak) / capacity : 0;
}

static gboolean
parse_runs (load_upstream_report_t *report, json_t *runs)
{
  const char *key;
  json_t *count;

  json_object_foreach (runs, key, count)
  {
    guint64 value;

    if (!json_is_integer (count) || json_integer_value (count) < 0)
      return FALSE;
    value = (guint64) json_integer_value (count);
    g_hash_table_insert (report->runs, g_strdup (key), g_memdup2 (&value, sizeof value));
  }
  return TRUE;
}

static gboolean
parse_regions (load_upstream_report_t *report, json_t *regions)
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
    g_array_append_val (report->regions, region);
  }
  return TRUE;
}

static gboolean
parse_links (load_upstream_report_t *report, json_t *links)
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
    g_array_append_val (report->links, link);
  }
  return TRUE;
}

static gboolean
parse_drains (load_upstream_report_t *report, json_t *drains)
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
    g_array_append_val (report->drains, drain);
  }
  return TRUE;
}

load_upstream_report_t *
load_upstream_report_parse (anvil_str_t json, GError **error)
{
  json_t *root = json_loadb (json.data != NULL ? json.data : "", json.length, 0, NULL);
  load_upstream_report_t *report = report_new ();
  json_t *runs;
  json_t *regions;
  json_t *links;
  json_t *drains;
  gboolean valid;

  valid = root != NULL
          && json_unpack (root, "{s:o, s:o, s:o, s:o}", "runs", &runs, "regions", &regions, "links",
                          &links, "drains", &drains)
                 == 0
          && parse_runs (report, runs) && parse_regions (report, regions)
          && parse_links (report, links) && parse_drains (report, drains);
  json_decref (root);
  if (valid)
    return report;
  load_upstream_report_drop (report);
  g_set_error_literal (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                       "report of the upstreams: expected runs, regions, links and drains");
  return NULL;
}
