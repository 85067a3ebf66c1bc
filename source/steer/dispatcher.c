#include "anvil/dispatcher.h"

#include <string.h>

#include "anvil/log.h"
#include "steer/dispatch-internal.h"

/* A task that ended without a word of its asker is forgotten this long after its deadline. */
#define DEADLINE_GRACE (500 * ANVIL_MS)
/* How often the load that objects bring to upstreams is worked out again. */
#define LOAD_PERIOD (200 * ANVIL_MS)
/* Round trip between regions before any was measured, as between neighbouring countries. */
#define DEFAULT_BETWEEN_REGIONS (50 * ANVIL_MS)

static guint
task_id_hash (gconstpointer data)
{
  const anvil_task_id_t *id = data;
  guint64 mixed = (id->number ^ (id->requester << 1)) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);

  return (guint) (mixed >> 32);
}

static gboolean
task_id_equal (gconstpointer a, gconstpointer b)
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
  g_hash_table_unref (service->waiting_objects);
  g_hash_table_unref (service->objects);
  g_free (service);
}

anvil_dispatcher_t *
anvil_dispatcher_new (const anvil_dispatcher_limits_t *bounds,
                      const anvil_dispatcher_callbacks_t *actions,
                      void *context)
{
  anvil_dispatcher_t *dispatcher = g_new0 (anvil_dispatcher_t, 1);

  dispatcher->bounds = *bounds;
  dispatcher->actions = *actions;
  dispatcher->context = context;
  dispatcher->between_regions = DEFAULT_BETWEEN_REGIONS;
  dispatcher->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  dispatcher->upstreams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dispatch_upstream_free);
  dispatcher->tasks = g_hash_table_new_full (task_id_hash, task_id_equal, NULL, task_free);
  dispatcher->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
  g_hash_table_unref (dispatcher->names);
  g_free (dispatcher);
}

guint
name_number (anvil_dispatcher_t *dispatcher, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (dispatcher->names, text));

  if (number != 0)
    {
      g_free (text);
      return number;
    }
  number = g_hash_table_size (dispatcher->names) + 1;
  g_hash_table_insert (dispatcher->names, text, GUINT_TO_POINTER (number));
  return number;
}

void
anvil_dispatcher_set_limits (anvil_dispatcher_t *dispatcher,
                             const anvil_dispatcher_limits_t *bounds)
{
  dispatcher->bounds = *bounds;
}

service_t *
dispatch_service (anvil_dispatcher_t *dispatcher, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  service_t *service = g_hash_table_lookup (dispatcher->services, text);

  if (service != NULL)
    {
      g_free (text);
      return service;
    }
  service = g_new0 (service_t, 1);
  service->name = text;
  service->dispatcher = dispatcher;
  service->upstreams = g_ptr_array_new ();
  service->objects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, warmth_object_free);
  service->waiting_objects = g_hash_table_new (NULL, NULL);
  service->remembered = MAX_WARM_OBJECTS;
  g_hash_table_insert (dispatcher->services, service->name, service);
  return service;
}

void
anvil_dispatcher_set_service (anvil_dispatcher_t *dispatcher, const anvil_service_t *profile)
{
  service_t *service = dispatch_service (dispatcher, anvil_str (profile->name));

  service->profile = *profile;
  service->profile.name = service->name;
}

void
anvil_dispatcher_set_region_rtt (anvil_dispatcher_t *dispatcher, anvil_time_t between_regions)
{
  dispatcher->between_regions = between_regions;
}

static void
forget (anvil_dispatcher_t *dispatcher, task_t *task)
{
  object_t *object = task->object;

  g_hash_table_remove (dispatcher->tasks, &task->wanted.id);
  object->n_tasks--;
  warmth_forget_object_if_idle (object);
}

static void
start (anvil_dispatcher_t *dispatcher,
       anvil_time_t now,
       task_t *task,
       upstream_t *upstream,
       gboolean warm)
{
  anvil_time_t run = warmth_run_time (upstream, task->wanted.kind, warm);

  task->upstream = upstream;
  task->warm = warm;
  task->granted_at = now;
  task->expected_end = now + placing_distance (upstream, task) + run;
  g_ptr_array_add (upstream->running, task);
  task->service->n_running++;
  if (now < upstream->record.cold_until)
    upstream->cold.tokens -= 1;
  warmth_granted (upstream, task->object, now, task->expected_end);
}

static void
tell_grant (anvil_dispatcher_t *dispatcher, const task_t *task)
{
  const upstream_t *upstream = task->upstream;
  const anvil_grant_t granted = { .upstream = upstream->record.key,
                                  .upstream_id = anvil_str (upstream->record.id),
                                  .zone = anvil_str (upstream->record.zone),
                                  .address = upstream->record.address,
                                  .port = upstream->record.port,
                                  .warm = task->warm };

  dispatcher->actions.grant (dispatcher->context, task->wanted.id, &granted);
}

static void
grant (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task, upstream_t *upstream)
{
  start (dispatcher, now, task, upstream, warmth_is_ready (upstream, task->object));
  tell_grant (dispatcher, task);
}

/* Refuses a task that is in no queue. */
static void
refuse (anvil_dispatcher_t *dispatcher,
        anvil_time_t now,
        task_t *task,
        anvil_task_refusal_reason_t why)
{
  anvil_task_id_t id = task->wanted.id;
  const service_t *service = task->service;
  const anvil_task_refusal_info_t refused = { .reason = why,
                                              .retry_after = refusing_come_back (task, now),
                                              .waiting = service->n_waiting,
                                              .running = service->n_running,
                                              .slots = service->n_slots };

  forget (dispatcher, task);
  dispatcher->actions.refuse (dispatcher->context, id, &refused);
}

/* Gives free slots of an upstream to waiting tasks. */
static void
fill (anvil_dispatcher_t *dispatcher, anvil_time_t now, upstream_t *upstream)
{
  while (upstream->service->n_waiting > 0 && placing_has_room (upstream, now))
    {
      task_t *task = waiting_best_for (upstream, now);

      if (task == NULL)
        return;
      waiting_leave (task);
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
  service_t *service = dispatch_service (dispatcher, anvil_str (record->service));

  if (upstream == NULL)
    upstream = dispatch_upstream_new (dispatcher, record->key);
  if (upstream->present && upstream->service != service)
    dispatch_upstream_leave (upstream);
  if (change == ANVIL_REGISTRY_RESTARTED)
    dispatch_upstream_begin_anew (upstream);
  dispatch_upstream_update (dispatcher, upstream, record, region);
  if (!upstream->present)
    dispatch_upstream_enter (upstream, service);
  dispatch_upstream_count (service);
  fill (dispatcher, now, upstream);
}

static void
free_if_done (anvil_dispatcher_t *dispatcher, upstream_t *upstream)
{
  if (!upstream->present && upstream->running->len == 0)
    g_hash_table_remove (dispatcher->upstreams, &upstream->record.key);
}

void
anvil_dispatcher_remove_upstream (anvil_dispatcher_t *dispatcher, anvil_time_t now, guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);

  if (upstream == NULL || !upstream->present)
    return;
  dispatch_upstream_leave (upstream);
  free_if_done (dispatcher, upstream);
}

static task_t *
task_new (anvil_dispatcher_t *dispatcher, anvil_time_t now, const anvil_task_t *wanted)
{
  task_t *task = g_new0 (task_t, 1);

  task->wanted = *wanted;
  task->region = name_number (dispatcher, wanted->region);
  task->zone = name_number (dispatcher, wanted->zone);
  for (guint i = 0; i < wanted->n_regions; i++)
    task->regions[i] = name_number (dispatcher, wanted->regions[i]);
  task->service = dispatch_service (dispatcher, wanted->service);
  task->object = warmth_object (task->service, wanted);
  task->object->n_tasks++;
  g_hash_table_insert (dispatcher->tasks, &task->wanted.id, task);
  return task;
}

void
anvil_dispatcher_submit (anvil_dispatcher_t *dispatcher,
                         anvil_time_t now,
                         const anvil_task_t *wanted)
{
  task_t *task;
  place_t place;

  task = g_hash_table_lookup (dispatcher->tasks, &wanted->id);
  if (task != NULL)
    {
      /* Asked again, since an answer was overdue: it may have been lost. */
      if (task->upstream != NULL)
        tell_grant (dispatcher, task);
      return;
    }
  task = task_new (dispatcher, now, wanted);
  if (!dispatch_spend_try (dispatcher, now, task))
    {
      refuse (dispatcher, now, task, ANVIL_TASK_NO_RETRY);
      return;
    }
  warmth_asked (task->object, wanted->kind, now);
  place = placing_best_now (task, now);
  if (place.upstream != NULL)
    grant (dispatcher, now, task, place.upstream);
  else if (task->service->n_slots == 0)
    refuse (dispatcher, now, task, ANVIL_TASK_NO_UPSTREAM);
  else if (refusing_no_room (task, now))
    refuse (dispatcher, now, task, ANVIL_TASK_NO_ROOM);
  else
    waiting_enter (task);
}

void
anvil_dispatcher_adopt (anvil_dispatcher_t *dispatcher,
                        anvil_time_t now,
                        const anvil_task_t *wanted,
                        guint64 key)
{
  upstream_t *upstream = g_hash_table_lookup (dispatcher->upstreams, &key);
  task_t *task;

  if (upstream == NULL || !upstream->present
      || g_hash_table_contains (dispatcher->tasks, &wanted->id))
    return;
  task = task_new (dispatcher, now, wanted);
  start (dispatcher, now, task, upstream, TRUE);
}

void
anvil_dispatcher_cancel (anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_task_id_t id)
{
  task_t *task = g_hash_table_lookup (dispatcher->tasks, &id);

  if (task == NULL || task->upstream != NULL)
    return;
  waiting_leave (task);
  forget (dispatcher, task);
}

/* Ends a task that was granted. */
static void
end (anvil_dispatcher_t *dispatcher, task_t *task)
{
  upstream_t *upstream = task->upstream;

  g_ptr_array_remove_fast (upstream->running, task);
  task->service->n_running--;
  forget (dispatcher, task);
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
  if (upstream->present)
    {
      warmth_finished (task, now, report);
      dispatch_upstream_judge (upstream, now, report->result);
    }
  if (report->still_running)
    {
      /* Its slot is busy until it should end; nobody will tell. */
      task->wanted.deadline = MAX (task->expected_end, now);
      return;
    }
  end (dispatcher, task);
  if (upstream->present)
    fill (dispatcher, now, upstream);
  free_if_done (dispatcher, upstream);
}

/* Tasks whose time has come, collected first since ending one changes the table. */
static GPtrArray *
overdue_tasks (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatcher->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      task_t *task = value;

      if (task->upstream != NULL ? now > task->wanted.deadline + DEADLINE_GRACE
                                 : refusing_in_vain (task, now))
        g_ptr_array_add (found, task);
    }
  return found;
}

static void
end_overdue (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GPtrArray *overdue = overdue_tasks (dispatcher, now);

  for (guint i = 0; i < overdue->len; i++)
    {
      task_t *task = overdue->pdata[i];

      if (task->upstream != NULL)
        {
          upstream_t *upstream = task->upstream;

          end (dispatcher, task);
          free_if_done (dispatcher, upstream);
          continue;
        }
      waiting_leave (task);
      refuse (dispatcher, now, task, ANVIL_TASK_LATE);
    }
  g_ptr_array_unref (overdue);
}

static void
measure_loads (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now - dispatcher->loads_at < LOAD_PERIOD)
    return;
  dispatcher->loads_at = now;
  g_hash_table_iter_init (&iter, dispatcher->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    warmth_measure_load (value);
}

void
anvil_dispatcher_tick (anvil_dispatcher_t *dispatcher, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  end_overdue (dispatcher, now);
  measure_loads (dispatcher, now);
  g_hash_table_iter_init (&iter, dispatcher->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      waiting_measure_backlog (service);
      for (guint i = 0; service->n_waiting > 0 && i < service->upstreams->len; i++)
        fill (dispatcher, now, service->upstreams->pdata[i]);
    }
}

void
anvil_dispatcher_requester_lost (anvil_dispatcher_t *dispatcher,
                                 anvil_time_t now,
                                 anvil_node_t asker)
{
  GPtrArray *lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatcher->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const task_t *task = value;

      if (task->wanted.id.requester == asker && task->upstream == NULL)
        g_ptr_array_add (lost, value);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      waiting_leave (lost->pdata[i]);
      forget (dispatcher, lost->pdata[i]);
    }
  g_ptr_array_unref (lost);
}

gboolean
anvil_dispatcher_status (const anvil_dispatcher_t *dispatcher,
                         anvil_str_t name,
                         anvil_dispatcher_status_t *status)
{
  char *text = anvil_str_dup (name);
  const service_t *service = g_hash_table_lookup (dispatcher->services, text);

  g_free (text);
  if (service == NULL)
    return FALSE;
  *status = (anvil_dispatcher_status_t){ .upstreams = service->upstreams->len,
                                         .slots = service->n_slots,
                                         .running = service->n_running,
                                         .waiting = service->n_waiting };
  return TRUE;
}
