#pragma once

#include "anvil/str.h"

/**
 * load_outcome_t - how a request ended, as its caller was told
 * @LOAD_ANSWERED: a whole answer of an upstream came
 * @LOAD_REFUSED: an entry said that it was not run
 * @LOAD_UNKNOWN: it was sent, and it may have run
 * @LOAD_NOT_SENT: no entry took a byte of it
 */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_REFUSED,
  LOAD_UNKNOWN,
  LOAD_NOT_SENT,
} load_outcome_t;

#define LOAD_N_OUTCOMES 4

/**
 * load_fault_t - what is wrong with an answer
 * @LOAD_FAULT_NONE: nothing
 * @LOAD_FAULT_OTHER_REQUEST: it answers another request
 * @LOAD_FAULT_TRUNCATED: it ended early, or nothing tells where it ends
 * @LOAD_FAULT_NO_OUTCOME: it doesn't say how the request ended
 */
typedef enum
{
  LOAD_FAULT_NONE,
  LOAD_FAULT_OTHER_REQUEST,
  LOAD_FAULT_TRUNCATED,
  LOAD_FAULT_NO_OUTCOME,
} load_fault_t;

#define LOAD_N_FAULTS 4

/** load_outcome_name - the outcome as a word for reports */
const char *load_outcome_name (load_outcome_t outcome);

/** load_fault_name - the fault as a word for reports */
const char *load_fault_name (load_fault_t fault);

/**
 * load_response_t - what an answer that came to its end says
 * @id: Anvil-Request-Id of the request
 * @echoed_id: the id that the answer names, in a header or as the first line of its body
 * @outcome: Anvil-Outcome of the answer, or NULL
 * @status: status code
 * @delimited: whether it says where its body ends
 * @body_bytes: length of its body
 * @min_body_bytes: least length of the body of a successful answer
 */
typedef struct
{
  const char *id;
  anvil_str_t echoed_id;
  const char *outcome;
  int status;
  gboolean delimited;
  gsize body_bytes;
  gsize min_body_bytes;
} load_response_t;

/**
 * load_response_classify - outcome of a request whose answer came to its end
 * @fault: result
 *
 * Only an answer of an upstream has to name its request; a refusal may.
 */
load_outcome_t load_response_classify (const load_response_t *response, load_fault_t *fault);
