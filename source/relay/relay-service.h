#pragma once

#include <event2/event.h>

#include "anvil/counters.h"
#include "anvil/store.h"
#include "relay/slot-broker.h"

/*
 * What the entry answers besides callers' requests: look-ups of entries,
 * readiness, and metrics.
 */

typedef struct anvil_relay_service anvil_relay_service_t;

/**
 * anvil_relay_service_parts_t - all borrowed
 * @ready: whether this entry serves callers
 * @refresh: brings gauges up to date, before they are read
 */
typedef struct
{
  const anvil_relay_settings_t *settings;
  const anvil_deployment_t *deployment;
  anvil_slot_broker_t *desk;
  anvil_counters_t *counters;
  gboolean (*ready) (void *context);
  void (*refresh) (void *context);
  void *context;
} anvil_relay_service_parts_t;

anvil_relay_service_t *anvil_relay_service_open (struct event_base *base,
                                                 const anvil_relay_service_parts_t *parts,
                                                 GError **error);
void anvil_relay_service_close (anvil_relay_service_t *service);
