#include "anvil/members.h"

#include <string.h>

/* Pause between two pings of a close peer: the least, for each of them, and the most. Up to 40
 * close peers an entry sends at most 40 pings a second. */
#define MIN_PING_PERIOD (250 * ANVIL_MS)
#define PING_PERIOD_PER_PEER (25 * ANVIL_MS)
#define MAX_PING_PERIOD (1000 * ANVIL_MS)
/* Pause between two pings of any other peer: often enough that a link stays open. */
#define FAR_PING_PERIOD (8 * ANVIL_SECOND)
/* Up to so many peers all are close: at ten pings a second, nothing is gained by leaving some out.
 */
#define ALL_CLOSE 40
/* Entries in the order of rank for a service that are watched closely. */
#define CANDIDATES 4
/* Silence after which a peer is forgotten; the store's list is read again well within it. */
#define LOST_AFTER (150 * ANVIL_SECOND)
/* Pings without an answer after which a peer is left out. */
#define MISSED_PINGS 3
/* Entries whose processors differ by less than this, thousandths of a core, hold slots alike. */
#define CAPACITY_CLASS 200
#define MAX_CAPACITY_CLASS 7
/* Weight of a new round trip in the mean: a ping may wait behind other work. */
#define ROUND_TRIP_WEIGHT 8

struct anvil_members
{
  anvil_node_t self;
  anvil_member_info_t info;
  const char *(*region_of) (void *context, const char *zone);
  void *context;
  /* anvil_peer_t in the order of learning. */
  GPtrArray *peers;
  guint n_close;
  GHashTable *by_node;
};

static void
clear_info (anvil_member_info_t *info)
{
  g_free ((char *) info->name.data);
  g_free ((char *) info->zone.data);
}

static void
peer_free (gpointer data)
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
  members->peers = g_ptr_array_new_with_free_func (peer_free);
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
      peer->pinged_often = TRUE;
      members->n_close++;
      g_ptr_array_add (members->peers, peer);
      g_hash_table_insert (members->by_node, &peer->node, peer);
    }
  peer->address_seen_at = now;
}

gboolean
anvil_members_expired (const anvil_peer_t *peer, anvil_time_t now)
{
  return now - MAX (peer->answered_at, peer->address_seen_at) > LOST_AFTER;
}

void
anvil_members_remove (anvil_members_t *members, anvil_node_t node)
{
  anvil_peer_t *peer = lookup (members, node);

  if (peer == NULL)
    return;
  members->n_close -= peer->pinged_often ? 1 : 0;
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
  anvil_time_t took = now - sent_at;
  gboolean restarted;

  if (peer == NULL || took < 0)
    return FALSE;
  restarted = peer->answered_at > 0 && peer->info.incarnation != info->incarnation;
  anvil_members_update_info (members, now, node, info);
  peer->answered_at = MAX (peer->answered_at, sent_at);
  /* Counted from the answer's arrival, so that the time on the way never adds to it. */
  peer->store_ok_since = info->store_ok_for > 0 ? now - info->store_ok_for : 0;
  peer->rtt = peer->rtt == 0 ? took : peer->rtt + (took - peer->rtt) / ROUND_TRIP_WEIGHT;
  return restarted;
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
    return FAR_PING_PERIOD;
  return CLAMP (members->n_close * PING_PERIOD_PER_PEER, MIN_PING_PERIOD, MAX_PING_PERIOD);
}

gboolean
anvil_members_reachable (const anvil_members_t *members, anvil_time_t now, const anvil_peer_t *peer)
{
  anvil_time_t patience = MISSED_PINGS * anvil_members_ping_period (members, peer) + peer->rtt;

  return peer->answered_at > 0 && now - peer->answered_at <= patience;
}

static gboolean
serves (const anvil_members_t *members, anvil_time_t now, const anvil_peer_t *peer)
{
  return anvil_members_reachable (members, now, peer) && peer->info.ready && !peer->info.leaving;
}

/* Rank of an entry for a service, the same at every entry: the preferred region comes first, then
 * the class of its processor, then a hash. */
static guint64
rank (anvil_node_t node, const anvil_member_info_t *info, anvil_str_t service, gboolean preferred)
{
  guint64 seed = anvil_str_hash (service) ^ (node * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15));
  guint64 mixed
      = anvil_str_hash ((anvil_str_t){ .data = (const char *) &seed, .length = sizeof seed });
  guint64 class = MIN (info->cpu_millicores / CAPACITY_CLASS, MAX_CAPACITY_CLASS);

  return ((guint64) preferred << 63) | (class << 60) | (mixed >> 4);
}

anvil_node_t
anvil_members_holder (const anvil_members_t *members,
                      anvil_time_t now,
                      anvil_str_t service,
                      const char *region)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);
  anvil_node_t best = members->self;
  guint64 best_rank = 0;

  if (members->info.ready && !members->info.leaving)
    best_rank = rank (members->self, &members->info, service, g_strcmp0 (own_region, region) == 0);
  for (guint i = 0; i < members->peers->len; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];
      guint64 candidate;

      if (!serves (members, now, peer))
        continue;
      candidate = rank (peer->node, &peer->info, service, g_strcmp0 (peer->region, region) == 0);
      if (candidate > best_rank)
        {
          best = peer->node;
          best_rank = candidate;
        }
    }
  return best;
}

static void
set_close (anvil_members_t *members, anvil_peer_t *peer, gboolean close)
{
  if (close == peer->pinged_often)
    return;
  peer->pinged_often = close;
  members->n_close += close ? 1 : -1;
}

/* Marks the peers that are first in rank for a service. */
static void
mark_candidates (anvil_members_t *members, anvil_time_t now, const anvil_held_service_t *service)
{
  anvil_peer_t *best[CANDIDATES] = { NULL };
  guint64 ranks[CANDIDATES] = { 0 };

  for (guint i = 0; i < members->peers->len; i++)
    {
      anvil_peer_t *peer = members->peers->pdata[i];
      guint64 candidate = rank (peer->node, &peer->info, service->service,
                                g_strcmp0 (peer->region, service->region) == 0);

      if (!serves (members, now, peer))
        continue;
      for (guint j = 0; j < CANDIDATES; j++)
        {
          anvil_peer_t *displaced = best[j];
          guint64 displaced_rank = ranks[j];

          if (displaced != NULL && candidate <= displaced_rank)
            continue;
          best[j] = peer;
          ranks[j] = candidate;
          peer = displaced;
          candidate = displaced_rank;
          if (peer == NULL)
            break;
        }
    }
  for (guint j = 0; j < CANDIDATES; j++)
    {
      if (best[j] != NULL)
        set_close (members, best[j], TRUE);
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
      gboolean unknown = peer->region == NULL;

      set_close (members, peer,
                 members->peers->len <= ALL_CLOSE || unknown
                     || g_strcmp0 (peer->region, own_region) == 0);
    }
  for (guint i = 0; i < n_services && members->peers->len > ALL_CLOSE; i++)
    mark_candidates (members, now, &services[i]);
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

static anvil_node_t
caller_address (anvil_node_t node, const anvil_member_info_t *info)
{
  return anvil_node (anvil_node_address (node), info->caller_port);
}

static guint
collect (const anvil_members_t *members,
         anvil_time_t now,
         const char *region,
         anvil_node_t *nodes,
         guint max_nodes)
{
  const char *own_region = members->region_of (members->context, members->info.zone.data);
  guint n = 0;

  if (members->info.ready && !members->info.leaving && n < max_nodes
      && (region == NULL || g_strcmp0 (own_region, region) == 0))
    nodes[n++] = caller_address (members->self, &members->info);
  for (guint i = 0; i < members->peers->len && n < max_nodes; i++)
    {
      const anvil_peer_t *peer = members->peers->pdata[i];

      if (serves (members, now, peer) && (region == NULL || g_strcmp0 (peer->region, region) == 0))
        nodes[n++] = caller_address (peer->node, &peer->info);
    }
  return n;
}

guint
anvil_members_entries_for_caller (const anvil_members_t *members,
                                  anvil_time_t now,
                                  anvil_str_t region,
                                  anvil_node_t *nodes,
                                  guint max_nodes)
{
  char *name = anvil_str_dup (region);
  guint n = collect (members, now, name, nodes, max_nodes);

  g_free (name);
  return n > 0 ? n : collect (members, now, NULL, nodes, max_nodes);
}
