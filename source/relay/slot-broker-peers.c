#include "relay/slot-broker-internal.h"

#include <string.h>

#include "anvil/log.h"

/* The region with most slots of each service is updated this often. */
#define REGION_PERIOD (1 * ANVIL_SECOND)
/* The link is reopened after so many unanswered pings: the connection may be dead while the peer
 * isn't. */
#define MAX_UNANSWERED_PINGS 2

anvil_member_info_t
broker_describe_self (anvil_slot_broker_t *broker)
{
  anvil_member_info_t *self = anvil_members_self (broker->members);

  if (broker->callbacks.describe != NULL)
    broker->callbacks.describe (broker->context, self);
  return *self;
}

void
broker_ping (anvil_slot_broker_t *broker, anvil_time_t now, anvil_peer_t *peer)
{
  anvil_relay_message_t ping = { .kind = ANVIL_RELAY_PING, .number = (guint64) now };
  anvil_time_t period = anvil_members_ping_period (broker->members, peer);

  if (now - peer->pinged_at < period)
    return;
  if (peer->pinged_at > 0 && now - peer->answered_at > MAX_UNANSWERED_PINGS * period + peer->rtt)
    anvil_peers_close_link (broker->peers, peer->node);
  peer->pinged_at = now;
  anvil_peer_add_ping (peer, ping.number, anvil_clock_boot ());
  ping.info = broker_describe_self (broker);
  ping.n_named = anvil_members_pick (broker->members, now, peer->node, ping.named, 1);
  broker_send (broker, peer->node, &ping);
}

void
broker_update_reachability (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_peer_t *peer)
{
  gboolean reachable = anvil_members_reachable (broker->members, now, peer);
  gboolean was_reachable = g_hash_table_contains (broker->reachable_nodes, &peer->node);

  if (reachable == was_reachable)
    return;
  if (reachable)
    g_hash_table_add (broker->reachable_nodes, g_memdup2 (&peer->node, sizeof peer->node));
  else
    {
      g_hash_table_remove (broker->reachable_nodes, &peer->node);
      broker_requester_lost (broker, now, peer->node);
      broker_remove_forwarded_of (broker, peer->node);
    }
  anvil_log (ANVIL_LOG_NOTICE, "broker",
             "%s vm=%s zone=%s silent_ms=%" G_GINT64_FORMAT " round_trip_us=%" G_GINT64_FORMAT,
             reachable ? "peer is reachable" : "peer is unreachable",
             peer->info.name.data != NULL ? peer->info.name.data : "-",
             peer->info.zone.data != NULL ? peer->info.zone.data : "-",
             (now - peer->answered_at) / ANVIL_MS, peer->rtt);
}

void
broker_remove_if_expired (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_peer_t *peer)
{
  anvil_node_t node = peer->node;

  if (!anvil_members_expired (peer, now))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "broker", "unreachable peer removed vm=%s",
             peer->info.name.data != NULL ? peer->info.name.data : "-");
  anvil_peers_close_link (broker->peers, node);
  anvil_members_remove (broker->members, node);
  g_hash_table_remove (broker->transits, &node);
}

/* Stands for all services; no service has an empty name. */
#define ALL_SERVICES ""

typedef struct
{
  anvil_slot_broker_t *broker;
  GHashTable *slots;
} region_slots_t;

static void
add_slots (region_slots_t *count, const char *service, const char *region, guint n)
{
  char *key = g_strconcat (service, "\n", region, NULL);
  gpointer slots = g_hash_table_lookup (count->slots, key);

  g_hash_table_insert (count->slots, key, GUINT_TO_POINTER (GPOINTER_TO_UINT (slots) + n));
}

/* Adds an upstream's slots to the counts of its region, for its service and for all. */
static void
add_region_slots (void *context, const anvil_registered_upstream_t *upstream)
{
  region_slots_t *count = context;
  const char *region = anvil_relay_settings_region (count->broker->settings, upstream->zone);

  if (region == NULL)
    return;
  add_slots (count, upstream->service, region, upstream->slots);
  add_slots (count, ALL_SERVICES, region, upstream->slots);
}

static const char *
largest_region (const anvil_slot_broker_t *broker, GHashTable *slots, const char *service)
{
  GHashTableIter iter;
  gpointer region;
  const char *best = NULL;
  guint best_slots = 0;

  g_hash_table_iter_init (&iter, broker->settings->region_by_zone);
  while (g_hash_table_iter_next (&iter, NULL, &region))
    {
      char *key = g_strconcat (service, "\n", region, NULL);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (slots, key));

      if (n > best_slots || (n > 0 && n == best_slots && strcmp (region, best) < 0))
        {
          best = region;
          best_slots = n;
        }
      g_free (key);
    }
  return best;
}

/* Whether this entry's region has less than half as many slots as the mean of the regions that have
 * any. */
static gboolean
has_few_local_slots (const anvil_slot_broker_t *broker, GHashTable *slots, const char *service)
{
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  const char *own = anvil_slot_broker_region (broker);
  GHashTableIter iter;
  gpointer region;
  guint n_regions = 0;
  guint total = 0;
  guint local = 0;

  g_hash_table_iter_init (&iter, broker->settings->region_by_zone);
  while (g_hash_table_iter_next (&iter, NULL, &region))
    {
      char *key = g_strconcat (service, "\n", region, NULL);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (slots, key));

      g_free (key);
      if (!g_hash_table_add (regions, region) || n == 0)
        continue;
      n_regions++;
      total += n;
      if (g_strcmp0 (region, own) == 0)
        local = n;
    }
  g_hash_table_unref (regions);
  return 2 * local * n_regions < total;
}

/* Selects the peers that are pinged often. */
static void
update_ping_set (anvil_slot_broker_t *broker, anvil_time_t now)
{
  GArray *services = g_array_new (FALSE, FALSE, sizeof (anvil_held_service_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, broker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_t *service = value;
      const anvil_held_service_t held
          = { .service = anvil_str (service->name), .region = service->region };

      g_array_append_val (services, held);
    }
  broker_quota_add_held (broker, services);
  anvil_members_update_ping_set (broker->members, now,
                                 (const anvil_held_service_t *) (gpointer) services->data,
                                 services->len);
  g_array_unref (services);
}

void
broker_update_regions (anvil_slot_broker_t *broker, anvil_time_t now)
{
  region_slots_t count = { .broker = broker };
  GHashTableIter iter;
  gpointer value;

  if (now - broker->regions_updated_at < REGION_PERIOD)
    return;
  broker->regions_updated_at = now;
  count.slots = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  anvil_registry_foreach (broker->registry, add_region_slots, &count);
  g_hash_table_iter_init (&iter, broker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      service->region = largest_region (broker, count.slots, service->name);
      service->few_local_slots = has_few_local_slots (broker, count.slots, service->name);
    }
  broker->quota_region = largest_region (broker, count.slots, ALL_SERVICES);
  g_hash_table_unref (count.slots);
  update_ping_set (broker, now);
}

void
broker_update_known_peers (anvil_slot_broker_t *broker, anvil_time_t now)
{
  if (!anvil_members_update_known (broker->members, now))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "broker", "the other entries are known entries=%u reachable=%u",
             anvil_members_count (broker->members) + 1,
             g_hash_table_size (broker->reachable_nodes) + 1);
  anvil_dispatcher_set_knows_peers (broker->dispatcher, now, TRUE);
  anvil_members_request_pings (broker->members);
}

void
broker_update_holders (anvil_slot_broker_t *broker, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, broker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;
      anvil_node_t holder
          = anvil_members_holder (broker->members, now, anvil_str (service->name), service->region);

      if (holder == service->holder)
        continue;
      service->holder = holder;
      if (holder == broker->self)
        anvil_dispatcher_hold_service (broker->dispatcher, now, anvil_str (service->name));
      anvil_log (ANVIL_LOG_NOTICE, "broker", "holder of a service changed service=%s holder=%s",
                 service->name, anvil_slot_broker_vm_name (broker, holder));
      broker->callbacks.holder_changed (broker->context, service->name, holder);
    }
}
