#pragma once

#include "relay/relay-watch.h"
#include "relay/slot-broker.h"

/*
 * One reader of the upstreams' table a region.
 *
 * Upstreams rewrite their rows at every heartbeat, so each entry that follows
 * the table reads all of that, mostly to learn nothing. Instead one entry of a
 * region, chosen as holders are, follows it and passes on what is news. An
 * entry that hears nothing from its reader follows the store itself, from where
 * it is.
 */

typedef struct anvil_relay_feed anvil_relay_feed_t;

/**
 * anvil_relay_feed_open - every entry begins by reading the store itself
 * @known_at: when what this entry knows of upstreams was read; see anvil_relay_job_parts_t
 */
anvil_relay_feed_t *anvil_relay_feed_open (anvil_slot_broker_t *desk,
                                           anvil_relay_watch_t *watch,
                                           anvil_time_t (*known_at) (void *context),
                                           void *context);

/** anvil_relay_feed_close - before the desk and the watch are closed */
void anvil_relay_feed_close (anvil_relay_feed_t *feed);

/** anvil_relay_feed_tick - chooses the reader, asks it, notices its silence */
void anvil_relay_feed_tick (anvil_relay_feed_t *feed, anvil_time_t now);

/** anvil_relay_feed_read - this entry has read changes from the store; tells those who listen */
void anvil_relay_feed_read (anvil_relay_feed_t *feed);

/** anvil_relay_feed_asked - a peer wants the news after @version, and those to come */
void anvil_relay_feed_asked (anvil_relay_feed_t *feed, anvil_node_t peer, guint64 version);

/** anvil_relay_feed_told - a peer told its news; see anvil_relay_message_t */
void anvil_relay_feed_told (anvil_relay_feed_t *feed,
                            anvil_node_t peer,
                            const anvil_relay_message_t *message);
