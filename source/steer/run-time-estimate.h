#pragma once

#include "anvil/clock.h"

/* Buckets of a histogram: 8 for each doubling from 1 ms to 2 minutes. */
#define ANVIL_RUN_TIME_BUCKETS 136

/**
 * anvil_run_time_estimate_t - histogram of run times in which samples lose weight with age
 *
 * Zeroed memory is an estimate without samples. Quantiles are interpolated within a bucket, whose
 * limits are 9 % apart.
 *
 * @weights: weight of the samples by bucket, relative to @reference
 * @total: sum of @weights
 * @reference: time at which a sample has weight 1; later ones have more
 */
typedef struct
{
  gfloat weights[ANVIL_RUN_TIME_BUCKETS];
  gdouble total;
  anvil_time_t reference;
} anvil_run_time_estimate_t;

/** anvil_run_time_estimate_add - adds a sample
 * @now: monotonic clock
 * @run_time: microseconds; counts in the nearest bucket if it is out of their range */
void anvil_run_time_estimate_add (anvil_run_time_estimate_t *estimate,
                                  anvil_time_t now,
                                  anvil_time_t run_time);

/** anvil_run_time_estimate_quantile - run time that @quantile (0 to 1) of the runs don't exceed,
 * microseconds; 0 before the first sample */
anvil_time_t anvil_run_time_estimate_quantile (const anvil_run_time_estimate_t *estimate,
                                               gdouble quantile);

/** anvil_run_time_estimate_weight - number of samples, each counted by what its age leaves of it:
 * half after 10 s */
gdouble anvil_run_time_estimate_weight (const anvil_run_time_estimate_t *estimate,
                                        anvil_time_t now);

/**
 * anvil_run_time_estimate_remaining - how much longer a run takes that has lasted for some time
 * @elapsed: how long it has lasted, microseconds
 * @quantile: share of such runs, 0 to 1, that take no longer than the result
 *
 * It is derived from the samples longer than @elapsed. A run that has lasted longer than all of
 * them is expected to take as long again.
 *
 * Return: microseconds; 0 before the first sample.
 */
anvil_time_t anvil_run_time_estimate_remaining (const anvil_run_time_estimate_t *estimate,
                                                anvil_time_t elapsed,
                                                gdouble quantile);
