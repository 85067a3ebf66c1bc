/* Requests that came along with their slot requests; see relay/relay-forward.h. */

#include "relay/slot-broker-internal.h"

#include "anvil/log.h"

/* One in so many bytes of memory is for requests of other entries that wait for a slot. */
#define FORWARDED_DIVISOR 32
/* A response that waits behind so many bytes would arrive later than if the requester sent its
 * request itself. */
#define MAX_QUEUED_BYTES (64u << 10)

static void
forwarded_drop (gpointer data)
{
  forwarded_t *forwarded = data;

  forwarded->broker->forwarded_bytes -= forwarded->payload.length;
  g_free ((char *) forwarded->payload.data);
  g_free (forwarded);
}

GHashTable *
broker_forwarded_table_new (void)
{
  return g_hash_table_new_full (anvil_task_id_hash, anvil_task_id_equal, NULL, forwarded_drop);
}

static forwarded_t *
lookup (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  return g_hash_table_lookup (broker->forwarded, &id);
}

void
broker_remove_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  g_hash_table_remove (broker->forwarded, &id);
}

void
broker_add_forwarded (anvil_slot_broker_t *broker,
                      anvil_task_id_t id,
                      anvil_time_t deadline,
                      anvil_str_t payload)
{
  forwarded_t *forwarded;

  /* Without the payload the requester gets a grant. */
  if (broker->forwarded_bytes + payload.length > broker->settings->memory_bytes / FORWARDED_DIVISOR
      || lookup (broker, id) != NULL)
    return;
  forwarded = g_new0 (forwarded_t, 1);
  forwarded->broker = broker;
  forwarded->id = id;
  forwarded->deadline = deadline;
  forwarded->payload
      = (anvil_str_t){ .data = g_memdup2 (payload.data, payload.length), .length = payload.length };
  broker->forwarded_bytes += payload.length;
  g_hash_table_insert (broker->forwarded, &forwarded->id, forwarded);
}

gboolean
broker_is_running_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  const forwarded_t *forwarded = lookup (broker, id);

  return forwarded != NULL && forwarded->running;
}

/* Whether one of the requests is among those that an entry declines. */
static gboolean
is_declined (const anvil_member_info_t *info)
{
  return anvil_holder_refuses (info->declined_share);
}

gboolean
broker_grant_forwarded (anvil_slot_broker_t *broker,
                        anvil_task_id_t id,
                        const anvil_slot_grant_t *grant)
{
  forwarded_t *forwarded = lookup (broker, id);
  char *zone;
  const char *region;

  if (forwarded == NULL)
    return FALSE;
  zone = anvil_str_dup (grant->zone);
  region = anvil_relay_settings_region (broker->settings, zone);
  g_free (zone);
  if (g_strcmp0 (region, anvil_slot_broker_region (broker)) != 0
      || anvil_peers_queued_bytes (broker->peers, id.requester) > MAX_QUEUED_BYTES
      || is_declined (anvil_members_self (broker->members)))
    {
      broker_remove_forwarded (broker, id);
      return FALSE;
    }
  forwarded->running = TRUE;
  return TRUE;
}

void
broker_deliver_forwarded (anvil_slot_broker_t *broker,
                          anvil_task_id_t id,
                          const anvil_slot_grant_t *grant)
{
  forwarded_t *forwarded = lookup (broker, id);

  /* It was cancelled meanwhile. */
  if (forwarded == NULL)
    return;
  broker->callbacks.forwarded (broker->context, id, grant, forwarded->deadline, forwarded->payload);
}

gboolean
broker_cancel_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  const anvil_run_report_t report = { .result = ANVIL_RUN_UNUSED };
  const gboolean running = broker_is_running_forwarded (broker, id);

  broker_remove_forwarded (broker, id);
  if (!running)
    return FALSE;
  broker->callbacks.forward_cancelled (broker->context, id);
  anvil_dispatcher_run_finished (broker->dispatcher, anvil_clock_now (), id, &report);
  return TRUE;
}

void
broker_withdraw_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id)
{
  const anvil_relay_message_t answer
      = { .kind = ANVIL_RELAY_WITHDRAWN,
          .number = id.number,
          .waited = anvil_dispatcher_has_task (broker->dispatcher, id)
                    || anvil_quota_loans_waits (broker->quota_loans, id) };

  /* Its response follows. */
  if (broker_is_running_forwarded (broker, id))
    return;
  broker_remove_forwarded (broker, id);
  broker_cancel (broker, id);
  broker_send (broker, id.requester, &answer);
}

static gboolean
waits_for_requester (gpointer unused_key, gpointer value, gpointer data)
{
  const forwarded_t *forwarded = value;
  const anvil_node_t *requester = data;

  return !forwarded->running && forwarded->id.requester == *requester;
}

void
broker_remove_forwarded_of (anvil_slot_broker_t *broker, anvil_node_t requester)
{
  g_hash_table_foreach_remove (broker->forwarded, waits_for_requester, &requester);
}

void
anvil_slot_broker_decline_forwarded (anvil_slot_broker_t *broker,
                                     anvil_task_id_t id,
                                     const anvil_slot_grant_t *grant)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_GRANT, .number = id.number, .grant = *grant };

  broker_remove_forwarded (broker, id);
  broker_send (broker, id.requester, &message);
}

void
anvil_slot_broker_forwarded_finished (anvil_slot_broker_t *broker,
                                      anvil_task_id_t id,
                                      const anvil_run_report_t *report,
                                      anvil_str_t response)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_RESPONSE, .number = id.number, .rows = response };

  broker_remove_forwarded (broker, id);
  broker_send (broker, id.requester, &message);
  anvil_dispatcher_run_finished (broker->dispatcher, anvil_clock_now (), id, report);
}

gboolean
anvil_slot_broker_may_forward (anvil_slot_broker_t *broker,
                               const char *service_name,
                               const anvil_task_t *task)
{
  const service_t *service = g_hash_table_lookup (broker->services, service_name);
  const anvil_peer_t *peer;

  if (service == NULL || !service->few_local_slots || service->holder == broker->self)
    return FALSE;
  peer = anvil_members_lookup (broker->members, service->holder);
  if (peer == NULL || peer->region == NULL
      || g_strcmp0 (peer->region, anvil_slot_broker_region (broker)) == 0
      || is_declined (&peer->info))
    return FALSE;
  for (guint i = 0; i < task->n_regions; i++)
    {
      if (anvil_str_equal (task->regions[i], anvil_str (peer->region)))
        return TRUE;
    }
  return task->n_regions == 0;
}

void
anvil_slot_broker_forward (anvil_slot_broker_t *broker,
                           anvil_node_t holder,
                           const anvil_task_t *task,
                           anvil_str_t request)
{
  anvil_relay_message_t message = broker_task_message (ANVIL_RELAY_FORWARD, task);

  message.rows = request;
  broker_send (broker, holder, &message);
}
