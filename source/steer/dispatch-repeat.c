/* Decides on second runs of requests whose first run is late. */

#include "steer/dispatch-repeat.h"

#include "anvil/log.h"
#include "steer/run-time-estimate.h"

/* The share of second runs holds in any time of this length; see docs/HARD-LOAD.md. */
#define SHARE_WINDOW (10 * ANVIL_SECOND)
/* Part of the share that one entry uses while another one may hold the same service: there are at
 * most two. */
#define DIVIDED_PART 0.5
/* Part of the retry budget that second runs may use, so that retries after failures keep theirs. */
#define RETRY_BUDGET_PART 0.5
/* Second runs stop when fewer than this share of the last ones won, and go on with one in so many
 * of the late requests, to notice when they win again. */
#define JUDGED_RUNS 50
#define MIN_WON_SHARE 0.1
#define PROBE_INTERVAL 20
/* A first run is late when it has taken longer than this share of runs. */
#define LATE_QUANTILE 0.95
/* Runs that must be known before a quantile counts: one in twenty lies above the first one. */
#define MIN_SAMPLES 20
/* Classes of routes that are told apart; further ones share one. Configurations have a few. */
#define MAX_CLASSES 64
/**
 * route_class_t - routes of a service that are treated alike
 * @has_share: their routes have a share of their own, @share
 * @window: first and second runs
 * @run_times: relative to those of the upstream, where it isn't warm for the object and where it is
 */
typedef struct
{
  guint64 key;
  gboolean has_share;
  gdouble share;
  anvil_retry_window_t window;
  anvil_run_time_estimate_t run_times[2];
} route_class_t;

/**
 * service_repeats_t - second runs of a service
 * @classes: route_class_t by key
 * @window: first and second runs
 * @retry_window: second runs, as the retry budget counts them
 * @won: the last JUDGED_RUNS outcomes, one bit each
 * @n_judged: number of these
 * @n_late: requests for second runs since they stopped
 */
struct service_repeats
{
  GHashTable *classes;
  anvil_retry_window_t window;
  anvil_retry_window_t retry_window;
  guint64 won;
  guint n_judged;
  guint n_late;
};

service_repeats_t *
dispatch_repeats_new (void)
{
  service_repeats_t *repeats = g_new0 (service_repeats_t, 1);

  repeats->classes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return repeats;
}

void
dispatch_repeats_drop (service_repeats_t *repeats)
{
  g_hash_table_unref (repeats->classes);
  g_free (repeats);
}

static route_class_t *
get_class (service_repeats_t *repeats, guint64 key)
{
  route_class_t *class = g_hash_table_lookup (repeats->classes, &key);

  if (class != NULL)
    return class;
  if (key != 0 && g_hash_table_size (repeats->classes) >= MAX_CLASSES)
    return get_class (repeats, 0);
  class = g_new0 (route_class_t, 1);
  class->key = key;
  g_hash_table_insert (repeats->classes, &class->key, class);
  return class;
}

void
anvil_dispatcher_set_repeat_share (anvil_dispatcher_t *dispatcher,
                                   anvil_str_t name,
                                   guint64 route_class,
                                   gdouble share)
{
  route_class_t *class = get_class (dispatch_get_service (dispatcher, name)->repeats, route_class);

  class->share = class->has_share ? MIN (class->share, share) : share;
  class->has_share = TRUE;
}

void
anvil_dispatcher_clear_repeat_shares (anvil_dispatcher_t *dispatcher)
{
  GHashTableIter services;
  gpointer service;

  g_hash_table_iter_init (&services, dispatcher->services);
  while (g_hash_table_iter_next (&services, NULL, &service))
    {
      GHashTableIter classes;
      gpointer class;

      g_hash_table_iter_init (&classes, ((service_t *) service)->repeats->classes);
      while (g_hash_table_iter_next (&classes, NULL, &class))
        ((route_class_t *) class)->has_share = FALSE;
    }
}

/* Share of a class now, 0 for none. */
static gdouble
share_of (const anvil_dispatcher_t *dispatcher, const route_class_t *class)
{
  const gdouble share = dispatcher->limits.repeat_share;

  return class->has_share ? MIN (class->share, share) : share;
}

/* Whether the window has room for one more second run. The oldest bucket counts for second runs
 * only, as it may lie partly before the window. */
static gboolean
window_has_room (anvil_retry_window_t *window, anvil_time_t now, gdouble share)
{
  anvil_retry_counts_t counts;
  guint first_runs = 0;
  guint second_runs = 0;

  anvil_retry_window_save (window, now, SHARE_WINDOW, &counts);
  for (guint age = 0; age < ANVIL_RETRY_COUNTED_BUCKETS; age++)
    {
      first_runs += age < ANVIL_RETRY_WINDOW_BUCKETS ? counts.requests[age] : 0;
      second_runs += counts.retries[age];
    }
  return second_runs + 1 <= share * first_runs;
}

static gboolean
share_has_room (const task_t *task, route_class_t *class, anvil_time_t now)
{
  anvil_dispatcher_t *dispatcher = task->service->dispatcher;
  const gdouble part = dispatcher->divided ? DIVIDED_PART : 1;

  if (task->request.kind != ANVIL_ROUTE_SAFE
      || !window_has_room (&task->service->repeats->window, now,
                           part * dispatcher->limits.repeat_share))
    return FALSE;
  return !class->has_share
         || window_has_room (&class->window, now, part * share_of (dispatcher, class));
}

static gboolean
retry_budget_has_room (const task_t *task, anvil_time_t now)
{
  anvil_dispatcher_t *dispatcher = task->service->dispatcher;
  guint unused = 0;
  guint second_runs = 0;

  anvil_retry_window_sum (&task->service->repeats->retry_window, now,
                          dispatcher->limits.retry_window, &unused, &second_runs);
  return second_runs + 1
         <= RETRY_BUDGET_PART * dispatch_retry_budget (dispatcher, now, task->service);
}

static gboolean
wins_too_rarely (const service_repeats_t *repeats)
{
  return repeats->n_judged >= JUDGED_RUNS
         && __builtin_popcountll (repeats->won) < MIN_WON_SHARE * JUDGED_RUNS;
}

/* Whether second runs have stopped, except for one in PROBE_INTERVAL. */
static gboolean
is_stopped (service_repeats_t *repeats)
{
  return wins_too_rarely (repeats) && ++repeats->n_late % PROBE_INTERVAL != 0;
}

/* Run times of the task's class, or NULL if too few are known. */
static const anvil_run_time_estimate_t *
run_times_of (const task_t *task, anvil_time_t now, gboolean warm)
{
  const route_class_t *class = get_class (task->service->repeats, task->request.route_class);
  const anvil_run_time_estimate_t *run_times = &class->run_times[warm ? 1 : 0];

  return anvil_run_time_estimate_weight (run_times, now) >= MIN_SAMPLES ? run_times : NULL;
}

anvil_time_t
dispatch_repeat_after (const task_t *task)
{
  const anvil_task_t *request = &task->request;
  const route_class_t *class = get_class (task->service->repeats, request->route_class);
  const anvil_run_time_estimate_t *run_times = run_times_of (task, task->granted_at, task->warm);
  anvil_time_t after;

  if (request->is_repeat || request->kind != ANVIL_ROUTE_SAFE || run_times == NULL
      || share_of (task->service->dispatcher, class) <= 0)
    return 0;
  after = (anvil_time_t) ((gdouble) anvil_run_time_estimate_quantile (run_times, LATE_QUANTILE)
                          * task->upstream->run_time_ratio * task->upstream->slowness)
          + placing_network_delay (task->upstream, task);
  return task->granted_at + after < request->deadline ? MAX (after, ANVIL_MS) : 0;
}

/* When the late first run is expected to end. The requester asks when it becomes late. */
static anvil_time_t
expected_first_end (const task_t *task, anvil_time_t now)
{
  const anvil_task_t *request = &task->request;
  const anvil_run_time_estimate_t *run_times;
  const upstream_t *first = NULL;
  anvil_time_t late_after;

  if (request->n_excluded > 0)
    first = g_hash_table_lookup (task->service->dispatcher->upstreams,
                                 &request->excluded[request->n_excluded - 1]);
  run_times
      = first != NULL ? run_times_of (task, now, warmth_is_ready (first, task->object)) : NULL;
  if (run_times == NULL)
    return now;
  late_after = anvil_run_time_estimate_quantile (run_times, LATE_QUANTILE);
  return now
         + (anvil_time_t) ((gdouble) anvil_run_time_estimate_remaining (run_times, late_after, 0.5)
                           * first->run_time_ratio * first->slowness);
}

static gboolean
is_worthwhile (const task_t *task, const placement_t *placement, anvil_time_t now)
{
  if (placement->finish > task->request.deadline)
    return FALSE;
  return placement->finish <= task->request.target
         || placement->finish < expected_first_end (task, now);
}

placement_t
dispatch_repeat_place (task_t *task, anvil_time_t now, anvil_task_refusal_reason_t *reason)
{
  service_repeats_t *repeats = task->service->repeats;
  route_class_t *class = get_class (repeats, task->request.route_class);
  anvil_dispatcher_t *dispatcher = task->service->dispatcher;
  placement_t placement;

  *reason = ANVIL_TASK_NO_RETRY;
  if (dispatcher->limits.retry_window <= 0 || !share_has_room (task, class, now)
      || !retry_budget_has_room (task, now) || is_stopped (repeats))
    return (placement_t){ 0 };
  *reason = ANVIL_TASK_NO_ROOM;
  if (task->service->n_waiting > 0)
    return (placement_t){ 0 };
  placement = placing_best_immediate (task, now);
  /* An upstream that has failed lately is tried with first runs. */
  if (placement.upstream == NULL || placement.upstream->probing
      || !is_worthwhile (task, &placement, now))
    return (placement_t){ 0 };
  *reason = ANVIL_TASK_NO_RETRY;
  if (!dispatch_count_attempt (dispatcher, now, task))
    return (placement_t){ 0 };
  anvil_retry_window_add (&repeats->window, now, SHARE_WINDOW, TRUE);
  anvil_retry_window_add (&class->window, now, SHARE_WINDOW, TRUE);
  anvil_retry_window_add (&repeats->retry_window, now, dispatcher->limits.retry_window, TRUE);
  return placement;
}

void
dispatch_repeat_count_first (const task_t *task, anvil_time_t now)
{
  service_repeats_t *repeats = task->service->repeats;

  if (task->request.attempt > 1 || task->request.kind != ANVIL_ROUTE_SAFE)
    return;
  anvil_retry_window_add (&repeats->window, now, SHARE_WINDOW, FALSE);
  anvil_retry_window_add (&get_class (repeats, task->request.route_class)->window, now,
                          SHARE_WINDOW, FALSE);
}

/* A run that ends unused without a duration says nothing: its caller left, or nothing was sent. */
static void
judge (service_t *service, const anvil_run_report_t *report)
{
  service_repeats_t *repeats = service->repeats;
  const gboolean was_stopped = wins_too_rarely (repeats);

  if (report->result == ANVIL_RUN_UNUSED && report->duration == 0)
    return;
  repeats->won = ((repeats->won << 1) | (report->result == ANVIL_RUN_ANSWERED ? 1 : 0))
                 & ((G_GUINT64_CONSTANT (1) << JUDGED_RUNS) - 1);
  repeats->n_judged = MIN (repeats->n_judged + 1, JUDGED_RUNS);
  if (wins_too_rarely (repeats) != was_stopped)
    anvil_log (ANVIL_LOG_NOTICE, "dispatch", "second runs %s service=%s won=%d of=%d",
               was_stopped ? "win again, resumed" : "win too rarely, stopped", service->name,
               __builtin_popcountll (repeats->won), JUDGED_RUNS);
}

void
dispatch_repeat_record_end (const task_t *task, anvil_time_t now, const anvil_run_report_t *report)
{
  service_t *service = task->service;
  upstream_t *upstream = task->upstream;
  gdouble run_time_us;

  if (task->request.is_repeat)
    judge (service, report);
  if (service->dispatcher->limits.repeat_share <= 0 || report->duration <= 0
      || (report->result != ANVIL_RUN_ANSWERED && report->result != ANVIL_RUN_UNUSED))
    return;
  /* A second run that lost was cut short early. A first run that lost was late already, and counts
   * with the time that it had taken: without these the quantile would fall with each. */
  if (report->result == ANVIL_RUN_UNUSED && task->request.is_repeat)
    return;
  run_time_us = (gdouble) MAX (report->duration - placing_network_delay (upstream, task), ANVIL_MS);
  anvil_run_time_estimate_add (
      &get_class (service->repeats, task->request.route_class)->run_times[task->warm ? 1 : 0], now,
      (anvil_time_t) (run_time_us / warmth_run_factor (task, report) / upstream->run_time_ratio));
  if (report->result == ANVIL_RUN_UNUSED && upstream->registered)
    warmth_record_cut_run (task, report);
}
