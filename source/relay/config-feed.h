#pragma once

#include "relay/relay-watch.h"
#include "relay/slot-broker.h"

/*
 * Changes of the configuration, from entry to entry.
 *
 * The store sends a configuration whole, however little of it has changed. So only the reader of a
 * region (see relay/relay-feed.h) has the store hold a call until there is a change. It sends the
 * difference to the others at once; they ask the store once a second, for nothing if they have it.
 * Entries tell each other the version that they have in force; one that hears of a newer version
 * requests the changes from that peer. If they are too large, or the peer doesn't know the version
 * that they would start at, it reads the store, or requests the whole if the store doesn't answer.
 */

typedef struct anvil_config_feed anvil_config_feed_t;

anvil_config_feed_t *anvil_config_feed_open (anvil_slot_broker_t *broker,
                                             anvil_relay_watch_t *watch);

/** anvil_config_feed_close - call it before the slot broker and the watch are closed */
void anvil_config_feed_close (anvil_config_feed_t *feed);

/** anvil_config_feed_tick - tells peers the version in force, notes theirs, and requests what this
 * entry lacks */
void anvil_config_feed_tick (anvil_config_feed_t *feed, anvil_time_t now);

/** anvil_config_feed_publish - sends changes to the other entries of the region; call it when this
 * entry has read a newer configuration from the store */
void anvil_config_feed_publish (anvil_config_feed_t *feed);

/** anvil_config_feed_requested - a peer, which has version @since in force, requests changes, or
 * the whole if they aren't known */
void anvil_config_feed_requested (anvil_config_feed_t *feed,
                                  anvil_node_t peer,
                                  gint64 since,
                                  gboolean whole);

/** anvil_config_feed_receive - puts what a peer sent in force */
void anvil_config_feed_receive (anvil_config_feed_t *feed,
                                anvil_node_t peer,
                                const anvil_relay_message_t *message);

/** anvil_config_feed_newest_version - the newest version that this entry or a peer has in force */
gint64 anvil_config_feed_newest_version (const anvil_config_feed_t *feed);
