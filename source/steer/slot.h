#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/* How long work may be started under a loan, from when it was asked for. */
#define ANVIL_LOAN_TERM (1 * ANVIL_SECOND)

/**
 * anvil_slot_t - one slot of an upstream, as one entry sees it
 * @seat: seat that owns it under every generation that may be in force somewhere, or ANVIL_NO_INDEX
 * @request: own request that runs in it, 0 if none
 * @busy_until: another's or a lost attempt's work may run in it up to then
 * @lent_nonce: loan under which a peer has it, 0 if none
 * @lent_to: that peer
 * @lent_until: the peer's work has ended by then even if no return comes
 * @borrowed_nonce: loan under which this entry has it, 0 if none
 * @lender: who lent it
 * @borrowed_until: work may be started up to then
 * @idle_since: when a borrowed slot was last used
 */
typedef struct
{
  guint seat;
  guint64 request;
  anvil_time_t busy_until;
  guint64 lent_nonce;
  anvil_node_t lent_to;
  anvil_time_t lent_until;
  guint64 borrowed_nonce;
  anvil_node_t lender;
  anvil_time_t borrowed_until;
  anvil_time_t idle_since;
} anvil_slot_t;
