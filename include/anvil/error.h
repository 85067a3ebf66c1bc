#pragma once

#include <glib.h>

#define ANVIL_ERROR (anvil_error_quark ())

/**
 * anvil_error_code_t - what went wrong, for a caller that decides by it
 * @ANVIL_ERROR_INVALID: input that breaks its schema or bounds
 * @ANVIL_ERROR_UNAVAILABLE: the other side can't be reached, nothing was done
 * @ANVIL_ERROR_UNKNOWN_OUTCOME: sent, but the answer was lost
 * @ANVIL_ERROR_CONFLICT: a condition didn't hold
 * @ANVIL_ERROR_NOT_FOUND: no such thing
 * @ANVIL_ERROR_IO: the operating system refused
 */
typedef enum
{
  ANVIL_ERROR_INVALID,
  ANVIL_ERROR_UNAVAILABLE,
  ANVIL_ERROR_UNKNOWN_OUTCOME,
  ANVIL_ERROR_CONFLICT,
  ANVIL_ERROR_NOT_FOUND,
  ANVIL_ERROR_IO,
} anvil_error_code_t;

/** anvil_error_quark - the GError domain of every part */
GQuark anvil_error_quark (void);
