#pragma once

#include <glib.h>

/* Retries allowed for each request, and most that may accumulate. */
#define ANVIL_RETRY_RATIO 0.1
#define ANVIL_RETRY_BURST 10.0
/* Most attempts of one request. */
#define ANVIL_MAX_ATTEMPTS 4

/** anvil_retry_budget_t - keeps retries a small part of all requests, so that a failing region gets
 * no retry storm */
typedef struct
{
  gdouble tokens;
} anvil_retry_budget_t;

static inline void
anvil_retry_budget_deposit (anvil_retry_budget_t *budget)
{
  budget->tokens = MIN (ANVIL_RETRY_BURST, budget->tokens + ANVIL_RETRY_RATIO);
}

static inline gboolean
anvil_retry_budget_try_withdraw (anvil_retry_budget_t *budget)
{
  if (budget->tokens < 1)
    return FALSE;
  budget->tokens -= 1;
  return TRUE;
}
