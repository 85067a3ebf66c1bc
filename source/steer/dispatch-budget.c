#include "steer/dispatch-budget.h"

static void
advance (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  gint64 span = now / (length / ANVIL_RETRY_SPANS);
  gint64 passed = MIN (span - window->span, ANVIL_RETRY_SPANS + 1);

  for (gint64 i = 0; i < passed; i++)
    {
      guint index = (guint) ((span - i) % (ANVIL_RETRY_SPANS + 1));

      window->requests[index] = 0;
      window->repeats[index] = 0;
    }
  if (passed > 0)
    window->span = span;
}

static guint
sum (const guint *counts)
{
  guint total = 0;

  for (guint i = 0; i <= ANVIL_RETRY_SPANS; i++)
    total += counts[i];
  return total;
}

void
anvil_retry_window_request (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  advance (window, now, length);
  window->requests[window->span % (ANVIL_RETRY_SPANS + 1)]++;
}

gboolean
anvil_retry_window_spend (anvil_retry_window_t *window,
                          anvil_time_t now,
                          anvil_time_t length,
                          gdouble ratio,
                          gdouble extra)
{
  advance (window, now, length);
  if (sum (window->repeats) + 1 > ratio * sum (window->requests) + extra)
    return FALSE;
  window->repeats[window->span % (ANVIL_RETRY_SPANS + 1)]++;
  return TRUE;
}
