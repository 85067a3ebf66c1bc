/*
 * Which waiting task a free slot goes to.
 *
 * Answers the load beyond saturation. More urgent kinds come first. Among
 * equals, those that can still be answered within their target latency come
 * before those that can't, the earliest target first. What is late already is
 * served newest first: oldest first would make every answer late, newest first
 * keeps the late ones few.
 */

#include "steer/dispatch-internal.h"

/**
 * rank_t - place of a task in the order; fields compare in their order, the lower first
 * @priority: rank of the route
 * @tier: what the run would be worth, see tier_of()
 * @order: within a tier
 */
typedef struct
{
  guint priority;
  guint tier;
  anvil_time_t order;
} rank_t;

/* In time and fast, in time, fast, neither. */
static guint
tier_of (gboolean in_time, gboolean warm)
{
  return (in_time ? 0 : 2) + (warm ? 0 : 1);
}

static gboolean
comes_before (const rank_t *a, const rank_t *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a->tier != b->tier)
    return a->tier < b->tier;
  return a->order < b->order;
}

/* Tasks of one object that are looked at before it is passed over: the first may avoid an upstream.
 */
#define LOOK_AHEAD 4

/* Spreads @tasks that wait for an object over the upstreams that remember it. */
static void
add_backlog (const object_t *object, gdouble tasks)
{
  const GPtrArray *upstreams = object->upstreams;

  for (guint i = 0; i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];

      upstream->backlog = MAX (upstream->backlog + tasks / upstreams->len, 0);
    }
}

void
waiting_measure_backlog (service_t *service)
{
  GHashTableIter iter;
  gpointer key;

  for (guint i = 0; i < service->upstreams->len; i++)
    ((upstream_t *) service->upstreams->pdata[i])->backlog = 0;
  g_hash_table_iter_init (&iter, service->waiting_objects);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    add_backlog (key, ((const object_t *) key)->waiting.length);
}

void
waiting_enter (task_t *task)
{
  service_t *service = task->service;

  g_queue_push_tail (&task->object->waiting, task);
  g_hash_table_add (service->waiting_objects, task->object);
  service->n_waiting++;
  add_backlog (task->object, 1);
}

void
waiting_leave (task_t *task)
{
  object_t *object = task->object;
  service_t *service = task->service;

  g_queue_remove (task->is_late ? &object->late : &object->waiting, task);
  if (object->waiting.length + object->late.length == 0)
    g_hash_table_remove (service->waiting_objects, object);
  service->n_waiting--;
  if (task->is_late)
    service->n_late--;
  else
    add_backlog (object, -1);
  task->is_late = FALSE;
}

void
waiting_sort_out_late (object_t *object, anvil_time_t now)
{
  task_t *task;

  while ((task = g_queue_peek_head (&object->waiting)) != NULL
         && now + warmth_usual_run (object->service, task->wanted.kind, TRUE) > task->wanted.target)
    {
      g_queue_push_tail (&object->late, g_queue_pop_head (&object->waiting));
      task->is_late = TRUE;
      object->service->n_late++;
      add_backlog (object, -1);
    }
}

/* A run that would be cold waits, if an upstream that remembers the object ends it in time or
 * sooner. */
static gboolean
better_elsewhere (task_t *task, const place_t *place, anvil_time_t now)
{
  place_t warm = placing_best_warm (task, now);

  if (warm.upstream == NULL)
    return FALSE;
  return warm.finish <= task->wanted.target || warm.cost <= place->cost;
}

static gboolean
rank (upstream_t *upstream, task_t *task, anvil_time_t now, gboolean warm, rank_t *result)
{
  place_t place;
  gboolean in_time;

  if (!placing_allowed (upstream, task))
    return FALSE;
  place = placing_estimate (upstream, task, now, warm);
  if (place.finish > task->wanted.deadline || (!warm && better_elsewhere (task, &place, now)))
    return FALSE;
  in_time = place.finish <= task->wanted.target;
  result->priority = task->wanted.priority;
  result->tier = tier_of (in_time, warm);
  result->order = in_time ? task->wanted.target : -task->wanted.target;
  return TRUE;
}

typedef struct
{
  upstream_t *upstream;
  anvil_time_t now;
  task_t *best;
  rank_t rank;
} choice_t;

static gboolean
consider (choice_t *choice, task_t *task, gboolean warm)
{
  rank_t candidate;

  if (!rank (choice->upstream, task, choice->now, warm, &candidate))
    return FALSE;
  if (choice->best == NULL || comes_before (&candidate, &choice->rank))
    {
      choice->best = task;
      choice->rank = candidate;
    }
  return TRUE;
}

/* The oldest of those that can be in time, and the newest of those that are late. */
static void
consider_object (choice_t *choice, object_t *object, gboolean warm)
{
  guint looked_at = 0;

  waiting_sort_out_late (object, choice->now);
  for (GList *link = object->waiting.head; link != NULL && looked_at < LOOK_AHEAD;
       link = link->next)
    {
      looked_at++;
      if (consider (choice, link->data, warm))
        break;
    }
  looked_at = 0;
  for (GList *link = object->late.tail; link != NULL && looked_at < LOOK_AHEAD; link = link->prev)
    {
      looked_at++;
      if (consider (choice, link->data, warm))
        break;
    }
}

task_t *
waiting_best_for (upstream_t *upstream, anvil_time_t now)
{
  choice_t choice = { .upstream = upstream, .now = now };
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, upstream->service->waiting_objects);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      object_t *object = key;

      if (warmth_is_ready (upstream, object))
        consider_object (&choice, object, TRUE);
      /* Where its first run is under way, it is faster soon. */
      else if (warmth_find (upstream, object) == NULL && placing_may_start_cold (upstream, object))
        consider_object (&choice, object, FALSE);
    }
  return choice.best;
}
