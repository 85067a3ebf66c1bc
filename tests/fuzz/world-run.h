#pragma once

#include "world.h"

/**
 * world_result_t - the outcome of one history
 * @failed: name of the oracle that failed, or NULL; static
 * @reason: what it saw
 * @step: step at which it failed
 */
typedef struct
{
  const char *failed;
  char reason[256];
  guint step;
} world_result_t;

/** world_generate_history - the history of a seed; freed with g_array_unref() */
GArray *world_generate_history (guint32 seed, guint n_steps);

/** world_parse_history - a history from the hexadecimal text that world_print_failure() gives */
GArray *world_parse_history (const char *text);

/** world_run - runs a history of world_op_t in a new world, then lets it recover */
world_result_t world_run (guint32 seed, const GArray *history, const anvil_steer_faults_t *faults);

/** world_minimize - drops operations as long as the same oracle still fails */
void world_minimize (guint32 seed,
                     GArray *history,
                     const char *failed,
                     const anvil_steer_faults_t *faults);

/** world_print_failure - a failing history, one operation a line, and as the text that replays it
 */
void world_print_failure (guint32 seed, const GArray *history, const world_result_t *result);

/** world_fuzz - runs seeds from @seed on until @n_steps are done; prints a failure shortened
 *
 * Return: whether all passed.
 */
gboolean world_fuzz (guint32 seed, guint n_steps, const anvil_steer_faults_t *faults);
