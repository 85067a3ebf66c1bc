/* Simulates the daemon around a decision core: runs the core's callbacks and polls the platform and
 * the upstreams. */

#include "fake-event.h"

/* Ticks between two polls of the platform, or of one upstream. */
#define POLL_TICKS 20

static fake_net_t *
context_net (void *context)
{
  return ((fake_entry_context_t *) context)->net;
}

static guint
context_entry (void *context)
{
  return ((fake_entry_context_t *) context)->entry;
}

static gboolean
random_chance (fake_net_t *net, guint per_mille)
{
  return g_rand_int_range (net->random, 0, 1000) < (gint) per_mille;
}

static void
send_copy (fake_net_t *net, guint from, guint to, const anvil_message_t *message)
{
  fake_event_t *event = fake_event_new (net, to, FAKE_EVENT_MESSAGE);
  anvil_time_t delay = fake_net_one_way_delay (net, net->entries[from].zone, net->entries[to].zone);

  if (net->max_extra_delay > 0)
    delay += g_rand_int_range (net->random, 0, (gint32) net->max_extra_delay);
  event->sender_node = net->entries[from].node;
  event->sender_entry = from;
  event->message = *message;
  fake_event_schedule (event, fake_net_now (net) + delay);
}

static void
entry_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
  fake_net_t *net = context_net (context);
  guint from = context_entry (context);

  for (guint i = 0; i < net->n_entries; i++)
    {
      if (net->entries[i].node != to || !net->entries[i].alive || net->entries[from].cut[i])
        continue;
      if (random_chance (net, net->loss_per_mille))
        return;
      send_copy (net, from, i, message);
      if (random_chance (net, net->duplicate_per_mille))
        send_copy (net, from, i, message);
    }
}

static anvil_time_t
store_delay (const fake_net_t *net, guint entry)
{
  anvil_time_t delay
      = fake_net_one_way_delay (net, net->entries[entry].zone, 0) + FAKE_PLATFORM_DELAY;

  return net->platform->slow ? delay + FAKE_PLATFORM_SLOW : delay;
}

static gboolean
store_unavailable (const fake_net_t *net, guint entry)
{
  return net->platform->down || net->entries[entry].store_cut;
}

static void
entry_read_rows (void *context)
{
  fake_net_t *net = context_net (context);
  guint entry = context_entry (context);
  fake_event_t *event;

  if (store_unavailable (net, entry) || net->platform->slow)
    return;
  event = fake_event_new (net, entry, FAKE_EVENT_ROWS_READ);
  for (guint i = 0; i < FAKE_MAX_SEATS; i++)
    event->rows[i] = net->platform->rows[i];
  fake_event_schedule (event, fake_net_now (net) + 2 * store_delay (net, entry));
}

static void
schedule_row_result (const fake_event_t *write, anvil_row_result_t result, anvil_time_t when)
{
  fake_event_t *response = g_memdup2 (write, sizeof *write);

  response->row_result = result;
  fake_event_schedule (response, when);
}

/* The write reaches the platform. It takes effect even if the entry that sent it has died. */
static void
row_write_received (void *context, void *data)
{
  const fake_event_t *write = data;
  fake_net_t *net = write->net;
  anvil_row_result_t result = ANVIL_ROW_UNKNOWN;
  anvil_time_t response_delay = FAKE_PLATFORM_TIMEOUT;

  if (!store_unavailable (net, write->entry))
    {
      result = fake_platform_write_row (net->platform, &write->row);
      if (result != ANVIL_ROW_UNKNOWN)
        response_delay = store_delay (net, write->entry);
    }
  if (!write->timed_out)
    schedule_row_result (write, result, fake_net_now (net) + response_delay);
}

static void
entry_write_row (void *context, const anvil_seat_row_t *next)
{
  fake_net_t *net = context_net (context);
  guint entry = context_entry (context);
  anvil_time_t now = fake_net_now (net);
  fake_event_t *write = fake_event_new (net, entry, FAKE_EVENT_ROW_WRITTEN);

  write->row = *next;
  write->timed_out = net->platform->slow;
  if (write->timed_out)
    schedule_row_result (write, ANVIL_ROW_UNKNOWN, now + FAKE_PLATFORM_TIMEOUT);
  fake_clock_schedule (net->clock, now + store_delay (net, entry), row_write_received, NULL, write,
                       g_free);
}

static void
entry_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  fake_net_dispatch (context_net (context), context_entry (context), request, dispatch);
}

static void
entry_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
  fake_net_finish (context_net (context), context_entry (context), request, result);
}

static void
entry_refuse (void *context,
              guint64 request,
              anvil_refusal_reason_t reason,
              anvil_time_t retry_after)
{
  fake_net_refuse (context_net (context), context_entry (context), request, reason);
}

static void
schedule_config_fetch (fake_net_t *net, guint entry, guint64 generation, anvil_time_t when)
{
  fake_event_t *event;

  if (net->entries[entry].files_cut)
    return;
  event = fake_event_new (net, entry, FAKE_EVENT_CONFIG);
  event->generation = generation;
  fake_event_schedule (event, when);
}

static void
entry_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
  fake_net_t *net = context_net (context);
  guint entry = context_entry (context);

  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].node == peer && fake_net_connected (net, entry, i)
        && net->entries[i].generation >= generation)
      schedule_config_fetch (
          net, entry, net->entries[i].generation,
          fake_net_now (net)
              + 2 * fake_net_one_way_delay (net, net->entries[entry].zone, net->entries[i].zone));
}

const anvil_steer_callbacks_t fake_entry_callbacks = {
  .send = entry_send,
  .read_rows = entry_read_rows,
  .write_row = entry_write_row,
  .dispatch = entry_dispatch,
  .finish = entry_finish,
  .refuse = entry_refuse,
  .fetch_config = entry_fetch_config,
};

static void
poll_platform (fake_net_t *net, guint entry)
{
  anvil_time_t when = fake_net_now (net) + 2 * store_delay (net, entry);
  fake_event_t *event;

  if (store_unavailable (net, entry) || net->platform->slow)
    return;
  event = fake_event_new (net, entry, FAKE_EVENT_VM_LIST);
  event->list = fake_platform_vm_list (net->platform, fake_net_now (net));
  fake_event_schedule (event, when);
  if (fake_platform_newest_generation (net->platform) > net->entries[entry].generation)
    schedule_config_fetch (net, entry, fake_platform_newest_generation (net->platform), when);
}

/* The load endpoint responds with its last measurement; frozen reports are not updated. */
static void
poll_upstream (fake_net_t *net, guint entry, fake_upstream_t *upstream)
{
  fake_event_t *event;

  if (upstream->down || net->entries[entry].reports_cut)
    return;
  if (!net->reports_frozen)
    {
      upstream->reported_load = upstream->running + upstream->waiting.length;
      upstream->reported_draining = upstream->draining;
    }
  event = fake_event_new (net, entry, FAKE_EVENT_HEALTH_REPORT);
  event->upstream = upstream->index;
  event->requested_at = fake_net_local_time (&net->entries[entry], fake_net_now (net));
  event->running = net->reports_show_idle ? 0 : upstream->reported_load;
  event->healthy = TRUE;
  event->draining = upstream->reported_draining;
  fake_event_schedule (
      event, fake_net_now (net)
                 + 2 * fake_net_one_way_delay (net, net->entries[entry].zone, upstream->zone));
}

void
fake_entry_poll (fake_net_t *net, guint entry)
{
  guint tick = net->entries[entry].ticks++;

  if (net->entries[entry].steer != NULL && tick % POLL_TICKS == 0)
    poll_platform (net, entry);
  /* Without a configuration file the entry knows of no upstreams. */
  if (net->entries[entry].steer != NULL && net->entries[entry].generation == 0)
    return;
  for (guint i = tick % POLL_TICKS; i < net->n_upstreams; i += POLL_TICKS)
    poll_upstream (net, entry, &net->upstreams[i]);
}
