#pragma once

#include "anvil-load-histogram.h"
#include "anvil-load-outcome.h"

/**
 * load_tally_t - the requests of one service
 * @latency: answered requests, from the time that each was due; keys sent again are left out
 * @started: requests
 * @repeats: requests whose key was sent before; part of @started
 * @outcomes: ended requests by outcome
 * @faults: ended requests by what was wrong with the answer
 */
typedef struct
{
  load_histogram_t *latency;
  guint64 started;
  guint64 repeats;
  guint64 outcomes[LOAD_N_OUTCOMES];
  guint64 faults[LOAD_N_FAULTS];
} load_tally_t;

/** load_tally_add_outcome - counts the end of a request */
void load_tally_add_outcome (load_tally_t *tally,
                             load_outcome_t outcome,
                             load_fault_t fault,
                             gboolean repeat,
                             anvil_time_t latency);

/** load_tally_pending - requests without an outcome yet */
guint64 load_tally_pending (const load_tally_t *tally);

/** load_tally_wrong - ended requests whose answer was wrong */
guint64 load_tally_wrong (const load_tally_t *tally);
