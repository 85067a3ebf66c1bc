#include "world-run.h"

#include <stdio.h>

/* Largest number of histories that are run to minimize one. */
#define MAX_MINIMIZE_RUNS 600

GArray *
world_generate_history (guint32 seed, guint n_steps)
{
  GArray *history = g_array_sized_new (FALSE, FALSE, sizeof (world_op_t), n_steps);
  GRand *random = g_rand_new_with_seed (seed);

  for (guint i = 0; i < n_steps; i++)
    {
      guint32 random_value = g_rand_int (random);
      world_op_t op = { .code = random_value & 0xff,
                        .a = (random_value >> 8) & 0xff,
                        .b = (random_value >> 16) & 0xff,
                        .c = random_value >> 24 };

      g_array_append_val (history, op);
    }
  g_rand_free (random);
  return history;
}

GArray *
world_parse_history (const char *text)
{
  GArray *history = g_array_new (FALSE, FALSE, sizeof (world_op_t));
  guint8 bytes[sizeof (world_op_t)];

  for (gsize i = 0; g_ascii_isxdigit (text[i]) && g_ascii_isxdigit (text[i + 1]); i += 2)
    {
      bytes[i / 2 % sizeof bytes]
          = (guint8) (g_ascii_xdigit_value (text[i]) << 4 | g_ascii_xdigit_value (text[i + 1]));
      if (i / 2 % sizeof bytes == sizeof bytes - 1)
        g_array_append_vals (history, bytes, 1);
    }
  return history;
}

world_result_t
world_run (guint32 seed, const GArray *history, const anvil_steer_faults_t *faults)
{
  world_t *world = world_new (seed, faults);
  world_result_t result = { .step = 0 };

  while (result.step < history->len
         && world_step (world, &g_array_index (history, world_op_t, result.step)))
    result.step++;
  if (result.step == history->len)
    world_recover (world);
  result.failed = oracle_failed (world->oracle);
  g_strlcpy (result.reason, oracle_reason (world->oracle), sizeof result.reason);
  world_drop (world);
  return result;
}

static GArray *
copy_without (const GArray *history, guint first, guint count)
{
  GArray *rest = g_array_sized_new (FALSE, FALSE, sizeof (world_op_t), history->len);

  g_array_append_vals (rest, history->data, first);
  if (first + count < history->len)
    g_array_append_vals (rest, &g_array_index (history, world_op_t, first + count),
                         history->len - first - count);
  return rest;
}

static gboolean
still_fails (guint32 seed,
             const GArray *history,
             const char *failed,
             const anvil_steer_faults_t *faults)
{
  world_result_t result = world_run (seed, history, faults);

  return result.failed != NULL && g_str_equal (result.failed, failed);
}

static void
replace_history (GArray *history, const GArray *shorter)
{
  g_array_set_size (history, 0);
  g_array_append_vals (history, shorter->data, shorter->len);
}

void
world_minimize (guint32 seed,
                GArray *history,
                const char *failed,
                const anvil_steer_faults_t *faults)
{
  guint tries = 0;

  for (guint chunk = MAX (history->len / 2, 1); chunk > 0; chunk /= 2)
    for (guint first = 0; first < history->len && tries < MAX_MINIMIZE_RUNS; tries++)
      {
        GArray *shorter = copy_without (history, first, MIN (chunk, history->len - first));

        if (still_fails (seed, shorter, failed, faults))
          replace_history (history, shorter);
        else
          first += chunk;
        g_array_unref (shorter);
      }
}

void
world_print_failure (guint32 seed, const GArray *history, const world_result_t *result)
{
  const guint8 *bytes = (const guint8 *) history->data;

  printf ("oracle \"%s\" failed: %s\n", result->failed, result->reason);
  for (guint i = 0; i < history->len; i++)
    {
      char *line = world_op_format (&g_array_index (history, world_op_t, i));

      printf ("  %3u %s\n", i, line);
      g_free (line);
    }
  printf ("replay the shortened history: make fuzz SEED=%u HISTORY=", seed);
  for (gsize i = 0; i < history->len * sizeof (world_op_t); i++)
    printf ("%02x", bytes[i]);
  printf ("\n");
}

static void
report_failure (guint32 seed,
                GArray *history,
                world_result_t result,
                const anvil_steer_faults_t *faults)
{
  printf ("seed %u, step %u: oracle \"%s\" failed: %s\n", seed, result.step, result.failed,
          result.reason);
  printf ("replay: make fuzz SEED=%u STEPS=%u\n", seed, history->len);
  (void) fflush (stdout);
  if (result.step < history->len)
    g_array_set_size (history, result.step + 1);
  world_minimize (seed, history, result.failed, faults);
  result = world_run (seed, history, faults);
  world_print_failure (seed, history, &result);
}

gboolean
world_fuzz (guint32 seed, guint n_steps, const anvil_steer_faults_t *faults)
{
  guint done = 0;

  for (guint32 this_seed = seed; done < n_steps; this_seed++)
    {
      guint steps = MIN (WORLD_STEPS, n_steps - done);
      GArray *history = world_generate_history (this_seed, steps);
      world_result_t result = world_run (this_seed, history, faults);

      if (result.failed != NULL)
        report_failure (this_seed, history, result, faults);
      g_array_unref (history);
      if (result.failed != NULL)
        return FALSE;
      done += steps;
    }
  printf ("%u steps from seed %u passed\n", done, seed);
  return TRUE;
}
