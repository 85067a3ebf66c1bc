/* Choice of the slot for a request: a free slot of the upstream with the lowest cost. Costs are
 * estimated latencies with penalties. */

#include "steer/steer-internal.h"

/* Round trip to another zone of the same region. */
#define OTHER_ZONE_COST (2 * ANVIL_MS)
/* Added for upstreams in other regions if the service prefers headroom, so that a link is crossed
 * only if this saves more. */
#define HEADROOM_COST (100 * ANVIL_MS)
/* Added for an upstream that reports itself unhealthy. It isn't excluded: reports can be wrong. */
#define UNHEALTHY_COST (500 * ANVIL_MS)
/* Added for the upstream of the previous attempt. */
#define SAME_UPSTREAM_COST (1 * ANVIL_SECOND)
/* Maximum of a random cost that spreads requests over equal upstreams. */
#define MAX_JITTER (1 * ANVIL_MS)

anvil_traffic_class_t
anvil_traffic_class (gint64 request_bits)
{
  return request_bits >= ANVIL_BULK_BITS ? ANVIL_TRAFFIC_BULK : ANVIL_TRAFFIC_INTERACTIVE;
}

/* Finds a free slot of an upstream, a borrowed one first since its loan expires. */
static guint
find_free_slot (const anvil_steer_t *steer,
                anvil_time_t now,
                const anvil_upstream_state_t *upstream)
{
  guint own = ANVIL_NO_INDEX;

  for (guint i = 0; i < upstream->n_slots; i++)
    {
      const anvil_slot_t *slot = &upstream->slots[i];

      if (!anvil_steer_slot_free (steer, now, slot))
        continue;
      if (slot->borrowed_nonce != 0)
        return i;
      own = i;
    }
  return own;
}

static anvil_time_t
latency_cost (const anvil_steer_t *steer,
              const anvil_request_state_t *state,
              const anvil_upstream_state_t *upstream)
{
  const anvil_upstream_t *target = &steer->config->upstreams[upstream->index];
  guint region = steer->config->zones[target->zone].region;
  guint link;

  if (target->zone == steer->zone)
    return 0;
  if (region == steer->region || steer->region == ANVIL_NO_INDEX)
    return OTHER_ZONE_COST;
  link = anvil_config_lookup_link (steer->config, steer->region, region);
  if (link == ANVIL_NO_INDEX)
    return OTHER_ZONE_COST;
  return 2 * steer->config->links[link].delay
         + (steer->config->services[state->request.service].preference == ANVIL_PREFER_HEADROOM
                ? HEADROOM_COST
                : 0);
}

/* Whether a bucket allows @units; stores one that doesn't in @choice. */
static gboolean
bucket_allows (anvil_rate_bucket_t *bucket, gint64 units, anvil_slot_choice_t *choice)
{
  if (bucket == NULL || anvil_rate_bucket_allows (bucket, units))
    return TRUE;
  choice->exhausted_bucket = bucket;
  choice->required_units = units;
  return FALSE;
}

/*
 * Stores the buckets of the links that a request and its response will cross in @choice; FALSE if
 * one of them is exhausted. The link from the caller to this entry was charged on submission.
 */
static gboolean
links_allow (anvil_steer_t *steer,
             anvil_time_t now,
             const anvil_request_state_t *state,
             const anvil_upstream_state_t *upstream,
             anvil_slot_choice_t *choice)
{
  guint region = anvil_config_upstream_region (steer->config, upstream->index);
  anvil_traffic_class_t traffic = anvil_traffic_class (state->request.request_bits);

  choice->request_link = NULL;
  choice->response_link = NULL;
  choice->client_link = NULL;
  choice->response_bits = steer->config->services[state->request.service].response_bits;
  if (steer->region == ANVIL_NO_INDEX)
    return TRUE;
  if (state->client_region != ANVIL_NO_INDEX)
    choice->client_link
        = anvil_steer_link_bucket (steer, now, steer->region, state->client_region, traffic);
  choice->request_link = anvil_steer_link_bucket (steer, now, steer->region, region, traffic);
  choice->response_link = anvil_steer_link_bucket (steer, now, region, steer->region, traffic);
  if (steer->options.faults.ignore_link_budget)
    return TRUE;
  return bucket_allows (choice->request_link, state->request.request_bits, choice)
         && bucket_allows (choice->response_link, choice->response_bits, choice)
         && bucket_allows (choice->client_link, choice->response_bits, choice);
}

gboolean
anvil_steer_choose_slot (anvil_steer_t *steer,
                         anvil_time_t now,
                         const anvil_request_state_t *state,
                         anvil_slot_choice_t *choice)
{
  const GArray *upstreams = state->queue->upstreams;
  anvil_time_t best_cost = G_MAXINT64;
  anvil_slot_choice_t candidate = { 0 };

  *choice = (anvil_slot_choice_t){ 0 };
  for (guint i = 0; i < upstreams->len; i++)
    {
      anvil_upstream_state_t *upstream = g_array_index (upstreams, anvil_upstream_state_t *, i);
      anvil_time_t cost;

      if (!anvil_steer_upstream_accepting (steer, now, upstream))
        continue;
      candidate.slot = find_free_slot (steer, now, upstream);
      if (candidate.slot == ANVIL_NO_INDEX)
        continue;
      cost = latency_cost (steer, state, upstream)
             + anvil_upstream_expected_latency (upstream, now, state->queue->average_latency)
             + g_rand_int_range (steer->random, 0, (gint32) MAX_JITTER);
      cost += upstream->unhealthy ? UNHEALTHY_COST : 0;
      cost += upstream->key == state->avoid_upstream ? SAME_UPSTREAM_COST : 0;
      if (cost >= best_cost || !links_allow (steer, now, state, upstream, &candidate))
        continue;
      candidate.upstream = upstream;
      best_cost = cost;
      *choice = candidate;
    }
  choice->exhausted_bucket = candidate.exhausted_bucket;
  choice->required_units = candidate.required_units;
  return choice->upstream != NULL;
}
