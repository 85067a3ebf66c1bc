#include "anvil-upstream-settings.h"

#include <string.h>

#include "anvil/error.h"

#define DEFAULT_SERVICE_TIME (60 * ANVIL_MS)
#define MAX_SERVICE_MS 600000

static anvil_config_t *
load_config (const char *file, GError **error)
{
  anvil_config_t *config;
  gsize length;
  char *text;

  if (!g_file_get_contents (file, &text, &length, error))
    return NULL;
  config = anvil_config_load (file, (anvil_str_t){ .data = text, .length = length }, error);
  g_free (text);
  return config;
}

static gboolean
load_vms (upstream_topology_t *places, const char *file, GError **error)
{
  json_error_t parse_error;
  json_t *json;
  gboolean valid;

  if (file == NULL)
    return TRUE;
  json = json_load_file (file, 0, &parse_error);
  valid = json != NULL && upstream_topology_set_vms (places, json);
  if (json == NULL)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s:%d: %s", file, parse_error.line,
                 parse_error.text);
  else if (!valid)
    g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                 "%s: expected {\"vms\":[...]} with addresses and zones of the deployment", file);
  json_decref (json);
  return valid;
}

static gboolean
load_service_time (upstream_context_t *context, const char *item)
{
  const char *equals = strchr (item, '=');
  anvil_str_t name;
  guint64 ms;
  guint service;

  if (equals == NULL)
    return FALSE;
  name = (anvil_str_t){ .data = item, .length = equals - item };
  service = anvil_config_lookup_service (context->config, name);
  if (service == ANVIL_NO_INDEX
      || !g_ascii_string_to_unsigned (equals + 1, 10, 0, MAX_SERVICE_MS, &ms, NULL))
    return FALSE;
  context->service_times[service] = (anvil_time_t) ms * ANVIL_MS;
  return TRUE;
}

/* Parses mean service times, "galeria=60,attest=40". */
static gboolean
load_service_times (upstream_context_t *context, const char *text, GError **error)
{
  char **items = g_strsplit (text != NULL ? text : "", ",", -1);
  gboolean valid = TRUE;

  context->service_times = g_new0 (anvil_time_t, context->config->n_services + 1);
  for (guint i = 0; i < context->config->n_services; i++)
    context->service_times[i] = DEFAULT_SERVICE_TIME;
  for (char **item = items; *item != NULL && valid; item++)
    {
      valid = load_service_time (context, *item);
      if (!valid)
        g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                     "--service-ms \"%s\": expected SERVICE=MS", *item);
    }
  g_strfreev (items);
  return valid;
}

gboolean
upstream_context_load (upstream_context_t *context, const anvil_setting_t *items, GError **error)
{
  context->config = load_config (items[UPSTREAM_CONFIG].text, error);
  if (context->config == NULL)
    return FALSE;
  context->topology = upstream_topology_new (context->config);
  context->run_counts = upstream_run_counts_new ();
  context->regions = g_new0 (upstream_region_t, context->config->n_regions + 1);
  context->random = g_rand_new_with_seed ((guint32) items[UPSTREAM_SEED].integer);
  context->load_sample_interval = items[UPSTREAM_LOAD_LAG].integer * ANVIL_MS;
  context->max_queued = (guint) items[UPSTREAM_BACKLOG].integer;
  context->cold_requests = (guint) items[UPSTREAM_COLD_REQUESTS].integer;
  context->cold_factor = (gdouble) items[UPSTREAM_COLD_FACTOR].integer;
  context->max_cached_objects = (guint) items[UPSTREAM_CACHE_OBJECTS].integer;
  return load_service_times (context, items[UPSTREAM_SERVICE_MS].text, error)
         && load_vms (context->topology, items[UPSTREAM_VMS].text, error);
}

void
upstream_context_clear (upstream_context_t *context)
{
  g_clear_pointer (&context->random, g_rand_free);
  g_clear_pointer (&context->service_times, g_free);
  g_clear_pointer (&context->regions, g_free);
  upstream_run_counts_drop (context->run_counts);
  upstream_topology_drop (context->topology);
  anvil_config_drop (context->config);
}
