#include "relay/slot-broker-internal.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/relay-job.h"

/* One in so many descriptors is for links from other entries, and one in so many bytes for their
 * incomplete frames. */
#define PEER_DESCRIPTORS_DIVISOR 6
#define PEER_FRAMES_DIVISOR 16

static const char *
region_of (void *context, const char *zone)
{
  const anvil_slot_broker_t *broker = context;

  return anvil_relay_settings_region (broker->settings, zone);
}

void
broker_send (anvil_slot_broker_t *broker, anvil_node_t to, const anvil_relay_message_t *message)
{
  GByteArray *bytes = g_byte_array_new ();

  anvil_relay_message_pack (message, anvil_clock_boot (), bytes);
  anvil_peers_send_relay_message (
      broker->peers, to, (anvil_str_t){ .data = (const char *) bytes->data, .length = bytes->len });
  g_byte_array_unref (bytes);
}

static void
queue_local_decision (anvil_slot_broker_t *broker, const local_decision_t *decision)
{
  local_decision_t *copy = g_memdup2 (decision, sizeof *decision);

  copy->grant.upstream_id = anvil_str (anvil_str_dup (decision->grant.upstream_id));
  copy->grant.zone = anvil_str (anvil_str_dup (decision->grant.zone));
  g_queue_push_tail (&broker->local_decisions, copy);
  event_active (broker->deliver, EV_TIMEOUT, 0);
}

static void
local_decision_drop (local_decision_t *decision)
{
  g_free ((char *) decision->grant.upstream_id.data);
  g_free ((char *) decision->grant.zone.data);
  g_free (decision);
}

static void
on_deliver (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_slot_broker_t *broker = data;
  local_decision_t *decision;

  while ((decision = g_queue_pop_head (&broker->local_decisions)) != NULL)
    {
      if (decision->requester != broker->self)
        broker_deliver_forwarded (
            broker,
            (anvil_task_id_t){ .requester = decision->requester, .number = decision->number },
            &decision->grant);
      else if (decision->granted)
        broker->callbacks.granted (broker->context, decision->number, broker->self,
                                   &decision->grant);
      else
        broker->callbacks.refused (broker->context, decision->number, broker->self,
                                   &decision->refused);
      local_decision_drop (decision);
    }
}

static void
on_grant (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant)
{
  anvil_slot_broker_t *broker = context;
  anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_GRANT, .number = id.number, .grant = *grant };
  local_decision_t decision = { .requester = id.requester, .number = id.number, .granted = TRUE };

  message.grant.row_version = anvil_registry_row_version (broker->registry, grant->upstream);
  decision.grant = message.grant;
  if (id.requester != broker->self && broker_is_running_forwarded (broker, id))
    return;
  anvil_quota_loans_granted (broker->quota_loans, id);
  if (id.requester == broker->self || broker_grant_forwarded (broker, id, &decision.grant))
    queue_local_decision (broker, &decision);
  else
    broker_send (broker, id.requester, &message);
}

void
broker_refuse (anvil_slot_broker_t *broker,
               anvil_task_id_t id,
               const anvil_task_refusal_info_t *refused)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_REFUSE, .number = id.number, .refused = *refused };
  const local_decision_t decision
      = { .requester = id.requester, .number = id.number, .refused = *refused };

  broker_remove_forwarded (broker, id);
  if (id.requester == broker->self)
    queue_local_decision (broker, &decision);
  else
    broker_send (broker, id.requester, &message);
}

static void
on_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  anvil_slot_broker_t *broker = context;

  broker_quota_give_back (broker, id);
  broker_refuse (broker, id, refused);
}

static const anvil_dispatcher_callbacks_t dispatcher_callbacks
    = { .grant = on_grant, .refuse = on_refuse };

/* Tells requesters which part of their requests to refuse. */
static void
update_pressure (anvil_slot_broker_t *broker, anvil_time_t now)
{
  anvil_holder_pressure_t *pressure = &broker->pressure;

  if (anvil_holder_pressure_tick (pressure, now))
    anvil_log (ANVIL_LOG_NOTICE, "broker",
               "slot requests wait to be read average_delay_us=%" G_GINT64_FORMAT
               " refused_share=%u",
               pressure->average_delay, pressure->refused_share);
  anvil_members_self (broker->members)->refused_share = pressure->refused_share;
}

static void
on_tick (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_slot_broker_t *broker = data;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t region_rtt;

  for (guint i = anvil_members_count (broker->members); i > 0; i--)
    {
      anvil_peer_t *peer = anvil_members_at (broker->members, i - 1);

      broker_ping (broker, now, peer);
      broker_update_reachability (broker, now, peer);
      broker_remove_if_expired (broker, now, peer);
    }
  broker_update_regions (broker, now);
  broker_update_known_peers (broker, now);
  broker_update_holders (broker, now);
  broker_hand_over_retry_counts (broker, now);
  region_rtt = anvil_members_inter_region_rtt (broker->members);
  if (region_rtt > 0)
    anvil_dispatcher_set_region_rtt (broker->dispatcher, region_rtt);
  anvil_dispatcher_set_divided (broker->dispatcher,
                                anvil_members_may_be_divided (broker->members, now));
  broker_quota_tick (broker, now);
  update_pressure (broker, now);
  anvil_dispatcher_tick (broker->dispatcher, now);
}

static void
service_drop (gpointer data)
{
  service_t *service = data;

  g_free (service->name);
  g_free (service);
}

static anvil_members_t *
new_members (anvil_slot_broker_t *broker)
{
  const anvil_relay_settings_t *settings = broker->settings;
  const anvil_member_info_t info
      = { .name = anvil_str (settings->vm),
          .zone = anvil_str (settings->zone),
          .incarnation = ((guint64) g_random_int () << 32) | g_random_int (),
          .caller_port = settings->caller_endpoint.port,
          .cpu_millicores = settings->cpu_millicores,
          .caller_share = ANVIL_FULL_CALLER_SHARE };
  anvil_members_t *members = anvil_members_new (broker->self, &info, region_of, broker);

  for (guint i = 0; i < settings->n_seeds; i++)
    anvil_members_add (members, anvil_clock_now (), settings->seeds[i]);
  return members;
}

anvil_slot_broker_t *
anvil_slot_broker_open (struct event_base *base,
                        const anvil_relay_settings_t *settings,
                        const anvil_registry_t *registry,
                        const anvil_slot_broker_callbacks_t *callbacks,
                        void *context,
                        GError **error)
{
  anvil_slot_broker_t *broker = g_new0 (anvil_slot_broker_t, 1);
  const struct timeval period = { .tv_usec = ANVIL_DISPATCHER_TICK_INTERVAL };

  broker->settings = settings;
  broker->registry = registry;
  broker->callbacks = *callbacks;
  broker->context = context;
  broker->self = anvil_node (settings->peer_endpoint.address, settings->peer_endpoint.port);
  broker->peers = anvil_peers_open (base, broker->self, &broker_peers_callbacks, broker, error);
  if (broker->peers == NULL)
    {
      g_free (broker);
      return NULL;
    }
  anvil_peers_set_limits (
      broker->peers, settings->max_descriptors / PEER_DESCRIPTORS_DIVISOR,
      MAX (settings->memory_bytes / PEER_FRAMES_DIVISOR, (gsize) 2 * ANVIL_MAX_FRAME_BYTES));
  broker->dispatcher = anvil_dispatcher_new (&settings->limits, &dispatcher_callbacks, broker);
  anvil_dispatcher_set_knows_peers (broker->dispatcher, anvil_clock_now (), FALSE);
  broker->members = new_members (broker);
  broker_quota_open (broker, base);
  broker->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_drop);
  broker->reachable_nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&broker->local_decisions);
  broker->forwarded = broker_forwarded_table_new ();
  broker->transits = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  broker->deliver = event_new (base, -1, 0, on_deliver, broker);
  broker->tick = event_new (base, -1, EV_PERSIST, on_tick, broker);
  event_add (broker->tick, &period);
  return broker;
}

void
anvil_slot_broker_close (anvil_slot_broker_t *broker)
{
  local_decision_t *decision;

  if (broker == NULL)
    return;
  event_free (broker->tick);
  event_free (broker->deliver);
  anvil_peers_close (broker->peers);
  while ((decision = g_queue_pop_head (&broker->local_decisions)) != NULL)
    local_decision_drop (decision);
  broker_quota_close (broker);
  anvil_dispatcher_drop (broker->dispatcher);
  anvil_members_drop (broker->members);
  g_hash_table_unref (broker->services);
  g_hash_table_unref (broker->reachable_nodes);
  g_hash_table_unref (broker->forwarded);
  g_hash_table_unref (broker->transits);
  g_free (broker);
}

static service_t *
get_service (anvil_slot_broker_t *broker, const char *name)
{
  service_t *service = g_hash_table_lookup (broker->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (service_t, 1);
  service->name = g_strdup (name);
  service->holder
      = anvil_members_holder (broker->members, anvil_clock_now (), anvil_str (name), NULL);
  g_hash_table_insert (broker->services, service->name, service);
  broker->regions_updated_at = 0;
  return service;
}

anvil_node_t
anvil_slot_broker_holder (anvil_slot_broker_t *broker, const char *service)
{
  return get_service (broker, service)->holder;
}

anvil_relay_message_t
broker_task_message (anvil_relay_message_kind_t kind, const anvil_task_t *task)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_relay_message_t message = { .kind = kind, .number = task->id.number, .task = *task };

  message.task.target -= now;
  message.task.deadline -= now;
  return message;
}

void
anvil_slot_broker_request_slot (anvil_slot_broker_t *broker,
                                anvil_node_t holder,
                                const anvil_task_t *task)
{
  anvil_relay_message_t message = broker_task_message (ANVIL_RELAY_REQUEST_SLOT, task);

  if (holder == broker->self)
    broker_submit (broker, anvil_clock_now (), task);
  else
    broker_send (broker, holder, &message);
}

void
anvil_slot_broker_adopt (anvil_slot_broker_t *broker,
                         anvil_node_t holder,
                         const anvil_task_t *task,
                         guint64 upstream)
{
  anvil_relay_message_t message = broker_task_message (ANVIL_RELAY_ADOPT, task);

  message.upstream = upstream;
  if (holder == broker->self)
    anvil_dispatcher_adopt (broker->dispatcher, anvil_clock_now (), task, upstream);
  else
    broker_send (broker, holder, &message);
}

void
anvil_slot_broker_send_warm_objects (anvil_slot_broker_t *broker,
                                     anvil_node_t holder,
                                     const char *service,
                                     const anvil_warm_object_t *objects,
                                     guint n_objects)
{
  anvil_relay_message_t *message;

  if (holder == broker->self)
    {
      broker_add_warm_objects (broker, anvil_str (service), objects, n_objects);
      return;
    }
  message = g_new0 (anvil_relay_message_t, 1);
  message->kind = ANVIL_RELAY_WARM_OBJECTS;
  message->service = anvil_str (service);
  for (guint sent = 0; sent < n_objects; sent += message->n_objects)
    {
      message->n_objects = MIN (n_objects - sent, ANVIL_MAX_MESSAGE_WARM_OBJECTS);
      memcpy (message->objects, objects + sent, message->n_objects * sizeof *objects);
      broker_send (broker, holder, message);
    }
  g_free (message);
}

void
anvil_slot_broker_send_request_limits (anvil_slot_broker_t *broker,
                                       anvil_node_t holder,
                                       const anvil_named_limit_t *limits,
                                       guint n_limits)
{
  anvil_relay_message_t *message;

  if (holder == broker->self)
    {
      broker_add_request_limits (broker, limits, n_limits);
      return;
    }
  message = g_new0 (anvil_relay_message_t, 1);
  message->kind = ANVIL_RELAY_REQUEST_LIMITS;
  for (guint sent = 0; sent < n_limits; sent += message->n_limits)
    {
      message->n_limits = MIN (n_limits - sent, ANVIL_MAX_MESSAGE_REQUEST_LIMITS);
      memcpy (message->limits, limits + sent, message->n_limits * sizeof *limits);
      broker_send (broker, holder, message);
    }
  g_free (message);
}

void
anvil_slot_broker_send_announcements (anvil_slot_broker_t *broker,
                                      anvil_node_t holder,
                                      const char *service,
                                      const anvil_named_announcement_t *announcements,
                                      guint n_announcements)
{
  anvil_relay_message_t *message;

  if (holder == broker->self)
    {
      broker_add_pauses (broker, broker->self, announcements, n_announcements);
      return;
    }
  message = g_new0 (anvil_relay_message_t, 1);
  message->kind = ANVIL_RELAY_ANNOUNCEMENTS;
  message->service = anvil_str (service);
  for (guint sent = 0; sent < n_announcements; sent += message->n_announcements)
    {
      message->n_announcements = MIN (n_announcements - sent, ANVIL_MAX_MESSAGE_ANNOUNCEMENTS);
      memcpy (message->announcements, announcements + sent,
              message->n_announcements * sizeof *announcements);
      broker_send (broker, holder, message);
    }
  g_free (message);
}

typedef struct
{
  anvil_warm_object_t *objects;
  guint n;
  guint max;
} object_list_t;

static void
append_object (void *context, guint64 object, guint64 upstream)
{
  object_list_t *list = context;

  if (list->n < list->max)
    list->objects[list->n++] = (anvil_warm_object_t){ .object = object, .upstream = upstream };
}

guint
anvil_slot_broker_list_warm_objects (anvil_slot_broker_t *broker,
                                     const char *service,
                                     anvil_warm_object_t *objects,
                                     guint max_objects)
{
  object_list_t list = { .objects = objects, .max = max_objects };

  anvil_dispatcher_list_warm_objects (broker->dispatcher, anvil_str (service), append_object,
                                      &list);
  return list.n;
}

void
anvil_slot_broker_foreach_held_service (anvil_slot_broker_t *broker,
                                        void (*visit) (void *context, const char *service),
                                        void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, broker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const service_t *service = value;

      if (service->holder == broker->self)
        visit (context, service->name);
    }
}

void
anvil_slot_broker_cancel (anvil_slot_broker_t *broker, anvil_node_t holder, guint64 number)
{
  const anvil_relay_message_t message = { .kind = ANVIL_RELAY_CANCEL, .number = number };
  const anvil_task_id_t id = { .requester = broker->self, .number = number };

  if (holder == broker->self)
    broker_cancel (broker, id);
  else
    broker_send (broker, holder, &message);
}

void
anvil_slot_broker_withdraw (anvil_slot_broker_t *broker, anvil_node_t holder, guint64 number)
{
  const anvil_relay_message_t message = { .kind = ANVIL_RELAY_WITHDRAW, .number = number };

  broker_send (broker, holder, &message);
}

gboolean
anvil_slot_broker_reachable (const anvil_slot_broker_t *broker, anvil_node_t node)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, node);

  return peer != NULL && anvil_members_reachable (broker->members, anvil_clock_now (), peer);
}

guint
anvil_slot_broker_count_reachable (const anvil_slot_broker_t *broker)
{
  return g_hash_table_size (broker->reachable_nodes) + 1;
}

anvil_time_t
anvil_slot_broker_round_trip (const anvil_slot_broker_t *broker, anvil_node_t node)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, node);

  return peer != NULL ? peer->rtt : 0;
}

gboolean
anvil_slot_broker_refuses (const anvil_slot_broker_t *broker, const char *service_name)
{
  const service_t *service = g_hash_table_lookup (broker->services, service_name);
  const anvil_peer_t *peer;

  if (service == NULL)
    return FALSE;
  if (service->holder == broker->self)
    return anvil_holder_refuses (broker->pressure.refused_share);
  peer = anvil_members_lookup (broker->members, service->holder);
  return peer != NULL && anvil_holder_refuses (peer->info.refused_share);
}

gboolean
anvil_slot_broker_has_ended (const anvil_slot_broker_t *broker, anvil_node_t node)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, node);

  return peer == NULL || peer->process_ended;
}

gsize
anvil_slot_broker_queued_bytes (const anvil_slot_broker_t *broker, anvil_node_t node)
{
  return anvil_peers_queued_bytes (broker->peers, node);
}

void
anvil_slot_broker_run_finished (anvil_slot_broker_t *broker,
                                anvil_node_t holder,
                                guint64 number,
                                const anvil_run_report_t *report)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_FINISHED, .number = number, .report = *report };
  const anvil_task_id_t id = { .requester = broker->self, .number = number };

  if (holder == broker->self)
    anvil_dispatcher_run_finished (broker->dispatcher, anvil_clock_now (), id, report);
  else
    broker_send (broker, holder, &message);
}

void
anvil_slot_broker_update_upstream (anvil_slot_broker_t *broker,
                                   anvil_time_t now,
                                   const anvil_registered_upstream_t *upstream,
                                   anvil_registry_change_t change)
{
  const char *region = anvil_relay_settings_region (broker->settings, upstream->zone);

  if (change == ANVIL_REGISTRY_LEFT)
    anvil_dispatcher_remove_upstream (broker->dispatcher, now, upstream->key);
  else
    anvil_dispatcher_update_upstream (broker->dispatcher, now, upstream, anvil_str (region),
                                      change);
}

/* Sets the shares of second runs of routes that have their own. Requesters ask for none on routes
 * with a share of 0, and others of their class may have one. */
static void
set_repeat_shares (anvil_slot_broker_t *broker, const anvil_routes_t *routes)
{
  anvil_dispatcher_clear_repeat_shares (broker->dispatcher);
  for (guint i = 0; i < anvil_routes_count (routes); i++)
    {
      const anvil_route_t *route = anvil_routes_at (routes, i);
      const guint n = route->has_repeat_share && route->repeat_share > 0 ? route->n_services : 0;

      for (guint k = 0; k < n; k++)
        anvil_dispatcher_set_repeat_share (broker->dispatcher,
                                           anvil_str (route->services[k].service),
                                           anvil_relay_route_class (route), route->repeat_share);
    }
}

void
anvil_slot_broker_set_routes (anvil_slot_broker_t *broker, const anvil_routes_t *routes)
{
  for (guint i = 0; i < anvil_routes_count_services (routes); i++)
    {
      const anvil_service_t *service = anvil_routes_service_at (routes, i);

      anvil_dispatcher_set_service (broker->dispatcher, service);
      get_service (broker, service->name);
    }
  broker_quota_set_routes (broker, routes);
  set_repeat_shares (broker, routes);
}

void
anvil_slot_broker_set_limits (anvil_slot_broker_t *broker, const anvil_dispatcher_limits_t *limits)
{
  anvil_dispatcher_set_limits (broker->dispatcher, limits);
  broker_quota_set_limits (broker, limits);
}

void
anvil_slot_broker_set_state (anvil_slot_broker_t *broker, gboolean ready, gboolean leaving)
{
  anvil_member_info_t *info = anvil_members_self (broker->members);

  if (ready == info->ready && leaving == info->leaving)
    return;
  info->ready = ready;
  info->leaving = leaving;
  anvil_members_request_pings (broker->members);
}

const char *
anvil_slot_broker_region (const anvil_slot_broker_t *broker)
{
  return anvil_relay_settings_region (broker->settings, broker->settings->zone);
}

anvil_node_t
anvil_slot_broker_first_in_region (const anvil_slot_broker_t *broker, const char *name)
{
  return anvil_members_holder (broker->members, anvil_clock_now (), anvil_str (name),
                               anvil_slot_broker_region (broker));
}

void
anvil_slot_broker_send (anvil_slot_broker_t *broker,
                        anvil_node_t peer,
                        const anvil_relay_message_t *message)
{
  broker_send (broker, peer, message);
}

const char *
anvil_slot_broker_vm_name (const anvil_slot_broker_t *broker, anvil_node_t node)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, node);

  if (node == broker->self)
    return broker->settings->vm;
  return peer != NULL && peer->info.name.data != NULL ? peer->info.name.data : "-";
}

anvil_byte_counts_t
anvil_slot_broker_peer_bytes (const anvil_slot_broker_t *broker)
{
  const anvil_peers_counters_t *counters = anvil_peers_counters (broker->peers);

  return (anvil_byte_counts_t){ .in = counters->bytes_in, .out = counters->bytes_out };
}

void
anvil_slot_broker_log_work (anvil_slot_broker_t *broker)
{
  const anvil_dispatcher_work_t *work = anvil_dispatcher_work (broker->dispatcher);
  const anvil_dispatcher_work_t *logged = &broker->logged_work;
  const guint64 frames = anvil_peers_counters (broker->peers)->frames_in;

  anvil_log (ANVIL_LOG_INFO, "broker",
             "work since the last such line messages=%" G_GUINT64_FORMAT
             " slot_requests=%" G_GUINT64_FORMAT " repeated=%" G_GUINT64_FORMAT
             " finished=%" G_GUINT64_FORMAT " compared=%" G_GUINT64_FORMAT " forwarded=%u",
             frames - broker->logged_frames, work->n_submitted - logged->n_submitted,
             work->n_repeated - logged->n_repeated, work->n_finished - logged->n_finished,
             work->n_compared - logged->n_compared, g_hash_table_size (broker->forwarded));
  broker->logged_work = *work;
  broker->logged_frames = frames;
}

anvil_members_t *
anvil_slot_broker_members (anvil_slot_broker_t *broker)
{
  return broker->members;
}

const anvil_dispatcher_t *
anvil_slot_broker_dispatcher (const anvil_slot_broker_t *broker)
{
  return broker->dispatcher;
}

anvil_node_t
anvil_slot_broker_self (const anvil_slot_broker_t *broker)
{
  return broker->self;
}
