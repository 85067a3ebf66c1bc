/* Measures the decision core against other ways to decide, in virtual time. */

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>
#include <popt.h>

#include "common-decision.h"
#include "common-scene.h"

#define N_DECISIONS 160000

typedef struct
{
  int seed;
  int json;
  int scene;
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
print_figures (common_way_t way, const common_figures_t *figures)
{
  printf ("  %-16s %8.1f %8.1f %9.1f %7.1f %7.1f %8.2f %7.2f %8" G_GUINT64_FORMAT
          " %5" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT " %8.0f %8.0f %8.0f\n",
          common_way_name (way), ms (figures->p50), ms (figures->p99), ms (figures->upload_p99),
          figures->link_headroom, figures->region_headroom, figures->refused, figures->failed,
          figures->slot_overruns, figures->link_overruns, figures->shift_overruns,
          ms (figures->drain_time), ms (figures->late_work),
          figures->recovery < 0 ? -1 : ms (figures->recovery));
}

static void
print_ratios (const common_figures_t *figures)
{
  const common_figures_t *chosen = &figures[COMMON_WAY_LOANS];

  for (common_way_t way = 0; way < COMMON_N_WAYS; way++)
    if (way != COMMON_WAY_LOANS)
      printf ("  d / %c: p50 %.2f, p99 %.2f, upload p99 %.2f, link headroom %+.1f points, "
              "region headroom %+.1f points, refused %+.2f points\n",
              common_way_name (way)[0], ms (chosen->p50) / MAX (ms (figures[way].p50), 0.001),
              ms (chosen->p99) / MAX (ms (figures[way].p99), 0.001),
              ms (chosen->upload_p99) / MAX (ms (figures[way].upload_p99), 0.001),
              chosen->link_headroom - figures[way].link_headroom,
              chosen->region_headroom - figures[way].region_headroom,
              chosen->refused - figures[way].refused);
}

static json_t *
figures_json (const char *deployment,
              common_scene_kind_t scene,
              common_way_t way,
              const common_figures_t *figures)
{
  return json_pack (
      "{s:s s:s s:s s:f s:f s:f s:f s:f s:f s:f s:I s:I s:I s:I s:f s:f s:f}", "deployment",
      deployment, "scene", common_scene_name (scene), "way", common_way_name (way), "p50_ms",
      ms (figures->p50), "p99_ms", ms (figures->p99), "upload_p99_ms", ms (figures->upload_p99),
      "link_headroom_percent", figures->link_headroom, "region_headroom_percent",
      figures->region_headroom, "refused_percent", figures->refused, "failed_percent",
      figures->failed, "submitted", (json_int_t) figures->submitted, "slot_overruns",
      (json_int_t) figures->slot_overruns, "link_overruns", (json_int_t) figures->link_overruns,
      "shift_overruns", (json_int_t) figures->shift_overruns, "drain_ms", ms (figures->drain_time),
      "late_work_ms", ms (figures->late_work), "recovery_ms",
      figures->recovery < 0 ? -1.0 : ms (figures->recovery));
}

static void
print_head (const char *deployment, common_scene_kind_t scene)
{
  printf ("%s, %s\n", deployment, common_scene_name (scene));
  printf ("  %-16s %8s %8s %9s %7s %7s %8s %7s %8s %5s %5s %8s %8s %8s\n", "way", "p50 ms",
          "p99 ms", "up p99 ms", "link %", "regn %", "refuse %", "unkn %", "over sl", "link",
          "shift", "drain ms", "late ms", "recov ms");
}

static void
run_scene (const settings_t *settings,
           const char *deployment,
           anvil_config_t *config,
           common_scene_kind_t scene,
           json_t *rows)
{
  common_figures_t figures[COMMON_N_WAYS];

  if (!settings->json)
    print_head (deployment, scene);
  for (common_way_t way = 0; way < COMMON_N_WAYS; way++)
    {
      figures[way] = common_scene_run (scene, way, config, (guint32) settings->seed);
      json_array_append_new (rows, figures_json (deployment, scene, way, &figures[way]));
      if (!settings->json)
        print_figures (way, &figures[way]);
    }
  if (!settings->json)
    print_ratios (figures);
  (void) fflush (stdout);
}

static gboolean
run_deployment (const settings_t *settings, const char *name, json_t *rows)
{
  anvil_config_t *config = load_deployment (name);
  common_decision_cost_t cost;

  if (config == NULL)
    return FALSE;
  for (common_scene_kind_t scene = 0; scene < COMMON_N_SCENES; scene++)
    if (settings->scene < 0 || settings->scene == (int) scene)
      run_scene (settings, name, config, scene, rows);
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

int
main (int argc, const char **argv)
{
  settings_t settings = { .seed = 1, .scene = -1 };
  struct poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &settings.seed, 0, "seed of the arrivals", "N" },
    { "scene", 0, POPT_ARG_INT, &settings.scene, 0, "only this scene, from 0", "N" },
    { "deployment", 0, POPT_ARG_STRING, &settings.deployment, 0, "only labka or holmgaard",
      "NAME" },
    { "json", 0, POPT_ARG_NONE, &settings.json, 0, "print JSON", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  static const char *const deployments[] = { "labka", "holmgaard" };
  poptContext context = poptGetContext ("bench-steer", argc, argv, options, 0);
  int outcome = poptGetNextOpt (context);
  json_t *rows = json_array ();
  gboolean done = outcome == -1;

  if (!done)
    (void) fprintf (stderr, "bench-steer: %s: %s\n", poptBadOption (context, 0),
                    poptStrerror (outcome));
  for (gsize i = 0; done && i < G_N_ELEMENTS (deployments); i++)
    if (settings.deployment == NULL || g_str_equal (settings.deployment, deployments[i]))
      done = run_deployment (&settings, deployments[i], rows);
  if (done && settings.json)
    json_dumpf (rows, stdout, JSON_INDENT (1));
  json_decref (rows);
  free (settings.deployment);
  poptFreeContext (context);
  return done ? EXIT_SUCCESS : EXIT_FAILURE;
}
