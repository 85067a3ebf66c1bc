#include "relay/slot-broker-internal.h"

#include "anvil/log.h"

/* Names by which entries choose the counter of a shard, as they choose holders of services. */
#define COUNTER_NAME_FORMAT "quota/%u"
/* Refusals are logged at most this often by their holder; requesters log each. */
#define LOG_INTERVAL (1 * ANVIL_SECOND)
/* Choosing a counter goes through all known entries. With many shards each is looked at every
 * fourth tick, which is more often than entries ping each other. */
#define MAX_SHARDS_EACH_TICK 4
#define TICKS_A_ROUND 4

static const anvil_node_t *
counter_of (const anvil_slot_broker_t *broker, anvil_str_t tenant)
{
  guint shard = anvil_quota_counter_shard (broker->quota_counter, tenant);

  return shard < broker->quota_counters->len
             ? &g_array_index (broker->quota_counters, anvil_node_t, shard)
             : NULL;
}

/**
 * requests_t - requests to counters that are sent together
 * @messages: anvil_relay_message_t by node
 */
typedef struct
{
  anvil_slot_broker_t *broker;
  anvil_time_t now;
  GHashTable *messages;
} requests_t;

static void
send_request (anvil_slot_broker_t *broker, anvil_node_t to, anvil_relay_message_t *message)
{
  if (message->n_wants > 0)
    broker_send (broker, to, message);
  message->n_wants = 0;
}

static void
add_want (requests_t *requests, anvil_node_t to, const anvil_quota_want_t *want)
{
  anvil_relay_message_t *message;

  if (requests->messages == NULL)
    requests->messages = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  message = g_hash_table_lookup (requests->messages, &to);
  if (message == NULL)
    {
      message = g_new0 (anvil_relay_message_t, 1);
      message->kind = ANVIL_RELAY_REQUEST_QUOTA;
      message->number = (guint64) requests->now;
      g_hash_table_insert (requests->messages, g_memdup2 (&to, sizeof to), message);
    }
  message->wants[message->n_wants++] = *want;
  if (message->n_wants == ANVIL_MAX_MESSAGE_QUOTAS)
    send_request (requests->broker, to, message);
}

/* This entry is the counter itself: no message, and nothing ahead of time. */
static void
lend_to_self (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_quota_want_t *want)
{
  anvil_quota_want_t wanted = *want;
  anvil_quota_lent_t lent;

  wanted.ahead = 0;
  if (anvil_quota_counter_lend (broker->quota_counter, now, broker->self, &wanted, &lent))
    anvil_quota_loans_lent (broker->quota_loans, now, now, &lent);
}

static void
on_want (void *context, const anvil_quota_want_t *want)
{
  requests_t *requests = context;
  const anvil_node_t *counter = counter_of (requests->broker, want->tenant);

  if (counter == NULL)
    return;
  if (*counter == requests->broker->self)
    lend_to_self (requests->broker, requests->now, want);
  else
    add_want (requests, *counter, want);
}

static void
request_tokens (anvil_slot_broker_t *broker, anvil_time_t now, gboolean ahead)
{
  requests_t requests = { .broker = broker, .now = now };
  GHashTableIter iter;
  gpointer node;
  gpointer message;

  anvil_quota_loans_collect (broker->quota_loans, now, ahead, on_want, &requests);
  if (requests.messages == NULL)
    return;
  g_hash_table_iter_init (&iter, requests.messages);
  while (g_hash_table_iter_next (&iter, &node, &message))
    send_request (broker, *(const anvil_node_t *) node, message);
  g_hash_table_unref (requests.messages);
}

static void
on_request (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_slot_broker_t *broker = data;
  anvil_time_t now = anvil_clock_now ();

  anvil_quota_loans_serve (broker->quota_loans, now);
  request_tokens (broker, now, FALSE);
}

static void
on_submit (void *context, const anvil_task_t *task)
{
  anvil_slot_broker_t *broker = context;

  anvil_dispatcher_submit (broker->dispatcher, anvil_clock_now (), task);
}

/* Logs the state of a tenant's quota after a refusal. */
static void
log_refusal (anvil_slot_broker_t *broker, anvil_time_t now, anvil_str_t tenant)
{
  const anvil_node_t *counter = counter_of (broker, tenant);
  anvil_quota_state_t state;

  if (now - broker->quota_logged_at < LOG_INTERVAL)
    return;
  broker->quota_logged_at = now;
  state = anvil_quota_loans_state (broker->quota_loans, now, tenant);
  anvil_log (ANVIL_LOG_NOTICE, "broker",
             "quota of a tenant is used up tenant=%.*s counter=%s used_here=%u waiting=%u "
             "without_counter=%d reachable=%.2f",
             ANVIL_STR_ARGS (tenant),
             counter != NULL ? anvil_slot_broker_vm_name (broker, *counter) : "-", state.used,
             state.waiting, state.without_counter,
             anvil_members_reachable_share (broker->members, now));
}

static void
on_refuse (void *context,
           anvil_str_t tenant,
           anvil_task_id_t id,
           const anvil_task_refusal_info_t *refused)
{
  log_refusal (context, anvil_clock_now (), tenant);
  broker_refuse (context, id, refused);
}

void
broker_submit (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_task_t *task)
{
  const anvil_quota_limit_t *limit
      = anvil_quota_counter_limit (broker->quota_counter, task->tenant);
  const anvil_node_t *counter;

  if (limit == NULL || task->quota_paid || task->is_repeat
      || anvil_dispatcher_has_task (broker->dispatcher, task->id))
    {
      anvil_dispatcher_submit (broker->dispatcher, now, task);
      return;
    }
  if (anvil_quota_loans_waits (broker->quota_loans, task->id))
    return;
  if (anvil_quota_loans_take (broker->quota_loans, now, task, limit))
    {
      anvil_dispatcher_submit (broker->dispatcher, now, task);
      return;
    }
  if (!anvil_quota_loans_waits (broker->quota_loans, task->id))
    return;
  counter = counter_of (broker, task->tenant);
  if (counter != NULL && *counter == broker->self)
    request_tokens (broker, now, FALSE);
  else
    event_active (broker->quota_request, EV_TIMEOUT, 0);
}

void
broker_cancel (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  anvil_quota_loans_cancel (broker->quota_loans, id);
  anvil_dispatcher_cancel (broker->dispatcher, anvil_clock_now (), id);
  broker_quota_give_back (broker, id);
}

void
broker_requester_lost (anvil_slot_broker_t *broker, anvil_time_t now, anvil_node_t requester)
{
  anvil_quota_loans_requester_lost (broker->quota_loans, requester);
  anvil_dispatcher_requester_lost (broker->dispatcher, now, requester);
}

void
broker_quota_give_back (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  /* Another task uses the token later: the dispatcher may be going through its tasks. */
  if (anvil_quota_loans_give_back (broker->quota_loans, anvil_clock_now (), id))
    event_active (broker->quota_request, EV_TIMEOUT, 0);
}

void
broker_quota_open (anvil_slot_broker_t *broker, struct event_base *base)
{
  const anvil_quota_loans_callbacks_t callbacks = { .submit = on_submit, .refuse = on_refuse };

  broker->quota_counter = anvil_quota_counter_new (&broker->settings->limits);
  broker->quota_loans = anvil_quota_loans_new (&callbacks, broker);
  anvil_quota_loans_set_window (broker->quota_loans, broker->settings->limits.quota_window);
  broker->quota_counters = g_array_new (FALSE, TRUE, sizeof (anvil_node_t));
  broker->quota_request = event_new (base, -1, 0, on_request, broker);
}

void
broker_quota_close (anvil_slot_broker_t *broker)
{
  event_free (broker->quota_request);
  anvil_quota_loans_drop (broker->quota_loans);
  anvil_quota_counter_drop (broker->quota_counter);
  g_array_unref (broker->quota_counters);
}

static anvil_node_t
choose_counter (const anvil_slot_broker_t *broker, anvil_time_t now, guint shard)
{
  char *name = g_strdup_printf (COUNTER_NAME_FORMAT, shard);
  anvil_node_t node
      = anvil_members_holder (broker->members, now, anvil_str (name), broker->quota_region);

  g_free (name);
  return node;
}

/* Whether a shard's counter is chosen again in this tick. */
static gboolean
is_due (const anvil_slot_broker_t *broker, anvil_time_t now, guint shard)
{
  return broker->quota_counters->len <= MAX_SHARDS_EACH_TICK
         || (broker->quota_ticks + shard) % TICKS_A_ROUND == 0
         || now - broker->quota_ticked_at > TICKS_A_ROUND * ANVIL_DISPATCHER_TICK_INTERVAL
         || g_array_index (broker->quota_counters, anvil_node_t, shard) == 0;
}

static void
update_counters (anvil_slot_broker_t *broker, anvil_time_t now)
{
  const gboolean knows_peers = anvil_members_self (broker->members)->knows_peers;

  for (guint i = 0; i < broker->quota_counters->len; i++)
    {
      anvil_node_t *counter = &g_array_index (broker->quota_counters, anvil_node_t, i);
      anvil_node_t chosen;

      if (!is_due (broker, now, i))
        continue;
      chosen = choose_counter (broker, now, i);
      anvil_quota_counter_hold (broker->quota_counter, now, i,
                                chosen == broker->self && knows_peers);
      if (chosen == *counter)
        continue;
      *counter = chosen;
      anvil_quota_loans_counter_changed (broker->quota_loans, broker->quota_counter, i);
      anvil_log (ANVIL_LOG_NOTICE, "broker", "counter of quotas changed shard=%u counter=%s", i,
                 anvil_slot_broker_vm_name (broker, chosen));
    }
}

static void
update_shards (anvil_slot_broker_t *broker)
{
  g_array_set_size (broker->quota_counters,
                    anvil_quota_counter_count_shards (broker->quota_counter));
  update_counters (broker, anvil_clock_now ());
}

void
broker_quota_set_routes (anvil_slot_broker_t *broker, const anvil_routes_t *routes)
{
  anvil_quota_counter_set_tenants (broker->quota_counter, anvil_clock_now (), routes);
  update_shards (broker);
  anvil_quota_loans_limits_changed (broker->quota_loans, broker->quota_counter);
}

void
broker_quota_set_limits (anvil_slot_broker_t *broker, const anvil_dispatcher_limits_t *limits)
{
  anvil_quota_counter_set_limits (broker->quota_counter, anvil_clock_now (), limits);
  anvil_quota_loans_set_window (broker->quota_loans, limits->quota_window);
  update_shards (broker);
  anvil_quota_loans_limits_changed (broker->quota_loans, broker->quota_counter);
}

void
broker_quota_tick (anvil_slot_broker_t *broker, anvil_time_t now)
{
  if (broker->quota_counters->len == 0)
    return;
  anvil_quota_counter_set_share (broker->quota_counter, now,
                                 anvil_members_reachable_share (broker->members, now));
  update_counters (broker, now);
  broker->quota_ticks++;
  broker->quota_ticked_at = now;
  anvil_quota_counter_tick (broker->quota_counter, now);
  anvil_quota_loans_tick (broker->quota_loans, now);
  request_tokens (broker, now, TRUE);
}

void
broker_quota_add_held (const anvil_slot_broker_t *broker, GArray *services)
{
  /* One stands for all: each further shard would add a few peers that are pinged often. */
  const anvil_held_service_t held
      = { .service = anvil_str ("quota/0"), .region = broker->quota_region };

  if (broker->quota_counters->len > 0)
    g_array_append_val (services, held);
}

void
broker_handle_quota_request (anvil_slot_broker_t *broker,
                             anvil_node_t from,
                             const anvil_relay_message_t *message)
{
  anvil_relay_message_t *answer = g_new0 (anvil_relay_message_t, 1);
  anvil_time_t now = anvil_clock_now ();

  answer->kind = ANVIL_RELAY_QUOTA;
  answer->number = message->number;
  for (guint i = 0; i < message->n_wants; i++)
    {
      if (anvil_quota_counter_lend (broker->quota_counter, now, from, &message->wants[i],
                                    &answer->lents[answer->n_lents]))
        answer->n_lents++;
    }
  if (answer->n_lents > 0)
    broker_send (broker, from, answer);
  g_free (answer);
}

void
broker_handle_quota (anvil_slot_broker_t *broker, const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();

  for (guint i = 0; i < message->n_lents; i++)
    anvil_quota_loans_lent (broker->quota_loans, now, (anvil_time_t) message->number,
                            &message->lents[i]);
}
