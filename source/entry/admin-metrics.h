#pragma once

#include "anvil/metrics.h"
#include "anvil/peers.h"
#include "anvil/steer.h"
#include "caller-connection.h"

/** anvil_metric_sources_t - modules whose state is read when metrics are rendered, borrowed */
typedef struct
{
  const anvil_steer_t *steer;
  const anvil_peers_t *peers;
  const anvil_caller_connections_t *callers;
  gboolean ready;
} anvil_metric_sources_t;

/** anvil_admin_metrics_render - sets the gauges and appends all metrics as Prometheus text */
void anvil_admin_metrics_render (const anvil_metric_sources_t *sources,
                                 anvil_metrics_t *metrics,
                                 anvil_time_t now,
                                 GString *out);
