#pragma once

#include "anvil/dispatcher.h"

/*
 * Simulation of a dispatcher in virtual time, with upstreams that are faster on
 * objects that they have handled recently, and callers that request objects at a
 * given rate.
 */

#define MAX_SIM_UPSTREAMS 64
#define MAX_SIM_TASKS 200000

/**
 * sim_class_t - routes that differ from others of the service in what their requests need
 * @route_class: see anvil_task_t
 * @cold_run: run time on an upstream that isn't warm for the object
 * @warm_run: run time on one that is
 * @target: target latency
 * @timeout: time from submission to the deadline
 */
typedef struct
{
  guint64 route_class;
  guint priority;
  anvil_time_t cold_run;
  anvil_time_t warm_run;
  anvil_time_t target;
  anvil_time_t timeout;
} sim_class_t;

/** sim_task_t - a submitted task and its outcome
 * @class: NULL for the figures of the simulation
 */
typedef struct
{
  const sim_class_t *class;
  anvil_task_t task;
  anvil_time_t submitted_at;
  anvil_time_t granted_at;
  anvil_time_t ends_at;
  guint64 upstream;
  gboolean granted;
  gboolean warm;
  gboolean refused;
  anvil_time_t refused_at;
  gboolean done;
  anvil_task_refusal_reason_t reason;
  anvil_time_t retry_after;
} sim_task_t;

/**
 * dispatch_sim_t - a dispatcher with simulated upstreams
 * @cold_run: run time on an upstream that isn't warm for the object
 * @warm_run: run time on one that is
 * @max_warm_objects: objects that an upstream is warm for; the least recently used is evicted
 * @target: target latency of the tasks
 * @timeout: time from submission to the deadline of the tasks
 */
typedef struct
{
  anvil_dispatcher_t *dispatcher;
  anvil_time_t now;
  anvil_time_t cold_run;
  anvil_time_t warm_run;
  guint max_warm_objects;
  anvil_time_t target;
  anvil_time_t timeout;
  guint n_upstreams;
  guint64 keys[MAX_SIM_UPSTREAMS];
  /* What the responses of each upstream say of its request limit. */
  anvil_request_limit_t request_limits[MAX_SIM_UPSTREAMS];
  /* How long work takes on each upstream, percent of the usual time; 0 for 100. */
  guint speeds[MAX_SIM_UPSTREAMS];
  /* Each VM is 2.5 times as slow for 600 ms in every 4 s, each at another time. */
  gboolean has_slow_periods;
  /* Responses name the speed, or always the usual one. */
  gboolean names_speed;
  gboolean names_usual_speed;
  /* Every so many'th run takes @long_factor times as long; 0 for none. */
  guint long_interval;
  guint long_factor;
  /* Objects that each upstream is warm for, most recently used first: GQueue by key. */
  GHashTable *warm_objects;
  GArray *tasks;
  guint n_grants;
  guint n_refusals;
  /* Class of the task that is being submitted. */
  const sim_class_t *next_class;
} dispatch_sim_t;

void sim_open (dispatch_sim_t *sim);
void sim_close (dispatch_sim_t *sim);

/** sim_add_upstream - registers an upstream of service "photos"; returns its key */
guint64 sim_add_upstream (dispatch_sim_t *sim, const char *region, const char *zone, guint slots);
void
sim_set_upstream (dispatch_sim_t *sim, guint index, gboolean draining, anvil_time_t cold_until);

/** sim_name_limit - the upstream's responses name a limit from now on */
void sim_name_limit (dispatch_sim_t *sim, guint index, gdouble per_second);

/** sim_end_limit - the upstream's responses name no limit from now on */
void sim_end_limit (dispatch_sim_t *sim, guint index);

/** sim_count_grants - tasks granted to an upstream since a time */
guint sim_count_grants (dispatch_sim_t *sim, guint index, anvil_time_t since);

/** sim_most_grants - the most tasks granted to an upstream in any time of @length since @since */
guint sim_most_grants (dispatch_sim_t *sim, guint index, anvil_time_t since, anvil_time_t length);

/** sim_submit - submits a task for @object; returns its index */
guint sim_submit (dispatch_sim_t *sim, guint64 object);

/** sim_submit_task - submits a task with another number, target and deadline; returns its index.
 * Its requester is kept unless it is 0 */
guint sim_submit_task (dispatch_sim_t *sim, const anvil_task_t *task);

/** sim_submit_class - submits a task of a class for @object; returns its index */
guint sim_submit_class (dispatch_sim_t *sim, const sim_class_t *class, guint64 object);
sim_task_t *sim_task (dispatch_sim_t *sim, guint index);
void sim_finish (dispatch_sim_t *sim, guint index, anvil_run_result_t result);

/** sim_run - advances the time and finishes granted tasks when their runs end */
void sim_run (dispatch_sim_t *sim, anvil_time_t length);

/** sim_outcome_t - what became of the tasks of a class
 * @n: submitted
 * @served: answered, share
 * @on_time: answered within the target, share
 * @refused_after: mean time until a refusal, microseconds
 */
typedef struct
{
  guint n;
  gdouble served;
  gdouble on_time;
  gdouble refused_after;
} sim_outcome_t;

/** sim_run_classes - advances the time and submits tasks of each class at its rate, requests a
 * second, for @n_objects objects that the classes share */
void sim_run_classes (dispatch_sim_t *sim,
                      anvil_time_t length,
                      const sim_class_t *const *classes,
                      const gdouble *per_second,
                      guint n_classes,
                      guint n_objects);

/** sim_outcome - what became of the tasks of a class that were submitted since @first */
sim_outcome_t sim_outcome (dispatch_sim_t *sim, const sim_class_t *class, guint first);

/** sim_run_load - advances the time and submits tasks for @n_objects objects at @per_second;
 * returns the share of them that finished within their target */
gdouble
sim_run_load (dispatch_sim_t *sim, anvil_time_t length, gdouble per_second, guint n_objects);
