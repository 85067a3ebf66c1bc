/* Borrowing: takes slots and rate units from the responses of peers, and returns slots. */

#include "steer/steer-internal.h"

/* Time before a peer that lent no slots is asked for the same queue again. */
#define BACKOFF_IN_REGION (20 * ANVIL_MS)
#define BACKOFF_ACROSS_REGIONS (200 * ANVIL_MS)
/* How long an unused borrowed slot is kept: a few round trips to its lender. */
#define MAX_IDLE_IN_REGION (10 * ANVIL_MS)
#define MAX_IDLE_ACROSS_REGIONS (200 * ANVIL_MS)

static void
return_slots (anvil_steer_t *steer,
              anvil_node_t lender,
              guint64 nonce,
              const anvil_loan_slot_t *slots,
              guint n_slots)
{
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_LOAN_RETURN,
    .loan_return = {
      .nonce = nonce,
      .incarnation = steer->options.incarnation,
      .n_slots = (guint8) n_slots,
    },
  };

  if (n_slots == 0)
    return;
  for (guint i = 0; i < n_slots; i++)
    message.loan_return.slots[i] = slots[i];
  anvil_steer_send (steer, lender, &message);
}

/* Records one slot of a response as borrowed; FALSE if this entry can't use it. */
static gboolean
borrow_slot (anvil_steer_t *steer,
             anvil_time_t now,
             const anvil_pending_loan_t *loan,
             anvil_time_t until,
             const anvil_loan_slot_t *lent)
{
  anvil_upstream_state_t *upstream = anvil_steer_upstream_state (steer, lent->upstream);
  anvil_slot_t *slot;

  if (upstream == NULL || upstream->index == ANVIL_NO_INDEX || lent->slot >= upstream->n_slots)
    return FALSE;
  slot = &upstream->slots[lent->slot];
  if (slot->borrowed_nonce != 0 || slot->request != 0
      || anvil_steer_owned_slot_free (steer, now, slot))
    return FALSE;
  slot->borrowed_nonce = loan->nonce;
  slot->lender = loan->peer;
  slot->borrowed_until = until;
  slot->idle_since = now;
  steer->n_borrowed++;
  steer->counters.loans_taken++;
  return TRUE;
}

static void
borrow_slots (anvil_steer_t *steer,
              anvil_time_t now,
              const anvil_pending_loan_t *loan,
              const anvil_loan_response_t *response)
{
  anvil_time_t term_start = steer->options.faults.count_from_answer ? now : loan->requested_at;
  anvil_loan_slot_t unusable[ANVIL_MAX_LOAN_SLOTS];
  guint n_unusable = 0;

  for (guint i = 0; i < response->n_slots; i++)
    {
      if (!borrow_slot (steer, now, loan, term_start + response->term, &response->slots[i]))
        unusable[n_unusable++] = response->slots[i];
    }
  return_slots (steer, loan->peer, loan->nonce, unusable, n_unusable);
  if (response->n_slots == 0)
    {
      gboolean in_region = anvil_steer_region_of_member (steer, loan->peer) == steer->region;

      anvil_loan_backoff_set (&steer->loan_backoffs,
                              anvil_loan_backoff_key (loan->peer, anvil_queue_key (loan->queue)),
                              now + (in_region ? BACKOFF_IN_REGION : BACKOFF_ACROSS_REGIONS));
      return;
    }
  anvil_loan_backoff_set (&steer->loan_backoffs,
                          anvil_loan_backoff_key (loan->peer, anvil_queue_key (loan->queue)), now);
}

/* Handles a late or duplicated response: returns the slots that aren't borrowed under its loan. */
static void
return_unmatched (anvil_steer_t *steer, anvil_node_t from, const anvil_loan_response_t *response)
{
  anvil_loan_slot_t unused[ANVIL_MAX_LOAN_SLOTS];
  guint n_unused = 0;

  for (guint i = 0; i < response->n_slots; i++)
    {
      const anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, response->slots[i].upstream);

      if (upstream != NULL && response->slots[i].slot < upstream->n_slots
          && upstream->slots[response->slots[i].slot].borrowed_nonce == response->nonce)
        continue;
      unused[n_unused++] = response->slots[i];
    }
  return_slots (steer, from, response->nonce, unused, n_unused);
}

void
anvil_steer_receive_loan_response (anvil_steer_t *steer,
                                   anvil_time_t now,
                                   anvil_node_t from,
                                   const anvil_loan_response_t *response)
{
  anvil_pending_loan_t *loan = g_hash_table_lookup (steer->pending_loans, &response->nonce);
  anvil_queue_t *queue;

  if (response->incarnation != steer->options.incarnation
      || response->n_slots > ANVIL_MAX_LOAN_SLOTS)
    return;
  if (loan == NULL || loan->peer != from)
    {
      return_unmatched (steer, from, response);
      return;
    }
  queue = loan->queue;
  if (queue != NULL && response->kind == ANVIL_LOAN_SLOTS)
    borrow_slots (steer, now, loan, response);
  if (queue == NULL && response->amount > 0)
    {
      anvil_rate_bucket_t *bucket = anvil_steer_bucket (steer, now, loan->budget_key);

      if (bucket != NULL)
        bucket->tokens = MIN (anvil_rate_bucket_capacity (bucket),
                              bucket->tokens + (gdouble) response->amount);
    }
  g_hash_table_remove (steer->pending_loans, &response->nonce);
  if (queue != NULL)
    anvil_steer_dispatch_waiting (steer, now, queue);
  else if (response->amount > 0)
    anvil_steer_dispatch_all_waiting (steer, now);
}

static void
return_slot (anvil_steer_t *steer, anvil_upstream_state_t *upstream, guint index)
{
  anvil_slot_t *slot = &upstream->slots[index];
  anvil_loan_slot_t lent = { .upstream = upstream->key, .slot = (guint8) index };

  return_slots (steer, slot->lender, slot->borrowed_nonce, &lent, 1);
  slot->borrowed_nonce = 0;
  slot->lender = ANVIL_NO_NODE;
  steer->n_borrowed--;
}

/* Whether a borrowed slot should be returned. It is kept while a request may run in it. */
static gboolean
is_unneeded (const anvil_steer_t *steer,
             anvil_time_t now,
             const anvil_upstream_state_t *upstream,
             const anvil_slot_t *slot)
{
  const anvil_queue_t *queue = NULL;
  anvil_time_t idle_limit;

  if (slot->borrowed_nonce == 0 || slot->request != 0 || now < slot->busy_until
      || steer->options.faults.ignore_loan_term)
    return FALSE;
  if (upstream->index == ANVIL_NO_INDEX || now >= slot->borrowed_until)
    return TRUE;
  queue = anvil_steer_queue (steer, steer->config->upstreams[upstream->index].service,
                             steer->config->upstreams[upstream->index].half);
  if (!g_sequence_is_empty (queue->waiting)
      && anvil_steer_upstream_accepting (steer, now, upstream))
    return FALSE;
  idle_limit = anvil_config_upstream_region (steer->config, upstream->index) == steer->region
                   ? MAX_IDLE_IN_REGION
                   : MAX_IDLE_ACROSS_REGIONS;
  return now - slot->idle_since >= idle_limit;
}

void
anvil_steer_return_slot_if_unneeded (anvil_steer_t *steer,
                                     anvil_time_t now,
                                     anvil_upstream_state_t *upstream,
                                     guint slot)
{
  if (is_unneeded (steer, now, upstream, &upstream->slots[slot]))
    return_slot (steer, upstream, slot);
}

static gboolean
is_timed_out (gpointer key, gpointer value, gpointer data)
{
  const anvil_pending_loan_t *loan = value;
  const anvil_time_t *now = data;

  return *now >= loan->requested_at + ANVIL_LOAN_REQUEST_TIMEOUT;
}

void
anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (steer->pending_loans, is_timed_out, &now);
  anvil_loan_backoffs_expire (&steer->loan_backoffs, now);
  if (steer->n_borrowed == 0)
    return;
  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      anvil_upstream_state_t *upstream = value;

      for (guint i = 0; i < upstream->n_slots; i++)
        anvil_steer_return_slot_if_unneeded (steer, now, upstream, i);
    }
}
