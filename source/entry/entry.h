#pragma once

#include <event2/event.h>
#include <glib.h>

#include "entry-settings.h"

/** anvil_entry_t - an entry process: the decision core, and the tasks that connect it to sockets
 * and the platform */
typedef struct anvil_entry anvil_entry_t;

/** anvil_entry_open - opens all ports and starts all tasks; @settings must outlive the entry */
anvil_entry_t *
anvil_entry_open (struct event_base *base, const anvil_entry_settings_t *settings, GError **error);
void anvil_entry_close (anvil_entry_t *entry);

/**
 * anvil_entry_shut_down - begins a graceful shutdown, or stops immediately if one is in progress
 *
 * The first call removes the entry from look-ups and lets requests finish; the
 * event loop is stopped when they have. The second call stops the loop at once.
 */
void anvil_entry_shut_down (anvil_entry_t *entry);

/** anvil_entry_requests_aborted - whether the loop was stopped while requests were in progress */
gboolean anvil_entry_requests_aborted (const anvil_entry_t *entry);
