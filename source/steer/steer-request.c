/* Requests from their submission to their end: waiting, dispatch, retry, refusal. */

#include "steer/steer-internal.h"

/* Expected latency before anything was measured. */
#define INITIAL_LATENCY (50 * ANVIL_MS)
/* What a refused caller is told to wait. */
#define RETRY_AFTER (1 * ANVIL_SECOND)

void
anvil_queue_free (gpointer data)
{
  anvil_queue_t *queue = data;

  g_sequence_free (queue->waiting);
  g_array_unref (queue->upstreams);
  g_free (queue->placement);
  g_free (queue);
}

anvil_queue_t *
anvil_steer_queue (const anvil_steer_t *steer, guint service, guint half)
{
  guint index = service * steer->config->n_halves + half;

  return index < steer->queues->len ? g_array_index (steer->queues, anvil_queue_t *, index) : NULL;
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer unused)
{
  const anvil_work_t *first = a;
  const anvil_work_t *second = b;

  return (first->request.deadline > second->request.deadline)
         - (first->request.deadline < second->request.deadline);
}

static void
enqueue (anvil_work_t *work)
{
  work->place = g_sequence_insert_sorted (work->queue->waiting, work, compare_deadlines, NULL);
}

static void
dequeue (anvil_work_t *work)
{
  g_clear_pointer (&work->place, g_sequence_remove);
}

/* Ends a request that isn't under way; one that may have run is never called refused. */
static void
give_up (anvil_steer_t *steer, anvil_work_t *work, anvil_refusal_reason_t why)
{
  guint64 id = work->request.id;
  gboolean maybe_run = work->maybe_run;

  if (work->place != NULL)
    dequeue (work);
  g_hash_table_remove (steer->works, &id);
  if (maybe_run)
    {
      steer->actions.finish (steer->context, id, ANVIL_ATTEMPT_UNKNOWN);
      return;
    }
  steer->counters.refused++;
  steer->actions.refuse (steer->context, id, why, RETRY_AFTER);
}

static void
refuse_new (anvil_steer_t *steer, const anvil_request_t *request, anvil_refusal_reason_t why)
{
  steer->counters.refused++;
  steer->actions.refuse (steer->context, request->id, why, RETRY_AFTER);
}

/* Whether any upstream of a queue may take work now or later. */
static gboolean
has_upstream (const anvil_steer_t *steer, const anvil_queue_t *queue)
{
  for (guint i = 0; i < queue->upstreams->len; i++)
    {
      const anvil_upstream_state_t *upstream
          = g_array_index (queue->upstreams, anvil_upstream_state_t *, i);

      if (!steer->config->upstreams[upstream->index].draining
          && !anvil_drain_table_is_draining (steer->drains, upstream->key))
        return TRUE;
    }
  return FALSE;
}

static void
charge_links (anvil_work_t *work, const anvil_choice_t *choice)
{
  if (choice->out != NULL)
    anvil_rate_bucket_consume (choice->out, work->request.request_bits);
  if (choice->back != NULL)
    anvil_rate_bucket_consume (choice->back, choice->back_bits);
  if (choice->client != NULL)
    anvil_rate_bucket_consume (choice->client, choice->back_bits);
  work->charged_back = choice->back != NULL ? choice->back->key : 0;
  work->charged_client = choice->client != NULL ? choice->client->key : 0;
  work->charged_bits = choice->back_bits;
}

/* Corrects what one link was charged for an answer. */
static void
settle_link (anvil_steer_t *steer, anvil_time_t now, guint64 key, gint64 bits)
{
  anvil_rate_bucket_t *rate = key != 0 ? anvil_steer_rate (steer, now, key) : NULL;

  if (rate != NULL)
    anvil_rate_bucket_consume (rate, bits);
}

/* The request has come over the link from its caller's region, whether that had room or not. */
static void
charge_arrival (anvil_steer_t *steer, anvil_time_t now, const anvil_work_t *work)
{
  anvil_traffic_t traffic = anvil_traffic_of (work->request.request_bits);
  anvil_rate_bucket_t *rate = NULL;

  if (work->client_region != ANVIL_NO_INDEX && steer->region != ANVIL_NO_INDEX)
    rate = anvil_steer_link_rate (steer, now, work->client_region, steer->region, traffic);
  if (rate != NULL)
    anvil_rate_bucket_consume (rate, work->request.request_bits);
}

static void
dispatch (anvil_steer_t *steer, anvil_time_t now, anvil_work_t *work, const anvil_choice_t *choice)
{
  const anvil_upstream_t *upstream = &steer->config->upstreams[choice->upstream->index];
  anvil_slot_t *slot = &choice->upstream->slots[choice->slot];
  anvil_dispatch_t order = {
    .generation = steer->generation,
    .upstream = choice->upstream->index,
    .upstream_key = choice->upstream->key,
    .slot = choice->slot,
    .address = upstream->address,
    .port = upstream->port,
  };

  dequeue (work);
  charge_links (work, choice);
  work->running = TRUE;
  work->attempt++;
  work->upstream = choice->upstream->key;
  work->slot = choice->slot;
  work->dispatched_at = now;
  work->until
      = MIN (work->request.deadline, now + steer->config->services[upstream->service].deadline);
  slot->request = work->request.id;
  choice->upstream->in_flight++;
  steer->counters.dispatched++;
  steer->counters.retried += work->attempt > 1;
  steer->counters.waited += now > work->submitted_at;

  order.attempt = work->attempt;
  order.deadline = work->until;
  if (choice->out != NULL)
    order.pace_bits_per_s = MAX (anvil_steer_rate_share (steer, now, choice->out),
                                 (gint64) choice->out->rate_per_seat);
  steer->actions.dispatch (steer->context, &work->request, &order);
}

void
anvil_steer_pump (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue)
{
  anvil_choice_t choice;

  while (!g_sequence_is_empty (queue->waiting))
    {
      anvil_work_t *work = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

      if (!anvil_steer_choose (steer, now, work, &choice))
        {
          if (choice.short_of != NULL)
            anvil_steer_want_rate (steer, now, choice.short_of, choice.short_units);
          anvil_steer_want_slots (steer, now, queue);
          return;
        }
      dispatch (steer, now, work, &choice);
    }
}

void
anvil_steer_pump_all (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    anvil_steer_pump (steer, now, g_array_index (steer->queues, anvil_queue_t *, i));
}

void
anvil_steer_submit (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request)
{
  anvil_work_t *work;
  anvil_queue_t *queue;
  guint half;

  if (steer->config == NULL)
    {
      refuse_new (steer, request, ANVIL_REFUSAL_NOT_READY);
      return;
    }
  if (request->service >= steer->config->n_services)
    {
      refuse_new (steer, request, ANVIL_REFUSAL_OTHER_GENERATION);
      return;
    }
  if (steer->leaving && now >= steer->left_at + ANVIL_LOOKUP_TTL)
    {
      refuse_new (steer, request, ANVIL_REFUSAL_LEAVING);
      return;
    }
  if (request->deadline <= now)
    {
      refuse_new (steer, request, ANVIL_REFUSAL_DEADLINE);
      return;
    }

  half = anvil_steer_choose_half (steer, now, request);
  queue = anvil_steer_queue (steer, request->service, half);
  if (!has_upstream (steer, queue))
    {
      refuse_new (steer, request, ANVIL_REFUSAL_NO_UPSTREAM);
      return;
    }
  if ((guint) g_sequence_get_length (queue->waiting)
      >= steer->config->services[request->service].max_queued)
    {
      refuse_new (steer, request, ANVIL_REFUSAL_QUEUE_FULL);
      return;
    }

  anvil_retry_budget_deposit (&steer->retry_budget);
  work = g_new0 (anvil_work_t, 1);
  work->request = *request;
  work->queue = queue;
  work->submitted_at = now;
  work->client_region = anvil_config_lookup_client_region (steer->config, request->client_address);
  charge_arrival (steer, now, work);
  g_hash_table_insert (steer->works, &work->request.id, work);
  enqueue (work);
  anvil_steer_pump (steer, now, queue);
}

gboolean
anvil_steer_cancel (anvil_steer_t *steer, anvil_time_t now, guint64 request)
{
  anvil_work_t *work = g_hash_table_lookup (steer->works, &request);

  if (work == NULL)
    return FALSE;
  if (work->running)
    {
      work->cancelled = TRUE;
      return FALSE;
    }
  dequeue (work);
  g_hash_table_remove (steer->works, &request);
  return TRUE;
}

/* Frees the slot of an attempt that has ended, and corrects what its links were charged. */
static anvil_upstream_state_t *
end_attempt (anvil_steer_t *steer,
             anvil_time_t now,
             anvil_work_t *work,
             anvil_attempt_result_t result,
             gint64 response_bits)
{
  anvil_upstream_state_t *upstream = anvil_steer_upstream_state (steer, work->upstream);
  anvil_slot_t *slot = &upstream->slots[work->slot];

  work->running = FALSE;
  slot->request = 0;
  slot->idle_since = now;
  upstream->in_flight--;
  /* It may go on there until its deadline. */
  if (result == ANVIL_ATTEMPT_UNKNOWN)
    slot->busy_until = MAX (slot->busy_until, work->until + ANVIL_WORK_GUARD);
  if (result != ANVIL_ATTEMPT_UNKNOWN)
    settle_link (steer, now, work->charged_back, response_bits - work->charged_bits);
  settle_link (steer, now, work->charged_client,
               (result == ANVIL_ATTEMPT_ANSWERED ? response_bits : 0) - work->charged_bits);
  return upstream;
}

static void
note_result (anvil_steer_t *steer,
             anvil_time_t now,
             anvil_work_t *work,
             anvil_upstream_state_t *upstream,
             anvil_attempt_result_t result)
{
  anvil_time_t latency = now - work->dispatched_at;

  switch (result)
    {
    case ANVIL_ATTEMPT_ANSWERED:
      anvil_upstream_record_answer (upstream, now, latency);
      if (work->queue != NULL)
        work->queue->typical_latency = (work->queue->typical_latency * 15 + latency) / 16;
      return;
    case ANVIL_ATTEMPT_DRAINING:
      anvil_drain_table_observe (steer->drains, now, upstream->key, ANVIL_DRAIN_FROM_UPSTREAM,
                                 TRUE);
      return;
    case ANVIL_ATTEMPT_NOT_RUN:
      upstream->backoff_until = now + ANVIL_SHED_BACKOFF;
      anvil_steer_upstream_failed (steer, now, upstream);
      return;
    case ANVIL_ATTEMPT_UNKNOWN:
      work->maybe_run = TRUE;
      anvil_steer_upstream_failed (steer, now, upstream);
      return;
    }
}

/* Whether the request gets another attempt; a drain isn't held against it. */
static gboolean
may_retry (anvil_steer_t *steer,
           anvil_time_t now,
           const anvil_work_t *work,
           anvil_attempt_result_t result)
{
  if (result == ANVIL_ATTEMPT_ANSWERED || work->cancelled || work->attempt >= ANVIL_MAX_ATTEMPTS)
    return FALSE;
  if (now >= work->request.deadline)
    return FALSE;
  if (work->maybe_run && !work->request.idempotent && !steer->options.faults.retry_after_unknown)
    return FALSE;
  return result == ANVIL_ATTEMPT_DRAINING || anvil_retry_budget_try_withdraw (&steer->retry_budget);
}

void
anvil_steer_attempt_finished (anvil_steer_t *steer,
                              anvil_time_t now,
                              guint64 request,
                              anvil_attempt_result_t result,
                              gint64 response_bits)
{
  anvil_work_t *work = g_hash_table_lookup (steer->works, &request);
  anvil_upstream_state_t *upstream;
  anvil_queue_t *queue;
  guint slot;

  if (work == NULL || !work->running)
    return;
  upstream = end_attempt (steer, now, work, result, response_bits);
  note_result (steer, now, work, upstream, result);
  queue = work->queue;
  slot = work->slot;

  if (may_retry (steer, now, work, result))
    {
      work->avoid = upstream->key;
      enqueue (work);
    }
  else if (result == ANVIL_ATTEMPT_ANSWERED)
    {
      g_hash_table_remove (steer->works, &request);
      steer->actions.finish (steer->context, request, result);
    }
  else
    give_up (steer, work, ANVIL_REFUSAL_RETRIES_EXHAUSTED);

  if (queue != NULL)
    anvil_steer_pump (steer, now, queue);
  anvil_steer_loan_idle (steer, now, upstream, slot);
}

/* Too little time left for an answer. */
static anvil_time_t
least_time (const anvil_steer_t *steer, const anvil_queue_t *queue)
{
  return MIN (queue->typical_latency / 2, steer->config->services[queue->service].deadline / 4);
}

void
anvil_steer_requests_tick (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    {
      anvil_queue_t *queue = g_array_index (steer->queues, anvil_queue_t *, i);
      anvil_time_t least = least_time (steer, queue);

      while (!g_sequence_is_empty (queue->waiting))
        {
          anvil_work_t *work = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

          if (now < work->request.deadline - least)
            break;
          give_up (steer, work, ANVIL_REFUSAL_DEADLINE);
        }
      anvil_steer_pump (steer, now, queue);
    }
}

static anvil_queue_t *
new_queue (anvil_steer_t *steer, guint service, guint half)
{
  anvil_queue_t *queue = g_new0 (anvil_queue_t, 1);

  queue->waiting = g_sequence_new (NULL);
  queue->service = service;
  queue->half = half;
  queue->typical_latency = INITIAL_LATENCY;
  queue->upstreams = g_array_new (FALSE, FALSE, sizeof (anvil_upstream_state_t *));
  for (guint i = 0; i < steer->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &steer->config->upstreams[i];

      if (upstream->service == service && upstream->half == half)
        g_array_append_val (queue->upstreams,
                            g_array_index (steer->by_index, anvil_upstream_state_t *, i));
    }
  anvil_steer_placement_configure (steer, queue);
  return queue;
}

/* Queue of the new file that takes the place of one of the old, or NULL. */
static anvil_queue_t *
successor (const anvil_steer_t *steer, const anvil_config_t *before, const anvil_queue_t *old)
{
  guint service = anvil_config_lookup_service (steer->config, before->services[old->service].name);

  if (service == ANVIL_NO_INDEX)
    return NULL;
  for (guint half = 0; half < steer->config->n_halves; half++)
    {
      if (anvil_str_equal (steer->config->halves[half].name, before->halves[old->half].name))
        return anvil_steer_queue (steer, service, half);
    }
  return NULL;
}

/* Moves a request to the queue of the new file; one that has none there may only end. */
static void
move_work (anvil_steer_t *steer, const anvil_config_t *before, anvil_work_t *work)
{
  if (work->place != NULL)
    dequeue (work);
  if (work->queue != NULL)
    work->queue = successor (steer, before, work->queue);
  if (work->queue != NULL)
    work->request.service = work->queue->service;

  if (work->running)
    work->cancelled = work->cancelled || work->queue == NULL;
  else if (work->queue != NULL)
    enqueue (work);
  else
    give_up (steer, work, ANVIL_REFUSAL_OTHER_GENERATION);
}

void
anvil_steer_requests_configure (anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_config_t *before)
{
  GArray *old_queues = steer->queues;
  GList *works = g_hash_table_get_values (steer->works);

  steer->queues = g_array_new (FALSE, FALSE, sizeof (anvil_queue_t *));
  g_hash_table_remove_all (steer->wishes);
  for (guint service = 0; service < steer->config->n_services; service++)
    {
      for (guint half = 0; half < steer->config->n_halves; half++)
        {
          anvil_queue_t *queue = new_queue (steer, service, half);

          g_array_append_val (steer->queues, queue);
        }
    }
  for (GList *l = works; l != NULL; l = l->next)
    move_work (steer, before, l->data);
  g_list_free (works);
  if (old_queues == NULL)
    return;
  for (guint i = 0; i < old_queues->len; i++)
    anvil_queue_free (g_array_index (old_queues, anvil_queue_t *, i));
  g_array_unref (old_queues);
}
