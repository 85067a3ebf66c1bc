#pragma once

#include "relay/relay-watch.h"
#include "relay/slot-broker.h"

/*
 * What peers know of the configuration.
 *
 * Entries tell each other the version that they have in force, so an entry knows that a newer one
 * exists before it has read it.
 */

typedef struct anvil_config_feed anvil_config_feed_t;

anvil_config_feed_t *anvil_config_feed_open (anvil_slot_broker_t *broker,
                                             anvil_relay_watch_t *watch);

/** anvil_config_feed_close - call it before the slot broker and the watch are closed */
void anvil_config_feed_close (anvil_config_feed_t *feed);

/** anvil_config_feed_tick - tells peers the version in force, and notes theirs */
void anvil_config_feed_tick (anvil_config_feed_t *feed, anvil_time_t now);

/** anvil_config_feed_newest_version - the newest version that this entry or a peer has in force */
gint64 anvil_config_feed_newest_version (const anvil_config_feed_t *feed);
