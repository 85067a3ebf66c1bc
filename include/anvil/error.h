#pragma once

#include <glib.h>

#define ANVIL_ERROR (anvil_error_quark ())

/**
 * anvil_error_code_t - error codes, for code that handles kinds of failure differently
 * @ANVIL_ERROR_INVALID: input that violates its schema or limits
 * @ANVIL_ERROR_UNAVAILABLE: the other side is unreachable or overloaded; the operation had no
 *   effect
 * @ANVIL_ERROR_UNKNOWN_OUTCOME: sent, but no valid response received; the operation may have
 *   taken effect
 * @ANVIL_ERROR_CONFLICT: a condition of the operation did not hold
 * @ANVIL_ERROR_NOT_FOUND: no object of that name
 * @ANVIL_ERROR_IO: a system call failed
 * @ANVIL_ERROR_TIMED_OUT: the other side did not answer in time, or paused too long; the operation
 *   may have taken effect
 * @ANVIL_ERROR_OUTDATED: the answer is of an earlier state of the other side, or not its own
 */
typedef enum
{
  ANVIL_ERROR_INVALID,
  ANVIL_ERROR_UNAVAILABLE,
  ANVIL_ERROR_UNKNOWN_OUTCOME,
  ANVIL_ERROR_CONFLICT,
  ANVIL_ERROR_NOT_FOUND,
  ANVIL_ERROR_IO,
  ANVIL_ERROR_TIMED_OUT,
  ANVIL_ERROR_OUTDATED,
} anvil_error_code_t;

/** anvil_error_quark - the GError domain of all modules */
GQuark anvil_error_quark (void);
