#include <stdlib.h>
#include <string.h>

#include "config/config-check.h"

/* Halves, and regions with their zones and client blocks. */

static const config_range_t prefix_length_range = { 0, 32, "bits of the prefix" };

static gboolean
build_halves (config_check_t *check)
{
  anvil_config_t *config = check->config;

  config->halves = g_new0 (anvil_half_t, check->raw->n_halves);
  for (guint i = 0; i < check->raw->n_halves; i++)
    {
      const file_half_t *raw = &check->raw->halves[i];

      anvil_config_set_item (check, "halves[%u]", i);
      if (!anvil_config_parse_name (check, "name", raw->name, &config->halves[i].name))
        return FALSE;
      if (!anvil_config_check_unique (check, "name", "half", raw->name))
        return FALSE;
      config->n_halves++;
    }
  return TRUE;
}

static gboolean
build_zone (config_check_t *check, guint region, guint index)
{
  const char *name = check->raw->regions[region].zones[index];
  anvil_zone_t *zone = &check->config->zones[check->config->n_zones];

  anvil_config_set_item (check, "regions[%u].zones[%u]", region, index);
  if (!anvil_config_parse_name (check, NULL, name, &zone->name))
    return FALSE;
  if (!anvil_config_check_unique (check, NULL, "zone", name))
    return FALSE;
  zone->region = region;
  check->config->n_zones++;
  return TRUE;
}

static gboolean
parse_block (config_check_t *check, const char *text, anvil_client_block_t *block)
{
  const char *slash = strchr (text, '/');
  gint64 prefix_length;
  gboolean valid;
  char *address;

  if (slash == NULL)
    return anvil_config_report_error (check, NULL,
                                      "no prefix length, expected a block such as 10.1.0.0/16");
  address = g_strndup (text, slash - text);
  valid = anvil_config_parse_address (check, NULL, address, &block->address);
  g_free (address);
  if (!valid
      || !anvil_config_parse_number (check, NULL, slash + 1, &prefix_length_range, &prefix_length))
    return FALSE;
  block->prefix_length = (guint8) prefix_length;
  return TRUE;
}

static gboolean
build_block (config_check_t *check, guint region, guint index)
{
  const char *text = check->raw->regions[region].clients[index];
  anvil_client_block_t *block = &check->config->blocks[check->config->n_blocks];
  guint32 address;
  char *name;
  gboolean unique;

  anvil_config_set_item (check, "regions[%u].clients[%u]", region, index);
  if (!parse_block (check, text, block))
    return FALSE;
  address = block->address;
  if (block->prefix_length < 32 && (address & (G_MAXUINT32 >> block->prefix_length)) != 0)
    return anvil_config_report_error (
        check, NULL, "host bits set beyond /%u, expected them to be 0", block->prefix_length);
  name = g_strdup_printf ("%u.%u.%u.%u/%u", address >> 24, address >> 16 & 255, address >> 8 & 255,
                          address & 255, block->prefix_length);
  unique = anvil_config_check_unique (check, NULL, "block", name);
  g_free (name);
  block->region = region;
  check->config->n_blocks++;
  return unique;
}

static gboolean
build_region (config_check_t *check, guint index)
{
  const file_region_t *raw = &check->raw->regions[index];
  anvil_region_t *region = &check->config->regions[index];

  anvil_config_set_item (check, "regions[%u]", index);
  if (!anvil_config_parse_name (check, "name", raw->name, &region->name))
    return FALSE;
  if (!anvil_config_check_unique (check, "name", "region", raw->name))
    return FALSE;
  region->half = ANVIL_NO_INDEX;
  if (raw->half != NULL && !anvil_config_resolve_half (check, "half", raw->half, &region->half))
    return FALSE;
  check->config->n_regions++;

  for (guint i = 0; i < raw->n_zones; i++)
    {
      if (!build_zone (check, index, i))
        return FALSE;
    }
  for (guint i = 0; i < raw->n_clients; i++)
    {
      if (!build_block (check, index, i))
        return FALSE;
    }
  return TRUE;
}

static gint
compare_blocks (gconstpointer a, gconstpointer b)
{
  return anvil_client_block_compare (a, b);
}

static gboolean
build_regions (config_check_t *check)
{
  const config_file_t *raw = check->raw;
  anvil_config_t *config = check->config;
  guint n_zones = 0;
  guint n_blocks = 0;

  for (guint i = 0; i < raw->n_regions; i++)
    {
      n_zones += raw->regions[i].n_zones;
      n_blocks += raw->regions[i].n_clients;
    }
  config->regions = g_new0 (anvil_region_t, raw->n_regions);
  config->zones = g_new0 (anvil_zone_t, n_zones);
  config->blocks = g_new0 (anvil_client_block_t, n_blocks);

  for (guint i = 0; i < raw->n_regions; i++)
    {
      if (!build_region (check, i))
        return FALSE;
    }
  if (n_blocks > 0)
    qsort (config->blocks, n_blocks, sizeof *config->blocks, compare_blocks);
  return TRUE;
}

gboolean
anvil_config_build_regions (config_check_t *check)
{
  return build_halves (check) && build_regions (check);
}
