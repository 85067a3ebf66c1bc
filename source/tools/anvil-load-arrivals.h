#pragma once

#include "anvil/clock.h"

/**
 * load_arrivals_options_t - a stream of requests
 * @rate_per_s: mean rate outside the burst
 * @burst_factor: the rate is this many times higher during the burst, at least 1
 * @burst_start: start of the burst
 * @burst_end: end of the burst
 * @end: no arrival at or after this time
 */
typedef struct
{
  gdouble rate_per_s;
  gdouble burst_factor;
  anvil_time_t burst_start;
  anvil_time_t burst_end;
  anvil_time_t end;
} load_arrivals_options_t;

/**
 * load_arrivals_t - Poisson arrivals, fixed by the seed before the run
 *
 * The schedule doesn't depend on how fast requests are answered, so a slow
 * answer delays no later arrival.
 */
typedef struct load_arrivals load_arrivals_t;

/* No further arrival. */
#define LOAD_ARRIVALS_END G_MAXINT64

load_arrivals_t *
load_arrivals_new (const load_arrivals_options_t *options, anvil_time_t start, guint32 seed);
void load_arrivals_drop (load_arrivals_t *arrivals);

/** load_arrivals_peek - time of the next arrival, or LOAD_ARRIVALS_END */
anvil_time_t load_arrivals_peek (const load_arrivals_t *arrivals);

/** load_arrivals_pop - returns the next arrival's time and moves on */
anvil_time_t load_arrivals_pop (load_arrivals_t *arrivals);
