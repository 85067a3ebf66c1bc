#include "relay/relay-desk-internal.h"

#include <string.h>

#include "anvil/log.h"

static const char *
region_of (void *context, const char *zone)
{
  const anvil_slot_broker_t *desk = context;

  return anvil_relay_settings_region (desk->settings, zone);
}

void
desk_send (anvil_slot_broker_t *desk, anvil_node_t to, const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_relay_message_pack (message, bytes);
  anvil_peers_send_task_message (
      desk->peers, to, (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len });
  g_byte_array_unref (bytes);
}

static void
post_local (anvil_slot_broker_t *desk, const local_t *local)
{
  local_t *copy = g_memdup2 (local, sizeof *local);

  copy->grant.upstream_id = anvil_str (anvil_str_dup (local->grant.upstream_id));
  copy->grant.zone = anvil_str (anvil_str_dup (local->grant.zone));
  g_queue_push_tail (&desk->local, copy);
  event_active (desk->deliver, EV_TIMEOUT, 0);
}

static void
local_free (local_t *local)
{
  g_free ((char *) local->grant.upstream_id.data);
  g_free ((char *) local->grant.zone.data);
  g_free (local);
}

static void
on_deliver (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_slot_broker_t *desk = data;
  local_t *local;

  while ((local = g_queue_pop_head (&desk->local)) != NULL)
    {
      if (local->granted)
        desk->events.granted (desk->context, local->number, desk->self, &local->grant);
      else
        desk->events.refused (desk->context, local->number, desk->self, &local->refused);
      local_free (local);
    }
}

static void
act_grant (void *context, anvil_task_id_t id, const anvil_grant_t *grant)
{
  anvil_slot_broker_t *desk = context;
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_GRANT, .number = id.number, .grant = *grant };
  const local_t local = { .number = id.number, .granted = TRUE, .grant = *grant };

  if (id.requester == desk->self)
    post_local (desk, &local);
  else
    desk_send (desk, id.requester, &message);
}

static void
act_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  anvil_slot_broker_t *desk = context;
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_REFUSE, .number = id.number, .refused = *refused };
  const local_t local = { .number = id.number, .refused = *refused };

  if (id.requester == desk->self)
    post_local (desk, &local);
  else
    desk_send (desk, id.requester, &message);
}

static const anvil_dispatcher_callbacks_t dispatcher_actions
    = { .grant = act_grant, .refuse = act_refuse };

static void
on_tick (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_slot_broker_t *desk = data;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t distance;

  for (guint i = anvil_members_count (desk->members); i > 0; i--)
    {
      anvil_peer_t *peer = anvil_members_at (desk->members, i - 1);

      desk_ping (desk, now, peer);
      desk_watch (desk, now, peer);
      desk_forget_if_lost (desk, now, peer);
    }
  desk_place_services (desk, now);
  desk_choose_holders (desk, now);
  distance = anvil_members_inter_region_rtt (desk->members);
  if (distance > 0)
    anvil_dispatcher_set_region_rtt (desk->dispatcher, distance);
  anvil_dispatcher_tick (desk->dispatcher, now);
}

static void
service_free (gpointer data)
{
  service_t *service = data;

  g_free (service->name);
  g_free (service);
}

static anvil_members_t *
new_members (anvil_slot_broker_t *desk)
{
  const anvil_relay_settings_t *settings = desk->settings;
  const anvil_member_info_t info
      = { .name = anvil_str (settings->vm),
          .zone = anvil_str (settings->zone),
          .incarnation = ((guint64) g_random_int () << 32) | g_random_int (),
          .caller_port = settings->caller_endpoint.port,
          .cpu_millicores = settings->cpu_millicores };
  anvil_members_t *members = anvil_members_new (desk->self, &info, region_of, desk);

  for (guint i = 0; i < settings->n_seeds; i++)
    anvil_members_add (members, anvil_clock_now (), settings->seeds[i]);
  return members;
}

anvil_slot_broker_t *
anvil_relay_desk_open (struct event_base *base,
                       const anvil_relay_settings_t *settings,
                       const anvil_registry_t *registry,
                       const anvil_relay_desk_events_t *events,
                       void *context,
                       GError **error)
{
  anvil_slot_broker_t *desk = g_new0 (anvil_slot_broker_t, 1);
  const struct timeval period = { .tv_usec = ANVIL_DISPATCHER_TICK_INTERVAL };

  desk->settings = settings;
  desk->registry = registry;
  desk->events = *events;
  desk->context = context;
  desk->self = anvil_node (settings->peer_endpoint.address, settings->peer_endpoint.port);
  desk->peers = anvil_peers_open (base, desk->self, &desk_peers_events, desk, error);
  if (desk->peers == NULL)
    {
      g_free (desk);
      return NULL;
    }
  desk->dispatcher = anvil_dispatcher_new (&settings->bounds, &dispatcher_actions, desk);
  desk->members = new_members (desk);
  desk->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  desk->answering = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&desk->local);
  desk->deliver = event_new (base, -1, 0, on_deliver, desk);
  desk->tick = event_new (base, -1, EV_PERSIST, on_tick, desk);
  event_add (desk->tick, &period);
  return desk;
}

void
anvil_relay_desk_close (anvil_slot_broker_t *desk)
{
  local_t *local;

  if (desk == NULL)
    return;
  event_free (desk->tick);
  event_free (desk->deliver);
  anvil_peers_close (desk->peers);
  while ((local = g_queue_pop_head (&desk->local)) != NULL)
    local_free (local);
  anvil_dispatcher_drop (desk->dispatcher);
  anvil_members_drop (desk->members);
  g_hash_table_unref (desk->services);
  g_hash_table_unref (desk->answering);
  g_free (desk);
}

static service_t *
service_for (anvil_slot_broker_t *desk, const char *name)
{
  service_t *service = g_hash_table_lookup (desk->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (service_t, 1);
  service->name = g_strdup (name);
  service->holder
      = anvil_members_holder (desk->members, anvil_clock_now (), anvil_str (name), NULL);
  g_hash_table_insert (desk->services, service->name, service);
  desk->regions_at = 0;
  return service;
}

anvil_node_t
anvil_relay_desk_holder (anvil_slot_broker_t *desk, const char *service)
{
  return service_for (desk, service)->holder;
}

/* A task as it travels: with times left instead of times. */
static anvil_relay_message_t
task_message (anvil_relay_kind_t kind, const anvil_task_t *task)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_relay_message_t message = { .kind = kind, .number = task->id.number, .task = *task };

  message.task.target -= now;
  message.task.deadline -= now;
  return message;
}

void
anvil_relay_desk_ask (anvil_slot_broker_t *desk, anvil_node_t holder, const anvil_task_t *task)
{
  anvil_relay_message_t message = task_message (ANVIL_RELAY_ASK, task);

  if (holder == desk->self)
    anvil_dispatcher_submit (desk->dispatcher, anvil_clock_now (), task);
  else
    desk_send (desk, holder, &message);
}

void
anvil_relay_desk_adopt (anvil_slot_broker_t *desk,
                        anvil_node_t holder,
                        const anvil_task_t *task,
                        guint64 upstream)
{
  anvil_relay_message_t message = task_message (ANVIL_RELAY_ADOPT, task);

  message.upstream = upstream;
  if (holder == desk->self)
    anvil_dispatcher_adopt (desk->dispatcher, anvil_clock_now (), task, upstream);
  else
    desk_send (desk, holder, &message);
}

void
anvil_relay_desk_tell_places (anvil_slot_broker_t *desk,
                              anvil_node_t holder,
                              const char *service,
                              const anvil_place_t *places,
                              guint n_places)
{
  anvil_relay_message_t *message;

  if (holder == desk->self)
    {
      desk_remember_places (desk, anvil_str (service), places, n_places);
      return;
    }
  message = g_new0 (anvil_relay_message_t, 1);
  message->kind = ANVIL_RELAY_PLACES;
  message->service = anvil_str (service);
  for (guint sent = 0; sent < n_places; sent += message->n_places)
    {
      message->n_places = MIN (n_places - sent, ANVIL_MAX_TOLD_PLACES);
      memcpy (message->places, places + sent, message->n_places * sizeof *places);
      desk_send (desk, holder, message);
    }
  g_free (message);
}

typedef struct
{
  anvil_place_t *places;
  guint n;
  guint max;
} place_list_t;

static void
list_place (void *context, guint64 object, guint64 upstream)
{
  place_list_t *list = context;

  if (list->n < list->max)
    list->places[list->n++] = (anvil_place_t){ .object = object, .upstream = upstream };
}

guint
anvil_relay_desk_list_places (anvil_slot_broker_t *desk,
                              const char *service,
                              anvil_place_t *places,
                              guint max_places)
{
  place_list_t list = { .places = places, .max = max_places };

  anvil_dispatcher_list_warm_objects (desk->dispatcher, anvil_str (service), list_place, &list);
  return list.n;
}

void
anvil_relay_desk_each_held (anvil_slot_broker_t *desk,
                            void (*visit) (void *context, const char *service),
                            void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, desk->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_t *service = value;

      if (service->holder == desk->self)
        visit (context, service->name);
    }
}

void
anvil_relay_desk_withdraw (anvil_slot_broker_t *desk, anvil_node_t holder, guint64 number)
{
  const anvil_relay_message_t message = { .kind = ANVIL_RELAY_WITHDRAW, .number = number };
  const anvil_task_id_t id = { .requester = desk->self, .number = number };

  if (holder == desk->self)
    anvil_dispatcher_cancel (desk->dispatcher, anvil_clock_now (), id);
  else
    desk_send (desk, holder, &message);
}

void
anvil_relay_desk_finished (anvil_slot_broker_t *desk,
                           anvil_node_t holder,
                           guint64 number,
                           const anvil_run_report_t *report)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_FINISHED, .number = number, .report = *report };
  const anvil_task_id_t id = { .requester = desk->self, .number = number };

  if (holder == desk->self)
    anvil_dispatcher_run_finished (desk->dispatcher, anvil_clock_now (), id, report);
  else
    desk_send (desk, holder, &message);
}

void
anvil_relay_desk_upstream (anvil_slot_broker_t *desk,
                           anvil_time_t now,
                           const anvil_registered_upstream_t *upstream,
                           anvil_registry_change_t change)
{
  const char *region = anvil_relay_settings_region (desk->settings, upstream->zone);

  if (change == ANVIL_REGISTRY_LEFT)
    anvil_dispatcher_remove_upstream (desk->dispatcher, now, upstream->key);
  else
    anvil_dispatcher_update_upstream (desk->dispatcher, now, upstream, anvil_str (region), change);
}

void
anvil_relay_desk_routes (anvil_slot_broker_t *desk, const anvil_routes_t *routes)
{
  for (guint i = 0; i < anvil_routes_count_services (routes); i++)
    {
      const anvil_service_t *service = anvil_routes_service_at (routes, i);

      anvil_dispatcher_set_service (desk->dispatcher, service);
      service_for (desk, service->name);
    }
}

void
anvil_relay_desk_set_bounds (anvil_slot_broker_t *desk, const anvil_dispatcher_limits_t *bounds)
{
  anvil_dispatcher_set_limits (desk->dispatcher, bounds);
}

void
anvil_relay_desk_set_state (anvil_slot_broker_t *desk, gboolean ready, gboolean leaving)
{
  anvil_member_info_t *info = anvil_members_self (desk->members);

  info->ready = ready;
  info->leaving = leaving;
}

anvil_node_t
anvil_relay_desk_first_of_region (const anvil_slot_broker_t *desk, const char *name)
{
  return anvil_members_holder (desk->members, anvil_clock_now (), anvil_str (name),
                               region_of ((void *) desk, desk->settings->zone));
}

void
anvil_relay_desk_ask_news (anvil_slot_broker_t *desk, anvil_node_t reader, guint64 version)
{
  const anvil_relay_message_t message = { .kind = ANVIL_RELAY_ASK_NEWS, .number = version };

  desk_send (desk, reader, &message);
}

void
anvil_relay_desk_tell_news (anvil_slot_broker_t *desk,
                            anvil_node_t peer,
                            const anvil_relay_message_t *message)
{
  desk_send (desk, peer, message);
}

const char *
anvil_relay_desk_name (const anvil_slot_broker_t *desk, anvil_node_t node)
{
  const anvil_peer_t *peer = anvil_members_lookup (desk->members, node);

  if (node == desk->self)
    return desk->settings->vm;
  return peer != NULL && peer->info.name.data != NULL ? peer->info.name.data : "-";
}

void
anvil_relay_desk_set_store_ok_for (anvil_slot_broker_t *desk, anvil_time_t store_ok_for)
{
  anvil_members_self (desk->members)->store_ok_for = store_ok_for;
}

anvil_members_t *
anvil_slot_broker_members (anvil_slot_broker_t *desk)
{
  return desk->members;
}

const anvil_dispatcher_t *
anvil_relay_desk_dispatcher (const anvil_slot_broker_t *desk)
{
  return desk->dispatcher;
}

anvil_node_t
anvil_relay_desk_self (const anvil_slot_broker_t *desk)
{
  return desk->self;
}
