#pragma once

#include "anvil/clock.h"

/**
 * fake_clock_t - virtual time and the events that are due in it
 *
 * Events at the same time run in the order in which they were added.
 */
typedef struct fake_clock fake_clock_t;

/** fake_timer_cb_t - what happens when an event is due; @data was given with it */
typedef void (*fake_timer_cb_t) (void *context, void *data);

fake_clock_t *fake_clock_new (void);
void fake_clock_drop (fake_clock_t *clock);

/** fake_clock_now - virtual time since the start, microseconds */
anvil_time_t fake_clock_now (const fake_clock_t *clock);

/**
 * fake_clock_schedule - adds an event
 * @when: when it is due; a time that has passed means at once
 * @data: freed by @drop after the event has run or when the clock is dropped
 */
void fake_clock_schedule (fake_clock_t *clock,
                          anvil_time_t when,
                          fake_timer_cb_t run,
                          void *context,
                          void *data,
                          GDestroyNotify drop);

/** fake_clock_advance - runs every event that is due until @until, which becomes the time */
void fake_clock_advance (fake_clock_t *clock, anvil_time_t until);
