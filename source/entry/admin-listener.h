#pragma once

#include <event2/event.h>

#include "anvil/metrics.h"
#include "anvil/peers.h"
#include "anvil/steer.h"
#include "caller-connection.h"
#include "config-task.h"
#include "entry-settings.h"
#include "trace-ring.h"

/** anvil_admin_listener_t - read-only HTTP API for operators, described in docs/ADMIN.md */
typedef struct anvil_admin_listener anvil_admin_listener_t;

/**
 * anvil_admin_listener_options_t - address and sources of the data, all borrowed
 * @settings: also names the address to listen on
 * @shutting_down: set by the entry when its shutdown begins
 */
typedef struct
{
  const anvil_entry_settings_t *settings;
  const anvil_steer_t *steer;
  const anvil_config_task_t *config;
  const anvil_peers_t *peers;
  const anvil_caller_connections_t *callers;
  anvil_metrics_t *metrics;
  const anvil_trace_ring_t *traces;
  const gboolean *shutting_down;
} anvil_admin_listener_options_t;

anvil_admin_listener_t *anvil_admin_listener_open (struct event_base *base,
                                                   const anvil_admin_listener_options_t *options,
                                                   GError **error);
void anvil_admin_listener_close (anvil_admin_listener_t *listener);
