#pragma once

#include <event2/event.h>

#include "anvil/metrics.h"
#include "anvil/peers.h"
#include "anvil/steer.h"
#include "caller-connection.h"
#include "config-task.h"
#include "entry-settings.h"
#include "trace-ring.h"

/** anvil_admin_listener_t - the port for operators, read-only; docs/ADMIN.md */
typedef struct anvil_admin_listener anvil_admin_listener_t;

/**
 * anvil_admin_listener_parts_t - what is shown, all borrowed
 * @leaving: set by the entry when its shutdown begins
 */
typedef struct
{
  const anvil_entry_settings_t *settings;
  const anvil_steer_t *steer;
  const anvil_config_task_t *config;
  const anvil_peers_t *peers;
  const anvil_caller_connections_t *callers;
  anvil_metrics_t *counters;
  const anvil_trace_ring_t *traces;
  const gboolean *leaving;
} anvil_admin_listener_parts_t;

anvil_admin_listener_t *anvil_admin_listener_open (struct event_base *base,
                                                   const anvil_admin_listener_parts_t *parts,
                                                   GError **error);
void anvil_admin_listener_close (anvil_admin_listener_t *listener);
