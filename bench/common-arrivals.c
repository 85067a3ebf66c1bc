#include "common-arrivals.h"

#include <math.h>

/* Between a client and the entries of its region. */
#define CLIENT_ONE_WAY_DELAY (3 * ANVIL_MS)
/* Time after which a caller tries the next entry if one doesn't answer. */
#define DEAD_ENTRY_TIMEOUT (100 * ANVIL_MS)
#define FIRST_CLIENT_NETWORK 0x7f020100u
#define CLIENTS_PER_REGION 256
#define N_OBJECTS 1000
/* Mean network delay within a region. */
#define REGION_DELAY_MS 0.65

typedef struct
{
  anvil_entry_choice_t choices[FAKE_MAX_ENTRIES];
  guint n_choices;
  anvil_time_t expires_at;
} cached_lookup_t;

typedef struct
{
  gdouble per_second;
  guint generation;
  GRand *random;
} arrival_stream_t;

struct common_arrivals
{
  fake_net_t *net;
  common_measure_t *measure;
  common_policy_t *policy;
  GRand *random;
  arrival_stream_t streams[FAKE_MAX_SERVICES];
  cached_lookup_t cached[FAKE_MAX_SERVICES][FAKE_MAX_ENTRIES][CLIENTS_PER_REGION];
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
  arrivals->random = g_rand_new_with_seed (seed + FAKE_MAX_SERVICES);
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
  g_rand_free (arrivals->random);
  g_free (arrivals);
}

static guint
choose_random_entry (common_arrivals_t *arrivals, guint region)
{
  guint chosen = ANVIL_NO_INDEX;
  gint n_seen = 0;

  for (guint i = 0; i < arrivals->net->n_entries; i++)
    if (arrivals->net->entries[i].alive
        && (region == ANVIL_NO_INDEX || arrivals->net->entries[i].region == region)
        && g_rand_int_range (arrivals->random, 0, ++n_seen) == 0)
      chosen = i;
  return chosen;
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
look_up (common_arrivals_t *arrivals, cached_lookup_t *cached, guint service, guint32 client)
{
  anvil_time_t now = fake_net_now (arrivals->net);
  guint index = choose_random_entry (arrivals, ANVIL_NO_INDEX);
  fake_entry_t *entry;

  if (index == ANVIL_NO_INDEX)
    return;
  entry = &arrivals->net->entries[index];
  cached->n_choices = anvil_steer_lookup (entry->steer, fake_net_local_time (entry, now), service,
                                          client, cached->choices, FAKE_MAX_ENTRIES);
  cached->expires_at = now + ANVIL_LOOKUP_TTL;
}

/* Chooses an entry by its weight in the look-up; dead entries cost a time-out and are skipped. */
static guint
choose_by_lookup (
    common_arrivals_t *arrivals, guint service, guint region, guint32 client, anvil_time_t *delay)
{
  cached_lookup_t *cached = &arrivals->cached[service][region][client % CLIENTS_PER_REGION];
  guint total = 0;
  guint point;
  guint first = 0;

  if (fake_net_now (arrivals->net) >= cached->expires_at)
    look_up (arrivals, cached, service, client);
  for (guint i = 0; i < cached->n_choices; i++)
    total += cached->choices[i].weight;
  point = total > 0 ? (guint) g_rand_int_range (arrivals->random, 0, (gint32) total) : 0;
  while (first + 1 < cached->n_choices && point >= cached->choices[first].weight)
    point -= cached->choices[first++].weight;
  for (guint i = 0; i < cached->n_choices; i++)
    {
      guint chosen
          = entry_of_node (arrivals->net, cached->choices[(first + i) % cached->n_choices].node);

      if (chosen != ANVIL_NO_INDEX)
        return chosen;
      *delay += DEAD_ENTRY_TIMEOUT;
    }
  return ANVIL_NO_INDEX;
}

static guint
choose_entry (common_arrivals_t *arrivals,
              const anvil_request_t *request,
              guint region,
              anvil_time_t *delay)
{
  guint entry;

  if (arrivals->policy == NULL)
    entry = choose_by_lookup (arrivals, request->service, region, request->client_address, delay);
  else
    entry = choose_random_entry (arrivals,
                                 common_policy_choose_region (arrivals->policy, request, region));
  return entry != ANVIL_NO_INDEX ? entry : choose_random_entry (arrivals, ANVIL_NO_INDEX);
}

static void
submit_request (common_arrivals_t *arrivals, guint service)
{
  fake_net_t *net = arrivals->net;
  const anvil_config_t *config = net->options.config;
  const anvil_service_t *service_config = &config->services[service];
  GRand *random = arrivals->streams[service].random;
  guint region = (guint) g_rand_int_range (random, 0, (gint32) config->n_regions);
  guint32 client = FIRST_CLIENT_NETWORK + (region << 8)
                   + (guint32) g_rand_int_range (random, 0, CLIENTS_PER_REGION);
  anvil_request_t request
      = { .service = service,
          .client_address = client,
          .idempotent = service_config->idempotent,
          .deadline = service_config->deadline,
          .request_bits = service_config->request_bits,
          .affinity
          = service_config->idempotent ? (guint64) g_rand_int_range (random, 1, N_OBJECTS) : 0 };
  anvil_time_t network_time = 2 * CLIENT_ONE_WAY_DELAY;
  guint entry = choose_entry (arrivals, &request, region, &network_time);
  common_request_info_t info = { .request_id = net->last_request + 1, .service = service };

  if (entry == ANVIL_NO_INDEX)
    return;
  info.request_link = anvil_config_lookup_link (config, region, net->entries[entry].region);
  info.response_link = anvil_config_lookup_link (config, net->entries[entry].region, region);
  if (info.request_link != ANVIL_NO_INDEX)
    network_time += 2 * config->links[info.request_link].delay;
  info.network_time = network_time;
  common_measure_request_submitted (arrivals->measure, fake_net_now (net), &info);
  fake_net_submit (net, entry, request);
}

static void on_arrival (void *context, void *data);

static void
schedule_arrival (common_arrivals_t *arrivals, guint service)
{
  arrival_stream_t *stream = &arrivals->streams[service];
  gdouble seconds = -log (1 - g_rand_double (stream->random)) / stream->per_second;
  arrival_t *arrival = g_new0 (arrival_t, 1);

  arrival->arrivals = arrivals;
  arrival->service = service;
  arrival->generation = stream->generation;
  fake_clock_schedule (arrivals->net->clock,
                       fake_net_now (arrivals->net) + (anvil_time_t) (seconds * ANVIL_SECOND),
                       on_arrival, NULL, arrival, g_free);
}

static void
on_arrival (void *context, void *data)
{
  const arrival_t *arrival = data;
  common_arrivals_t *arrivals = arrival->arrivals;

  if (arrival->generation != arrivals->streams[arrival->service].generation)
    return;
  submit_request (arrivals, arrival->service);
  schedule_arrival (arrivals, arrival->service);
}

void
common_arrivals_set_rate (common_arrivals_t *arrivals, guint service, gdouble per_second)
{
  arrivals->streams[service].generation++;
  arrivals->streams[service].per_second = per_second;
  if (per_second > 0)
    schedule_arrival (arrivals, service);
}

/* Fraction of a half's requests that exceeds the slots in the region of their callers. */
static gdouble
remote_fraction (const anvil_config_t *config, guint service, guint half, guint total)
{
  gdouble fraction = 0;

  for (guint region = 0; region < config->n_regions; region++)
    {
      guint slots = 0;

      for (guint i = 0; i < config->n_upstreams; i++)
        if (config->upstreams[i].service == service && config->upstreams[i].half == half
            && anvil_config_upstream_region (config, i) == region)
          slots += config->upstreams[i].slots;
      fraction += MAX (0, 1.0 / config->n_regions - (gdouble) slots / total);
    }
  return fraction;
}

gdouble
common_service_capacity (const anvil_config_t *config, guint service, anvil_time_t service_time)
{
  gdouble link_ms = config->n_links > 0 ? (gdouble) config->links[0].delay / ANVIL_MS : 0;
  gdouble capacity = G_MAXDOUBLE;

  for (guint half = 0; half < config->n_halves; half++)
    {
      gdouble share = config->services[service].half_percents[half] / 100.0;
      guint slots = 0;
      gdouble remote;
      gdouble slot_ms;

      for (guint i = 0; i < config->n_upstreams; i++)
        if (config->upstreams[i].service == service && config->upstreams[i].half == half)
          slots += config->upstreams[i].slots;
      if (share <= 0 || slots == 0)
        continue;
      remote = remote_fraction (config, service, half, slots);
      slot_ms
          = (gdouble) service_time / ANVIL_MS + remote * link_ms + (1 - remote) * REGION_DELAY_MS;
      capacity = MIN (capacity, slots / (slot_ms / 1000) / share);
    }
  return capacity;
}
