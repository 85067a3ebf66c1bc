#pragma once

#include "anvil/clock.h"

/**
 * load_arrivals_options_t - arrival rate of a stream of requests
 * @rate_per_s: mean rate outside of the burst
 * @burst_factor: factor on the rate during the burst; less than 1 counts as 1
 * @end: no request arrives at or after this time
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
 * load_arrivals_t - Poisson arrivals, determined by the seed
 *
 * The schedule does not depend on response times: a slow response delays no
 * later arrival.
 */
typedef struct load_arrivals load_arrivals_t;

/* Time of the next arrival after the last one. */
#define LOAD_ARRIVALS_END G_MAXINT64

load_arrivals_t *
load_arrivals_new (const load_arrivals_options_t *options, anvil_time_t start, guint32 seed);
void load_arrivals_drop (load_arrivals_t *arrivals);

/** load_arrivals_peek - time of the next arrival, or LOAD_ARRIVALS_END */
anvil_time_t load_arrivals_peek (const load_arrivals_t *arrivals);

/** load_arrivals_pop - returns the time of the next arrival and advances to the one after it */
anvil_time_t load_arrivals_pop (load_arrivals_t *arrivals);
