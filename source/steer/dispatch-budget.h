#pragma once

#include "anvil/clock.h"
#include "anvil/retry-counts.h"

/**
 * anvil_bucket_t - a token bucket
 * @tokens: tokens that may be taken now
 * @refilled_at: when @tokens was last updated
 */
typedef struct
{
  gdouble tokens;
  anvil_time_t refilled_at;
} anvil_bucket_t;

/** anvil_bucket_refill - adds tokens for the time since the last refill, up to @burst in all */
static inline void
anvil_bucket_refill (anvil_bucket_t *bucket, anvil_time_t now, gdouble per_second, gdouble burst)
{
  gdouble seconds = (gdouble) (now - bucket->refilled_at) / (gdouble) ANVIL_SECOND;

  bucket->tokens = MIN (burst, bucket->tokens + MAX (seconds, 0) * per_second);
  bucket->refilled_at = now;
}

/**
 * anvil_retry_window_t - requests and retries of one service in a sliding window
 * @requests: first attempts, by bucket
 * @retries: further attempts, by bucket
 * @bucket: number of the current bucket since time 0; its index is this number modulo the length of
 *   the arrays
 * @n_attempts: all that were ever counted
 */
typedef struct
{
  guint32 requests[ANVIL_RETRY_COUNTED_BUCKETS];
  guint32 retries[ANVIL_RETRY_COUNTED_BUCKETS];
  gint64 bucket;
  guint64 n_attempts;
} anvil_retry_window_t;

/** anvil_retry_window_add - counts an attempt; @length is that of the window, microseconds */
void anvil_retry_window_add (anvil_retry_window_t *window,
                             anvil_time_t now,
                             anvil_time_t length,
                             gboolean is_retry);

/** anvil_retry_window_sum - adds what was counted in the window to @requests and @retries */
void anvil_retry_window_sum (anvil_retry_window_t *window,
                             anvil_time_t now,
                             anvil_time_t length,
                             guint *requests,
                             guint *retries);

/** anvil_retry_window_save - counts of the window, for another dispatcher; without an origin */
void anvil_retry_window_save (anvil_retry_window_t *window,
                              anvil_time_t now,
                              anvil_time_t length,
                              anvil_retry_counts_t *counts);

/** anvil_retry_window_load - replaces the window by counts of another dispatcher */
void anvil_retry_window_load (anvil_retry_window_t *window,
                              anvil_time_t now,
                              anvil_time_t length,
                              const anvil_retry_counts_t *counts);
