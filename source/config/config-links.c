#include "config/config-check.h"

static const config_range_t mbit_range = { 1, 10000000, "Mbit/s" };
static const config_range_t delay_range = { 0, 10000, "ms" };

#define BITS_PER_MBIT 1000000

static gboolean
has_link (const anvil_config_t *config, guint from, guint to)
{
  for (guint i = 0; i < config->n_links; i++)
    {
      if (config->links[i].from == from && config->links[i].to == to)
        return TRUE;
    }
  return FALSE;
}

static void
add_link (anvil_config_t *config, guint from, guint to, gint64 mbit_per_s, gint64 delay_ms)
{
  config->links[config->n_links++] = (anvil_link_t){
    .from = from,
    .to = to,
    .bits_per_s = mbit_per_s * BITS_PER_MBIT,
    .delay = delay_ms * ANVIL_MS,
  };
}

static gboolean
build_link (config_check_t *check, guint index)
{
  const file_link_t *raw = &check->raw->links[index];
  anvil_config_t *config = check->config;
  gint64 mbit_per_s;
  gint64 delay_ms;
  guint a;
  guint b;

  anvil_config_set_item (check, "links[%u]", index);
  if (!anvil_config_resolve_region (check, "between[0]", raw->between[0], &a)
      || !anvil_config_resolve_region (check, "between[1]", raw->between[1], &b))
    return FALSE;
  if (a == b)
    return anvil_config_report_error (
        check, "between", "region \"%s\" at both ends, expected two regions", raw->between[0]);
  if (has_link (config, a, b))
    return anvil_config_report_error (check, "between",
                                      "regions \"%s\" and \"%s\" have a link already, expected one",
                                      raw->between[0], raw->between[1]);
  if (!anvil_config_parse_number (check, "mbit_per_s", raw->mbit_per_s, &mbit_range, &mbit_per_s)
      || !anvil_config_parse_number (check, "delay_ms", raw->delay_ms, &delay_range, &delay_ms))
    return FALSE;

  add_link (config, a, b, mbit_per_s, delay_ms);
  add_link (config, b, a, mbit_per_s, delay_ms);
  return TRUE;
}

static gboolean
check_all_pairs_linked (config_check_t *check)
{
  const anvil_config_t *config = check->config;

  anvil_config_set_item (check, "links");
  for (guint from = 0; from < config->n_regions; from++)
    {
      for (guint to = from + 1; to < config->n_regions; to++)
        {
          if (!has_link (config, from, to))
            return anvil_config_report_error (
                check, NULL,
                "no link between \"%s\" and \"%s\", expected one for every two regions",
                config->regions[from].name.data, config->regions[to].name.data);
        }
    }
  return TRUE;
}

gboolean
anvil_config_build_links (config_check_t *check)
{
  guint n_regions = check->config->n_regions;

  /* Enough for all pairs in both directions, since duplicates are rejected. */
  check->config->links = g_new0 (anvil_link_t, (gsize) n_regions * n_regions);
  for (guint i = 0; i < check->raw->n_links; i++)
    {
      if (!build_link (check, i))
        return FALSE;
    }
  return check_all_pairs_linked (check);
}
