/*
 * Collects the queues whose tasks may be worth a cold run.
 *
 * Most queued tasks wait for a warm upstream, whichever slot of another upstream is
 * free. Comparing all of them with each free slot would take longer than the interval
 * between two ticks in a service with as many objects as upstreams, so the others are
 * collected once a tick.
 */

#include "steer/dispatch-internal.h"

/* A queue isn't compared with further upstreams before the next tick once a cold run of its tasks
 * was rejected on so many. */
#define MAX_REJECTIONS 8
/* The best warm upstream of a task is derived again after this time: it is needed for each free
 * slot that the task is compared with. */
#define BEST_WARM_INTERVAL (10 * ANVIL_MS)

void
cold_queues_add (service_t *service, object_queue_t *queue)
{
  if (queue->cold_position > 0)
    return;
  g_ptr_array_add (service->cold_queues, queue);
  queue->cold_position = service->cold_queues->len;
  queue->n_rejected = 0;
}

void
cold_queues_remove (service_t *service, object_queue_t *queue)
{
  const guint position = queue->cold_position;

  if (position == 0)
    return;
  g_ptr_array_remove_index_fast (service->cold_queues, position - 1);
  queue->cold_position = 0;
  if (position <= service->cold_queues->len)
    ((object_queue_t *) service->cold_queues->pdata[position - 1])->cold_position = position;
}

static void
update_best_warm (task_t *task, anvil_time_t now)
{
  placement_t warm;

  if (task->warm_at > 0 && now - task->warm_at < BEST_WARM_INTERVAL)
    return;
  warm = placing_best_warm (task, now);
  task->warm_at = now;
  task->warm_finish = warm.upstream != NULL ? warm.finish : G_MAXINT64;
  task->warm_cost = warm.upstream != NULL ? warm.cost : G_MAXINT64;
}

/* Whether a task waits for a warm upstream instead of any cold run, as it would end on time there.
 */
static gboolean
on_time_on_warm_upstream (task_t *task, anvil_time_t now)
{
  update_best_warm (task, now);
  return task->warm_finish <= task->request.target;
}

gboolean
cold_run_is_worse (task_t *task, const placement_t *placement, anvil_time_t now)
{
  return on_time_on_warm_upstream (task, now) || task->warm_cost <= placement->cost;
}

/* Whether a cold run may be worth while for one of the first tasks of a list. Those behind the
 * first differ from it if they exclude upstreams. */
static gboolean
may_run_cold (const GList *link, gboolean forward, anvil_time_t now)
{
  gboolean is_first = TRUE;

  for (guint n = 0; link != NULL && n < MAX_EXAMINED_TASKS;
       link = forward ? link->next : link->prev, n++)
    {
      task_t *task = link->data;

      if ((is_first || task->request.n_excluded > 0) && placing_cold_run_allowed (task, now)
          && !on_time_on_warm_upstream (task, now))
        return TRUE;
      is_first = FALSE;
    }
  return FALSE;
}

void
cold_queues_update (service_t *service, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  for (guint i = 0; i < service->cold_queues->len; i++)
    ((object_queue_t *) service->cold_queues->pdata[i])->cold_position = 0;
  g_ptr_array_set_size (service->cold_queues, 0);
  g_hash_table_iter_init (&iter, service->waiting_queues);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      object_queue_t *queue = key;

      if (queue->object->no_affinity)
        continue;
      waiting_move_late (queue, now);
      if (may_run_cold (queue->on_time.head, TRUE, now)
          || may_run_cold (queue->late.tail, FALSE, now))
        cold_queues_add (service, queue);
    }
}

void
cold_queues_reject (service_t *service, object_queue_t *queue)
{
  queue->n_rejected++;
  if (queue->n_rejected >= MAX_REJECTIONS)
    cold_queues_remove (service, queue);
}
