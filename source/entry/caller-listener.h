#pragma once

#include <event2/event.h>

#include "caller-connection.h"
#include "entry-settings.h"
#include "request-task.h"

/** anvil_caller_listener_t - the port for callers: look-ups and requests */
typedef struct anvil_caller_listener anvil_caller_listener_t;

/**
 * anvil_caller_listener_parts_t - what the listener works with, all borrowed
 */
typedef struct
{
  anvil_steer_t *steer;
  anvil_caller_connections_t *connections;
  anvil_request_task_t *requests;
  anvil_metrics_t *counters;
} anvil_caller_listener_parts_t;

/** anvil_caller_listener_open - NULL with @error if the address can't be had */
anvil_caller_listener_t *anvil_caller_listener_open (struct event_base *base,
                                                     const anvil_entry_settings_t *settings,
                                                     const anvil_caller_listener_parts_t *parts,
                                                     GError **error);

/** anvil_caller_listener_close - closes the port and every connection */
void anvil_caller_listener_close (anvil_caller_listener_t *listener);
