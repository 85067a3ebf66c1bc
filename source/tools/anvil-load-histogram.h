#pragma once

#include "anvil/clock.h"

/**
 * load_histogram_t - durations counted in buckets of constant relative width
 *
 * A percentile is at most 1 % above the exact one; the longest duration is
 * exact.
 */
typedef struct load_histogram load_histogram_t;

load_histogram_t *load_histogram_new (void);
void load_histogram_drop (load_histogram_t *histogram);

/** load_histogram_add - counts a duration; a negative one counts as 0 */
void load_histogram_add (load_histogram_t *histogram, anvil_time_t duration);

guint64 load_histogram_count (const load_histogram_t *histogram);

/** load_histogram_worst - the longest duration, 0 if none was counted */
anvil_time_t load_histogram_worst (const load_histogram_t *histogram);

/**
 * load_histogram_percentile - duration that @percent of all durations do not exceed
 *
 * Return: the upper bound of its bucket, at most the longest duration; 0 if none was counted.
 */
anvil_time_t load_histogram_percentile (const load_histogram_t *histogram, gdouble percent);
