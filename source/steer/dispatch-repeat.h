#pragma once

#include "steer/dispatch-internal.h"

/*
 * Decides on second runs of requests whose first run is late (hedged requests).
 *
 * The holder of a service grants both runs, so it counts them: second runs are a limited share of
 * the first runs of the last 10 s. A second run gets a slot that is free at once, or none.
 */

/** dispatch_repeats_new - state of one service; free it with dispatch_repeats_drop() */
service_repeats_t *dispatch_repeats_new (void);
void dispatch_repeats_drop (service_repeats_t *repeats);

/**
 * dispatch_repeat_place - decides on the request for a second run
 * @task: new and not queued; the last of its excluded upstreams runs the first one
 * @reason: set if it is refused
 *
 * Counts the second run if it is granted.
 *
 * Return: the upstream to grant, or none.
 */
placement_t
dispatch_repeat_place (task_t *task, anvil_time_t now, anvil_task_refusal_reason_t *reason);

/** dispatch_repeat_count_first - counts the grant of a task that isn't a second run; retries and
 * tasks that must not run twice don't count */
void dispatch_repeat_count_first (const task_t *task, anvil_time_t now);

/** dispatch_repeat_after - time after sending from which a second run may be requested for a
 * granted task, microseconds; 0 for never */
anvil_time_t dispatch_repeat_after (const task_t *task);

/** dispatch_repeat_record_end - takes the end of a run into account, of either kind */
void
dispatch_repeat_record_end (const task_t *task, anvil_time_t now, const anvil_run_report_t *report);
