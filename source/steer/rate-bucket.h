#pragma once

#include "anvil/clock.h"

/* Capacity of a bucket, as the time in which one seat's rate fills it. */
#define ANVIL_RATE_BURST_TIME (250 * ANVIL_MS)

/**
 * anvil_rate_bucket_t - a token bucket over an entry's share of one rate limit
 * @key: hash of the budget's name, the same at every entry
 * @rate_per_seat: tokens that each seat of this entry adds per second
 * @tokens: units that may be used at once; below 0 after a use above the capacity
 * @refill_stopped: this entry has no usable seat that refills the bucket
 * @refilled_at: when tokens were last added
 * @total_used: units used since the start
 */
typedef struct
{
  guint64 key;
  gdouble rate_per_seat;
  gdouble tokens;
  gboolean refill_stopped;
  anvil_time_t refilled_at;
  gint64 total_used;
} anvil_rate_bucket_t;

/** anvil_rate_bucket_capacity - maximum number of tokens that refills reach */
gdouble anvil_rate_bucket_capacity (const anvil_rate_bucket_t *bucket);

/** anvil_rate_bucket_refill - adds the tokens of one seat that was usable for @duration */
void anvil_rate_bucket_refill (anvil_rate_bucket_t *bucket, anvil_time_t duration);

/**
 * anvil_rate_bucket_allows - whether a use of @units may start
 *
 * A use above the capacity may start on a full bucket and leaves it below 0,
 * which refills make up for before the next use. Without refills it never would
 * be made up for, so all of @units must be in the bucket then.
 */
gboolean anvil_rate_bucket_allows (const anvil_rate_bucket_t *bucket, gint64 units);

/** anvil_rate_bucket_consume - takes @units; a negative number returns units that weren't needed */
void anvil_rate_bucket_consume (anvil_rate_bucket_t *bucket, gint64 units);

/** anvil_rate_bucket_lend - takes up to @units for a peer, at most half of the tokens; returns how
 * many */
gint64 anvil_rate_bucket_lend (anvil_rate_bucket_t *bucket, gint64 units);
