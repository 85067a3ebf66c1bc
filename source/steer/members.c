#include "anvil/members.h"

#include <string.h>

#include "steer/caller-choice.h"
#include "steer/config-proof.h"

/* Time between two pings to a peer that is pinged often: the minimum, the part for each such peer,
 * and the maximum. With up to 40 such peers an entry sends at most 40 pings a second. */
#define MIN_PING_PERIOD (250 * ANVIL_MS)
#define PING_PERIOD_PER_PEER (25 * ANVIL_MS)
#define MAX_PING_PERIOD (1000 * ANVIL_MS)
/* Time between two pings to any other peer; short enough that the connection stays open. */
#define RARE_PING_PERIOD (8 * ANVIL_SECOND)
/* Up to this number of peers all are pinged often: 40 pings a second are cheap. */
#define MAX_PEERS_ALL_PINGED_OFTEN 40
/* The first entries in rank for a service, which are pinged often. */
#define N_HOLDER_CANDIDATES 4
/* A peer without an answer is removed after this time. The store's list of entries is read again
 * well within it, so that an entry in the list stays. */
#define PEER_EXPIRY_TIME (150 * ANVIL_SECOND)
/* A peer that has not answered this many pings is unreachable. */
#define MAX_MISSED_PINGS 3
/* Width of a class of processor time; entries of one class are equally preferred as holders. */
#define CPU_CLASS_MILLICORES 200
#define MAX_CPU_CLASS 7
/* A new round-trip time enters the moving average with 1/8: a ping may have waited behind other
 * work. */
#define RTT_WEIGHT_DIVISOR 8

struct anvil_members
{
  anvil_node_t self;
  anvil_member_info_t info;
  const char *(*region_of) (void *context, const char *zone);
  void *context;
  /* anvil_peer_t in the order in which they were added. */
  GPtrArray *peers;
  gboolean list_read;
  anvil_time_t revoke_time;
  guint n_pinged_often;
  /* Peer that is named next. */
  guint next_picked;
  GHashTable *by_node;
};

static void
clear_info (anvil_member_info_t *info)
{
  g_free ((char *) info->name.data);
  g_free ((char *) info->zone.data);
}

static void
peer_drop (gpointer data)
{
  anvil_peer_t *peer = data;

  clear_info (&peer->info);
  g_free (peer);
}

static void
copy_info (anvil_member_info_t *to, const anvil_member_info_t *from)
{
  anvil_member_info_t copy = *from;

  copy.name = anvil_str (anvil_str_dup (from->name));
  copy.zone = anvil_str (anvil_str_dup (from->zone));
  clear_info (to);
  *to = copy;
}

anvil_members_t *
anvil_members_new (anvil_node_t self,
                   const anvil_member_info_t *info,
                   const char *(*region_of) (void *context, const char *zone),
                   void *context)
{
  anvil_members_t *members = g_new0 (anvil_members_t, 1);

  members->self = self;
  copy_info (&members->info, info);
  members->region_of = region_of;
  members->context = context;
  members->peers = g_ptr_array_new_with_free_func (peer_drop);
  members->by_node = g_hash_table_new (g_int64_hash, g_int64_equal);
  return members;
}

void
anvil_members_drop (anvil_members_t *members)
{
  if (members == NULL)
    return;
  g_hash_table_unref (members->by_node);
  g_ptr_array_unref (members->peers);
  clear_info (&members->info);
  g_free (members);
}

static anvil_peer_t *
lookup (const anvil_members_t *members, anvil_node_t node)
{
  return g_hash_table_lookup (members->by_node, &node);
}

const anvil_peer_t *
anvil_members_lookup (const anvil_members_t *members, anvil_node_t node)
{
  return lookup (members, node);
}

void
anvil_members_add (anvil_members_t *members, anvil_time_t now, anvil_node_t node)
{
  anvil_peer_t *peer = lookup (members, node);

  if (node == ANVIL_NO_NODE || node == members->self)
    return;
  if (peer == NULL)
    {
      peer = g_new0 (anvil_peer_t, 1);
      peer->node = node;
      peer->added_at = now;
      peer->pinged_often = TRUE;
      members->n_pinged_often++;
      g_ptr_array_add (members->peers, peer);
      g_hash_table_insert (members->by_node, &peer->node, peer);
    }
  peer->address_seen_at = now;
}

guint
anvil_members_pick (anvil_members_t *members,
                    anvil_time_t now,
                    anvil_node_t except,
                    anvil_node_t *nodes,
                    guint max_nodes)
{
  guint n = 0;

  for (guint i = 0; i < members->peers->len && n < max_nodes; i++)
    {
      const anvil_peer_t *peer
          = members->peers->pdata[members->next_picked++ % members->peers->len];

      if (peer->node != except && !peer->info.leaving
          && anvil_members_reachable (members, now, peer))
        nodes[n++] = peer->node;
    }
  return n;
}

void
anvil_members_list_read (anvil_members_t *members)
{
  members->list_read = TRUE;
}

gboolean
anvil_members_update_known (anvil_members_t *members, anvil_time_t now)
{
  if (members->info.knows_peers || !members->list_read)
    return FALSE;
  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (peer->answered_at == 0 && now - peer->added_at < ANVIL_MEMBERS_ANSWER_TIME)
        return FALSE;
    }
  members->info.knows_peers = TRUE;
  return TRUE;
}

void
anvil_members_request_ping (anvil_members_t *members, anvil_node_t node)
{
  anvil_peer_t *peer = lookup (members, node);

  if (peer != NULL)
    peer->pinged_at = 0;
}

void
anvil_members_request_pings (anvil_members_t *members)
{
  for (guint i = 0; i < members->peers->len; i++)
    {
      anvil_peer_t *peer = members->peers->pdata[i];

      if (peer->pinged_often)
        peer->pinged_at = 0;
    }
}

gboolean
anvil_members_expired (const anvil_peer_t *peer, anvil_time_t now)
{
  return now - MAX (peer->answered_at, peer->address_seen_at) > PEER_EXPIRY_TIME;
}

void
anvil_members_remove (anvil_members_t *members, anvil_node_t node)
{
  anvil_peer_t *peer = lookup (members, node);

  if (peer == NULL)
    return;
  members->n_pinged_often -= peer->pinged_often ? 1 : 0;
  g_hash_table_remove (members->by_node, &node);
  g_ptr_array_remove (members->peers, peer);
}

void
anvil_members_update_info (anvil_members_t *members,
                           anvil_time_t now,
                           anvil_node_t node,
                           const anvil_member_info_t *info)
{
  anvil_peer_t *peer;

  anvil_members_add (members, now, node);
  peer = lookup (members, node);
  if (peer == NULL)
    return;
  if (peer->info.incarnation != info->incarnation)
    peer->process_ended = FALSE;
  copy_info (&peer->info, info);
  peer->region = members->region_of (members->context, peer->info.zone.data);
}

gboolean
anvil_members_ping_answered (anvil_members_t *members,
                             anvil_time_t now,
                             anvil_node_t node,
                             const anvil_member_info_t *info,
                             anvil_time_t sent_at)
{
  anvil_peer_t *peer = lookup (members, node);
  anvil_time_t rtt = now - sent_at;
  gboolean restarted;

  /* A former process may have sent an answer that arrives behind one of the present process. */
  if (peer == NULL || rtt < 0 || sent_at < peer->answered_at)
    return FALSE;
  restarted = peer->answered_at > 0 && peer->answered_incarnation != info->incarnation;
  anvil_members_update_info (members, now, node, info);
  peer->answered_at = sent_at;
  peer->answered_incarnation = info->incarnation;
  peer->process_ended = FALSE;
  /* Counted back from the arrival of the answer, so that transit time never makes it longer. */
  peer->store_ok_since = info->store_ok_for > 0 ? now - info->store_ok_for : 0;
  peer->rtt = peer->rtt == 0 ? rtt : peer->rtt + (rtt - peer->rtt) / RTT_WEIGHT_DIVISOR;
  return restarted;
}

void
anvil_peer_add_ping (anvil_peer_t *peer, guint64 number, anvil_time_t sent_at)
{
  peer->sent_pings[peer->n_pings++ % ANVIL_DATED_PINGS]
      = (anvil_sent_ping_t){ .number = number, .sent_at = sent_at };
}

anvil_time_t
anvil_peer_ping_sent_at (const anvil_peer_t *peer, guint64 number)
{
  for (guint i = 0; i < MIN (peer->n_pings, ANVIL_DATED_PINGS); i++)
    {
      if (peer->sent_pings[i].number == number)
        return peer->sent_pings[i].sent_at;
    }
  return -1;
}

anvil_member_info_t *
anvil_members_self (anvil_members_t *members)
{
  return &members->info;
}

anvil_time_t
anvil_members_ping_period (const anvil_members_t *members, const anvil_peer_t *peer)
{
  if (!peer->pinged_often)
    return RARE_PING_PERIOD;
  return CLAMP (members->n_pinged_often * PING_PERIOD_PER_PEER, MIN_PING_PERIOD, MAX_PING_PERIOD);
}

gboolean
anvil_members_reachable (const anvil_members_t *members, anvil_time_t now, const anvil_peer_t *peer)
{
  anvil_time_t timeout = MAX_MISSED_PINGS * anvil_members_ping_period (members, peer) + peer->rtt;

  return peer->answered_at > 0 && now - peer->answered_at <= timeout;
}

static gboolean
serves (const anvil_members_t *members, anvil_time_t now, const anvil_peer_t *peer)
{
  return anvil_members_reachable (members, now, peer) && peer->info.ready && !peer->info.leaving;
}

/* An entry that can't learn of changes of upstreams would grant slots of those that have left. */
static gboolean
can_hold (const anvil_member_info_t *info)
{
  return info->ready && !info->leaving && !info->outdated;
}

/* Rank of an entry for a service, computed alike at every entry: entries that know their peers come
 * first, then those of the preferred region, then those of a higher class of processor time, then a
 * hash decides. */
static guint64
rank (anvil_node_t node, const anvil_member_info_t *info, anvil_str_t service, gboolean preferred)
{
  guint64 seed = anvil_str_hash (service) ^ (node * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15));
  guint64 mixed
      = anvil_str_hash ((anvil_str_t){ .data = (const char *) &seed, .length = sizeof seed });
  guint64 cpu_class = MIN (info->cpu_millicores / CPU_CLASS_MILLICORES, MAX_CPU_CLASS);

  return ((guint64) info->knows_peers << 63) | ((guint64) preferred << 62) | (cpu_class << 59)
         | (mixed >> 5);
}

gboolean
anvil_members_may_be_divided (const anvil_members_t *members, anvil_time_t now)
{
  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (peer->answered_at > 0 && !peer->info.leaving
          && !anvil_members_reachable (members, now, peer))
        return TRUE;
    }
  return FALSE;
}

/**
 * ranking_t - the two entries that come first for a service; the second one may be missing
 */
typedef struct
{
  anvil_node_t nodes[2];
  guint64 ranks[2];
} ranking_t;

static void
add_ranked (ranking_t *ranking, anvil_node_t node, guint64 rank)
{
  if (rank > ranking->ranks[0])
    {
      ranking->nodes[1] = ranking->nodes[0];
      ranking->ranks[1] = ranking->ranks[0];
      ranking->nodes[0] = node;
      ranking->ranks[0] = rank;
    }
  else if (rank > ranking->ranks[1])
    {
      ranking->nodes[1] = node;
      ranking->ranks[1] = rank;
    }
}

static ranking_t
rank_entries (const anvil_members_t *members,
              anvil_time_t now,
              anvil_str_t service,
              const char *region)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);
  ranking_t ranking = { .nodes = { ANVIL_NO_NODE, ANVIL_NO_NODE } };

  if (can_hold (&members->info))
    add_ranked (&ranking, members->self,
                rank (members->self, &members->info, service, g_strcmp0 (own_region, region) == 0));
  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (anvil_members_reachable (members, now, peer) && can_hold (&peer->info))
        add_ranked (&ranking, peer->node,
                    rank (peer->node, &peer->info, service, g_strcmp0 (peer->region, region) == 0));
    }
  return ranking;
}

void
anvil_members_process_ended (anvil_members_t *members, anvil_node_t node)
{
  anvil_peer_t *peer = lookup (members, node);

  if (peer != NULL)
    peer->process_ended = TRUE;
}

gdouble
anvil_members_reachable_share (const anvil_members_t *members, anvil_time_t now)
{
  guint reachable = 1;
  guint known = 1;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (anvil_members_reachable (members, now, peer))
        reachable++;
      else if (peer->answered_at == 0 || peer->info.leaving || peer->process_ended
               || !peer->info.knows_peers)
        continue;
      known++;
    }
  return (gdouble) reachable / known;
}

anvil_node_t
anvil_members_holder (const anvil_members_t *members,
                      anvil_time_t now,
                      anvil_str_t service,
                      const char *region)
{
  const anvil_node_t first = rank_entries (members, now, service, region).nodes[0];

  return first != ANVIL_NO_NODE ? first : members->self;
}

anvil_node_t
anvil_members_second (const anvil_members_t *members,
                      anvil_time_t now,
                      anvil_str_t service,
                      const char *region)
{
  return rank_entries (members, now, service, region).nodes[1];
}

static void
set_pinged_often (anvil_members_t *members, anvil_peer_t *peer, gboolean often)
{
  if (often == peer->pinged_often)
    return;
  peer->pinged_often = often;
  members->n_pinged_often += often ? 1 : -1;
}

/* Marks the peers that are first in rank for a service to be pinged often. */
static void
mark_holder_candidates (anvil_members_t *members,
                        anvil_time_t now,
                        const anvil_held_service_t *service)
{
  anvil_peer_t *best[N_HOLDER_CANDIDATES] = { NULL };
  guint64 ranks[N_HOLDER_CANDIDATES] = { 0 };

  for (guint i = 0; i < members->peers->len; i++)
    {
      anvil_peer_t *peer = members->peers->pdata[i];
      guint64 peer_rank = rank (peer->node, &peer->info, service->service,
                                g_strcmp0 (peer->region, service->region) == 0);

      if (!serves (members, now, peer))
        continue;
      for (guint j = 0; j < N_HOLDER_CANDIDATES; j++)
        {
          anvil_peer_t *displaced = best[j];
          guint64 displaced_rank = ranks[j];

          if (displaced != NULL && peer_rank <= displaced_rank)
            continue;
          best[j] = peer;
          ranks[j] = peer_rank;
          peer = displaced;
          peer_rank = displaced_rank;
          if (peer == NULL)
            break;
        }
    }
  for (guint j = 0; j < N_HOLDER_CANDIDATES; j++)
    {
      if (best[j] != NULL)
        set_pinged_often (members, best[j], TRUE);
    }
}

void
anvil_members_update_ping_set (anvil_members_t *members,
                               anvil_time_t now,
                               const anvil_held_service_t *services,
                               guint n_services)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);

  for (guint i = 0; i < members->peers->len; i++)
    {
      anvil_peer_t *peer = members->peers->pdata[i];
      gboolean region_unknown = peer->region == NULL;

      set_pinged_often (members, peer,
                        members->peers->len <= MAX_PEERS_ALL_PINGED_OFTEN || region_unknown
                            || g_strcmp0 (peer->region, own_region) == 0);
    }
  for (guint i = 0; i < n_services && members->peers->len > MAX_PEERS_ALL_PINGED_OFTEN; i++)
    mark_holder_candidates (members, now, &services[i]);
}

const anvil_peer_t *
anvil_members_newest_config (const anvil_members_t *members, anvil_time_t now)
{
  const anvil_peer_t *newest = NULL;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (!anvil_members_reachable (members, now, peer))
        continue;
      if (newest == NULL || peer->info.config_version > newest->info.config_version
          || (peer->info.config_version == newest->info.config_version && peer->rtt < newest->rtt))
        newest = peer;
    }
  return newest;
}

const anvil_peer_t *
anvil_members_latest_era (const anvil_members_t *members, anvil_time_t now)
{
  const anvil_peer_t *latest = NULL;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (anvil_members_reachable (members, now, peer)
          && (latest == NULL || peer->info.store_era > latest->info.store_era))
        latest = peer;
    }
  return latest;
}

anvil_time_t
anvil_members_inter_region_rtt (const anvil_members_t *members)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);
  anvil_time_t sum = 0;
  guint n = 0;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (peer->rtt == 0 || g_strcmp0 (peer->region, own_region) == 0)
        continue;
      sum += peer->rtt;
      n++;
    }
  return n > 0 ? sum / n : 0;
}

anvil_time_t
anvil_members_store_ok_since (const anvil_members_t *members, anvil_time_t now)
{
  anvil_time_t earliest = 0;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (peer->store_ok_since > 0 && anvil_members_reachable (members, now, peer)
          && (earliest == 0 || peer->store_ok_since < earliest))
        earliest = peer->store_ok_since;
    }
  return earliest;
}

anvil_node_t
anvil_members_next_store_reader (const anvil_members_t *members,
                                 anvil_time_t now,
                                 anvil_node_t previous)
{
  const anvil_peer_t *previous_peer = lookup (members, previous);
  anvil_time_t after = previous_peer != NULL ? previous_peer->store_ok_since : 0;
  const anvil_peer_t *first = NULL;
  const anvil_peer_t *next = NULL;

  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (!peer->info.reads_store || !anvil_members_reachable (members, now, peer))
        continue;
      if (first == NULL || peer->store_ok_since < first->store_ok_since)
        first = peer;
      if (peer->store_ok_since > after
          && (next == NULL || peer->store_ok_since < next->store_ok_since))
        next = peer;
    }
  if (next != NULL)
    return next->node;
  return first != NULL ? first->node : ANVIL_NO_NODE;
}

guint
anvil_members_count (const anvil_members_t *members)
{
  return members->peers->len;
}

anvil_peer_t *
anvil_members_at (anvil_members_t *members, guint index)
{
  return members->peers->pdata[index];
}

static anvil_caller_candidate_t
caller_candidate (anvil_node_t node, const anvil_member_info_t *info)
{
  return (anvil_caller_candidate_t){
    .node = anvil_node (anvil_node_address (node), info->caller_port),
    .share = info->caller_share,
  };
}

void
anvil_members_set_revoke_time (anvil_members_t *members, anvil_time_t revoke_time)
{
  members->revoke_time = revoke_time;
}

static gboolean
judges_keys (const anvil_members_t *members, const anvil_member_info_t *info)
{
  return members->revoke_time == 0
         || anvil_config_proof_is_fresh (info->config_proof_age, members->revoke_time);
}

/* All entries that are reachable and not shutting down. */
static guint
reachable_entries (const anvil_members_t *members,
                   anvil_time_t now,
                   anvil_caller_candidate_t *candidates,
                   guint max_candidates)
{
  guint n = 0;

  if (!members->info.leaving && n < max_candidates)
    candidates[n++] = caller_candidate (members->self, &members->info);
  for (guint i = 0; i < members->peers->len && n < max_candidates; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (anvil_members_reachable (members, now, peer) && !peer->info.leaving)
        candidates[n++] = caller_candidate (peer->node, &peer->info);
    }
  return n;
}

static guint
serving_entries (const anvil_members_t *members,
                 anvil_time_t now,
                 const char *region,
                 anvil_caller_candidate_t *candidates,
                 guint max_candidates)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);
  guint n = 0;

  if (members->info.ready && !members->info.leaving && judges_keys (members, &members->info)
      && n < max_candidates && (region == NULL || g_strcmp0 (own_region, region) == 0))
    candidates[n++] = caller_candidate (members->self, &members->info);
  for (guint i = 0; i < members->peers->len && n < max_candidates; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (serves (members, now, peer) && judges_keys (members, &peer->info)
          && (region == NULL || g_strcmp0 (peer->region, region) == 0))
        candidates[n++] = caller_candidate (peer->node, &peer->info);
    }
  return n;
}

guint
anvil_members_entries_for_caller (const anvil_members_t *members,
                                  anvil_time_t now,
                                  anvil_str_t region,
                                  guint32 caller,
                                  anvil_node_t *nodes,
                                  guint max_nodes)
{
  anvil_caller_candidate_t *candidates = g_new0 (anvil_caller_candidate_t, max_nodes);
  char *name = anvil_str_dup (region);
  guint n = serving_entries (members, now, name, candidates, max_nodes);

  if (n == 0)
    n = serving_entries (members, now, NULL, candidates, max_nodes);
  if (n == 0 && members->revoke_time > 0)
    n = reachable_entries (members, now, candidates, max_nodes);
  n = anvil_caller_choose (candidates, n, caller, nodes);
  g_free (name);
  g_free (candidates);
  return n;
}
