/* Runs histories of libFuzzer, which searches for inputs that reach new code in the core. */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "world-run.h"

#define COVERAGE_SEED 1

/* NOLINTBEGIN(readability-identifier-naming): the name is fixed by libFuzzer. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
/* NOLINTEND(readability-identifier-naming) */
{
  GArray *history = g_array_new (FALSE, FALSE, sizeof (world_op_t));
  world_result_t result;

  g_array_append_vals (history, data, (guint) MIN (size / sizeof (world_op_t), WORLD_STEPS));
  result = world_run (COVERAGE_SEED, history, NULL);
  if (result.failed != NULL)
    {
      world_print_failure (COVERAGE_SEED, history, &result);
      abort ();
    }
  g_array_unref (history);
  return 0;
}
