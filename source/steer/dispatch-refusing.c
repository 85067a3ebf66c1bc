/*
 * What can't be served, and when its caller should come back.
 *
 * Answers the load that exceeds every slot: a task that can't be run within its
 * deadline is refused at once instead of waiting for it, and the callers that
 * are refused are told times spread over the span in which the slots work off
 * what waits now, so that they don't come back together.
 */

#include "steer/dispatch-internal.h"

/* Least time after which a refused caller comes back: one round trip of a caller and some. */
#define MIN_COME_BACK (100 * ANVIL_MS)
/* Most; callers honour up to a third of their remaining time, seconds at most. */
#define MAX_COME_BACK (2 * ANVIL_SECOND)
/* When no upstream takes requests: about when one could have registered again. */
#define NO_UPSTREAM_COME_BACK (500 * ANVIL_MS)

/* Share of a service's slots that tasks may wait for which are late already. Newer tasks that can
 * be in time go before them, so more would only be held and refused in the end. */
#define LATE_SHARE 0.125
/* At least so many may, also at a service with few slots. */
#define LEAST_LATE 3

/* The part of the time between target and deadline, one in so many, in which a late task must get
 * its slot. Newer ones go first, so one that was passed over for longer would most likely be held
 * to its end; its caller does better to know while it can still return. */
#define LATE_STAY 2

/* What a run of the task takes on a usual upstream. */
static anvil_time_t
usual_run (const task_t *task)
{
  gboolean warm = task->object->anonymous || task->object->upstreams->len > 0;

  return warmth_usual_run (task->service, task->wanted.kind, warm);
}

gboolean
refusing_hopeless (const task_t *task, anvil_time_t now)
{
  return now + usual_run (task) > task->wanted.deadline;
}

/* How long the slots need for @n_tasks. */
static anvil_time_t
work (const task_t *task, guint n_tasks)
{
  const service_t *service = task->service;

  if (service->n_slots == 0)
    return 0;
  return warmth_usual_run (service, task->wanted.kind, TRUE) * n_tasks
         / (anvil_time_t) service->n_slots;
}

gboolean
refusing_passed_over (const task_t *task, anvil_time_t now)
{
  anvil_time_t rest = task->wanted.deadline - task->wanted.target;

  return task->is_late && now + usual_run (task) > task->wanted.target + rest / LATE_STAY;
}

gboolean
refusing_late (const task_t *task, anvil_time_t now)
{
  const service_t *service = task->service;

  if ((gdouble) service->n_late > MAX (LATE_SHARE * service->n_slots, LEAST_LATE))
    return TRUE;
  return now + usual_run (task) + work (task, service->n_waiting) > task->wanted.deadline;
}

/* Whether the task's turn comes within its target. Those that can be in time are served in the
 * order of their targets; where upstreams remember the object, it waits for these and not for any.
 */
static gboolean
comes_in_time (task_t *task, anvil_time_t now)
{
  const service_t *service = task->service;
  place_t warm = { 0 };

  if (!task->object->anonymous)
    warm = placing_best_warm (task, now);
  if (warm.upstream != NULL)
    return warm.finish <= task->wanted.target;
  return now + usual_run (task) + work (task, service->n_waiting - service->n_late)
         <= task->wanted.target;
}

gboolean
refusing_no_room (task_t *task, anvil_time_t now)
{
  if (task->service->n_waiting >= MAX_WAITING_TASKS || refusing_hopeless (task, now))
    return TRUE;
  return !comes_in_time (task, now) && refusing_late (task, now);
}

anvil_time_t
refusing_come_back (const task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  anvil_time_t first = now + MIN_COME_BACK + work (task, service->n_waiting);

  if (service->n_slots == 0)
    return NO_UPSTREAM_COME_BACK;
  service->return_at = MAX (service->return_at, first) + work (task, 1);
  service->return_at = MIN (service->return_at, now + MAX_COME_BACK);
  return service->return_at - now;
}

const char *
anvil_task_refusal_reason_name (anvil_task_refusal_reason_t why)
{
  static const char *const names[] = {
    [ANVIL_TASK_NO_UPSTREAM] = "no-upstream",
    [ANVIL_TASK_NO_ROOM] = "no-room",
    [ANVIL_TASK_NO_RETRY] = "no-retry",
    [ANVIL_TASK_LATE] = "late",
  };

  return names[why];
}

/* A waiting task that has become late stays only if it has a chance then. */
gboolean
refusing_in_vain (task_t *task, anvil_time_t now)
{
  if (!task->is_late)
    waiting_sort_out_late (task->object, now);
  if (refusing_hopeless (task, now) || refusing_passed_over (task, now))
    return TRUE;
  if (!task->is_late || task->admitted_late)
    return FALSE;
  task->admitted_late = TRUE;
  return refusing_late (task, now);
}
