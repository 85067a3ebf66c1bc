/* Loan requests: asks peers for slots and rate units when this entry needs more than it has. */

#include "steer/steer-internal.h"

/* Time before the same peer is asked for units of the same budget again. */
#define RATE_REQUEST_BACKOFF (100 * ANVIL_MS)
/* Maximum number of peers of one kind asked at a time for one queue. */
#define MAX_LENDERS_PER_QUEUE 3
/* For services that prefer headroom: how long a request waits before other regions are asked. */
#define OTHER_REGION_DELAY (100 * ANVIL_MS)

guint64
anvil_queue_key (const anvil_queue_t *queue)
{
  return ((guint64) queue->service << 32) | queue->half;
}

static anvil_pending_loan_t *
new_pending_loan (anvil_steer_t *steer, anvil_time_t now, anvil_node_t peer)
{
  anvil_pending_loan_t *loan = g_new0 (anvil_pending_loan_t, 1);

  loan->nonce = ++steer->next_nonce;
  loan->peer = peer;
  loan->requested_at = now;
  g_hash_table_insert (steer->pending_loans, &loan->nonce, loan);
  steer->counters.loans_asked++;
  return loan;
}

static anvil_message_t
loan_request_message (const anvil_steer_t *steer,
                      const anvil_pending_loan_t *loan,
                      anvil_loan_kind_t kind)
{
  return (anvil_message_t) {
    .kind = ANVIL_MESSAGE_LOAN_REQUEST,
    .loan_request = {
      .kind = kind,
      .nonce = loan->nonce,
      .incarnation = steer->options.incarnation,
      .generation = steer->generation,
      .requested_at = loan->requested_at,
    },
  };
}

static gboolean
may_lend (const anvil_steer_t *steer, const anvil_member_t *member)
{
  return member->node != steer->options.node && member->state != ANVIL_MEMBER_DEAD
         && member->incarnation != 0 && member->generation == steer->generation;
}

/* Number of slots in the unanswered loan requests of a queue. */
static guint
count_requested_slots (const anvil_steer_t *steer, const anvil_queue_t *queue)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, steer->pending_loans);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const anvil_pending_loan_t *loan = value;

      if (loan->queue == queue)
        count += loan->slot_count;
    }
  return count;
}

static void
request_slots_from (
    anvil_steer_t *steer, anvil_time_t now, anvil_node_t peer, anvil_queue_t *queue, guint count)
{
  anvil_pending_loan_t *loan = new_pending_loan (steer, now, peer);
  anvil_message_t message = loan_request_message (steer, loan, ANVIL_LOAN_SLOTS);

  loan->queue = queue;
  loan->slot_count = count;
  message.loan_request.service = (guint16) queue->service;
  message.loan_request.half = (guint16) queue->half;
  message.loan_request.n_slots = (guint16) count;
  anvil_loan_backoff_set (&steer->loan_backoffs,
                          anvil_loan_backoff_key (peer, anvil_queue_key (queue)),
                          now + ANVIL_LOAN_REQUEST_TIMEOUT);
  anvil_steer_send (steer, peer, &message);
}

static gboolean
has_spare_slots (const anvil_member_t *member, const anvil_queue_t *queue)
{
  for (guint i = 0; i < member->n_spare_slots; i++)
    {
      if (member->spare_slots[i].service == queue->service
          && member->spare_slots[i].half == queue->half)
        return member->spare_slots[i].n_slots > 0;
    }
  return FALSE;
}

/* Whether an upstream of a queue in this entry's region accepts requests. */
static gboolean
has_upstream_in_region (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue)
{
  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      const anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (anvil_config_upstream_region (steer->config, upstream->index) == steer->region
          && anvil_steer_upstream_accepting (steer, now, upstream))
        return TRUE;
    }
  return FALSE;
}

static gboolean
may_borrow_across_regions (const anvil_steer_t *steer, anvil_time_t now, const anvil_queue_t *queue)
{
  const anvil_request_state_t *first = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

  if (steer->config->services[queue->service].preference == ANVIL_PREFER_LATENCY)
    return TRUE;
  return now - first->submitted_at >= OTHER_REGION_DELAY
         || !has_upstream_in_region (steer, now, queue);
}

/* Asks peers in this region or in all others; returns the number of slots asked for. */
static guint
request_slots_from_peers (
    anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue, guint wanted, gboolean in_region)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));
  guint n_lenders = 0;
  guint requested = 0;

  for (guint i = 0; i < n && requested < wanted && n_lenders < MAX_LENDERS_PER_QUEUE; i++)
    {
      const anvil_member_t *member
          = &anvil_member_table_at (steer->members, (start + i) % n)->member;
      guint count = MIN (wanted - requested, ANVIL_MAX_LOAN_SLOTS);

      if (!may_lend (steer, member)
          || (anvil_steer_region_of_zone_hash (steer, member->zone_hash) == steer->region)
                 != in_region)
        continue;
      if (!in_region && !has_spare_slots (member, queue))
        continue;
      if (anvil_loan_backoff_active (
              &steer->loan_backoffs, now,
              anvil_loan_backoff_key (member->node, anvil_queue_key (queue))))
        continue;
      request_slots_from (steer, now, member->node, queue, count);
      requested += count;
      n_lenders++;
    }
  return requested;
}

void
anvil_steer_request_slots (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue)
{
  guint waiting = (guint) g_sequence_get_length (queue->waiting);
  guint requested_before = count_requested_slots (steer, queue);
  guint wanted = waiting > requested_before ? waiting - requested_before : 0;

  if (steer->options.sharing == ANVIL_SHARING_STATIC || wanted == 0
      || anvil_steer_config_outdated (steer, now))
    return;
  wanted -= MIN (wanted, request_slots_from_peers (steer, now, queue, wanted, TRUE));
  if (wanted > 0 && may_borrow_across_regions (steer, now, queue))
    request_slots_from_peers (steer, now, queue, wanted, FALSE);
}

void
anvil_steer_request_units (anvil_steer_t *steer,
                           anvil_time_t now,
                           const anvil_rate_bucket_t *bucket,
                           gint64 units)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));

  if (steer->options.sharing == ANVIL_SHARING_STATIC
      || anvil_loan_backoff_active (&steer->loan_backoffs, now, bucket->key))
    return;
  for (guint i = 0; i < n; i++)
    {
      const anvil_member_t *member
          = &anvil_member_table_at (steer->members, (start + i) % n)->member;
      anvil_pending_loan_t *loan;
      anvil_message_t message;

      if (!may_lend (steer, member)
          || anvil_loan_backoff_active (&steer->loan_backoffs, now,
                                        anvil_loan_backoff_key (member->node, bucket->key)))
        continue;
      loan = new_pending_loan (steer, now, member->node);
      loan->budget_key = bucket->key;
      message = loan_request_message (steer, loan, ANVIL_LOAN_RATE);
      message.loan_request.budget_hash = bucket->key;
      message.loan_request.amount = MAX (2 * units, (gint64) (bucket->rate_per_seat / 10));
      anvil_loan_backoff_set (&steer->loan_backoffs, bucket->key, now + RATE_REQUEST_BACKOFF / 4);
      anvil_loan_backoff_set (&steer->loan_backoffs,
                              anvil_loan_backoff_key (member->node, bucket->key),
                              now + RATE_REQUEST_BACKOFF);
      anvil_steer_send (steer, member->node, &message);
      return;
    }
}
