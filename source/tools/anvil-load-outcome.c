#include "anvil-load-outcome.h"

#include <string.h>

static const char *const outcome_names[LOAD_N_OUTCOMES] = {
  [LOAD_ANSWERED] = "answered",
  [LOAD_REFUSED] = "refused",
  [LOAD_UNKNOWN] = "unknown",
  [LOAD_NOT_SENT] = "not_sent",
};

static const char *const fault_names[LOAD_N_FAULTS] = {
  [LOAD_FAULT_NONE] = "none",
  [LOAD_FAULT_OTHER_REQUEST] = "other_request",
  [LOAD_FAULT_TRUNCATED] = "truncated",
  [LOAD_FAULT_NO_OUTCOME] = "no_outcome",
};

const char *
load_outcome_name (load_outcome_t outcome)
{
  return outcome_names[outcome];
}

const char *
load_fault_name (load_fault_t fault)
{
  return fault_names[fault];
}

static load_fault_t
find_fault (const load_response_t *response)
{
  if (response->echoed == NULL || strcmp (response->echoed, response->id) != 0)
    return LOAD_FAULT_OTHER_REQUEST;
  if (response->outcome == NULL)
    return LOAD_FAULT_NO_OUTCOME;
  if (!response->delimited)
    return LOAD_FAULT_TRUNCATED;
  return LOAD_FAULT_NONE;
}

load_outcome_t
load_response_judge (const load_response_t *response, load_fault_t *fault)
{
  *fault = find_fault (response);
  if (*fault != LOAD_FAULT_NONE)
    return LOAD_UNKNOWN;
  for (load_outcome_t outcome = LOAD_ANSWERED; outcome <= LOAD_UNKNOWN; outcome++)
    {
      if (strcmp (response->outcome, outcome_names[outcome]) == 0)
        return outcome;
    }
  *fault = LOAD_FAULT_NO_OUTCOME;
  return LOAD_UNKNOWN;
}
