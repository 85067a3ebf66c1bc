#include "common-group.h"

#include <string.h>

#include "anvil/codec.h"
#include "common-meter.h"

#define REGION_DELAY (1 * ANVIL_MS)
#define LINK_DELAY (35 * ANVIL_MS)
#define STORE_DELAY (40 * ANVIL_MS)
#define FIRST_NODE 0x0a000001u
#define PEER_PORT 7000
#define LENGTH_BYTES 4
/* Time after which an unanswered write is reported as unknown. */
#define STORE_TIMEOUT (2 * ANVIL_SECOND)

enum
{
  CPU_TICK,
  CPU_RECEIVE,
  CPU_PACK,
};

typedef struct
{
  common_core_t *to;
  anvil_node_t from;
  gsize length;
  guint8 bytes[];
} message_in_flight_t;

typedef struct
{
  common_core_t *core;
  anvil_seat_row_t row;
  anvil_row_result_t result;
} pending_write_t;

typedef struct
{
  common_core_t *core;
  guint64 generation;
} pending_fetch_t;

static common_core_t *
core_of_node (common_group_t *group, anvil_node_t node)
{
  guint index = anvil_node_address (node) - FIRST_NODE;

  return index < group->n_cores ? &group->cores[index] : NULL;
}

static gboolean
is_partitioned (const common_core_t *a, const common_core_t *b)
{
  return a->group->region_partitioned && (a->region == 0) != (b->region == 0);
}

static anvil_time_t
delay_between (const common_core_t *a, const common_core_t *b)
{
  return a->region == b->region ? REGION_DELAY : LINK_DELAY;
}

static void
deliver_message (void *context, void *data)
{
  message_in_flight_t *in_flight = data;
  common_group_t *group = in_flight->to->group;
  anvil_frame_t frame;
  gint64 before = common_meter_cpu ();

  if (!in_flight->to->alive)
    return;
  g_assert (anvil_frame_unpack (
      (anvil_str_t){ .data = (const char *) in_flight->bytes, .length = in_flight->length }, &frame,
      NULL));
  anvil_steer_receive (in_flight->to->steer, fake_clock_now (group->clock), in_flight->from,
                       &frame.message);
  group->traffic.cpu_ns[CPU_RECEIVE] += common_meter_cpu () - before;
}

static void
on_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  common_core_t *receiver = core_of_node (group, to);
  const anvil_frame_t frame = { .kind = ANVIL_FRAME_MESSAGE, .message = *message };
  gint64 before = common_meter_cpu ();
  message_in_flight_t *in_flight;

  g_byte_array_set_size (group->frame, 0);
  anvil_frame_pack (&frame, group->frame);
  group->traffic.cpu_ns[CPU_PACK] += common_meter_cpu () - before;
  group->traffic.messages[message->kind]++;
  group->traffic.bytes[message->kind] += group->frame->len + LENGTH_BYTES;
  if (receiver == NULL || is_partitioned (core, receiver))
    return;

  in_flight = g_malloc (sizeof *in_flight + group->frame->len);
  in_flight->to = receiver;
  in_flight->from = core->node;
  in_flight->length = group->frame->len;
  memcpy (in_flight->bytes, group->frame->data, group->frame->len);
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + delay_between (core, receiver),
                       deliver_message, NULL, in_flight, g_free);
}

static void
deliver_rows (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;

  if (core->alive)
    anvil_steer_rows_read (core->steer, fake_clock_now (group->clock), group->rows, group->n_rows);
}

static void
on_read_rows (void *context)
{
  common_core_t *core = context;
  common_group_t *group = core->group;

  group->traffic.row_reads++;
  if (group->store_down)
    return;
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + STORE_DELAY, deliver_rows,
                       core, NULL, NULL);
}

static void
deliver_write_result (void *context, void *data)
{
  pending_write_t *write = data;

  if (write->core->alive)
    anvil_steer_row_written (write->core->steer, fake_clock_now (write->core->group->clock),
                             &write->row, write->result);
}

static void
on_write_row (void *context, const anvil_seat_row_t *next)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  pending_write_t *write = g_new0 (pending_write_t, 1);
  anvil_seat_row_t *row = &group->rows[next->seat];
  anvil_time_t delay = group->store_down ? STORE_TIMEOUT : STORE_DELAY;

  group->traffic.row_writes++;
  write->core = core;
  write->row = *next;
  write->result = row->epoch == next->epoch - 1 ? ANVIL_ROW_WRITTEN : ANVIL_ROW_CONFLICT;
  if (group->store_down)
    write->result = ANVIL_ROW_UNKNOWN;
  if (write->result == ANVIL_ROW_WRITTEN)
    *row = *next;
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + delay, deliver_write_result,
                       NULL, write, g_free);
}

static void
deliver_config (void *context, void *data)
{
  pending_fetch_t *fetch = data;
  common_group_t *group = fetch->core->group;

  if (fetch->core->alive && anvil_steer_generation (fetch->core->steer) < fetch->generation)
    anvil_steer_configure (fetch->core->steer, fake_clock_now (group->clock), group->config,
                           fetch->generation);
}

static void
on_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  common_core_t *holder = core_of_node (group, peer);
  pending_fetch_t *fetch;

  if (holder == NULL || !holder->alive || is_partitioned (core, holder))
    return;
  group->traffic.config_fetches++;
  fetch = g_new0 (pending_fetch_t, 1);
  fetch->core = core;
  fetch->generation = generation;
  fake_clock_schedule (group->clock,
                       fake_clock_now (group->clock) + 2 * delay_between (core, holder),
                       deliver_config, NULL, fetch, g_free);
}

static void
on_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
}

static void
on_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
}

static void
on_refuse (void *context, guint64 request, anvil_refusal_reason_t reason, anvil_time_t retry_after)
{
}

static const anvil_steer_callbacks_t callbacks = {
  .send = on_send,
  .read_rows = on_read_rows,
  .write_row = on_write_row,
  .dispatch = on_dispatch,
  .finish = on_finish,
  .refuse = on_refuse,
  .fetch_config = on_fetch_config,
};

static void
tick_core (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  anvil_time_t now = fake_clock_now (group->clock);
  gint64 pack_ns_before = group->traffic.cpu_ns[CPU_PACK];
  gint64 before = common_meter_cpu ();

  if (!core->alive)
    return;
  anvil_steer_tick (core->steer, now);
  group->traffic.cpu_ns[CPU_TICK]
      += common_meter_cpu () - before - (group->traffic.cpu_ns[CPU_PACK] - pack_ns_before);
  fake_clock_schedule (group->clock, now + ANVIL_TICK_INTERVAL, tick_core, core, NULL, NULL);
}

static void
make_vm_list (common_group_t *group, anvil_vm_list_t *list)
{
  list->version = 1;
  list->n_vms = group->n_cores;
  list->vms = g_new0 (anvil_vm_t, group->n_cores);
  for (guint i = 0; i < group->n_cores; i++)
    list->vms[i] = (anvil_vm_t){
      .kind = ANVIL_VM_ENTRY,
      .zone = group->config->zones[group->cores[i].zone].name,
      .address = anvil_node_address (group->cores[i].node),
      .peer_port = PEER_PORT,
      .caller_port = PEER_PORT + 1,
      .admin_port = PEER_PORT + 2,
    };
}

static void
start_core (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  anvil_time_t now = fake_clock_now (group->clock);
  anvil_vm_list_t list;

  core->alive = TRUE;
  anvil_steer_configure (core->steer, now, group->config, group->generation);
  make_vm_list (group, &list);
  anvil_steer_update_vm_list (core->steer, now, &list);
  g_free (list.vms);
  tick_core (core, NULL);
}

static void
create_steer (common_core_t *core, guint32 seed)
{
  const anvil_config_t *config = core->group->config;
  const anvil_steer_options_t options = {
    .node = core->node,
    .incarnation = ++core->incarnation,
    .zone = config->zones[core->zone].name,
    .caller_port = PEER_PORT + 1,
    .admin_port = PEER_PORT + 2,
    .seed = seed,
  };

  core->steer = anvil_steer_new (&options, &callbacks, core);
}

static void
add_core (common_group_t *group, guint index, GRand *rand)
{
  common_core_t *core = &group->cores[index];

  core->group = group;
  core->node = anvil_node (FIRST_NODE + index, PEER_PORT);
  core->zone = group->config->seats[index].zone;
  core->region = group->config->zones[core->zone].region;
  create_steer (core, g_rand_int (rand));
  fake_clock_schedule (group->clock, g_rand_int_range (rand, 0, ANVIL_SECOND), start_core, core,
                       NULL, NULL);
}

common_group_t *
common_group_new (const common_config_size_t *size, guint32 seed)
{
  common_group_t *group = g_new0 (common_group_t, 1);
  GRand *rand = g_rand_new_with_seed (seed);

  group->clock = fake_clock_new ();
  group->config = common_config_load (size);
  group->generation = 1;
  group->frame = g_byte_array_new ();
  group->n_rows = group->config->n_seats;
  group->rows = g_new0 (anvil_seat_row_t, group->n_rows);
  group->n_cores = group->config->n_seats;
  group->cores = g_new0 (common_core_t, group->n_cores);
  for (guint i = 0; i < group->n_rows; i++)
    group->rows[i].seat = (guint16) i;
  for (guint i = 0; i < group->n_cores; i++)
    add_core (group, i, rand);
  g_rand_free (rand);
  return group;
}

void
common_group_drop (common_group_t *group)
{
  fake_clock_drop (group->clock);
  for (guint i = 0; i < group->n_cores; i++)
    anvil_steer_drop (group->cores[i].steer);
  anvil_config_drop (group->config);
  g_byte_array_unref (group->frame);
  g_free (group->rows);
  g_free (group->cores);
  g_free (group);
}

void
common_group_advance (common_group_t *group, anvil_time_t duration)
{
  fake_clock_advance (group->clock, fake_clock_now (group->clock) + duration);
}

guint
common_group_count_usable_seats (const common_group_t *group)
{
  anvil_time_t now = fake_clock_now (group->clock);
  guint usable = 0;

  for (guint seat = 0; seat < group->n_rows; seat++)
    {
      gboolean used = FALSE;

      for (guint i = 0; i < group->n_cores && !used; i++)
        {
          anvil_seat_status_t status = { 0 };

          used = group->cores[i].alive
                 && anvil_steer_seat_status (group->cores[i].steer, now, seat, &status)
                 && status.usable;
        }
      usable += used ? 1 : 0;
    }
  return usable;
}

static gboolean
observes (const common_core_t *core, anvil_node_t node, gboolean dead, anvil_member_t *members)
{
  guint n = anvil_steer_members (core->steer, members, core->group->n_cores);

  for (guint i = 0; i < n; i++)
    {
      if (members[i].node == node)
        return dead ? members[i].state == ANVIL_MEMBER_DEAD
                    : members[i].state == ANVIL_MEMBER_ALIVE && members[i].incarnation != 0;
    }
  return dead;
}

guint
common_group_count_observers (const common_group_t *group, anvil_node_t node, gboolean dead)
{
  anvil_member_t *members = g_new (anvil_member_t, group->n_cores);
  guint n_found = 0;

  for (guint i = 0; i < group->n_cores; i++)
    {
      if (group->cores[i].alive && observes (&group->cores[i], node, dead, members))
        n_found++;
    }
  g_free (members);
  return n_found;
}

guint
common_group_count_visible (const common_group_t *group, guint core)
{
  anvil_member_t *members = g_new (anvil_member_t, group->n_cores);
  guint n = anvil_steer_members (group->cores[core].steer, members, group->n_cores);
  guint n_found = 0;

  for (guint i = 0; i < n; i++)
    n_found += members[i].state == ANVIL_MEMBER_ALIVE && members[i].incarnation != 0 ? 1 : 0;
  g_free (members);
  return n_found;
}

void
common_group_kill (common_group_t *group, guint core)
{
  group->cores[core].alive = FALSE;
}

void
common_group_restart (common_group_t *group, guint index)
{
  common_core_t *core = &group->cores[index];

  anvil_steer_drop (core->steer);
  create_steer (core, index);
  start_core (core, NULL);
}
