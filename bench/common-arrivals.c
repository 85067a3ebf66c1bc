#include "common-arrivals.h"

#include <math.h>

/* Between a client and the entries of its region, one way. */
#define CLIENT_DELAY (3 * ANVIL_MS)
/* What a caller loses on an entry that doesn't answer. */
#define DEAD_ENTRY_DELAY (100 * ANVIL_MS)
#define CLIENT_NETWORK 0x7f020100u
#define CLIENTS_PER_REGION 256
#define N_OBJECTS 1000
#define ZONE_DELAY 0.65

typedef struct
{
  anvil_entry_choice_t choices[FAKE_MAX_ENTRIES];
  guint n_choices;
  anvil_time_t until;
} cached_t;

typedef struct
{
  gdouble per_second;
  guint generation;
  GRand *random;
} stream_t;

struct common_arrivals
{
  fake_net_t *net;
  common_measure_t *measure;
  common_policy_t *policy;
  GRand *choice;
  stream_t streams[FAKE_MAX_SERVICES];
  cached_t cached[FAKE_MAX_SERVICES][FAKE_MAX_ENTRIES][CLIENTS_PER_REGION];
};

typedef struct
{
  common_arrivals_t *arrivals;
  guint service;
  guint generation;
} arrival_t;

common_arrivals_t *
common_arrivals_new (fake_net_t *net,
                     common_measure_t *measure,
                     common_policy_t *policy,
                     guint32 seed)
{
  common_arrivals_t *arrivals = g_new0 (common_arrivals_t, 1);

  arrivals->net = net;
  arrivals->measure = measure;
  arrivals->policy = policy;
  arrivals->choice = g_rand_new_with_seed (seed + FAKE_MAX_SERVICES);
  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    arrivals->streams[i].random = g_rand_new_with_seed (seed + i);
  return arrivals;
}

void
common_arrivals_drop (common_arrivals_t *arrivals)
{
  if (arrivals == NULL)
    return;
  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    g_rand_free (arrivals->streams[i].random);
  g_rand_free (arrivals->choice);
  g_free (arrivals);
}

static guint
random_entry (common_arrivals_t *arrivals, guint region)
{
  guint found = ANVIL_NO_INDEX;
  gint seen = 0;

  for (guint i = 0; i < arrivals->net->n_entries; i++)
    if (arrivals->net->entries[i].alive
        && (region == ANVIL_NO_INDEX || arrivals->net->entries[i].region == region)
        && g_rand_int_range (arrivals->choice, 0, ++seen) == 0)
      found = i;
  return found;
}

static guint
entry_of_node (const fake_net_t *net, anvil_node_t node)
{
  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].node == node && net->entries[i].alive)
      return i;
  return ANVIL_NO_INDEX;
}

static void
look_up (common_arrivals_t *arrivals, cached_t *cached, guint service, guint32 client)
{
  anvil_time_t now = fake_net_now (arrivals->net);
  guint asked = random_entry (arrivals, ANVIL_NO_INDEX);
  fake_entry_t *entry;

  if (asked == ANVIL_NO_INDEX)
    return;
  entry = &arrivals->net->entries[asked];
  cached->n_choices = anvil_steer_lookup (entry->steer, fake_net_local_time (entry, now), service,
                                          client, cached->choices, FAKE_MAX_ENTRIES);
  cached->until = now + ANVIL_LOOKUP_TTL;
}

/* The entry by weight; a caller that finds it dead takes the next of its list. */
static guint
entry_by_lookup (
    common_arrivals_t *arrivals, guint service, guint region, guint32 client, anvil_time_t *lost)
{
  cached_t *cached = &arrivals->cached[service][region][client % CLIENTS_PER_REGION];
  guint total = 0;
  guint drawn;
  guint first = 0;

  if (fake_net_now (arrivals->net) >= cached->until)
    look_up (arrivals, cached, service, client);
  for (guint i = 0; i < cached->n_choices; i++)
    total += cached->choices[i].weight;
  drawn = total > 0 ? (guint) g_rand_int_range (arrivals->choice, 0, (gint32) total) : 0;
  while (first + 1 < cached->n_choices && drawn >= cached->choices[first].weight)
    drawn -= cached->choices[first++].weight;
  for (guint i = 0; i < cached->n_choices; i++)
    {
      guint found
          = entry_of_node (arrivals->net, cached->choices[(first + i) % cached->n_choices].node);

      if (found != ANVIL_NO_INDEX)
        return found;
      *lost += DEAD_ENTRY_DELAY;
    }
  return ANVIL_NO_INDEX;
}

static guint
choose_entry (common_arrivals_t *arrivals,
              const anvil_request_t *request,
              guint region,
              anvil_time_t *lost)
{
  guint entry;

  if (arrivals->policy == NULL)
    entry = entry_by_lookup (arrivals, request->service, region, request->client_address, lost);
  else
    entry = random_entry (arrivals, common_policy_region (arrivals->policy, request, region));
  return entry != ANVIL_NO_INDEX ? entry : random_entry (arrivals, ANVIL_NO_INDEX);
}

static void
arrive (common_arrivals_t *arrivals, guint service)
{
  fake_net_t *net = arrivals->net;
  const anvil_config_t *config = net->options.config;
  const anvil_service_t *known = &config->services[service];
  GRand *random = arrivals->streams[service].random;
  guint region = (guint) g_rand_int_range (random, 0, (gint32) config->n_regions);
  guint32 client
      = CLIENT_NETWORK + (region << 8) + (guint32) g_rand_int_range (random, 0, CLIENTS_PER_REGION);
  anvil_request_t request
      = { .service = service,
          .client_address = client,
          .idempotent = known->idempotent,
          .deadline = known->deadline,
          .request_bits = known->request_bits,
          .affinity = known->idempotent ? (guint64) g_rand_int_range (random, 1, N_OBJECTS) : 0 };
  anvil_time_t travel = 2 * CLIENT_DELAY;
  guint entry = choose_entry (arrivals, &request, region, &travel);
  common_measure_arrival_t arrival = { .number = net->last_request + 1, .service = service };

  if (entry == ANVIL_NO_INDEX)
    return;
  arrival.link_in = anvil_config_lookup_link (config, region, net->entries[entry].region);
  arrival.link_out = anvil_config_lookup_link (config, net->entries[entry].region, region);
  if (arrival.link_in != ANVIL_NO_INDEX)
    travel += 2 * config->links[arrival.link_in].delay;
  arrival.travel = travel;
  common_measure_submitted (arrivals->measure, fake_net_now (net), &arrival);
  fake_net_submit (net, entry, request);
}

static void arrival_due (void *context, void *data);

static void
next_arrival (common_arrivals_t *arrivals, guint service)
{
  stream_t *stream = &arrivals->streams[service];
  gdouble seconds = -log (1 - g_rand_double (stream->random)) / stream->per_second;
  arrival_t *arrival = g_new0 (arrival_t, 1);

  arrival->arrivals = arrivals;
  arrival->service = service;
  arrival->generation = stream->generation;
  fake_clock_schedule (arrivals->net->clock,
                       fake_net_now (arrivals->net) + (anvil_time_t) (seconds * ANVIL_SECOND),
                       arrival_due, NULL, arrival, g_free);
}

static void
arrival_due (void *context, void *data)
{
  const arrival_t *arrival = data;
  common_arrivals_t *arrivals = arrival->arrivals;

  if (arrival->generation != arrivals->streams[arrival->service].generation)
    return;
  arrive (arrivals, arrival->service);
  next_arrival (arrivals, arrival->service);
}

void
common_arrivals_set (common_arrivals_t *arrivals, guint service, gdouble per_second)
{
  arrivals->streams[service].generation++;
  arrivals->streams[service].per_second = per_second;
  if (per_second > 0)
    next_arrival (arrivals, service);
}

/* Part of the requests of a half that no slot in their own region can take. */
static gdouble
crossing (const anvil_config_t *config, guint service, guint half, guint total)
{
  gdouble crossing = 0;

  for (guint region = 0; region < config->n_regions; region++)
    {
      guint slots = 0;

      for (guint i = 0; i < config->n_upstreams; i++)
        if (config->upstreams[i].service == service && config->upstreams[i].half == half
            && anvil_config_upstream_region (config, i) == region)
          slots += config->upstreams[i].slots;
      crossing += MAX (0, 1.0 / config->n_regions - (gdouble) slots / total);
    }
  return crossing;
}

gdouble
common_capacity (const anvil_config_t *config, guint service, anvil_time_t service_time)
{
  gdouble link_ms = config->n_links > 0 ? (gdouble) config->links[0].delay / ANVIL_MS : 0;
  gdouble capacity = G_MAXDOUBLE;

  for (guint half = 0; half < config->n_halves; half++)
    {
      gdouble share = config->services[service].half_percents[half] / 100.0;
      guint slots = 0;
      gdouble away;
      gdouble held_ms;

      for (guint i = 0; i < config->n_upstreams; i++)
        if (config->upstreams[i].service == service && config->upstreams[i].half == half)
          slots += config->upstreams[i].slots;
      if (share <= 0 || slots == 0)
        continue;
      away = crossing (config, service, half, slots);
      held_ms = (gdouble) service_time / ANVIL_MS + away * link_ms + (1 - away) * ZONE_DELAY;
      capacity = MIN (capacity, slots / (held_ms / 1000) / share);
    }
  return capacity;
}
