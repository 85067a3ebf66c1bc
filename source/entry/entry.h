#pragma once

#include <event2/event.h>
#include <glib.h>

#include "entry-settings.h"

/** anvil_entry_t - the daemon: its tasks, the decision core, and what connects them */
typedef struct anvil_entry anvil_entry_t;

/** anvil_entry_open - opens every port and starts every task; @settings must outlive it */
anvil_entry_t *
anvil_entry_open (struct event_base *base, const anvil_entry_settings_t *settings, GError **error);
void anvil_entry_close (anvil_entry_t *entry);

/**
 * anvil_entry_shut_down - begins a graceful shutdown, or ends one at once
 *
 * The first call takes the entry out of look-ups and lets work end; the loop is
 * then stopped. The second call stops the loop.
 */
void anvil_entry_shut_down (anvil_entry_t *entry);

/** anvil_entry_requests_aborted - whether the loop was stopped with requests under way */
gboolean anvil_entry_requests_aborted (const anvil_entry_t *entry);
