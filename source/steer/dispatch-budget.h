#pragma once

#include "anvil/clock.h"

/**
 * anvil_bucket_t - a token bucket
 * @tokens: what may be taken now
 * @filled_at: when @tokens was last brought up to date
 */
typedef struct
{
  gdouble tokens;
  anvil_time_t filled_at;
} anvil_bucket_t;

/** anvil_bucket_fill - adds what has accrued at @per_second, at most up to @burst */
static inline void
anvil_bucket_fill (anvil_bucket_t *bucket, anvil_time_t now, gdouble per_second, gdouble burst)
{
  gdouble seconds = (gdouble) (now - bucket->filled_at) / (gdouble) ANVIL_SECOND;

  bucket->tokens = MIN (burst, bucket->tokens + MAX (seconds, 0) * per_second);
  bucket->filled_at = now;
}

/* Buckets that a window of the retry budget is counted in. */
#define ANVIL_RETRY_SPANS 10

/**
 * anvil_retry_window_t - requests and repeats of one service over a sliding window
 * @requests: first tries, by span of the window
 * @repeats: further tries, by span
 * @span: number of the span that is counted now
 *
 * One more span than the window is kept, so that the window is never counted
 * too short.
 */
typedef struct
{
  guint requests[ANVIL_RETRY_SPANS + 1];
  guint repeats[ANVIL_RETRY_SPANS + 1];
  gint64 span;
} anvil_retry_window_t;

/** anvil_retry_window_request - counts a first try */
void
anvil_retry_window_request (anvil_retry_window_t *window, anvil_time_t now, anvil_time_t length);

/**
 * anvil_retry_window_spend - counts a repeat if the budget allows one
 * @length: length of the window, microseconds
 * @ratio: repeats allowed for each request of the window
 * @extra: repeats allowed beyond
 */
gboolean anvil_retry_window_spend (anvil_retry_window_t *window,
                                   anvil_time_t now,
                                   anvil_time_t length,
                                   gdouble ratio,
                                   gdouble extra);
