#include "anvil/config.h"

#include "config/config-check.h"
#include "config/config-index.h"
#include "config/config-parse.h"
#include "config/config-scan.h"

#define TEXT_CHUNK_BYTES 4096

static gboolean
build_deployment (config_check_t *check)
{
  anvil_config_set_item (check, "deployment");
  return anvil_config_parse_name (check, NULL, check->raw->deployment, &check->config->deployment);
}

static gboolean
build (config_check_t *check)
{
  return build_deployment (check) && anvil_config_build_regions (check)
         && anvil_config_build_links (check) && anvil_config_build_services (check)
         && anvil_config_build_upstreams (check) && anvil_config_build_shifts (check)
         && anvil_config_build_seats (check);
}

static anvil_config_t *
config_new (void)
{
  anvil_config_t *config = g_new0 (anvil_config_t, 1);

  config->references = 1;
  config->strings = g_string_chunk_new (TEXT_CHUNK_BYTES);
  return config;
}

anvil_config_t *
anvil_config_load (const char *file, anvil_str_t text, GError **error)
{
  config_check_t check = { .file = file, .text = text, .error = error };
  config_file_t *raw;
  gboolean built;

  if (!anvil_config_scan (file, text, error))
    return NULL;
  raw = anvil_config_parse (file, text, error);
  if (raw == NULL)
    return NULL;

  check.raw = raw;
  check.config = config_new ();
  check.seen_names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  built = build (&check);
  g_hash_table_unref (check.seen_names);
  g_free (check.item);
  anvil_config_file_free (raw);
  if (!built)
    {
      anvil_config_drop (check.config);
      return NULL;
    }
  check.config->index = anvil_config_index_new (check.config);
  return check.config;
}

anvil_config_t *
anvil_config_keep (anvil_config_t *config)
{
  config->references++;
  return config;
}

static void
services_free (anvil_config_t *config)
{
  for (guint i = 0; i < config->n_services; i++)
    {
      g_free (config->services[i].hosts);
      g_free (config->services[i].half_percents);
    }
  g_free (config->services);
}

void
anvil_config_drop (anvil_config_t *config)
{
  if (config == NULL || --config->references > 0)
    return;
  anvil_config_index_drop (config->index);
  services_free (config);
  g_free (config->halves);
  g_free (config->regions);
  g_free (config->zones);
  g_free (config->blocks);
  g_free (config->links);
  g_free (config->upstreams);
  g_free (config->shifts);
  g_free (config->seats);
  g_string_chunk_free (config->strings);
  g_free (config);
}
