#pragma once

#include "anvil/clock.h"

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

/* Buckets into which the window of the retry budget is divided. */
#define ANVIL_RETRY_WINDOW_BUCKETS 10

/**
 * anvil_retry_window_t - requests and retries of one service in a sliding window
 * @requests: first attempts, by bucket
 * @retries: further attempts, by bucket
 * @bucket: number of the current bucket since time 0; its index is this number modulo the length of
 *   the arrays
 *
 * One bucket more than the window has is kept, since the current one is partial:
 * the sums never cover less than the window.
 */
typedef struct
{
  guint requests[ANVIL_RETRY_WINDOW_BUCKETS + 1];
  guint retries[ANVIL_RETRY_WINDOW_BUCKETS + 1];
  gint64 bucket;
} anvil_retry_window_t;

/** anvil_retry_window_add_request - counts a first attempt */
void anvil_retry_window_add_request (anvil_retry_window_t *window,
                                     anvil_time_t now,
                                     anvil_time_t length);

/**
 * anvil_retry_window_try_retry - counts a retry if the budget allows it
 * @length: length of the window, microseconds
 * @ratio: retries allowed for each request of the window
 * @extra: retries allowed in addition
 */
gboolean anvil_retry_window_try_retry (anvil_retry_window_t *window,
                                       anvil_time_t now,
                                       anvil_time_t length,
                                       gdouble ratio,
                                       gdouble extra);
