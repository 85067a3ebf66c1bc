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

/* The least that a run of the task can take, anywhere. */
static anvil_time_t
least_run (task_t *task, anvil_time_t now)
{
  const GPtrArray *upstreams = task->service->upstreams;
  anvil_time_t least = G_MAXINT64;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const upstream_t *upstream = upstreams->pdata[i];
      gboolean warm = task->object->hash == 0 || warmth_find (upstream, task->object) != NULL;

      if (!placing_allowed (upstream, task) || !anvil_registry_usable (&upstream->record))
        continue;
      least = MIN (least, placing_distance (upstream, &task->wanted)
                              + warmth_run_time (upstream, task->wanted.kind, warm));
    }
  return least;
}

gboolean
refusing_hopeless (task_t *task, anvil_time_t now)
{
  anvil_time_t least = least_run (task, now);

  return least == G_MAXINT64 || now + least > task->wanted.deadline;
}

/* How long the slots need for what waits and isn't less urgent. */
static anvil_time_t
work_ahead (const task_t *task)
{
  const service_t *service = task->service;
  gdouble run;

  if (service->upstreams->len == 0 || service->n_slots == 0)
    return 0;
  run = (gdouble) warmth_run_time (service->upstreams->pdata[0], task->wanted.kind, TRUE);
  return (anvil_time_t) (run * service->n_waiting / service->n_slots);
}

gboolean
refusing_no_room (task_t *task, anvil_time_t now)
{
  if (task->service->n_waiting >= MAX_WAITING_TASKS || refusing_hopeless (task, now))
    return TRUE;
  return now + least_run (task, now) + work_ahead (task) > task->wanted.deadline;
}

anvil_time_t
refusing_come_back (task_t *task, anvil_time_t now)
{
  service_t *service = task->service;
  anvil_time_t step;

  if (service->n_slots == 0)
    return NO_UPSTREAM_COME_BACK;
  step = warmth_run_time (service->upstreams->pdata[0], task->wanted.kind, TRUE)
         / (anvil_time_t) service->n_slots;
  service->return_at = MAX (service->return_at, now + MIN_COME_BACK + work_ahead (task)) + step;
  service->return_at = MIN (service->return_at, now + MAX_COME_BACK);
  return service->return_at - now;
}
