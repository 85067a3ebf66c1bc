#include "admin-metrics.h"

/* A counter kept by another module and the metric that exports it. */
typedef struct
{
  const char *name;
  guint64 value;
} total_t;

/* Raises a counter metric to the current total. Totals never decrease. */
static void
raise_counter (anvil_metrics_t *metrics, const total_t *total)
{
  gdouble before = anvil_metrics_value (metrics, total->name, NULL);

  anvil_metrics_add_counter (metrics, total->name, NULL, total->value - (guint64) before);
}

static void
update_steer_metrics (anvil_metrics_t *metrics, const anvil_steer_t *steer)
{
  const anvil_steer_counters_t *core = anvil_steer_counters (steer);
  const total_t totals[] = {
    { "anvil_dispatched_total", core->dispatched },
    { "anvil_retried_total", core->retried },
    { "anvil_refused_total", core->refused },
    { "anvil_waited_total", core->waited },
    { "anvil_loans_asked_total", core->loans_asked },
    { "anvil_loans_given_total", core->loans_given },
    { "anvil_loans_taken_total", core->loans_taken },
    { "anvil_adoptions_total", core->adoptions },
    { "anvil_ejections_total", core->ejections },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (totals); i++)
    raise_counter (metrics, &totals[i]);
  anvil_metrics_set_gauge (metrics, "anvil_generation", NULL,
                           (gdouble) anvil_steer_generation (steer));
  anvil_metrics_set_gauge (metrics, "anvil_busy_requests", NULL, anvil_steer_request_count (steer));
}

static void
update_peer_metrics (anvil_metrics_t *metrics, const anvil_peers_counters_t *peers)
{
  const total_t totals[] = {
    { "anvil_peer_frames_in_total", peers->frames_in },
    { "anvil_peer_frames_out_total", peers->frames_out },
    { "anvil_peer_bytes_in_total", peers->bytes_in },
    { "anvil_peer_bytes_out_total", peers->bytes_out },
    { "anvil_peer_bad_frames_total", peers->bad_frames },
    { "anvil_peer_other_versions_total", peers->version_mismatches },
    { "anvil_peer_dropped_total", peers->dropped },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (totals); i++)
    raise_counter (metrics, &totals[i]);
}

static void
update_upstream_metrics (anvil_metrics_t *metrics, const anvil_steer_t *steer, anvil_time_t now)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  anvil_upstream_status_t status;

  for (guint i = 0; anvil_steer_upstream_status (steer, now, i, &status); i++)
    {
      char *labels = g_strdup_printf ("upstream=\"%s\"", config->upstreams[i].name.data);

      anvil_metrics_set_gauge (metrics, "anvil_upstream_in_flight", labels, status.in_flight);
      anvil_metrics_set_gauge (metrics, "anvil_upstream_accepting", labels, status.accepting);
      g_free (labels);
    }
}

static void
update_link_metrics (anvil_metrics_t *metrics, const anvil_steer_t *steer, anvil_time_t now)
{
  const anvil_config_t *config = anvil_steer_config (steer);
  anvil_link_status_t status;

  for (guint i = 0; anvil_steer_link_status (steer, now, i, &status); i++)
    {
      const anvil_link_t *link = &config->links[i];
      char *labels
          = g_strdup_printf ("from=\"%s\",to=\"%s\"", config->regions[link->from].name.data,
                             config->regions[link->to].name.data);

      anvil_metrics_set_gauge (metrics, "anvil_link_share_bits_per_second", labels,
                               (gdouble) status.share_bits_per_s);
      anvil_metrics_set_gauge (metrics, "anvil_link_used_bits", labels, (gdouble) status.used_bits);
      g_free (labels);
    }
}

void
anvil_admin_metrics_render (const anvil_metric_sources_t *sources,
                            anvil_metrics_t *metrics,
                            anvil_time_t now,
                            GString *out)
{
  update_steer_metrics (metrics, sources->steer);
  update_peer_metrics (metrics, anvil_peers_counters (sources->peers));
  update_upstream_metrics (metrics, sources->steer, now);
  update_link_metrics (metrics, sources->steer, now);
  anvil_metrics_set_gauge (metrics, "anvil_ready", NULL, sources->ready);
  anvil_metrics_set_gauge (metrics, "anvil_caller_connections", NULL,
                           anvil_caller_connections_count (sources->callers));
  anvil_metrics_set_gauge (metrics, "anvil_buffered_bytes", NULL,
                           (gdouble) anvil_caller_connections_buffered_bytes (sources->callers));
  anvil_metrics_render (metrics, out);
}
