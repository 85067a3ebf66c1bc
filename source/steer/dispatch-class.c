#include "steer/dispatch-class.h"

#include <math.h>

#include "steer/dispatch-internal.h"

/* Expected cold run time before the first sample. It is long, so that a second request for an
 * object waits until the first has ended instead of causing another cold run. */
#define DEFAULT_COLD_RUN_TIME (1000 * ANVIL_MS)
/* Quantiles are derived again after this time, since each run would change them a little. */
#define QUANTILES_INTERVAL (50 * ANVIL_MS)
#define TAIL_QUANTILE 0.95
/* Expected warm run time before the first sample, as a share of the cold one. */
#define DEFAULT_WARM_SHARE 0.35
/* Weight of a new sample in a mean run time. */
#define RUN_TIME_WEIGHT 0.05
/* Most classes of a service; configurations have a few for each. Tasks of further ones are
 * estimated by their kind. */
#define MAX_CLASSES 64
/* Routes with fewer requests, such as those that are only probed, don't make a service differ. */
#define MIN_CLASS_TASKS 20
/* A class without requests for this long is most likely of a route that isn't configured any more.
 */
#define CLASS_RETENTION (600 * ANVIL_SECOND)

/* Half-life of what is counted of a class: long enough for some requests of a rare route, and short
 * beside the time for which callers retry. */
#define COUNT_HALF_LIFE (2 * ANVIL_SECOND)
/* A class is served first while its served share is below this part of that of all tasks. At least
 * a quarter is asked for (docs/HARD-LOAD.md, part 3); counts lag behind. */
#define MIN_SERVED_SHARE 0.35
/* Share of the slots that is expected to be left to a class in any case. */
#define MIN_SHARE_LEFT 0.05

/* Of the class's own runs; 0 before the first. */
static gdouble
own_run_time_us (const run_class_t *class, gboolean warm)
{
  const run_times_t *times = warm ? &class->warm : &class->cold;

  return class->service->names_speed ? (gdouble) times->median : times->mean.mean_us;
}

static gdouble
kind_run_time_us (const run_class_t *kind, gboolean warm)
{
  gdouble own = own_run_time_us (kind, warm);

  if (own > 0)
    return own;
  return warm ? kind_run_time_us (kind, FALSE) * DEFAULT_WARM_SHARE : DEFAULT_COLD_RUN_TIME;
}

/* Classes are told apart only where upstreams name their speed or callers are tenants: with
 * processor time charged, services that were estimated by kind before lost up to a third of their
 * credit at high load. */
static gboolean
tells_classes_apart (const service_t *service)
{
  return service->names_speed || (service->flows != NULL && g_hash_table_size (service->flows) > 0);
}

static gdouble
expected_run_time_us (const run_class_t *class, gboolean warm)
{
  const run_class_t *kind = class->service->kinds[class->kind];
  gdouble own = own_run_time_us (class, warm);
  gdouble other = own_run_time_us (class, !warm);

  if (!tells_classes_apart (class->service) || class->service->n_classes[class->kind] <= 1
      || class == kind)
    return kind_run_time_us (kind, warm);
  if (own > 0)
    return own;
  /* Until then, warm and cold runs are taken to differ as they do for the kind. */
  if (other > 0)
    return other * kind_run_time_us (kind, warm) / kind_run_time_us (kind, !warm);
  return kind_run_time_us (kind, warm);
}

static void
refresh_kind (service_t *service, anvil_route_kind_t kind)
{
  for (guint i = 0; i < service->classes->len; i++)
    {
      run_class_t *class = service->classes->pdata[i];

      if (class->kind != kind)
        continue;
      class->run_time_us[0] = expected_run_time_us (class, FALSE);
      class->run_time_us[1] = expected_run_time_us (class, TRUE);
    }
}

void
class_refresh (service_t *service)
{
  service->classes_differ = FALSE;
  for (guint kind = 0; kind < G_N_ELEMENTS (service->n_classes); kind++)
    {
      service->classes_differ |= tells_classes_apart (service) && service->n_classes[kind] > 1;
      refresh_kind (service, kind);
    }
}

static run_class_t *
class_new (service_t *service, anvil_route_kind_t kind, guint64 hash)
{
  run_class_t *class = g_new0 (run_class_t, 1);

  class->hash = hash;
  class->service = service;
  class->kind = kind;
  class->share_left = 1;
  return class;
}

void
class_init_service (service_t *service)
{
  service->classes = g_ptr_array_new_with_free_func (g_free);
  for (guint kind = 0; kind < G_N_ELEMENTS (service->kinds); kind++)
    {
      service->kinds[kind] = class_new (service, kind, 0);
      g_ptr_array_add (service->classes, service->kinds[kind]);
    }
  class_refresh (service);
}

void
class_clear_service (service_t *service)
{
  g_ptr_array_unref (service->classes);
}

static gboolean
is_admitted (const run_class_t *class)
{
  return class->n_submitted >= MIN_CLASS_TASKS;
}

/* Counts a task; FALSE while the class has had so few that they count with their kind. */
static gboolean
admit (run_class_t *class)
{
  if (is_admitted (class))
    return TRUE;
  class->n_submitted++;
  if (!is_admitted (class))
    return FALSE;
  class->service->n_classes[class->kind]++;
  class_refresh (class->service);
  return TRUE;
}

run_class_t *
class_get (service_t *service, const anvil_task_t *task, anvil_time_t now)
{
  run_class_t *class = service->kinds[task->kind];

  if (task->route_class == 0)
    return class;
  for (guint i = 0; i < service->classes->len; i++)
    {
      run_class_t *other = service->classes->pdata[i];

      if (other->hash != task->route_class || other->kind != task->kind)
        continue;
      other->used_at = now;
      return admit (other) ? other : class;
    }
  if (service->classes->len >= MAX_CLASSES)
    return class;
  class = class_new (service, task->kind, task->route_class);
  class->priority = task->priority;
  class->used_at = now;
  g_ptr_array_add (service->classes, class);
  return admit (class) ? class : service->kinds[task->kind];
}

static void
reduce_counts (run_class_t *class, gdouble factor)
{
  class->work_us *= factor;
  class->n_decided *= factor;
  class->n_granted *= factor;
}

/* Mean number of slots that the class's requests would occupy. */
static gdouble
demand_of (const run_class_t *class)
{
  return class->work_us * G_LN2 / (gdouble) COUNT_HALF_LIFE;
}

static gdouble
served_share (const service_t *service)
{
  return service->n_decided > 0 ? service->n_granted / service->n_decided : 1;
}

/* Share of the service's slots that the tasks of classes that go first leave to a class. */
static gdouble
share_left (const run_class_t *class)
{
  const service_t *service = class->service;
  gdouble slots = service->usable_slots;
  gdouble left = slots;

  if (!class_differs_in_service (service) || slots <= 0)
    return 1;
  for (guint i = 0; i < service->classes->len; i++)
    {
      const run_class_t *other = service->classes->pdata[i];

      if (other->priority < class->priority)
        left -= demand_of (other);
    }
  left = MAX (left, MIN_SERVED_SHARE * served_share (service) * demand_of (class));
  return CLAMP (left / slots, MIN_SHARE_LEFT, 1);
}

void
class_update (service_t *service, anvil_time_t now)
{
  gdouble factor = exp2 (-(gdouble) (now - service->counted_at) / (gdouble) COUNT_HALF_LIFE);

  service->counted_at = now;
  service->n_decided *= factor;
  service->n_granted *= factor;
  for (guint i = service->classes->len; i > 0; i--)
    {
      run_class_t *class = service->classes->pdata[i - 1];

      reduce_counts (class, factor);
      if (class->hash == 0 || class->n_tasks > 0 || now - class->used_at < CLASS_RETENTION)
        continue;
      warmth_forget_class (service, class);
      service->n_decided -= class->n_decided;
      service->n_granted -= class->n_granted;
      service->n_classes[class->kind] -= is_admitted (class) ? 1 : 0;
      g_ptr_array_remove_index_fast (service->classes, i - 1);
      class_refresh (service);
    }
  for (guint i = 0; i < service->classes->len; i++)
    {
      run_class_t *class = service->classes->pdata[i];

      class->share_left = share_left (class);
    }
}

gboolean
class_differs_in_service (const service_t *service)
{
  return service->classes_differ;
}

void
class_count_submitted (run_class_t *class)
{
  class->work_us += class_work_us (class);
}

void
class_count_decided (run_class_t *class, gboolean granted)
{
  class->n_decided++;
  class->n_granted += granted ? 1 : 0;
  class->service->n_decided++;
  class->service->n_granted += granted ? 1 : 0;
}

guint
class_rank (const run_class_t *class, guint priority)
{
  if (priority == 0 || !class_differs_in_service (class->service)
      || class->n_granted >= MIN_SERVED_SHARE * served_share (class->service) * class->n_decided)
    return priority;
  return 0;
}

void
class_add_sample (estimate_t *estimate, gdouble run_time_us)
{
  estimate->n_samples++;
  estimate->mean_us
      += (run_time_us - estimate->mean_us) * MAX (RUN_TIME_WEIGHT, 1.0 / estimate->n_samples);
}

static void
add_run_time (run_times_t *times, anvil_time_t now, gdouble run_time_us)
{
  class_add_sample (&times->mean, run_time_us);
  anvil_run_time_estimate_add (&times->histogram, now, (anvil_time_t) run_time_us);
  if (times->median > 0 && now - times->quantiles_at < QUANTILES_INTERVAL)
    return;
  times->median = anvil_run_time_estimate_quantile (&times->histogram, 0.5);
  times->tail = anvil_run_time_estimate_quantile (&times->histogram, TAIL_QUANTILE);
  times->quantiles_at = now;
}

void
class_add_run_time (run_class_t *class, anvil_time_t now, gboolean warm, gdouble run_time_us)
{
  run_class_t *kind = class->service->kinds[class->kind];

  add_run_time (warm ? &class->warm : &class->cold, now, run_time_us);
  if (kind != class)
    add_run_time (warm ? &kind->warm : &kind->cold, now, run_time_us);
  refresh_kind (class->service, class->kind);
}

/* Run times of the class, or of its kind where all tasks of that are of one class or the class has
 * none. */
static const run_times_t *
run_times_of (const run_class_t *class, gboolean warm)
{
  const run_class_t *kind = class->service->kinds[class->kind];
  const run_times_t *own = warm ? &class->warm : &class->cold;

  if (class->service->n_classes[class->kind] > 1 && own->median > 0)
    return own;
  return warm ? &kind->warm : &kind->cold;
}

gdouble
class_tail_us (const run_class_t *class, gboolean warm)
{
  return class->service->names_speed ? (gdouble) run_times_of (class, warm)->tail : 0;
}

anvil_time_t
class_remaining (const run_class_t *class, gboolean warm, anvil_time_t elapsed)
{
  if (!class->service->names_speed)
    return 0;
  return anvil_run_time_estimate_remaining (&run_times_of (class, warm)->histogram, elapsed, 0.5);
}

gdouble
class_run_time_us (const run_class_t *class, gboolean warm)
{
  return class->run_time_us[warm ? 1 : 0];
}

gdouble
class_work_us (const run_class_t *class)
{
  gdouble mean_us;

  if (!class->service->names_speed)
    return class->run_time_us[1];
  mean_us = run_times_of (class, TRUE)->mean.mean_us;
  return mean_us > 0 ? mean_us : class->run_time_us[1];
}
