#pragma once

#include <glib.h>
#include <sys/time.h>

/**
 * anvil_time_t - a point in time or a duration, microseconds
 *
 * Points in time are on the monotonic clock of one process, unless stated
 * otherwise; they can't be compared with those of another process.
 */
typedef gint64 anvil_time_t;

#define ANVIL_MS ((anvil_time_t) 1000)
#define ANVIL_SECOND ((anvil_time_t) 1000000)

/** anvil_clock_now - current time on the monotonic clock, microseconds */
anvil_time_t anvil_clock_now (void);

/** anvil_clock_boot - microseconds since the machine was started, on CLOCK_BOOTTIME, which goes on
 * while the machine is suspended; not comparable with the monotonic clock */
anvil_time_t anvil_clock_boot (void);

/** anvil_clock_wall - microseconds since the Unix epoch; only for traces and incarnations */
anvil_time_t anvil_clock_wall (void);

/** anvil_time_to_timeval - converts a duration; a negative one becomes zero */
struct timeval anvil_time_to_timeval (anvil_time_t duration);
