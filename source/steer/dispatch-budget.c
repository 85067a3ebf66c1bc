#include "steer/dispatch-budget.h"

static gint64
bucket_at (anvil_time_t now, anvil_time_t length)
{
  return now / (length / ANVIL_RETRY_WINDOW_BUCKETS);
}

/* Index of a bucket by its age; the current one has age 0. */
static guint
index_of (const anvil_retry_window_t *window, guint age)
{
  return (guint) ((window->bucket + ANVIL_RETRY_COUNTED_BUCKETS - age)
                  % ANVIL_RETRY_COUNTED_BUCKETS);
}

static void
advance (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length)
{
  gint64 bucket = bucket_at (now, length);
  gint64 passed = MIN (bucket - window->bucket, ANVIL_RETRY_COUNTED_BUCKETS);

  if (passed <= 0)
    return;
  window->bucket = bucket;
  for (guint age = 0; age < passed; age++)
    {
      window->requests[index_of (window, age)] = 0;
      window->retries[index_of (window, age)] = 0;
    }
}

void
anvil_retry_window_add (anvil_retry_window_t *window,
                        anvil_time_t now,
                        anvil_time_t length,
                        gboolean is_retry)
{
  advance (window, now, length);
  if (is_retry)
    window->retries[index_of (window, 0)]++;
  else
    window->requests[index_of (window, 0)]++;
  window->n_attempts++;
}

void
anvil_retry_window_sum (anvil_retry_window_t *window,
                        anvil_time_t now,
                        anvil_time_t length,
                        guint *requests,
                        guint *retries)
{
  advance (window, now, length);
  for (guint i = 0; i < ANVIL_RETRY_COUNTED_BUCKETS; i++)
    {
      *requests += window->requests[i];
      *retries += window->retries[i];
    }
}

void
anvil_retry_window_save (anvil_retry_window_t *window,
                         anvil_time_t now,
                         anvil_time_t length,
                         anvil_retry_counts_t *counts)
{
  advance (window, now, length);
  *counts = (anvil_retry_counts_t){ .n_attempts = window->n_attempts };
  for (guint age = 0; age < ANVIL_RETRY_COUNTED_BUCKETS; age++)
    {
      counts->requests[age] = window->requests[index_of (window, age)];
      counts->retries[age] = window->retries[index_of (window, age)];
    }
}

void
anvil_retry_window_load (anvil_retry_window_t *window,
                         anvil_time_t now,
                         anvil_time_t length,
                         const anvil_retry_counts_t *counts)
{
  *window = (anvil_retry_window_t){ .bucket = bucket_at (now, length),
                                    .n_attempts = counts->n_attempts };
  for (guint age = 0; age < ANVIL_RETRY_COUNTED_BUCKETS; age++)
    {
      window->requests[index_of (window, age)] = counts->requests[age];
      window->retries[index_of (window, age)] = counts->retries[age];
    }
}
