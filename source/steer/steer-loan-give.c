/* Lending: what a peer gets, and when it comes back. */

#include "steer/steer-internal.h"

/* A shorter loan isn't worth its messages. */
#define LEAST_TERM (200 * ANVIL_MS)

/* Term that every lent slot bears: it ends before the lender's own right to the slot's seat. */
static anvil_time_t
term_of_seat (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  return MIN (ANVIL_LOAN_TERM,
              steer->seats[seat].right.expires_at - now - ANVIL_CLOCK_DRIFT_MARGIN);
}

static void
lend_slot (anvil_steer_t *steer,
           anvil_upstream_state_t *upstream,
           guint index,
           anvil_node_t to,
           anvil_loan_response_t *answer)
{
  anvil_slot_t *slot = &upstream->slots[index];

  slot->lent_nonce = answer->nonce;
  slot->lent_to = to;
  slot->lent_until = G_MAXINT64;
  answer->slots[answer->n_slots++]
      = (anvil_loan_slot_t){ .upstream = upstream->key, .slot = (guint8) index };
  steer->counters.loans_given++;
}

static void
lend_from (anvil_steer_t *steer,
           anvil_time_t now,
           anvil_upstream_state_t *upstream,
           anvil_node_t to,
           guint most,
           anvil_loan_response_t *answer)
{
  for (guint i = 0; i < upstream->n_slots && answer->n_slots < most; i++)
    {
      const anvil_slot_t *slot = &upstream->slots[i];
      anvil_time_t term;

      if (!anvil_steer_slot_own_free (steer, now, slot))
        continue;
      term = term_of_seat (steer, now, slot->seat);
      if (term < LEAST_TERM)
        continue;
      answer->term = MIN (answer->term, term);
      lend_slot (steer, upstream, i, to, answer);
    }
}

/* Sets the end of the loan at the lender: the term, and the work started at its end. */
static void
bound_loan (anvil_steer_t *steer, anvil_time_t now, const anvil_loan_response_t *answer)
{
  for (guint i = 0; i < answer->n_slots; i++)
    {
      anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, answer->slots[i].upstream);

      upstream->slots[answer->slots[i].slot].lent_until
          = now + answer->term + anvil_steer_longest_work (steer, upstream) + ANVIL_WORK_GUARD;
    }
}

static void
lend_slots (anvil_steer_t *steer,
            anvil_time_t now,
            anvil_node_t from,
            const anvil_loan_request_t *ask,
            anvil_loan_response_t *answer)
{
  const anvil_queue_t *queue;
  guint most;

  if (ask->service >= steer->config->n_services || ask->half >= steer->config->n_halves)
    return;
  queue = anvil_steer_queue (steer, ask->service, ask->half);
  if (!g_sequence_is_empty (queue->waiting))
    return;
  most = MIN (ask->n_slots, (anvil_steer_count_free (steer, now, queue) + 1) / 2);
  most = MIN (most, ANVIL_MAX_LOAN_SLOTS);
  for (guint i = 0; i < queue->upstreams->len && answer->n_slots < most; i++)
    {
      anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (anvil_steer_accepting (steer, now, upstream))
        lend_from (steer, now, upstream, from, most, answer);
    }
  bound_loan (steer, now, answer);
}

void
anvil_steer_receive_loan_ask (anvil_steer_t *steer,
                              anvil_time_t now,
                              anvil_node_t from,
                              const anvil_loan_request_t *ask)
{
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_LOAN_RESPONSE,
    .loan_response = {
      .kind = ask->kind,
      .nonce = ask->nonce,
      .incarnation = ask->incarnation,
      .requested_at = ask->requested_at,
      .term = ANVIL_LOAN_TERM,
      .budget_hash = ask->budget_hash,
    },
  };
  anvil_rate_bucket_t *rate;

  if (steer->config == NULL)
    return;
  if (ask->generation == steer->generation && ask->kind == ANVIL_LOAN_SLOTS)
    lend_slots (steer, now, from, ask, &message.loan_response);
  rate = ask->kind == ANVIL_LOAN_RATE ? anvil_steer_rate (steer, now, ask->budget_hash) : NULL;
  /* An entry that has just asked for the same units needs its own. */
  if (ask->generation == steer->generation && rate != NULL
      && !anvil_loan_backoff_active (&steer->loan_pauses, now, rate->key))
    message.loan_response.amount = anvil_rate_bucket_lend (rate, ask->amount);
  anvil_steer_send (steer, from, &message);
}

void
anvil_steer_receive_loan_return (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_loan_return_t *back)
{
  for (guint i = 0; i < back->n_slots; i++)
    {
      anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, back->slots[i].upstream);
      anvil_slot_t *slot;

      if (upstream == NULL || back->slots[i].slot >= upstream->n_slots)
        continue;
      slot = &upstream->slots[back->slots[i].slot];
      if (slot->lent_nonce != back->nonce || slot->lent_to != from)
        continue;
      slot->lent_nonce = 0;
      slot->lent_to = ANVIL_NO_NODE;
    }
  anvil_steer_pump_all (steer, now);
}
