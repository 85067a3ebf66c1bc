#include "fake-event.h"

#include "fake-work.h"

fake_event_t *
fake_event_new (fake_net_t *net, guint entry, fake_event_kind_t kind)
{
  fake_event_t *event = g_new0 (fake_event_t, 1);

  event->net = net;
  event->entry = entry;
  event->process_epoch = net->entries[entry].process_epoch;
  event->kind = kind;
  return event;
}

static void
event_due (void *context, void *data)
{
  fake_event_deliver (data);
}

void
fake_event_schedule (fake_event_t *event, anvil_time_t when)
{
  fake_clock_schedule (event->net->clock, when, event_due, NULL, event, g_free);
}

static void
deliver_tick (fake_net_t *net, guint index, anvil_time_t local_now)
{
  fake_entry_t *entry = &net->entries[index];

  if (entry->steer != NULL)
    anvil_steer_tick (entry->steer, local_now);
  if (entry->leaving && entry->steer != NULL
      && anvil_steer_leave_complete (entry->steer, local_now))
    {
      fake_net_record (net, (fake_record_t){ .kind = FAKE_SHUTDOWN_FINISHED, .entry = index });
      fake_net_kill (net, index);
      return;
    }
  fake_entry_poll (net, index);
  fake_event_schedule (fake_event_new (net, index, FAKE_EVENT_TICK),
                       fake_net_now (net) + ANVIL_TICK_INTERVAL);
}

static void
record_drain (fake_net_t *net, guint entry, guint upstream, gboolean listed)
{
  fake_net_record (net, (fake_record_t){ .kind = FAKE_DRAIN_OBSERVED,
                                         .entry = entry,
                                         .upstream = upstream,
                                         .from_vm_list = listed });
}

static void
mark_discovered (fake_net_t *net, guint entry, const anvil_vm_t *vm)
{
  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].node == anvil_node (vm->address, vm->peer_port))
      net->entries[entry].discovered[i] = TRUE;
}

/* The list may be out of date. If it shows an upstream as leaving that no longer is, no drain is
 * recorded. If it shows one as not leaving that is leaving again, the entry must accept that when
 * an earlier list had reported the drain.
 */
static void
record_listed_drain (fake_net_t *net, guint entry, const anvil_vm_t *vm)
{
  guint upstream = anvil_config_lookup_upstream (net->options.config, vm->name);

  if (!net->upstreams[upstream].leaving)
    return;
  if (vm->leaving)
    record_drain (net, entry, upstream, TRUE);
  else
    fake_net_record (net, (fake_record_t){ .kind = FAKE_DRAIN_DENIED,
                                           .entry = entry,
                                           .upstream = upstream,
                                           .from_vm_list = TRUE });
}

static void
deliver_vm_list (fake_net_t *net, guint index, anvil_time_t local_now, const anvil_vm_list_t *list)
{
  for (guint i = 0; i < list->n_vms; i++)
    if (list->vms[i].kind == ANVIL_VM_ENTRY)
      mark_discovered (net, index, &list->vms[i]);
    else
      record_listed_drain (net, index, &list->vms[i]);
  anvil_steer_update_vm_list (net->entries[index].steer, local_now, list);
}

static void
deliver_config (fake_net_t *net, guint index, anvil_time_t local_now, guint64 generation)
{
  fake_entry_t *entry = &net->entries[index];

  /* Recorded first, because the core may dispatch by the new file during the call. */
  if (generation > entry->generation)
    fake_net_record (
        net, (fake_record_t){ .kind = FAKE_IN_FORCE, .entry = index, .generation = generation });
  entry->generation = MAX (entry->generation, generation);
  anvil_steer_configure (entry->steer, local_now,
                         fake_platform_file (net->platform, generation)->config, generation);
}

static void
deliver_result (fake_net_t *net, guint index, anvil_time_t local_now, const fake_event_t *event)
{
  fake_entry_t *entry = &net->entries[index];

  if (!fake_work_mark_reported (net, event->attempt))
    return;
  fake_net_record (net, (fake_record_t){ .kind = FAKE_ATTEMPT_RESULT,
                                         .entry = index,
                                         .request = event->request_id,
                                         .attempt = event->attempt,
                                         .result = event->result });
  if (event->result == ANVIL_ATTEMPT_DRAINING)
    record_drain (net, index, event->attempt_upstream, FALSE);
  if (entry->steer != NULL)
    anvil_steer_attempt_finished (entry->steer, local_now, event->request_id, event->result,
                                  event->bits);
  else
    net->options.policy->finished (net->options.policy_context, index, local_now, event->request_id,
                                   event->result);
}

static void
deliver_report (fake_net_t *net, guint index, anvil_time_t local_now, const fake_event_t *event)
{
  fake_entry_t *entry = &net->entries[index];

  if (event->draining)
    record_drain (net, index, event->upstream, FALSE);
  else
    fake_net_record (
        net,
        (fake_record_t){ .kind = FAKE_DRAIN_DENIED, .entry = index, .upstream = event->upstream });
  if (entry->steer != NULL)
    anvil_steer_health_report (entry->steer, local_now, net->upstreams[event->upstream].key,
                               event->requested_at, event->running, event->healthy,
                               event->draining);
  else
    net->options.policy->report (net->options.policy_context, index, event->upstream,
                                 event->running, event->draining);
}

static void
deliver_request (fake_net_t *net, guint index, anvil_time_t local_now, fake_event_t *event)
{
  fake_entry_t *entry = &net->entries[index];

  fake_net_record (net,
                   (fake_record_t){ .kind = FAKE_SUBMITTED,
                                    .entry = index,
                                    .request = event->request.id,
                                    .service = event->request.service,
                                    .client = event->request.client_address,
                                    .idempotent = event->request.idempotent,
                                    .deadline = fake_net_now (net) + event->request.deadline });
  event->request.deadline += local_now;
  if (entry->steer != NULL)
    anvil_steer_submit (entry->steer, local_now, &event->request);
  else
    net->options.policy->submit (net->options.policy_context, index, local_now, &event->request);
}

static void
deliver (fake_net_t *net, fake_event_t *event)
{
  fake_entry_t *entry = &net->entries[event->entry];
  anvil_time_t local_now = fake_net_local_time (entry, fake_net_now (net));

  switch (event->kind)
    {
    case FAKE_EVENT_TICK:
      deliver_tick (net, event->entry, local_now);
      break;
    case FAKE_EVENT_MESSAGE:
      if (!net->entries[event->sender_entry].cut[event->entry])
        anvil_steer_receive (entry->steer, local_now, event->sender_node, &event->message);
      break;
    case FAKE_EVENT_ROWS_READ:
      anvil_steer_rows_read (entry->steer, local_now, event->rows, FAKE_MAX_SEATS);
      break;
    case FAKE_EVENT_ROW_WRITTEN:
      anvil_steer_row_written (entry->steer, local_now, &event->row, event->row_result);
      break;
    case FAKE_EVENT_VM_LIST:
      deliver_vm_list (net, event->entry, local_now, event->list);
      break;
    case FAKE_EVENT_CONFIG:
      deliver_config (net, event->entry, local_now, event->generation);
      break;
    case FAKE_EVENT_REQUEST:
      deliver_request (net, event->entry, local_now, event);
      break;
    case FAKE_EVENT_ATTEMPT_RESULT:
      deliver_result (net, event->entry, local_now, event);
      break;
    case FAKE_EVENT_HEALTH_REPORT:
      deliver_report (net, event->entry, local_now, event);
      break;
    }
}

void
fake_event_deliver (fake_event_t *event)
{
  fake_net_t *net = event->net;
  fake_entry_t *entry = &net->entries[event->entry];

  if (!entry->alive || entry->process_epoch != event->process_epoch)
    return;
  if (entry->frozen)
    g_queue_push_tail (&entry->held_events, g_memdup2 (event, sizeof *event));
  else
    deliver (net, event);
}
