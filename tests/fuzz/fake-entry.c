/* What an entry's daemon does around its core: carries its actions out and polls for news. */

#include "fake-event.h"

/* Ticks between two polls of the platform, or of one upstream. */
#define POLL_TICKS 20

static fake_net_t *
net_of (void *context)
{
  return ((fake_entry_context_t *) context)->net;
}

static guint
entry_of (void *context)
{
  return ((fake_entry_context_t *) context)->entry;
}

static gboolean
drawn (fake_net_t *net, guint per_mille)
{
  return g_rand_int_range (net->random, 0, 1000) < (gint) per_mille;
}

static void
post (fake_net_t *net, guint from, guint to, const anvil_message_t *message)
{
  fake_event_t *call = fake_event_new (net, to, FAKE_EVENT_MESSAGE);
  anvil_time_t delay = fake_net_one_way_delay (net, net->entries[from].zone, net->entries[to].zone);

  if (net->max_extra_delay > 0)
    delay += g_rand_int_range (net->random, 0, (gint32) net->max_extra_delay);
  call->from = net->entries[from].node;
  call->sender = from;
  call->message = *message;
  fake_event_schedule (call, fake_net_now (net) + delay);
}

static void
entry_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
  fake_net_t *net = net_of (context);
  guint from = entry_of (context);

  for (guint i = 0; i < net->n_entries; i++)
    {
      if (net->entries[i].node != to || !net->entries[i].alive || net->entries[from].cut[i])
        continue;
      if (drawn (net, net->loss_per_mille))
        return;
      post (net, from, i, message);
      if (drawn (net, net->duplicate_per_mille))
        post (net, from, i, message);
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
store_away (const fake_net_t *net, guint entry)
{
  return net->platform->down || net->entries[entry].store_cut;
}

static void
entry_read_rows (void *context)
{
  fake_net_t *net = net_of (context);
  guint entry = entry_of (context);
  fake_event_t *call;

  if (store_away (net, entry) || net->platform->slow)
    return;
  call = fake_event_new (net, entry, FAKE_EVENT_ROWS_READ);
  for (guint i = 0; i < FAKE_MAX_SEATS; i++)
    call->rows[i] = net->platform->rows[i];
  fake_event_schedule (call, fake_net_now (net) + 2 * store_delay (net, entry));
}

static void
answer_row_write (const fake_event_t *write, anvil_row_result_t written, anvil_time_t when)
{
  fake_event_t *answer = g_memdup2 (write, sizeof *write);

  answer->written = written;
  fake_event_schedule (answer, when);
}

/* A write on its way to the platform; it takes effect even if its sender has died. */
static void
row_arrives (void *context, void *data)
{
  const fake_event_t *write = data;
  fake_net_t *net = write->net;
  anvil_row_result_t written = ANVIL_ROW_UNKNOWN;
  anvil_time_t wait = FAKE_PLATFORM_TIMEOUT;

  if (!store_away (net, write->entry))
    {
      written = fake_platform_write_row (net->platform, &write->row);
      if (written != ANVIL_ROW_UNKNOWN)
        wait = store_delay (net, write->entry);
    }
  if (!write->given_up)
    answer_row_write (write, written, fake_net_now (net) + wait);
}

static void
entry_write_row (void *context, const anvil_seat_row_t *next)
{
  fake_net_t *net = net_of (context);
  guint entry = entry_of (context);
  anvil_time_t now = fake_net_now (net);
  fake_event_t *write = fake_event_new (net, entry, FAKE_EVENT_ROW_WRITTEN);

  write->row = *next;
  write->given_up = net->platform->slow;
  if (write->given_up)
    answer_row_write (write, ANVIL_ROW_UNKNOWN, now + FAKE_PLATFORM_TIMEOUT);
  fake_clock_schedule (net->clock, now + store_delay (net, entry), row_arrives, NULL, write,
                       g_free);
}

static void
entry_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  fake_net_dispatch (net_of (context), entry_of (context), request, dispatch);
}

static void
entry_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
  fake_net_finish (net_of (context), entry_of (context), request, result);
}

static void
entry_refuse (void *context, guint64 request, anvil_refusal_reason_t why, anvil_time_t retry_after)
{
  fake_net_refuse (net_of (context), entry_of (context), request, why);
}

static void
fetch_later (fake_net_t *net, guint entry, guint64 generation, anvil_time_t when)
{
  fake_event_t *call;

  if (net->entries[entry].files_cut)
    return;
  call = fake_event_new (net, entry, FAKE_EVENT_CONFIG);
  call->generation = generation;
  fake_event_schedule (call, when);
}

static void
entry_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
  fake_net_t *net = net_of (context);
  guint entry = entry_of (context);

  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].node == peer && fake_net_connected (net, entry, i)
        && net->entries[i].generation >= generation)
      fetch_later (
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
  fake_event_t *call;

  if (store_away (net, entry) || net->platform->slow)
    return;
  call = fake_event_new (net, entry, FAKE_EVENT_VM_LIST);
  call->list = fake_platform_vm_list (net->platform, fake_net_now (net));
  fake_event_schedule (call, when);
  if (fake_platform_newest_generation (net->platform) > net->entries[entry].generation)
    fetch_later (net, entry, fake_platform_newest_generation (net->platform), when);
}

/* The load endpoint answers from its last measurement; a frozen one keeps the same answer. */
static void
poll_upstream (fake_net_t *net, guint entry, fake_upstream_t *upstream)
{
  fake_event_t *call;

  if (upstream->down || net->entries[entry].reports_cut)
    return;
  if (!net->reports_frozen)
    {
      upstream->reported_load = upstream->running + upstream->waiting.length;
      upstream->reported_draining = upstream->draining;
    }
  call = fake_event_new (net, entry, FAKE_EVENT_HEALTH_REPORT);
  call->upstream = upstream->index;
  call->asked_at = fake_net_local_time (&net->entries[entry], fake_net_now (net));
  call->running = net->reports_show_idle ? 0 : upstream->reported_load;
  call->healthy = TRUE;
  call->draining = upstream->reported_draining;
  fake_event_schedule (
      call, fake_net_now (net)
                + 2 * fake_net_one_way_delay (net, net->entries[entry].zone, upstream->zone));
}

void
fake_entry_poll (fake_net_t *net, guint entry)
{
  guint tick = net->entries[entry].ticks++;

  if (net->entries[entry].steer != NULL && tick % POLL_TICKS == 0)
    poll_platform (net, entry);
  /* Without a file it knows of no upstreams. */
  if (net->entries[entry].steer != NULL && net->entries[entry].generation == 0)
    return;
  for (guint i = tick % POLL_TICKS; i < net->n_upstreams; i += POLL_TICKS)
    poll_upstream (net, entry, &net->upstreams[i]);
}
