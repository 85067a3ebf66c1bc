#include "common-scenario.h"

#include "common-arrivals.h"

#define CLOCK_DRIFT_PPM 200
#define WARM_UP (20 * ANVIL_SECOND)
#define MEASURED_TIME (30 * ANVIL_SECOND)
#define FAULT_DELAY (5 * ANVIL_SECOND)
#define STEP_TIME (50 * ANVIL_MS)
/* Load of uploads relative to that of the other services: low except during the burst. */
#define UPLOAD_LOAD_PART 0.1
#define BURST_UPLOAD_LOAD_PART 0.8
#define STORE_DOWN_TIME (3600 * ANVIL_SECOND)
#define STORE_DOWN_LOAD 0.01
#define DRAIN_INTERVAL (5 * ANVIL_SECOND)
#define SHIFT_RAMP_TIME (20 * ANVIL_SECOND)
#define VM_REMOVAL_DELAY (10 * ANVIL_SECOND)
#define UPLOAD_SERVICE 2

static const anvil_time_t service_times[FAKE_MAX_SERVICES]
    = { 60 * ANVIL_MS, 60 * ANVIL_MS, 1000 * ANVIL_MS };

typedef struct
{
  common_scenario_t scenario;
  common_strategy_t strategy;
  anvil_config_t *config;
  fake_net_t *net;
  common_measure_t *measure;
  common_policy_t *policy;
  common_arrivals_t *arrivals;
  anvil_time_t fault_at;
  gboolean fault_started;
  anvil_time_t recovered_at;
} run_t;

const char *
common_scenario_name (common_scenario_t scenario)
{
  static const char *const names[] = {
    [COMMON_SCENARIO_STEADY_50] = "steady 50 %",
    [COMMON_SCENARIO_STEADY_80] = "steady 80 %",
    [COMMON_SCENARIO_STEADY_95] = "steady 95 %",
    [COMMON_SCENARIO_ENTRY_LOST] = "entry lost",
    [COMMON_SCENARIO_UPLOAD_BURST] = "upload burst",
    [COMMON_SCENARIO_SHIFT_COLD] = "shift onto cold",
    [COMMON_SCENARIO_STORE_DOWN] = "store away 1 h",
    [COMMON_SCENARIO_ROLLING_DRAIN] = "rolling drain",
    [COMMON_SCENARIO_REGION_LOST] = "region lost",
    [COMMON_SCENARIO_REPORTS_FROZEN] = "reports frozen",
  };

  return names[scenario];
}

static void
on_record (void *context, const fake_record_t *event)
{
  run_t *run = context;

  common_measure_record (run->measure, event);
  if (run->policy != NULL)
    common_policy_record (run->policy, event);
}

static gdouble
load_factor (common_scenario_t scenario)
{
  static const gdouble loads[COMMON_N_SCENARIOS] = {
    [COMMON_SCENARIO_STEADY_80] = 0.8,     [COMMON_SCENARIO_STEADY_95] = 0.95,
    [COMMON_SCENARIO_ENTRY_LOST] = 0.7,    [COMMON_SCENARIO_UPLOAD_BURST] = 0.7,
    [COMMON_SCENARIO_STORE_DOWN] = 0.7,    [COMMON_SCENARIO_REPORTS_FROZEN] = 0.8,
    [COMMON_SCENARIO_ROLLING_DRAIN] = 0.7,
  };

  return loads[scenario] > 0 ? loads[scenario] : 0.5;
}

static void
set_load (run_t *run, gdouble load, gdouble upload_part)
{
  const anvil_config_t *config = run->config;

  for (guint i = 0; i < config->n_services; i++)
    common_arrivals_set_rate (run->arrivals, i,
                              load * (i == UPLOAD_SERVICE ? upload_part : 1)
                                  * common_service_capacity (config, i, service_times[i]));
}

static anvil_time_t
since_fault (const run_t *run)
{
  return fake_net_now (run->net) - run->fault_at;
}

/* Submits the configuration with the shift; the initial one has none. */
static void
start_shift (run_t *run)
{
  for (guint i = 0; i < run->net->n_upstreams; i++)
    if (run->config->upstreams[i].service == run->config->shifts[0].service
        && run->config->upstreams[i].half == run->config->shifts[0].to)
      run->net->upstreams[i].cold = TRUE;
  fake_platform_submit (run->net->platform, fake_net_now (run->net), 1, run->config);
}

static void
lose_region (run_t *run, guint region)
{
  for (guint i = 0; i < run->net->n_entries; i++)
    if (run->net->entries[i].region == region)
      fake_net_kill (run->net, i);
  for (guint i = 0; i < run->net->n_upstreams; i++)
    if (run->net->upstreams[i].region == region)
      run->net->upstreams[i].down = TRUE;
}

static void
start_fault (run_t *run)
{
  run->fault_started = TRUE;
  switch (run->scenario)
    {
    case COMMON_SCENARIO_ENTRY_LOST:
      fake_net_kill (run->net, 0);
      break;
    case COMMON_SCENARIO_UPLOAD_BURST:
      set_load (run, load_factor (run->scenario), BURST_UPLOAD_LOAD_PART);
      break;
    case COMMON_SCENARIO_SHIFT_COLD:
      start_shift (run);
      break;
    case COMMON_SCENARIO_STORE_DOWN:
      fake_net_kill (run->net, 0);
      break;
    case COMMON_SCENARIO_REGION_LOST:
      lose_region (run, run->config->n_regions - 1);
      break;
    case COMMON_SCENARIO_REPORTS_FROZEN:
      run->net->reports_frozen = TRUE;
      break;
    default:
      break;
    }
}

static void
set_drain (run_t *run, guint upstream, gboolean draining)
{
  if (run->net->upstreams[upstream].draining == draining)
    return;
  run->net->upstreams[upstream].draining = draining;
  common_measure_drain_changed (run->measure, fake_net_now (run->net), upstream, draining);
}

static void
update_drains (run_t *run)
{
  guint draining_index = (guint) (since_fault (run) / DRAIN_INTERVAL);
  guint n = 0;

  for (guint i = 0; i < run->net->n_upstreams; i++)
    if (run->config->upstreams[i].service == 0)
      set_drain (run, i, n++ == draining_index);
}

static void
update_shift (run_t *run)
{
  const anvil_shift_t *shift = &run->config->shifts[0];
  gdouble part = MIN (1.0, (gdouble) since_fault (run) / (gdouble) shift->ramp);

  if (run->policy != NULL)
    common_policy_set_shift_percent (run->policy, 0, part * shift->percent);
}

static void
check_recovery (run_t *run)
{
  const fake_net_t *net = run->net;

  if (run->recovered_at > 0 || run->policy != NULL)
    return;
  for (guint seat = 0; seat < run->config->n_seats; seat++)
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
  run->recovered_at = fake_net_now (net);
}

static void
step (run_t *run)
{
  fake_net_advance (run->net, STEP_TIME);
  if (!run->fault_started)
    return;
  if (run->scenario == COMMON_SCENARIO_ROLLING_DRAIN)
    update_drains (run);
  if (run->scenario == COMMON_SCENARIO_SHIFT_COLD)
    update_shift (run);
  if (run->scenario == COMMON_SCENARIO_ENTRY_LOST || run->scenario == COMMON_SCENARIO_STORE_DOWN)
    check_recovery (run);
  if (run->scenario == COMMON_SCENARIO_ENTRY_LOST && since_fault (run) == VM_REMOVAL_DELAY)
    fake_platform_remove_vm (run->net->platform, fake_net_now (run->net),
                             run->net->entries[0].name);
}

static void
run_until (run_t *run, anvil_time_t until)
{
  while (fake_net_now (run->net) < until)
    step (run);
}

/* An hour without the store at low load, then the load of the scenario. */
static void
run_hour_without_store (run_t *run)
{
  run->net->platform->down = TRUE;
  set_load (run, STORE_DOWN_LOAD, UPLOAD_LOAD_PART);
  run_until (run, WARM_UP + STORE_DOWN_TIME);
  set_load (run, load_factor (run->scenario), UPLOAD_LOAD_PART);
}

static void
configure_full_shift (anvil_config_t *config)
{
  anvil_service_t *service = &config->services[config->shifts[0].service];

  service->half_percents[config->shifts[0].from] = 100;
  service->half_percents[config->shifts[0].to] = 0;
  config->shifts[0].ramp = SHIFT_RAMP_TIME;
}

static void
build_run (run_t *run, anvil_config_t *initial_config, guint32 seed, anvil_time_t measured_from)
{
  fake_net_options_t options
      = { .seed = seed,
          .config = run->config,
          .initial_config = initial_config,
          .n_entries = run->config->n_seats,
          .clock_ppm = CLOCK_DRIFT_PPM,
          .sharing
          = run->strategy == COMMON_STRATEGY_STATIC ? ANVIL_SHARING_STATIC : ANVIL_SHARING_LOANS,
          .record = on_record,
          .record_context = run };

  for (guint i = 0; i < FAKE_MAX_SERVICES; i++)
    options.mean_service_time[i] = service_times[i];
  run->measure = common_measure_new (run->config, measured_from);
  if (!common_strategy_uses_core (run->strategy))
    {
      run->policy = common_policy_new (run->strategy, run->config, seed);
      options.policy = &common_policy;
      options.policy_context = run->policy;
    }
  run->net = fake_net_new (&options);
  if (run->policy != NULL)
    common_policy_set_net (run->policy, run->net);
  run->arrivals = common_arrivals_new (run->net, run->measure, run->policy, seed);
  set_load (run, load_factor (run->scenario), UPLOAD_LOAD_PART);
}

common_results_t
common_scenario_run (common_scenario_t scenario,
                     common_strategy_t strategy,
                     anvil_config_t *config,
                     guint32 seed)
{
  run_t run = { .scenario = scenario, .strategy = strategy, .config = config };
  anvil_time_t measured_from
      = WARM_UP + (scenario == COMMON_SCENARIO_STORE_DOWN ? STORE_DOWN_TIME : 0);
  anvil_config_t without_shift = *config;
  guint *half_percents = config->services[config->shifts[0].service].half_percents;
  guint saved_percents[2] = { half_percents[0], half_percents[1] };
  anvil_time_t saved_ramp = config->shifts[0].ramp;
  common_results_t results;

  without_shift.n_shifts = 0;
  /* The copy is on the stack: an additional reference keeps the network from freeing it. */
  g_atomic_int_inc (&without_shift.references);
  if (scenario == COMMON_SCENARIO_SHIFT_COLD)
    configure_full_shift (config);
  run.fault_at = measured_from + FAULT_DELAY;
  build_run (&run, &without_shift, seed, measured_from);

  run_until (&run, WARM_UP);
  if (scenario == COMMON_SCENARIO_STORE_DOWN)
    run_hour_without_store (&run);
  run_until (&run, run.fault_at);
  start_fault (&run);
  run_until (&run, measured_from + MEASURED_TIME);

  results = common_measure_results (run.measure, fake_net_now (run.net));
  if (run.recovered_at > 0)
    results.recovery_time = run.recovered_at - run.fault_at;
  common_arrivals_drop (run.arrivals);
  fake_net_drop (run.net);
  common_policy_drop (run.policy);
  common_measure_drop (run.measure);
  half_percents[0] = saved_percents[0];
  half_percents[1] = saved_percents[1];
  config->shifts[0].ramp = saved_ramp;
  return results;
}
