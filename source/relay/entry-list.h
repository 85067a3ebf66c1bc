#pragma once

#include "anvil/members.h"
#include "anvil/store.h"
#include "relay/relay-settings.h"

/*
 * The list of entries in the store: this entry's address, and those of the others.
 *
 * An entry writes its address when it starts and removes it when it stops. It reads the list after
 * each write, so that of two entries that start together at least one finds the other, and again
 * within seconds and then now and then, so that it notices if its own address is lost, and entries
 * which lost each other in a long network partition meet again.
 *
 * The store may perform a call seconds after the caller has given it up, when the next process of
 * the same VM has already written the same row. So an address is removed only as the list had it.
 */

typedef struct anvil_entry_list anvil_entry_list_t;

/** anvil_entry_list_open - writes the address as soon as the event loop runs; all arguments are
 * borrowed */
anvil_entry_list_t *anvil_entry_list_open (struct event_base *base,
                                           anvil_store_t *store,
                                           const anvil_relay_settings_t *settings,
                                           anvil_members_t *members);

/** anvil_entry_list_close - call it after anvil_store_close() */
void anvil_entry_list_close (anvil_entry_list_t *list);

/** anvil_entry_list_rewrite - writes the address again, as the store may have lost it */
void anvil_entry_list_rewrite (anvil_entry_list_t *list);

/** anvil_entry_list_remove - removes the address, as this entry stops */
void anvil_entry_list_remove (anvil_entry_list_t *list);
