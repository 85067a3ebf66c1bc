#pragma once

#include <event2/event.h>

#include "anvil/store.h"
#include "relay/relay-settings.h"

/*
 * An entry of a deployment whose upstreams register themselves in a store.
 */

typedef struct anvil_relay anvil_relay_t;

/** anvil_relay_open - opens every port and begins to read the store; settings are borrowed */
anvil_relay_t *anvil_relay_open (struct event_base *base,
                                 const anvil_relay_settings_t *settings,
                                 const anvil_adapter_t *deployment,
                                 GError **error);
void anvil_relay_close (anvil_relay_t *relay);

/** anvil_relay_leave - begins to shut down; ends the event loop when every answer is out, or at
 * the end of the grace time */
void anvil_relay_leave (anvil_relay_t *relay);

/** anvil_relay_reload - takes over what may change while it runs: first contacts and the limits
 * that entries keep together; the rest needs a new start */
void anvil_relay_reload (anvil_relay_t *relay, const anvil_relay_settings_t *settings);
