#include "anvil-load-tally.h"

void
load_tally_add_outcome (load_tally_t *tally,
                        load_outcome_t outcome,
                        load_fault_t fault,
                        gboolean is_repeat,
                        anvil_time_t latency)
{
  tally->outcomes[outcome]++;
  tally->faults[fault]++;
  if (outcome == LOAD_ANSWERED && !is_repeat)
    load_histogram_add (tally->latency, latency);
}

guint64
load_tally_pending (const load_tally_t *tally)
{
  guint64 n_finished = 0;

  for (guint i = 0; i < LOAD_N_OUTCOMES; i++)
    n_finished += tally->outcomes[i];
  return tally->started - n_finished;
}

guint64
load_tally_wrong (const load_tally_t *tally)
{
  guint64 wrong = 0;

  for (guint i = LOAD_FAULT_NONE + 1; i < LOAD_N_FAULTS; i++)
    wrong += tally->faults[i];
  return wrong;
}
