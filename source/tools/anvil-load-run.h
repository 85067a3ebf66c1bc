#pragma once

#include <event2/event.h>

#include "anvil-load-cache.h"
#include "anvil-load-keys.h"
#include "anvil-load-tally.h"
#include "anvil/config.h"

/**
 * load_run_options_t - load that callers put on a deployment
 * @config: configuration of the deployment
 * @bootstrap: entries that look-ups are sent to; borrowed
 * @n_bootstrap: at least 1
 * @rate_per_s: requests of all services and regions together, without the burst
 * @duration: time in which requests arrive
 * @seed: seed of all random numbers
 * @callers: number of callers in each region
 * @repeat_percent: percentage of the requests with a key whose key is sent a second time
 * @burst_factor: factor on the rate of uploads during the burst
 */
typedef struct
{
  anvil_config_t *config;
  const load_entry_t *bootstrap;
  guint n_bootstrap;
  gdouble rate_per_s;
  anvil_time_t duration;
  guint32 seed;
  guint callers;
  guint repeat_percent;
  gdouble burst_factor;
} load_run_options_t;

/** load_run_t - open-loop callers of a deployment and the outcomes of their requests */
typedef struct load_run load_run_t;

/** load_run_new - creates the callers and their schedule; sends nothing yet */
load_run_t *load_run_new (struct event_base *base, const load_run_options_t *options);
void load_run_drop (load_run_t *run);

/**
 * load_run_wait - runs the event loop until every request has an outcome
 *
 * Gives up some time after the longest deadline.
 */
void load_run_wait (load_run_t *run);

/** load_run_tallies - array with one tally for each service */
const load_tally_t *load_run_tallies (const load_run_t *run);

const load_keys_t *load_run_keys (const load_run_t *run);

/** load_run_lookup_counts - look-ups, those that failed, and entries that were unreachable */
void load_run_lookup_counts (const load_run_t *run,
                             guint64 *lookups,
                             guint64 *failed_lookups,
                             guint64 *failovers);
