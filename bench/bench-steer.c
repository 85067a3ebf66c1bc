/* Compares the decision core with other steering strategies in virtual time. */

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>
#include <popt.h>

#include "common-decision.h"
#include "common-path.h"
#include "common-scenario.h"

#define N_DECISIONS 160000

typedef struct
{
  int seed;
  int json;
  int scene;
  int path_only;
  char *deployment;
} settings_t;

static anvil_config_t *
load_deployment (const char *name)
{
  char *path = g_strdup_printf ("examples/%s.yaml", name);
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  anvil_config_t *config = NULL;

  if (g_file_get_contents (path, &text, &length, &error))
    config = anvil_config_load (path, (anvil_str_t){ .data = text, .length = length }, &error);
  if (config == NULL)
    {
      (void) fprintf (stderr, "bench-steer: %s\n", error->message);
      g_error_free (error);
    }
  g_free (text);
  g_free (path);
  return config;
}

static gdouble
ms (anvil_time_t time)
{
  return (gdouble) time / ANVIL_MS;
}

static void
print_results (common_strategy_t strategy, const common_results_t *results)
{
  printf ("  %-16s %8.1f %8.1f %9.1f %7.1f %7.1f %8.2f %7.2f %8" G_GUINT64_FORMAT
          " %5" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT " %8.0f %8.0f %8.0f\n",
          common_strategy_name (strategy), ms (results->p50), ms (results->p99),
          ms (results->upload_p99), results->link_headroom, results->region_headroom,
          results->refused_percent, results->unknown_percent, results->slot_overruns,
          results->link_overruns, results->shift_overruns, ms (results->drain_time),
          ms (results->last_dispatch_delay),
          results->recovery_time < 0 ? -1 : ms (results->recovery_time));
}

static void
print_ratios (const common_results_t *results)
{
  const common_results_t *core_results = &results[COMMON_STRATEGY_LOANS];

  for (common_strategy_t strategy = 0; strategy < COMMON_N_STRATEGIES; strategy++)
    if (strategy != COMMON_STRATEGY_LOANS)
      printf ("  d / %c: p50 %.2f, p99 %.2f, upload p99 %.2f, link headroom %+.1f points, "
              "region headroom %+.1f points, refused %+.2f points\n",
              common_strategy_name (strategy)[0],
              ms (core_results->p50) / MAX (ms (results[strategy].p50), 0.001),
              ms (core_results->p99) / MAX (ms (results[strategy].p99), 0.001),
              ms (core_results->upload_p99) / MAX (ms (results[strategy].upload_p99), 0.001),
              core_results->link_headroom - results[strategy].link_headroom,
              core_results->region_headroom - results[strategy].region_headroom,
              core_results->refused_percent - results[strategy].refused_percent);
}

static json_t *
results_json (const char *deployment,
              common_scenario_t scenario,
              common_strategy_t strategy,
              const common_results_t *results)
{
  return json_pack (
      "{s:s s:s s:s s:f s:f s:f s:f s:f s:f s:f s:I s:I s:I s:I s:f s:f s:f}", "deployment",
      deployment, "scene", common_scenario_name (scenario), "way", common_strategy_name (strategy),
      "p50_ms", ms (results->p50), "p99_ms", ms (results->p99), "upload_p99_ms",
      ms (results->upload_p99), "link_headroom_percent", results->link_headroom,
      "region_headroom_percent", results->region_headroom, "refused_percent",
      results->refused_percent, "failed_percent", results->unknown_percent, "submitted",
      (json_int_t) results->submitted, "slot_overruns", (json_int_t) results->slot_overruns,
      "link_overruns", (json_int_t) results->link_overruns, "shift_overruns",
      (json_int_t) results->shift_overruns, "drain_ms", ms (results->drain_time), "late_work_ms",
      ms (results->last_dispatch_delay), "recovery_ms",
      results->recovery_time < 0 ? -1.0 : ms (results->recovery_time));
}

static void
print_head (const char *deployment, common_scenario_t scenario)
{
  printf ("%s, %s\n", deployment, common_scenario_name (scenario));
  printf ("  %-16s %8s %8s %9s %7s %7s %8s %7s %8s %5s %5s %8s %8s %8s\n", "way", "p50 ms",
          "p99 ms", "up p99 ms", "link %", "regn %", "refuse %", "unkn %", "over sl", "link",
          "shift", "drain ms", "late ms", "recov ms");
}

static void
run_scenario (const settings_t *settings,
              const char *deployment,
              anvil_config_t *config,
              common_scenario_t scenario,
              json_t *rows)
{
  common_results_t results[COMMON_N_STRATEGIES];

  if (!settings->json)
    print_head (deployment, scenario);
  for (common_strategy_t strategy = 0; strategy < COMMON_N_STRATEGIES; strategy++)
    {
      results[strategy]
          = common_scenario_run (scenario, strategy, config, (guint32) settings->seed);
      json_array_append_new (rows,
                             results_json (deployment, scenario, strategy, &results[strategy]));
      if (!settings->json)
        print_results (strategy, &results[strategy]);
    }
  if (!settings->json)
    print_ratios (results);
  (void) fflush (stdout);
}

static gboolean
run_deployment (const settings_t *settings, const char *name, json_t *rows)
{
  anvil_config_t *config = load_deployment (name);
  common_decision_cost_t cost;

  if (config == NULL)
    return FALSE;
  for (common_scenario_t scenario = 0; scenario < COMMON_N_SCENARIOS; scenario++)
    if (settings->scene < 0 || settings->scene == (int) scenario)
      run_scenario (settings, name, config, scenario, rows);
  cost = common_decision_cost (config, N_DECISIONS);
  json_array_append_new (rows, json_pack ("{s:s s:s s:f s:f}", "deployment", name, "scene",
                                          "decision", "core_us", cost.core_ns / 1000, "random_us",
                                          cost.random_ns / 1000));
  if (!settings->json)
    printf ("%s, one decision: core %.2f us, random choice %.2f us, ratio %.1f\n", name,
            cost.core_ns / 1000, cost.random_ns / 1000, cost.core_ns / cost.random_ns);
  anvil_config_drop (config);
  return TRUE;
}

static void
run_path (const settings_t *settings, json_t *rows)
{
  if (!settings->json)
    printf ("checks on the path of a request at anvil-relay\n  %-8s %14s %9s %12s %9s\n", "extent",
            "connection ns", "entry ns", "dispatch ns", "tick us");
  for (common_extent_t extent = 0; extent < COMMON_N_EXTENTS; extent++)
    {
      const common_path_cost_t cost = common_path_cost (extent);

      json_array_append_new (rows, json_pack ("{s:s s:s s:f s:f s:f s:f}", "scene", "path",
                                              "extent", common_extent_name (extent),
                                              "connection_ns", cost.connection_ns, "entry_ns",
                                              cost.entry_ns, "dispatch_ns", cost.dispatch_ns,
                                              "tick_us", cost.tick_ns / 1000));
      if (!settings->json)
        printf ("  %-8s %14.1f %9.1f %12.0f %9.0f\n", common_extent_name (extent),
                cost.connection_ns, cost.entry_ns, cost.dispatch_ns, cost.tick_ns / 1000);
    }
}

int
main (int argc, const char **argv)
{
  settings_t settings = { .seed = 1, .scene = -1 };
  struct poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &settings.seed, 0, "seed of the requests", "N" },
    { "scene", 0, POPT_ARG_INT, &settings.scene, 0, "run only this scene, counted from 0", "N" },
    { "deployment", 0, POPT_ARG_STRING, &settings.deployment, 0,
      "run only this deployment: labka or holmgaard", "NAME" },
    { "path", 0, POPT_ARG_NONE, &settings.path_only, 0,
      "time only the checks on the path of a request", NULL },
    { "json", 0, POPT_ARG_NONE, &settings.json, 0, "print JSON", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  static const char *const deployments[] = { "labka", "holmgaard" };
  poptContext context = poptGetContext ("bench-steer", argc, argv, options, 0);
  int outcome = poptGetNextOpt (context);
  json_t *rows = json_array ();
  gboolean succeeded = outcome == -1;

  if (!succeeded)
    (void) fprintf (stderr, "bench-steer: %s: %s\n", poptBadOption (context, 0),
                    poptStrerror (outcome));
  for (gsize i = 0; succeeded && !settings.path_only && i < G_N_ELEMENTS (deployments); i++)
    if (settings.deployment == NULL || g_str_equal (settings.deployment, deployments[i]))
      succeeded = run_deployment (&settings, deployments[i], rows);
  if (succeeded && settings.deployment == NULL && settings.scene < 0)
    run_path (&settings, rows);
  if (succeeded && settings.json)
    json_dumpf (rows, stdout, JSON_INDENT (1));
  json_decref (rows);
  free (settings.deployment);
  poptFreeContext (context);
  return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
