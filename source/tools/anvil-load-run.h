#pragma once

#include <event2/event.h>

#include "anvil-load-cache.h"
#include "anvil-load-keys.h"
#include "anvil-load-tally.h"
#include "anvil/config.h"

/**
 * load_run_options_t - what callers of a deployment do
 * @config: the deployment
 * @bootstrap: entries that are asked for look-ups; borrowed
 * @n_bootstrap: how many, at least 1
 * @rate_per_s: requests of all services and regions together
 * @duration: time in which requests are due
 * @seed: of everything that is drawn
 * @callers: clients of each region
 * @repeat_percent: keyed requests whose key is sent again
 * @burst_factor: how many times more uploads come during the burst
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

/** load_run_t - open-loop callers of a deployment and what became of their requests */
typedef struct load_run load_run_t;

/** load_run_new - draws the callers and the schedule; nothing is sent yet */
load_run_t *load_run_new (struct event_base *base, const load_run_options_t *options);
void load_run_drop (load_run_t *run);

/** load_run_wait - runs the event loop until every request has ended, or is overdue */
void load_run_wait (load_run_t *run);

/** load_run_tallies - one for each service */
const load_tally_t *load_run_tallies (const load_run_t *run);

const load_keys_t *load_run_keys (const load_run_t *run);

/** load_run_lookup_counts - look-ups asked for, those that failed, and entries that were skipped */
void load_run_lookup_counts (const load_run_t *run,
                             guint64 *lookups,
                             guint64 *failed_lookups,
                             guint64 *failovers);
