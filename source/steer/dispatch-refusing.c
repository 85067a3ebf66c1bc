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
 * remaining time, which is a few seconds at most. Where routes of several classes compete, those
 * that would have to wait longer are spread over the second half of this time. */
#define MAX_RETRY_AFTER (2 * ANVIL_SECOND)
/* Multiples of it, modulo 1, are spread evenly. */
#define GOLDEN_RATIO 0.6180339887
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

/* Expected run time of the task on an average upstream, if its VM is as fast as any now. */
static anvil_time_t
mean_run_time (const task_t *task)
{
  gboolean warm = task->object->no_affinity || task->object->upstreams->len > 0;

  return (anvil_time_t) (class_run_time_us (task->class, warm) * task->service->least_slowness);
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

/* How long all slots of the service together need for work of @run_time_us. */
static anvil_time_t
time_for_work (const service_t *service, gdouble run_time_us)
{
  if (service->n_slots == 0)
    return 0;
  return (anvil_time_t) (run_time_us / service->usable_slots);
}

/* How long they need for the queued tasks that go before a new one, as far as more urgent classes
 * leave them. */
static anvil_time_t
time_for_queue (const task_t *task, gboolean with_late)
{
  return time_for_work (task->service, waiting_work_us (task, with_late));
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
  const service_t *service = task->service;

  if (waiting_count_late (task) > MAX (MAX_LATE_SHARE * service->usable_slots, MIN_LATE_TASKS))
    return TRUE;
  return now + mean_run_time (task) + time_for_queue (task, TRUE) > task->request.deadline;
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
  return now + mean_run_time (task) + time_for_queue (task, FALSE) <= task->request.target;
}

gboolean
refusing_on_arrival (task_t *task, anvil_time_t now)
{
  if (task->service->n_waiting >= MAX_WAITING_TASKS || refusing_misses_deadline (task, now))
    return TRUE;
  if (can_meet_target (task, now))
    return FALSE;
  task->will_be_late = class_differs_in_service (task->service);
  return refusing_late_task (task, now);
}

/* Times in the second half of the range, any consecutive ones of which are spread evenly. */
static anvil_time_t
spread_retry_after (run_class_t *class)
{
  class->retry_phase += GOLDEN_RATIO;
  class->retry_phase -= class->retry_phase >= 1 ? 1 : 0;
  return MAX_RETRY_AFTER / 2 + (anvil_time_t) (class->retry_phase / 2 * (gdouble) MAX_RETRY_AFTER);
}

anvil_time_t
refusing_retry_after (const task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  run_class_t *class = task->class;
  anvil_time_t *last_retry_at
      = class_differs_in_service (service) ? &class->last_retry_at : &service->last_retry_at;
  anvil_time_t first = now + MIN_RETRY_AFTER + time_for_queue (task, TRUE);
  anvil_time_t pause = pause_retry_after (task, now);

  if (pause > 0)
    return pause;
  if (service->n_slots == 0)
    return NO_UPSTREAM_RETRY_AFTER;
  *last_retry_at = MAX (*last_retry_at, first)
                   + time_for_work (service, class_work_us (class) / class->share_left);
  *last_retry_at = MIN (*last_retry_at, now + MAX_RETRY_AFTER);
  if (class_differs_in_service (service) && *last_retry_at == now + MAX_RETRY_AFTER)
    return spread_retry_after (class);
  return *last_retry_at - now;
}

const char *
anvil_task_refusal_reason_name (anvil_task_refusal_reason_t reason)
{
  static const char *const names[] = {
    [ANVIL_TASK_NO_UPSTREAM] = "no-upstream", [ANVIL_TASK_NO_ROOM] = "no-room",
    [ANVIL_TASK_NO_RETRY] = "no-retry",       [ANVIL_TASK_LATE] = "late",
    [ANVIL_TASK_PAUSED] = "paused",
  };

  return names[reason];
}

static gboolean
is_too_late (task_t *task, anvil_time_t now)
{
  if (!task->is_late)
    waiting_move_late (task->queue, now);
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
