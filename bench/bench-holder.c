/* What a holder's decisions cost by load, and what it serves beyond the load for which its
 * processor has time; see docs/CAPACITY.md. */

#include <stdio.h>
#include <stdlib.h>

#include "common-holder.h"

/* Requests a second to the largest service of a grown deployment. */
#define USUAL_RATE 1540u
#define START_TIME (8 * ANVIL_SECOND)
#define LENGTH (12 * ANVIL_SECOND)
/* A message with its answer, and one comparison, as taken on one core. */
#define MESSAGE_US 20u
#define COMPARE_US 0.2

static void
print_costs (gdouble load, const char *phase, const holder_sim_result_t *result)
{
  const gdouble n = MAX (result->n, 1);

  printf ("%4.1f %-7s %8.3f %8.3f %8.3f %9.1f %9.1f %9.1f %12.2f %10.1f\n", load, phase,
          result->served, result->on_time, result->refused, (gdouble) result->submit_ns / n / 1e3,
          (gdouble) result->finish_ns / n / 1e3, (gdouble) result->tick_ns / n / 1e3,
          (gdouble) result->longest_tick_ns / 1e6, (gdouble) result->n_compared / n);
}

static void
print_decisions (void)
{
  const gdouble loads[] = { 0.5, 1, 1.5, 2, 3, 4 };

  printf (
      "%u upstreams of %u slots, %u objects, no limit of the processor, load 1.0 is %u a second\n"
      "load phase     served  on time  refused submit us finish us   tick us longest ms"
      "   compared\n",
      HOLDER_SIM_UPSTREAMS, HOLDER_SIM_SLOTS, HOLDER_SIM_OBJECTS, USUAL_RATE);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      const holder_sim_options_t options = { .per_second = loads[i] * USUAL_RATE };
      holder_sim_t *sim = holder_sim_new (&options);
      holder_sim_result_t result = holder_sim_run (sim, START_TIME);

      print_costs (loads[i], "start", &result);
      result = holder_sim_run (sim, LENGTH);
      print_costs (loads[i], "steady", &result);
      holder_sim_drop (sim);
    }
}

static void
print_limited (gdouble share)
{
  const gdouble loads[] = { 0.5, 1, 1.5, 2, 3, 4, 6 };

  printf ("the same on %.2f of a core, %u us a message, %.1f us a comparison\n"
          "load phase     served  on time  refused     held  refused in ms   compared\n",
          share, MESSAGE_US, COMPARE_US);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      const holder_sim_options_t options = { .per_second = loads[i] * USUAL_RATE,
                                             .processor_share = share,
                                             .message_us = MESSAGE_US,
                                             .compare_us = COMPARE_US };
      holder_sim_t *sim = holder_sim_new (&options);

      for (guint phase = 0; phase < 2; phase++)
        {
          const holder_sim_result_t result = holder_sim_run (sim, phase == 0 ? START_TIME : LENGTH);

          printf ("%4.1f %-7s %8.3f %8.3f %8.3f %8.3f %14.0f %10.1f\n", loads[i],
                  phase == 0 ? "start" : "steady", result.served, result.on_time, result.refused,
                  result.held, (gdouble) result.median_refusal / ANVIL_MS,
                  (gdouble) result.n_compared / MAX (result.n, 1));
        }
      holder_sim_drop (sim);
    }
}

int
main (void)
{
  print_decisions ();
  print_limited (0.23);
  print_limited (0.08);
  return EXIT_SUCCESS;
}
