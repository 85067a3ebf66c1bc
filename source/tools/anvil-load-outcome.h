#pragma once

#include "anvil/str.h"

/**
 * load_outcome_t - how a request ended, as seen by its caller
 * @LOAD_ANSWERED: a complete response of an upstream was received
 * @LOAD_REFUSED: an entry refused it; it was not run
 * @LOAD_UNKNOWN: it was sent, and it may have run or not
 * @LOAD_NOT_SENT: no entry was found or could be connected to; no byte was sent
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
 * load_fault_t - what is wrong with a response
 * @LOAD_FAULT_OTHER_REQUEST: it has the id of another request, or none where one is required
 * @LOAD_FAULT_TRUNCATED: it ended early, is too short, or does not declare its length
 * @LOAD_FAULT_NO_OUTCOME: it has no valid Anvil-Outcome
 */
typedef enum
{
  LOAD_FAULT_NONE,
  LOAD_FAULT_OTHER_REQUEST,
  LOAD_FAULT_TRUNCATED,
  LOAD_FAULT_NO_OUTCOME,
} load_fault_t;

#define LOAD_N_FAULTS 4

/** load_outcome_name - name of an outcome in reports and in Anvil-Outcome */
const char *load_outcome_name (load_outcome_t outcome);

const char *load_fault_name (load_fault_t fault);

/**
 * load_response_t - the parts of a complete response that its outcome depends on
 * @id: Anvil-Request-Id of the request
 * @echoed_id: request id in the response, from a header or the first line of the body
 * @outcome: Anvil-Outcome of the response, or NULL
 * @delimited: whether it has Content-Length or Transfer-Encoding
 * @body_bytes: length of its body
 * @min_body_bytes: minimum length of the body of a response with status 200
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
 * load_response_classify - outcome of a request that got a complete response
 * @fault: result; what is wrong with the response
 *
 * The id of the request is required in the response of an upstream and optional in a refusal. A
 * response with a fault counts as LOAD_UNKNOWN.
 */
load_outcome_t load_response_classify (const load_response_t *response, load_fault_t *fault);
