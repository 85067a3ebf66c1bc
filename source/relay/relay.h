#pragma once

#include <event2/event.h>

#include "anvil/store.h"
#include "relay/relay-settings.h"

/*
 * The relay: an entry whose upstreams register themselves in a store. It owns all
 * modules of the process and connects them.
 */

typedef struct anvil_relay anvil_relay_t;

/** anvil_relay_open - listens on all endpoints and starts to read the store; @settings and
 * @adapter are borrowed */
anvil_relay_t *anvil_relay_open (struct event_base *base,
                                 const anvil_relay_settings_t *settings,
                                 const anvil_adapter_t *adapter,
                                 GError **error);
void anvil_relay_close (anvil_relay_t *relay);

/** anvil_relay_begin_shutdown - starts a shutdown, which ends the event loop when all responses
 * have been sent, or shortly before the shutdown timeout */
void anvil_relay_begin_shutdown (anvil_relay_t *relay);

/** anvil_relay_reload - applies the settings that may change at run time: seeds and the limits that
 * all entries together must keep; the others take effect at the next start */
void anvil_relay_reload (anvil_relay_t *relay, const anvil_relay_settings_t *settings);
