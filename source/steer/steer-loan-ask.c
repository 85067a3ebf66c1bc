/* Asking peers for loans: what this entry is short of. */

#include "steer/steer-internal.h"

/* How long a peer that had nothing to lend isn't asked again. */
#define PAUSE_RATE (100 * ANVIL_MS)
/* Peers asked at once for one queue. */
#define MAX_ASKED 3
/* Where headroom is weighed most, other regions are asked only after this wait. */
#define HEADROOM_PATIENCE (100 * ANVIL_MS)

guint64
anvil_queue_key (const anvil_queue_t *queue)
{
  return ((guint64) queue->service << 32) | queue->half;
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
    .kind = ANVIL_MESSAGE_LOAN_REQUEST,
    .loan_request = {
      .kind = kind,
      .nonce = wish->nonce,
      .incarnation = steer->options.incarnation,
      .generation = steer->generation,
      .requested_at = wish->asked_at,
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
  message.loan_request.service = (guint16) queue->service;
  message.loan_request.half = (guint16) queue->half;
  message.loan_request.n_slots = (guint16) count;
  anvil_loan_backoff_set (&steer->loan_pauses,
                          anvil_loan_backoff_key (peer, anvil_queue_key (queue)),
                          now + ANVIL_WISH_TIMEOUT);
  anvil_steer_send (steer, peer, &message);
}

static gboolean
has_spare (const anvil_member_t *member, const anvil_queue_t *queue)
{
  for (guint i = 0; i < member->n_spare_slots; i++)
    {
      if (member->spare_slots[i].service == queue->service
          && member->spare_slots[i].half == queue->half)
        return member->spare_slots[i].n_slots > 0;
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

      if (anvil_config_upstream_region (steer->config, upstream->index) == steer->region
          && anvil_steer_accepting (steer, now, upstream))
        return TRUE;
    }
  return FALSE;
}

static gboolean
may_ask_across (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue)
{
  const anvil_work_t *oldest = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

  if (steer->config->services[queue->service].preference == ANVIL_PREFER_LATENCY)
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
          || (anvil_steer_region_of_zone_hash (steer, member->zone_hash) == steer->region)
                 != in_region)
        continue;
      if (!in_region && !has_spare (member, queue))
        continue;
      if (anvil_loan_backoff_active (
              &steer->loan_pauses, now,
              anvil_loan_backoff_key (member->node, anvil_queue_key (queue))))
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
                       const anvil_rate_bucket_t *rate,
                       gint64 units)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));

  if (steer->options.sharing == ANVIL_SHARING_STATIC
      || anvil_loan_backoff_active (&steer->loan_pauses, now, rate->key))
    return;
  for (guint i = 0; i < n; i++)
    {
      const anvil_member_t *member
          = &anvil_member_table_at (steer->members, (start + i) % n)->member;
      anvil_loan_wish_t *wish;
      anvil_message_t message;

      if (!may_lend (steer, member)
          || anvil_loan_backoff_active (&steer->loan_pauses, now,
                                        anvil_loan_backoff_key (member->node, rate->key)))
        continue;
      wish = new_wish (steer, now, member->node);
      wish->budget = rate->key;
      message = ask_message (steer, wish, ANVIL_LOAN_RATE);
      message.loan_request.budget_hash = rate->key;
      message.loan_request.amount = MAX (2 * units, (gint64) (rate->rate_per_seat / 10));
      anvil_loan_backoff_set (&steer->loan_pauses, rate->key, now + PAUSE_RATE / 4);
      anvil_loan_backoff_set (&steer->loan_pauses, anvil_loan_backoff_key (member->node, rate->key),
                              now + PAUSE_RATE);
      anvil_steer_send (steer, member->node, &message);
      return;
    }
}
