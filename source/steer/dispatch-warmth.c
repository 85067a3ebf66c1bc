/*
 * Tracks which upstreams are warm for which objects, and how long runs take.
 *
 * A run on an upstream that recently handled the same object takes a fraction of
 * a run elsewhere, so the choice of the upstream affects latency more than the
 * order in which tasks are served.
 */

#include "steer/dispatch-internal.h"

/* Expected cold run time before the first sample. It is long, so that a second request for an
 * object waits until the first has ended instead of causing another cold run. */
#define DEFAULT_COLD_RUN_TIME (1000 * ANVIL_MS)
/* Expected warm run time before the first sample, as a share of the cold one. */
#define DEFAULT_WARM_SHARE 0.35
/* Weight of a new sample in the mean run time of a service, and in the run time ratio of an
 * upstream; the latter must detect an upstream that becomes slow within a few runs. */
#define RUN_TIME_WEIGHT 0.05
#define RUN_TIME_RATIO_WEIGHT 0.25
#define MIN_RUN_TIME_RATIO 0.3
#define MAX_RUN_TIME_RATIO 10.0
/* Weight of a new sample in the mean interval between requests for an object. */
#define INTERVAL_WEIGHT 0.1
/* Weight of a new outcome in the failure rate of an upstream. */
#define FAILURE_WEIGHT 0.12

/* Requests without an object share one queue for each priority. */
static guint64
object_hash (const anvil_task_t *task)
{
  return task->object != 0 ? task->object : task->priority;
}

object_t *
warmth_get_object (service_t *service, const anvil_task_t *task)
{
  guint64 hash = object_hash (task);
  object_t *object = g_hash_table_lookup (service->objects, &hash);

  if (object != NULL)
    return object;
  object = g_new0 (object_t, 1);
  object->hash = hash;
  object->service = service;
  object->no_affinity = task->object == 0;
  object->upstreams = g_ptr_array_new ();
  g_queue_init (&object->on_time);
  g_queue_init (&object->late);
  g_hash_table_insert (service->objects, &object->hash, object);
  return object;
}

void
warmth_object_free (gpointer data)
{
  object_t *object = data;

  g_ptr_array_unref (object->upstreams);
  g_queue_clear (&object->on_time);
  g_queue_clear (&object->late);
  g_free (object);
}

void
warmth_drop_object_if_unused (object_t *object)
{
  if (object->upstreams->len == 0 && object->n_tasks == 0)
    g_hash_table_remove (object->service->objects, &object->hash);
}

void
warmth_record_request (object_t *object, anvil_route_kind_t kind, anvil_time_t now)
{
  gdouble interval = (gdouble) (now - object->requested_at);

  object->kind = kind;
  if (object->requested_at > 0)
    object->interval_us
        = object->interval_us > 0
              ? object->interval_us + (interval - object->interval_us) * INTERVAL_WEIGHT
              : interval;
  object->requested_at = now;
}

warm_entry_t *
warmth_find (const upstream_t *upstream, const object_t *object)
{
  for (guint i = 0; i < upstream->warm_entries->len; i++)
    {
      warm_entry_t *entry = &g_array_index (upstream->warm_entries, warm_entry_t, i);

      if (entry->object == object)
        return entry;
    }
  return NULL;
}

void
warmth_add_reported (upstream_t *upstream, object_t *object, anvil_time_t now)
{
  warm_entry_t *entry;

  /* Reports of other entries never replace what this dispatcher has observed. */
  if (object->no_affinity || warmth_find (upstream, object) != NULL
      || upstream->warm_entries->len >= MIN (upstream->service->max_warm_objects, MAX_WARM_OBJECTS))
    return;
  warmth_record_grant (upstream, object, now, now);
  entry = warmth_find (upstream, object);
  entry->ready = TRUE;
}

gboolean
warmth_is_ready (const upstream_t *upstream, const object_t *object)
{
  const warm_entry_t *entry = warmth_find (upstream, object);

  return object->no_affinity || (entry != NULL && entry->ready);
}

static void
remove_entry (upstream_t *upstream, guint index)
{
  object_t *object = g_array_index (upstream->warm_entries, warm_entry_t, index).object;

  g_array_remove_index_fast (upstream->warm_entries, index);
  g_ptr_array_remove_fast (object->upstreams, upstream);
  warmth_drop_object_if_unused (object);
}

/* Evicts the least recently granted object. */
static void
evict_oldest (upstream_t *upstream)
{
  guint oldest = 0;

  for (guint i = 1; i < upstream->warm_entries->len; i++)
    {
      if (g_array_index (upstream->warm_entries, warm_entry_t, i).granted_at
          < g_array_index (upstream->warm_entries, warm_entry_t, oldest).granted_at)
        oldest = i;
    }
  remove_entry (upstream, oldest);
}

void
warmth_record_grant (upstream_t *upstream,
                     object_t *object,
                     anvil_time_t now,
                     anvil_time_t ready_at)
{
  warm_entry_t *entry = warmth_find (upstream, object);
  const warm_entry_t added = { .object = object, .ready_at = ready_at, .granted_at = now };

  if (object->no_affinity)
    return;
  if (entry != NULL)
    {
      entry->granted_at = now;
      return;
    }
  /* Before the eviction, which frees objects that have no upstream and no tasks. */
  g_ptr_array_add (object->upstreams, upstream);
  if (upstream->warm_entries->len >= MIN (upstream->service->max_warm_objects, MAX_WARM_OBJECTS))
    evict_oldest (upstream);
  g_array_append_val (upstream->warm_entries, added);
}

void
warmth_clear_upstream (upstream_t *upstream)
{
  while (upstream->warm_entries->len > 0)
    remove_entry (upstream, upstream->warm_entries->len - 1);
}

static void
add_sample (estimate_t *estimate, gdouble run_time_us)
{
  estimate->n_samples++;
  estimate->mean_us
      += (run_time_us - estimate->mean_us) * MAX (RUN_TIME_WEIGHT, 1.0 / estimate->n_samples);
}

static gdouble
mean_run_time_us (const service_t *service, anvil_route_kind_t kind, gboolean warm)
{
  gdouble cold = service->cold_run_time[kind].mean_us;

  if (!warm)
    return cold > 0 ? cold : DEFAULT_COLD_RUN_TIME;
  if (service->warm_run_time[kind].mean_us > 0)
    return service->warm_run_time[kind].mean_us;
  return (cold > 0 ? cold : DEFAULT_COLD_RUN_TIME) * DEFAULT_WARM_SHARE;
}

anvil_time_t
warmth_mean_run_time (const service_t *service, anvil_route_kind_t kind, gboolean warm)
{
  return (anvil_time_t) mean_run_time_us (service, kind, warm);
}

gdouble
warmth_demand (const object_t *object)
{
  if (object->interval_us <= 0)
    return 0;
  return mean_run_time_us (object->service, object->kind, TRUE) / object->interval_us;
}

void
warmth_update_load (upstream_t *upstream)
{
  upstream->warm_load = 0;
  for (guint i = 0; i < upstream->warm_entries->len; i++)
    {
      const object_t *object = g_array_index (upstream->warm_entries, warm_entry_t, i).object;

      upstream->warm_load += warmth_demand (object) / object->upstreams->len;
    }
}

anvil_time_t
warmth_expected_run_time (const upstream_t *upstream, anvil_route_kind_t kind, gboolean warm)
{
  return (anvil_time_t) (mean_run_time_us (upstream->service, kind, warm)
                         * upstream->run_time_ratio);
}

/* Updates the run times of the service and the upstream from a complete response. */
static void
add_run_time (task_t *task, anvil_time_t duration)
{
  upstream_t *upstream = task->upstream;
  service_t *service = task->service;
  anvil_route_kind_t kind = task->request.kind;
  gdouble run_time_us = (gdouble) MAX (duration - placing_network_delay (upstream, task), ANVIL_MS);
  gdouble ratio = run_time_us / mean_run_time_us (service, kind, task->warm);

  add_sample (task->warm ? &service->warm_run_time[kind] : &service->cold_run_time[kind],
              run_time_us);
  add_sample (&upstream->run_time, run_time_us);
  upstream->run_time_ratio += (ratio - upstream->run_time_ratio) * RUN_TIME_RATIO_WEIGHT;
  upstream->run_time_ratio
      = CLAMP (upstream->run_time_ratio, MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
}

void
warmth_record_cut_run (const task_t *task, anvil_time_t duration)
{
  upstream_t *upstream = task->upstream;
  const gdouble run_time_us = (gdouble) (duration - placing_network_delay (upstream, task));
  const gdouble ratio
      = run_time_us / mean_run_time_us (task->service, task->request.kind, task->warm);

  if (ratio > upstream->run_time_ratio)
    upstream->run_time_ratio = MIN (
        upstream->run_time_ratio + (ratio - upstream->run_time_ratio) * RUN_TIME_RATIO_WEIGHT,
        MAX_RUN_TIME_RATIO);
}

void
warmth_record_result (task_t *task, anvil_time_t now, const anvil_run_report_t *report)
{
  upstream_t *upstream = task->upstream;
  warm_entry_t *entry = warmth_find (upstream, task->object);
  gboolean failed = report->result != ANVIL_RUN_ANSWERED;

  if (report->result == ANVIL_RUN_UNUSED)
    failed = upstream->failure_rate > 0.5;
  upstream->failure_rate += ((failed ? 1 : 0) - upstream->failure_rate) * FAILURE_WEIGHT;
  if (report->result == ANVIL_RUN_ANSWERED)
    {
      if (report->duration > 0)
        add_run_time (task, report->duration);
      if (entry != NULL)
        {
          entry->ready = TRUE;
          entry->ready_at = MIN (entry->ready_at, now);
        }
      return;
    }
  /* The object's first run on the upstream failed, so the upstream isn't warm for it. */
  if (entry != NULL && !entry->ready)
    remove_entry (upstream,
                  (guint) (entry - (warm_entry_t *) (gpointer) upstream->warm_entries->data));
}
