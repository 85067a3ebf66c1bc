#include "anvil-load-arrivals.h"

#include <math.h>

struct load_arrivals
{
  load_arrivals_options_t options;
  GRand *rand;
  gdouble last_drawn_us;
  anvil_time_t next;
};

static gboolean
in_burst (const load_arrivals_options_t *options, gdouble at)
{
  return at >= (gdouble) options->burst_start && at < (gdouble) options->burst_end;
}

/*
 * Thinning: draws arrivals at the rate of the burst, and outside of the burst keeps on average
 * one in burst_factor of them.
 */
static anvil_time_t
draw_next (load_arrivals_t *arrivals)
{
  const load_arrivals_options_t *options = &arrivals->options;
  gdouble burst_rate_per_s = options->rate_per_s * options->burst_factor;

  if (burst_rate_per_s <= 0)
    return LOAD_ARRIVALS_END;
  for (;;)
    {
      gdouble gap_s = -log (1 - g_rand_double (arrivals->rand)) / burst_rate_per_s;
      gdouble thinning = g_rand_double (arrivals->rand) * options->burst_factor;

      arrivals->last_drawn_us += gap_s * (gdouble) ANVIL_SECOND;
      if (arrivals->last_drawn_us >= (gdouble) options->end)
        return LOAD_ARRIVALS_END;
      if (thinning < 1 || in_burst (options, arrivals->last_drawn_us))
        return (anvil_time_t) arrivals->last_drawn_us;
    }
}

load_arrivals_t *
load_arrivals_new (const load_arrivals_options_t *options, anvil_time_t start, guint32 seed)
{
  load_arrivals_t *arrivals = g_new0 (load_arrivals_t, 1);

  arrivals->options = *options;
  arrivals->options.burst_factor = MAX (options->burst_factor, 1);
  arrivals->rand = g_rand_new_with_seed (seed);
  arrivals->last_drawn_us = (gdouble) start;
  arrivals->next = draw_next (arrivals);
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
  anvil_time_t time = arrivals->next;

  if (time != LOAD_ARRIVALS_END)
    arrivals->next = draw_next (arrivals);
  return time;
}
