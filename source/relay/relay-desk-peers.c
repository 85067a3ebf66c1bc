#include "relay/relay-desk-internal.h"

#include <string.h>

#include "anvil/log.h"

/* How often the preferred region of each service is worked out again. */
#define REGION_PERIOD (1 * ANVIL_SECOND)
/* Pings without an answer after which the link is opened anew: it may be dead while others work. */
#define PINGS_TO_RESET 2

void
desk_ping (anvil_slot_broker_t *desk, anvil_time_t now, anvil_peer_t *peer)
{
  const anvil_relay_message_t ping = { .kind = ANVIL_RELAY_PING,
                                       .number = (guint64) now,
                                       .info = *anvil_members_self (desk->members) };
  anvil_time_t period = anvil_members_ping_period (desk->members, peer);

  if (now - peer->pinged_at < period)
    return;
  if (peer->pinged_at > 0 && now - peer->answered_at > PINGS_TO_RESET * period + peer->rtt)
    anvil_peers_close_link (desk->peers, peer->node);
  peer->pinged_at = now;
  desk_send (desk, peer->node, &ping);
}

/* Notes peers that stopped or began to answer. */
void
desk_watch (anvil_slot_broker_t *desk, anvil_time_t now, const anvil_peer_t *peer)
{
  gboolean answers = anvil_members_reachable (desk->members, now, peer);
  gboolean answered = g_hash_table_contains (desk->answering, &peer->node);

  if (answers == answered)
    return;
  if (answers)
    g_hash_table_add (desk->answering, g_memdup2 (&peer->node, sizeof peer->node));
  else
    {
      g_hash_table_remove (desk->answering, &peer->node);
      anvil_dispatcher_requester_lost (desk->dispatcher, now, peer->node);
    }
  anvil_log (ANVIL_LOG_NOTICE, "desk",
             "%s vm=%s zone=%s silent_ms=%" G_GINT64_FORMAT " round_trip_us=%" G_GINT64_FORMAT,
             answers ? "peer answers" : "peer doesn't answer any more",
             peer->info.name.data != NULL ? peer->info.name.data : "-",
             peer->info.zone.data != NULL ? peer->info.zone.data : "-",
             (now - peer->answered_at) / ANVIL_MS, peer->rtt);
}

void
desk_forget_if_lost (anvil_slot_broker_t *desk, anvil_time_t now, const anvil_peer_t *peer)
{
  anvil_node_t node = peer->node;

  if (!anvil_members_expired (peer, now))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "desk", "peer is forgotten vm=%s",
             peer->info.name.data != NULL ? peer->info.name.data : "-");
  anvil_peers_close_link (desk->peers, node);
  anvil_members_remove (desk->members, node);
}

typedef struct
{
  anvil_slot_broker_t *desk;
  GHashTable *slots;
} region_count_t;

/* Adds an upstream's slots to those of its service in its region. */
static void
count_region (void *context, const anvil_registered_upstream_t *upstream)
{
  region_count_t *count = context;
  const char *region = anvil_relay_settings_region (count->desk->settings, upstream->zone);
  char *key;
  gpointer slots;

  if (region == NULL)
    return;
  key = g_strconcat (upstream->service, "\n", region, NULL);
  slots = g_hash_table_lookup (count->slots, key);
  g_hash_table_insert (count->slots, key,
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (slots) + upstream->slots));
}

static const char *
largest_region (const anvil_slot_broker_t *desk, GHashTable *slots, const char *service)
{
  GHashTableIter iter;
  gpointer region;
  const char *best = NULL;
  guint best_slots = 0;

  g_hash_table_iter_init (&iter, desk->settings->region_by_zone);
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

/* Decides which peers are pinged often. */
static void
plan_pings (anvil_slot_broker_t *desk, anvil_time_t now)
{
  GArray *services = g_array_new (FALSE, FALSE, sizeof (anvil_held_service_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, desk->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_t *service = value;
      const anvil_held_service_t held
          = { .service = anvil_str (service->name), .region = service->region };

      g_array_append_val (services, held);
    }
  anvil_members_update_ping_set (
      desk->members, now, (const anvil_held_service_t *) (gpointer) services->data, services->len);
  g_array_unref (services);
}

void
desk_place_services (anvil_slot_broker_t *desk, anvil_time_t now)
{
  region_count_t count = { .desk = desk };
  GHashTableIter iter;
  gpointer value;

  if (now - desk->regions_at < REGION_PERIOD)
    return;
  desk->regions_at = now;
  count.slots = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  anvil_registry_foreach (desk->registry, count_region, &count);
  g_hash_table_iter_init (&iter, desk->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      service->region = largest_region (desk, count.slots, service->name);
    }
  g_hash_table_unref (count.slots);
  plan_pings (desk, now);
}

void
desk_choose_holders (anvil_slot_broker_t *desk, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, desk->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;
      anvil_node_t holder
          = anvil_members_holder (desk->members, now, anvil_str (service->name), service->region);

      if (holder == service->holder)
        continue;
      service->holder = holder;
      anvil_log (ANVIL_LOG_NOTICE, "desk", "slots are held elsewhere now service=%s holder=%s",
                 service->name, anvil_relay_desk_name (desk, holder));
      desk->events.holder_changed (desk->context, service->name, holder);
    }
}
