/* Which slot of which upstream a request gets. */

#include "steer/steer-internal.h"

/* What another zone of the same region costs, there and back. */
#define OTHER_ZONE_COST (2 * ANVIL_MS)
/* Where headroom is weighed most, a link is crossed only if it saves more than this. */
#define HEADROOM_COST (100 * ANVIL_MS)
/* What a report of bad health counts; reports mislead, so it never rules an upstream out. */
#define UNHEALTHY_COST (500 * ANVIL_MS)
/* What a second try at the same upstream counts. */
#define AVOID_COST (1 * ANVIL_SECOND)
/* Spread of equal choices. */
#define JITTER (1 * ANVIL_MS)

anvil_traffic_t
anvil_traffic_of (gint64 request_bits)
{
  return request_bits >= ANVIL_BULK_BITS ? ANVIL_TRAFFIC_BULK : ANVIL_TRAFFIC_INTERACTIVE;
}

/* Free slot of an upstream: borrowed ones first, since their time runs out. */
static guint
free_slot (const anvil_steer_t *steer, anvil_time_t now, const anvil_upstream_state_t *upstream)
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
distance (const anvil_steer_t *steer,
          const anvil_work_t *work,
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
         + (steer->config->services[work->request.service].preference == ANVIL_PREFER_HEADROOM
                ? HEADROOM_COST
                : 0);
}

/* Whether a budget has room; notes one that hasn't in @choice. */
static gboolean
has_room (anvil_rate_bucket_t *rate, gint64 units, anvil_choice_t *choice)
{
  if (rate == NULL || anvil_rate_bucket_allows (rate, units))
    return TRUE;
  choice->short_of = rate;
  choice->short_units = units;
  return FALSE;
}

/*
 * Checks the links that a request and its answer will cross and notes them in @choice; FALSE if
 * there is no room. The way from the caller to this entry has been used already.
 */
static gboolean
links_fit (anvil_steer_t *steer,
           anvil_time_t now,
           const anvil_work_t *work,
           const anvil_upstream_state_t *upstream,
           anvil_choice_t *choice)
{
  guint region = anvil_config_upstream_region (steer->config, upstream->index);
  anvil_traffic_t traffic = anvil_traffic_of (work->request.request_bits);

  choice->out = NULL;
  choice->back = NULL;
  choice->client = NULL;
  choice->back_bits = steer->config->services[work->request.service].response_bits;
  if (steer->region == ANVIL_NO_INDEX)
    return TRUE;
  if (work->client_region != ANVIL_NO_INDEX)
    choice->client
        = anvil_steer_link_rate (steer, now, steer->region, work->client_region, traffic);
  choice->out = anvil_steer_link_rate (steer, now, steer->region, region, traffic);
  choice->back = anvil_steer_link_rate (steer, now, region, steer->region, traffic);
  if (steer->options.faults.ignore_link_budget)
    return TRUE;
  return has_room (choice->out, work->request.request_bits, choice)
         && has_room (choice->back, choice->back_bits, choice)
         && has_room (choice->client, choice->back_bits, choice);
}

gboolean
anvil_steer_choose (anvil_steer_t *steer,
                    anvil_time_t now,
                    const anvil_work_t *work,
                    anvil_choice_t *choice)
{
  const GArray *upstreams = work->queue->upstreams;
  anvil_time_t best_cost = G_MAXINT64;
  anvil_choice_t candidate = { 0 };

  *choice = (anvil_choice_t){ 0 };
  for (guint i = 0; i < upstreams->len; i++)
    {
      anvil_upstream_state_t *upstream = g_array_index (upstreams, anvil_upstream_state_t *, i);
      anvil_time_t cost;

      if (!anvil_steer_accepting (steer, now, upstream))
        continue;
      candidate.slot = free_slot (steer, now, upstream);
      if (candidate.slot == ANVIL_NO_INDEX)
        continue;
      cost = distance (steer, work, upstream)
             + anvil_upstream_expected_latency (upstream, now, work->queue->typical_latency)
             + g_rand_int_range (steer->random, 0, (gint32) JITTER);
      cost += upstream->unhealthy ? UNHEALTHY_COST : 0;
      cost += upstream->key == work->avoid ? AVOID_COST : 0;
      if (cost >= best_cost || !links_fit (steer, now, work, upstream, &candidate))
        continue;
      candidate.upstream = upstream;
      best_cost = cost;
      *choice = candidate;
    }
  choice->short_of = candidate.short_of;
  choice->short_units = candidate.short_units;
  return choice->upstream != NULL;
}
