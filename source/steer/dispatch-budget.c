#include "steer/dispatch-budget.h"

static void
advance (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  gint64 bucket = now / (length / ANVIL_RETRY_WINDOW_BUCKETS);
  gint64 passed = MIN (bucket - window->bucket, ANVIL_RETRY_WINDOW_BUCKETS + 1);

  for (gint64 i = 0; i < passed; i++)
    {
      guint index = (guint) ((bucket - i) % (ANVIL_RETRY_WINDOW_BUCKETS + 1));

      window->requests[index] = 0;
      window->retries[index] = 0;
    }
  if (passed > 0)
    window->bucket = bucket;
}

static guint
sum (const guint *counts)
{
  guint total = 0;

  for (guint i = 0; i <= ANVIL_RETRY_WINDOW_BUCKETS; i++)
    total += counts[i];
  return total;
}

void
anvil_retry_window_add_request (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  advance (window, now, length);
  window->requests[window->bucket % (ANVIL_RETRY_WINDOW_BUCKETS + 1)]++;
}

gboolean
anvil_retry_window_try_retry (anvil_retry_window_t *window,
                              anvil_time_t now,
                              anvil_time_t length,
                              gdouble ratio,
                              gdouble extra)
{
  advance (window, now, length);
  if (sum (window->retries) + 1 > ratio * sum (window->requests) + extra)
    return FALSE;
  window->retries[window->bucket % (ANVIL_RETRY_WINDOW_BUCKETS + 1)]++;
  return TRUE;
}
