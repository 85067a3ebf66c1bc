#pragma once

#include "anvil/str.h"

/**
 * anvil_request_limit_state_t - what a response says about its upstream's request limit
 * @ANVIL_REQUEST_LIMIT_UNKNOWN: there is no response, or none that can be trusted in this
 * @ANVIL_REQUEST_LIMIT_NONE: it names no limit
 * @ANVIL_REQUEST_LIMIT_NAMED: it names a limit
 */
typedef enum
{
  ANVIL_REQUEST_LIMIT_UNKNOWN,
  ANVIL_REQUEST_LIMIT_NONE,
  ANVIL_REQUEST_LIMIT_NAMED,
} anvil_request_limit_state_t;

/**
 * anvil_request_limit_t - requests a second that an upstream takes from all entries together
 * @per_second: 0 or more; 0 unless @state is ANVIL_REQUEST_LIMIT_NAMED
 *
 * An upstream under strain names a limit in every response, for as long as it applies.
 */
typedef struct
{
  anvil_request_limit_state_t state;
  gdouble per_second;
} anvil_request_limit_t;

/**
 * anvil_request_limit_add_field - takes the value of a response's header field into account
 * @limit: what the response says so far
 * @value: a decimal number; any other value makes @limit unknown unless another field names one
 *
 * If a response names several limits, the lowest applies.
 */
void anvil_request_limit_add_field (anvil_request_limit_t *limit, anvil_str_t value);
