#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/**
 * anvil_loan_backoffs_t - loans that are not requested again before a time
 * @until: that time, by key
 *
 * A key identifies a budget, or a budget or queue together with a peer.
 */
typedef struct
{
  GHashTable *until;
} anvil_loan_backoffs_t;

void anvil_loan_backoffs_open (anvil_loan_backoffs_t *backoffs);
void anvil_loan_backoffs_close (anvil_loan_backoffs_t *backoffs);

/** anvil_loan_backoff_key - key of a budget or queue together with the peer that may lend */
guint64 anvil_loan_backoff_key (anvil_node_t peer, guint64 resource);

/** anvil_loan_backoff_active - whether the loan of a key must not be requested yet */
gboolean
anvil_loan_backoff_active (const anvil_loan_backoffs_t *backoffs, anvil_time_t now, guint64 key);

/** anvil_loan_backoff_set - sets the time of a key, replacing an earlier one */
void anvil_loan_backoff_set (anvil_loan_backoffs_t *backoffs, guint64 key, anvil_time_t until);

/** anvil_loan_backoffs_expire - removes the keys whose time has passed */
void anvil_loan_backoffs_expire (anvil_loan_backoffs_t *backoffs, anvil_time_t now);
