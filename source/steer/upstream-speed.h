#pragma once

#include "anvil/clock.h"

/* The usual figure, percent; a VM with 250 takes 2.5 times as long for its work. */
#define ANVIL_USUAL_SPEED 100
/* Highest figure that is believed, percent (docs/HARD-LOAD.md, part 3). */
#define ANVIL_MAX_SPEED 100000

/**
 * anvil_upstream_speed_t - how long work takes on an upstream's VM, as its last response said
 *
 * Zeroed memory is a speed that was never named.
 *
 * @percent: see ANVIL_USUAL_SPEED; 0 if it was never named
 * @named_at: when the response was reported
 */
typedef struct
{
  guint percent;
  anvil_time_t named_at;
} anvil_upstream_speed_t;

/** anvil_upstream_speed_is_valid - whether a figure is believed */
gboolean anvil_upstream_speed_is_valid (guint percent);

/** anvil_upstream_speed_set - takes a figure into account; an invalid one changes nothing */
void anvil_upstream_speed_set (anvil_upstream_speed_t *speed, anvil_time_t now, guint percent);

/**
 * anvil_upstream_speed_factor - factor by which run times are now expected to be longer than usual
 *
 * It ages towards 1 with a half-life of 300 ms, and is 1 from 1 s after the response on.
 */
gdouble anvil_upstream_speed_factor (const anvil_upstream_speed_t *speed, anvil_time_t now);

/** anvil_upstream_speed_is_known - whether it was named within the last second */
gboolean anvil_upstream_speed_is_known (const anvil_upstream_speed_t *speed, anvil_time_t now);

/**
 * anvil_upstream_speed_run_factor - factor by which a run was longer than usual
 * @start: factor when it started, 0 if the speed wasn't known then
 * @percent: figure of its response
 * @duration: how long it took, microseconds
 *
 * The figure of the response holds for the last 300 ms of the run and @start for what was before,
 * or the figure for all of it if that is unknown.
 *
 * Return: 1 if @percent is invalid.
 */
gdouble anvil_upstream_speed_run_factor (gdouble start, guint percent, anvil_time_t duration);
