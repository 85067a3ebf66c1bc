#include "relay/slot-broker-internal.h"

#include "anvil/log.h"

/* The time that a message spent in queues before it was read, microseconds. */
static anvil_time_t
queued_time (anvil_slot_broker_t *broker, anvil_node_t from, const anvil_relay_message_t *message)
{
  anvil_transit_t *transit = g_hash_table_lookup (broker->transits, &from);

  if (message->sent_at <= 0)
    return 0;
  if (transit == NULL)
    {
      transit = g_new0 (anvil_transit_t, 1);
      g_hash_table_insert (broker->transits, g_memdup2 (&from, sizeof from), transit);
    }
  return anvil_transit_add (transit, anvil_clock_boot (), message->sent_at);
}

/* Clocks of another process, maybe of another VM, begin with it. */
static void
forget_transit_of_former (anvil_slot_broker_t *broker,
                          anvil_node_t from,
                          const anvil_member_info_t *info)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, from);

  if (peer != NULL && peer->info.incarnation != info->incarnation)
    g_hash_table_remove (broker->transits, &from);
}

static void
handle_task (anvil_slot_broker_t *broker, anvil_node_t from, const anvil_relay_message_t *message)
{
  const anvil_time_t now = anvil_clock_now ();
  const anvil_time_t queued = queued_time (broker, from, message);
  anvil_task_t task = message->task;

  task.id = (anvil_task_id_t){ .requester = from, .number = message->number };
  task.target += now - queued;
  task.deadline += now - queued;
  if (message->kind != ANVIL_RELAY_ADOPT)
    anvil_holder_pressure_add (&broker->pressure, queued);
  /* Its requester has given up; a slot would be granted in vain. */
  if (message->kind != ANVIL_RELAY_ADOPT && task.deadline <= now)
    return;
  if (message->kind == ANVIL_RELAY_FORWARD)
    broker_add_forwarded (broker, task.id, task.deadline, message->rows);
  if (message->kind != ANVIL_RELAY_ADOPT)
    broker_submit (broker, now, &task);
  else
    anvil_dispatcher_adopt (broker->dispatcher, now, &task, message->upstream);
}

/* Peers may send any age. */
static anvil_time_t
add_to_age (anvil_time_t age, anvil_time_t queued)
{
  return age > G_MAXINT64 - queued ? G_MAXINT64 : age + queued;
}

/* Ages of what is known count from when the sender knew it. */
static void
add_queued_time (anvil_slot_broker_t *broker, anvil_node_t from, anvil_relay_message_t *message)
{
  const anvil_time_t queued = queued_time (broker, from, message);

  message->age = add_to_age (message->age, queued);
  if (message->store_ok_for > 0)
    message->store_ok_for = add_to_age (message->store_ok_for, queued);
  message->operators_age = add_to_age (message->operators_age, queued);
  message->grace_remaining = MAX (message->grace_remaining, queued) - queued;
}

static void
add_named (anvil_slot_broker_t *broker, const anvil_relay_message_t *message)
{
  for (guint i = 0; i < message->n_named; i++)
    anvil_members_add (broker->members, anvil_clock_now (), message->named[i]);
}

static void
report_pong (anvil_slot_broker_t *broker, anvil_node_t from, const anvil_relay_message_t *message)
{
  const anvil_peer_t *peer = anvil_members_lookup (broker->members, from);
  const anvil_pong_t pong
      = { .config_version = message->info.config_version,
          .config_proof_age = message->info.config_proof_age,
          .pinged_at = peer != NULL ? anvil_peer_ping_sent_at (peer, message->number) : -1 };

  if (pong.pinged_at >= 0 && broker->callbacks.pong_received != NULL)
    broker->callbacks.pong_received (broker->context, &pong);
}

static void
handle_pong (anvil_slot_broker_t *broker, anvil_node_t from, const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();

  add_named (broker, message);
  forget_transit_of_former (broker, from, &message->info);
  report_pong (broker, from, message);
  if (!anvil_members_ping_answered (broker->members, now, from, &message->info,
                                    (anvil_time_t) message->number))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "broker", "peer has restarted vm=%.*s",
             ANVIL_STR_ARGS (message->info.name));
  broker_requester_lost (broker, now, from);
  broker_remove_forwarded_of (broker, from);
  broker->callbacks.peer_restarted (broker->context, from);
}

static void
handle_ping (anvil_slot_broker_t *broker, anvil_node_t from, const anvil_relay_message_t *message)
{
  anvil_relay_message_t pong = { .kind = ANVIL_RELAY_PONG,
                                 .number = message->number,
                                 .info = broker_describe_self (broker) };

  anvil_time_t now = anvil_clock_now ();
  const anvil_peer_t *peer;

  add_named (broker, message);
  forget_transit_of_former (broker, from, &message->info);
  anvil_members_update_info (broker->members, now, from, &message->info);
  /* One that has just started may hold services as soon as it knows the others. */
  pong.n_named = anvil_members_pick (broker->members, now, from, pong.named,
                                     message->info.knows_peers ? 1 : ANVIL_MAX_NAMED_MEMBERS);
  peer = anvil_members_lookup (broker->members, from);
  /* It can be reached again, or for the first time. */
  if (peer != NULL && !anvil_members_reachable (broker->members, now, peer))
    anvil_members_request_ping (broker->members, from);
  broker_send (broker, from, &pong);
}

void
broker_add_warm_objects (anvil_slot_broker_t *broker,
                         anvil_str_t service,
                         const anvil_warm_object_t *objects,
                         guint n_objects)
{
  for (guint i = 0; i < n_objects; i++)
    anvil_dispatcher_add_warm_object (broker->dispatcher, anvil_clock_now (), service,
                                      objects[i].object, objects[i].upstream);
}

void
broker_add_request_limits (anvil_slot_broker_t *broker,
                           const anvil_named_limit_t *limits,
                           guint n_limits)
{
  anvil_time_t now = anvil_clock_now ();

  for (guint i = 0; i < n_limits; i++)
    anvil_dispatcher_add_request_limit (broker->dispatcher, now, limits[i].upstream,
                                        limits[i].per_second, now - MAX (limits[i].age, 0));
}

void
broker_add_pauses (anvil_slot_broker_t *broker,
                   anvil_node_t requester,
                   const anvil_named_announcement_t *announcements,
                   guint n_announcements)
{
  const anvil_time_t now = anvil_clock_now ();

  for (guint i = 0; i < n_announcements; i++)
    {
      const anvil_named_announcement_t *item = &announcements[i];

      if (item->announcement.pause > 0)
        anvil_dispatcher_pause_upstream (broker->dispatcher, now, item->upstream, item->started_at,
                                         requester, now + item->announcement.pause);
    }
}

static void
on_relay_message (void *context, anvil_node_t from, anvil_str_t bytes)
{
  anvil_slot_broker_t *broker = context;
  const anvil_task_id_t id = { .requester = from };
  anvil_task_id_t task = id;
  anvil_relay_message_t message;
  GError *error = NULL;

  if (!anvil_relay_message_unpack (bytes, &message, &error))
    {
      anvil_log (ANVIL_LOG_WARNING, "broker", "malformed message dropped reason=\"%s\"",
                 error->message);
      g_error_free (error);
      return;
    }
  task.number = message.number;
  switch (message.kind)
    {
    case ANVIL_RELAY_PING:
      handle_ping (broker, from, &message);
      return;
    case ANVIL_RELAY_PONG:
      handle_pong (broker, from, &message);
      return;
    case ANVIL_RELAY_REQUEST_SLOT:
    case ANVIL_RELAY_ADOPT:
    case ANVIL_RELAY_FORWARD:
      handle_task (broker, from, &message);
      return;
    case ANVIL_RELAY_GRANT:
      broker->callbacks.granted (broker->context, message.number, from, &message.grant);
      return;
    case ANVIL_RELAY_REFUSE:
      broker->callbacks.refused (broker->context, message.number, from, &message.refused);
      return;
    case ANVIL_RELAY_FINISHED:
      anvil_dispatcher_run_finished (broker->dispatcher, anvil_clock_now (), task, &message.report);
      return;
    case ANVIL_RELAY_CANCEL:
      if (!broker_cancel_forwarded (broker, task))
        broker_cancel (broker, task);
      return;
    case ANVIL_RELAY_WITHDRAW:
      broker_withdraw_forwarded (broker, task);
      return;
    case ANVIL_RELAY_WITHDRAWN:
      broker->callbacks.withdrawn (broker->context, message.number, from, message.waited);
      return;
    case ANVIL_RELAY_RESPONSE:
      broker->callbacks.response_received (broker->context, message.number, from, message.rows);
      return;
    case ANVIL_RELAY_REQUEST_UPDATES:
      broker->callbacks.updates_requested (
          broker->context, from,
          (anvil_store_position_t){ .era = message.era, .version = message.number });
      return;
    case ANVIL_RELAY_UPDATES:
      add_queued_time (broker, from, &message);
      broker->callbacks.updates_received (broker->context, from, &message);
      return;
    case ANVIL_RELAY_REQUEST_CONFIG:
      broker->callbacks.config_requested (broker->context, from, (gint64) message.number,
                                          message.whole);
      return;
    case ANVIL_RELAY_CONFIG:
      broker->callbacks.config_received (broker->context, from, &message);
      return;
    case ANVIL_RELAY_WARM_OBJECTS:
      broker_add_warm_objects (broker, message.service, message.objects, message.n_objects);
      return;
    case ANVIL_RELAY_REQUEST_LIMITS:
      broker_add_request_limits (broker, message.limits, message.n_limits);
      return;
    case ANVIL_RELAY_RETRY_COUNTS:
      broker_add_retry_counts (broker, &message);
      return;
    case ANVIL_RELAY_ANNOUNCEMENTS:
      broker_add_pauses (broker, from, message.announcements, message.n_announcements);
      broker->callbacks.announcements_received (broker->context, from, &message);
      return;
    case ANVIL_RELAY_REQUEST_QUOTA:
      broker_handle_quota_request (broker, from, &message);
      return;
    case ANVIL_RELAY_QUOTA:
      broker_handle_quota (broker, &message);
      return;
    }
}

/* Entries of anvil-relay read their configuration from the store, and send none to each other. */
static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  anvil_log (ANVIL_LOG_WARNING, "broker", "message of an anvil-entry process ignored kind=%d",
             (int) message->kind);
}

static void
on_config_requested (void *context, anvil_node_t from, guint64 generation)
{
  anvil_log (ANVIL_LOG_WARNING, "broker", "request for a configuration file ignored");
}

static void
on_config_received (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  anvil_log (ANVIL_LOG_WARNING, "broker", "configuration file ignored");
}

static void
on_refused (void *context, anvil_node_t node)
{
  anvil_slot_broker_t *broker = context;

  anvil_members_process_ended (broker->members, node);
}

const anvil_peers_callbacks_t broker_peers_callbacks = {
  .message_received = on_message,
  .config_requested = on_config_requested,
  .config_received = on_config_received,
  .relay_message_received = on_relay_message,
  .refused = on_refused,
};
