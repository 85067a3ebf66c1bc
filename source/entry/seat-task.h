#pragma once

#include "anvil/metrics.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

/** anvil_seat_task_t - reads and writes the seats' rows for the core */
typedef struct anvil_seat_task anvil_seat_task_t;

/** anvil_seat_task_new - the core's actions are to be passed on to it */
anvil_seat_task_t *
anvil_seat_task_new (anvil_platform_t *platform, anvil_steer_t *steer, anvil_metrics_t *counters);

/** anvil_seat_task_drop - after the platform's client was closed */
void anvil_seat_task_drop (anvil_seat_task_t *task);

/* The core's actions. */
void anvil_seat_task_read (anvil_seat_task_t *task);
void anvil_seat_task_write (anvil_seat_task_t *task, const anvil_seat_row_t *next);
