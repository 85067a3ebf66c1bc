#include "steer/run-time-estimate.h"

#include <math.h>

/* Upper limit of the first bucket. */
#define FIRST_LIMIT_US ((gdouble) ANVIL_MS)
#define BUCKETS_PER_DOUBLING 8
/* Half-life of a sample: docs/HARD-LOAD.md, part 3. */
#define HALF_LIFE (10 * ANVIL_SECOND)
/* Weights are divided when a new sample would have 2 to this power, so that they keep their
 * precision. */
#define MAX_EXPONENT 20
/* Share of the total weight that is a rounding error when weights are subtracted. */
#define MIN_SHARE 1e-6

/* Upper limit of a bucket, microseconds; -1 gives the lower limit of the first one. */
static gdouble
bucket_limit (gint bucket)
{
  return bucket < 0 ? 0 : FIRST_LIMIT_US * exp2 ((gdouble) bucket / BUCKETS_PER_DOUBLING);
}

static guint
bucket_of (anvil_time_t run_time)
{
  gdouble index;

  if ((gdouble) run_time <= FIRST_LIMIT_US)
    return 0;
  index = ceil (log2 ((gdouble) run_time / FIRST_LIMIT_US) * BUCKETS_PER_DOUBLING);
  return (guint) MIN (index, ANVIL_RUN_TIME_BUCKETS - 1);
}

static gdouble
half_lives_since (const anvil_run_time_estimate_t *estimate, anvil_time_t now)
{
  return (gdouble) (now - estimate->reference) / (gdouble) HALF_LIFE;
}

static void
move_reference (anvil_run_time_estimate_t *estimate, anvil_time_t now)
{
  gdouble factor = exp2 (-half_lives_since (estimate, now));

  estimate->total = 0;
  for (guint i = 0; i < ANVIL_RUN_TIME_BUCKETS; i++)
    {
      estimate->weights[i] = (gfloat) (estimate->weights[i] * factor);
      estimate->total += estimate->weights[i];
    }
  estimate->reference = now;
}

void
anvil_run_time_estimate_add (anvil_run_time_estimate_t *estimate,
                             anvil_time_t now,
                             anvil_time_t run_time)
{
  gdouble weight;

  if (estimate->total <= 0)
    estimate->reference = now;
  else if (half_lives_since (estimate, now) > MAX_EXPONENT)
    move_reference (estimate, now);
  weight = exp2 (half_lives_since (estimate, now));
  estimate->weights[bucket_of (run_time)] += (gfloat) weight;
  estimate->total += weight;
}

/* Run time below which @rank of the weight lies. */
static gdouble
run_time_at (const anvil_run_time_estimate_t *estimate, gdouble rank)
{
  gdouble below = 0;
  gdouble last = 0;

  for (gint i = 0; i < ANVIL_RUN_TIME_BUCKETS; i++)
    {
      gdouble weight = estimate->weights[i];

      if (weight <= 0)
        continue;
      last = bucket_limit (i);
      if (below + weight >= rank)
        return bucket_limit (i - 1)
               + (last - bucket_limit (i - 1)) * CLAMP ((rank - below) / weight, 0, 1);
      below += weight;
    }
  return last;
}

anvil_time_t
anvil_run_time_estimate_quantile (const anvil_run_time_estimate_t *estimate, gdouble quantile)
{
  return (anvil_time_t) run_time_at (estimate, CLAMP (quantile, 0, 1) * estimate->total);
}

gdouble
anvil_run_time_estimate_weight (const anvil_run_time_estimate_t *estimate, anvil_time_t now)
{
  return estimate->total > 0 ? estimate->total * exp2 (-half_lives_since (estimate, now)) : 0;
}

/* Weight of the samples that are not longer than @run_time. */
static gdouble
weight_up_to (const anvil_run_time_estimate_t *estimate, anvil_time_t run_time)
{
  gint last = (gint) bucket_of (run_time);
  gdouble lower = bucket_limit (last - 1);
  gdouble share = ((gdouble) run_time - lower) / (bucket_limit (last) - lower);
  gdouble weight = estimate->weights[last] * CLAMP (share, 0, 1);

  for (gint i = 0; i < last; i++)
    weight += estimate->weights[i];
  return weight;
}

anvil_time_t
anvil_run_time_estimate_remaining (const anvil_run_time_estimate_t *estimate,
                                   anvil_time_t elapsed,
                                   gdouble quantile)
{
  gdouble passed = weight_up_to (estimate, elapsed);
  gdouble longer = estimate->total - passed;

  if (estimate->total <= 0)
    return 0;
  if (longer <= MIN_SHARE * estimate->total)
    return elapsed;
  return MAX (
      (anvil_time_t) run_time_at (estimate, passed + CLAMP (quantile, 0, 1) * longer) - elapsed, 0);
}
