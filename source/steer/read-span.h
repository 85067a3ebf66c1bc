#pragma once

#include "anvil/clock.h"

/*
 * Time during which the store is known to have answered: to this entry, or to one that it received
 * upstreams from. Rows of live upstreams don't expire within it.
 */

/* Reads that are further apart don't show that the store answered in between. Rows expire after
 * three heartbeats without a write; with the platform's 1.5 s that takes longer than a gap of this
 * length and one heartbeat. */
#define ANVIL_MAX_READ_GAP (2500 * ANVIL_MS)

/**
 * anvil_read_span_t - starts out as zero: nothing was read
 * @since: first read, monotonic clock
 * @until: last read, monotonic clock
 */
typedef struct
{
  anvil_time_t since;
  anvil_time_t until;
} anvil_read_span_t;

/** anvil_read_span_add - adds a span of reads that ends at @until, now or a moment ago; it replaces
 * the span if there is a gap between them */
void anvil_read_span_add (anvil_read_span_t *span, anvil_time_t since, anvil_time_t until);

/** anvil_read_span_length - how long the span is, microseconds; 0 if its last read is too old to
 * tell whether the store still answers */
anvil_time_t anvil_read_span_length (const anvil_read_span_t *span, anvil_time_t now);
