#pragma once

#include "relay/relay-watch.h"
#include "relay/slot-broker.h"

/*
 * One reader of the upstreams' table per region.
 *
 * Upstreams rewrite their rows at every heartbeat, so an entry that reads the
 * table's changes reads all of these, and few of them change anything. So only one
 * entry of a region, the reader, reads the table and sends the updates that
 * matter to the others, its subscribers. It is chosen in the same way as holders.
 * A subscriber that receives nothing from its reader reads the store itself,
 * starting at the version that it has. An entry that the store doesn't answer
 * subscribes to any peer that it does answer; if none can send it what it lacks, it
 * tells its peers that it is outdated, and holds no service.
 *
 * A reader logs only rows that changed what it knew. A subscriber may have seen a row
 * vanish that was back when its reader looked. So updates carry a digest of what the
 * reader knows, and a subscriber that knows anything else reads the whole table.
 */

typedef struct anvil_relay_feed anvil_relay_feed_t;

/* Readers are ranked by this name, as holders are by the name of their service. */
#define ANVIL_RELAY_READER_NAME "upstreams"

/**
 * anvil_relay_feed_open - every entry reads the store itself at first
 * @upstreams_read_at: when the upstreams that this entry knows were read; see
 *   anvil_relay_jobs_options_t
 */
anvil_relay_feed_t *anvil_relay_feed_open (anvil_slot_broker_t *broker,
                                           anvil_relay_watch_t *watch,
                                           anvil_time_t (*upstreams_read_at) (void *context),
                                           void *context);

/** anvil_relay_feed_close - call it before the slot broker and the watch are closed */
void anvil_relay_feed_close (anvil_relay_feed_t *feed);

/** anvil_relay_feed_tick - chooses the reader, subscribes to it, and detects that it is silent */
void anvil_relay_feed_tick (anvil_relay_feed_t *feed, anvil_time_t now);

/** anvil_relay_feed_publish - sends updates to the subscribers; call it when this entry has read
 * changes from the store */
void anvil_relay_feed_publish (anvil_relay_feed_t *feed);

/** anvil_relay_feed_subscribe - adds or renews a subscriber and sends it the updates after @version
 */
void anvil_relay_feed_subscribe (anvil_relay_feed_t *feed,
                                 anvil_node_t peer,
                                 anvil_store_position_t version);

/** anvil_relay_feed_receive - applies updates that a peer sent */
void anvil_relay_feed_receive (anvil_relay_feed_t *feed,
                               anvil_node_t peer,
                               const anvil_relay_message_t *message);
