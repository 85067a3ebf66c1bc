/*
 * Which upstream remembers which object, and how long runs take.
 *
 * Answers the load in which a run on an upstream that handled the object lately
 * takes a fraction of one elsewhere: there the place of a run decides more than
 * its turn.
 */

#include "steer/dispatch-internal.h"

/* Expected run before any was measured: long, so that a second request for an object waits for the
 * first to end instead of finding out that its upstream didn't remember it yet. */
#define UNMEASURED_RUN (1000 * ANVIL_MS)
/* Share of a cold run that a warm one is taken to need before any was measured. */
#define UNMEASURED_WARM_SHARE 0.35
/* Weight of a new value in the mean of a service and in that of an upstream; the latter must
 * follow an upstream that turns slow within a few runs. */
#define RUN_WEIGHT 0.05
#define SLOWNESS_WEIGHT 0.25
#define MIN_SLOWNESS 0.3
#define MAX_SLOWNESS 10.0
/* Weight of a new pause between two requests of an object. */
#define INTERVAL_WEIGHT 0.1
/* Weight of a new outcome in an upstream's share of faults. */
#define FAULT_WEIGHT 0.12

/* Requests without an object wait together if they are as urgent. */
static guint64
object_hash (const anvil_task_t *task)
{
  return task->object != 0 ? task->object : task->priority;
}

object_t *
warmth_object (service_t *service, const anvil_task_t *task)
{
  guint64 hash = object_hash (task);
  object_t *object = g_hash_table_lookup (service->objects, &hash);

  if (object != NULL)
    return object;
  object = g_new0 (object_t, 1);
  object->hash = hash;
  object->service = service;
  object->anonymous = task->object == 0;
  object->upstreams = g_ptr_array_new ();
  g_queue_init (&object->waiting);
  g_queue_init (&object->late);
  g_hash_table_insert (service->objects, &object->hash, object);
  return object;
}

void
warmth_object_free (gpointer data)
{
  object_t *object = data;

  g_ptr_array_unref (object->upstreams);
  g_queue_clear (&object->waiting);
  g_queue_clear (&object->late);
  g_free (object);
}

void
warmth_forget_object_if_idle (object_t *object)
{
  if (object->upstreams->len == 0 && object->n_tasks == 0)
    g_hash_table_remove (object->service->objects, &object->hash);
}

void
warmth_asked (object_t *object, anvil_route_kind_t kind, anvil_time_t now)
{
  gdouble pause = (gdouble) (now - object->asked_at);

  object->kind = kind;
  if (object->asked_at > 0)
    object->interval = object->interval > 0
                           ? object->interval + (pause - object->interval) * INTERVAL_WEIGHT
                           : pause;
  object->asked_at = now;
}

warmth_t *
warmth_find (const upstream_t *upstream, const object_t *object)
{
  for (guint i = 0; i < upstream->warm->len; i++)
    {
      warmth_t *warmth = &g_array_index (upstream->warm, warmth_t, i);

      if (warmth->object == object)
        return warmth;
    }
  return NULL;
}

void
warmth_remember (upstream_t *upstream, object_t *object, anvil_time_t now)
{
  warmth_t *warmth;

  /* What this holder has seen itself goes before what others tell. */
  if (object->anonymous || warmth_find (upstream, object) != NULL
      || upstream->warm->len >= MIN (upstream->service->remembered, MAX_WARM_OBJECTS))
    return;
  warmth_granted (upstream, object, now, now);
  warmth = warmth_find (upstream, object);
  warmth->ready = TRUE;
}

gboolean
warmth_is_ready (const upstream_t *upstream, const object_t *object)
{
  const warmth_t *warmth = warmth_find (upstream, object);

  return object->anonymous || (warmth != NULL && warmth->ready);
}

static void
forget_at (upstream_t *upstream, guint index)
{
  object_t *object = g_array_index (upstream->warm, warmth_t, index).object;

  g_array_remove_index_fast (upstream->warm, index);
  g_ptr_array_remove_fast (object->upstreams, upstream);
  warmth_forget_object_if_idle (object);
}

/* Makes room for one more object. */
static void
forget_oldest (upstream_t *upstream)
{
  guint oldest = 0;

  for (guint i = 1; i < upstream->warm->len; i++)
    {
      if (g_array_index (upstream->warm, warmth_t, i).used_at
          < g_array_index (upstream->warm, warmth_t, oldest).used_at)
        oldest = i;
    }
  forget_at (upstream, oldest);
}

void
warmth_granted (upstream_t *upstream, object_t *object, anvil_time_t now, anvil_time_t ready_at)
{
  warmth_t *known = warmth_find (upstream, object);
  const warmth_t added = { .object = object, .ready_at = ready_at, .used_at = now };

  if (object->anonymous)
    return;
  if (known != NULL)
    {
      known->used_at = now;
      return;
    }
  /* Before the oldest goes, so that the object itself is held by its upstream. */
  g_ptr_array_add (object->upstreams, upstream);
  if (upstream->warm->len >= MIN (upstream->service->remembered, MAX_WARM_OBJECTS))
    forget_oldest (upstream);
  g_array_append_val (upstream->warm, added);
}

void
warmth_forget_upstream (upstream_t *upstream)
{
  while (upstream->warm->len > 0)
    forget_at (upstream, upstream->warm->len - 1);
}

static void
learn (estimate_t *estimate, gdouble value)
{
  estimate->n_values++;
  estimate->mean += (value - estimate->mean) * MAX (RUN_WEIGHT, 1.0 / estimate->n_values);
}

static gdouble
usual_run (const service_t *service, anvil_route_kind_t kind, gboolean warm)
{
  gdouble cold = service->cold_run[kind].mean;

  if (!warm)
    return cold > 0 ? cold : UNMEASURED_RUN;
  if (service->warm_run[kind].mean > 0)
    return service->warm_run[kind].mean;
  return (cold > 0 ? cold : UNMEASURED_RUN) * UNMEASURED_WARM_SHARE;
}

anvil_time_t
warmth_usual_run (const service_t *service, anvil_route_kind_t kind, gboolean warm)
{
  return (anvil_time_t) usual_run (service, kind, warm);
}

gdouble
warmth_demand (const object_t *object)
{
  if (object->interval <= 0)
    return 0;
  return usual_run (object->service, object->kind, TRUE) / object->interval;
}

void
warmth_measure_load (upstream_t *upstream)
{
  upstream->object_load = 0;
  for (guint i = 0; i < upstream->warm->len; i++)
    {
      const object_t *object = g_array_index (upstream->warm, warmth_t, i).object;

      upstream->object_load += warmth_demand (object) / object->upstreams->len;
    }
}

anvil_time_t
warmth_run_time (const upstream_t *upstream, anvil_route_kind_t kind, gboolean warm)
{
  return (anvil_time_t) (usual_run (upstream->service, kind, warm) * upstream->slowness);
}

/* A whole answer: its duration says how fast the upstream and the service are. */
static void
learn_run (task_t *task, anvil_time_t took)
{
  upstream_t *upstream = task->upstream;
  service_t *service = task->service;
  anvil_route_kind_t kind = task->wanted.kind;
  gdouble run = (gdouble) MAX (took - placing_distance (upstream, task), ANVIL_MS);
  gdouble ratio = run / usual_run (service, kind, task->warm);

  learn (task->warm ? &service->warm_run[kind] : &service->cold_run[kind], run);
  upstream->slowness += (ratio - upstream->slowness) * SLOWNESS_WEIGHT;
  upstream->slowness = CLAMP (upstream->slowness, MIN_SLOWNESS, MAX_SLOWNESS);
}

void
warmth_finished (task_t *task, anvil_time_t now, const anvil_run_report_t *report)
{
  upstream_t *upstream = task->upstream;
  warmth_t *warmth = warmth_find (upstream, task->object);
  gboolean fault = report->result != ANVIL_RUN_ANSWERED;

  if (report->result == ANVIL_RUN_UNUSED)
    fault = upstream->fault_share > 0.5;
  upstream->fault_share += ((fault ? 1 : 0) - upstream->fault_share) * FAULT_WEIGHT;
  if (report->result == ANVIL_RUN_ANSWERED)
    {
      if (report->duration > 0)
        learn_run (task, report->duration);
      if (warmth != NULL)
        {
          warmth->ready = TRUE;
          warmth->ready_at = MIN (warmth->ready_at, now);
        }
      return;
    }
  /* The object's first run there didn't come to an end. */
  if (warmth != NULL && !warmth->ready)
    forget_at (upstream, (guint) (warmth - (warmth_t *) (gpointer) upstream->warm->data));
}
