#pragma once

#include <glib.h>
#include <sys/time.h>

/**
 * anvil_time_t - microseconds
 *
 * A point on the monotonic clock of one process, or a difference of two. It
 * means nothing to another process.
 */
typedef gint64 anvil_time_t;

#define ANVIL_MS ((anvil_time_t) 1000)
#define ANVIL_SECOND ((anvil_time_t) 1000000)

/** anvil_clock_now - the monotonic clock, microseconds */
anvil_time_t anvil_clock_now (void);

/** anvil_clock_wall - the wall clock since 1970, microseconds; for traces and incarnations only */
anvil_time_t anvil_clock_wall (void);

/** anvil_time_to_timeval - a span as timers take it; a negative one as zero */
struct timeval anvil_time_to_timeval (anvil_time_t span);
