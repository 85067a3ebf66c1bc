#pragma once

#include "anvil/node.h"
#include "anvil/registry.h"
#include "anvil/request-limit.h"
#include "anvil/retry-counts.h"
#include "anvil/routes.h"

/*
 * Assigns slots of upstreams to requests.
 *
 * An upstream has a number of slots, the requests that it handles at once. Every
 * entry has a dispatcher, but all entries request the slots of a service from one
 * entry, the holder of its slots. The holder sees every request for the service,
 * so it can enforce what applies to all entries together (slots, limits of cold
 * upstreams, the retry budget) and track which upstream is warm for which object:
 * an upstream that has recently handled a request for an object is faster on the
 * next one. An upstream may also name a request limit in its responses, which the
 * holder keeps to for as long as it does. While entries disagree on the holder, two
 * holders may act at the same time; each therefore uses at most half of the common
 * limits, and of a request limit three quarters while it knows that this may be so.
 *
 * The dispatcher has no sockets and no clock. Every call passes the current time,
 * and decisions are reported through the callbacks before the call returns.
 */

#define ANVIL_MAX_EXCLUDED_UPSTREAMS 4

/**
 * anvil_task_refusal_reason_t - why a task was refused; a refused task has not run
 * @ANVIL_TASK_NO_UPSTREAM: no upstream of the service accepts requests
 * @ANVIL_TASK_NO_ROOM: too many tasks are waiting for it to finish in time
 * @ANVIL_TASK_NO_RETRY: the retry budget of the service is exhausted
 * @ANVIL_TASK_LATE: it was queued and can no longer finish in time
 * @ANVIL_TASK_PAUSED: all upstreams that it may use want no requests of its entry for too long
 * @ANVIL_TASK_QUOTA: its tenant has used up its quota
 * @ANVIL_TASK_NO_COUNTER: no entry answers for its tenant's quota
 */
typedef enum
{
  ANVIL_TASK_NO_UPSTREAM,
  ANVIL_TASK_NO_ROOM,
  ANVIL_TASK_NO_RETRY,
  ANVIL_TASK_LATE,
  ANVIL_TASK_PAUSED,
  ANVIL_TASK_QUOTA,
  ANVIL_TASK_NO_COUNTER,
} anvil_task_refusal_reason_t;

/** anvil_task_refusal_reason_name - the reason as used in logs and metrics */
const char *anvil_task_refusal_reason_name (anvil_task_refusal_reason_t reason);

/**
 * anvil_task_refusal_info_t - why a task was refused, and the load of its service
 * @retry_after: when the caller should retry, microseconds from now
 * @waiting: queued tasks of the service
 * @running: granted tasks that have not finished
 * @slots: slots of the upstreams that accept requests
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
 * anvil_task_id_t - identifies a task among all entries
 * @requester: entry that received the request
 * @number: unique at that entry, also across its restarts
 */
typedef struct
{
  anvil_node_t requester;
  guint64 number;
} anvil_task_id_t;

/** anvil_task_id_hash - hash of an anvil_task_id_t, for tables by id */
guint anvil_task_id_hash (gconstpointer id);

/** anvil_task_id_equal - whether two anvil_task_id_t are the same */
gboolean anvil_task_id_equal (gconstpointer a, gconstpointer b);

/**
 * anvil_task_t - a request that needs a slot
 * @service: name of the service; borrowed
 * @region: region of the requesting entry; borrowed
 * @zone: availability zone of the requesting entry; borrowed
 * @regions: regions that may serve the task, all if empty; borrowed
 * @object: hash of the requested object; 0 if no upstream is faster on repeated requests
 * @kind: whether it may be repeated, and whether its body is large
 * @priority: 0 is the most urgent
 * @attempt: number of this attempt, from 1
 * @excluded: keys of upstreams on which earlier attempts failed
 * @body_bytes: length of the request body
 * @target: when the target latency is exceeded, monotonic clock
 * @deadline: when the response is no longer useful, monotonic clock
 * @route_class: hash of the route's kind, target latency and priority, by which run times are
 *   estimated; 0 if it isn't known
 * @tenant: name of the caller's tenant, empty for none; borrowed
 * @tenant_priority: rank of the tenant, which goes before @priority; the route's if it has none
 * @quota_paid: an earlier attempt of the request has used up the tenant's quota
 * @is_repeat: a second run beside the first one, which is late
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
  guint64 route_class;
  anvil_str_t tenant;
  guint tenant_priority;
  gboolean quota_paid;
  gboolean is_repeat;
} anvil_task_t;

/**
 * anvil_slot_grant_t - the slot assigned to a task
 * @upstream: key of the upstream
 * @upstream_id: id of the upstream; borrowed
 * @zone: availability zone of the upstream; borrowed
 * @address: IPv4 in host order
 * @port: TCP port
 * @started_at: start of its process, see anvil_upstream_report_t; 0 if unknown
 * @warm: the upstream is expected to be warm for the object
 * @row_version: anvil_registry_row_version() at the holder; set by the slot broker
 * @repeat_after: time after sending from which a second run may be requested, microseconds; 0 for
 *   never
 */
typedef struct
{
  guint64 upstream;
  anvil_str_t upstream_id;
  anvil_str_t zone;
  guint32 address;
  guint16 port;
  gint64 started_at;
  gboolean warm;
  anvil_store_position_t row_version;
  anvil_time_t repeat_after;
} anvil_slot_grant_t;

/**
 * anvil_run_result_t - outcome of a run, the use of one granted slot; a relay calls it an attempt
 * @ANVIL_RUN_ANSWERED: a complete response that reports no fault of the upstream
 * @ANVIL_RUN_FAILED: the upstream responded with an error, or with a status that says that the
 *   request has not run without confirming it
 * @ANVIL_RUN_SHED: the upstream refused the request without running it
 * @ANVIL_RUN_CONNECT_FAILED: the upstream didn't accept the connection, nothing was sent
 * @ANVIL_RUN_INTERRUPTED: the request was sent, but no complete response arrived
 * @ANVIL_RUN_UNUSED: the requester returned the slot unused, for reasons of its own
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
 * @duration: from the first byte sent to the last received, microseconds; 0 if unknown
 * @still_running: the requester gave up, but the upstream may still be running it
 * @request_limit: what the response says about the upstream's request limit
 * @speed: how long work took on the upstream's VM as the response says, percent of the usual time;
 *   0 if it doesn't say
 */
typedef struct
{
  anvil_run_result_t result;
  anvil_time_t duration;
  gboolean still_running;
  anvil_request_limit_t request_limit;
  guint speed;
} anvil_run_report_t;

/**
 * anvil_dispatcher_limits_t - limits on all entries together
 *
 * A service may have @retry_ratio * requests + @retry_extra retries in a window.
 * A cold upstream may get @cold_factor * cold_per_second + @cold_extra requests a
 * second; see anvil_service_t.
 *
 * @retry_window: length of the window, microseconds
 * @max_shift: largest share of a region's requests that may move to another region from one
 *   second to the next
 * @quota_window: length of the window in which a tenant's quota is judged, microseconds; 0 for no
 *   quotas
 * @quota_overage: share by which a quota may be exceeded in a window
 * @quota_slack: requests by which it may be exceeded beyond that
 * @repeat_share: most second runs for late first runs, as a share of first runs; 0 for none
 */
typedef struct
{
  gdouble retry_ratio;
  gdouble retry_extra;
  anvil_time_t retry_window;
  gdouble cold_factor;
  gdouble cold_extra;
  gdouble max_shift;
  anvil_time_t quota_window;
  gdouble quota_overage;
  gdouble quota_slack;
  gdouble repeat_share;
} anvil_dispatcher_limits_t;

/**
 * anvil_dispatcher_callbacks_t - decisions
 * @grant: the task may be sent; its end is reported by anvil_dispatcher_run_finished()
 * @refuse: the task is refused and removed
 */
typedef struct
{
  void (*grant) (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant);
  void (*refuse) (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused);
} anvil_dispatcher_callbacks_t;

typedef struct anvil_dispatcher anvil_dispatcher_t;

anvil_dispatcher_t *anvil_dispatcher_new (const anvil_dispatcher_limits_t *limits,
                                          const anvil_dispatcher_callbacks_t *callbacks,
                                          void *context);
void anvil_dispatcher_drop (anvil_dispatcher_t *dispatcher);

void anvil_dispatcher_set_limits (anvil_dispatcher_t *dispatcher,
                                  const anvil_dispatcher_limits_t *limits);

/** anvil_dispatcher_set_service - sets the limits of its cold upstreams */
void anvil_dispatcher_set_service (anvil_dispatcher_t *dispatcher, const anvil_service_t *service);

/**
 * anvil_dispatcher_set_repeat_share - sets the share of second runs of a class of routes
 * @route_class: see anvil_task_t
 * @share: see anvil_dispatcher_limits_t, whose share still bounds it; of several for one class the
 *   least counts
 */
void anvil_dispatcher_set_repeat_share (anvil_dispatcher_t *dispatcher,
                                        anvil_str_t service,
                                        guint64 route_class,
                                        gdouble share);

/** anvil_dispatcher_clear_repeat_shares - removes the shares of all classes, before those of a new
 * configuration are set */
void anvil_dispatcher_clear_repeat_shares (anvil_dispatcher_t *dispatcher);

/** anvil_dispatcher_set_divided - whether another entry may hold the same services at this time,
 * unreachable from here; request limits of upstreams are then shared with it */
void anvil_dispatcher_set_divided (anvil_dispatcher_t *dispatcher, gboolean divided);

/**
 * anvil_dispatcher_set_knows_peers - whether it is known which other entries may grant slots
 *
 * While it isn't, nothing is granted that all entries share: no slot of a cold
 * upstream or of one with a request limit, and no retry. Tasks for such upstreams
 * wait. TRUE for a new dispatcher.
 */
void anvil_dispatcher_set_knows_peers (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       gboolean knows_peers);

/** anvil_dispatcher_hold_service - this entry has become the holder of a service: another one may
 * have used the limits of its cold upstreams up to now */
void anvil_dispatcher_hold_service (anvil_dispatcher_t *dispatcher,
                                    anvil_time_t now,
                                    anvil_str_t service);

/** anvil_dispatcher_set_region_rtt - sets the round trip between regions, microseconds */
void anvil_dispatcher_set_region_rtt (anvil_dispatcher_t *dispatcher, anvil_time_t region_rtt);

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

/** anvil_dispatcher_remove_upstream - stops granting its slots; running tasks continue */
void anvil_dispatcher_remove_upstream (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       guint64 upstream);

/**
 * anvil_dispatcher_submit - requests a slot for a task
 *
 * Exactly one of the callbacks grant and refuse follows, during this call or
 * later, unless the task is cancelled or its requester is lost. If a running task
 * is submitted again, the grant of its slot is repeated, since it may have been
 * lost.
 */
void anvil_dispatcher_submit (anvil_dispatcher_t *dispatcher,
                              anvil_time_t now,
                              const anvil_task_t *task);

/**
 * anvil_dispatcher_adopt - adds a running task that a previous holder granted
 *
 * Its slot counts as used, and its upstream as warm for its object.
 */
void anvil_dispatcher_adopt (anvil_dispatcher_t *dispatcher,
                             anvil_time_t now,
                             const anvil_task_t *task,
                             guint64 upstream);

/**
 * anvil_dispatcher_add_warm_object - another entry reports that an upstream is warm for an object
 *
 * It never replaces what this dispatcher has observed itself.
 */
void anvil_dispatcher_add_warm_object (anvil_dispatcher_t *dispatcher,
                                       anvil_time_t now,
                                       anvil_str_t service,
                                       guint64 object,
                                       guint64 upstream);

/**
 * anvil_dispatcher_list_warm_objects - lists the objects that upstreams of a service are warm for
 * @visit: called for each pair of object and upstream; not for first runs that are still going on
 */
void
anvil_dispatcher_list_warm_objects (const anvil_dispatcher_t *dispatcher,
                                    anvil_str_t service,
                                    void (*visit) (void *context, guint64 object, guint64 upstream),
                                    void *context);

/**
 * anvil_dispatcher_add_request_limit - an upstream named a request limit to another entry
 * @named_at: when it did, on this entry's clock
 *
 * Does nothing if a limit was named to this dispatcher later.
 */
void anvil_dispatcher_add_request_limit (anvil_dispatcher_t *dispatcher,
                                         anvil_time_t now,
                                         guint64 upstream,
                                         gdouble per_second,
                                         anvil_time_t named_at);

/**
 * anvil_dispatcher_pause_upstream - an upstream wants no requests of an entry for a time
 * @started_at: start of the process that said so, see anvil_upstream_report_t; 0 if unknown
 * @requester: that entry
 * @until: end of the pause on this entry's clock; a shorter pause doesn't end a longer one
 *
 * The slots of the upstream stay those of other entries. A task that could only wait for the end of
 * pauses beyond its deadline is refused at once.
 */
void anvil_dispatcher_pause_upstream (anvil_dispatcher_t *dispatcher,
                                      anvil_time_t now,
                                      guint64 upstream,
                                      gint64 started_at,
                                      anvil_node_t requester,
                                      anvil_time_t until);

/**
 * anvil_dispatcher_list_retry_counts - attempts of a service that count for the retry budget
 *
 * The first item is what this dispatcher counted, with an origin of 0, unless that is nothing; the
 * others are what anvil_dispatcher_add_retry_counts() added.
 *
 * Return: number of items, 0 if nothing was counted in the window.
 */
guint anvil_dispatcher_list_retry_counts (anvil_dispatcher_t *dispatcher,
                                          anvil_time_t now,
                                          anvil_str_t service,
                                          anvil_retry_counts_t counts[ANVIL_MAX_RETRY_ORIGINS]);

/** anvil_dispatcher_add_retry_counts - adds what another holder counted, in place of what is known
 * of it unless that is newer; FALSE if it is left out, as there are too many holders */
gboolean anvil_dispatcher_add_retry_counts (anvil_dispatcher_t *dispatcher,
                                            anvil_time_t now,
                                            anvil_str_t service,
                                            const anvil_retry_counts_t *counts);

/**
 * anvil_dispatcher_work_t - what the dispatcher has done since its start
 * @n_submitted: tasks submitted
 * @n_repeated: tasks submitted again by requesters that got no answer
 * @n_finished: ends of runs reported
 * @n_compared: pairs of a queued task and an upstream with a free slot that were compared
 */
typedef struct
{
  guint64 n_submitted;
  guint64 n_repeated;
  guint64 n_finished;
  guint64 n_compared;
} anvil_dispatcher_work_t;

/** anvil_dispatcher_work - borrowed */
const anvil_dispatcher_work_t *anvil_dispatcher_work (const anvil_dispatcher_t *dispatcher);

/** anvil_dispatcher_has_task - whether a task is queued or running */
gboolean anvil_dispatcher_has_task (const anvil_dispatcher_t *dispatcher, anvil_task_id_t id);

/** anvil_dispatcher_cancel - removes a queued task; does nothing to a granted one */
void anvil_dispatcher_cancel (anvil_dispatcher_t *dispatcher, anvil_time_t now, anvil_task_id_t id);

/** anvil_dispatcher_run_finished - reports how a granted task ended; unknown tasks are ignored */
void anvil_dispatcher_run_finished (anvil_dispatcher_t *dispatcher,
                                    anvil_time_t now,
                                    anvil_task_id_t id,
                                    const anvil_run_report_t *report);

/** anvil_dispatcher_requester_lost - removes the queued tasks of an entry that is gone */
void anvil_dispatcher_requester_lost (anvil_dispatcher_t *dispatcher,
                                      anvil_time_t now,
                                      anvil_node_t requester);

/* Interval at which anvil_dispatcher_tick() must be called. */
#define ANVIL_DISPATCHER_TICK_INTERVAL (50 * ANVIL_MS)

/** anvil_dispatcher_tick - applies timeouts and grants slots that have become free with time */
void anvil_dispatcher_tick (anvil_dispatcher_t *dispatcher, anvil_time_t now);

/**
 * anvil_dispatcher_status_t - load of one service
 * @upstreams: registered upstreams
 * @slots: slots of the upstreams that accept requests
 * @running: granted tasks that have not finished
 * @waiting: queued tasks
 * @limited: upstreams with a request limit
 * @usable_slots: @slots, but counting only as many of an upstream as its request limit and the
 * speed of its VM can keep busy
 * @classes: classes of routes by which run times are estimated; see anvil_task_t
 */
typedef struct
{
  guint upstreams;
  guint slots;
  guint running;
  guint waiting;
  guint limited;
  gdouble usable_slots;
  guint classes;
} anvil_dispatcher_status_t;

/** anvil_dispatcher_status - FALSE if the service is unknown to this dispatcher */
gboolean anvil_dispatcher_status (const anvil_dispatcher_t *dispatcher,
                                  anvil_str_t service,
                                  anvil_dispatcher_status_t *status);
