/* Loans: slots and rate units that an entry short of them gets from its peers. */

#include "steer/steer-internal.h"

/* An answer that takes longer is no longer waited for. */
#define WISH_TIMEOUT (300 * ANVIL_MS)
/* How long a peer that had nothing to lend isn't asked again. */
#define PAUSE_IN_REGION (20 * ANVIL_MS)
#define PAUSE_ACROSS (200 * ANVIL_MS)
#define PAUSE_RATE (100 * ANVIL_MS)
/* Peers asked at once for one queue. */
#define MAX_ASKED 3
/* How long a borrowed slot is kept unused: a few round trips to its lender. */
#define IDLE_IN_REGION (10 * ANVIL_MS)
#define IDLE_ACROSS (200 * ANVIL_MS)
/* A shorter loan isn't worth its messages. */
#define LEAST_TERM (200 * ANVIL_MS)
/* Where headroom is weighed most, other regions are asked only after this wait. */
#define HEADROOM_PATIENCE (100 * ANVIL_MS)

static guint64
pause_key (anvil_node_t peer, guint64 what)
{
  const guint64 key[] = { peer, what };

  return anvil_str_hash ((anvil_str_t){ .data = (const char *) key, .length = sizeof key });
}

static guint64
queue_key (const anvil_queue_t *queue)
{
  return ((guint64) queue->service << 32) | queue->half;
}

static gboolean
paused (const anvil_steer_t *steer, anvil_time_t now, guint64 key)
{
  const anvil_time_t *until = g_hash_table_lookup (steer->loan_pauses, &key);

  return until != NULL && now < *until;
}

static void
pause_peer (anvil_steer_t *steer, guint64 key, anvil_time_t until)
{
  guint64 *stored_key = g_new (guint64, 1);
  anvil_time_t *stored = g_new (anvil_time_t, 1);

  *stored_key = key;
  *stored = until;
  g_hash_table_replace (steer->loan_pauses, stored_key, stored);
}

static anvil_loan_wish_t *
new_wish (anvil_steer_t *steer, anvil_time_t now, anvil_node_t peer)
{
  anvil_loan_wish_t *wish = g_new0 (anvil_loan_wish_t, 1);

  wish->nonce = ++steer->next_nonce;
  wish->peer = peer;
  wish->asked_at = now;
  g_hash_table_insert (steer->wishes, &wish->nonce, wish);
  steer->counters.loans_asked++;
  return wish;
}

static anvil_message_t
ask_message (const anvil_steer_t *steer, const anvil_loan_wish_t *wish, anvil_loan_kind_t kind)
{
  return (anvil_message_t) {
    .kind = ANVIL_MESSAGE_LOAN_ASK,
    .loan_ask = {
      .kind = kind,
      .nonce = wish->nonce,
      .incarnation = steer->options.incarnation,
      .generation = steer->generation,
      .asked_at = wish->asked_at,
    },
  };
}

static gboolean
may_lend (const anvil_steer_t *steer, const anvil_member_t *member)
{
  return member->node != steer->options.node && member->state != ANVIL_MEMBER_DEAD
         && member->incarnation != 0 && member->generation == steer->generation;
}

/* Slots of a queue that are asked for and not answered yet. */
static guint
count_wished (const anvil_steer_t *steer, const anvil_queue_t *queue)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, steer->wishes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const anvil_loan_wish_t *wish = value;

      if (wish->queue == queue)
        count += wish->count;
    }
  return count;
}

static void
ask_for_slots (
    anvil_steer_t *steer, anvil_time_t now, anvil_node_t peer, anvil_queue_t *queue, guint count)
{
  anvil_loan_wish_t *wish = new_wish (steer, now, peer);
  anvil_message_t message = ask_message (steer, wish, ANVIL_LOAN_SLOTS);

  wish->queue = queue;
  wish->count = count;
  message.loan_ask.service = (guint16) queue->service;
  message.loan_ask.half = (guint16) queue->half;
  message.loan_ask.count = (guint16) count;
  pause_peer (steer, pause_key (peer, queue_key (queue)), now + WISH_TIMEOUT);
  anvil_steer_send (steer, peer, &message);
}

static gboolean
has_spare (const anvil_member_t *member, const anvil_queue_t *queue)
{
  for (guint i = 0; i < member->n_spares; i++)
    {
      if (member->spares[i].service == queue->service && member->spares[i].half == queue->half)
        return member->spares[i].count > 0;
    }
  return FALSE;
}

/* Whether this entry's region has upstreams of a queue that take work. */
static gboolean
has_upstream_in_region (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue)
{
  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      const anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (anvil_config_region_of (steer->config, upstream->index) == steer->region
          && anvil_steer_accepting (steer, now, upstream))
        return TRUE;
    }
  return FALSE;
}

static gboolean
may_ask_across (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue)
{
  const anvil_work_t *oldest = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

  if (steer->config->services[queue->service].prefer == ANVIL_PREFER_LATENCY)
    return TRUE;
  return now - oldest->submitted_at >= HEADROOM_PATIENCE
         || !has_upstream_in_region (steer, now, queue);
}

/* Asks peers of this region, or those of the others; returns how many slots were asked for. */
static guint
ask_peers (
    anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue, guint wanted, gboolean in_region)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));
  guint asked_peers = 0;
  guint asked = 0;

  for (guint i = 0; i < n && asked < wanted && asked_peers < MAX_ASKED; i++)
    {
      const anvil_member_t *member
          = &anvil_member_table_at (steer->members, (start + i) % n)->member;
      guint count = MIN (wanted - asked, ANVIL_MAX_LOAN_SLOTS);

      if (!may_lend (steer, member)
          || (anvil_steer_region_of_zone_hash (steer, member->zone) == steer->region) != in_region)
        continue;
      if (!in_region && !has_spare (member, queue))
        continue;
      if (paused (steer, now, pause_key (member->node, queue_key (queue))))
        continue;
      ask_for_slots (steer, now, member->node, queue, count);
      asked += count;
      asked_peers++;
    }
  return asked;
}

void
anvil_steer_want_slots (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue)
{
  guint waiting = (guint) g_sequence_get_length (queue->waiting);
  guint wished = count_wished (steer, queue);
  guint wanted = waiting > wished ? waiting - wished : 0;

  if (steer->options.sharing == ANVIL_SHARING_STATIC || wanted == 0
      || anvil_steer_stale (steer, now))
    return;
  wanted -= MIN (wanted, ask_peers (steer, now, queue, wanted, TRUE));
  if (wanted > 0 && may_ask_across (steer, now, queue))
    ask_peers (steer, now, queue, wanted, FALSE);
}

void
anvil_steer_want_rate (anvil_steer_t *steer,
                       anvil_time_t now,
                       const anvil_rate_t *rate,
                       gint64 units)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));

  if (steer->options.sharing == ANVIL_SHARING_STATIC || paused (steer, now, rate->key))
    return;
  for (guint i = 0; i < n; i++)
    {
      const anvil_member_t *member
          = &anvil_member_table_at (steer->members, (start + i) % n)->member;
      anvil_loan_wish_t *wish;
      anvil_message_t message;

      if (!may_lend (steer, member) || paused (steer, now, pause_key (member->node, rate->key)))
        continue;
      wish = new_wish (steer, now, member->node);
      wish->budget = rate->key;
      message = ask_message (steer, wish, ANVIL_LOAN_RATE);
      message.loan_ask.budget = rate->key;
      message.loan_ask.amount = MAX (2 * units, (gint64) (rate->per_seat / 10));
      pause_peer (steer, rate->key, now + PAUSE_RATE / 4);
      pause_peer (steer, pause_key (member->node, rate->key), now + PAUSE_RATE);
      anvil_steer_send (steer, member->node, &message);
      return;
    }
}

/* Term that every lent slot bears: it ends before the lender's own right to the slot's seat. */
static anvil_time_t
term_of_seat (const anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  return MIN (ANVIL_LOAN_TERM, steer->seats[seat].right.end - now - ANVIL_CLOCK_GUARD);
}

static void
lend_slot (anvil_steer_t *steer,
           anvil_upstream_state_t *upstream,
           guint index,
           anvil_node_t to,
           anvil_loan_answer_t *answer)
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
           anvil_loan_answer_t *answer)
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
bound_loan (anvil_steer_t *steer, anvil_time_t now, const anvil_loan_answer_t *answer)
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
            const anvil_loan_ask_t *ask,
            anvil_loan_answer_t *answer)
{
  const anvil_queue_t *queue;
  guint most;

  if (ask->service >= steer->config->n_services || ask->half >= steer->config->n_halves)
    return;
  queue = anvil_steer_queue (steer, ask->service, ask->half);
  if (!g_sequence_is_empty (queue->waiting))
    return;
  most = MIN (ask->count, (anvil_steer_count_free (steer, now, queue) + 1) / 2);
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
                              const anvil_loan_ask_t *ask)
{
  anvil_message_t message = {
    .kind = ANVIL_MESSAGE_LOAN_ANSWER,
    .loan_answer = {
      .kind = ask->kind,
      .nonce = ask->nonce,
      .incarnation = ask->incarnation,
      .asked_at = ask->asked_at,
      .term = ANVIL_LOAN_TERM,
      .budget = ask->budget,
    },
  };
  anvil_rate_t *rate;

  if (steer->config == NULL)
    return;
  if (ask->generation == steer->generation && ask->kind == ANVIL_LOAN_SLOTS)
    lend_slots (steer, now, from, ask, &message.loan_answer);
  rate = ask->kind == ANVIL_LOAN_RATE ? anvil_steer_rate (steer, now, ask->budget) : NULL;
  if (ask->generation == steer->generation && rate != NULL)
    message.loan_answer.amount = anvil_rate_lend (rate, ask->amount);
  anvil_steer_send (steer, from, &message);
}

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

  if (upstream == NULL || upstream->index == ANVIL_NONE || lent->slot >= upstream->n_slots)
    return FALSE;
  slot = &upstream->slots[lent->slot];
  if (slot->loan_nonce != 0 || slot->request != 0 || anvil_steer_slot_own_free (steer, now, slot))
    return FALSE;
  slot->loan_nonce = wish->nonce;
  slot->lender = wish->peer;
  slot->loan_until = until;
  slot->idle_since = now;
  steer->n_borrowed++;
  steer->counters.loans_taken++;
  return TRUE;
}

static void
take_slots (anvil_steer_t *steer,
            anvil_time_t now,
            const anvil_loan_wish_t *wish,
            const anvil_loan_answer_t *answer)
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

      pause_peer (steer, pause_key (wish->peer, queue_key (wish->queue)),
                  now + (in_region ? PAUSE_IN_REGION : PAUSE_ACROSS));
      return;
    }
  pause_peer (steer, pause_key (wish->peer, queue_key (wish->queue)), now);
}

/* An answer that came too late, or twice: gives back what isn't in use under it. */
static void
return_late (anvil_steer_t *steer, anvil_node_t from, const anvil_loan_answer_t *answer)
{
  anvil_loan_slot_t unused[ANVIL_MAX_LOAN_SLOTS];
  guint n_unused = 0;

  for (guint i = 0; i < answer->n_slots; i++)
    {
      const anvil_upstream_state_t *upstream
          = anvil_steer_upstream_state (steer, answer->slots[i].upstream);

      if (upstream != NULL && answer->slots[i].slot < upstream->n_slots
          && upstream->slots[answer->slots[i].slot].loan_nonce == answer->nonce)
        continue;
      unused[n_unused++] = answer->slots[i];
    }
  return_slots (steer, from, answer->nonce, unused, n_unused);
}

void
anvil_steer_receive_loan_answer (anvil_steer_t *steer,
                                 anvil_time_t now,
                                 anvil_node_t from,
                                 const anvil_loan_answer_t *answer)
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
      anvil_rate_t *rate = anvil_steer_rate (steer, now, wish->budget);

      if (rate != NULL)
        rate->tokens = MIN (anvil_rate_capacity (rate), rate->tokens + (gdouble) answer->amount);
    }
  g_hash_table_remove (steer->wishes, &answer->nonce);
  if (queue != NULL)
    anvil_steer_pump (steer, now, queue);
  else if (answer->amount > 0)
    anvil_steer_pump_all (steer, now);
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

static void
give_back (anvil_steer_t *steer, anvil_upstream_state_t *upstream, guint index)
{
  anvil_slot_t *slot = &upstream->slots[index];
  anvil_loan_slot_t lent = { .upstream = upstream->key, .slot = (guint8) index };

  return_slots (steer, slot->lender, slot->loan_nonce, &lent, 1);
  slot->loan_nonce = 0;
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

  if (slot->loan_nonce == 0 || slot->request != 0 || now < slot->busy_until
      || steer->options.faults.ignore_loan_term)
    return FALSE;
  if (upstream->index == ANVIL_NONE || now >= slot->loan_until)
    return TRUE;
  queue = anvil_steer_queue (steer, steer->config->upstreams[upstream->index].service,
                             steer->config->upstreams[upstream->index].half);
  if (!g_sequence_is_empty (queue->waiting) && anvil_steer_accepting (steer, now, upstream))
    return FALSE;
  idle_limit = anvil_config_region_of (steer->config, upstream->index) == steer->region
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

  return *now >= wish->asked_at + WISH_TIMEOUT;
}

static gboolean
is_old_pause (gpointer key, gpointer value, gpointer data)
{
  const anvil_time_t *now = data;

  return *now >= *(const anvil_time_t *) value;
}

void
anvil_steer_loans_tick (anvil_steer_t *steer, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_foreach_remove (steer->wishes, is_old_wish, &now);
  g_hash_table_foreach_remove (steer->loan_pauses, is_old_pause, &now);
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
