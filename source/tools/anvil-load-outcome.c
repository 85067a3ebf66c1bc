#include "anvil-load-outcome.h"

#include <string.h>

#define STATUS_OK 200

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

static gboolean
parse_outcome (const char *name, load_outcome_t *outcome)
{
  for (guint i = LOAD_ANSWERED; name != NULL && i <= LOAD_UNKNOWN; i++)
    {
      if (strcmp (name, outcome_names[i]) == 0)
        {
          *outcome = (load_outcome_t) i;
          return TRUE;
        }
    }
  return FALSE;
}

static load_fault_t
check_response (const load_response_t *response, load_outcome_t outcome)
{
  gboolean has_id = response->echoed_id.length > 0;

  if (has_id && !anvil_str_equal (response->echoed_id, anvil_str (response->id)))
    return LOAD_FAULT_OTHER_REQUEST;
  if (outcome == LOAD_ANSWERED && !has_id)
    return LOAD_FAULT_OTHER_REQUEST;
  if (!response->delimited)
    return LOAD_FAULT_TRUNCATED;
  if (outcome == LOAD_ANSWERED && response->status == STATUS_OK
      && response->body_bytes < response->min_body_bytes)
    return LOAD_FAULT_TRUNCATED;
  return LOAD_FAULT_NONE;
}

load_outcome_t
load_response_classify (const load_response_t *response, load_fault_t *fault)
{
  load_outcome_t outcome;

  *fault = LOAD_FAULT_NO_OUTCOME;
  if (!parse_outcome (response->outcome, &outcome))
    return LOAD_UNKNOWN;
  *fault = check_response (response, outcome);
  return *fault == LOAD_FAULT_NONE ? outcome : LOAD_UNKNOWN;
}
