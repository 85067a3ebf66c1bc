#pragma once

#include <event2/event.h>

#include "anvil/metrics.h"
#include "anvil/store.h"
#include "relay/slot-broker.h"

/*
 * HTTP server of an entry for everything besides callers' requests: look-ups of
 * entries, readiness checks and metrics, each on a listener of its own.
 */

typedef struct anvil_relay_aux_server anvil_relay_aux_server_t;

/**
 * anvil_relay_aux_server_options_t - dependencies of the server; all borrowed
 * @is_ready: whether this entry serves callers
 * @update_gauges: called before metrics are rendered
 */
typedef struct
{
  const anvil_relay_settings_t *settings;
  const anvil_adapter_t *adapter;
  anvil_slot_broker_t *slot_broker;
  anvil_metrics_t *metrics;
  gboolean (*is_ready) (void *context);
  void (*update_gauges) (void *context);
  void *context;
} anvil_relay_aux_server_options_t;

anvil_relay_aux_server_t *anvil_relay_aux_server_open (
    struct event_base *base, const anvil_relay_aux_server_options_t *options, GError **error);
void anvil_relay_aux_server_close (anvil_relay_aux_server_t *server);
