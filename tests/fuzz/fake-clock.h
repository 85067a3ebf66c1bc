#pragma once

#include "anvil/clock.h"

/**
 * fake_clock_t - virtual clock with a queue of timers
 *
 * Timers for the same time run in the order in which they were added.
 */
typedef struct fake_clock fake_clock_t;

/** fake_timer_cb_t - called when a timer is due, with its @context and @data */
typedef void (*fake_timer_cb_t) (void *context, void *data);

fake_clock_t *fake_clock_new (void);
void fake_clock_drop (fake_clock_t *clock);

/** fake_clock_now - virtual time since the start, microseconds */
anvil_time_t fake_clock_now (const fake_clock_t *clock);

/**
 * fake_clock_schedule - adds a timer
 * @when: virtual time at which it is due; if this has passed, it is due now
 * @drop: frees @data after the callback has run, or when the clock is dropped; may be NULL
 */
void fake_clock_schedule (fake_clock_t *clock,
                          anvil_time_t when,
                          fake_timer_cb_t callback,
                          void *context,
                          void *data,
                          GDestroyNotify drop);

/** fake_clock_advance - runs every timer that is due by @until, then sets the time to @until */
void fake_clock_advance (fake_clock_t *clock, anvil_time_t until);
