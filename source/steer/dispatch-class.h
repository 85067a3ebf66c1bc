#pragma once

#include "anvil/dispatcher.h"
#include "steer/run-time-estimate.h"

/*
 * Run times by class of route, for a service. Routes of one class have the same kind, target
 * latency and priority; see anvil_task_t. As long as all tasks of a kind are of one class, run
 * times are those of the kind.
 */

typedef struct service service_t;

/**
 * estimate_t - a running mean of durations
 * @mean_us: 0 until the first sample
 */
typedef struct
{
  gdouble mean_us;
  guint n_samples;
} estimate_t;

/**
 * run_times_t - run times of a class on upstreams that are alike warm or cold
 *
 * Durations are as on VMs with the usual speed.
 *
 * @mean: used for services whose upstreams name no speed
 * @histogram: used for the others
 * @median: of @histogram
 * @tail: 95th percentile of @histogram
 * @quantiles_at: when these were last derived
 */
typedef struct
{
  estimate_t mean;
  anvil_run_time_estimate_t histogram;
  anvil_time_t median;
  anvil_time_t tail;
  anvil_time_t quantiles_at;
} run_times_t;

/**
 * run_class_t - a class of routes of a service, or all routes of a kind
 * @hash: the class; 0 for all routes of the kind
 * @priority: that of the class's routes, 0 is the most urgent
 * @warm: run times on upstreams that are warm for the object
 * @cold: run times on other upstreams
 * @run_time_us: see class_run_time_us(); by whether the upstream is warm
 * @n_submitted: its first tasks; from some number on it counts as a class of its own
 * @n_tasks: its tasks, queued or running
 * @n_waiting: queued tasks
 * @n_late: queued tasks that can no longer finish within their target, or aren't expected to
 * @used_at: when its last task was submitted
 * @work_us: run time of the tasks that were submitted lately, warm; see class_demand()
 * @share_left: share of the service's slots that the tasks of more urgent classes leave to it
 * @n_decided: tasks that were granted or refused lately
 * @n_granted: those of them that were granted
 * @last_retry_at: latest time at which a refused caller was told to retry
 * @retry_phase: which part of the longest time the last of them was told to wait, 0 to 1
 */
typedef struct
{
  guint64 hash;
  service_t *service;
  anvil_route_kind_t kind;
  guint priority;
  run_times_t warm;
  run_times_t cold;
  gdouble run_time_us[2];
  guint n_submitted;
  guint n_tasks;
  guint n_waiting;
  guint n_late;
  anvil_time_t used_at;
  gdouble work_us;
  gdouble share_left;
  gdouble n_decided;
  gdouble n_granted;
  anvil_time_t last_retry_at;
  gdouble retry_phase;
} run_class_t;

/* Creates the classes of whole kinds. */
void class_init_service (service_t *service);
void class_clear_service (service_t *service);
/* Finds the class of a task, or creates it; that of its kind if the task has none, or if there are
 * too many. */
run_class_t *class_get (service_t *service, const anvil_task_t *task, anvil_time_t now);
/* Reduces what was counted lately, and removes classes that no request was of for a long time. */
void class_update (service_t *service, anvil_time_t now);
/* Derives the expected run times of all classes again; call it when the service's upstreams begin
 * or cease to name their speed. */
void class_refresh (service_t *service);
/* Whether tasks of some kind are of more than one class. */
gboolean class_differs_in_service (const service_t *service);

void class_add_sample (estimate_t *estimate, gdouble run_time_us);
/* Adds the run time of a complete response, without network delay and as on a VM with the usual
 * speed, to the class and its kind. */
void class_add_run_time (run_class_t *class, anvil_time_t now, gboolean warm, gdouble run_time_us);
/* Run time that 95 in 100 of the runs don't exceed, microseconds; 0 if it isn't known. */
gdouble class_tail_us (const run_class_t *class, gboolean warm);
/* How much longer a run of the class takes that has lasted @elapsed; 0 if it isn't known. */
anvil_time_t class_remaining (const run_class_t *class, gboolean warm, anvil_time_t elapsed);
/* Counts a new task, and what becomes of it. */
void class_count_submitted (run_class_t *class);
void class_count_decided (run_class_t *class, gboolean granted);
/* Rank of the class's tasks with a priority: that, or the most urgent one if far fewer of its tasks
 * are served than of all. */
guint class_rank (const run_class_t *class, guint priority);
/* Expected run time, microseconds. */
gdouble class_run_time_us (const run_class_t *class, gboolean warm);
/* Mean run time, warm, microseconds: what several tasks together need depends on the long runs too.
 */
gdouble class_work_us (const run_class_t *class);
