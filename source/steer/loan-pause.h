#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/**
 * anvil_loan_pauses_t - what isn't asked for again before a time
 *
 * A key stands for a budget, or for a budget or queue together with a peer.
 */
typedef struct
{
  GHashTable *until;
} anvil_loan_pauses_t;

void anvil_loan_pauses_open (anvil_loan_pauses_t *pauses);
void anvil_loan_pauses_close (anvil_loan_pauses_t *pauses);

/** anvil_loan_pause_key - key of something that is asked of one peer */
guint64 anvil_loan_pause_key (anvil_node_t peer, guint64 what);

/** anvil_loan_paused - whether a key's time hasn't come yet */
gboolean anvil_loan_paused (const anvil_loan_pauses_t *pauses, anvil_time_t now, guint64 key);

/** anvil_loan_pause - sets the time of a key, in place of an earlier one */
void anvil_loan_pause (anvil_loan_pauses_t *pauses, guint64 key, anvil_time_t until);

/** anvil_loan_pauses_expire - forgets keys whose time has come */
void anvil_loan_pauses_expire (anvil_loan_pauses_t *pauses, anvil_time_t now);
