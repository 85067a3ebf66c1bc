#include "anvil-upstream-fleet.h"

#include "anvil-upstream-server.h"

struct upstream_fleet
{
  upstream_context_t *context;
  upstream_server_t **servers;
  guint n_servers;
  struct event *sample_timer;
};

static void
sample_loads (upstream_fleet_t *fleet)
{
  anvil_time_t now = anvil_clock_now ();

  for (guint i = 0; i < fleet->n_servers; i++)
    upstream_server_sample_load (fleet->servers[i], now);
}

static void
on_sample (evutil_socket_t unused_fd, short unused_what, void *data)
{
  sample_loads (data);
}

static void
start_sample_timer (upstream_fleet_t *fleet)
{
  anvil_time_t lag = fleet->context->load_sample_interval;
  struct timeval period = { .tv_sec = lag / ANVIL_SECOND, .tv_usec = lag % ANVIL_SECOND };

  fleet->sample_timer = event_new (fleet->context->base, -1, EV_PERSIST, on_sample, fleet);
  event_add (fleet->sample_timer, &period);
  sample_loads (fleet);
}

upstream_fleet_t *
upstream_fleet_open (upstream_context_t *context, GError **error)
{
  const anvil_config_t *config = context->config;
  upstream_fleet_t *fleet = g_new0 (upstream_fleet_t, 1);

  fleet->context = context;
  fleet->servers = g_new0 (upstream_server_t *, config->n_upstreams + 1);
  for (guint i = 0; i < config->n_upstreams; i++)
    {
      fleet->servers[i] = upstream_server_open (context, i, error);
      if (fleet->servers[i] == NULL)
        {
          upstream_fleet_close (fleet);
          return NULL;
        }
      fleet->n_servers++;
      context->regions[anvil_config_upstream_region (config, i)].slots
          += config->upstreams[i].slots;
    }
  start_sample_timer (fleet);
  return fleet;
}

void
upstream_fleet_close (upstream_fleet_t *fleet)
{
  if (fleet == NULL)
    return;
  g_clear_pointer (&fleet->sample_timer, event_free);
  for (guint i = 0; i < fleet->n_servers; i++)
    upstream_server_close (fleet->servers[i]);
  g_free (fleet->servers);
  g_free (fleet);
}

static gboolean
set_matching_faults (upstream_fleet_t *fleet, const char *pattern, const json_t *faults)
{
  gboolean found = FALSE;

  for (guint i = 0; i < fleet->n_servers; i++)
    {
      upstream_server_t *server = fleet->servers[i];

      if (!g_pattern_match_simple (pattern, server->upstream->name.data))
        continue;
      found = TRUE;
      if (!upstream_server_set_faults (server, faults))
        return FALSE;
    }
  return found;
}

gboolean
upstream_fleet_set_faults (upstream_fleet_t *fleet, const json_t *json)
{
  const char *pattern;
  json_t *faults;

  if (!json_is_object (json))
    return FALSE;
  json_object_foreach ((json_t *) json, pattern, faults)
  {
    if (!set_matching_faults (fleet, pattern, faults))
      return FALSE;
  }
  return TRUE;
}

static json_t *
report_regions (const upstream_fleet_t *fleet)
{
  const anvil_config_t *config = fleet->context->config;
  json_t *list = json_array ();

  for (guint region = 0; region < config->n_regions; region++)
    {
      const upstream_region_t *totals = &fleet->context->regions[region];
      json_int_t overruns = 0;

      for (guint i = 0; i < fleet->n_servers; i++)
        {
          if (anvil_config_upstream_region (config, i) == region)
            overruns += (json_int_t) fleet->servers[i]->counts.over_slots;
        }
      json_array_append_new (list, json_pack ("{s:s,s:i,s:i,s:I}", "region",
                                              config->regions[region].name.data, "slots",
                                              (int) totals->slots, "peak_running",
                                              (int) totals->peak_running, "overruns", overruns));
    }
  return list;
}

static json_t *
report_links (const upstream_fleet_t *fleet)
{
  const anvil_config_t *config = fleet->context->config;
  json_t *list = json_array ();
  const upstream_link_t *link;

  for (guint i = 0; (link = upstream_topology_link (fleet->context->topology, i)) != NULL; i++)
    json_array_append_new (list, json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "from",
                                            config->regions[link->from].name.data, "to",
                                            config->regions[link->to].name.data, "bits_per_s",
                                            (json_int_t) link->bits_per_s, "bits",
                                            (json_int_t) link->total_bits, "peak_bits_per_s",
                                            (json_int_t) link->peak_bits_per_s, "overruns",
                                            (json_int_t) link->overruns, "longest_wait_ms",
                                            (json_int_t) (link->longest_wait / ANVIL_MS)));
  return list;
}

json_t *
upstream_fleet_report (const upstream_fleet_t *fleet)
{
  json_t *upstreams = json_array ();
  json_t *drains = json_array ();

  for (guint i = 0; i < fleet->n_servers; i++)
    {
      json_t *report = upstream_server_report (fleet->servers[i]);
      json_t *drain = json_object_get (report, "drain_ms");

      if (drain != NULL)
        json_array_append_new (drains, json_pack ("{s:s,s:O}", "upstream",
                                                  fleet->servers[i]->upstream->name.data,
                                                  "drain_ms", drain));
      json_array_append_new (upstreams, report);
    }
  return json_pack ("{s:o,s:o,s:o,s:o,s:o,s:o}", "upstreams", upstreams, "drains", drains,
                    "regions", report_regions (fleet), "links", report_links (fleet), "runs",
                    upstream_run_counts_to_json (fleet->context->run_counts), "duplicates",
                    upstream_run_counts_duplicates_to_json (fleet->context->run_counts));
}
