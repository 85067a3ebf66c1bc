/*
 * Tracks which upstreams are warm for which objects, and how long runs take.
 *
 * A run on an upstream that recently handled the same object takes a fraction of
 * a run elsewhere, so the choice of the upstream affects latency more than the
 * order in which tasks are served.
 */

#include "steer/dispatch-internal.h"

/* Weight of a new sample in the run time ratio of an upstream, which must detect an upstream that
 * becomes slow within a few runs. */
#define RUN_TIME_RATIO_WEIGHT 0.25
#define MIN_RUN_TIME_RATIO 0.3
#define MAX_RUN_TIME_RATIO 10.0
/* Least time that a run is expected to go on that has lasted longer than expected. */
#define MIN_REMAINING (5 * ANVIL_MS)
/* Weight of a new sample in the mean interval between requests for an object. */
#define INTERVAL_WEIGHT 0.1
/* Weight of a new outcome in the failure rate of an upstream. */
#define FAILURE_WEIGHT 0.12

/* Requests without an object share one queue for each priority, and tenant if they have one. */
static guint64
object_hash (const anvil_task_t *task)
{
  if (task->object == 0 && task->tenant.length > 0)
    return fairness_key (task);
  return task->object != 0 ? task->object : task->priority;
}

static void
queue_free (gpointer data)
{
  object_queue_t *queue = data;

  g_free (queue);
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
  object->queues = g_ptr_array_new_with_free_func (queue_free);
  g_hash_table_insert (service->objects, &object->hash, object);
  return object;
}

void
warmth_object_free (gpointer data)
{
  object_t *object = data;

  g_ptr_array_unref (object->upstreams);
  g_ptr_array_unref (object->queues);
  g_free (object);
}

void
warmth_drop_object_if_unused (object_t *object)
{
  if (object->upstreams->len == 0 && object->n_tasks == 0)
    g_hash_table_remove (object->service->objects, &object->hash);
}

/* Drops the queue without tasks that was requested least recently. */
static void
drop_oldest_queue (object_t *object)
{
  const object_queue_t *oldest = NULL;

  for (guint i = 0; i < object->queues->len; i++)
    {
      const object_queue_t *queue = object->queues->pdata[i];

      if (queue->n_tasks == 0 && (oldest == NULL || queue->requested_at < oldest->requested_at))
        oldest = queue;
    }
  if (oldest != NULL)
    g_ptr_array_remove_fast (object->queues, (gpointer) oldest);
}

object_queue_t *
warmth_get_queue (object_t *object, run_class_t *class)
{
  object_queue_t *queue;

  for (guint i = 0; i < object->queues->len; i++)
    {
      queue = object->queues->pdata[i];
      if (queue->class == class)
        return queue;
    }
  if (object->queues->len >= MAX_OBJECT_QUEUES)
    drop_oldest_queue (object);
  queue = g_new0 (object_queue_t, 1);
  queue->object = object;
  queue->class = class;
  g_queue_init (&queue->on_time);
  g_queue_init (&queue->late);
  g_ptr_array_add (object->queues, queue);
  return queue;
}

void
warmth_forget_class (service_t *service, const run_class_t *class)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GPtrArray *queues = ((object_t *) value)->queues;

      for (guint i = queues->len; i > 0; i--)
        {
          if (((const object_queue_t *) queues->pdata[i - 1])->class == class)
            g_ptr_array_remove_index_fast (queues, i - 1);
        }
    }
}

void
warmth_record_request (object_queue_t *queue, anvil_time_t now)
{
  gdouble interval = (gdouble) (now - queue->requested_at);

  if (queue->requested_at > 0)
    queue->interval_us
        = queue->interval_us > 0
              ? queue->interval_us + (interval - queue->interval_us) * INTERVAL_WEIGHT
              : interval;
  queue->requested_at = now;
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
  object->needs_more_at = 0;
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
  object->needs_more_at = 0;
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

anvil_time_t
warmth_mean_run_time (const run_class_t *class, gboolean warm)
{
  return (anvil_time_t) class_run_time_us (class, warm);
}

gdouble
warmth_demand (const object_t *object)
{
  gdouble demand = 0;

  for (guint i = 0; i < object->queues->len; i++)
    {
      const object_queue_t *queue = object->queues->pdata[i];

      if (queue->interval_us > 0)
        demand += class_work_us (queue->class) / queue->interval_us;
    }
  return demand;
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
warmth_expected_run_time (const upstream_t *upstream, const run_class_t *class, gboolean warm)
{
  return (anvil_time_t) (class_run_time_us (class, warm) * upstream->run_time_ratio
                         * upstream->slowness);
}

anvil_time_t
warmth_expected_end (task_t *task, anvil_time_t now)
{
  const upstream_t *upstream = task->upstream;
  gdouble factor = upstream->run_time_ratio * upstream->slowness;
  anvil_time_t elapsed;

  if (task->expected_end > now || !task->service->names_speed)
    return task->expected_end;
  elapsed = now - task->granted_at - placing_network_delay (upstream, task);
  task->expected_end = now
                       + MAX ((anvil_time_t) (factor
                                              * (gdouble) class_remaining (
                                                  task->class, task->warm,
                                                  (anvil_time_t) ((gdouble) elapsed / factor))),
                              MIN_REMAINING);
  return task->expected_end;
}

/* The run time relative to the class's, for the ratio of the upstream. One run in the tail says
 * little of the upstream, as some take several times as long on any; two in a row do. */
static gdouble
sample_ratio (task_t *task, gdouble run_time_us)
{
  upstream_t *upstream = task->upstream;
  gdouble tail_us = class_tail_us (task->class, task->warm);
  gboolean is_long = tail_us > 0 && run_time_us > tail_us * upstream->run_time_ratio;
  gboolean counts_whole = !is_long || upstream->last_run_was_long;

  upstream->last_run_was_long = is_long;
  if (!counts_whole)
    run_time_us = tail_us * upstream->run_time_ratio;
  return run_time_us / class_run_time_us (task->class, task->warm);
}

/* Updates the run times of the class and the upstream from a complete response. */
static void
add_run_time (task_t *task, anvil_time_t now, const anvil_run_report_t *report)
{
  upstream_t *upstream = task->upstream;
  anvil_time_t duration = MAX (report->duration - placing_network_delay (upstream, task), ANVIL_MS);
  gdouble run_time_us
      = (gdouble) duration
        / anvil_upstream_speed_run_factor (task->slowness_at_start, report->speed, duration);
  gdouble ratio = sample_ratio (task, run_time_us);

  class_add_run_time (task->class, now, task->warm, run_time_us);
  class_add_sample (&upstream->run_time, (gdouble) duration);
  upstream->run_time_ratio += (ratio - upstream->run_time_ratio) * RUN_TIME_RATIO_WEIGHT;
  upstream->run_time_ratio
      = CLAMP (upstream->run_time_ratio, MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
}

gdouble
warmth_run_factor (const task_t *task, const anvil_run_report_t *report)
{
  if (report->result == ANVIL_RUN_ANSWERED)
    return anvil_upstream_speed_run_factor (task->slowness_at_start, report->speed,
                                            report->duration);
  return task->slowness_at_start > 0 ? task->slowness_at_start : 1;
}

void
warmth_record_cut_run (const task_t *task, const anvil_run_report_t *report)
{
  upstream_t *upstream = task->upstream;
  const gdouble run_time_us = (gdouble) (report->duration - placing_network_delay (upstream, task))
                              / warmth_run_factor (task, report);
  const gdouble ratio = run_time_us / class_run_time_us (task->class, task->warm);

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
        add_run_time (task, now, report);
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
