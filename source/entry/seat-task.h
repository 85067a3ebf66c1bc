#pragma once

#include "anvil/metrics.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

/** anvil_seat_task_t - reads and writes the rows of seats for the decision core */
typedef struct anvil_seat_task anvil_seat_task_t;

/** anvil_seat_task_new - the owner of the core passes the core's callbacks on to the task */
anvil_seat_task_t *
anvil_seat_task_new (anvil_platform_t *platform, anvil_steer_t *steer, anvil_metrics_t *metrics);

/** anvil_seat_task_drop - call it after the platform client was closed */
void anvil_seat_task_drop (anvil_seat_task_t *task);

/* Callbacks of the core. */
void anvil_seat_task_read (anvil_seat_task_t *task);
void anvil_seat_task_write (anvil_seat_task_t *task, const anvil_seat_row_t *next);
