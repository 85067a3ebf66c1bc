#include "steer/dispatch-shift.h"

#include <string.h>

/* Fewer requests in the previous window than this give no meaningful share. */
#define MIN_PREVIOUS_REQUESTS 20

/* Clears the buckets that have passed since the last call. */
static void
advance (shift_window_t *window, anvil_time_t now)
{
  gint64 number = now / SHIFT_BUCKET_TIME;

  if (number - window->newest >= SHIFT_BUCKETS)
    memset (window->buckets, 0, sizeof window->buckets);
  else
    for (gint64 i = window->newest + 1; i <= number; i++)
      window->buckets[i % SHIFT_BUCKETS] = (shift_count_t){ 0 };
  window->newest = MAX (window->newest, number);
}

/* Sum of the window that ends with bucket @last. */
static shift_count_t
sum_window (const shift_window_t *window, gint64 last)
{
  shift_count_t sum = { 0 };

  for (gint64 i = MAX (last - SHIFT_WINDOW_BUCKETS + 1, 0); i <= last; i++)
    {
      const shift_count_t *bucket = &window->buckets[i % SHIFT_BUCKETS];

      sum.local += bucket->local;
      sum.remote += bucket->remote;
    }
  return sum;
}

void
shift_record (shift_window_t *window, anvil_time_t now, gboolean remote)
{
  shift_count_t *bucket;

  advance (window, now);
  bucket = &window->buckets[window->newest % SHIFT_BUCKETS];
  if (remote)
    bucket->remote++;
  else
    bucket->local++;
}

gboolean
shift_allows_remote (shift_window_t *window, anvil_time_t now, gdouble max_growth)
{
  shift_count_t current;
  shift_count_t previous;
  gdouble share;

  advance (window, now);
  current = sum_window (window, window->newest);
  previous = sum_window (window, window->newest - SHIFT_WINDOW_BUCKETS);
  if (previous.local + previous.remote < MIN_PREVIOUS_REQUESTS)
    return TRUE;
  share = (gdouble) previous.remote / (gdouble) (previous.local + previous.remote);
  return (gdouble) (current.remote + 1)
         <= (share + max_growth) * (gdouble) (current.local + current.remote + 1);
}
