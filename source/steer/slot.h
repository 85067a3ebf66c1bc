#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/* How long work may be started under a loan, from when the loan was requested. */
#define ANVIL_LOAN_TERM (1 * ANVIL_SECOND)

/**
 * anvil_slot_t - one slot of an upstream, as one entry sees it
 * @seat: seat that owns it in every generation that may be in force at some entry, or
 * ANVIL_NO_INDEX
 * @request: own request that runs in it, 0 if none
 * @busy_until: a request of another entry, or an attempt whose outcome is unknown, may run in it
 *   until then
 * @lent_nonce: loan by which a peer uses it, 0 if none
 * @lent_to: that peer
 * @lent_until: by then the peer's work has ended, even if the slot is not returned
 * @borrowed_nonce: loan by which this entry uses it, 0 if none
 * @lender: the peer that lent it
 * @borrowed_until: until when work may be started in it under that loan
 * @idle_since: when it was last used while borrowed
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
