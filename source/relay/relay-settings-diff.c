#include "relay/relay-settings-diff.h"

#include <string.h>

#include "anvil/settings.h"

/**
 * field_t - a setting as it is compared and shown
 * @format: its value as text; free it with g_free()
 */
typedef struct
{
  const char *name;
  const char *reaches;
  gboolean at_reload;
  char *(*format) (const anvil_relay_settings_t *settings);
} field_t;

typedef struct
{
  anvil_relay_setting_change_cb_t visit;
  void *context;
  guint n;
} differences_t;

static char *
format_endpoint (const anvil_relay_endpoint_t *endpoint)
{
  return anvil_endpoint_format (endpoint->address, endpoint->port);
}

#define TEXT_FORMATTER(function, expression)                                                       \
  static char *function (const anvil_relay_settings_t *settings) { return expression; }

TEXT_FORMATTER (format_vm, g_strdup (settings->vm))
TEXT_FORMATTER (format_zone, g_strdup (settings->zone))
TEXT_FORMATTER (format_callers, format_endpoint (&settings->caller_endpoint))
TEXT_FORMATTER (format_readiness, format_endpoint (&settings->readiness_endpoint))
TEXT_FORMATTER (format_lookup, format_endpoint (&settings->lookup_endpoint))
TEXT_FORMATTER (format_peers, format_endpoint (&settings->peer_endpoint))
TEXT_FORMATTER (format_metrics, format_endpoint (&settings->metrics_endpoint))
TEXT_FORMATTER (format_store, format_endpoint (&settings->store_endpoint))
TEXT_FORMATTER (format_shutdown_timeout,
                g_strdup_printf ("%" G_GINT64_FORMAT "ms", settings->shutdown_timeout / ANVIL_MS))
TEXT_FORMATTER (format_resync_time,
                g_strdup_printf ("%" G_GINT64_FORMAT "ms", settings->resync_time / ANVIL_MS))
TEXT_FORMATTER (format_lookup_ttl, g_strdup_printf ("%us", settings->lookup_ttl_s))
TEXT_FORMATTER (format_cpu, g_strdup_printf ("%umillicores", settings->cpu_millicores))
TEXT_FORMATTER (format_memory, g_strdup_printf ("%zubytes", settings->memory_bytes))
TEXT_FORMATTER (format_descriptors, g_strdup_printf ("%u", settings->max_descriptors))
TEXT_FORMATTER (format_link, g_strdup_printf ("%" G_GUINT64_FORMAT "bit/s", settings->link_rate))
TEXT_FORMATTER (format_retry_ratio, g_strdup_printf ("%g", settings->limits.retry_ratio))
TEXT_FORMATTER (format_retry_extra, g_strdup_printf ("%g", settings->limits.retry_extra))
TEXT_FORMATTER (format_retry_window,
                g_strdup_printf ("%" G_GINT64_FORMAT "ms",
                                 settings->limits.retry_window / ANVIL_MS))
TEXT_FORMATTER (format_cold_factor, g_strdup_printf ("%g", settings->limits.cold_factor))
TEXT_FORMATTER (format_cold_extra, g_strdup_printf ("%g", settings->limits.cold_extra))
TEXT_FORMATTER (format_repeat_share, g_strdup_printf ("%g", settings->limits.repeat_share))
TEXT_FORMATTER (format_max_shift, g_strdup_printf ("%g", settings->limits.max_shift))
TEXT_FORMATTER (format_quota_window,
                g_strdup_printf ("%" G_GINT64_FORMAT "ms",
                                 settings->limits.quota_window / ANVIL_MS))
TEXT_FORMATTER (format_quota_overage, g_strdup_printf ("%g", settings->limits.quota_overage))
TEXT_FORMATTER (format_quota_slack, g_strdup_printf ("%g", settings->limits.quota_slack))
TEXT_FORMATTER (format_strict, g_strdup (settings->strict_revocation ? "true" : "false"))
TEXT_FORMATTER (format_revoke_time,
                g_strdup_printf ("%" G_GINT64_FORMAT "ms", settings->revoke_time / ANVIL_MS))

static char *
format_seeds (const anvil_relay_settings_t *settings)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < settings->n_seeds; i++)
    {
      char *seed = anvil_endpoint_format (anvil_node_address (settings->seeds[i]),
                                          anvil_node_port (settings->seeds[i]));

      g_string_append_printf (text, "%s%s", i > 0 ? "," : "", seed);
      g_free (seed);
    }
  return g_string_free (text, FALSE);
}

static const field_t fields[] = {
  { "vm", "name in logs and in the table of entries", FALSE, format_vm },
  { "zone", "placing of requests, look-ups", FALSE, format_zone },
  { "callers", "requests of callers", FALSE, format_callers },
  { "readiness", "readiness checks", FALSE, format_readiness },
  { "lookup", "look-ups of entries", FALSE, format_lookup },
  { "peers", "links to other entries", FALSE, format_peers },
  { "metrics", "metrics", FALSE, format_metrics },
  { "store", "configuration, evacuations, upstreams", FALSE, format_store },
  { "seeds", "which entries are contacted first", TRUE, format_seeds },
  { "shutdown-timeout", "planned stops", FALSE, format_shutdown_timeout },
  { "resync-time", "how often the operators' table is read", TRUE, format_resync_time },
  { "lookup-ttl", "look-ups of entries", FALSE, format_lookup_ttl },
  { "cpu", "choice of holders", FALSE, format_cpu },
  { "memory", "limits of bodies and responses", FALSE, format_memory },
  { "descriptors", "limit of callers' connections", FALSE, format_descriptors },
  { "link", "share of the callers that are sent here", FALSE, format_link },
  { "retry-ratio", "retries of all services", TRUE, format_retry_ratio },
  { "retry-extra", "retries of all services", TRUE, format_retry_extra },
  { "retry-window", "retries of all services", TRUE, format_retry_window },
  { "cold-factor", "requests to cold upstreams of all services", TRUE, format_cold_factor },
  { "cold-extra", "requests to cold upstreams of all services", TRUE, format_cold_extra },
  { "repeat-share", "second runs of late requests, of all services", TRUE, format_repeat_share },
  { "max-shift", "moves of requests between regions", TRUE, format_max_shift },
  { "quota-window", "quotas of all tenants", TRUE, format_quota_window },
  { "quota-overage", "quotas of all tenants", TRUE, format_quota_overage },
  { "quota-slack", "quotas of all tenants", TRUE, format_quota_slack },
  { "strict-revocation", "callers with keys", TRUE, format_strict },
  { "revoke-time", "callers with keys, readiness", TRUE, format_revoke_time },
};

static void
add_difference (differences_t *differences,
                const char *name,
                const char *from,
                const char *to,
                const char *reaches,
                gboolean at_reload)
{
  const anvil_relay_setting_change_t change = { .name = name,
                                                .from = from != NULL ? from : "-",
                                                .to = to != NULL ? to : "-",
                                                .reaches = reaches,
                                                .at_reload = at_reload };

  differences->n++;
  differences->visit (differences->context, &change);
}

static void
compare_field (differences_t *differences,
               const field_t *field,
               const anvil_relay_settings_t *from,
               const anvil_relay_settings_t *to)
{
  char *old_value = field->format (from);
  char *new_value = field->format (to);

  if (g_strcmp0 (old_value, new_value) != 0)
    add_difference (differences, field->name, old_value, new_value, field->reaches,
                    field->at_reload);
  g_free (old_value);
  g_free (new_value);
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

/* Names of the zones of both, sorted and without duplicates. */
static GList *
all_zones (const anvil_relay_settings_t *from, const anvil_relay_settings_t *to)
{
  GList *zones = g_hash_table_get_keys (from->region_by_zone);
  GHashTableIter iter;
  gpointer zone;

  g_hash_table_iter_init (&iter, to->region_by_zone);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      if (!g_hash_table_contains (from->region_by_zone, zone))
        zones = g_list_prepend (zones, zone);
    }
  return g_list_sort (zones, compare_names);
}

static void
compare_zones (differences_t *differences,
               const anvil_relay_settings_t *from,
               const anvil_relay_settings_t *to)
{
  GList *zones = all_zones (from, to);

  for (const GList *link = zones; link != NULL; link = link->next)
    {
      const char *old_region = g_hash_table_lookup (from->region_by_zone, link->data);
      const char *new_region = g_hash_table_lookup (to->region_by_zone, link->data);
      char *name;

      if (g_strcmp0 (old_region, new_region) == 0)
        continue;
      name = g_strdup_printf ("zone %s", (const char *) link->data);
      add_difference (differences, name, old_region, new_region,
                      "region of the zone's upstreams and callers", FALSE);
      g_free (name);
    }
  g_list_free (zones);
}

guint
anvil_relay_settings_diff (const anvil_relay_settings_t *from,
                           const anvil_relay_settings_t *to,
                           anvil_relay_setting_change_cb_t visit,
                           void *context)
{
  differences_t differences = { .visit = visit, .context = context };

  for (gsize i = 0; i < G_N_ELEMENTS (fields); i++)
    compare_field (&differences, &fields[i], from, to);
  compare_zones (&differences, from, to);
  return differences.n;
}
