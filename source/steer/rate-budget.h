#pragma once

#include "anvil/clock.h"

/* Part of a second of its share that an entry may save up. */
#define ANVIL_RATE_BURST (250 * ANVIL_MS)

/**
 * anvil_rate_t - a token bucket over an entry's share of one limit
 * @key: hash of the budget's name, the same at every entry
 * @per_seat: units a second that one seat may use
 * @tokens: units that may be used at once; below 0 while a large use is worked off
 * @stranded: no seat of this entry fills it now
 * @last: when tokens were last added
 * @used: units used since the start
 */
typedef struct
{
  guint64 key;
  gdouble per_seat;
  gdouble tokens;
  gboolean stranded;
  anvil_time_t last;
  gint64 used;
} anvil_rate_t;

/** anvil_rate_capacity - most units that may be saved up */
gdouble anvil_rate_capacity (const anvil_rate_t *rate);

/** anvil_rate_accrue - adds what one seat yields in a span of its use */
void anvil_rate_accrue (anvil_rate_t *rate, anvil_time_t span);

/**
 * anvil_rate_fits - whether a use of @units may start
 *
 * A use above the capacity may start on a full bucket; what it takes beyond is
 * worked off before the next one. Where no seat fills the bucket nothing would
 * be worked off, so the whole use has to be there.
 */
gboolean anvil_rate_fits (const anvil_rate_t *rate, gint64 units);

/** anvil_rate_use - takes units; a negative number gives back what wasn't needed */
void anvil_rate_use (anvil_rate_t *rate, gint64 units);

/** anvil_rate_lend - takes up to @units away for a peer; returns how many */
gint64 anvil_rate_lend (anvil_rate_t *rate, gint64 units);
