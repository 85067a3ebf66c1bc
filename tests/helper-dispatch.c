#include "helper-dispatch.h"

#define STEP (5 * ANVIL_MS)
/* Observed on the second deployment: VMs are 2.5 times as slow for 15 % of the time, in periods of
 * about 600 ms. */
#define SLOW_INTERVAL (4 * ANVIL_SECOND)
#define SLOW_PERIOD (600 * ANVIL_MS)
#define SLOW_PHASE (1370 * ANVIL_MS)
#define SLOW_SPEED 250
#define REQUESTER ((anvil_node_t) 77)

/* Makes an upstream warm for an object; TRUE if it was so before. */
static gboolean
use_object (dispatch_sim_t *sim, guint64 upstream, guint64 object)
{
  GQueue *objects = g_hash_table_lookup (sim->warm_objects, &upstream);
  gboolean was_warm = FALSE;

  if (objects == NULL)
    {
      objects = g_queue_new ();
      g_hash_table_insert (sim->warm_objects, g_memdup2 (&upstream, sizeof upstream), objects);
    }
  for (GList *link = objects->head; link != NULL && !was_warm; link = link->next)
    {
      if (*(guint64 *) link->data != object)
        continue;
      g_free (link->data);
      g_queue_delete_link (objects, link);
      was_warm = TRUE;
      break;
    }
  g_queue_push_head (objects, g_memdup2 (&object, sizeof object));
  if (objects->length > sim->max_warm_objects)
    g_free (g_queue_pop_tail (objects));
  return was_warm;
}

static void
free_objects (gpointer data)
{
  g_queue_free_full (data, g_free);
}

static guint
index_of (const dispatch_sim_t *sim, guint64 key)
{
  guint index = 0;

  while (sim->keys[index] != key)
    index++;
  return index;
}

static guint
speed_of (const dispatch_sim_t *sim, guint64 key, anvil_time_t at)
{
  guint index = index_of (sim, key);
  anvil_time_t phase = (at + index * SLOW_PHASE) % SLOW_INTERVAL;

  if (sim->has_slow_periods)
    return phase < SLOW_PERIOD ? SLOW_SPEED : 100;
  return sim->speeds[index] > 0 ? sim->speeds[index] : 100;
}

/* How long work takes from now on that usually takes @work. */
static anvil_time_t
duration_of (const dispatch_sim_t *sim, guint64 key, anvil_time_t work)
{
  gdouble left = (gdouble) work;
  anvil_time_t end = sim->now;

  while (left > 0)
    {
      left -= (gdouble) STEP * 100 / speed_of (sim, key, end);
      end += STEP;
    }
  return end - sim->now + (anvil_time_t) left;
}

static anvil_time_t
run_time_of (const dispatch_sim_t *sim, const sim_task_t *task, gboolean was_warm)
{
  const sim_class_t *class = task->class;
  anvil_time_t time = was_warm || task->task.object == 0 ? sim->warm_run : sim->cold_run;

  if (class != NULL)
    time = was_warm ? class->warm_run : class->cold_run;
  if (sim->long_interval > 0 && sim->n_grants % sim->long_interval == 0)
    time *= sim->long_factor;
  return duration_of (sim, task->upstream, time);
}

static void
on_grant (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant)
{
  dispatch_sim_t *sim = context;
  sim_task_t *task = sim_task (sim, (guint) id.number);
  gboolean was_warm = use_object (sim, grant->upstream, task->task.object);

  task->granted = TRUE;
  task->granted_at = sim->now;
  task->upstream = grant->upstream;
  task->warm = grant->warm;
  sim->n_grants++;
  task->ends_at = sim->now + run_time_of (sim, task, was_warm);
}

static void
on_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  dispatch_sim_t *sim = context;
  sim_task_t *task = sim_task (sim, (guint) id.number);

  task->refused = TRUE;
  task->refused_at = sim->now;
  task->reason = refused->reason;
  task->retry_after = refused->retry_after;
  sim->n_refusals++;
}

static const anvil_dispatcher_callbacks_t callbacks = { .grant = on_grant, .refuse = on_refuse };

void
sim_open (dispatch_sim_t *sim)
{
  const anvil_dispatcher_limits_t limits = { .retry_ratio = 0.2,
                                             .retry_extra = 50,
                                             .retry_window = 10 * ANVIL_SECOND,
                                             .cold_factor = 1.5,
                                             .cold_extra = 5 };
  const anvil_service_t photos
      = { .name = "photos", .cold_time = 3 * ANVIL_SECOND, .cold_per_second = 2.5 };

  *sim = (dispatch_sim_t){ .now = ANVIL_SECOND,
                           .cold_run = 880 * ANVIL_MS,
                           .warm_run = 264 * ANVIL_MS,
                           .max_warm_objects = 24,
                           .target = 600 * ANVIL_MS,
                           .timeout = 1500 * ANVIL_MS };
  sim->warm_objects = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_objects);
  sim->tasks = g_array_new (FALSE, TRUE, sizeof (sim_task_t));
  sim->dispatcher = anvil_dispatcher_new (&limits, &callbacks, sim);
  anvil_dispatcher_set_service (sim->dispatcher, &photos);
}

void
sim_close (dispatch_sim_t *sim)
{
  anvil_dispatcher_drop (sim->dispatcher);
  g_hash_table_unref (sim->warm_objects);
  g_array_unref (sim->tasks);
}

guint64
sim_add_upstream (dispatch_sim_t *sim, const char *region, const char *zone, guint slots)
{
  char *id = g_strdup_printf ("u%u", sim->n_upstreams);
  const anvil_registered_upstream_t upstream = { .key = anvil_str_hash (anvil_str (id)),
                                                 .id = id,
                                                 .service = (char *) "photos",
                                                 .zone = (char *) zone,
                                                 .address = 1,
                                                 .port = 1,
                                                 .slots = slots };

  sim->keys[sim->n_upstreams++] = upstream.key;
  anvil_dispatcher_update_upstream (sim->dispatcher, sim->now, &upstream, anvil_str (region),
                                    ANVIL_REGISTRY_JOINED);
  g_free (id);
  return upstream.key;
}

void
sim_set_upstream (dispatch_sim_t *sim, guint index, gboolean draining, anvil_time_t cold_until)
{
  char *id = g_strdup_printf ("u%u", index);
  const anvil_registered_upstream_t upstream = { .key = sim->keys[index],
                                                 .id = id,
                                                 .service = (char *) "photos",
                                                 .zone = (char *) "west-a",
                                                 .slots = 3,
                                                 .draining = draining,
                                                 .cold_until = cold_until };

  anvil_dispatcher_update_upstream (sim->dispatcher, sim->now, &upstream, anvil_str ("west"),
                                    ANVIL_REGISTRY_CHANGED);
  g_free (id);
}

void
sim_name_limit (dispatch_sim_t *sim, guint index, gdouble per_second)
{
  sim->request_limits[index]
      = (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NAMED, .per_second = per_second };
}

void
sim_end_limit (dispatch_sim_t *sim, guint index)
{
  sim->request_limits[index] = (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NONE };
}

guint
sim_count_grants (dispatch_sim_t *sim, guint index, anvil_time_t since)
{
  guint n = 0;

  for (guint i = 0; i < sim->tasks->len; i++)
    {
      const sim_task_t *task = sim_task (sim, i);

      n += task->granted && task->upstream == sim->keys[index] && task->granted_at >= since;
    }
  return n;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const anvil_time_t *x = a;
  const anvil_time_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

guint
sim_most_grants (dispatch_sim_t *sim, guint index, anvil_time_t since, anvil_time_t length)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (anvil_time_t));
  guint most = 0;

  for (guint i = 0; i < sim->tasks->len; i++)
    {
      const sim_task_t *task = sim_task (sim, i);

      if (task->granted && task->upstream == sim->keys[index] && task->granted_at >= since)
        g_array_append_val (times, task->granted_at);
    }
  g_array_sort (times, compare_times);
  for (guint first = 0, i = 0; i < times->len; i++)
    {
      while (g_array_index (times, anvil_time_t, i) - g_array_index (times, anvil_time_t, first)
             > length)
        first++;
      most = MAX (most, i - first + 1);
    }
  g_array_unref (times);
  return most;
}

/* What the response of the upstream that ran a task says. */
static anvil_request_limit_t
request_limit_of (const dispatch_sim_t *sim, const sim_task_t *task)
{
  for (guint i = 0; i < sim->n_upstreams; i++)
    {
      if (sim->keys[i] == task->upstream)
        return sim->request_limits[i];
    }
  return (anvil_request_limit_t){ 0 };
}

sim_task_t *
sim_task (dispatch_sim_t *sim, guint index)
{
  return &g_array_index (sim->tasks, sim_task_t, index);
}

guint
sim_submit_task (dispatch_sim_t *sim, const anvil_task_t *request)
{
  guint index = sim->tasks->len;
  sim_task_t *task;

  g_array_set_size (sim->tasks, index + 1);
  task = sim_task (sim, index);
  task->submitted_at = sim->now;
  task->task = *request;
  task->task.id = (anvil_task_id_t){ .requester = request->id.requester != 0 ? request->id.requester
                                                                             : REQUESTER,
                                     .number = index };
  if (request->target == 0)
    {
      task->task.target = sim->now + sim->target;
      task->task.deadline = sim->now + sim->timeout;
    }
  task->class = sim->next_class;
  anvil_dispatcher_submit (sim->dispatcher, sim->now, &task->task);
  return index;
}

guint
sim_submit (dispatch_sim_t *sim, guint64 object)
{
  const anvil_task_t task = { .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .object = object,
                              .attempt = 1 };

  return sim_submit_task (sim, &task);
}

guint
sim_submit_class (dispatch_sim_t *sim, const sim_class_t *class, guint64 object)
{
  const anvil_task_t task = { .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .object = object,
                              .attempt = 1,
                              .priority = class->priority,
                              .route_class = class->route_class,
                              .target = sim->now + class->target,
                              .deadline = sim->now + class->timeout };
  guint index;

  sim->next_class = class;
  index = sim_submit_task (sim, &task);
  sim->next_class = NULL;
  return index;
}

void
sim_finish (dispatch_sim_t *sim, guint index, anvil_run_result_t result)
{
  sim_task_t *task = sim_task (sim, index);
  const anvil_run_report_t report
      = { .result = result,
          .duration = result == ANVIL_RUN_ANSWERED ? sim->now - task->submitted_at : 0,
          .request_limit = request_limit_of (sim, task),
          .speed = sim->names_speed ? speed_of (sim, task->upstream, sim->now) : 0 };

  task->done = TRUE;
  anvil_dispatcher_run_finished (sim->dispatcher, sim->now, task->task.id, &report);
}

static void
end_runs (dispatch_sim_t *sim, guint from)
{
  for (guint i = from; i < sim->tasks->len; i++)
    {
      sim_task_t *task = sim_task (sim, i);
      anvil_run_report_t report = { .result = ANVIL_RUN_ANSWERED };
      gboolean cold;

      if (!task->granted || task->done || task->ends_at > sim->now)
        continue;
      cold = !task->warm;
      report.request_limit = request_limit_of (sim, task);
      report.duration = cold ? sim->cold_run : sim->warm_run;
      if (task->class != NULL || sim->names_speed || sim->long_interval > 0)
        report.duration = task->ends_at - task->granted_at;
      if (sim->names_speed)
        report.speed = sim->names_usual_speed ? 100 : speed_of (sim, task->upstream, sim->now);
      task->done = TRUE;
      anvil_dispatcher_run_finished (sim->dispatcher, sim->now, task->task.id, &report);
    }
}

/* Index of the first task that may not have ended: tasks end within seconds. */
static guint
first_open_task (const dispatch_sim_t *sim)
{
  return sim->tasks->len > 2000 ? sim->tasks->len - 2000 : 0;
}

void
sim_run (dispatch_sim_t *sim, anvil_time_t length)
{
  anvil_time_t until = sim->now + length;

  while (sim->now < until)
    {
      sim->now += STEP;
      end_runs (sim, first_open_task (sim));
      if (sim->now % ANVIL_DISPATCHER_TICK_INTERVAL == 0)
        anvil_dispatcher_tick (sim->dispatcher, sim->now);
    }
}

void
sim_run_classes (dispatch_sim_t *sim,
                 anvil_time_t length,
                 const sim_class_t *const *classes,
                 const gdouble *per_second,
                 guint n_classes,
                 guint n_objects)
{
  GRand *random = g_rand_new_with_seed (11);
  anvil_time_t until = sim->now + length;

  while (sim->now < until)
    {
      for (guint i = 0; i < n_classes; i++)
        {
          gdouble due = per_second[i] * (gdouble) STEP / (gdouble) ANVIL_SECOND;

          for (; due > 0 && (due >= 1 || g_rand_double (random) < due); due -= 1)
            sim_submit_class (sim, classes[i],
                              1 + (guint64) g_rand_int_range (random, 0, (gint32) n_objects));
        }
      sim_run (sim, STEP);
    }
  g_rand_free (random);
}

sim_outcome_t
sim_outcome (dispatch_sim_t *sim, const sim_class_t *class, guint first)
{
  sim_outcome_t outcome = { 0 };
  guint n_refused = 0;

  for (guint i = first; i < sim->tasks->len; i++)
    {
      const sim_task_t *task = sim_task (sim, i);

      if (task->class != class || !(task->done || task->refused))
        continue;
      outcome.n++;
      outcome.served += task->done;
      outcome.on_time += task->done && task->ends_at <= task->task.target;
      if (task->refused)
        {
          n_refused++;
          outcome.refused_after += (gdouble) (task->refused_at - task->submitted_at);
        }
    }
  outcome.served /= MAX (outcome.n, 1);
  outcome.on_time /= MAX (outcome.n, 1);
  outcome.refused_after /= MAX (n_refused, 1);
  return outcome;
}

gdouble
sim_run_load (dispatch_sim_t *sim, anvil_time_t length, gdouble per_second, guint n_objects)
{
  GRand *random = g_rand_new_with_seed (11);
  anvil_time_t until = sim->now + length;
  guint first = sim->tasks->len;
  guint on_time = 0;

  while (sim->now < until)
    {
      gdouble due = per_second * (gdouble) STEP / (gdouble) ANVIL_SECOND;

      while (due > 0 && (due >= 1 || g_rand_double (random) < due))
        {
          sim_submit (sim, 1 + (guint64) g_rand_int_range (random, 0, (gint32) n_objects));
          due -= 1;
        }
      sim_run (sim, STEP);
    }
  g_rand_free (random);
  sim_run (sim, 2 * ANVIL_SECOND);
  for (guint i = first; i < sim->tasks->len; i++)
    {
      const sim_task_t *task = sim_task (sim, i);

      if (task->done && task->ends_at - task->submitted_at <= sim->target)
        on_time++;
    }
  return (gdouble) on_time / (gdouble) (sim->tasks->len - first);
}
