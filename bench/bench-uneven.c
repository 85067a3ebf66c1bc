/* Compares run times by class of route, as a median and with the speed of VMs, with simpler ways,
 * under the load of the second deployment; see docs/design/uneven-upstreams.md. */

#include <stdio.h>
#include <stdlib.h>

#include "helper-dispatch.h"

#define N_UPSTREAMS 8
#define SLOTS 3
#define N_OBJECTS 40
#define WARM_UP (10 * ANVIL_SECOND)
#define LENGTH (60 * ANVIL_SECOND)

/* Two routes of one service and kind; run times as measured there. */
static const sim_class_t urgent = { .route_class = 1,
                                    .cold_run = 220 * ANVIL_MS,
                                    .warm_run = 66 * ANVIL_MS,
                                    .target = 250 * ANVIL_MS,
                                    .timeout = 1200 * ANVIL_MS };
static const sim_class_t heavy = { .route_class = 2,
                                   .priority = 2,
                                   .cold_run = 1360 * ANVIL_MS,
                                   .warm_run = 410 * ANVIL_MS,
                                   .target = 2000 * ANVIL_MS,
                                   .timeout = 6000 * ANVIL_MS };

/**
 * way_t - a way to estimate run times
 * @has_classes: by class of route, otherwise by kind
 * @names_speed: by a median, otherwise by a mean
 * @knows_speed: with the speed of VMs
 */
typedef struct
{
  const char *name;
  gboolean has_classes;
  gboolean names_speed;
  gboolean knows_speed;
} way_t;

static const way_t ways[] = {
  { "classes, median, speed", TRUE, TRUE, TRUE },
  { "one estimate for all classes", FALSE, TRUE, TRUE },
  { "no speed", TRUE, TRUE, FALSE },
  { "mean, no speed", TRUE, FALSE, FALSE },
  { "one mean, no speed", FALSE, FALSE, FALSE },
};

static void
print_outcome (sim_outcome_t outcome)
{
  printf ("%9.3f %9.3f %9.0f", outcome.served, outcome.on_time, outcome.refused_after / ANVIL_MS);
}

/* Both routes, each at a rate at which it needs @load / 2 of the slots, warm and undisturbed. */
static void
run_way (const way_t *way, gdouble load)
{
  const gdouble slots = N_UPSTREAMS * SLOTS * load / 2;
  const gdouble rates[] = { slots * ANVIL_SECOND / (gdouble) urgent.warm_run,
                            slots * ANVIL_SECOND / (gdouble) heavy.warm_run };
  sim_class_t first = urgent;
  sim_class_t second = heavy;
  const sim_class_t *const classes[] = { &first, &second };
  dispatch_sim_t sim;
  guint start;

  sim_open (&sim);
  sim.has_slow_periods = TRUE;
  sim.long_interval = 33;
  sim.long_factor = 7;
  sim.names_speed = way->names_speed;
  sim.names_usual_speed = !way->knows_speed;
  first.route_class = way->has_classes ? 1 : 0;
  second.route_class = way->has_classes ? 2 : 0;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    sim_add_upstream (&sim, "west", "west-a", SLOTS);
  sim_run_classes (&sim, WARM_UP, classes, rates, G_N_ELEMENTS (classes), N_OBJECTS);
  start = sim.tasks->len;
  sim_run_classes (&sim, LENGTH, classes, rates, G_N_ELEMENTS (classes), N_OBJECTS);
  printf ("  %-30s", way->name);
  print_outcome (sim_outcome (&sim, &first, start));
  print_outcome (sim_outcome (&sim, &second, start));
  printf ("\n");
  sim_close (&sim);
}

int
main (void)
{
  const gdouble loads[] = { 0.4, 0.6, 0.8, 1.0, 1.4 };

  printf ("an urgent and a long route on uneven upstreams\n");
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      printf ("load %.1f of the slots\n  %-30s%9s %9s %9s%9s %9s %9s\n", loads[i], "way", "urgent",
              "on time", "refuse ms", "long", "on time", "refuse ms");
      for (guint j = 0; j < G_N_ELEMENTS (ways); j++)
        run_way (&ways[j], loads[i]);
    }
  return EXIT_SUCCESS;
}
