/*
 * Queues tasks, and selects the queued task that a free slot goes to.
 *
 * Tasks of higher priority go first. Among equals, tasks that can still finish
 * within their target go before late ones, the earliest target first. Late tasks
 * are served newest first: under overload, oldest first would make every response
 * late, newest first keeps the late responses few.
 *
 * A free slot of an upstream is compared with the tasks for the objects that the
 * upstream is warm for, and with those for which a cold run may be worth while; see
 * dispatch-cold-queues.c.
 */

#include "steer/dispatch-internal.h"

/**
 * rank_t - sort key of a queued task; compared member by member, the lowest goes first
 * @tenant_priority: priority of the tenant, 0 is the most urgent
 * @start: see fairness_start()
 * @priority: priority of the route, 0 is the most urgent
 * @tier: see tier_of()
 * @order: order within a tier
 */
typedef struct
{
  guint tenant_priority;
  guint priority;
  gdouble start;
  guint tier;
  anvil_time_t order;
} rank_t;

/* 0: on time and warm, 1: on time, 2: warm, 3: neither. */
static guint
tier_of (gboolean on_time, gboolean warm)
{
  return (on_time ? 0 : 2) + (warm ? 0 : 1);
}

static gboolean
comes_before (const rank_t *a, const rank_t *b)
{
  if (a->tenant_priority != b->tenant_priority)
    return a->tenant_priority < b->tenant_priority;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a->start < b->start || a->start > b->start)
    return a->start < b->start;
  if (a->tier != b->tier)
    return a->tier < b->tier;
  return a->order < b->order;
}

/* Tenants of which a task is examined in each queue of an object, and tasks that are passed over to
 * find them. */
#define MAX_EXAMINED_FLOWS 16
#define MAX_PASSED_TASKS 256

static void
add_class_backlog (upstream_t *upstream, const run_class_t *class, gdouble n_tasks)
{
  const backlog_t added = { .class = class, .n_tasks = MAX (n_tasks, 0) };

  for (guint i = 0; i < upstream->backlog->len; i++)
    {
      backlog_t *backlog = &g_array_index (upstream->backlog, backlog_t, i);

      if (backlog->class != class)
        continue;
      backlog->n_tasks = MAX (backlog->n_tasks + n_tasks, 0);
      return;
    }
  g_array_append_val (upstream->backlog, added);
}

/* Adds queued tasks for an object to the backlog of the upstreams that are warm for it, in equal
 * shares; a negative number removes them. */
static void
add_backlog (const object_queue_t *queue, gdouble n_tasks)
{
  const GPtrArray *upstreams = queue->object->upstreams;

  for (guint i = 0; i < upstreams->len; i++)
    add_class_backlog (upstreams->pdata[i], queue->class, n_tasks / upstreams->len);
}

void
waiting_update_backlog (service_t *service)
{
  GHashTableIter iter;
  gpointer key;

  for (guint i = 0; i < service->upstreams->len; i++)
    g_array_set_size (((upstream_t *) service->upstreams->pdata[i])->backlog, 0);
  g_hash_table_iter_init (&iter, service->waiting_queues);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    add_backlog (key, ((const object_queue_t *) key)->on_time.length);
}

/* Run time of a queued task of class @other as tasks of class @class are told to wait for it. */
static gdouble
run_time_before_us (const run_class_t *class, const run_class_t *other)
{
  return class_work_us (class_differs_in_service (class->service) ? other : class);
}

/* Whether tasks of class @class wait for those of class @other. Where all tasks of a kind are of
 * one class, they wait for all. */
static gboolean
waits_for (const run_class_t *class, const run_class_t *other)
{
  return !class_differs_in_service (class->service)
         || class_rank (other, other->priority) <= class_rank (class, class->priority);
}

gdouble
waiting_backlog_us (const upstream_t *upstream, const task_t *task)
{
  gdouble sum = 0;

  for (guint i = 0; i < upstream->backlog->len; i++)
    {
      const backlog_t *backlog = &g_array_index (upstream->backlog, backlog_t, i);

      if (waits_for (task->class, backlog->class))
        sum += backlog->n_tasks * run_time_before_us (task->class, backlog->class);
    }
  return sum * upstream->run_time_ratio / task->class->share_left;
}

gdouble
waiting_work_us (const task_t *task, gboolean with_late)
{
  const GPtrArray *classes = task->service->classes;
  gdouble sum = 0;

  for (guint i = 0; i < classes->len; i++)
    {
      const run_class_t *class = classes->pdata[i];
      guint n_tasks = class->n_waiting - (with_late ? 0 : class->n_late);

      if (n_tasks > 0 && waits_for (task->class, class))
        sum += n_tasks * run_time_before_us (task->class, class);
    }
  return sum / task->class->share_left;
}

guint
waiting_count_late (const task_t *task)
{
  const GPtrArray *classes = task->service->classes;
  guint sum = 0;

  for (guint i = 0; i < classes->len; i++)
    {
      const run_class_t *class = classes->pdata[i];

      if (waits_for (task->class, class))
        sum += class->n_late;
    }
  return sum;
}

static void
add_waiting_queue (service_t *service, object_queue_t *queue)
{
  if (g_hash_table_add (service->waiting_queues, queue) && queue->object->no_affinity)
    g_hash_table_add (service->plain_queues, queue);
}

static void
remove_waiting_queue (service_t *service, object_queue_t *queue)
{
  g_hash_table_remove (service->waiting_queues, queue);
  if (queue->object->no_affinity)
    g_hash_table_remove (service->plain_queues, queue);
  else
    cold_queues_remove (service, queue);
}

void
waiting_add (task_t *task, anvil_time_t now)
{
  service_t *service = task->service;

  task->queue_link.data = task;
  g_queue_push_tail_link (&task->queue->on_time, &task->queue_link);
  add_waiting_queue (service, task->queue);
  if (!task->object->no_affinity && placing_cold_run_allowed (task, now))
    cold_queues_add (service, task->queue);
  task->object->n_waiting++;
  service->n_waiting++;
  task->class->n_waiting++;
  task->class->n_late += task->will_be_late ? 1 : 0;
  fairness_waiting_added (task);
  add_backlog (task->queue, 1);
}

void
waiting_remove (task_t *task)
{
  object_queue_t *queue = task->queue;
  service_t *service = task->service;

  g_queue_unlink (task->is_late ? &queue->late : &queue->on_time, &task->queue_link);
  if (queue->on_time.length + queue->late.length == 0)
    remove_waiting_queue (service, queue);
  task->object->n_waiting--;
  service->n_waiting--;
  task->class->n_waiting--;
  fairness_waiting_removed (task);
  if (task->is_late || task->will_be_late)
    task->class->n_late--;
  if (!task->is_late)
    add_backlog (queue, -1);
  task->is_late = FALSE;
  task->will_be_late = FALSE;
}

void
waiting_move_late (object_queue_t *queue, anvil_time_t now)
{
  task_t *task;

  while ((task = g_queue_peek_head (&queue->on_time)) != NULL
         && now + warmth_mean_run_time (task->class, TRUE) > task->request.target)
    {
      g_queue_unlink (&queue->on_time, &task->queue_link);
      g_queue_push_tail_link (&queue->late, &task->queue_link);
      task->is_late = TRUE;
      fairness_became_late (task);
      task->class->n_late += task->will_be_late ? 0 : 1;
      task->will_be_late = FALSE;
      add_backlog (queue, -1);
    }
}

/* Computes the rank of a task on an upstream; FALSE if it must not run there. */
static gboolean
get_rank (upstream_t *upstream, task_t *task, anvil_time_t now, gboolean warm, rank_t *result)
{
  placement_t placement;
  gboolean on_time;

  if (!placing_allowed (upstream, task) || (!warm && !placing_cold_run_allowed (task, now)))
    return FALSE;
  placement = placing_estimate (upstream, task, now, warm);
  if (placement.finish > task->request.deadline
      || (!warm && cold_run_is_worse (task, &placement, now)))
    return FALSE;
  on_time = placement.finish <= task->request.target;
  result->tenant_priority = task->request.tenant_priority;
  result->priority = class_rank (task->class, task->request.priority);
  result->start = fairness_start (task);
  result->tier = tier_of (on_time, warm);
  result->order = on_time ? task->request.target : -task->request.target;
  return TRUE;
}

/**
 * choice_t - search for the task that a free slot goes to
 * @flows: flows of which a task of the present object was considered
 * @n_accepted: tasks that may run on the upstream
 * @paused: the last entry that was found to be in a pause of the upstream; its tasks often follow
 *   each other
 */
typedef struct
{
  upstream_t *upstream;
  anvil_time_t now;
  task_t *best;
  rank_t rank;
  const flow_t *flows[MAX_EXAMINED_FLOWS];
  guint n_flows;
  guint n_accepted;
  anvil_node_t paused;
} choice_t;

static gboolean
is_in_pause (choice_t *choice, const task_t *task)
{
  const anvil_node_t requester = task->request.id.requester;

  if (choice->paused != 0 && choice->paused == requester)
    return TRUE;
  if (!pause_applies (choice->upstream, task, choice->now))
    return FALSE;
  choice->paused = requester;
  return TRUE;
}

static gboolean
consider (choice_t *choice, task_t *task, gboolean warm)
{
  rank_t candidate;

  choice->upstream->service->dispatcher->work.n_compared++;
  if (!get_rank (choice->upstream, task, choice->now, warm, &candidate))
    return FALSE;
  choice->n_accepted++;
  if (choice->best == NULL || comes_before (&candidate, &choice->rank))
    {
      choice->best = task;
      choice->rank = candidate;
    }
  return TRUE;
}

/* Whether a task of the same flow was considered before, which goes first. */
static gboolean
is_behind_its_flow (const choice_t *choice, const task_t *task)
{
  for (guint i = 0; task->flow != NULL && i < choice->n_flows; i++)
    {
      if (choice->flows[i] == task->flow)
        return TRUE;
    }
  return FALSE;
}

/* Considers a task; TRUE if the rest of its queue needn't be. Without tenants that is so once one
 * could be considered; with them, each tenant's first task is considered. */
static gboolean
consider_next (choice_t *choice, task_t *task, gboolean warm, guint *n_examined)
{
  if (!consider (choice, task, warm))
    {
      (*n_examined)++;
      return *n_examined >= MAX_EXAMINED_TASKS;
    }
  /* Tasks without an object have a queue for each tenant. */
  if (task->flow == NULL || task->object->no_affinity)
    return TRUE;
  choice->flows[choice->n_flows++] = task->flow;
  return choice->n_flows >= MAX_EXAMINED_FLOWS;
}

static void
consider_list (choice_t *choice, GList *first, gboolean forward, gboolean warm)
{
  guint n_examined = 0;
  guint n_passed = 0;

  choice->n_flows = 0;
  for (GList *link = first; link != NULL && n_passed < MAX_PASSED_TASKS;
       link = forward ? link->next : link->prev)
    {
      if (is_in_pause (choice, link->data))
        continue;
      if (is_behind_its_flow (choice, link->data))
        {
          n_passed++;
          continue;
        }
      if (consider_next (choice, link->data, warm, &n_examined))
        return;
    }
}

/* Considers the oldest task that can finish on time, and the newest late one. Tasks of entries from
 * which the upstream wants no requests are passed over, so that they don't hide those of others. */
static void
consider_queue (choice_t *choice, object_queue_t *queue, gboolean warm)
{
  waiting_move_late (queue, choice->now);
  consider_list (choice, queue->on_time.head, TRUE, warm);
  consider_list (choice, queue->late.tail, FALSE, warm);
}

static void
consider_warm_objects (choice_t *choice)
{
  const GArray *entries = choice->upstream->warm_entries;

  for (guint i = 0; i < entries->len; i++)
    {
      const warm_entry_t *entry = &g_array_index (entries, warm_entry_t, i);

      /* If the object's first run on this upstream is going on, its tasks wait for the end: then it
       * is warm. */
      for (guint k = 0;
           entry->ready && entry->object->n_waiting > 0 && k < entry->object->queues->len; k++)
        consider_queue (choice, entry->object->queues->pdata[k], TRUE);
    }
}

static void
consider_plain_queues (choice_t *choice)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, choice->upstream->service->plain_queues);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    consider_queue (choice, key, TRUE);
}

static void
consider_cold_queues (choice_t *choice)
{
  service_t *service = choice->upstream->service;

  for (guint i = service->cold_queues->len; i > 0; i--)
    {
      object_queue_t *queue = service->cold_queues->pdata[i - 1];
      const guint n_accepted = choice->n_accepted;

      if (warmth_find (choice->upstream, queue->object) != NULL)
        continue;
      consider_queue (choice, queue, FALSE);
      if (choice->n_accepted == n_accepted)
        cold_queues_reject (service, queue);
    }
}

task_t *
waiting_next_task (upstream_t *upstream, anvil_time_t now)
{
  choice_t choice = { .upstream = upstream, .now = now };

  consider_warm_objects (&choice);
  consider_plain_queues (&choice);
  consider_cold_queues (&choice);
  return choice.best;
}
