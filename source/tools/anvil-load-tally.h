#pragma once

#include "anvil-load-histogram.h"
#include "anvil-load-outcome.h"

/**
 * load_tally_t - counts of a service's requests
 * @latency: of answered requests, from their scheduled time; without repeats of a key
 * @started: all requests
 * @repeats: those of @started whose key was sent before
 * @outcomes: finished requests by outcome
 * @faults: finished requests by what was wrong with the response
 */
typedef struct
{
  load_histogram_t *latency;
  guint64 started;
  guint64 repeats;
  guint64 outcomes[LOAD_N_OUTCOMES];
  guint64 faults[LOAD_N_FAULTS];
} load_tally_t;

/** load_tally_add_outcome - counts a finished request */
void load_tally_add_outcome (load_tally_t *tally,
                             load_outcome_t outcome,
                             load_fault_t fault,
                             gboolean is_repeat,
                             anvil_time_t latency);

/** load_tally_pending - number of requests without an outcome so far */
guint64 load_tally_pending (const load_tally_t *tally);

/** load_tally_wrong - number of finished requests whose response had a fault */
guint64 load_tally_wrong (const load_tally_t *tally);
