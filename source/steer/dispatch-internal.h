#pragma once

#include "anvil/dispatcher.h"
#include "steer/dispatch-budget.h"
#include "steer/dispatch-class.h"
#include "steer/dispatch-shift.h"
#include "steer/upstream-speed.h"

/*
 * Modules of the dispatcher: dispatcher.c submits and ends tasks, dispatch-placing.c selects an
 * upstream for a task, dispatch-waiting.c a queued task for a free slot, dispatch-refusing.c the
 * tasks to refuse. dispatch-cold-queues.c collects the tasks that may run on an upstream that isn't
 * warm for them. dispatch-shift.c bounds how fast work moves to other regions, dispatch-limit.c
 * how many requests an upstream gets that named a limit, dispatch-pause.c from whom it wants none
 * for a time. dispatch-fairness.c shares slots among tenants, dispatch-repeat.c decides on second
 * runs for late first runs. dispatch-warmth.c tracks which upstreams are warm for which objects,
 * dispatch-upstream.c which are ejected.
 */

/* Most slots that are used of one upstream. */
#define MAX_UPSTREAM_SLOTS 64
/* Most objects that an upstream is expected to be warm for. The platform's contract says only that
 * it is faster on objects that it handled "lately". */
#define MAX_WARM_OBJECTS 24
/* Most tasks queued for one service. */
#define MAX_WAITING_TASKS 4096

/* Tasks examined on time and late in each queue, since the first ones may exclude the upstream. */
#define MAX_EXAMINED_TASKS 4
/* Most classes of routes whose requests are tracked for one object. */
#define MAX_OBJECT_QUEUES 8

typedef struct upstream upstream_t;
typedef struct object object_t;
typedef struct task task_t;
/* See dispatch-repeat.h. */
typedef struct service_repeats service_repeats_t;

/**
 * fair_rank_t - the tenants of one rank, which share
 * @key: the tenant's priority, then the route's
 * @start: slot time at which the last grant started
 */
typedef struct
{
  guint64 key;
  gdouble start;
  guint n_flows;
} fair_rank_t;

/** fair_tenant_t - a tenant with all its ranks */
typedef struct
{
  guint64 key;
  guint n_waiting;
  guint n_flows;
} fair_tenant_t;

/**
 * flow_t - the tasks of a tenant with one rank
 * @finish: slot time up to which it was granted, microseconds
 * @waiting: queued task_t, oldest first
 * @n_late: those that are late, or expected to be
 * @work_us: run time of @waiting
 * @n_tasks: its tasks, queued or running
 */
typedef struct
{
  guint64 key;
  fair_rank_t *rank;
  fair_tenant_t *tenant;
  gdouble finish;
  GQueue waiting;
  guint n_late;
  gdouble work_us;
  guint n_tasks;
  anvil_time_t used_at;
} flow_t;

/**
 * warm_entry_t - an object that an upstream is expected to be warm for
 * @ready: its first run on the upstream has ended
 * @ready_at: when that run is expected to end, or has ended
 * @granted_at: when a slot of the upstream was last granted for the object
 */
typedef struct
{
  object_t *object;
  gboolean ready;
  anvil_time_t ready_at;
  anvil_time_t granted_at;
} warm_entry_t;

/**
 * object_queue_t - requests of one class for an object
 *
 * Whether an upstream is warm for an object doesn't depend on the class. How long its requests take
 * and when they are late does, so tasks of several classes neither queue nor count together.
 *
 * @on_time: queued task_t that can still finish within their target, oldest first
 * @late: queued task_t that can't, oldest first
 * @n_tasks: its tasks, queued or running
 * @interval_us: mean time between requests, 0 if unknown
 * @requested_at: time of the last request
 * @cold_position: its position in the service's @cold_queues, from 1; 0 if it isn't there
 * @n_rejected: upstreams on which a cold run was rejected since it was put there
 */
typedef struct
{
  object_t *object;
  run_class_t *class;
  GQueue on_time;
  GQueue late;
  guint n_tasks;
  gdouble interval_us;
  anvil_time_t requested_at;
  guint cold_position;
  guint n_rejected;
} object_queue_t;

/**
 * object_t - an object requested from a service
 * @upstreams: upstream_t that have a warm_entry_t for it
 * @no_affinity: stands for all requests of one priority, and tenant, that are not about an object;
 *   no upstream is faster on them
 * @queues: object_queue_t, its requests by class
 * @needs_more: whether further upstreams should become warm for it, as of @needs_more_at; 0 if that
 *   has to be derived again
 * @n_tasks: its tasks, queued or running
 * @n_waiting: its queued tasks
 */
struct object
{
  guint64 hash;
  service_t *service;
  GPtrArray *upstreams;
  gboolean no_affinity;
  GPtrArray *queues;
  guint n_tasks;
  guint n_waiting;
  gboolean needs_more;
  anvil_time_t needs_more_at;
};

/**
 * backlog_t - an upstream's share of the queued tasks of a class that can still finish on time
 */
typedef struct
{
  const run_class_t *class;
  gdouble n_tasks;
} backlog_t;

/**
 * upstream_t - an upstream and its load
 * @record: its state in the registry; the strings are owned here
 * @region: id of its region, see name_id()
 * @zone: id of its zone
 * @registered: FALSE if it left the registry and is kept only until its tasks have ended
 * @running: task_t that run on it
 * @warm_entries: warm_entry_t, the objects that it is expected to be warm for
 * @warm_load: slots that the demand for these objects occupies; updated by the tick
 * @backlog: backlog_t, its share of the queued tasks for these objects, by class
 * @run_time_ratio: running mean of its run times, relative to the mean of their class
 * @last_run_was_long: its last run took longer than the tail of its class
 * @speed: how long work takes on its VM
 * @slowness: factor that @speed gives for now; updated by the tick
 * @consecutive_failures: runs in a row that failed to connect or were interrupted
 * @failure_rate: running mean of runs without a good response, 0 to 1
 * @ejected_until: no slots are granted before this time
 * @probing: it was ejected and has not responded since; gets one task at a time
 * @consecutive_ejections: ejections without a response between them; they become longer
 * @cold_limiter: limits requests while it is cold
 * @run_time: mean of its own run times, of all kinds
 * @is_limited: it named a request limit in its last response
 * @request_limit: that limit, requests a second
 * @limit_named_at: when a limit was last named to an entry; 0 for never
 * @limit_used_at: when a slot of it was last granted while it is limited
 * @limit_logged_at: when a begin or end of a limit was last logged
 * @request_bucket: limits requests while it is limited
 * @pauses: anvil_time_t by the entry from which it wants no requests until then; NULL for none
 */
struct upstream
{
  anvil_registered_upstream_t record;
  guint region;
  guint zone;
  service_t *service;
  gboolean registered;
  GPtrArray *running;
  GArray *warm_entries;
  gdouble warm_load;
  GArray *backlog;
  gdouble run_time_ratio;
  gboolean last_run_was_long;
  anvil_upstream_speed_t speed;
  gdouble slowness;
  guint consecutive_failures;
  gdouble failure_rate;
  anvil_time_t ejected_until;
  gboolean probing;
  guint consecutive_ejections;
  anvil_bucket_t cold_limiter;
  estimate_t run_time;
  gboolean is_limited;
  gdouble request_limit;
  anvil_time_t limit_named_at;
  anvil_time_t limit_used_at;
  anvil_time_t limit_logged_at;
  anvil_bucket_t request_bucket;
  GHashTable *pauses;
};

/**
 * task_t - a task that is queued or running
 * @request: the submitted task; its borrowed strings are invalid
 * @region: id of the requester's region
 * @zone: id of the requester's zone
 * @regions: ids of the regions that may serve it
 * @is_late: it is in the late queue of its object
 * @will_be_late: it was expected to miss its target when it was queued, and isn't late yet; not set
 *   where all tasks of a kind are of one class
 * @admitted_late: it was checked when it became late, and stayed queued
 * @upstream: where it runs, NULL while it is queued
 * @warm: the upstream was warm for its object when it was granted
 * @slowness_at_start: that of the upstream when it was granted; 0 if it wasn't known
 * @expected_end: when its slot is expected to be free
 * @flow: the tasks that it shares with; NULL if its service isn't shared by tenants
 * @flow_link: its place in the flow's queue
 * @charged: slot time that its flow was granted for it
 * @queue_link: its place in the queue of its object
 * @warm_at: when @warm_finish and @warm_cost were derived; 0 for never
 * @warm_finish: when it would end on the best warm upstream; G_MAXINT64 if there is none
 * @warm_cost: cost of that, see placement_t
 * @queued_work_us: its part of the flow's @work_us
 */
struct task
{
  anvil_task_t request;
  guint region;
  guint zone;
  guint regions[ANVIL_MAX_ROUTE_REGIONS];
  service_t *service;
  object_t *object;
  run_class_t *class;
  object_queue_t *queue;
  gboolean is_late;
  gboolean will_be_late;
  gboolean admitted_late;
  upstream_t *upstream;
  gboolean warm;
  anvil_time_t granted_at;
  gdouble slowness_at_start;
  anvil_time_t expected_end;
  flow_t *flow;
  GList flow_link;
  anvil_time_t charged;
  GList queue_link;
  anvil_time_t warm_at;
  anvil_time_t warm_finish;
  anvil_time_t warm_cost;
  gdouble queued_work_us;
};

/**
 * foreign_window_t - attempts that another holder counted
 * @origin: incarnation of that holder
 */
typedef struct
{
  guint64 origin;
  anvil_retry_window_t window;
} foreign_window_t;

/**
 * service_t - a service whose slots this dispatcher assigns
 * @profile: limits of cold upstreams
 * @held_since: when this dispatcher's entry became the holder; 0 if it always was
 * @upstreams: registered upstream_t
 * @objects: object_t by hash
 * @waiting_queues: set of object_queue_t with queued tasks
 * @plain_queues: those of them without an object, for which every upstream is as good as warm
 * @cold_queues: those of the others whose tasks may be worth a cold run; see
 *   cold_queues_update()
 * @n_waiting: queued tasks
 * @n_running: running tasks
 * @n_slots: slots of the upstreams that accept requests; see dispatch_update_slot_count()
 * @usable_slots: the same, but counting only as many of a limited upstream as its limit can keep
 *   busy
 * @n_limited: its limited upstreams
 * @least_slowness: that of the fastest upstream that accepts requests
 * @speed_named_at: when an upstream of it last named a speed
 * @names_speed: one has lately
 * @kinds: run times of all tasks of a kind
 * @classes: run_class_t, those in @kinds first
 * @counted_at: when what is counted of @classes was reduced last
 * @n_decided: tasks of all classes that were granted or refused lately
 * @n_granted: those of them that were granted
 * @n_classes: classes in @classes by kind, besides those in @kinds
 * @classes_differ: see class_differs_in_service()
 * @max_warm_objects: most objects that one upstream is expected to be warm for
 * @retry_window: requests and retries, for the retry budget
 * @foreign_windows: the same of other holders, as they handed them over
 * @last_retry_at: latest time at which a refused caller was told to retry, where run_class_t
 * doesn't have it
 * @return_offset: how long after the end of a pause the last caller was told to retry that was
 *   refused in one
 * @pauses_end: when the last of all pauses of its upstreams ends
 * @shifts: shift_window_t by id of the requesters' region
 * @flows: flow_t by key; empty if no tenant uses it
 * @fair_ranks: fair_rank_t by key
 * @fair_tenants: fair_tenant_t by key
 * @repeats: second runs of late requests
 */
struct service
{
  char *name;
  anvil_dispatcher_t *dispatcher;
  anvil_service_t profile;
  anvil_time_t held_since;
  GPtrArray *upstreams;
  GHashTable *objects;
  GHashTable *waiting_queues;
  GHashTable *plain_queues;
  GPtrArray *cold_queues;
  guint n_waiting;
  guint n_running;
  guint n_slots;
  gdouble usable_slots;
  guint n_limited;
  gdouble least_slowness;
  anvil_time_t speed_named_at;
  gboolean names_speed;
  run_class_t *kinds[ANVIL_ROUTE_UPLOAD + 1];
  GPtrArray *classes;
  anvil_time_t counted_at;
  gdouble n_decided;
  gdouble n_granted;
  guint n_classes[ANVIL_ROUTE_UPLOAD + 1];
  gboolean classes_differ;
  guint max_warm_objects;
  anvil_retry_window_t retry_window;
  foreign_window_t foreign_windows[ANVIL_MAX_RETRY_ORIGINS - 1];
  guint n_foreign_windows;
  anvil_time_t last_retry_at;
  anvil_time_t return_offset;
  anvil_time_t pauses_end;
  GHashTable *shifts;
  GHashTable *flows;
  GHashTable *fair_ranks;
  GHashTable *fair_tenants;
  service_repeats_t *repeats;
};

struct anvil_dispatcher
{
  anvil_dispatcher_limits_t limits;
  anvil_dispatcher_callbacks_t callbacks;
  void *context;
  anvil_time_t region_rtt;
  /* Another entry may hold the same services at this time. */
  gboolean divided;
  /* It isn't known yet which other entries may grant slots. */
  gboolean peers_unknown;
  GHashTable *services;
  /* upstream_t by key; kept until their tasks have ended. */
  GHashTable *upstreams;
  /* task_t by id. */
  GHashTable *tasks;
  /* Ids of regions and zones by name. */
  GHashTable *name_ids;
  anvil_time_t loads_updated_at;
  anvil_dispatcher_work_t work;
};

/* Id of a region or zone, 1 or more; compared instead of the name. */
guint name_id (anvil_dispatcher_t *dispatcher, anvil_str_t name);

/* dispatch-service.c */

/* Finds a service, or creates it. */
service_t *dispatch_get_service (anvil_dispatcher_t *dispatcher, anvil_str_t name);

/* Requests of a region by where they ran. */
shift_window_t *dispatch_shift_of (const task_t *task);

/* dispatch-retry.c */

/* Counts a first attempt, or takes a retry from the budget; FALSE if that is exhausted. */
gboolean dispatch_count_attempt (anvil_dispatcher_t *dispatcher, anvil_time_t now, task_t *task);
/* Retries in a window that this dispatcher may count for a service. */
gdouble
dispatch_retry_budget (anvil_dispatcher_t *dispatcher, anvil_time_t now, service_t *service);

/* dispatch-upstream.c */

upstream_t *dispatch_upstream_new (anvil_dispatcher_t *dispatcher, guint64 key);
void dispatch_upstream_free (gpointer data);
void dispatch_upstream_add (upstream_t *upstream, service_t *service);
void dispatch_upstream_remove (upstream_t *upstream);
void dispatch_upstream_update (anvil_dispatcher_t *dispatcher,
                               upstream_t *upstream,
                               const anvil_registered_upstream_t *record,
                               anvil_str_t region);
/* Resets the state of an upstream that has restarted: it is warm for no object. */
void dispatch_upstream_reset (upstream_t *upstream);
void dispatch_update_slot_count (service_t *service);
/* Takes the speed into account that a response names. */
void dispatch_upstream_set_speed (upstream_t *upstream, anvil_time_t now, guint percent);
/* Lets the speeds that the upstreams of a service named age. */
void dispatch_update_speeds (service_t *service, anvil_time_t now);
/* Ejects or reinstates the upstream, depending on the outcome of a run. */
void
dispatch_upstream_record_result (upstream_t *upstream, anvil_time_t now, anvil_run_result_t result);

/* dispatch-warmth.c */

/* Finds the object of a task, or creates it. */
object_t *warmth_get_object (service_t *service, const anvil_task_t *task);
void warmth_record_request (object_queue_t *queue, anvil_time_t now);
/* Finds the queue of a class for the object, or creates it. */
object_queue_t *warmth_get_queue (object_t *object, run_class_t *class);
/* Removes the queues of a class that has no tasks. */
void warmth_forget_class (service_t *service, const run_class_t *class);
warm_entry_t *warmth_find (const upstream_t *upstream, const object_t *object);
gboolean warmth_is_ready (const upstream_t *upstream, const object_t *object);
void warmth_record_grant (upstream_t *upstream,
                          object_t *object,
                          anvil_time_t now,
                          anvil_time_t ready_at);
/* Adds an object that another entry reports an upstream to be warm for. */
void warmth_add_reported (upstream_t *upstream, object_t *object, anvil_time_t now);
void warmth_record_result (task_t *task, anvil_time_t now, const anvil_run_report_t *report);
/* Takes into account that a run was cancelled after a time: an upstream that never answers, while
 * second runs elsewhere do, would otherwise not count as slow. */
void warmth_record_cut_run (const task_t *task, const anvil_run_report_t *report);
/* Factor by which a run was longer than on a VM with the usual speed. */
gdouble warmth_run_factor (const task_t *task, const anvil_run_report_t *report);
void warmth_clear_upstream (upstream_t *upstream);
void warmth_drop_object_if_unused (object_t *object);
void warmth_object_free (gpointer data);

void warmth_update_load (upstream_t *upstream);

/* Mean number of slots that the requests for an object occupy on warm upstreams. */
gdouble warmth_demand (const object_t *object);

/* Expected run time, without network delay: of the class, and on one upstream as it is now. */
anvil_time_t warmth_mean_run_time (const run_class_t *class, gboolean warm);
anvil_time_t
warmth_expected_run_time (const upstream_t *upstream, const run_class_t *class, gboolean warm);
/* When the slot of a running task is expected to be free. */
anvil_time_t warmth_expected_end (task_t *task, anvil_time_t now);

/* dispatch-limit.c */

/* Whether the upstream's request limit allows one more request now. */
gboolean limit_allows_request (upstream_t *upstream, anvil_time_t now);
void limit_count_request (upstream_t *upstream, anvil_time_t now);
/* Whether the upstream should get a request to learn of a change of its limit. */
gboolean limit_probe_due (const upstream_t *upstream, anvil_time_t now);
/* When it allows the next request; @now if it does already. */
anvil_time_t limit_allows_at (const upstream_t *upstream, anvil_time_t now);
/* Slots that its limit can keep busy. */
gdouble limit_usable_slots (const upstream_t *upstream);
/* Takes what a response says into account; its request was granted at @granted_at. */
void limit_record_response (upstream_t *upstream,
                            anvil_time_t now,
                            anvil_time_t granted_at,
                            const anvil_request_limit_t *limit);
/* Takes a limit into account that was named to another entry at @named_at. */
void limit_add_reported (upstream_t *upstream,
                         anvil_time_t now,
                         anvil_time_t named_at,
                         gdouble per_second);
void limit_clear (upstream_t *upstream);

/* dispatch-pause.c */

/* Whether the upstream wants no requests of the task's entry at this time. */
gboolean pause_applies (const upstream_t *upstream, const task_t *task, anvil_time_t now);
/* Whether the task can't be served in time, because all upstreams that it may use want no requests
 * of its entry for too long. */
gboolean pause_outlasts (const task_t *task, anvil_time_t now);
/* Time until the first upstream wants requests of the task's caller again, microseconds; 0 if one
 * does now, or if none may serve them. The caller's next request excludes none of them. */
anvil_time_t pause_retry_after (const task_t *task, anvil_time_t now);
void pause_clear (upstream_t *upstream);

/* dispatch-placing.c */

/**
 * placement_t - a possible upstream for a task
 * @upstream: NULL if there is none
 * @finish: when the response is expected, monotonic clock
 * @cost: @finish plus penalties for network transfer and failures; the lowest is best
 */
typedef struct
{
  upstream_t *upstream;
  gboolean warm;
  anvil_time_t finish;
  anvil_time_t cost;
} placement_t;

/* Whether the route of the task allows the upstream's region. */
gboolean placing_region_allowed (const upstream_t *upstream, const task_t *task);
/* The same, and the task hasn't failed on the upstream. */
gboolean placing_allowed (const upstream_t *upstream, const task_t *task);
gboolean placing_slot_available (upstream_t *upstream, anvil_time_t now);
anvil_time_t placing_network_delay (const upstream_t *upstream, const task_t *task);
placement_t
placing_estimate (upstream_t *upstream, const task_t *task, anvil_time_t now, gboolean warm);
/* Whether one more upstream may become warm for the task's object. */
gboolean placing_cold_run_allowed (const task_t *task, anvil_time_t now);
/* Best upstream with a free slot; none if it is better to wait for a warm one. */
placement_t placing_best_immediate (task_t *task, anvil_time_t now);
/* Best upstream that is warm for the object, whether or not it has a free slot. */
placement_t placing_best_warm (task_t *task, anvil_time_t now);

/* dispatch-waiting.c */

void waiting_add (task_t *task, anvil_time_t now);
void waiting_remove (task_t *task);
/* Queued task that a free slot of the upstream goes to, or NULL. */
task_t *waiting_next_task (upstream_t *upstream, anvil_time_t now);

/* Recomputes the backlog of each upstream of a service, since upstreams become warm for objects or
 * stop being so while tasks are queued. */
void waiting_update_backlog (service_t *service);

/* Run time of the tasks queued for the upstream that go before a new one, microseconds. */
gdouble waiting_backlog_us (const upstream_t *upstream, const task_t *task);
/* The same of all tasks queued for the service; late ones too, or not. */
gdouble waiting_work_us (const task_t *task, gboolean with_late);
/* Late tasks that a task would be queued with or behind. */
guint waiting_count_late (const task_t *task);

/* Moves tasks that can no longer finish within their target to the late ones. */
void waiting_move_late (object_queue_t *queue, anvil_time_t now);

/* dispatch-cold-queues.c */

/* Collects the queues whose tasks may be worth a cold run on some upstream. */
void cold_queues_update (service_t *service, anvil_time_t now);
void cold_queues_add (service_t *service, object_queue_t *queue);
void cold_queues_remove (service_t *service, object_queue_t *queue);
/* A cold run of its tasks was rejected on an upstream. A queue that was rejected on several isn't
 * compared with more before the next tick. */
void cold_queues_reject (service_t *service, object_queue_t *queue);
/* Whether a task waits for a warm upstream instead of a cold run at @placement: the warm run would
 * end on time, or cost no more. */
gboolean cold_run_is_worse (task_t *task, const placement_t *placement, anvil_time_t now);

/* dispatch-fairness.c */

void fairness_open (service_t *service);
void fairness_close (service_t *service);
/* Hash of the tenant and both priorities. */
guint64 fairness_key (const anvil_task_t *task);
void fairness_add_task (task_t *task, anvil_time_t now);
void fairness_remove_task (task_t *task);
void fairness_waiting_added (task_t *task);
/* To be called while the task's is_late is still set. */
void fairness_waiting_removed (task_t *task);
void fairness_became_late (task_t *task);
/* Slot time at which the task's run would start; the lowest of a rank goes first. */
gdouble fairness_start (const task_t *task);
void fairness_granted (task_t *task, anvil_time_t run_time);
/* Charges the slot time that was used instead of the expected one. */
void fairness_run_ended (task_t *task, anvil_time_t now);
/* Run time of the queued tasks of all tenants that are served before one that is queued now. */
gdouble fairness_work_ahead_us (const task_t *task, gboolean with_late);
/* Whether too many late tasks are queued for a further one. */
gboolean fairness_too_many_late (const task_t *task, gdouble most, guint at_least);
/* The queued task that is refused in favour of an arriving one when the queue is full; NULL if that
 * is the arriving one itself. */
task_t *fairness_find_victim (const task_t *task);
void fairness_remove_idle (service_t *service, anvil_time_t now);

/* dispatch-refusing.c */

/* Whether a task would miss its deadline even if it started now. */
gboolean refusing_misses_deadline (const task_t *task, anvil_time_t now);
/* Whether the service has upstreams, but none that the task may use: those are excluded, or in
 * other regions. */
gboolean refusing_lacks_upstream (const task_t *task);
/* Whether a new task is refused instead of queued. */
gboolean refusing_on_arrival (task_t *task, anvil_time_t now);
/* Whether a queued task is refused, and why. */
gboolean
refusing_while_waiting (task_t *task, anvil_time_t now, anvil_task_refusal_reason_t *reason);
/* Whether a late task has been queued for too long after its target. */
gboolean refusing_late_too_long (const task_t *task, anvil_time_t now);
/* Whether a task that will miss its target is refused: too many late tasks are queued, or it would
 * miss its deadline too. */
gboolean refusing_late_task (const task_t *task, anvil_time_t now);
/* Time after which the caller of a refused task should retry, microseconds. */
anvil_time_t refusing_retry_after (const task_t *task, anvil_time_t now);
