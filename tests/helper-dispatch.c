#include "helper-dispatch.h"

#define STEP (5 * ANVIL_MS)
#define ASKER ((anvil_node_t) 77)

/* An upstream handles an object; whether it remembered it. */
static gboolean
touch (dispatch_lab_t *lab, guint64 upstream, guint64 object)
{
  GQueue *objects = g_hash_table_lookup (lab->known, &upstream);
  gboolean knew = FALSE;

  if (objects == NULL)
    {
      objects = g_queue_new ();
      g_hash_table_insert (lab->known, g_memdup2 (&upstream, sizeof upstream), objects);
    }
  for (GList *link = objects->head; link != NULL && !knew; link = link->next)
    {
      if (*(guint64 *) link->data != object)
        continue;
      g_free (link->data);
      g_queue_delete_link (objects, link);
      knew = TRUE;
      break;
    }
  g_queue_push_head (objects, g_memdup2 (&object, sizeof object));
  if (objects->length > lab->remembers)
    g_free (g_queue_pop_tail (objects));
  return knew;
}

static void
free_objects (gpointer data)
{
  g_queue_free_full (data, g_free);
}

static void
on_grant (void *context, anvil_task_id_t id, const anvil_grant_t *grant)
{
  dispatch_lab_t *lab = context;
  lab_task_t *task = lab_task (lab, (guint) id.number);
  gboolean knows = touch (lab, grant->upstream, task->task.object);

  task->granted = TRUE;
  task->upstream = grant->upstream;
  task->warm = grant->warm;
  task->ends_at = lab->now + (knows || task->task.object == 0 ? lab->warm_run : lab->cold_run);
  lab->n_grants++;
}

static void
on_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  dispatch_lab_t *lab = context;
  lab_task_t *task = lab_task (lab, (guint) id.number);

  task->refused = TRUE;
  task->refused_at = lab->now;
  task->why = refused->reason;
  task->come_back = refused->retry_after;
  lab->n_refusals++;
}

static const anvil_dispatcher_callbacks_t actions = { .grant = on_grant, .refuse = on_refuse };

void
lab_open (dispatch_lab_t *lab)
{
  const anvil_dispatcher_limits_t bounds = { .retry_ratio = 0.2,
                                             .retry_extra = 50,
                                             .retry_window = 10 * ANVIL_SECOND,
                                             .cold_factor = 1.5,
                                             .cold_extra = 5 };
  const anvil_service_t photos
      = { .name = "photos", .cold_time = 3 * ANVIL_SECOND, .cold_per_second = 2.5 };

  *lab = (dispatch_lab_t){ .now = ANVIL_SECOND,
                           .cold_run = 880 * ANVIL_MS,
                           .warm_run = 264 * ANVIL_MS,
                           .remembers = 24,
                           .target = 600 * ANVIL_MS,
                           .patience = 1500 * ANVIL_MS };
  lab->known = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_objects);
  lab->tasks = g_array_new (FALSE, TRUE, sizeof (lab_task_t));
  lab->dispatcher = anvil_dispatcher_new (&bounds, &actions, lab);
  anvil_dispatcher_set_service (lab->dispatcher, &photos);
}

void
lab_close (dispatch_lab_t *lab)
{
  anvil_dispatcher_drop (lab->dispatcher);
  g_hash_table_unref (lab->known);
  g_array_unref (lab->tasks);
}

guint64
lab_add_upstream (dispatch_lab_t *lab, const char *region, const char *zone, guint slots)
{
  char *id = g_strdup_printf ("u%u", lab->n_upstreams);
  const anvil_registered_upstream_t upstream = { .key = anvil_str_hash (anvil_str (id)),
                                                 .id = id,
                                                 .service = (char *) "photos",
                                                 .zone = (char *) zone,
                                                 .address = 1,
                                                 .port = 1,
                                                 .slots = slots };

  lab->keys[lab->n_upstreams++] = upstream.key;
  anvil_dispatcher_update_upstream (lab->dispatcher, lab->now, &upstream, anvil_str (region),
                                    ANVIL_REGISTRY_JOINED);
  g_free (id);
  return upstream.key;
}

void
lab_set_upstream (dispatch_lab_t *lab, guint index, gboolean draining, anvil_time_t cold_until)
{
  char *id = g_strdup_printf ("u%u", index);
  const anvil_registered_upstream_t upstream = { .key = lab->keys[index],
                                                 .id = id,
                                                 .service = (char *) "photos",
                                                 .zone = (char *) "west-a",
                                                 .slots = 3,
                                                 .draining = draining,
                                                 .cold_until = cold_until };

  anvil_dispatcher_update_upstream (lab->dispatcher, lab->now, &upstream, anvil_str ("west"),
                                    ANVIL_REGISTRY_CHANGED);
  g_free (id);
}

lab_task_t *
lab_task (dispatch_lab_t *lab, guint index)
{
  return &g_array_index (lab->tasks, lab_task_t, index);
}

guint
lab_ask_task (dispatch_lab_t *lab, const anvil_task_t *wanted)
{
  guint index = lab->tasks->len;
  lab_task_t *task;

  g_array_set_size (lab->tasks, index + 1);
  task = lab_task (lab, index);
  task->asked_at = lab->now;
  task->task = *wanted;
  task->task.id = (anvil_task_id_t){ .requester = ASKER, .number = index };
  task->task.target = lab->now + lab->target;
  task->task.deadline = lab->now + lab->patience;
  anvil_dispatcher_submit (lab->dispatcher, lab->now, &task->task);
  return index;
}

guint
lab_ask (dispatch_lab_t *lab, guint64 object)
{
  const anvil_task_t task = { .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .object = object,
                              .attempt = 1 };

  return lab_ask_task (lab, &task);
}

void
lab_finish (dispatch_lab_t *lab, guint index, anvil_run_result_t result)
{
  lab_task_t *task = lab_task (lab, index);
  const anvil_run_report_t report
      = { .result = result,
          .duration = result == ANVIL_RUN_ANSWERED ? lab->now - task->asked_at : 0 };

  task->done = TRUE;
  anvil_dispatcher_run_finished (lab->dispatcher, lab->now, task->task.id, &report);
}

static void
end_runs (dispatch_lab_t *lab, guint from)
{
  for (guint i = from; i < lab->tasks->len; i++)
    {
      lab_task_t *task = lab_task (lab, i);
      anvil_run_report_t report = { .result = ANVIL_RUN_ANSWERED };
      gboolean cold;

      if (!task->granted || task->done || task->ends_at > lab->now)
        continue;
      cold = !task->warm;
      report.duration = cold ? lab->cold_run : lab->warm_run;
      task->done = TRUE;
      anvil_dispatcher_run_finished (lab->dispatcher, lab->now, task->task.id, &report);
    }
}

/* Tasks before this one have ended, for tasks are ended within seconds. */
static guint
oldest_open (const dispatch_lab_t *lab)
{
  return lab->tasks->len > 2000 ? lab->tasks->len - 2000 : 0;
}

void
lab_run (dispatch_lab_t *lab, anvil_time_t length)
{
  anvil_time_t until = lab->now + length;

  while (lab->now < until)
    {
      lab->now += STEP;
      end_runs (lab, oldest_open (lab));
      if (lab->now % ANVIL_DISPATCHER_TICK_INTERVAL == 0)
        anvil_dispatcher_tick (lab->dispatcher, lab->now);
    }
}

gdouble
lab_load (dispatch_lab_t *lab, anvil_time_t length, gdouble per_second, guint n_objects)
{
  GRand *random = g_rand_new_with_seed (11);
  anvil_time_t until = lab->now + length;
  guint first = lab->tasks->len;
  guint in_time = 0;

  while (lab->now < until)
    {
      gdouble due = per_second * (gdouble) STEP / (gdouble) ANVIL_SECOND;

      while (due > 0 && (due >= 1 || g_rand_double (random) < due))
        {
          lab_ask (lab, 1 + (guint64) g_rand_int_range (random, 0, (gint32) n_objects));
          due -= 1;
        }
      lab_run (lab, STEP);
    }
  g_rand_free (random);
  lab_run (lab, 2 * ANVIL_SECOND);
  for (guint i = first; i < lab->tasks->len; i++)
    {
      const lab_task_t *task = lab_task (lab, i);

      if (task->done && task->ends_at - task->asked_at <= lab->target)
        in_time++;
    }
  return (gdouble) in_time / (gdouble) (lab->tasks->len - first);
}
