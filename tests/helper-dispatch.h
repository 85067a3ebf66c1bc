#pragma once

#include "anvil/dispatcher.h"

/*
 * A dispatcher in virtual time, with upstreams that serve an object faster once
 * they have handled it, and callers that ask for objects at a rate.
 */

#define MAX_LAB_UPSTREAMS 64
#define MAX_LAB_TASKS 200000

/** lab_task_t - a task of the lab and what became of it */
typedef struct
{
  anvil_task_t task;
  anvil_time_t asked_at;
  anvil_time_t ends_at;
  guint64 upstream;
  gboolean granted;
  gboolean warm;
  gboolean refused;
  anvil_time_t refused_at;
  gboolean done;
  anvil_task_refusal_reason_t why;
  anvil_time_t come_back;
} lab_task_t;

/**
 * dispatch_lab_t - the dispatcher and its world
 * @cold_run: a run on an upstream that doesn't know the object
 * @warm_run: a run on one that does
 * @remembers: objects that an upstream remembers; the one used longest ago is forgotten
 * @target: target latency of the tasks
 * @patience: deadline of the tasks
 */
typedef struct
{
  anvil_dispatcher_t *dispatcher;
  anvil_time_t now;
  anvil_time_t cold_run;
  anvil_time_t warm_run;
  guint remembers;
  anvil_time_t target;
  anvil_time_t patience;
  guint n_upstreams;
  guint64 keys[MAX_LAB_UPSTREAMS];
  /* Objects that each upstream remembers, the one used last first: GQueue by key. */
  GHashTable *known;
  GArray *tasks;
  guint n_grants;
  guint n_refusals;
} dispatch_lab_t;

void lab_open (dispatch_lab_t *lab);
void lab_close (dispatch_lab_t *lab);

/** lab_add_upstream - one of service "photos" in @zone, region @region; its key */
guint64 lab_add_upstream (dispatch_lab_t *lab, const char *region, const char *zone, guint slots);
void
lab_set_upstream (dispatch_lab_t *lab, guint index, gboolean draining, anvil_time_t cold_until);

/** lab_ask - a task for @object; its index */
guint lab_ask (dispatch_lab_t *lab, guint64 object);

/** lab_ask_task - a task as the test made it, but for id, target and deadline */
guint lab_ask_task (dispatch_lab_t *lab, const anvil_task_t *task);
lab_task_t *lab_task (dispatch_lab_t *lab, guint index);
void lab_finish (dispatch_lab_t *lab, guint index, anvil_run_result_t result);

/** lab_run - passes time; granted tasks end when their run is over */
void lab_run (dispatch_lab_t *lab, anvil_time_t length);

/** lab_load - passes time while tasks for @n_objects objects come at @per_second; share of them
 * that ended within their target */
gdouble lab_load (dispatch_lab_t *lab, anvil_time_t length, gdouble per_second, guint n_objects);
