/* Operations and faults of a history. */

#include "world.h"

#include <string.h>

#define N_ENTRIES 6
#define CLOCK_PPM 200
#define REQUEST_BITS_PER_KB 8192
#define CLIENT_NETWORK 0x7f020000u
#define SHORT_STEP (4 * ANVIL_MS)
#define LONG_STEP (40 * ANVIL_MS)
#define LAG_STEP (50 * ANVIL_MS)
#define UPLOAD_STEP_BITS ((gint64) 100 * REQUEST_BITS_PER_KB)

typedef void (*operation_cb_t) (fake_net_t *net, const world_op_t *op);

typedef struct
{
  const char *name;
  guint weight;
  operation_cb_t run;
} operation_t;

static void
step_advance (fake_net_t *net, const world_op_t *op)
{
  fake_net_advance (net, (1 + op->a) * SHORT_STEP);
}

static void
step_advance_long (fake_net_t *net, const world_op_t *op)
{
  fake_net_advance (net, (1 + op->a) * LONG_STEP);
}

static guint
entry_of (const fake_net_t *net, guint8 argument)
{
  return argument % net->n_entries;
}

static fake_upstream_t *
upstream_of (const fake_net_t *net, guint8 argument)
{
  return &net->upstreams[argument % net->n_upstreams];
}

static void
submit_one (fake_net_t *net, guint entry, guint service, guint8 detail)
{
  const anvil_service_t *service_config = &net->options.config->services[service];
  anvil_request_t request
      = { .service = service,
          .client_address = CLIENT_NETWORK + ((1 + (guint32) detail % 3) << 8) + detail,
          .idempotent = service_config->idempotent,
          .deadline = service_config->deadline >> (detail / 64),
          .request_bits = service_config->request_bits,
          .affinity = detail % 7u };

  if (service_config->request_bits > UPLOAD_STEP_BITS)
    request.request_bits = (gint64) (1 + detail % 16u) * UPLOAD_STEP_BITS;
  fake_net_submit (net, entry, request);
}

static void
step_submit (fake_net_t *net, const world_op_t *op)
{
  submit_one (net, entry_of (net, op->a), op->b % net->options.config->n_services, op->c);
}

static void
step_burst (fake_net_t *net, const world_op_t *op)
{
  for (guint i = 0; i < 12; i++)
    submit_one (net, entry_of (net, op->a), op->b % net->options.config->n_services,
                (guint8) (op->c + 37 * i));
}

static void
step_crowd (fake_net_t *net, const world_op_t *op)
{
  for (guint i = 0; i < 4 * net->n_entries; i++)
    submit_one (net, i % net->n_entries, op->b % net->options.config->n_services,
                (guint8) (op->c + 37 * i));
}

static void
step_kill (fake_net_t *net, const world_op_t *op)
{
  fake_net_kill (net, entry_of (net, op->a));
}

static void
step_restart (fake_net_t *net, const world_op_t *op)
{
  fake_net_restart (net, entry_of (net, op->a));
}

static void
step_replace (fake_net_t *net, const world_op_t *op)
{
  fake_net_replace (net, entry_of (net, op->a));
}

static void
step_leave (fake_net_t *net, const world_op_t *op)
{
  fake_net_leave (net, entry_of (net, op->a));
}

static void
step_freeze (fake_net_t *net, const world_op_t *op)
{
  fake_net_freeze (net, entry_of (net, op->a));
}

static void
step_wake (fake_net_t *net, const world_op_t *op)
{
  for (guint i = 0; i < net->n_entries; i++)
    fake_net_unfreeze (net, i);
}

static void
step_cut_one_way (fake_net_t *net, const world_op_t *op)
{
  net->entries[entry_of (net, op->a)].cut[entry_of (net, op->b)] = TRUE;
}

static void
cut_both (fake_net_t *net, guint a, guint b)
{
  net->entries[a].cut[b] = TRUE;
  net->entries[b].cut[a] = TRUE;
}

static void
step_cut (fake_net_t *net, const world_op_t *op)
{
  cut_both (net, entry_of (net, op->a), entry_of (net, op->b));
}

static void
step_isolate (fake_net_t *net, const world_op_t *op)
{
  for (guint i = 0; i < net->n_entries; i++)
    if (i != entry_of (net, op->a))
      cut_both (net, entry_of (net, op->a), i);
}

static void
step_cut_region (fake_net_t *net, const world_op_t *op)
{
  guint region = op->a % net->options.config->n_regions;

  for (guint a = 0; a < net->n_entries; a++)
    for (guint b = 0; b < net->n_entries; b++)
      if (net->entries[a].region == region && net->entries[b].region != region)
        cut_both (net, a, b);
}

static void
step_heal (fake_net_t *net, const world_op_t *op)
{
  for (guint a = 0; a < net->n_entries; a++)
    for (guint b = 0; b < net->n_entries; b++)
      net->entries[a].cut[b] = FALSE;
}

static void
step_store_down (fake_net_t *net, const world_op_t *op)
{
  net->platform->down = TRUE;
}

static void
step_store_slow (fake_net_t *net, const world_op_t *op)
{
  net->platform->slow = !net->platform->slow;
}

static void
step_store_loses (fake_net_t *net, const world_op_t *op)
{
  net->platform->lose_write_responses = !net->platform->lose_write_responses;
}

static void
step_store_up (fake_net_t *net, const world_op_t *op)
{
  net->platform->down = FALSE;
  net->platform->slow = FALSE;
  net->platform->lose_write_responses = FALSE;
  for (guint i = 0; i < net->n_entries; i++)
    {
      net->entries[i].store_cut = FALSE;
      net->entries[i].files_cut = FALSE;
    }
}

static void
step_store_cut (fake_net_t *net, const world_op_t *op)
{
  net->entries[entry_of (net, op->a)].store_cut = TRUE;
}

static void
step_files_cut (fake_net_t *net, const world_op_t *op)
{
  net->entries[entry_of (net, op->a)].files_cut = TRUE;
}

static void
step_list_lag (fake_net_t *net, const world_op_t *op)
{
  net->platform->list_lag = op->a * LAG_STEP;
}

static void
submit_config (fake_net_t *net, guint64 expected, guint variant)
{
  fake_platform_submit (net->platform, fake_net_now (net), expected, world_config (variant));
}

static void
step_file (fake_net_t *net, const world_op_t *op)
{
  submit_config (net, fake_platform_newest_generation (net->platform), op->a);
}

static void
step_two_files (fake_net_t *net, const world_op_t *op)
{
  guint64 expected = fake_platform_newest_generation (net->platform);

  submit_config (net, expected, op->a);
  submit_config (net, expected, op->b);
}

static void
step_drain (fake_net_t *net, const world_op_t *op)
{
  upstream_of (net, op->a)->draining = TRUE;
}

static void
step_drain_by_list (fake_net_t *net, const world_op_t *op)
{
  fake_net_set_upstream_leaving (net, upstream_of (net, op->a)->index, TRUE);
}

static void
step_drain_ends (fake_net_t *net, const world_op_t *op)
{
  upstream_of (net, op->a)->draining = FALSE;
  fake_net_set_upstream_leaving (net, upstream_of (net, op->a)->index, FALSE);
}

static void
step_upstream_down (fake_net_t *net, const world_op_t *op)
{
  upstream_of (net, op->a)->down = !upstream_of (net, op->a)->down;
}

static void
step_upstream_cold (fake_net_t *net, const world_op_t *op)
{
  upstream_of (net, op->a)->cold = TRUE;
  upstream_of (net, op->a)->served = 0;
}

static void
step_upstream_sheds (fake_net_t *net, const world_op_t *op)
{
  upstream_of (net, op->a)->shed_per_mille = 2 * op->b;
}

static void
step_loss (fake_net_t *net, const world_op_t *op)
{
  net->loss_per_mille = op->a;
  net->duplicate_per_mille = op->b;
  net->max_extra_delay = op->c * ANVIL_MS;
}

static void
step_resets (fake_net_t *net, const world_op_t *op)
{
  net->reset_per_mille = 2 * op->a;
}

static void
step_reports (fake_net_t *net, const world_op_t *op)
{
  net->reports_frozen = (op->a & 1) != 0;
  net->reports_show_idle = (op->a & 2) != 0;
  net->entries[entry_of (net, op->b)].reports_cut = (op->a & 4) != 0;
}

static const operation_t operations[] = {
  { "advance", 48, step_advance },
  { "advance-long", 14, step_advance_long },
  { "submit entry service", 30, step_submit },
  { "burst entry service", 24, step_burst },
  { "crowd - service", 24, step_crowd },
  { "kill entry", 4, step_kill },
  { "restart entry", 8, step_restart },
  { "replace entry", 6, step_replace },
  { "leave entry", 3, step_leave },
  { "freeze entry", 10, step_freeze },
  { "wake-all", 12, step_wake },
  { "cut-one-way entry entry", 6, step_cut_one_way },
  { "cut entry entry", 6, step_cut },
  { "isolate entry", 5, step_isolate },
  { "cut-region region", 3, step_cut_region },
  { "heal", 10, step_heal },
  { "store-down", 3, step_store_down },
  { "store-slow", 2, step_store_slow },
  { "store-loses-answers", 3, step_store_loses },
  { "store-up", 8, step_store_up },
  { "store-cut entry", 3, step_store_cut },
  { "files-cut entry", 3, step_files_cut },
  { "list-lag", 2, step_list_lag },
  { "file variant", 5, step_file },
  { "two-files variant variant", 2, step_two_files },
  { "drain upstream", 3, step_drain },
  { "drain-by-list upstream", 3, step_drain_by_list },
  { "drain-ends upstream", 5, step_drain_ends },
  { "upstream-down", 2, step_upstream_down },
  { "upstream-cold", 1, step_upstream_cold },
  { "upstream-sheds", 2, step_upstream_sheds },
  { "loss per-mille doubled late-ms", 3, step_loss },
  { "resets", 3, step_resets },
  { "reports", 3, step_reports },
};

static const operation_t *
decode_operation (const world_op_t *op)
{
  guint total = 0;
  guint position;

  for (guint i = 0; i < G_N_ELEMENTS (operations); i++)
    total += operations[i].weight;
  position = op->code * total / 256;
  for (guint i = 0; i < G_N_ELEMENTS (operations); i++)
    {
      if (position < operations[i].weight)
        return &operations[i];
      position -= operations[i].weight;
    }
  return &operations[0];
}

world_op_t
world_op (const char *name, guint8 a, guint8 b, guint8 c)
{
  world_op_t op = { .a = a, .b = b, .c = c };
  gsize length = strlen (name);

  for (guint code = 0; code <= G_MAXUINT8; code++)
    {
      const char *operation_name;

      op.code = (guint8) code;
      operation_name = decode_operation (&op)->name;
      if (strncmp (operation_name, name, length) == 0
          && (operation_name[length] == '\0' || operation_name[length] == ' '))
        return op;
    }
  g_error ("no operation \"%s\"", name);
}

char *
world_op_format (const world_op_t *op)
{
  return g_strdup_printf ("%s: %u %u %u", decode_operation (op)->name, op->a, op->b, op->c);
}

world_t *
world_new (guint32 seed, const anvil_steer_faults_t *faults)
{
  world_t *world = g_new0 (world_t, 1);
  fake_net_options_t options = {
    .seed = seed,
    .config = world_config (0),
    .n_entries = N_ENTRIES,
    .clock_ppm = CLOCK_PPM,
    .mean_service_time = { 60 * ANVIL_MS, 60 * ANVIL_MS, 200 * ANVIL_MS },
    .sharing = ANVIL_SHARING_LOANS,
    .record = oracle_record,
  };

  if (faults != NULL)
    options.faults = *faults;
  world->oracle = oracle_new (options.config);
  options.record_context = world->oracle;
  world->net = fake_net_new (&options);
  oracle_check (world->oracle, world->net);
  return world;
}

void
world_drop (world_t *world)
{
  if (world == NULL)
    return;
  fake_net_drop (world->net);
  oracle_drop (world->oracle);
  g_free (world);
}

gboolean
world_step (world_t *world, const world_op_t *op)
{
  decode_operation (op)->run (world->net, op);
  oracle_check (world->oracle, world->net);
  return oracle_failed (world->oracle) == NULL;
}

static void
end_faults (fake_net_t *net)
{
  static const world_op_t none;

  step_store_up (net, &none);
  step_heal (net, &none);
  step_wake (net, &none);
  step_loss (net, &none);
  step_resets (net, &none);
  net->platform->list_lag = 0;
  net->reports_frozen = FALSE;
  net->reports_show_idle = FALSE;
  for (guint i = 0; i < net->n_upstreams; i++)
    {
      const world_op_t drain_op = { .a = (guint8) i };

      step_drain_ends (net, &drain_op);
      net->upstreams[i].down = FALSE;
      net->upstreams[i].shed_per_mille = 0;
    }
  for (guint i = 0; i < net->n_entries; i++)
    {
      net->entries[i].reports_cut = FALSE;
      if (!net->entries[i].alive || net->entries[i].leaving)
        fake_net_replace (net, i);
    }
}

gboolean
world_recover (world_t *world)
{
  static const world_op_t advance_op = { .a = 255 };

  end_faults (world->net);
  oracle_check (world->oracle, world->net);
  for (anvil_time_t waited = 0; waited < ORACLE_RECOVERY_BOUND; waited += ANVIL_SECOND)
    {
      step_advance (world->net, &advance_op);
      oracle_check (world->oracle, world->net);
    }
  oracle_check_recovered (world->oracle, world->net);
  return oracle_failed (world->oracle) == NULL;
}
