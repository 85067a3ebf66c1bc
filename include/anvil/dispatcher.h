#pragma once

#include "anvil/node.h"
#include "anvil/registry.h"
#include "anvil/routes.h"

/*
 * Slots of upstreams, lent one request at a time.
 *
 * Every entry has a dispatcher, but for each service the entries ask only one
 * of them, the holder of its slots (see anvil/holder.h). It sees every request
 * for the service, so that what entries must keep together (slots, cold limits,
 * the retry budget, which upstream is warm for which object) is one entry's
 * arithmetic. When entries disagree on the holder for a while, each holder keeps
 * to half of the common limits.
 *
 * No sockets and no clock: events go in with the time, decisions come out
 * through the callbacks, from inside the call that caused them.
 */

/* Most regions that a task may be restricted to, and upstreams that it may avoid. */
#define ANVIL_MAX_EXCLUDED_UPSTREAMS 4

/**
 * anvil_task_refusal_reason_t - why a task gets no slot; it has not run
 * @ANVIL_TASK_NO_UPSTREAM: no upstream of the service takes requests
 * @ANVIL_TASK_NO_ROOM: it can't be run within its deadline
 * @ANVIL_TASK_NO_RETRY: the retry budget of the service is spent
 * @ANVIL_TASK_LATE: it waited until it couldn't be run in time any more
 */
typedef enum
{
  ANVIL_TASK_NO_UPSTREAM,
  ANVIL_TASK_NO_ROOM,
  ANVIL_TASK_NO_RETRY,
  ANVIL_TASK_LATE,
} anvil_task_refusal_reason_t;

/** anvil_task_refusal_reason_name - the reason as a word for logs and metrics */
const char *anvil_task_refusal_reason_name (anvil_task_refusal_reason_t why);

/**
 * anvil_task_refusal_info_t - why a task gets no slot, and what decided it
 * @reason: the reason
 * @retry_after: when there may be room, microseconds from now
 * @waiting: tasks that waited for the service
 * @running: tasks under way
 * @slots: slots of the upstreams that take requests
 */
typedef struct
{
  anvil_task_refusal_reason_t reason;
  anvil_time_t retry_after;
  guint waiting;
  guint running;
  guint slots;
} anvil_task_refusal_info_t;

/**
 * anvil_task_id_t - who asks, and its own number for the task
 * @requester: entry that holds the request
 * @number: unique at that entry, also over its restarts
 */
typedef struct
{
  anvil_node_t requester;
  guint64 number;
} anvil_task_id_t;

/**
 * anvil_task_t - a request that needs a slot
 * @service: name of the service; borrowed
 * @region: region of the entry that asks; borrowed
 * @zone: its availability zone; borrowed
 * @regions: regions that may serve it; none means all; borrowed
 * @n_regions: how many
 * @object: hash of the object that it is about; 0 if no upstream is faster for it
 * @kind: may it be repeated, is its body large
 * @priority: rank, 0 is the most urgent
 * @attempt: counts the upstreams that it was sent to, from 1
 * @excluded: keys of upstreams that failed it
 * @n_excluded: how many
 * @body_bytes: length of its body
 * @target: when an answer stops being worth most, monotonic clock
 * @deadline: when an answer is worth nothing any more, monotonic clock
 */
typedef struct
{
  anvil_task_id_t id;
  anvil_str_t service;
  anvil_str_t region;
  anvil_str_t zone;
  anvil_str_t regions[ANVIL_MAX_ROUTE_REGIONS];
  guint n_regions;
  guint64 object;
  anvil_route_kind_t kind;
  guint priority;
  guint attempt;
  guint64 excluded[ANVIL_MAX_EXCLUDED_UPSTREAMS];
  guint n_excluded;
  guint64 body_bytes;
  anvil_time_t target;
  anvil_time_t deadline;
} anvil_task_t;

/**
 * anvil_grant_t - a slot for a task
 * @upstream: key of the upstream
 * @upstream_id: its name; borrowed
 * @zone: its availability zone; borrowed
 * @address: IPv4 in host order
 * @port: TCP port
 * @warm: it is believed to have handled the object lately
 */
typedef struct
{
  guint64 upstream;
  anvil_str_t upstream_id;
  anvil_str_t zone;
  guint32 address;
  guint16 port;
  gboolean warm;
} anvil_grant_t;

/**
 * anvil_run_result_t - what became of a granted task
 * @ANVIL_RUN_ANSWERED: a whole answer that wasn't a fault of the upstream
 * @ANVIL_RUN_FAILED: the upstream answered with a failure
 * @ANVIL_RUN_SHED: the upstream turned it away and has not run it
 * @ANVIL_RUN_CONNECT_FAILED: nothing was sent, the upstream didn't take the connection
 * @ANVIL_RUN_INTERRUPTED: it was sent and no whole answer came
 * @ANVIL_RUN_UNUSED: the asker gave the slot back unused, for a reason of its own
 */
typedef enum
{
  ANVIL_RUN_ANSWERED,
  ANVIL_RUN_FAILED,
  ANVIL_RUN_SHED,
  ANVIL_RUN_CONNECT_FAILED,
  ANVIL_RUN_INTERRUPTED,
  ANVIL_RUN_UNUSED,
} anvil_run_result_t;

/**
 * anvil_run_report_t - how a granted task ended
 * @result: what became of it
 * @duration: from the first byte sent to the last received, microseconds
 * @still_running: it was given up while the upstream may go on with it
 */
typedef struct
{
  anvil_run_result_t result;
  anvil_time_t duration;
  gboolean still_running;
} anvil_run_report_t;

/**
 * anvil_dispatcher_limits_t - limits that all entries keep together
 * @retry_ratio: repeats allowed for each request
 * @retry_extra: repeats allowed beyond, in one window
 * @retry_window: length of the window, microseconds
 * @cold_factor: times the rate that a cold upstream bears
 * @cold_extra: requests a second to a cold upstream beyond that
 * @max_shift: share of a region's requests that may change region between two seconds
 */
typedef struct
{
  gdouble retry_ratio;
  gdouble retry_extra;
  anvil_time_t retry_window;
  gdouble cold_factor;
  gdouble cold_extra;
  gdouble max_shift;
} anvil_dispatcher_limits_t;

/**
 * anvil_dispatcher_callbacks_t - what was decided
 * @grant: the task may be sent; answer by anvil_dispatcher_run_finished()
 * @refuse: the task is forgotten
 */
typedef struct
{
  void (*grant) (void *context, anvil_task_id_t id, const anvil_grant_t *grant);
  void (*refuse) (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused);
} anvil_dispatcher_callbacks_t;

typedef struct anvil_dispatcher anvil_dispatcher_t;

anvil_dispatcher_t *anvil_dispatcher_new (const anvil_dispatcher_limits_t *bounds,
                                          const anvil_dispatcher_callbacks_t *actions,
                                          void *context);
void anvil_dispatcher_drop (anvil_dispatcher_t *dispatcher);

/** anvil_dispatcher_set_limits - other limits, from now on */
void anvil_dispatcher_set_limits (anvil_dispatcher_t *dispatcher,
                                  const anvil_dispatcher_limits_t *bounds);

/** anvil_dispatcher_set_service - how its upstreams behave while they are cold */
void anvil_dispatcher_set_service (anvil_dispatcher_t *dispatcher, const anvil_service_t *service);

/** anvil_dispatcher_set_region_rtt - round trip between regions, microseconds */
void anvil_dispatcher_set_region_rtt (anvil_dispatcher_t *dispatcher, anvil_time_t between_regions);

/**
 * anvil_dispatcher_update_upstream - an upstream joined, restarted or changed
 * @region: region of its zone
 * @change: not ANVIL_REGISTRY_LEFT
 */
void anvil_dispatcher_update_upstream (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       const anvil_registered_upstream_t *upstream,
                                       anvil_str_t region,
                                       anvil_registry_change_t change);

/** anvil_dispatcher_remove_upstream - it gets nothing any more; its tasks under way go on */
void anvil_dispatcher_remove_upstream (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       guint64 upstream);

/** anvil_dispatcher_submit - a task; exactly one of grant or refuse follows, at once or later */
void anvil_dispatcher_submit (anvil_dispatcher_t *dispatcher,
                              anvil_time_t now,
                              const anvil_task_t *task);

/**
 * anvil_dispatcher_adopt - a task that another holder granted and that is under way
 *
 * Its slot counts as taken, and its upstream as warm for its object.
 */
void anvil_dispatcher_adopt (anvil_dispatcher_t *dispatcher,
                             anvil_time_t now,
                             const anvil_task_t *task,
                             guint64 upstream);

/**
 * anvil_dispatcher_add_warm_object - an upstream has handled an object lately, as an asker knows
 *
 * What this holder has seen itself goes before it.
 */
void anvil_dispatcher_add_warm_object (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       anvil_str_t service,
                                       guint64 object,
                                       guint64 upstream);

/**
 * anvil_dispatcher_list_warm_objects - what upstreams of a service remember, as far as their runs
 * have ended
 * @tell: called for each object and upstream
 */
void
anvil_dispatcher_list_warm_objects (const anvil_dispatcher_t *dispatcher,
                                    anvil_str_t service,
                                    void (*tell) (void *context, guint64 object, guint64 upstream),
                                    void *context);

/** anvil_dispatcher_cancel - a waiting task is forgotten; a granted one goes on */
void anvil_dispatcher_cancel (anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_task_id_t id);

/** anvil_dispatcher_run_finished - how a granted task ended; unknown ones are ignored */
void anvil_dispatcher_run_finished (anvil_dispatcher_t *dispatcher,
                                    anvil_time_t now,
                                    anvil_task_id_t id,
                                    const anvil_run_report_t *report);

/** anvil_dispatcher_requester_lost - an entry is gone; its waiting tasks are forgotten */
void anvil_dispatcher_requester_lost (anvil_dispatcher_t *dispatcher,
                                      anvil_time_t now,
                                      anvil_node_t asker);

/* How often anvil_dispatcher_tick() wants to be called. */
#define ANVIL_DISPATCHER_TICK_INTERVAL (50 * ANVIL_MS)

/** anvil_dispatcher_tick - does what time asks for: waiting tasks, deadlines, upstreams on trial */
void anvil_dispatcher_tick (anvil_dispatcher_t *dispatcher, anvil_time_t now);

/**
 * anvil_dispatcher_status_t - one service as its holder sees it
 * @upstreams: upstreams that take requests
 * @slots: their slots
 * @running: tasks under way
 * @waiting: tasks that wait
 */
typedef struct
{
  guint upstreams;
  guint slots;
  guint running;
  guint waiting;
} anvil_dispatcher_status_t;

/** anvil_dispatcher_status - FALSE if the service is unknown here */
gboolean anvil_dispatcher_status (const anvil_dispatcher_t *dispatcher,
                                  anvil_str_t service,
                                  anvil_dispatcher_status_t *status);
