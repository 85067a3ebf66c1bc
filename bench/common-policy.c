#include "common-policy.h"

#define MAX_ATTEMPTS 3
#define MAX_UPSTREAMS 64
#define MAX_SHIFTS 4
/* Delays from this on are those of links between regions. */
#define LINK_DELAY (5 * ANVIL_MS)
/* Limit of waiting requests that the dispatcher examines at a time. */
#define MAX_SCANNED 64
#define PERCENT 100.0
/* Clients are assigned to halves by hundredths of a per cent. */
#define CLIENT_BUCKETS 10000

typedef struct
{
  anvil_request_t request;
  anvil_time_t submitted_at;
  guint entry;
  guint half;
  guint attempt;
  guint upstream;
} pending_t;

struct common_policy
{
  common_strategy_t strategy;
  const anvil_config_t *config;
  fake_net_t *net;
  GRand *random;
  GHashTable *pending;
  GQueue waiting[FAKE_MAX_SERVICES][2];
  guint running[MAX_UPSTREAMS];
  guint reported[FAKE_MAX_ENTRIES][MAX_UPSTREAMS];
  gboolean draining[FAKE_MAX_ENTRIES][MAX_UPSTREAMS];
  gdouble shifted_percent[MAX_SHIFTS];
  gdouble tokens[FAKE_MAX_ENTRIES][MAX_SHIFTS];
  anvil_time_t tokens_at[FAKE_MAX_ENTRIES][MAX_SHIFTS];
};

const char *
common_strategy_name (common_strategy_t strategy)
{
  static const char *const names[] = {
    [COMMON_STRATEGY_RANDOM] = "a random",         [COMMON_STRATEGY_TWO_CHOICES] = "b two choices",
    [COMMON_STRATEGY_STATIC] = "c static shares",  [COMMON_STRATEGY_LOANS] = "d loans",
    [COMMON_STRATEGY_DISPATCHER] = "e dispatcher",
  };

  return names[strategy];
}

gboolean
common_strategy_uses_core (common_strategy_t strategy)
{
  return strategy == COMMON_STRATEGY_STATIC || strategy == COMMON_STRATEGY_LOANS;
}

common_policy_t *
common_policy_new (common_strategy_t strategy, const anvil_config_t *config, guint32 seed)
{
  common_policy_t *policy = g_new0 (common_policy_t, 1);

  g_assert (config->n_upstreams <= MAX_UPSTREAMS && config->n_shifts <= MAX_SHIFTS);
  policy->strategy = strategy;
  policy->config = config;
  policy->random = g_rand_new_with_seed (seed);
  policy->pending = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    for (guint half = 0; half < 2; half++)
      g_queue_init (&policy->waiting[i][half]);
  return policy;
}

void
common_policy_drop (common_policy_t *policy)
{
  if (policy == NULL)
    return;
  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    for (guint half = 0; half < 2; half++)
      g_queue_clear (&policy->waiting[i][half]);
  g_hash_table_destroy (policy->pending);
  g_rand_free (policy->random);
  g_free (policy);
}

void
common_policy_set_net (common_policy_t *policy, fake_net_t *net)
{
  policy->net = net;
}

void
common_policy_set_shift_percent (common_policy_t *policy, guint shift, gdouble percent)
{
  policy->shifted_percent[shift] = percent;
}

/* Each entry has a token bucket with an equal part of the cap; the dispatcher has one for all. */
static gboolean
shift_try_withdraw (common_policy_t *policy, guint entry, guint index)
{
  const anvil_shift_t *shift = &policy->config->shifts[index];
  const anvil_service_t *service = &policy->config->services[shift->service];
  gboolean global = policy->strategy == COMMON_STRATEGY_DISPATCHER;
  guint bucket = global ? 0 : entry;
  gdouble part = global ? 1 : 1.0 / policy->config->n_seats;
  gdouble rate = part * (gdouble) MAX (shift->cap_bits_per_s, shift->cap_requests_per_s);
  gdouble unit
      = shift->cap_bits_per_s > 0 ? (gdouble) (service->request_bits + service->response_bits) : 1;
  anvil_time_t now = fake_net_now (policy->net);
  gdouble *tokens = &policy->tokens[bucket][index];

  *tokens += rate * (gdouble) (now - policy->tokens_at[bucket][index]) / ANVIL_SECOND;
  *tokens = MIN (*tokens, MAX (unit, rate / 4));
  policy->tokens_at[bucket][index] = now;
  if (*tokens < unit)
    return FALSE;
  *tokens -= unit;
  return TRUE;
}

/* Uses the same hash as the decision core, so that each half gets the same clients. */
static gdouble
client_percentile (const common_policy_t *policy, const anvil_request_t *request)
{
  const struct
  {
    guint64 service;
    guint64 client;
  } key = { .service = anvil_str_hash (policy->config->services[request->service].name),
            .client = request->client_address };
  anvil_str_t bytes = { .data = (const char *) &key, .length = sizeof key };

  return (gdouble) (anvil_str_hash (bytes) % CLIENT_BUCKETS) * PERCENT / CLIENT_BUCKETS;
}

static guint
half_without_shift (const common_policy_t *policy, const anvil_request_t *request)
{
  gdouble percentile = client_percentile (policy, request);

  return percentile < (gdouble) policy->config->services[request->service].half_percents[0] ? 0 : 1;
}

static guint
choose_half (common_policy_t *policy, guint entry, const anvil_request_t *request)
{
  const guint *half_percents = policy->config->services[request->service].half_percents;
  gdouble percentile = client_percentile (policy, request);

  for (guint i = 0; i < policy->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &policy->config->shifts[i];
      gdouble end = shift->from == 0 ? half_percents[0] : PERCENT;

      if (shift->service == request->service && percentile < end
          && percentile >= end - policy->shifted_percent[i])
        return shift_try_withdraw (policy, entry, i) ? shift->to : shift->from;
    }
  return half_without_shift (policy, request);
}

static gboolean
is_candidate (const common_policy_t *policy, const pending_t *pending, guint index)
{
  const anvil_upstream_t *upstream = &policy->config->upstreams[index];

  return upstream->service == pending->request.service && upstream->half == pending->half
         && !policy->draining[pending->entry][index];
}

static guint
pick_random (common_policy_t *policy, const pending_t *pending)
{
  guint found = ANVIL_NO_INDEX;
  gint seen = 0;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (is_candidate (policy, pending, i) && g_rand_int_range (policy->random, 0, ++seen) == 0)
      found = i;
  return found;
}

static guint
pick_two_choices (common_policy_t *policy, const pending_t *pending)
{
  guint first = pick_random (policy, pending);
  guint second = pick_random (policy, pending);
  const guint *reported = policy->reported[pending->entry];

  if (first == ANVIL_NO_INDEX)
    return first;
  return reported[second] < reported[first] ? second : first;
}

static gboolean
has_free_slot (const common_policy_t *policy, guint index)
{
  const fake_upstream_t *upstream = &policy->net->upstreams[index];

  return policy->running[index] < upstream->slots && !upstream->draining && !upstream->leaving
         && !upstream->down;
}

/* Whether a region has a usable upstream for the request, with or without a free slot. */
static gboolean
region_serves (const common_policy_t *policy, const pending_t *pending, guint region)
{
  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (policy->net->upstreams[i].region == region && is_candidate (policy, pending, i)
        && !policy->net->upstreams[i].down)
      return TRUE;
  return FALSE;
}

/*
 * Picks the nearest upstream with a free slot. If its own region serves a request, it crosses a
 * link only after it has waited for a round trip of that link.
 */
static guint
pick_free (const common_policy_t *policy, const pending_t *pending)
{
  guint zone = policy->net->entries[pending->entry].zone;
  anvil_time_t waited = fake_net_now (policy->net) - pending->submitted_at;
  gboolean served_in_region
      = region_serves (policy, pending, policy->net->entries[pending->entry].region);
  guint best = ANVIL_NO_INDEX;
  anvil_time_t best_delay = G_MAXINT64;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &policy->config->upstreams[i];
      anvil_time_t delay;

      if (!is_candidate (policy, pending, i) || !has_free_slot (policy, i))
        continue;
      delay = fake_net_one_way_delay (policy->net, zone, upstream->zone);
      if (served_in_region && delay >= LINK_DELAY && waited < 2 * delay)
        continue;
      if (delay < best_delay || (delay == best_delay && policy->running[i] < policy->running[best]))
        {
          best = i;
          best_delay = delay;
        }
    }
  return best;
}

/* Free slots of a half in a region minus the requests that wait in the region. */
static gint
count_spare_slots (const common_policy_t *policy, const pending_t *pending, guint region)
{
  const GQueue *queue = &policy->waiting[pending->request.service][pending->half];
  gint n_spare = 0;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (policy->net->upstreams[i].region == region && is_candidate (policy, pending, i)
        && has_free_slot (policy, i))
      n_spare += (gint) (policy->net->upstreams[i].slots - policy->running[i]);
  for (const GList *link = queue->head; link != NULL && n_spare > -MAX_SCANNED; link = link->next)
    n_spare -= policy->net->entries[((const pending_t *) link->data)->entry].region == region;
  return n_spare;
}

guint
common_policy_choose_region (common_policy_t *policy,
                             const anvil_request_t *request,
                             guint caller_region)
{
  pending_t pending = { .request = *request };
  guint best = caller_region;
  gint most = G_MININT;

  if (policy->strategy != COMMON_STRATEGY_DISPATCHER)
    return caller_region;
  pending.half = half_without_shift (policy, request);
  if (count_spare_slots (policy, &pending, caller_region) > 0)
    return caller_region;
  for (guint region = 0; region < policy->config->n_regions; region++)
    {
      gint n_spare = count_spare_slots (policy, &pending, region);

      if (region_serves (policy, &pending, region) && n_spare > most)
        {
          best = region;
          most = n_spare;
        }
    }
  return best;
}

static void
remove_pending (common_policy_t *policy, const pending_t *pending)
{
  g_hash_table_remove (policy->pending, GSIZE_TO_POINTER (pending->request.id));
}

static void
refuse (common_policy_t *policy, const pending_t *pending, anvil_refusal_reason_t reason)
{
  fake_net_refuse (policy->net, pending->entry, pending->request.id, reason);
  remove_pending (policy, pending);
}

static void
dispatch (common_policy_t *policy, pending_t *pending, guint index)
{
  const anvil_upstream_t *upstream = &policy->config->upstreams[index];
  anvil_dispatch_t dispatch = { .attempt = ++pending->attempt,
                                .generation = 1,
                                .upstream = index,
                                .upstream_key = upstream->key,
                                .address = upstream->address,
                                .port = upstream->port,
                                .deadline = pending->request.deadline };

  pending->upstream = index;
  policy->running[index]++;
  fake_net_dispatch (policy->net, pending->entry, &pending->request, &dispatch);
}

static gboolean
expired (const common_policy_t *policy, const pending_t *pending)
{
  const fake_entry_t *entry = &policy->net->entries[pending->entry];

  return !entry->alive
         || fake_net_local_time (entry, fake_net_now (policy->net)) >= pending->request.deadline;
}

static void
refuse_expired (common_policy_t *policy, GQueue *queue)
{
  while (!g_queue_is_empty (queue) && expired (policy, g_queue_peek_head (queue)))
    refuse (policy, g_queue_pop_head (queue), ANVIL_REFUSAL_DEADLINE);
}

static void
dispatch_waiting (common_policy_t *policy, guint service, guint half)
{
  GQueue *queue = &policy->waiting[service][half];
  GList *link;
  guint n_scanned = 0;

  refuse_expired (policy, queue);
  link = queue->head;
  while (link != NULL && n_scanned++ < MAX_SCANNED)
    {
      GList *next = link->next;
      pending_t *pending = link->data;
      guint index = pick_free (policy, pending);

      if (index != ANVIL_NO_INDEX)
        {
          g_queue_delete_link (queue, link);
          dispatch (policy, pending, index);
        }
      link = next;
    }
}

static void
decide (common_policy_t *policy, pending_t *pending)
{
  guint index;

  if (policy->strategy == COMMON_STRATEGY_DISPATCHER)
    {
      GQueue *queue = &policy->waiting[pending->request.service][pending->half];
      guint limit = policy->config->services[pending->request.service].max_queued;

      if (queue->length >= limit * policy->config->n_seats)
        refuse (policy, pending, ANVIL_REFUSAL_QUEUE_FULL);
      else
        g_queue_push_tail (queue, pending);
      dispatch_waiting (policy, pending->request.service, pending->half);
      return;
    }
  index = policy->strategy == COMMON_STRATEGY_RANDOM ? pick_random (policy, pending)
                                                     : pick_two_choices (policy, pending);
  if (index == ANVIL_NO_INDEX)
    refuse (policy, pending, ANVIL_REFUSAL_NO_UPSTREAM);
  else
    dispatch (policy, pending, index);
}

static void
policy_submit (void *context, guint entry, anvil_time_t now, const anvil_request_t *request)
{
  common_policy_t *policy = context;
  pending_t *pending = g_new0 (pending_t, 1);

  pending->request = *request;
  pending->submitted_at = fake_net_now (policy->net);
  pending->entry = entry;
  pending->half = choose_half (policy, entry, request);
  g_hash_table_insert (policy->pending, GSIZE_TO_POINTER (request->id), pending);
  decide (policy, pending);
}

static void
policy_finished (
    void *context, guint entry, anvil_time_t now, guint64 request, anvil_attempt_result_t result)
{
  common_policy_t *policy = context;
  pending_t *pending = g_hash_table_lookup (policy->pending, GSIZE_TO_POINTER (request));
  gboolean not_run = result == ANVIL_ATTEMPT_NOT_RUN || result == ANVIL_ATTEMPT_DRAINING;

  if (pending == NULL)
    return;
  if (result == ANVIL_ATTEMPT_DRAINING)
    policy->draining[entry][pending->upstream] = TRUE;
  if (not_run && pending->attempt < MAX_ATTEMPTS && !expired (policy, pending))
    {
      decide (policy, pending);
      return;
    }
  if (not_run)
    {
      refuse (policy, pending, ANVIL_REFUSAL_RETRIES_EXHAUSTED);
      return;
    }
  fake_net_finish (policy->net, entry, request, result);
  remove_pending (policy, pending);
}

static void
policy_report (void *context, guint entry, guint upstream, guint running, gboolean draining)
{
  common_policy_t *policy = context;

  policy->reported[entry][upstream] = running;
  policy->draining[entry][upstream] = draining;
}

void
common_policy_record (common_policy_t *policy, const fake_record_t *record)
{
  const anvil_upstream_t *upstream = &policy->config->upstreams[record->upstream];

  if (record->kind != FAKE_WORK_ENDED)
    return;
  policy->running[record->upstream]--;
  if (policy->strategy == COMMON_STRATEGY_DISPATCHER)
    dispatch_waiting (policy, upstream->service, upstream->half);
}

const fake_policy_t common_policy = {
  .submit = policy_submit,
  .finished = policy_finished,
  .report = policy_report,
};
