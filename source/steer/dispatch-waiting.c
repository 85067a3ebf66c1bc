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

/* A task that isn't in time anyway and would run cold waits, if an upstream that remembers its
 * object ends it sooner. */
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
  if (place.finish > task->wanted.deadline)
    return FALSE;
  if (!warm && (!placing_may_start_cold (upstream, task) || better_elsewhere (task, &place, now)))
    return FALSE;
  in_time = place.finish <= task->wanted.target;
  result->priority = task->wanted.priority;
  result->tier = tier_of (in_time, warm);
  result->order = in_time ? task->wanted.target : -task->wanted.target;
  return TRUE;
}

static gboolean
remembers (const upstream_t *upstream, const object_t *object, anvil_time_t now)
{
  const warmth_t *warmth = warmth_find (upstream, object);

  return object->hash == 0 || (warmth != NULL && warmth->ready_at <= now);
}

task_t *
waiting_best_for (upstream_t *upstream, anvil_time_t now)
{
  task_t *best = NULL;
  rank_t best_rank;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, upstream->service->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      object_t *object = value;
      gboolean warm = remembers (upstream, object, now);

      /* Its first run there is under way: soon faster than now. */
      if (!warm && warmth_find (upstream, object) != NULL)
        continue;
      for (const GList *link = object->waiting.head; link != NULL; link = link->next)
        {
          rank_t candidate;

          if (rank (upstream, link->data, now, warm, &candidate)
              && (best == NULL || comes_before (&candidate, &best_rank)))
            {
              best = link->data;
              best_rank = candidate;
            }
        }
    }
  return best;
}
