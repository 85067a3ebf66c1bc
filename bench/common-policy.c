#include "common-policy.h"

#define MAX_ATTEMPTS 3
#define MAX_UPSTREAMS 64
#define MAX_SHIFTS 4
/* Longer delays are those of links between regions. */
#define LINK_DELAY (5 * ANVIL_MS)
/* Waiting requests that the dispatcher looks at. */
#define MAX_LOOKED_AT 64
#define PERCENT 100.0
/* Clients are told apart to a hundredth of a per cent. */
#define PLACES 10000

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

/* Clients are spread as the core spreads them, so that the halves get the same ones. */
static gdouble
place_of_client (const common_policy_t *policy, const anvil_request_t *request)
{
  const struct
  {
    guint64 service;
    guint64 client;
  } key = { .service = anvil_str_hash (policy->config->services[request->service].name),
            .client = request->client_address };
  anvil_str_t bytes = { .data = (const char *) &key, .length = sizeof key };

  return (gdouble) (anvil_str_hash (bytes) % PLACES) * PERCENT / PLACES;
}

static guint
half_without_shift (const common_policy_t *policy, const anvil_request_t *request)
{
  gdouble place = place_of_client (policy, request);

  return place < (gdouble) policy->config->services[request->service].half_percents[0] ? 0 : 1;
}

static guint
choose_half (common_policy_t *policy, guint entry, const anvil_request_t *request)
{
  const guint *shares = policy->config->services[request->service].half_percents;
  gdouble place = place_of_client (policy, request);

  for (guint i = 0; i < policy->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &policy->config->shifts[i];
      gdouble end = shift->from == 0 ? shares[0] : PERCENT;

      if (shift->service == request->service && place < end && place >= end - policy->moved[i])
        return shift_allows (policy, entry, i) ? shift->to : shift->from;
    }
  return half_without_shift (policy, request);
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
  guint found = ANVIL_NO_INDEX;
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

/* Whether a region has an upstream that takes the request now or later. */
static gboolean
serves (const common_policy_t *policy, const pending_t *pending, guint region)
{
  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (policy->net->upstreams[i].region == region && takes_work (policy, pending, i)
        && !policy->net->upstreams[i].down)
      return TRUE;
  return FALSE;
}

/* The nearest upstream with a free slot; a link is crossed only after the wait that it costs. */
static guint
pick_free (const common_policy_t *policy, const pending_t *pending)
{
  guint zone = policy->net->entries[pending->entry].zone;
  anvil_time_t waited = fake_net_now (policy->net) - pending->submitted_at;
  gboolean at_home = serves (policy, pending, policy->net->entries[pending->entry].region);
  guint best = ANVIL_NO_INDEX;
  anvil_time_t best_delay = G_MAXINT64;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    {
      const anvil_upstream_t *upstream = &policy->config->upstreams[i];
      anvil_time_t delay;

      if (!takes_work (policy, pending, i) || !has_free_slot (policy, i))
        continue;
      delay = fake_net_one_way_delay (policy->net, zone, upstream->zone);
      if (at_home && delay >= LINK_DELAY && waited < 2 * delay)
        continue;
      if (delay < best_delay || (delay == best_delay && policy->running[i] < policy->running[best]))
        {
          best = i;
          best_delay = delay;
        }
    }
  return best;
}

/* Free slots of a half in a region, less the requests that wait for them. */
static gint
spare_slots (const common_policy_t *policy, const pending_t *pending, guint region)
{
  const GQueue *queue = &policy->waiting[pending->request.service][pending->half];
  gint spare = 0;

  for (guint i = 0; i < policy->config->n_upstreams; i++)
    if (policy->net->upstreams[i].region == region && takes_work (policy, pending, i)
        && has_free_slot (policy, i))
      spare += (gint) (policy->net->upstreams[i].slots - policy->running[i]);
  for (const GList *link = queue->head; link != NULL && spare > -MAX_LOOKED_AT; link = link->next)
    spare -= policy->net->entries[((const pending_t *) link->data)->entry].region == region;
  return spare;
}

guint
common_policy_region (common_policy_t *policy, const anvil_request_t *request, guint caller_region)
{
  pending_t pending = { .request = *request };
  guint best = caller_region;
  gint most = G_MININT;

  if (policy->way != COMMON_WAY_DISPATCHER)
    return caller_region;
  pending.half = half_without_shift (policy, request);
  if (spare_slots (policy, &pending, caller_region) > 0)
    return caller_region;
  for (guint region = 0; region < policy->config->n_regions; region++)
    {
      gint spare = spare_slots (policy, &pending, region);

      if (serves (policy, &pending, region) && spare > most)
        {
          best = region;
          most = spare;
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
refuse (common_policy_t *policy, const pending_t *pending, anvil_refusal_reason_t why)
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
drop_expired (common_policy_t *policy, GQueue *queue)
{
  while (!g_queue_is_empty (queue) && expired (policy, g_queue_peek_head (queue)))
    refuse (policy, g_queue_pop_head (queue), ANVIL_REFUSAL_DEADLINE);
}

static void
pump (common_policy_t *policy, guint service, guint half)
{
  GQueue *queue = &policy->waiting[service][half];
  GList *link;
  guint looked_at = 0;

  drop_expired (policy, queue);
  link = queue->head;
  while (link != NULL && looked_at++ < MAX_LOOKED_AT)
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

  if (policy->way == COMMON_WAY_DISPATCHER)
    {
      GQueue *queue = &policy->waiting[pending->request.service][pending->half];
      guint limit = policy->config->services[pending->request.service].max_queued;

      if (queue->length >= limit * policy->config->n_seats)
        refuse (policy, pending, ANVIL_REFUSAL_QUEUE_FULL);
      else
        g_queue_push_tail (queue, pending);
      pump (policy, pending->request.service, pending->half);
      return;
    }
  index = policy->way == COMMON_WAY_RANDOM ? pick_random (policy, pending)
                                           : pick_of_two (policy, pending);
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
      refuse (policy, pending, ANVIL_REFUSAL_RETRIES_EXHAUSTED);
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
