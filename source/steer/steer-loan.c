/* Borrowing: what peers have lent to this entry, until it goes back. */

#include "steer/steer-internal.h"

/* How long a peer that had nothing to lend isn't asked again. */
#define PAUSE_IN_REGION (20 * ANVIL_MS)
#define PAUSE_ACROSS (200 * ANVIL_MS)
/* How long a borrowed slot is kept unused: a few round trips to its lender. */
#define IDLE_IN_REGION (10 * ANVIL_MS)
#define IDLE_ACROSS (200 * ANVIL_MS)

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

/* Takes one slot of an answer; FALSE if this entry can't use it. */
static gboolean
take_slot (anvil_steer_t *steer,
           anvil_time_t now,
           const anvil_loan_wish_t *wish,
           anvil_time_t until,
           const anvil_loan_slot_t *lent)
{
  anvil_upstream_state_t *upstream = anvil_steer_upstream_state (steer, lent->upstream);
  anvil_slot_t *slot;

  if (upstream == NULL || upstream->index == ANVIL_NO_INDEX || lent->slot >= upstream->n_slots)
    return FALSE;
  slot = &upstream->slots[lent->slot];
  if (slot->borrowed_nonce != 0 || slot->request != 0
      || anvil_steer_slot_own_free (steer, now, slot))
    return FALSE;
  slot->borrowed_nonce = wish->nonce;
  slot->lender = wish->peer;
  slot->borrowed_until = until;
  slot->idle_since = now;
  steer->n_borrowed++;
  steer->counters.loans_taken++;
  return TRUE;
}

static void
take_slots (anvil_steer_t *steer,
            anvil_time_t now,
            const anvil_loan_wish_t *wish,
            const anvil_loan_response_t *answer)
{
  anvil_time_t from = steer->options.faults.count_from_answer ? now : wish->asked_at;
  anvil_loan_slot_t unusable[ANVIL_MAX_LOAN_SLOTS];
  guint n_unusable = 0;

  for (guint i = 0; i < answer->n_slots; i++)
    {
      if (!take_slot (steer, now, wish, from + answer->term, &answer->slots[i]))
        unusable[n_unusable++] = answer->slots[i];
    }
  return_slots (steer, wish->peer, wish->nonce, unusable, n_unusable);
  if (answer->n_slots == 0)
    {
      gboolean in_region = anvil_steer_region_of_member (steer, wish->peer) == steer->region;

      anvil_loan_backoff_set (&steer->loan_pauses,
                              anvil_loan_backoff_key (wish->peer, anvil_queue_key (wish->queue)),
                              now + (in_region ? PAUSE_IN_REGION : PAUSE_ACROSS));
      return;
    }
  anvil_loan_backoff_set (&steer->loan_pauses,
                          anvil_loan_backoff_key (wish->peer, anvil_queue_key (wish->queue)), now);
}

/* An answer that came too late, or twice: gives back what isn't in use under it. */
static void
return_late (anvil_steer_t *steer, anvil_node_t from, const anvil_loan_response_t *answer)
{
  anvil_loan_slot_t unused[ANVIL_MAX_LOAN_SLOTS];
  guint n_unused = 0;

  for (guint i = 0; i < answer->n_slots; i++)
    {
      const anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, answer->slots[i].upstream);

      if (upstream != NULL && answer->slots[i].slot < upstream->n_slots
          && upstream->slots[answer->slots[i].slot].borrowed_nonce == answer->nonce)
        continue;
      unused[n_unused++] = answer->slots[i];
    }
  return_slots (steer, from, answer->nonce, unused, n_unused);
}

void
anvil_steer_receive_loan_answer (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_loan_response_t *answer)
{
  anvil_loan_wish_t *wish = g_hash_table_lookup (steer->wishes, &answer->nonce);
  anvil_queue_t *queue;

  if (answer->incarnation != steer->options.incarnation || answer->n_slots > ANVIL_MAX_LOAN_SLOTS)
    return;
  if (wish == NULL || wish->peer != from)
    {
      return_late (steer, from, answer);
      return;
    }
  queue = wish->queue;
  if (queue != NULL && answer->kind == ANVIL_LOAN_SLOTS)
    take_slots (steer, now, wish, answer);
  if (queue == NULL && answer->amount > 0)
    {
      anvil_rate_bucket_t *rate = anvil_steer_rate (steer, now, wish->budget);

      if (rate != NULL)
        rate->tokens
            = MIN (anvil_rate_bucket_capacity (rate), rate->tokens + (gdouble) answer->amount);
    }
  g_hash_table_remove (steer->wishes, &answer->nonce);
  if (queue != NULL)
    anvil_steer_pump (steer, now, queue);
  else if (answer->amount > 0)
    anvil_steer_pump_all (steer, now);
}

static void
give_back (anvil_steer_t *steer, anvil_upstream_state_t *upstream, guint index)
{
  anvil_slot_t *slot = &upstream->slots[index];
  anvil_loan_slot_t lent = { .upstream = upstream->key, .slot = (guint8) index };

  return_slots (steer, slot->lender, slot->borrowed_nonce, &lent, 1);
  slot->borrowed_nonce = 0;
  slot->lender = ANVIL_NO_NODE;
  steer->n_borrowed--;
}

/* Whether a borrowed slot is of no more use here; work that may still run keeps it. */
static gboolean
done_with (const anvil_steer_t *steer,
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
  if (!g_sequence_is_empty (queue->waiting) && anvil_steer_accepting (steer, now, upstream))
    return FALSE;
  idle_limit = anvil_config_upstream_region (steer->config, upstream->index) == steer->region
                   ? IDLE_IN_REGION
                   : IDLE_ACROSS;
  return now - slot->idle_since >= idle_limit;
}

void
anvil_steer_loan_idle (anvil_steer_t *steer,
                       anvil_time_t now,
                       anvil_upstream_state_t *upstream,
                       guint slot)
{
  if (done_with (steer, now, upstream, &upstream->slots[slot]))
    give_back (steer, upstream, slot);
}

static gboolean
is_old_wish (gpointer key, gpointer value, gpointer data)
{
  const anvil_loan_wish_t *wish = value;
  const anvil_time_t *now = data;

  return *now >= wish->asked_at + ANVIL_WISH_TIMEOUT;
}

void
anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (steer->wishes, is_old_wish, &now);
  anvil_loan_backoffs_expire (&steer->loan_pauses, now);
  if (steer->n_borrowed == 0)
    return;
  g_hash_table_iter_init (&iter, steer->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      anvil_upstream_state_t *upstream = value;

      for (guint i = 0; i < upstream->n_slots; i++)
        anvil_steer_loan_idle (steer, now, upstream, i);
    }
}
