#include "common-scene.h"

#include "common-arrivals.h"

#define CLOCK_PPM 200
#define WARM_UP (20 * ANVIL_SECOND)
#define MEASURED (30 * ANVIL_SECOND)
#define FAULT_AFTER (5 * ANVIL_SECOND)
#define STEP (50 * ANVIL_MS)
/* Uploads are rare but for the burst. */
#define UPLOAD_PART 0.1
#define BURST_UPLOAD_PART 0.8
#define STORE_AWAY (3600 * ANVIL_SECOND)
#define STORE_AWAY_LOAD 0.01
#define DRAIN_EVERY (5 * ANVIL_SECOND)
#define SHIFT_RAMP (20 * ANVIL_SECOND)
#define GONE_AFTER (10 * ANVIL_SECOND)
#define UPLOAD_SERVICE 2

static const anvil_time_t service_times[FAKE_MAX_SERVICES]
    = { 60 * ANVIL_MS, 60 * ANVIL_MS, 1000 * ANVIL_MS };

typedef struct
{
  common_scene_kind_t kind;
  common_way_t way;
  anvil_config_t *config;
  fake_net_t *net;
  common_measure_t *measure;
  common_policy_t *policy;
  common_arrivals_t *arrivals;
  anvil_time_t fault_at;
  gboolean begun;
  anvil_time_t recovered_at;
} scene_t;

const char *
common_scene_name (common_scene_kind_t kind)
{
  static const char *const names[] = {
    [COMMON_SCENE_STEADY_50] = "steady 50 %",     [COMMON_SCENE_STEADY_80] = "steady 80 %",
    [COMMON_SCENE_STEADY_95] = "steady 95 %",     [COMMON_SCENE_ENTRY_LOST] = "entry lost",
    [COMMON_SCENE_UPLOAD_BURST] = "upload burst", [COMMON_SCENE_SHIFT_COLD] = "shift onto cold",
    [COMMON_SCENE_STORE_AWAY] = "store away 1 h", [COMMON_SCENE_ROLLING_DRAIN] = "rolling drain",
    [COMMON_SCENE_REGION_LOST] = "region lost",   [COMMON_SCENE_REPORTS_FROZEN] = "reports frozen",
  };

  return names[kind];
}

static void
record (void *context, const fake_record_t *event)
{
  scene_t *scene = context;

  common_measure_record (scene->measure, event);
  if (scene->policy != NULL)
    common_policy_record (scene->policy, event);
}

static gdouble
scene_load (common_scene_kind_t kind)
{
  static const gdouble loads[COMMON_N_SCENES] = {
    [COMMON_SCENE_STEADY_80] = 0.8,     [COMMON_SCENE_STEADY_95] = 0.95,
    [COMMON_SCENE_ENTRY_LOST] = 0.7,    [COMMON_SCENE_UPLOAD_BURST] = 0.7,
    [COMMON_SCENE_STORE_AWAY] = 0.7,    [COMMON_SCENE_REPORTS_FROZEN] = 0.8,
    [COMMON_SCENE_ROLLING_DRAIN] = 0.7,
  };

  return loads[kind] > 0 ? loads[kind] : 0.5;
}

static void
set_load (scene_t *scene, gdouble load, gdouble upload_part)
{
  const anvil_config_t *config = scene->config;

  for (guint i = 0; i < config->n_services; i++)
    common_arrivals_set (scene->arrivals, i,
                         load * (i == UPLOAD_SERVICE ? upload_part : 1)
                             * common_capacity (config, i, service_times[i]));
}

static anvil_time_t
since_fault (const scene_t *scene)
{
  return fake_net_now (scene->net) - scene->fault_at;
}

/* The shift comes with the second file; the first one has none. */
static void
begin_shift (scene_t *scene)
{
  for (guint i = 0; i < scene->net->n_upstreams; i++)
    if (scene->config->upstreams[i].service == scene->config->shifts[0].service
        && scene->config->upstreams[i].half == scene->config->shifts[0].to)
      scene->net->upstreams[i].cold = TRUE;
  fake_platform_submit (scene->net->platform, fake_net_now (scene->net), 1, scene->config);
}

static void
lose_region (scene_t *scene, guint region)
{
  for (guint i = 0; i < scene->net->n_entries; i++)
    if (scene->net->entries[i].region == region)
      fake_net_kill (scene->net, i);
  for (guint i = 0; i < scene->net->n_upstreams; i++)
    if (scene->net->upstreams[i].region == region)
      scene->net->upstreams[i].down = TRUE;
}

static void
begin_fault (scene_t *scene)
{
  scene->begun = TRUE;
  switch (scene->kind)
    {
    case COMMON_SCENE_ENTRY_LOST:
      fake_net_kill (scene->net, 0);
      break;
    case COMMON_SCENE_UPLOAD_BURST:
      set_load (scene, scene_load (scene->kind), BURST_UPLOAD_PART);
      break;
    case COMMON_SCENE_SHIFT_COLD:
      begin_shift (scene);
      break;
    case COMMON_SCENE_STORE_AWAY:
      fake_net_kill (scene->net, 0);
      break;
    case COMMON_SCENE_REGION_LOST:
      lose_region (scene, scene->config->n_regions - 1);
      break;
    case COMMON_SCENE_REPORTS_FROZEN:
      scene->net->reports_frozen = TRUE;
      break;
    default:
      break;
    }
}

static void
set_drain (scene_t *scene, guint upstream, gboolean draining)
{
  if (scene->net->upstreams[upstream].draining == draining)
    return;
  scene->net->upstreams[upstream].draining = draining;
  common_measure_drain (scene->measure, fake_net_now (scene->net), upstream, draining);
}

static void
step_drain (scene_t *scene)
{
  guint place = (guint) (since_fault (scene) / DRAIN_EVERY);
  guint n = 0;

  for (guint i = 0; i < scene->net->n_upstreams; i++)
    if (scene->config->upstreams[i].service == 0)
      set_drain (scene, i, n++ == place);
}

static void
step_shift (scene_t *scene)
{
  const anvil_shift_t *shift = &scene->config->shifts[0];
  gdouble part = MIN (1.0, (gdouble) since_fault (scene) / (gdouble) shift->ramp);

  if (scene->policy != NULL)
    common_policy_shift (scene->policy, 0, part * shift->percent);
}

static void
note_recovery (scene_t *scene)
{
  const fake_net_t *net = scene->net;

  if (scene->recovered_at > 0 || scene->policy != NULL)
    return;
  for (guint seat = 0; seat < scene->config->n_seats; seat++)
    {
      gboolean used = FALSE;

      for (guint i = 0; i < net->n_entries; i++)
        {
          const fake_entry_t *entry = &net->entries[i];
          anvil_seat_status_t status;

          used = used
                 || (entry->alive
                     && anvil_steer_seat_status (entry->steer,
                                                 fake_net_local_time (entry, fake_net_now (net)),
                                                 seat, &status)
                     && status.usable);
        }
      if (!used)
        return;
    }
  scene->recovered_at = fake_net_now (net);
}

static void
step (scene_t *scene)
{
  fake_net_advance (scene->net, STEP);
  if (!scene->begun)
    return;
  if (scene->kind == COMMON_SCENE_ROLLING_DRAIN)
    step_drain (scene);
  if (scene->kind == COMMON_SCENE_SHIFT_COLD)
    step_shift (scene);
  if (scene->kind == COMMON_SCENE_ENTRY_LOST || scene->kind == COMMON_SCENE_STORE_AWAY)
    note_recovery (scene);
  if (scene->kind == COMMON_SCENE_ENTRY_LOST && since_fault (scene) == GONE_AFTER)
    fake_platform_remove_vm (scene->net->platform, fake_net_now (scene->net),
                             scene->net->entries[0].name);
}

static void
run_until (scene_t *scene, anvil_time_t until)
{
  while (fake_net_now (scene->net) < until)
    step (scene);
}

/* A light hour without the store, then the load of the scene. */
static void
run_hour_without_store (scene_t *scene)
{
  scene->net->platform->down = TRUE;
  set_load (scene, STORE_AWAY_LOAD, UPLOAD_PART);
  run_until (scene, WARM_UP + STORE_AWAY);
  set_load (scene, scene_load (scene->kind), UPLOAD_PART);
}

static void
shift_from_nothing (anvil_config_t *config)
{
  anvil_service_t *service = &config->services[config->shifts[0].service];

  service->half_percents[config->shifts[0].from] = 100;
  service->half_percents[config->shifts[0].to] = 0;
  config->shifts[0].ramp = SHIFT_RAMP;
}

static void
build (scene_t *scene, anvil_config_t *first, guint32 seed, anvil_time_t measured_from)
{
  fake_net_options_t options
      = { .seed = seed,
          .config = scene->config,
          .initial_config = first,
          .n_entries = scene->config->n_seats,
          .clock_ppm = CLOCK_PPM,
          .sharing = scene->way == COMMON_WAY_STATIC ? ANVIL_SHARING_STATIC : ANVIL_SHARING_LOANS,
          .record = record,
          .record_context = scene };

  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    options.mean_service_time[i] = service_times[i];
  scene->measure = common_measure_new (scene->config, measured_from);
  if (!common_way_is_core (scene->way))
    {
      scene->policy = common_policy_new (scene->way, scene->config, seed);
      options.policy = &common_policy;
      options.policy_context = scene->policy;
    }
  scene->net = fake_net_new (&options);
  if (scene->policy != NULL)
    common_policy_start (scene->policy, scene->net);
  scene->arrivals = common_arrivals_new (scene->net, scene->measure, scene->policy, seed);
  set_load (scene, scene_load (scene->kind), UPLOAD_PART);
}

common_figures_t
common_scene_run (common_scene_kind_t kind, common_way_t way, anvil_config_t *config, guint32 seed)
{
  scene_t scene = { .kind = kind, .way = way, .config = config };
  anvil_time_t measured_from = WARM_UP + (kind == COMMON_SCENE_STORE_AWAY ? STORE_AWAY : 0);
  anvil_config_t without_shift = *config;
  guint *shares = config->services[config->shifts[0].service].half_percents;
  guint kept_shares[2] = { shares[0], shares[1] };
  anvil_time_t kept_ramp = config->shifts[0].ramp;
  common_figures_t figures;

  without_shift.n_shifts = 0;
  /* Both files are on the stack of the scene; the world mustn't free them. */
  g_atomic_int_inc (&without_shift.references);
  if (kind == COMMON_SCENE_SHIFT_COLD)
    shift_from_nothing (config);
  scene.fault_at = measured_from + FAULT_AFTER;
  build (&scene, &without_shift, seed, measured_from);

  run_until (&scene, WARM_UP);
  if (kind == COMMON_SCENE_STORE_AWAY)
    run_hour_without_store (&scene);
  run_until (&scene, scene.fault_at);
  begin_fault (&scene);
  run_until (&scene, measured_from + MEASURED);

  figures = common_measure_figures (scene.measure, fake_net_now (scene.net));
  if (scene.recovered_at > 0)
    figures.recovery = scene.recovered_at - scene.fault_at;
  common_arrivals_drop (scene.arrivals);
  fake_net_drop (scene.net);
  common_policy_drop (scene.policy);
  common_measure_drop (scene.measure);
  shares[0] = kept_shares[0];
  shares[1] = kept_shares[1];
  config->shifts[0].ramp = kept_ramp;
  return figures;
}
