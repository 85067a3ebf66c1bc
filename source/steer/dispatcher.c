/* Tables of upstreams and tasks, and the life of a task from submission to its end. */

#include "anvil/dispatcher.h"

#include <string.h>

#include "anvil/log.h"
#include "steer/dispatch-repeat.h"

/* A running task whose end isn't reported is removed this long after its deadline. */
#define DEADLINE_GRACE (500 * ANVIL_MS)
/* Interval at which the warm load of upstreams is updated. */
#define LOAD_UPDATE_INTERVAL (200 * ANVIL_MS)
/* Round trip between regions before it is set: typical of neighbouring countries. */
#define DEFAULT_REGION_RTT (50 * ANVIL_MS)

guint
anvil_task_id_hash (gconstpointer data)
{
  const anvil_task_id_t *id = data;
  guint64 mixed = (id->number ^ (id->requester << 1)) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);

  return (guint) (mixed >> 32);
}

gboolean
anvil_task_id_equal (gconstpointer a, gconstpointer b)
{
  const anvil_task_id_t *x = a;
  const anvil_task_id_t *y = b;

  return x->number == y->number && x->requester == y->requester;
}

static void
task_free (gpointer data)
{
  task_t *task = data;

  g_free (task);
}

static void
service_free (gpointer data)
{
  service_t *service = data;

  g_free (service->name);
  g_ptr_array_unref (service->upstreams);
  g_hash_table_unref (service->waiting_queues);
  g_hash_table_unref (service->plain_queues);
  g_ptr_array_unref (service->cold_queues);
  g_hash_table_unref (service->objects);
  class_clear_service (service);
  g_hash_table_unref (service->shifts);
  fairness_close (service);
  dispatch_repeats_drop (service->repeats);
  g_free (service);
}

anvil_dispatcher_t *
anvil_dispatcher_new (const anvil_dispatcher_limits_t *limits,
                      const anvil_dispatcher_callbacks_t *callbacks,
                      void *context)
{
  anvil_dispatcher_t *dispatcher = g_new0 (anvil_dispatcher_t, 1);

  dispatcher->limits = *limits;
  dispatcher->callbacks = *callbacks;
  dispatcher->context = context;
  dispatcher->region_rtt = DEFAULT_REGION_RTT;
  dispatcher->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  dispatcher->upstreams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dispatch_upstream_free);
  dispatcher->tasks
      = g_hash_table_new_full (anvil_task_id_hash, anvil_task_id_equal, NULL, task_free);
  dispatcher->name_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return dispatcher;
}

void
anvil_dispatcher_drop (anvil_dispatcher_t *dispatcher)
{
  if (dispatcher == NULL)
    return;
  g_hash_table_unref (dispatcher->tasks);
  g_hash_table_unref (dispatcher->services);
  g_hash_table_unref (dispatcher->upstreams);
  g_hash_table_unref (dispatcher->name_ids);
  g_free (dispatcher);
}

guint
name_id (anvil_dispatcher_t *dispatcher, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  guint id = GPOINTER_TO_UINT (g_hash_table_lookup (dispatcher->name_ids, text));

  if (id != 0)
    {
      g_free (text);
      return id;
    }
  id = g_hash_table_size (dispatcher->name_ids) + 1;
  g_hash_table_insert (dispatcher->name_ids, text, GUINT_TO_POINTER (id));
  return id;
}

void
anvil_dispatcher_set_limits (anvil_dispatcher_t *dispatcher,
                             const anvil_dispatcher_limits_t *limits)
{
  dispatcher->limits = *limits;
}

void
anvil_dispatcher_set_divided (anvil_dispatcher_t *dispatcher, gboolean divided)
{
  dispatcher->divided = divided;
}

void
anvil_dispatcher_set_knows_peers (anvil_dispatcher_t *dispatcher,
                                  anvil_time_t now,
                                  gboolean knows_peers)
{
  GHashTableIter iter;
  gpointer value;

  if (knows_peers != dispatcher->peers_unknown)
    return;
  dispatcher->peers_unknown = !knows_peers;
  g_hash_table_iter_init (&iter, dispatcher->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((service_t *) value)->held_since = now;
}

void
anvil_dispatcher_set_region_rtt (anvil_dispatcher_t *dispatcher, anvil_time_t region_rtt)
{
  dispatcher->region_rtt = region_rtt;
}

static void
remove_task (anvil_dispatcher_t *dispatcher, task_t *task)
{
  object_t *object = task->object;

  task->class->n_tasks--;
  task->queue->n_tasks--;
  fairness_remove_task (task);
  g_hash_table_remove (dispatcher->tasks, &task->request.id);
  object->n_tasks--;
  warmth_drop_object_if_unused (object);
}

static void
assign_slot (anvil_dispatcher_t *dispatcher,
             anvil_time_t now,
             task_t *task,
             upstream_t *upstream,
             gboolean warm)
{
  anvil_time_t run_time = warmth_expected_run_time (upstream, task->class, warm);

  task->upstream = upstream;
  task->warm = warm;
  task->granted_at = now;
  task->slowness_at_start
      = anvil_upstream_speed_is_known (&upstream->speed, now) ? upstream->slowness : 0;
  task->expected_end = now + placing_network_delay (upstream, task) + run_time;
  g_ptr_array_add (upstream->running, task);
  task->service->n_running++;
  fairness_granted (task, run_time);
  if (now < upstream->record.cold_until)
    upstream->cold_limiter.tokens -= 1;
  warmth_record_grant (upstream, task->object, now, task->expected_end);
  shift_record (dispatch_shift_of (task), now, task->region != upstream->region);
}

static void
notify_grant (anvil_dispatcher_t *dispatcher, const task_t *task)
{
  const upstream_t *upstream = task->upstream;
  const anvil_slot_grant_t granted = { .upstream = upstream->record.key,
                                       .upstream_id = anvil_str (upstream->record.id),
                                       .zone = anvil_str (upstream->record.zone),
                                       .address = upstream->record.address,
                                       .port = upstream->record.port,
                                       .started_at = upstream->record.started_at,
                                       .warm = task->warm,
                                       .repeat_after = dispatch_repeat_after (task) };

  dispatcher->callbacks.grant (dispatcher->context, task->request.id, &granted);
}

static void
grant (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task, upstream_t *upstream)
{
  assign_slot (dispatcher, now, task, upstream, warmth_is_ready (upstream, task->object));
  limit_count_request (upstream, now);
  if (!task->request.is_repeat)
    {
      dispatch_repeat_count_first (task, now);
      class_count_decided (task->class, TRUE);
    }
  notify_grant (dispatcher, task);
}

/* Refuses a task that isn't queued. */
static void
refuse (anvil_dispatcher_t *dispatcher,
        anvil_time_t now,
        task_t *task,
        anvil_task_refusal_reason_t reason)
{
  anvil_task_id_t id = task->request.id;
  const service_t *service = task->service;
  /* A refused second run isn't a refused caller. */
  const gboolean is_repeat = task->request.is_repeat;
  const anvil_task_refusal_info_t refused
      = { .reason = reason,
          .retry_after = is_repeat ? 0 : refusing_retry_after (task, now),
          .waiting = service->n_waiting,
          .running = service->n_running,
          .slots = service->n_slots };

  if (!is_repeat)
    class_count_decided (task->class, FALSE);
  remove_task (dispatcher, task);
  dispatcher->callbacks.refuse (dispatcher->context, id, &refused);
}

/* Grants free slots of an upstream to queued tasks. */
static void
grant_free_slots (anvil_dispatcher_t *dispatcher, anvil_time_t now, upstream_t *upstream)
{
  while (upstream->service->n_waiting > 0 && placing_slot_available (upstream, now))
    {
      task_t *task = waiting_next_task (upstream, now);

      if (task == NULL)
        return;
      waiting_remove (task);
      grant (dispatcher, now, task, upstream);
    }
}

void
anvil_dispatcher_update_upstream (anvil_dispatcher_t *dispatcher,
                                  anvil_time_t now,
                                  const anvil_registered_upstream_t *record,
                                  anvil_str_t region,
                                  anvil_registry_change_t change)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &record->key);
  service_t *service = dispatch_get_service (dispatcher, anvil_str (record->service));

  if (upstream == NULL)
    upstream = dispatch_upstream_new (dispatcher, record->key);
  if (upstream->registered && upstream->service != service)
    dispatch_upstream_remove (upstream);
  if (change == ANVIL_REGISTRY_RESTARTED)
    dispatch_upstream_reset (upstream);
  dispatch_upstream_update (dispatcher, upstream, record, region);
  if (!upstream->registered)
    dispatch_upstream_add (upstream, service);
  dispatch_update_slot_count (service);
  grant_free_slots (dispatcher, now, upstream);
}

static void
drop_if_unused (anvil_dispatcher_t *dispatcher, upstream_t *upstream)
{
  if (!upstream->registered && upstream->running->len == 0)
    g_hash_table_remove (dispatcher->upstreams, &upstream->record.key);
}

void
anvil_dispatcher_remove_upstream (anvil_dispatcher_t *dispatcher, anvil_time_t now, guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);

  if (upstream == NULL || !upstream->registered)
    return;
  dispatch_upstream_remove (upstream);
  drop_if_unused (dispatcher, upstream);
}

static task_t *
task_new (anvil_dispatcher_t *dispatcher, anvil_time_t now, const anvil_task_t *request)
{
  task_t *task = g_new0 (task_t, 1);

  task->request = *request;
  task->region = name_id (dispatcher, request->region);
  task->zone = name_id (dispatcher, request->zone);
  for (guint i = 0; i < request->n_regions; i++)
    task->regions[i] = name_id (dispatcher, request->regions[i]);
  task->service = dispatch_get_service (dispatcher, request->service);
  task->object = warmth_get_object (task->service, request);
  task->object->n_tasks++;
  task->class = class_get (task->service, request, now);
  task->class->n_tasks++;
  task->queue = warmth_get_queue (task->object, task->class);
  task->queue->n_tasks++;
  fairness_add_task (task, now);
  g_hash_table_insert (dispatcher->tasks, &task->request.id, task);
  return task;
}

/* Refuses a task of the tenant with most queued tasks if the queue is full. */
static void
make_room (anvil_dispatcher_t *dispatcher, anvil_time_t now, const task_t *task)
{
  task_t *victim;

  if (task->service->n_waiting < MAX_WAITING_TASKS || refusing_misses_deadline (task, now))
    return;
  victim = fairness_find_victim (task);
  if (victim == NULL)
    return;
  waiting_remove (victim);
  refuse (dispatcher, now, victim, ANVIL_TASK_NO_ROOM);
}

/* Grants a second run a slot that is free, or refuses it: it is never queued. */
static void
submit_repeat (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task)
{
  anvil_task_refusal_reason_t reason;
  const placement_t placement = dispatch_repeat_place (task, now, &reason);

  if (placement.upstream != NULL)
    grant (dispatcher, now, task, placement.upstream);
  else
    refuse (dispatcher, now, task, reason);
}

void
anvil_dispatcher_submit (anvil_dispatcher_t *dispatcher,
                         anvil_time_t now,
                         const anvil_task_t *request)
{
  task_t *task;
  placement_t placement;

  task = g_hash_table_lookup (dispatcher->tasks, &request->id);
  if (task != NULL)
    {
      dispatcher->work.n_repeated++;
      /* Requested again: the grant may have been lost. */
      if (task->upstream != NULL)
        notify_grant (dispatcher, task);
      return;
    }
  dispatcher->work.n_submitted++;
  task = task_new (dispatcher, now, request);
  /* Nothing is sent, so this takes no retry from the budget. */
  if (refusing_lacks_upstream (task))
    {
      refuse (dispatcher, now, task, ANVIL_TASK_NO_UPSTREAM);
      return;
    }
  if (request->is_repeat)
    {
      submit_repeat (dispatcher, now, task);
      return;
    }
  if (!dispatch_count_attempt (dispatcher, now, task))
    {
      refuse (dispatcher, now, task, ANVIL_TASK_NO_RETRY);
      return;
    }
  warmth_record_request (task->queue, now);
  class_count_submitted (task->class);
  placement = placing_best_immediate (task, now);
  if (placement.upstream != NULL)
    grant (dispatcher, now, task, placement.upstream);
  else if (task->service->n_slots == 0)
    refuse (dispatcher, now, task, ANVIL_TASK_NO_UPSTREAM);
  else if (pause_outlasts (task, now))
    refuse (dispatcher, now, task, ANVIL_TASK_PAUSED);
  else
    {
      make_room (dispatcher, now, task);
      if (refusing_on_arrival (task, now))
        refuse (dispatcher, now, task, ANVIL_TASK_NO_ROOM);
      else
        waiting_add (task, now);
    }
}

void
anvil_dispatcher_adopt (anvil_dispatcher_t *dispatcher,
                        anvil_time_t now,
                        const anvil_task_t *request,
                        guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);
  task_t *task;

  if (upstream == NULL || !upstream->registered
      || g_hash_table_contains (dispatcher->tasks, &request->id))
    return;
  task = task_new (dispatcher, now, request);
  assign_slot (dispatcher, now, task, upstream, TRUE);
}

const anvil_dispatcher_work_t *
anvil_dispatcher_work (const anvil_dispatcher_t *dispatcher)
{
  return &dispatcher->work;
}

gboolean
anvil_dispatcher_has_task (const anvil_dispatcher_t *dispatcher, anvil_task_id_t id)
{
  return g_hash_table_contains (dispatcher->tasks, &id);
}

void
anvil_dispatcher_cancel (anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_task_id_t id)
{
  task_t *task = g_hash_table_lookup (dispatcher->tasks, &id);

  if (task == NULL || task->upstream != NULL)
    return;
  waiting_remove (task);
  remove_task (dispatcher, task);
}

/* Removes a running task and frees its slot. */
static void
end_task (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task)
{
  upstream_t *upstream = task->upstream;

  g_ptr_array_remove_fast (upstream->running, task);
  fairness_run_ended (task, now);
  task->service->n_running--;
  remove_task (dispatcher, task);
}

void
anvil_dispatcher_run_finished (anvil_dispatcher_t *dispatcher,
                               anvil_time_t now,
                               anvil_task_id_t id,
                               const anvil_run_report_t *report)
{
  task_t *task = g_hash_table_lookup (dispatcher->tasks, &id);
  upstream_t *upstream = task != NULL ? task->upstream : NULL;

  if (upstream == NULL)
    return;
  dispatcher->work.n_finished++;
  dispatch_repeat_record_end (task, now, report);
  if (upstream->registered)
    {
      warmth_record_result (task, now, report);
      dispatch_upstream_record_result (upstream, now, report->result);
      dispatch_upstream_set_speed (upstream, now, report->speed);
      limit_record_response (upstream, now, task->granted_at, &report->request_limit);
    }
  if (report->still_running)
    {
      /* The slot counts as used until the expected end, since no further report follows. */
      task->request.deadline = MAX (task->expected_end, now);
      return;
    }
  end_task (dispatcher, now, task);
  if (upstream->registered)
    grant_free_slots (dispatcher, now, upstream);
  drop_if_unused (dispatcher, upstream);
}

void
anvil_dispatcher_add_request_limit (anvil_dispatcher_t *dispatcher,
                                    anvil_time_t now,
                                    guint64 key,
                                    gdouble per_second,
                                    anvil_time_t named_at)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);

  if (upstream != NULL && upstream->registered)
    limit_add_reported (upstream, now, named_at, per_second);
}

typedef struct
{
  task_t *task;
  anvil_task_refusal_reason_t reason;
} overdue_t;

/* Running tasks past their deadline, and queued ones to refuse. Collected first, since ending one
 * changes the table. */
static GArray *
overdue_tasks (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (overdue_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatcher->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      overdue_t overdue = { .task = value };

      if (overdue.task->upstream != NULL
              ? now > overdue.task->request.deadline + DEADLINE_GRACE
              : refusing_while_waiting (overdue.task, now, &overdue.reason))
        g_array_append_val (found, overdue);
    }
  return found;
}

static void
end_overdue (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GArray *overdue = overdue_tasks (dispatcher, now);

  for (guint i = 0; i < overdue->len; i++)
    {
      task_t *task = g_array_index (overdue, overdue_t, i).task;

      if (task->upstream != NULL)
        {
          upstream_t *upstream = task->upstream;

          end_task (dispatcher, now, task);
          drop_if_unused (dispatcher, upstream);
          continue;
        }
      waiting_remove (task);
      refuse (dispatcher, now, task, g_array_index (overdue, overdue_t, i).reason);
    }
  g_array_unref (overdue);
}

static void
update_loads (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now - dispatcher->loads_updated_at < LOAD_UPDATE_INTERVAL)
    return;
  dispatcher->loads_updated_at = now;
  g_hash_table_iter_init (&iter, dispatcher->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    warmth_update_load (value);
  g_hash_table_iter_init (&iter, dispatcher->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      class_update (service, now);
      if (service->n_limited > 0)
        dispatch_update_slot_count (service);
    }
}

void
anvil_dispatcher_tick (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  end_overdue (dispatcher, now);
  update_loads (dispatcher, now);
  g_hash_table_iter_init (&iter, dispatcher->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      dispatch_update_speeds (service, now);
      waiting_update_backlog (service);
      cold_queues_update (service, now);
      fairness_remove_idle (service, now);
      for (guint i = 0; service->n_waiting > 0 && i < service->upstreams->len; i++)
        grant_free_slots (dispatcher, now, service->upstreams->pdata[i]);
    }
}

void
anvil_dispatcher_requester_lost (anvil_dispatcher_t *dispatcher,
                                 anvil_time_t now,
                                 anvil_node_t requester)
{
  GPtrArray *lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatcher->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const task_t *task = value;

      if (task->request.id.requester == requester && task->upstream == NULL)
        g_ptr_array_add (lost, value);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      waiting_remove (lost->pdata[i]);
      remove_task (dispatcher, lost->pdata[i]);
    }
  g_ptr_array_unref (lost);
}
