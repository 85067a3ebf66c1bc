#pragma once

#include "world.h"

/**
 * world_result_t - result of running one history
 * @failed: name of the oracle that failed, NULL if none; a static string
 * @reason: description of the failure
 * @step: step at which it failed; the number of steps if none failed
 */
typedef struct
{
  const char *failed;
  char reason[256];
  guint step;
} world_result_t;

/** world_generate_history - generates the random history of a seed; free with g_array_unref() */
GArray *world_generate_history (guint32 seed, guint n_steps);

/** world_parse_history - parses a history from the hexadecimal text of world_print_failure() */
GArray *world_parse_history (const char *text);

/** world_run - runs a history in a new world, then ends all faults and checks the recovery */
world_result_t world_run (guint32 seed, const GArray *history, const anvil_steer_faults_t *faults);

/** world_minimize - removes operations from a failing history while the same oracle still fails */
void world_minimize (guint32 seed,
                     GArray *history,
                     const char *failed,
                     const anvil_steer_faults_t *faults);

/** world_print_failure - prints a failing history by operations, and the command that replays it */
void world_print_failure (guint32 seed, const GArray *history, const world_result_t *result);

/**
 * world_fuzz - runs random histories from @seed on until @n_steps are done
 *
 * Stops at the first failure, and prints it with a minimized history.
 *
 * Return: whether all passed.
 */
gboolean world_fuzz (guint32 seed, guint n_steps, const anvil_steer_faults_t *faults);
