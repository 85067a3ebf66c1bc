#include "common-group.h"

#include <string.h>

#include "anvil/codec.h"
#include "common-meter.h"

#define DELAY_IN_REGION (1 * ANVIL_MS)
#define DELAY_BETWEEN_REGIONS (35 * ANVIL_MS)
#define STORE_DELAY (40 * ANVIL_MS)
#define FIRST_NODE 0x0a000001u
#define PEER_PORT 7000
#define LENGTH_BYTES 4
/* A write that gets no answer is given up after this. */
#define STORE_TIMEOUT (2 * ANVIL_SECOND)

enum
{
  CPU_TICK,
  CPU_RECEIVE,
  CPU_PACK,
};

/* A message on its way. */
typedef struct
{
  common_core_t *to;
  anvil_node_t from;
  gsize length;
  guint8 bytes[];
} letter_t;

typedef struct
{
  common_core_t *core;
  anvil_seat_row_t row;
  anvil_row_result_t result;
} write_t;

typedef struct
{
  common_core_t *core;
  guint64 generation;
} fetch_t;

static common_core_t *
core_of_node (common_group_t *group, anvil_node_t node)
{
  guint index = anvil_node_address (node) - FIRST_NODE;

  return index < group->n_cores ? &group->cores[index] : NULL;
}

static gboolean
is_cut (const common_core_t *a, const common_core_t *b)
{
  return a->group->region_cut && (a->region == 0) != (b->region == 0);
}

static anvil_time_t
delay_between (const common_core_t *a, const common_core_t *b)
{
  return a->region == b->region ? DELAY_IN_REGION : DELAY_BETWEEN_REGIONS;
}

static void
letter_arrives (void *context, void *data)
{
  letter_t *letter = data;
  common_group_t *group = letter->to->group;
  anvil_frame_t frame;
  gint64 before = common_meter_cpu ();

  if (!letter->to->alive)
    return;
  g_assert (anvil_frame_unpack (
      (anvil_str_t){ .data = (const char *) letter->bytes, .length = letter->length }, &frame,
      NULL));
  anvil_steer_receive (letter->to->steer, fake_clock_now (group->clock), letter->from,
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
  letter_t *letter;

  g_byte_array_set_size (group->frame, 0);
  anvil_frame_pack (&frame, group->frame);
  group->traffic.cpu_ns[CPU_PACK] += common_meter_cpu () - before;
  group->traffic.messages[message->kind]++;
  group->traffic.bytes[message->kind] += group->frame->len + LENGTH_BYTES;
  if (receiver == NULL || is_cut (core, receiver))
    return;

  letter = g_malloc (sizeof *letter + group->frame->len);
  letter->to = receiver;
  letter->from = core->node;
  letter->length = group->frame->len;
  memcpy (letter->bytes, group->frame->data, group->frame->len);
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + delay_between (core, receiver),
                       letter_arrives, NULL, letter, g_free);
}

static void
rows_arrive (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;

  if (core->alive)
    anvil_steer_rows_read (core->steer, fake_clock_now (group->clock), group->rows, group->n_rows);
}

static void
group_read_rows (void *context)
{
  common_core_t *core = context;
  common_group_t *group = core->group;

  group->traffic.row_reads++;
  if (group->store_away)
    return;
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + STORE_DELAY, rows_arrive, core,
                       NULL, NULL);
}

static void
write_answered (void *context, void *data)
{
  write_t *write = data;

  if (write->core->alive)
    anvil_steer_row_written (write->core->steer, fake_clock_now (write->core->group->clock),
                             &write->row, write->result);
}

static void
group_write_row (void *context, const anvil_seat_row_t *next)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  write_t *write = g_new0 (write_t, 1);
  anvil_seat_row_t *row = &group->rows[next->seat];
  anvil_time_t delay = group->store_away ? STORE_TIMEOUT : STORE_DELAY;

  group->traffic.row_writes++;
  write->core = core;
  write->row = *next;
  write->result = row->epoch == next->epoch - 1 ? ANVIL_ROW_WRITTEN : ANVIL_ROW_CONFLICT;
  if (group->store_away)
    write->result = ANVIL_ROW_UNKNOWN;
  if (write->result == ANVIL_ROW_WRITTEN)
    *row = *next;
  fake_clock_schedule (group->clock, fake_clock_now (group->clock) + delay, write_answered, NULL,
                       write, g_free);
}

static void
fetch_arrives (void *context, void *data)
{
  fetch_t *fetch = data;
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
  fetch_t *fetch;

  if (holder == NULL || !holder->alive || is_cut (core, holder))
    return;
  group->traffic.fetches++;
  fetch = g_new0 (fetch_t, 1);
  fetch->core = core;
  fetch->generation = generation;
  fake_clock_schedule (group->clock,
                       fake_clock_now (group->clock) + 2 * delay_between (core, holder),
                       fetch_arrives, NULL, fetch, g_free);
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
on_refuse (void *context, guint64 request, anvil_refusal_reason_t why, anvil_time_t retry_after)
{
}

static const anvil_steer_callbacks_t group_actions = {
  .send = on_send,
  .read_rows = group_read_rows,
  .write_row = group_write_row,
  .dispatch = on_dispatch,
  .finish = on_finish,
  .refuse = on_refuse,
  .fetch_config = on_fetch_config,
};

static void
core_ticks (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  anvil_time_t now = fake_clock_now (group->clock);
  gint64 packing = group->traffic.cpu_ns[CPU_PACK];
  gint64 before = common_meter_cpu ();

  if (!core->alive)
    return;
  anvil_steer_tick (core->steer, now);
  group->traffic.cpu_ns[CPU_TICK]
      += common_meter_cpu () - before - (group->traffic.cpu_ns[CPU_PACK] - packing);
  fake_clock_schedule (group->clock, now + ANVIL_TICK_INTERVAL, core_ticks, core, NULL, NULL);
}

static void
list_all (common_group_t *group, anvil_vm_list_t *list)
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
core_starts (void *context, void *data)
{
  common_core_t *core = context;
  common_group_t *group = core->group;
  anvil_time_t now = fake_clock_now (group->clock);
  anvil_vm_list_t list;

  core->alive = TRUE;
  anvil_steer_configure (core->steer, now, group->config, group->generation);
  list_all (group, &list);
  anvil_steer_update_vm_list (core->steer, now, &list);
  g_free (list.vms);
  core_ticks (core, NULL);
}

static void
new_steer (common_core_t *core, guint32 seed)
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

  core->steer = anvil_steer_new (&options, &group_actions, core);
}

static void
add_core (common_group_t *group, guint index, GRand *rand)
{
  common_core_t *core = &group->cores[index];

  core->group = group;
  core->node = anvil_node (FIRST_NODE + index, PEER_PORT);
  core->zone = group->config->seats[index].zone;
  core->region = group->config->zones[core->zone].region;
  new_steer (core, g_rand_int (rand));
  fake_clock_schedule (group->clock, g_rand_int_range (rand, 0, ANVIL_SECOND), core_starts, core,
                       NULL, NULL);
}

common_group_t *
common_group_new (const common_file_size_t *size, guint32 seed)
{
  common_group_t *group = g_new0 (common_group_t, 1);
  GRand *rand = g_rand_new_with_seed (seed);

  group->clock = fake_clock_new ();
  group->config = common_file_load (size);
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
common_group_usable (const common_group_t *group)
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
knows (const common_core_t *core, anvil_node_t node, gboolean dead, anvil_member_t *members)
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
common_group_known (const common_group_t *group, anvil_node_t node, gboolean dead)
{
  anvil_member_t *members = g_new (anvil_member_t, group->n_cores);
  guint known = 0;

  for (guint i = 0; i < group->n_cores; i++)
    {
      if (group->cores[i].alive && knows (&group->cores[i], node, dead, members))
        known++;
    }
  g_free (members);
  return known;
}

guint
common_group_known_by (const common_group_t *group, guint core)
{
  anvil_member_t *members = g_new (anvil_member_t, group->n_cores);
  guint n = anvil_steer_members (group->cores[core].steer, members, group->n_cores);
  guint known = 0;

  for (guint i = 0; i < n; i++)
    known += members[i].state == ANVIL_MEMBER_ALIVE && members[i].incarnation != 0 ? 1 : 0;
  g_free (members);
  return known;
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
  new_steer (core, index);
  core_starts (core, NULL);
}
