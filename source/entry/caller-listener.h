#pragma once

#include <event2/event.h>

#include "caller-connection.h"
#include "entry-settings.h"
#include "request-task.h"

/** anvil_caller_listener_t - HTTP server for callers: look-ups of entries, and requests */
typedef struct anvil_caller_listener anvil_caller_listener_t;

/** anvil_caller_listener_options_t - modules that the listener uses, all borrowed */
typedef struct
{
  anvil_steer_t *steer;
  anvil_caller_connections_t *connections;
  anvil_request_task_t *requests;
  anvil_metrics_t *metrics;
} anvil_caller_listener_options_t;

/** anvil_caller_listener_open - NULL with @error if it can't listen on the address */
anvil_caller_listener_t *anvil_caller_listener_open (struct event_base *base,
                                                     const anvil_entry_settings_t *settings,
                                                     const anvil_caller_listener_options_t *options,
                                                     GError **error);

/** anvil_caller_listener_close - closes the listening socket and all connections */
void anvil_caller_listener_close (anvil_caller_listener_t *listener);
