/*
 * Decides which tasks are refused, and when their callers should retry.
 *
 * When the load exceeds the slots of a service, a task that can't finish within
 * its deadline is refused at once instead of being queued until then. Refused
 * callers are told different times, spread over the time that the slots need for
 * the queued tasks, so that they don't all retry together.
 */

#include "steer/dispatch-internal.h"

/* Shortest time until a refused caller retries: somewhat more than its round trip. */
#define MIN_RETRY_AFTER (100 * ANVIL_MS)
/* Longest time until a refused caller retries. Callers wait no longer than a third of their
 * remaining time, which is a few seconds at most. */
#define MAX_RETRY_AFTER (2 * ANVIL_SECOND)
/* When no upstream accepts requests: about the time in which one could register again. */
#define NO_UPSTREAM_RETRY_AFTER (500 * ANVIL_MS)

/* Most late tasks that are queued, as a share of the service's slots. Newer tasks that can finish
 * on time go first, so further late ones would only be held and refused in the end. */
#define MAX_LATE_SHARE 0.125
/* Late tasks that may be queued even at a service with few slots. */
#define MIN_LATE_TASKS 3

/* Divisor of the time between target and deadline: a late task must be able to finish in the first
 * half of it. Newer tasks go first, so one that waited longer would most likely be held until its
 * deadline. It is refused while its caller still has time to retry. */
#define LATE_WAIT_DIVISOR 2

/* Expected run time of the task on an average upstream. */
static anvil_time_t
mean_run_time (const task_t *task)
{
  gboolean warm = task->object->no_affinity || task->object->upstreams->len > 0;

  return warmth_mean_run_time (task->service, task->request.kind, warm);
}

gboolean
refusing_misses_deadline (const task_t *task, anvil_time_t now)
{
  return now + mean_run_time (task) > task->request.deadline;
}

gboolean
refusing_lacks_upstream (const task_t *task)
{
  const GPtrArray *upstreams = task->service->upstreams;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const upstream_t *upstream = upstreams->pdata[i];

      if (anvil_registry_usable (&upstream->record) && placing_allowed (upstream, task))
        return FALSE;
    }
  /* Without any, queued tasks wait for the next one to register. */
  return task->service->n_slots > 0;
}

/* How long all slots of the service together need for @n_tasks. */
static anvil_time_t
time_for_tasks (const task_t *task, guint n_tasks)
{
  const service_t *service = task->service;

  if (service->n_slots == 0)
    return 0;
  return (anvil_time_t) ((gdouble) warmth_mean_run_time (service, task->request.kind, TRUE)
                         * n_tasks / service->usable_slots);
}

gboolean
refusing_late_too_long (const task_t *task, anvil_time_t now)
{
  anvil_time_t time_after_target = task->request.deadline - task->request.target;

  return task->is_late
         && now + mean_run_time (task)
                > task->request.target + time_after_target / LATE_WAIT_DIVISOR;
}

gboolean
refusing_late_task (const task_t *task, anvil_time_t now)
{
  if (fairness_too_many_late (task, MAX_LATE_SHARE * task->service->usable_slots, MIN_LATE_TASKS))
    return TRUE;
  return now + mean_run_time (task) + time_for_tasks (task, fairness_count_ahead (task, TRUE))
         > task->request.deadline;
}

/* Whether the task can finish within its target if it is queued. Tasks that can are served in the
 * order of their targets. If upstreams are warm for the object, it waits for one of these. */
static gboolean
can_meet_target (task_t *task, anvil_time_t now)
{
  placement_t warm = { 0 };

  if (!task->object->no_affinity)
    warm = placing_best_warm (task, now);
  if (warm.upstream != NULL)
    return warm.finish <= task->request.target;
  return now + mean_run_time (task) + time_for_tasks (task, fairness_count_ahead (task, FALSE))
         <= task->request.target;
}

gboolean
refusing_on_arrival (task_t *task, anvil_time_t now)
{
  if (task->service->n_waiting >= MAX_WAITING_TASKS || refusing_misses_deadline (task, now))
    return TRUE;
  return !can_meet_target (task, now) && refusing_late_task (task, now);
}

anvil_time_t
refusing_retry_after (const task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  anvil_time_t first = now + MIN_RETRY_AFTER + time_for_tasks (task, service->n_waiting);
  anvil_time_t pause = pause_retry_after (task, now);

  if (pause > 0)
    return pause;
  if (service->n_slots == 0)
    return NO_UPSTREAM_RETRY_AFTER;
  service->last_retry_at = MAX (service->last_retry_at, first) + time_for_tasks (task, 1);
  service->last_retry_at = MIN (service->last_retry_at, now + MAX_RETRY_AFTER);
  return service->last_retry_at - now;
}

const char *
anvil_task_refusal_reason_name (anvil_task_refusal_reason_t reason)
{
  static const char *const names[] = {
    [ANVIL_TASK_NO_UPSTREAM] = "no-upstream", [ANVIL_TASK_NO_ROOM] = "no-room",
    [ANVIL_TASK_NO_RETRY] = "no-retry",       [ANVIL_TASK_LATE] = "late",
    [ANVIL_TASK_PAUSED] = "paused",           [ANVIL_TASK_QUOTA] = "quota",
    [ANVIL_TASK_NO_COUNTER] = "no-counter",
  };

  return names[reason];
}

static gboolean
is_too_late (task_t *task, anvil_time_t now)
{
  if (!task->is_late)
    waiting_move_late (task->object, now);
  if (refusing_misses_deadline (task, now) || refusing_late_too_long (task, now))
    return TRUE;
  if (!task->is_late || task->admitted_late)
    return FALSE;
  task->admitted_late = TRUE;
  return refusing_late_task (task, now);
}

gboolean
refusing_while_waiting (task_t *task, anvil_time_t now, anvil_task_refusal_reason_t *reason)
{
  if (refusing_lacks_upstream (task))
    *reason = ANVIL_TASK_NO_UPSTREAM;
  else if (pause_outlasts (task, now))
    *reason = ANVIL_TASK_PAUSED;
  else if (is_too_late (task, now))
    *reason = ANVIL_TASK_LATE;
  else
    return FALSE;
  return TRUE;
}
