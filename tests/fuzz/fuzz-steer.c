/* Fuzzes the decision core with seeded histories, or replays one. */

#include <stdio.h>
#include <stdlib.h>

#include <popt.h>

#include "world-run.h"

static gboolean
replay (guint32 seed, const char *text)
{
  GArray *history = g_array_new (FALSE, TRUE, sizeof (world_op_t));
  world_result_t result;
  guint8 bytes[sizeof (world_op_t)];

  for (gsize i = 0; g_ascii_isxdigit (text[i]) && g_ascii_isxdigit (text[i + 1]); i += 2)
    {
      bytes[i / 2 % sizeof bytes]
          = (guint8) (g_ascii_xdigit_value (text[i]) << 4 | g_ascii_xdigit_value (text[i + 1]));
      if (i / 2 % sizeof bytes == sizeof bytes - 1)
        g_array_append_vals (history, bytes, 1);
    }
  result = world_run (seed, history, NULL);
  if (result.failed != NULL)
    world_print (seed, history, &result);
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
  struct poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &seed, 0, "first seed", "N" },
    { "steps", 'n', POPT_ARG_INT, &steps, 0, "operations in all", "N" },
    { "history", 0, POPT_ARG_STRING, &history, 0, "history to replay", "HEX" },
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
  if (history != NULL && history[0] != '\0')
    passed = replay ((guint32) seed, history);
  else
    passed = world_fuzz ((guint32) seed, (guint) steps);
  world_files_drop ();
  free (history);
  poptFreeContext (context);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
