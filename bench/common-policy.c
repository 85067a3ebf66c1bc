#include "common-policy.h"

#include <xxhash.h>

#define MAX_ATTEMPTS 3
#define MAX_UPSTREAMS 64
#define MAX_SHIFTS 4
#define PERCENT 100
/* Clients are told apart to a hundredth of a per cent. */
#define PLACES 10000

typedef struct
{
  anvil_request_t request;
  guint entry;
  guint half;
  guint attempt;
  guint upstream;
} pending_t;

struct common_policy
{
  common_way_t way;
  const anvil_config_t *config;
  fake_net_t *net;
  GRand *random;
  GHashTable *pending;
  GQueue waiting[FAKE_MAX_SERVICES][2];
  guint running[MAX_UPSTREAMS];
  guint reported[FAKE_MAX_ENTRIES][MAX_UPSTREAMS];
  gboolean draining[FAKE_MAX_ENTRIES][MAX_UPSTREAMS];
  gdouble moved[MAX_SHIFTS];
  gdouble tokens[FAKE_MAX_ENTRIES][MAX_SHIFTS];
  anvil_time_t tokens_at[FAKE_MAX_ENTRIES][MAX_SHIFTS];
};

const char *
common_way_name (common_way_t way)
{
  static const char *const names[] = {
    [COMMON_WAY_RANDOM] = "a random",         [COMMON_WAY_TWO_CHOICES] = "b two choices",
    [COMMON_WAY_STATIC] = "c static shares",  [COMMON_WAY_LOANS] = "d loans",
    [COMMON_WAY_DISPATCHER] = "e dispatcher",
  };

  return names[way];
}

gboolean
common_way_is_core (common_way_t way)
{
  return way == COMMON_WAY_STATIC || way == COMMON_WAY_LOANS;
}

common_policy_t *
common_policy_new (common_way_t way, const anvil_config_t *config, guint32 seed)
{
  common_policy_t *policy = g_new0 (common_policy_t, 1);

  g_assert (config->n_upstreams <= MAX_UPSTREAMS && config->n_shifts <= MAX_SHIFTS);
  policy->way = way;
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
common_policy_start (common_policy_t *policy, fake_net_t *net)
{
  policy->net = net;
}

void
common_policy_shift (common_policy_t *policy, guint shift, gdouble percent)
{
  policy->moved[shift] = percent;
}

/* An entry alone keeps to an equal part of the cap; the dispatcher has the whole. */
static gboolean
shift_allows (common_policy_t *policy, guint entry, guint index)
{
  const anvil_shift_t *shift = &policy->config->shifts[index];
  const anvil_service_t *service = &policy->config->services[shift->service];
  gboolean whole = policy->way == COMMON_WAY_DISPATCHER;
  guint place = whole ? 0 : entry;
  gdouble part = whole ? 1 : 1.0 / policy->config->n_seats;
  gdouble rate = part * (gdouble) MAX (shift->cap_bits_per_s, shift->cap_requests_per_s);
  gdouble unit
      = shift->cap_bits_per_s > 0 ? (gdouble) (service->request_bits + service->response_bits) : 1;
  anvil_time_t now = fake_net_now (policy->net);
  gdouble *tokens = &policy->tokens[place][index];

  *tokens += rate * (gdouble) (now - policy->tokens_at[place][index]) / ANVIL_SECOND;
  *tokens = MIN (*tokens, MAX (unit, rate / 4));
  policy->tokens_at[place][index] = now;
  if (*tokens < unit)
    return FALSE;
  *tokens -= unit;
  return TRUE;
}

static guint
choose_half (common_policy_t *policy, guint entry, const anvil_request_t *request)
{
  guint32 client[2] = { request->client, request->service };
  guint64 hash = XXH3_64bits (client, sizeof client);
  gdouble place = (gdouble) (hash % PLACES) / PERCENT;
  const anvil_service_t *service = &policy->config->services[request->service];

  for (guint i = 0; i < policy->config->n_shifts; i++)
    if (policy->config->shifts[i].service == request->service && place < policy->moved[i])
      return shift_allows (policy, entry, i) ? policy->config->shifts[i].to
                                             : policy->config->shifts[i].from;
  return place < (gdouble) service->shares[0] ? 0 : 1;
}

static gboolean
takes_work (const common_policy_t *policy, const pending_t *pending, guint index)
{
  const anvil_upstream_t *upstream = &policy->config->upstreams[index];

  return upstream->service == pending->request.service && upstream->half == pending->half
         && !policy->draining[pending->entry][index];
}

static guint
pick_random (common_policy_t *policy, const pending_t *pending)
{
  guint found = ANVIL_NONE;
  gint seen = 0;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (takes_work (policy, pending, i) && g_rand_int_range (policy->random, 0, ++seen) == 0)
      found = i;
  return found;
}

static guint
pick_of_two (common_policy_t *policy, const pending_t *pending)
{
  guint first = pick_random (policy, pending);
  guint second = pick_random (policy, pending);
  const guint *reported = policy->reported[pending->entry];

  if (first == ANVIL_NONE)
    return first;
  return reported[second] < reported[first] ? second : first;
}

/* The nearest upstream with a free slot. */
static guint
pick_free (const common_policy_t *policy, const pending_t *pending)
{
  guint zone = policy->net->entries[pending->entry].zone;
  guint best = ANVIL_NONE;
  anvil_time_t best_delay = G_MAXINT64;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &policy->config->upstreams[i];
      anvil_time_t delay;

      if (!takes_work (policy, pending, i) || policy->running[i] >= upstream->slots
          || policy->net->upstreams[i].draining || policy->net->upstreams[i].leaving
          || policy->net->upstreams[i].down)
        continue;
      delay = fake_net_delay (policy->net, zone, upstream->zone);
      if (delay < best_delay || (delay == best_delay && policy->running[i] < policy->running[best]))
        {
          best = i;
          best_delay = delay;
        }
    }
  return best;
}

static void
forget (common_policy_t *policy, const pending_t *pending)
{
  g_hash_table_remove (policy->pending, GSIZE_TO_POINTER (pending->request.id));
}

static void
refuse (common_policy_t *policy, const pending_t *pending, anvil_refusal_t why)
{
  fake_net_refuse (policy->net, pending->entry, pending->request.id, why);
  forget (policy, pending);
}

static void
dispatch (common_policy_t *policy, pending_t *pending, guint index)
{
  const anvil_upstream_t *upstream = &policy->config->upstreams[index];
  anvil_dispatch_t dispatch = { .attempt = ++pending->attempt,
                                .generation = 1,
                                .upstream = index,
                                .key = upstream->key,
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
         || fake_net_local (entry, fake_net_now (policy->net)) >= pending->request.deadline;
}

static void
pump (common_policy_t *policy, guint service, guint half)
{
  GQueue *queue = &policy->waiting[service][half];

  while (!g_queue_is_empty (queue))
    {
      pending_t *pending = g_queue_peek_head (queue);
      guint index;

      if (expired (policy, pending))
        {
          g_queue_pop_head (queue);
          refuse (policy, pending, ANVIL_REFUSAL_DEADLINE);
          continue;
        }
      index = pick_free (policy, pending);
      if (index == ANVIL_NONE)
        return;
      g_queue_pop_head (queue);
      dispatch (policy, pending, index);
    }
}

static void
decide (common_policy_t *policy, pending_t *pending)
{
  guint index;

  if (policy->way == COMMON_WAY_DISPATCHER)
    {
      GQueue *queue = &policy->waiting[pending->request.service][pending->half];
      guint limit = policy->config->services[pending->request.service].queue;

      if (queue->length >= limit * policy->config->n_seats)
        refuse (policy, pending, ANVIL_REFUSAL_QUEUE_FULL);
      else
        g_queue_push_tail (queue, pending);
      pump (policy, pending->request.service, pending->half);
      return;
    }
  index = policy->way == COMMON_WAY_RANDOM ? pick_random (policy, pending)
                                           : pick_of_two (policy, pending);
  if (index == ANVIL_NONE)
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
  gboolean turned_away = result == ANVIL_ATTEMPT_NOT_RUN || result == ANVIL_ATTEMPT_DRAINING;

  if (pending == NULL)
    return;
  if (result == ANVIL_ATTEMPT_DRAINING)
    policy->draining[entry][pending->upstream] = TRUE;
  if (turned_away && pending->attempt < MAX_ATTEMPTS && !expired (policy, pending))
    {
      decide (policy, pending);
      return;
    }
  if (turned_away)
    {
      refuse (policy, pending, ANVIL_REFUSAL_RETRIES);
      return;
    }
  fake_net_finish (policy->net, entry, request, result);
  forget (policy, pending);
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
  if (policy->way == COMMON_WAY_DISPATCHER)
    pump (policy, upstream->service, upstream->half);
}

const fake_policy_t common_policy = {
  .submit = policy_submit,
  .finished = policy_finished,
  .report = policy_report,
};
