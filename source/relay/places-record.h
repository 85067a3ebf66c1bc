#pragma once

#include "anvil/store.h"
#include "relay/slot-broker.h"

/*
 * What upstreams remember, kept in the store.
 *
 * Entries tell a new holder what they know, but when all of them are lost at
 * once nobody knows anything while the upstreams are still warm. So a holder
 * writes its services' places to the store now and then, and an entry that
 * starts reads them. They are hints: an old one costs a cold run.
 */

typedef struct anvil_places_record anvil_places_record_t;

anvil_places_record_t *
anvil_places_record_open (struct event_base *base, anvil_store_t *store, anvil_slot_broker_t *desk);

/** anvil_places_record_close - before anvil_store_close() */
void anvil_places_record_close (anvil_places_record_t *record);

/** anvil_places_record_read - takes over what the store has; once, when upstreams are known */
void anvil_places_record_read (anvil_places_record_t *record);
