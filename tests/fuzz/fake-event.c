#include "fake-event.h"

#include "fake-work.h"

fake_event_t *
fake_event_new (fake_net_t *net, guint entry, fake_event_kind_t kind)
{
  fake_event_t *call = g_new0 (fake_event_t, 1);

  call->net = net;
  call->entry = entry;
  call->life = net->entries[entry].process_epoch;
  call->kind = kind;
  return call;
}

static void
call_due (void *context, void *data)
{
  fake_event_deliver (data);
}

void
fake_event_schedule (fake_event_t *call, anvil_time_t when)
{
  fake_clock_schedule (call->net->clock, when, call_due, NULL, call, g_free);
}

static void
deliver_tick (fake_net_t *net, guint index, anvil_time_t local)
{
  fake_entry_t *entry = &net->entries[index];

  if (entry->steer != NULL)
    anvil_steer_tick (entry->steer, local);
  if (entry->leaving && entry->steer != NULL && anvil_steer_leave_complete (entry->steer, local))
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
note_drain (fake_net_t *net, guint entry, guint upstream, gboolean listed)
{
  fake_net_record (net, (fake_record_t){ .kind = FAKE_DRAIN_OBSERVED,
                                         .entry = entry,
                                         .upstream = upstream,
                                         .from_vm_list = listed });
}

static void
note_known (fake_net_t *net, guint entry, const anvil_vm_t *vm)
{
  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].node == anvil_node (vm->address, vm->peer_port))
      net->entries[entry].discovered[i] = TRUE;
}

/* An old list may still name an upstream that has come back, which isn't news of a drain; or say of
 * one that drains again that it doesn't, which the entry has to believe after a list that said so.
 */
static void
note_listed_drain (fake_net_t *net, guint entry, const anvil_vm_t *vm)
{
  guint upstream = anvil_config_lookup_upstream (net->options.config, vm->name);

  if (!net->upstreams[upstream].leaving)
    return;
  if (vm->leaving)
    note_drain (net, entry, upstream, TRUE);
  else
    fake_net_record (net, (fake_record_t){ .kind = FAKE_DRAIN_DENIED,
                                           .entry = entry,
                                           .upstream = upstream,
                                           .from_vm_list = TRUE });
}

static void
deliver_list (fake_net_t *net, guint index, anvil_time_t local, const anvil_vm_list_t *list)
{
  for (guint i = 0; i < list->n_vms; i++)
    if (list->vms[i].kind == ANVIL_VM_ENTRY)
      note_known (net, index, &list->vms[i]);
    else
      note_listed_drain (net, index, &list->vms[i]);
  anvil_steer_update_vm_list (net->entries[index].steer, local, list);
}

static void
deliver_file (fake_net_t *net, guint index, anvil_time_t local, guint64 generation)
{
  fake_entry_t *entry = &net->entries[index];

  /* Noted first, since the core may dispatch by the new file at once. */
  if (generation > entry->generation)
    fake_net_record (
        net, (fake_record_t){ .kind = FAKE_IN_FORCE, .entry = index, .generation = generation });
  entry->generation = MAX (entry->generation, generation);
  anvil_steer_configure (entry->steer, local,
                         fake_platform_file (net->platform, generation)->config, generation);
}

static void
deliver_result (fake_net_t *net, guint index, anvil_time_t local, const fake_event_t *call)
{
  fake_entry_t *entry = &net->entries[index];

  if (!fake_work_mark_reported (net, call->attempt))
    return;
  fake_net_record (net, (fake_record_t){ .kind = FAKE_ATTEMPT_RESULT,
                                         .entry = index,
                                         .request = call->finished,
                                         .attempt = call->attempt,
                                         .result = call->result });
  if (call->result == ANVIL_ATTEMPT_DRAINING)
    note_drain (net, index, call->finished_upstream, FALSE);
  if (entry->steer != NULL)
    anvil_steer_attempt_finished (entry->steer, local, call->finished, call->result, call->bits);
  else
    net->options.policy->finished (net->options.policy_context, index, local, call->finished,
                                   call->result);
}

static void
deliver_report (fake_net_t *net, guint index, anvil_time_t local, const fake_event_t *call)
{
  fake_entry_t *entry = &net->entries[index];

  if (call->draining)
    note_drain (net, index, call->upstream, FALSE);
  else
    fake_net_record (
        net,
        (fake_record_t){ .kind = FAKE_DRAIN_DENIED, .entry = index, .upstream = call->upstream });
  if (entry->steer != NULL)
    anvil_steer_health_report (entry->steer, local, net->upstreams[call->upstream].key,
                               call->asked_at, call->running, call->healthy, call->draining);
  else
    net->options.policy->report (net->options.policy_context, index, call->upstream, call->running,
                                 call->draining);
}

static void
deliver_submit (fake_net_t *net, guint index, anvil_time_t local, fake_event_t *call)
{
  fake_entry_t *entry = &net->entries[index];

  fake_net_record (net, (fake_record_t){ .kind = FAKE_SUBMITTED,
                                         .entry = index,
                                         .request = call->request.id,
                                         .service = call->request.service,
                                         .client = call->request.client_address,
                                         .idempotent = call->request.idempotent,
                                         .deadline = fake_net_now (net) + call->request.deadline });
  call->request.deadline += local;
  if (entry->steer != NULL)
    anvil_steer_submit (entry->steer, local, &call->request);
  else
    net->options.policy->submit (net->options.policy_context, index, local, &call->request);
}

static void
deliver (fake_net_t *net, fake_event_t *call)
{
  fake_entry_t *entry = &net->entries[call->entry];
  anvil_time_t local = fake_net_local_time (entry, fake_net_now (net));

  switch (call->kind)
    {
    case FAKE_EVENT_TICK:
      deliver_tick (net, call->entry, local);
      break;
    case FAKE_EVENT_MESSAGE:
      if (!net->entries[call->sender].cut[call->entry])
        anvil_steer_receive (entry->steer, local, call->from, &call->message);
      break;
    case FAKE_EVENT_ROWS_READ:
      anvil_steer_rows_read (entry->steer, local, call->rows, FAKE_MAX_SEATS);
      break;
    case FAKE_EVENT_ROW_WRITTEN:
      anvil_steer_row_written (entry->steer, local, &call->row, call->written);
      break;
    case FAKE_EVENT_VM_LIST:
      deliver_list (net, call->entry, local, call->list);
      break;
    case FAKE_EVENT_CONFIG:
      deliver_file (net, call->entry, local, call->generation);
      break;
    case FAKE_EVENT_REQUEST:
      deliver_submit (net, call->entry, local, call);
      break;
    case FAKE_EVENT_ATTEMPT_RESULT:
      deliver_result (net, call->entry, local, call);
      break;
    case FAKE_EVENT_HEALTH_REPORT:
      deliver_report (net, call->entry, local, call);
      break;
    }
}

void
fake_event_deliver (fake_event_t *call)
{
  fake_net_t *net = call->net;
  fake_entry_t *entry = &net->entries[call->entry];

  if (!entry->alive || entry->process_epoch != call->life)
    return;
  if (entry->frozen)
    g_queue_push_tail (&entry->held_events, g_memdup2 (call, sizeof *call));
  else
    deliver (net, call);
}
