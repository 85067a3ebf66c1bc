/* Lending: answers loan requests of peers, and takes back returned slots. */

#include "steer/steer-internal.h"

/* Minimum term of a slot's loan; a shorter one isn't worth its messages. */
#define MIN_LOAN_TERM (200 * ANVIL_MS)

/* Longest term for which a slot of a seat may be lent: it ends before the lender's lease. */
static anvil_time_t
loan_term (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  return MIN (ANVIL_LOAN_TERM,
              steer->seats[seat].lease.expires_at - now - ANVIL_CLOCK_DRIFT_MARGIN);
}

static void
lend_slot (anvil_steer_t *steer,
           anvil_upstream_state_t *upstream,
           guint index,
           anvil_node_t to,
           anvil_loan_response_t *response)
{
  anvil_slot_t *slot = &upstream->slots[index];

  slot->lent_nonce = response->nonce;
  slot->lent_to = to;
  slot->lent_until = G_MAXINT64;
  response->slots[response->n_slots++]
      = (anvil_loan_slot_t){ .upstream = upstream->key, .slot = (guint8) index };
  steer->counters.loans_given++;
}

static void
lend_from (anvil_steer_t *steer,
           anvil_time_t now,
           anvil_upstream_state_t *upstream,
           anvil_node_t to,
           guint max_slots,
           anvil_loan_response_t *response)
{
  for (guint i = 0; i < upstream->n_slots && response->n_slots < max_slots; i++)
    {
      const anvil_slot_t *slot = &upstream->slots[i];
      anvil_time_t term;

      if (!anvil_steer_owned_slot_free (steer, now, slot))
        continue;
      term = loan_term (steer, now, slot->seat);
      if (term < MIN_LOAN_TERM)
        continue;
      response->term = MIN (response->term, term);
      lend_slot (steer, upstream, i, to, response);
    }
}

/* Sets when lent slots become free if no return arrives: a borrower may start a request at the end
 * of the term, which then runs for its maximum time. */
static void
set_loan_end (anvil_steer_t *steer, anvil_time_t now, const anvil_loan_response_t *response)
{
  for (guint i = 0; i < response->n_slots; i++)
    {
      anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, response->slots[i].upstream);

      upstream->slots[response->slots[i].slot].lent_until
          = now + response->term + anvil_steer_max_request_time (steer, upstream)
            + ANVIL_REQUEST_END_MARGIN;
    }
}

static void
lend_slots (anvil_steer_t *steer,
            anvil_time_t now,
            anvil_node_t from,
            const anvil_loan_request_t *request,
            anvil_loan_response_t *response)
{
  const anvil_queue_t *queue;
  guint max_slots;

  if (request->service >= steer->config->n_services || request->half >= steer->config->n_halves)
    return;
  queue = anvil_steer_queue (steer, request->service, request->half);
  if (!g_sequence_is_empty (queue->waiting))
    return;
  max_slots = MIN (request->n_slots, (anvil_steer_count_free_slots (steer, now, queue) + 1) / 2);
  max_slots = MIN (max_slots, ANVIL_MAX_LOAN_SLOTS);
  for (guint i = 0; i < queue->upstreams->len && response->n_slots < max_slots; i++)
    {
      anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (anvil_steer_upstream_accepting (steer, now, upstream))
        lend_from (steer, now, upstream, from, max_slots, response);
    }
  set_loan_end (steer, now, response);
}

void
anvil_steer_receive_loan_request (anvil_steer_t *steer,
                                  anvil_time_t now,
                                  anvil_node_t from,
                                  const anvil_loan_request_t *request)
{
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_LOAN_RESPONSE,
    .loan_response = {
      .kind = request->kind,
      .nonce = request->nonce,
      .incarnation = request->incarnation,
      .requested_at = request->requested_at,
      .term = ANVIL_LOAN_TERM,
      .budget_hash = request->budget_hash,
    },
  };
  anvil_rate_bucket_t *bucket;

  if (steer->config == NULL)
    return;
  if (request->generation == steer->generation && request->kind == ANVIL_LOAN_SLOTS)
    lend_slots (steer, now, from, request, &message.loan_response);
  bucket = request->kind == ANVIL_LOAN_RATE ? anvil_steer_bucket (steer, now, request->budget_hash)
                                            : NULL;
  /* An entry that has just asked for units of the same budget has none to lend. */
  if (request->generation == steer->generation && bucket != NULL
      && !anvil_loan_backoff_active (&steer->loan_backoffs, now, bucket->key))
    message.loan_response.amount = anvil_rate_bucket_lend (bucket, request->amount);
  anvil_steer_send (steer, from, &message);
}

void
anvil_steer_receive_loan_return (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_loan_return_t *loan_return)
{
  for (guint i = 0; i < loan_return->n_slots; i++)
    {
      anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, loan_return->slots[i].upstream);
      anvil_slot_t *slot;

      if (upstream == NULL || loan_return->slots[i].slot >= upstream->n_slots)
        continue;
      slot = &upstream->slots[loan_return->slots[i].slot];
      if (slot->lent_nonce != loan_return->nonce || slot->lent_to != from)
        continue;
      slot->lent_nonce = 0;
      slot->lent_to = ANVIL_NO_NODE;
    }
  anvil_steer_dispatch_all_waiting (steer, now);
}
