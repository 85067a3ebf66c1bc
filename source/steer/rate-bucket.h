#pragma once

#include "anvil/clock.h"

/* Part of a second of its share that an entry may save up. */
#define ANVIL_RATE_BURST_TIME (250 * ANVIL_MS)

/**
 * anvil_rate_bucket_t - a token bucket over an entry's share of one limit
 * @key: hash of the budget's name, the same at every entry
 * @rate_per_seat: units a second that one seat may use
 * @tokens: units that may be used at once; below 0 while a large use is worked off
 * @refill_stopped: no seat of this entry fills it now
 * @last: when tokens were last added
 * @total_used: units used since the start
 */
typedef struct
{
  guint64 key;
  gdouble rate_per_seat;
  gdouble tokens;
  gboolean refill_stopped;
  anvil_time_t last;
  gint64 total_used;
} anvil_rate_bucket_t;

/** anvil_rate_bucket_capacity - most units that may be saved up */
gdouble anvil_rate_bucket_capacity (const anvil_rate_bucket_t *rate);

/** anvil_rate_bucket_refill - adds what one seat yields in a span of its use */
void anvil_rate_bucket_refill (anvil_rate_bucket_t *rate, anvil_time_t span);

/**
 * anvil_rate_bucket_allows - whether a use of @units may start
 *
 * A use above the capacity may start on a full bucket; what it takes beyond is
 * worked off before the next one. Where no seat fills the bucket nothing would
 * be worked off, so the whole use has to be there.
 */
gboolean anvil_rate_bucket_allows (const anvil_rate_bucket_t *rate, gint64 units);

/** anvil_rate_bucket_consume - takes units; a negative number gives back what wasn't needed */
void anvil_rate_bucket_consume (anvil_rate_bucket_t *rate, gint64 units);

/** anvil_rate_bucket_lend - takes up to @units away for a peer; returns how many */
gint64 anvil_rate_bucket_lend (anvil_rate_bucket_t *rate, gint64 units);
