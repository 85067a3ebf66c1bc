#pragma once

#include "anvil/dispatcher.h"
#include "steer/dispatch-budget.h"

/* Parts of the dispatcher: dispatcher.c keeps the tables; placing, waiting and refusing decide. */

/* Slots that one upstream may have; more are used as this many. */
#define MAX_SLOTS 64
/* Objects that an upstream is believed to remember. The platform says "lately"; runs that turn out
 * to be cold lower the figure for a service. */
#define MAX_WARM_OBJECTS 24
/* Tasks that may wait for one service. */
#define MAX_WAITING_TASKS 4096

typedef struct service service_t;
typedef struct upstream upstream_t;
typedef struct object object_t;
typedef struct task task_t;

/**
 * estimate_t - a running mean of durations, microseconds
 * @mean: 0 until the first value
 * @n_values: how many it is made of
 */
typedef struct
{
  gdouble mean;
  guint n_values;
} estimate_t;

/**
 * warmth_t - an object that an upstream is believed to remember
 * @ready: its first run there has ended
 * @ready_at: when that run should end, or has ended
 * @used_at: when it was last granted for the object
 */
typedef struct
{
  object_t *object;
  gboolean ready;
  anvil_time_t ready_at;
  anvil_time_t used_at;
} warmth_t;

/**
 * object_t - an object that requests of a service are about
 * @upstreams: upstream_t that remember it
 * @anonymous: stands for requests that no upstream is faster for
 * @waiting: task_t that can still be answered within their target, oldest first
 * @late: task_t that can't, oldest first
 * @n_tasks: tasks about it, waiting or under way
 * @kind: kind of the last request
 * @interval: mean time between requests, microseconds; 0 for unknown
 * @asked_at: when the last request came
 */
struct object
{
  guint64 hash;
  service_t *service;
  GPtrArray *upstreams;
  gboolean anonymous;
  GQueue waiting;
  GQueue late;
  guint n_tasks;
  anvil_route_kind_t kind;
  gdouble interval;
  anvil_time_t asked_at;
};

/**
 * upstream_t - an upstream as the holder sees it
 * @record: what it registered; its texts are owned here
 * @region: number of its region, see name_number()
 * @zone: number of its zone
 * @present: it is registered; an absent one only ends its tasks
 * @running: task_t under way
 * @warm: what it remembers
 * @object_load: slots that the demand for what it remembers fills; kept by the tick
 * @backlog: its share of the tasks that wait for what it remembers, as far as they can be in time
 * @slowness: its durations, times what is expected of them
 * @failures: failures in a row that say that it can't be used
 * @fault_share: running mean of failed or shed runs, 0 to 1
 * @ejected_until: gets nothing before, except one task on trial afterwards
 * @trial: it was ejected and has not answered since
 * @ejections: ejections in a row, for their length
 * @cold: limits requests while it is cold
 */
struct upstream
{
  anvil_registered_upstream_t record;
  guint region;
  guint zone;
  service_t *service;
  gboolean present;
  GPtrArray *running;
  GArray *warm;
  gdouble object_load;
  gdouble backlog;
  gdouble slowness;
  guint failures;
  gdouble fault_share;
  anvil_time_t ejected_until;
  gboolean trial;
  guint ejections;
  anvil_bucket_t cold;
};

/**
 * task_t - a task that waits or is under way
 * @wanted: what was asked for, without its texts
 * @region: number of the asker's region
 * @zone: number of the asker's zone
 * @regions: numbers of the regions that may serve it
 * @is_late: it waits among those that are late
 * @admitted_late: it was found to have a chance when it became late
 * @upstream: where it runs, NULL while it waits
 * @warm: it was granted for an object that the upstream remembers
 * @granted_at: when it was granted
 * @expected_end: when its slot should be free
 */
struct task
{
  anvil_task_t wanted;
  guint region;
  guint zone;
  guint regions[ANVIL_MAX_ROUTE_REGIONS];
  service_t *service;
  object_t *object;
  gboolean is_late;
  gboolean admitted_late;
  upstream_t *upstream;
  gboolean warm;
  anvil_time_t granted_at;
  anvil_time_t expected_end;
};

/**
 * service_t - a service whose slots are lent here
 * @profile: limits of cold upstreams
 * @upstreams: upstream_t that are present
 * @objects: object_t by hash
 * @waiting_objects: object_t with tasks that wait, a set
 * @n_waiting: tasks that wait
 * @n_late: of these, tasks that are late
 * @n_running: tasks under way
 * @n_slots: slots of the upstreams that take requests; kept by count_slots()
 * @warm_run: how long a run takes on an upstream that remembers the object, by kind
 * @cold_run: the same on one that doesn't
 * @remembered: objects that one upstream remembers
 * @retries: repeats that may be granted
 * @return_at: when the caller that was refused last was told to return
 */
struct service
{
  char *name;
  anvil_dispatcher_t *dispatcher;
  anvil_service_t profile;
  GPtrArray *upstreams;
  GHashTable *objects;
  GHashTable *waiting_objects;
  guint n_waiting;
  guint n_late;
  guint n_running;
  guint n_slots;
  estimate_t warm_run[ANVIL_ROUTE_UPLOAD + 1];
  estimate_t cold_run[ANVIL_ROUTE_UPLOAD + 1];
  guint remembered;
  anvil_retry_window_t retries;
  anvil_time_t return_at;
};

struct anvil_dispatcher
{
  anvil_dispatcher_limits_t bounds;
  anvil_dispatcher_callbacks_t actions;
  void *context;
  anvil_time_t between_regions;
  GHashTable *services;
  /* upstream_t by key; absent ones stay until their tasks have ended. */
  GHashTable *upstreams;
  /* task_t by id. */
  GHashTable *tasks;
  /* Numbers by name of regions and zones. */
  GHashTable *names;
  anvil_time_t loads_at;
};

/* Number of a region or zone, so that comparing costs nothing. */
guint name_number (anvil_dispatcher_t *dispatcher, anvil_str_t name);

/* dispatcher.c */

/* The service of this name, which begins to exist if it is asked for. */
service_t *dispatch_service (anvil_dispatcher_t *dispatcher, anvil_str_t name);

/* dispatch-retry.c */

/* Counts a try against the retry budget; FALSE if there is none left for it. */
gboolean dispatch_spend_try (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task);

/* dispatch-upstream.c */

upstream_t *dispatch_upstream_new (anvil_dispatcher_t *dispatcher, guint64 key);
void dispatch_upstream_free (gpointer data);
void dispatch_upstream_enter (upstream_t *upstream, service_t *service);
void dispatch_upstream_leave (upstream_t *upstream);
void dispatch_upstream_update (anvil_dispatcher_t *dispatcher,
                               upstream_t *upstream,
                               const anvil_registered_upstream_t *record,
                               anvil_str_t region);
/* A process that began anew knows nothing of its predecessor's work. */
void dispatch_upstream_begin_anew (upstream_t *upstream);
/* Brings the number of slots of a service up to date. */
void dispatch_upstream_count (service_t *service);
/* Draws conclusions from how a task ended. */
void dispatch_upstream_judge (upstream_t *upstream, anvil_time_t now, anvil_run_result_t result);

/* dispatch-warmth.c: which upstream remembers what, and how long runs take. */

object_t *warmth_object (service_t *service, const anvil_task_t *task);
void warmth_asked (object_t *object, anvil_route_kind_t kind, anvil_time_t now);
warmth_t *warmth_find (const upstream_t *upstream, const object_t *object);
gboolean warmth_is_ready (const upstream_t *upstream, const object_t *object);
void
warmth_granted (upstream_t *upstream, object_t *object, anvil_time_t now, anvil_time_t ready_at);
/* Takes another entry's word that an upstream remembers an object. */
void warmth_remember (upstream_t *upstream, object_t *object, anvil_time_t now);
void warmth_finished (task_t *task, anvil_time_t now, const anvil_run_report_t *report);
void warmth_forget_upstream (upstream_t *upstream);
void warmth_forget_object_if_idle (object_t *object);
void warmth_object_free (gpointer data);

void warmth_measure_load (upstream_t *upstream);

/* Slots that an object's demand fills, all its upstreams together. */
gdouble warmth_demand (const object_t *object);

/* Expected length of a run on a usual upstream; and on this one, without the way there. */
anvil_time_t warmth_usual_run (const service_t *service, anvil_route_kind_t kind, gboolean warm);
anvil_time_t warmth_run_time (const upstream_t *upstream, anvil_route_kind_t kind, gboolean warm);

/* dispatch-placing.c */

/**
 * place_t - where a task could run
 * @upstream: NULL if nowhere
 * @finish: when its answer would be back, monotonic clock
 * @cost: @finish with penalties for moving bytes; the least is best
 */
typedef struct
{
  upstream_t *upstream;
  gboolean warm;
  anvil_time_t finish;
  anvil_time_t cost;
} place_t;

gboolean placing_allowed (const upstream_t *upstream, const task_t *task);
gboolean placing_has_room (upstream_t *upstream, anvil_time_t now);
anvil_time_t placing_distance (const upstream_t *upstream, const task_t *task);
place_t
placing_estimate (upstream_t *upstream, const task_t *task, anvil_time_t now, gboolean warm);
gboolean placing_may_start_cold (const upstream_t *upstream, const object_t *object);
place_t placing_best_now (task_t *task, anvil_time_t now);
place_t placing_best_warm (task_t *task, anvil_time_t now);

/* dispatch-waiting.c */

void waiting_enter (task_t *task);
void waiting_leave (task_t *task);
task_t *waiting_best_for (upstream_t *upstream, anvil_time_t now);

/* Works out anew which waiting tasks each upstream of a service has before it: objects come to be
 * remembered and are forgotten between a task's entering and leaving. */
void waiting_measure_backlog (service_t *service);

/* Moves tasks that can't be answered within their target any more behind those that can. */
void waiting_sort_out_late (object_t *object, anvil_time_t now);

/* dispatch-refusing.c */

gboolean refusing_hopeless (const task_t *task, anvil_time_t now);
gboolean refusing_no_room (task_t *task, anvil_time_t now);
gboolean refusing_in_vain (task_t *task, anvil_time_t now);
gboolean refusing_passed_over (const task_t *task, anvil_time_t now);
gboolean refusing_late (const task_t *task, anvil_time_t now);
anvil_time_t refusing_come_back (const task_t *task, anvil_time_t now);
