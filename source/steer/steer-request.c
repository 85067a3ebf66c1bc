/* Requests from their submission to their end: waiting, dispatch, retry, refusal. */

#include "steer/steer-internal.h"

/* Assumed latency of a queue before its first response. */
#define INITIAL_LATENCY (50 * ANVIL_MS)
/* Delay after which a refused caller may retry. */
#define RETRY_AFTER (1 * ANVIL_SECOND)

void
anvil_queue_drop (gpointer data)
{
  anvil_queue_t *queue = data;

  g_sequence_free (queue->waiting);
  g_array_unref (queue->upstreams);
  g_free (queue->region_shares);
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
  const anvil_request_state_t *first = a;
  const anvil_request_state_t *second = b;

  return (first->request.deadline > second->request.deadline)
         - (first->request.deadline < second->request.deadline);
}

static void
enqueue (anvil_request_state_t *state)
{
  state->queue_iter
      = g_sequence_insert_sorted (state->queue->waiting, state, compare_deadlines, NULL);
}

static void
dequeue (anvil_request_state_t *state)
{
  g_clear_pointer (&state->queue_iter, g_sequence_remove);
}

/* Ends a request without a running attempt. It is refused only if no attempt may have run it. */
static void
end_request (anvil_steer_t *steer, anvil_request_state_t *state, anvil_refusal_reason_t reason)
{
  guint64 id = state->request.id;
  gboolean may_have_run = state->may_have_run;

  if (state->queue_iter != NULL)
    dequeue (state);
  g_hash_table_remove (steer->requests, &id);
  if (may_have_run)
    {
      steer->callbacks.finish (steer->context, id, ANVIL_ATTEMPT_UNKNOWN);
      return;
    }
  steer->counters.refused++;
  steer->callbacks.refuse (steer->context, id, reason, RETRY_AFTER);
}

static void
refuse_new (anvil_steer_t *steer, const anvil_request_t *request, anvil_refusal_reason_t reason)
{
  steer->counters.refused++;
  steer->callbacks.refuse (steer->context, request->id, reason, RETRY_AFTER);
}

/* Whether a queue has an upstream that isn't draining. */
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
charge_links (anvil_request_state_t *state, const anvil_slot_choice_t *choice)
{
  if (choice->request_link != NULL)
    anvil_rate_bucket_consume (choice->request_link, state->request.request_bits);
  if (choice->response_link != NULL)
    anvil_rate_bucket_consume (choice->response_link, choice->response_bits);
  if (choice->client_link != NULL)
    anvil_rate_bucket_consume (choice->client_link, choice->response_bits);
  state->response_link_key = choice->response_link != NULL ? choice->response_link->key : 0;
  state->client_link_key = choice->client_link != NULL ? choice->client_link->key : 0;
  state->charged_response_bits = choice->response_bits;
}

/* Adjusts the charge of one link by the difference to the actual size of a response. */
static void
adjust_link_charge (anvil_steer_t *steer, anvil_time_t now, guint64 key, gint64 bits)
{
  anvil_rate_bucket_t *bucket = key != 0 ? anvil_steer_bucket (steer, now, key) : NULL;

  if (bucket != NULL)
    anvil_rate_bucket_consume (bucket, bits);
}

/* Charges the link from the caller's region, which the request has crossed already. */
static void
charge_request_link (anvil_steer_t *steer, anvil_time_t now, const anvil_request_state_t *state)
{
  anvil_traffic_class_t traffic = anvil_traffic_class (state->request.request_bits);
  anvil_rate_bucket_t *bucket = NULL;

  if (state->client_region != ANVIL_NO_INDEX && steer->region != ANVIL_NO_INDEX)
    bucket = anvil_steer_link_bucket (steer, now, state->client_region, steer->region, traffic);
  if (bucket != NULL)
    anvil_rate_bucket_consume (bucket, state->request.request_bits);
}

static void
dispatch (anvil_steer_t *steer,
          anvil_time_t now,
          anvil_request_state_t *state,
          const anvil_slot_choice_t *choice)
{
  const anvil_upstream_t *upstream = &steer->config->upstreams[choice->upstream->index];
  anvil_slot_t *slot = &choice->upstream->slots[choice->slot];
  anvil_dispatch_t details = {
    .generation = steer->generation,
    .upstream = choice->upstream->index,
    .upstream_key = choice->upstream->key,
    .slot = choice->slot,
    .address = upstream->address,
    .port = upstream->port,
  };

  dequeue (state);
  charge_links (state, choice);
  state->in_flight = TRUE;
  state->attempts++;
  state->upstream_key = choice->upstream->key;
  state->slot = choice->slot;
  state->dispatched_at = now;
  state->attempt_deadline
      = MIN (state->request.deadline, now + steer->config->services[upstream->service].deadline);
  slot->request = state->request.id;
  choice->upstream->in_flight++;
  steer->counters.dispatched++;
  steer->counters.retried += state->attempts > 1;
  steer->counters.waited += now > state->submitted_at;

  details.attempt = state->attempts;
  details.deadline = state->attempt_deadline;
  if (choice->request_link != NULL)
    details.pace_bits_per_s = MAX (anvil_steer_bucket_share (steer, now, choice->request_link),
                                   (gint64) choice->request_link->rate_per_seat);
  steer->callbacks.dispatch (steer->context, &state->request, &details);
}

void
anvil_steer_dispatch_waiting (anvil_steer_t *steer, anvil_time_t now, anvil_queue_t *queue)
{
  anvil_slot_choice_t choice;

  while (!g_sequence_is_empty (queue->waiting))
    {
      anvil_request_state_t *state = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

      if (!anvil_steer_choose_slot (steer, now, state, &choice))
        {
          if (choice.exhausted_bucket != NULL)
            anvil_steer_request_units (steer, now, choice.exhausted_bucket, choice.required_units);
          anvil_steer_request_slots (steer, now, queue);
          return;
        }
      dispatch (steer, now, state, &choice);
    }
}

void
anvil_steer_dispatch_all_waiting (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    anvil_steer_dispatch_waiting (steer, now, g_array_index (steer->queues, anvil_queue_t *, i));
}

void
anvil_steer_submit (anvil_steer_t *steer, anvil_time_t now, const anvil_request_t *request)
{
  anvil_request_state_t *state;
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
  if (steer->leaving && now >= steer->leave_started_at + ANVIL_LOOKUP_TTL)
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
  state = g_new0 (anvil_request_state_t, 1);
  state->request = *request;
  state->queue = queue;
  state->submitted_at = now;
  state->client_region = anvil_config_lookup_client_region (steer->config, request->client_address);
  charge_request_link (steer, now, state);
  g_hash_table_insert (steer->requests, &state->request.id, state);
  enqueue (state);
  anvil_steer_dispatch_waiting (steer, now, queue);
}

gboolean
anvil_steer_cancel (anvil_steer_t *steer, anvil_time_t now, guint64 request)
{
  anvil_request_state_t *state = g_hash_table_lookup (steer->requests, &request);

  if (state == NULL)
    return FALSE;
  if (state->in_flight)
    {
      state->cancelled = TRUE;
      return FALSE;
    }
  dequeue (state);
  g_hash_table_remove (steer->requests, &request);
  return TRUE;
}

/* Frees the slot of an attempt that has ended, and adjusts the charges of its links. */
static anvil_upstream_state_t *
release_attempt (anvil_steer_t *steer,
                 anvil_time_t now,
                 anvil_request_state_t *state,
                 anvil_attempt_result_t result,
                 gint64 response_bits)
{
  anvil_upstream_state_t *upstream = anvil_steer_upstream_state (steer, state->upstream_key);
  anvil_slot_t *slot = &upstream->slots[state->slot];

  state->in_flight = FALSE;
  slot->request = 0;
  slot->idle_since = now;
  upstream->in_flight--;
  /* The upstream may still run the request until its deadline. */
  if (result == ANVIL_ATTEMPT_UNKNOWN)
    slot->busy_until = MAX (slot->busy_until, state->attempt_deadline + ANVIL_REQUEST_END_MARGIN);
  if (result != ANVIL_ATTEMPT_UNKNOWN)
    adjust_link_charge (steer, now, state->response_link_key,
                        response_bits - state->charged_response_bits);
  adjust_link_charge (steer, now, state->client_link_key,
                      (result == ANVIL_ATTEMPT_ANSWERED ? response_bits : 0)
                          - state->charged_response_bits);
  return upstream;
}

static void
record_result (anvil_steer_t *steer,
               anvil_time_t now,
               anvil_request_state_t *state,
               anvil_upstream_state_t *upstream,
               anvil_attempt_result_t result)
{
  anvil_time_t latency = now - state->dispatched_at;

  switch (result)
    {
    case ANVIL_ATTEMPT_ANSWERED:
      anvil_upstream_record_response (upstream, now, latency);
      if (state->queue != NULL)
        state->queue->average_latency = (state->queue->average_latency * 15 + latency) / 16;
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
      state->may_have_run = TRUE;
      anvil_steer_upstream_failed (steer, now, upstream);
      return;
    }
}

/* Whether to retry a request. The budget isn't charged if a draining upstream rejected it. */
static gboolean
may_retry (anvil_steer_t *steer,
           anvil_time_t now,
           const anvil_request_state_t *state,
           anvil_attempt_result_t result)
{
  if (result == ANVIL_ATTEMPT_ANSWERED || state->cancelled || state->attempts >= ANVIL_MAX_ATTEMPTS)
    return FALSE;
  if (now >= state->request.deadline)
    return FALSE;
  if (state->may_have_run && !state->request.idempotent
      && !steer->options.faults.retry_after_unknown)
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
  anvil_request_state_t *state = g_hash_table_lookup (steer->requests, &request);
  anvil_upstream_state_t *upstream;
  anvil_queue_t *queue;
  guint slot;

  if (state == NULL || !state->in_flight)
    return;
  upstream = release_attempt (steer, now, state, result, response_bits);
  record_result (steer, now, state, upstream, result);
  queue = state->queue;
  slot = state->slot;

  if (may_retry (steer, now, state, result))
    {
      state->avoid_upstream = upstream->key;
      enqueue (state);
    }
  else if (result == ANVIL_ATTEMPT_ANSWERED)
    {
      g_hash_table_remove (steer->requests, &request);
      steer->callbacks.finish (steer->context, request, result);
    }
  else
    end_request (steer, state, ANVIL_REFUSAL_RETRIES_EXHAUSTED);

  if (queue != NULL)
    anvil_steer_dispatch_waiting (steer, now, queue);
  anvil_steer_return_slot_if_unneeded (steer, now, upstream, slot);
}

/* Time before its deadline at which a waiting request is refused, since no response is likely. */
static anvil_time_t
min_remaining_time (const anvil_steer_t *steer, const anvil_queue_t *queue)
{
  return MIN (queue->average_latency / 2, steer->config->services[queue->service].deadline / 4);
}

void
anvil_steer_requests_tick (anvil_steer_t *steer, anvil_time_t now)
{
  for (guint i = 0; steer->queues != NULL && i < steer->queues->len; i++)
    {
      anvil_queue_t *queue = g_array_index (steer->queues, anvil_queue_t *, i);
      anvil_time_t min_remaining = min_remaining_time (steer, queue);

      while (!g_sequence_is_empty (queue->waiting))
        {
          anvil_request_state_t *state
              = g_sequence_get (g_sequence_get_begin_iter (queue->waiting));

          if (now < state->request.deadline - min_remaining)
            break;
          end_request (steer, state, ANVIL_REFUSAL_DEADLINE);
        }
      anvil_steer_dispatch_waiting (steer, now, queue);
    }
}

static anvil_queue_t *
new_queue (anvil_steer_t *steer, guint service, guint half)
{
  anvil_queue_t *queue = g_new0 (anvil_queue_t, 1);

  queue->waiting = g_sequence_new (NULL);
  queue->service = service;
  queue->half = half;
  queue->average_latency = INITIAL_LATENCY;
  queue->upstreams = g_array_new (FALSE, FALSE, sizeof (anvil_upstream_state_t *));
  for (guint i = 0; i < steer->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &steer->config->upstreams[i];

      if (upstream->service == service && upstream->half == half)
        g_array_append_val (queue->upstreams,
                            g_array_index (steer->upstreams_by_index, anvil_upstream_state_t *, i));
    }
  anvil_steer_compute_region_shares (steer, queue);
  return queue;
}

/* Queue of the new configuration for the service and half of an old one, or NULL. */
static anvil_queue_t *
find_successor (const anvil_steer_t *steer,
                const anvil_config_t *old_config,
                const anvil_queue_t *old)
{
  guint service
      = anvil_config_lookup_service (steer->config, old_config->services[old->service].name);

  if (service == ANVIL_NO_INDEX)
    return NULL;
  for (guint half = 0; half < steer->config->n_halves; half++)
    {
      if (anvil_str_equal (steer->config->halves[half].name, old_config->halves[old->half].name))
        return anvil_steer_queue (steer, service, half);
    }
  return NULL;
}

/* Moves a request to its queue in the new configuration; without one it ends, or isn't retried. */
static void
move_request (anvil_steer_t *steer, const anvil_config_t *old_config, anvil_request_state_t *state)
{
  if (state->queue_iter != NULL)
    dequeue (state);
  if (state->queue != NULL)
    state->queue = find_successor (steer, old_config, state->queue);
  if (state->queue != NULL)
    state->request.service = state->queue->service;

  if (state->in_flight)
    state->cancelled = state->cancelled || state->queue == NULL;
  else if (state->queue != NULL)
    enqueue (state);
  else
    end_request (steer, state, ANVIL_REFUSAL_OTHER_GENERATION);
}

void
anvil_steer_requests_configure (anvil_steer_t *steer,
                                anvil_time_t now,
                                const anvil_config_t *old_config)
{
  GArray *old_queues = steer->queues;
  GList *requests = g_hash_table_get_values (steer->requests);

  steer->queues = g_array_new (FALSE, FALSE, sizeof (anvil_queue_t *));
  g_hash_table_remove_all (steer->pending_loans);
  for (guint service = 0; service < steer->config->n_services; service++)
    {
      for (guint half = 0; half < steer->config->n_halves; half++)
        {
          anvil_queue_t *queue = new_queue (steer, service, half);

          g_array_append_val (steer->queues, queue);
        }
    }
  for (GList *l = requests; l != NULL; l = l->next)
    move_request (steer, old_config, l->data);
  g_list_free (requests);
  if (old_queues == NULL)
    return;
  for (guint i = 0; i < old_queues->len; i++)
    anvil_queue_drop (g_array_index (old_queues, anvil_queue_t *, i));
  g_array_unref (old_queues);
}
