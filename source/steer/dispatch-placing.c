/*
 * Where a task runs.
 *
 * Answers two loads. With objects that upstreams remember, runs elsewhere take
 * several times as long, so while requests exceed what cold runs could carry,
 * a task goes to an upstream that remembers its object, or waits for one, and
 * further upstreams learn an object only as its demand asks for them, or while
 * slots are idle. With large bodies, the way costs more than the run, so they
 * stay near their caller.
 *
 * An upstream remembers several objects, and all that waits for these asks for
 * the same slots: its backlog says when a further task's turn would come.
 */

#include "steer/dispatch-internal.h"

/* Round trip within a region, microseconds: availability zones are about a millisecond apart. */
#define WITHIN_REGION (2 * ANVIL_MS)
/* What moving a kilobyte is taken to cost, as time, so that places can be compared; links between
 * regions are the scarcest and, with both users, the dearest. */
#define BETWEEN_REGIONS_PER_KB (6 * ANVIL_MS)
#define BETWEEN_ZONES_PER_KB (2 * ANVIL_MS)
#define BYTES_PER_KB 1024
/* Share of an upstream's slots that one object's demand may fill before the object is spread. */
#define OBJECT_FILL 0.5
/* Share of a service's slots that must be idle for a run that isn't asked for by demand. */
#define IDLE_SHARE 0.2
/* What a certain fault is taken to cost, so that failing upstreams come last. */
#define FAULT_COST (2 * ANVIL_SECOND)
/* Upstreams that are as good are chosen in an order by object that every holder agrees on. */
#define ORDER_SPREAD (4 * ANVIL_MS)
/* Requests that a cold upstream may be given at once. */
#define COLD_BURST 1.5
/* Holders that may act for a service at the same time, while entries disagree. */
#define HOLDERS 2

static gboolean
region_allowed (const upstream_t *upstream, const task_t *task)
{
  for (guint i = 0; i < task->wanted.n_regions; i++)
    {
      if (task->regions[i] == upstream->region)
        return TRUE;
    }
  return task->wanted.n_regions == 0;
}

gboolean
placing_allowed (const upstream_t *upstream, const task_t *task)
{
  for (guint i = 0; i < task->wanted.n_excluded; i++)
    {
      if (task->wanted.excluded[i] == upstream->record.key)
        return FALSE;
    }
  return region_allowed (upstream, task);
}

/* Most requests a second that this holder sends to a cold upstream. */
static gdouble
cold_rate (const upstream_t *upstream)
{
  const anvil_dispatcher_limits_t *bounds = &upstream->service->dispatcher->bounds;
  gdouble borne = upstream->service->profile.cold_per_second;
  gdouble most = (borne * bounds->cold_factor + bounds->cold_extra) / HOLDERS - COLD_BURST;

  return MAX (MIN (borne, most), 0);
}

gboolean
placing_has_room (upstream_t *upstream, anvil_time_t now)
{
  guint running = upstream->running->len;

  if (running >= upstream->record.slots || !upstream->present
      || !anvil_registry_usable (&upstream->record) || now < upstream->ejected_until)
    return FALSE;
  if (upstream->trial && running > 0)
    return FALSE;
  if (now < upstream->record.cold_until)
    {
      anvil_bucket_fill (&upstream->cold, now, cold_rate (upstream), COLD_BURST);
      if (upstream->cold.tokens < 1)
        return FALSE;
    }
  return TRUE;
}

anvil_time_t
placing_distance (const upstream_t *upstream, const task_t *task)
{
  if (task->region != upstream->region)
    return upstream->service->dispatcher->between_regions;
  return task->zone == upstream->zone ? 0 : WITHIN_REGION;
}

/* Bytes that cross a link, as time. */
static anvil_time_t
moving_cost (const upstream_t *upstream, const task_t *task)
{
  anvil_time_t kilobytes = (anvil_time_t) (task->wanted.body_bytes / BYTES_PER_KB);

  if (task->region != upstream->region)
    return kilobytes * BETWEEN_REGIONS_PER_KB;
  return task->zone == upstream->zone ? 0 : kilobytes * BETWEEN_ZONES_PER_KB;
}

/* When the next slot is expected to be free. */
static anvil_time_t
slot_free_at (const upstream_t *upstream, anvil_time_t now)
{
  anvil_time_t first = G_MAXINT64;

  if (upstream->running->len < upstream->record.slots)
    return now;
  for (guint i = 0; i < upstream->running->len; i++)
    first = MIN (first, ((task_t *) upstream->running->pdata[i])->expected_end);
  return MAX (first, now);
}

place_t
placing_estimate (upstream_t *upstream, const task_t *task, anvil_time_t now, gboolean warm)
{
  place_t place = { .upstream = upstream, .warm = warm };
  const warmth_t *warmth = warm ? warmth_find (upstream, task->object) : NULL;
  anvil_time_t start = slot_free_at (upstream, now);

  if (warmth != NULL)
    start = MAX (start, warmth->ready_at);
  place.finish = start + placing_distance (upstream, task)
                 + warmth_run_time (upstream, task->wanted.kind, warm);
  place.cost = place.finish + moving_cost (upstream, task)
               + (anvil_time_t) (upstream->fault_share * (gdouble) FAULT_COST);
  return place;
}

/* Upstreams that remember the task's object; without an object all do. */
static const GPtrArray *
remembering (const task_t *task)
{
  return task->object->anonymous ? task->service->upstreams : task->object->upstreams;
}

static gboolean
is_better (const place_t *place, const place_t *best)
{
  return best->upstream == NULL || place->cost < best->cost;
}

/* How long an upstream needs for the tasks that wait for it: for this object or for others that it
 * remembers, which ask for the same slots. */
static anvil_time_t
backlog_delay (const upstream_t *upstream, const task_t *task)
{
  gdouble run = (gdouble) warmth_run_time (upstream, task->wanted.kind, TRUE);

  return (anvil_time_t) (upstream->backlog * run / MAX (upstream->record.slots, 1u));
}

/* The best of the upstreams that remember the object; with @room, of those with a free slot. */
static place_t
best_remembering (task_t *task, anvil_time_t now, gboolean room)
{
  const GPtrArray *upstreams = remembering (task);
  place_t best = { 0 };

  for (guint i = 0; i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];
      place_t place;

      if (!upstream->present || !placing_allowed (upstream, task))
        continue;
      if (room && !(warmth_is_ready (upstream, task->object) && placing_has_room (upstream, now)))
        continue;
      if (!room && (!anvil_registry_usable (&upstream->record) || upstream->trial))
        continue;
      place = placing_estimate (upstream, task, now, TRUE);
      if (!room)
        {
          anvil_time_t delay = backlog_delay (upstream, task);

          place.finish += delay;
          place.cost += delay;
        }
      if (is_better (&place, &best))
        best = place;
    }
  return best;
}

place_t
placing_best_warm (task_t *task, anvil_time_t now)
{
  return best_remembering (task, now, FALSE);
}

static anvil_time_t
order_by_object (const upstream_t *upstream, const object_t *object)
{
  guint64 mixed = (upstream->record.key ^ object->hash) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);

  return (anvil_time_t) ((mixed >> 32) % ORDER_SPREAD);
}

/* Upstreams that the demand for an object asks for. */
static guint
wanted_upstreams (const object_t *object, const upstream_t *upstream)
{
  return 1 + (guint) (warmth_demand (object) / (OBJECT_FILL * (gdouble) upstream->record.slots));
}

gboolean
placing_may_start_cold (const upstream_t *upstream, const object_t *object)
{
  const service_t *service = upstream->service;
  guint idle = service->n_slots > service->n_running ? service->n_slots - service->n_running : 0;

  return object->upstreams->len < wanted_upstreams (object, upstream)
         || (gdouble) idle > IDLE_SHARE * service->n_slots;
}

/* The best upstream with a free slot that doesn't remember the object. */
static place_t
best_cold (task_t *task, anvil_time_t now)
{
  const GPtrArray *upstreams = task->service->upstreams;
  place_t best = { 0 };

  for (guint i = 0; i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];
      place_t place;

      if (!placing_has_room (upstream, now) || !placing_allowed (upstream, task)
          || warmth_find (upstream, task->object) != NULL
          || !placing_may_start_cold (upstream, task->object))
        continue;
      place = placing_estimate (upstream, task, now, FALSE);
      place.cost
          += order_by_object (upstream, task->object)
             + (anvil_time_t) (upstream->object_load / upstream->record.slots
                               * (gdouble) warmth_run_time (upstream, task->wanted.kind, TRUE));
      if (is_better (&place, &best))
        best = place;
    }
  return best;
}

place_t
placing_best_now (task_t *task, anvil_time_t now)
{
  place_t now_warm = best_remembering (task, now, TRUE);
  place_t later_warm;
  place_t cold;

  if (now_warm.upstream != NULL || task->object->anonymous)
    return now_warm;
  cold = best_cold (task, now);
  if (cold.upstream == NULL)
    return cold;
  later_warm = placing_best_warm (task, now);
  if (later_warm.upstream != NULL
      && (later_warm.finish <= task->wanted.target || later_warm.cost <= cold.cost))
    return (place_t){ 0 };
  return cold;
}
