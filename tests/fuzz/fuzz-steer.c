/* Fuzzes the decision core with random histories, or replays a given one. */

#include <stdio.h>
#include <stdlib.h>

#include <popt.h>

#include "world-fault.h"
#include "world-run.h"

static gboolean
replay (guint32 seed, const char *text, const anvil_steer_faults_t *faults)
{
  GArray *history = world_parse_history (text);
  world_result_t result = world_run (seed, history, faults);

  if (result.failed != NULL)
    world_print_failure (seed, history, &result);
  else
    printf ("%u operations passed\n", history->len);
  g_array_unref (history);
  return result.failed == NULL;
}

int
main (int argc, const char **argv)
{
  int seed = 1;
  int steps = 10000;
  char *history = NULL;
  char *fault = NULL;
  anvil_steer_faults_t faults = { 0 };
  struct poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &seed, 0, "first seed", "N" },
    { "steps", 'n', POPT_ARG_INT, &steps, 0, "operations in all", "N" },
    { "history", 0, POPT_ARG_STRING, &history, 0, "history to replay", "HEX" },
    { "fault", 0, POPT_ARG_STRING, &fault, 0, "mechanism to switch off", "FIELD" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  poptContext context = poptGetContext ("fuzz-steer", argc, argv, options, 0);
  int outcome = poptGetNextOpt (context);
  gboolean passed;

  if (outcome < -1)
    {
      (void) fprintf (stderr, "fuzz-steer: %s: %s\n", poptBadOption (context, 0),
                      poptStrerror (outcome));
      poptFreeContext (context);
      return 2;
    }
  if (fault != NULL && fault[0] != '\0' && !world_fault_set (&faults, fault))
    {
      (void) fprintf (stderr, "fuzz-steer: no mechanism \"%s\"\n", fault);
      poptFreeContext (context);
      return 2;
    }
  if (history != NULL && history[0] != '\0')
    passed = replay ((guint32) seed, history, &faults);
  else
    passed = world_fuzz ((guint32) seed, (guint) steps, &faults);
  world_configs_drop ();
  free (history);
  free (fault);
  poptFreeContext (context);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
