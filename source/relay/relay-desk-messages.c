#include "relay/relay-desk-internal.h"

#include "anvil/log.h"

static void
take_task (anvil_slot_broker_t *desk, anvil_node_t from, const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_task_t task = message->task;

  task.id = (anvil_task_id_t){ .requester = from, .number = message->number };
  task.target += now;
  task.deadline += now;
  if (message->kind == ANVIL_RELAY_ASK)
    anvil_dispatcher_submit (desk->dispatcher, now, &task);
  else
    anvil_dispatcher_adopt (desk->dispatcher, now, &task, message->upstream);
}

static void
take_pong (anvil_slot_broker_t *desk, anvil_node_t from, const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();

  if (!anvil_members_ping_answered (desk->members, now, from, &message->info,
                                    (anvil_time_t) message->number))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "desk", "peer has restarted vm=%.*s",
             ANVIL_STR_ARGS (message->info.name));
  anvil_dispatcher_requester_lost (desk->dispatcher, now, from);
  desk->events.peer_restarted (desk->context, from);
}

static void
answer_ping (anvil_slot_broker_t *desk, anvil_node_t from, const anvil_relay_message_t *message)
{
  const anvil_relay_message_t pong = { .kind = ANVIL_RELAY_PONG,
                                       .number = message->number,
                                       .info = *anvil_members_self (desk->members) };

  anvil_members_update_info (desk->members, anvil_clock_now (), from, &message->info);
  desk_send (desk, from, &pong);
}

void
desk_remember_places (anvil_slot_broker_t *desk,
                      anvil_str_t service,
                      const anvil_place_t *places,
                      guint n_places)
{
  for (guint i = 0; i < n_places; i++)
    anvil_dispatcher_add_warm_object (desk->dispatcher, anvil_clock_now (), service,
                                      places[i].object, places[i].upstream);
}

static void
on_tasks (void *context, anvil_node_t from, anvil_str_t bytes)
{
  anvil_slot_broker_t *desk = context;
  const anvil_task_id_t id = { .requester = from };
  anvil_task_id_t task = id;
  anvil_relay_message_t message;
  GError *error = NULL;

  if (!anvil_relay_message_unpack (bytes, &message, &error))
    {
      anvil_log (ANVIL_LOG_WARNING, "desk", "message dropped reason=\"%s\"", error->message);
      g_error_free (error);
      return;
    }
  task.number = message.number;
  switch (message.kind)
    {
    case ANVIL_RELAY_PING:
      answer_ping (desk, from, &message);
      return;
    case ANVIL_RELAY_PONG:
      take_pong (desk, from, &message);
      return;
    case ANVIL_RELAY_ASK:
    case ANVIL_RELAY_ADOPT:
      take_task (desk, from, &message);
      return;
    case ANVIL_RELAY_GRANT:
      desk->events.granted (desk->context, message.number, from, &message.grant);
      return;
    case ANVIL_RELAY_REFUSE:
      desk->events.refused (desk->context, message.number, from, &message.refused);
      return;
    case ANVIL_RELAY_FINISHED:
      anvil_dispatcher_run_finished (desk->dispatcher, anvil_clock_now (), task, &message.report);
      return;
    case ANVIL_RELAY_WITHDRAW:
      anvil_dispatcher_cancel (desk->dispatcher, anvil_clock_now (), task);
      return;
    case ANVIL_RELAY_ASK_NEWS:
      desk->events.news_asked (desk->context, from, message.number);
      return;
    case ANVIL_RELAY_NEWS:
      desk->events.news_told (desk->context, from, &message);
      return;
    case ANVIL_RELAY_PLACES:
      desk_remember_places (desk, message.service, message.places, message.n_places);
      return;
    }
}

/* Files of the operators don't travel between these entries. */
static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  anvil_log (ANVIL_LOG_WARNING, "desk", "message of an entry with seats ignored kind=%d",
             (int) message->kind);
}

static void
on_config_asked (void *context, anvil_node_t from, guint64 generation)
{
  anvil_log (ANVIL_LOG_WARNING, "desk", "question for an operators' file ignored");
}

static void
on_config_arrived (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  anvil_log (ANVIL_LOG_WARNING, "desk", "operators' file ignored");
}

const anvil_peers_callbacks_t desk_peers_events = {
  .message = on_message,
  .config_requested = on_config_asked,
  .config_received = on_config_arrived,
  .task_message = on_tasks,
};
