#include "anvil-load-arrivals.h"

#include <math.h>

struct load_arrivals
{
  load_arrivals_options_t options;
  GRand *rand;
  gdouble clock_us;
  anvil_time_t next;
};

static gboolean
in_burst (const load_arrivals_options_t *options, gdouble at)
{
  return at >= (gdouble) options->burst_start && at < (gdouble) options->burst_end;
}

/* Thinning: draws at the highest rate and keeps the share that the rate at that time asks for. */
static anvil_time_t
draw (load_arrivals_t *arrivals)
{
  const load_arrivals_options_t *options = &arrivals->options;
  gdouble highest = options->rate_per_s * options->burst_factor;

  if (highest <= 0)
    return LOAD_ARRIVALS_END;
  for (;;)
    {
      gdouble gap_s = -log (1 - g_rand_double (arrivals->rand)) / highest;
      gdouble kept = g_rand_double (arrivals->rand) * options->burst_factor;

      arrivals->clock_us += gap_s * (gdouble) ANVIL_SECOND;
      if (arrivals->clock_us >= (gdouble) options->end)
        return LOAD_ARRIVALS_END;
      if (kept < 1 || in_burst (options, arrivals->clock_us))
        return (anvil_time_t) arrivals->clock_us;
    }
}

load_arrivals_t *
load_arrivals_new (const load_arrivals_options_t *options, anvil_time_t start, guint32 seed)
{
  load_arrivals_t *arrivals = g_new0 (load_arrivals_t, 1);

  arrivals->options = *options;
  arrivals->options.burst_factor = MAX (options->burst_factor, 1);
  arrivals->rand = g_rand_new_with_seed (seed);
  arrivals->clock_us = (gdouble) start;
  arrivals->next = draw (arrivals);
  return arrivals;
}

void
load_arrivals_drop (load_arrivals_t *arrivals)
{
  if (arrivals == NULL)
    return;
  g_rand_free (arrivals->rand);
  g_free (arrivals);
}

anvil_time_t
load_arrivals_peek (const load_arrivals_t *arrivals)
{
  return arrivals->next;
}

anvil_time_t
load_arrivals_pop (load_arrivals_t *arrivals)
{
  anvil_time_t taken = arrivals->next;

  if (taken != LOAD_ARRIVALS_END)
    arrivals->next = draw (arrivals);
  return taken;
}
