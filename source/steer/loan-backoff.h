#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/**
 * anvil_loan_backoffs_t - what isn't asked for again before a time
 *
 * A key stands for a budget, or for a budget or queue together with a peer.
 */
typedef struct
{
  GHashTable *until;
} anvil_loan_backoffs_t;

void anvil_loan_backoffs_init (anvil_loan_backoffs_t *pauses);
void anvil_loan_backoffs_clear (anvil_loan_backoffs_t *pauses);

/** anvil_loan_backoff_key - key of something that is asked of one peer */
guint64 anvil_loan_backoff_key (anvil_node_t peer, guint64 what);

/** anvil_loan_backoff_active - whether a key's time hasn't come yet */
gboolean
anvil_loan_backoff_active (const anvil_loan_backoffs_t *pauses, anvil_time_t now, guint64 key);

/** anvil_loan_backoff_set - sets the time of a key, in place of an earlier one */
void anvil_loan_backoff_set (anvil_loan_backoffs_t *pauses, guint64 key, anvil_time_t until);

/** anvil_loan_backoffs_expire - forgets keys whose time has come */
void anvil_loan_backoffs_expire (anvil_loan_backoffs_t *pauses, anvil_time_t now);
