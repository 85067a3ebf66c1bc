#pragma once

#include "anvil/store.h"
#include "relay/slot-broker.h"

/*
 * A copy in the store of what upstreams are warm for.
 *
 * Entries send a new holder what they know, but if all entries are lost at once
 * this knowledge is lost while the upstreams are still warm. Each holder
 * therefore writes its services' warm objects to the store periodically, and an
 * entry reads them when it starts. They are hints: a stale one sends a request
 * to a cold upstream.
 */

typedef struct anvil_warm_object_backup anvil_warm_object_backup_t;

anvil_warm_object_backup_t *anvil_warm_object_backup_open (struct event_base *base,
                                                           anvil_store_t *store,
                                                           anvil_slot_broker_t *broker);

/** anvil_warm_object_backup_close - call it before anvil_store_close() */
void anvil_warm_object_backup_close (anvil_warm_object_backup_t *backup);

/** anvil_warm_object_backup_rewrite - writes all that this entry holds again after @pause,
 * microseconds, as the store may have lost it */
void anvil_warm_object_backup_rewrite (anvil_warm_object_backup_t *backup, anvil_time_t pause);

/** anvil_warm_object_backup_restore - reads the copy into the broker; call it once, when upstreams
 * are known */
void anvil_warm_object_backup_restore (anvil_warm_object_backup_t *backup);
