#include "relay/config-in-force.h"

#include "anvil/log.h"
#include "relay/config-log.h"

struct anvil_config_in_force
{
  const anvil_adapter_t *adapter;
  void (*changed) (void *context, anvil_routes_t *routes);
  void *context;
  gboolean exists;
  gint64 version;
  anvil_time_t max_cold_time;
  anvil_config_log_t *log;
};

anvil_config_in_force_t *
anvil_config_in_force_new (const anvil_adapter_t *adapter,
                           void (*changed) (void *context, anvil_routes_t *routes),
                           void *context)
{
  anvil_config_in_force_t *config = g_new0 (anvil_config_in_force_t, 1);

  config->adapter = adapter;
  config->changed = changed;
  config->context = context;
  config->log = anvil_config_log_new ();
  return config;
}

void
anvil_config_in_force_drop (anvil_config_in_force_t *config)
{
  if (config == NULL)
    return;
  anvil_config_log_drop (config->log);
  g_free (config);
}

gint64
anvil_config_in_force_version (const anvil_config_in_force_t *config)
{
  return config->version;
}

gboolean
anvil_config_in_force_exists (const anvil_config_in_force_t *config)
{
  return config->exists;
}

anvil_time_t
anvil_config_in_force_max_cold_time (const anvil_config_in_force_t *config)
{
  return config->max_cold_time;
}

/* FALSE if the configuration is invalid, or not newer than the one in force. */
static gboolean
parse_newer (const anvil_config_in_force_t *config, anvil_str_t text, anvil_routes_t **routes)
{
  GError *error = NULL;

  *routes = config->adapter->parse_routes (text, &error);
  if (*routes == NULL)
    {
      anvil_log (ANVIL_LOG_ERROR, "config",
                 "configuration is invalid, keeping the one in force version=%" G_GINT64_FORMAT
                 " reason=\"%s\"",
                 config->version, error->message);
      g_error_free (error);
      return FALSE;
    }
  if (!config->exists || anvil_routes_version (*routes) > config->version)
    return TRUE;
  if (anvil_routes_version (*routes) < config->version)
    anvil_log (ANVIL_LOG_WARNING, "config",
               "older configuration ignored version=%" G_GINT64_FORMAT
               " in_force=%" G_GINT64_FORMAT,
               anvil_routes_version (*routes), config->version);
  anvil_routes_drop (*routes);
  return FALSE;
}

/* Takes over @routes; @delta as in anvil_config_log_set(). */
static void
put_in_force (anvil_config_in_force_t *config,
              anvil_routes_t *routes,
              anvil_str_t text,
              anvil_str_t delta)
{
  config->exists = TRUE;
  config->version = anvil_routes_version (routes);
  anvil_config_log_set (config->log, config->version, text, delta);
  config->max_cold_time = 0;
  for (guint i = 0; i < anvil_routes_count_services (routes); i++)
    config->max_cold_time
        = MAX (config->max_cold_time, anvil_routes_service_at (routes, i)->cold_time);
  config->changed (config->context, routes);
  anvil_routes_drop (routes);
}

gboolean
anvil_config_in_force_apply_row (anvil_config_in_force_t *config,
                                 const anvil_store_row_t *row,
                                 const anvil_table_follower_last_response_t *response)
{
  anvil_routes_t *routes;

  if (row->removed)
    {
      anvil_log (ANVIL_LOG_WARNING, "config",
                 "configuration was removed, keeping the one in force version=%" G_GINT64_FORMAT,
                 config->version);
      return FALSE;
    }
  if (!parse_newer (config, row->value, &routes))
    return FALSE;
  anvil_log (ANVIL_LOG_NOTICE, "config",
             "configuration in force version=%" G_GINT64_FORMAT
             " from=store routes=%u bytes=%zu call_ms=%" G_GINT64_FORMAT
             " receive_ms=%" G_GINT64_FORMAT,
             anvil_routes_version (routes), anvil_routes_count (routes), response->bytes,
             response->call_time / ANVIL_MS, response->receive_time / ANVIL_MS);
  put_in_force (config, routes, row->value, (anvil_str_t){ 0 });
  return TRUE;
}

static gboolean
apply_change (anvil_config_in_force_t *config,
              const anvil_config_change_t *change,
              const char *from,
              anvil_time_t unread_time)
{
  GByteArray *bytes = anvil_config_log_apply (config->log, change);
  anvil_routes_t *routes;
  anvil_str_t text;
  gboolean newer;

  if (bytes == NULL)
    return FALSE;
  text = (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len };
  newer = parse_newer (config, text, &routes);
  if (newer)
    {
      anvil_log (ANVIL_LOG_NOTICE, "config",
                 "configuration in force version=%" G_GINT64_FORMAT
                 " from=%s routes=%u bytes=%zu unread_ms=%" G_GINT64_FORMAT,
                 anvil_routes_version (routes), from, anvil_routes_count (routes),
                 change->delta.length, unread_time / ANVIL_MS);
      put_in_force (config, routes, text,
                    change->from_version > 0 ? change->delta : (anvil_str_t){ 0 });
    }
  g_byte_array_unref (bytes);
  return newer;
}

gboolean
anvil_config_in_force_apply_changes (anvil_config_in_force_t *config,
                                     anvil_str_t changes,
                                     const char *from,
                                     anvil_time_t unread_time)
{
  anvil_config_change_t change;

  while (changes.length > 0)
    {
      if (!anvil_config_change_unpack (&changes, &change))
        return FALSE;
      if (change.to_version > config->version && !apply_change (config, &change, from, unread_time))
        return FALSE;
    }
  return TRUE;
}

gboolean
anvil_config_in_force_changes_since (const anvil_config_in_force_t *config,
                                     gint64 version,
                                     GByteArray *out)
{
  return anvil_config_log_changes_since (config->log, version, out);
}

void
anvil_config_in_force_pack_whole (const anvil_config_in_force_t *config,
                                  gsize max_bytes,
                                  GByteArray *out)
{
  anvil_config_log_pack_whole (config->log, max_bytes, out);
}
