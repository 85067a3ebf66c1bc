#pragma once

#include "anvil/tenants.h"
#include "relay/http-status.h"
#include "relay/pause-table.h"
#include "relay/quota-refusals.h"
#include "relay/relay-job.h"
#include "relay/request-limit-table.h"
#include "relay/route-split.h"
#include "relay/warm-object-table.h"

/* relay-job-new.c creates and frees jobs, relay-job-key.c checks the keys of callers, relay-job.c
 * requests slots, sends requests and retries, relay-job-response.c responds to callers,
 * relay-job-holder.c handles changes of holders, relay-job-shutdown.c ends jobs when the process
 * stops, relay-job-forward.c sends requests along with their slot requests, relay-job-repeat.c
 * starts second attempts beside late ones. */

/* During shutdown another entry can serve the caller at once. */
#define SHUTDOWN_RETRY_AFTER (20 * ANVIL_MS)

/**
 * job_state_t - progress of a job
 * @JOB_WAITING_FOR_SLOT: a slot was requested
 * @JOB_RUNNING: the request was sent to an upstream
 */
typedef enum
{
  JOB_WAITING_FOR_SLOT,
  JOB_RUNNING,
} job_state_t;

/**
 * job_repeat_state_t - progress of a second attempt
 * @JOB_REPEAT_NONE: there is none now
 * @JOB_REPEAT_REQUESTED: a slot was requested for it
 * @JOB_REPEAT_RUNNING: the request was sent
 */
typedef enum
{
  JOB_REPEAT_NONE,
  JOB_REPEAT_REQUESTED,
  JOB_REPEAT_RUNNING,
} job_repeat_state_t;

/**
 * job_repeat_t - second attempt of a job, beside a first one that is late
 * @excluded_by_route: the route has a share of 0; other limits are the holder's to enforce
 * @timer: requests a slot when the first attempt is late, or NULL
 * @after: time after sending at which the first attempt is late, microseconds
 * @possible: a second attempt could have begun; for metrics
 * @begun: a second attempt was sent
 * @won: its answer went to the caller
 * @task: what the slot is requested for; its texts are those of the job's task
 * @n_unanswered: how often the present request for a slot was sent
 */
typedef struct
{
  job_repeat_state_t state;
  gboolean excluded_by_route;
  struct event *timer;
  anvil_time_t after;
  gboolean possible;
  gboolean begun;
  gboolean won;
  anvil_task_t task;
  anvil_node_t holder;
  anvil_time_t requested_at;
  guint n_unanswered;
  anvil_time_t sent_at;
  guint64 upstream;
  char *upstream_id;
  gint64 upstream_started_at;
  anvil_relay_attempt_t *attempt;
} job_repeat_t;

/**
 * job_t - a caller's request that isn't answered yet
 * @task: what a slot is requested for; its texts are owned by the job or by the settings. Its
 * number is another one for each slot request, so that no grant, refusal or report is taken for
 * that of a later request
 * @route_regions: regions that the route allows, all if empty
 * @tenant: name of the tenant that the request counts for, or NULL
 * @is_public: its route needed no key when it arrived
 * @had_tenants: a configuration with tenants was in force at its start or when it was sent
 * @has_no_region: no region is allowed by both the route and the tenant
 * @holder: entry that the slot was requested from
 * @slot_requested_at: when the slot was requested last
 * @n_slot_requests: slot requests sent, repeated ones too
 * @n_unanswered: how often the present one was sent, or its withdrawal
 * @upstream: key of the upstream that the request was sent to last
 * @upstream_id: its id
 * @upstream_started_at: start of its process, as far as this entry or the holder knows
 * @sent_at: when the request was sent to it
 * @attempt: the exchange with the upstream, while the job is running
 * @repeat: second attempt beside it
 * @timer: ends the job at its deadline
 * @n_deadline_extensions: how often the deadline was extended to read what has arrived
 * @n_attempts: attempts so far, of any outcome
 * @unsent_attempts: attempts that failed before anything was sent
 * @may_have_run: an upstream may have run the request
 * @forwarded: the request went to the holder along with the slot request, and may be running
 * @withdrawing: the holder was asked not to run it if it doesn't yet
 * @holder_seen_at: when the holder was last reachable while @withdrawing
 * @saved_status: status of an upstream's failure response, which is passed on if no retry succeeds;
 *   or 0
 */
typedef struct
{
  anvil_relay_jobs_t *jobs;
  anvil_relay_request_t *request;
  job_state_t state;
  anvil_task_t task;
  char *service;
  char *route;
  char **route_regions;
  char *tenant;
  gboolean is_public;
  gboolean had_tenants;
  gboolean has_no_region;
  guint max_attempts;
  anvil_node_t holder;
  anvil_time_t slot_requested_at;
  guint n_slot_requests;
  guint n_unanswered;
  guint64 upstream;
  char *upstream_id;
  gint64 upstream_started_at;
  anvil_time_t sent_at;
  anvil_relay_attempt_t *attempt;
  job_repeat_t repeat;
  struct event *timer;
  guint n_deadline_extensions;
  guint n_attempts;
  guint unsent_attempts;
  gboolean may_have_run;
  gboolean forwarded;
  gboolean withdrawing;
  anvil_time_t holder_seen_at;
  guint saved_status;
  GString *saved_headers;
  struct evbuffer *saved_body;
} job_t;

struct anvil_relay_jobs
{
  anvil_relay_jobs_options_t options;
  const char *region;
  anvil_routes_t *routes;
  anvil_route_split_t *split;
  guint64 last_number;
  /* Bytes in the bodies of all saved responses. */
  gsize saved_bytes;
  /* When all jobs end, during shutdown; otherwise G_MAXINT64. */
  anvil_time_t stop_at;
  gboolean refusing_new;
  anvil_warm_object_table_t *warm_objects;
  anvil_request_limit_table_t *request_limits;
  anvil_pause_table_t *pauses;
  anvil_quota_refusals_t *quota_refusals;
  /* job_t by number. */
  GHashTable *jobs;
  /* job_t by the number of the task of its second attempt. */
  GHashTable *repeats;
};

/* Creates a job and starts its deadline timer; the caller requests the slot. */
job_t *
job_new (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request, const anvil_route_t *route);
void job_drop (job_t *job);

/* Sets the target and deadline of a task, such that the response reaches the caller within the
 * route's target latency, and within the caller's or the route's timeout. @timeout is the caller's,
 * or 0. */
void job_set_times (anvil_task_t *task,
                    const anvil_route_t *route,
                    anvil_time_t received_at,
                    anvil_time_t timeout);

/* Sets the tenant of a job, or none: its name, its priority, and the regions that both it and the
 * route allow. */
void job_set_tenant (job_t *job, const anvil_tenant_t *tenant);

/* The route of a request, or NULL. */
const anvil_route_t *jobs_match_route (const anvil_relay_jobs_t *jobs,
                                       const anvil_relay_request_t *request);

/* Refuses a request that has no job, because of its key. */
void jobs_refuse_for_key (anvil_relay_jobs_t *jobs,
                          anvil_relay_request_t *request,
                          const anvil_relay_refusal_t *refusal);

/* Looks up the tenant of a job again, which may have changed while it waited. Returns why the
 * request must not be sent, or NULL. */
const anvil_relay_refusal_t *job_renew_tenant (job_t *job);

/* Whether route and tenant allow the region of a zone. */
gboolean job_allows_zone (const job_t *job, anvil_str_t zone);

/* Ends a job that isn't sent because of its key, and frees it. */
void job_fail_for_key (job_t *job, const anvil_relay_refusal_t *refusal);

/* Call it before the request is sent, each time: drops the key and what the caller sent as its
 * tenant's name, and sets the name. Without tenants all headers stay. */
void job_set_key_headers (job_t *job);

void job_on_deadline (evutil_socket_t unused_fd, short unused_what, void *data);

/* Requests a slot from the service's holder, or ends the job if the request can't be sent any more
 * during shutdown. */
void job_request_slot (job_t *job);

/* Sends the last slot request again, since it or its answer may have been lost. */
void job_repeat_slot_request (job_t *job);

/* Tells a holder all that upstreams of a service said of themselves. */
void jobs_send_announcements (anvil_relay_jobs_t *jobs, const char *service, anvil_node_t holder);

/* Whether a request to a holder that was sent @n_unanswered times, or its answer, may have been
 * lost. */
gboolean jobs_answer_is_overdue (const anvil_relay_jobs_t *jobs,
                                 anvil_time_t now,
                                 anvil_node_t holder,
                                 anvil_time_t requested_at,
                                 guint n_unanswered);

/* Whether the request may run more than once. */
gboolean job_is_idempotent (const job_t *job);

/* Whether the request may be sent to an upstream, which it may not during shutdown if it could be
 * cut off. */
gboolean job_may_be_sent (const job_t *job);

/* Ends a job that waits for a slot, because the process stops. */
void job_fail_for_shutdown (job_t *job);

/* Whether one more attempt is allowed after one that may have run. */
gboolean job_may_retry (const job_t *job);

/* Acts on the outcome of an attempt whose slot has been released; may free the job. */
void job_take_outcome (job_t *job, const anvil_relay_attempt_outcome_t *outcome);

/* relay-job-forward.c */

/* Whether the request goes to the holder along with its slot request. */
gboolean job_may_be_forwarded (const job_t *job);
void job_forward (job_t *job);
/* Asks the holder of a forwarded request not to run it if it doesn't yet. */
void job_withdraw (job_t *job);
/* Cancels the slot request of a waiting job, and its run if it was forwarded. */
void job_cancel_slot_request (job_t *job);
/* Replaces the slot request of a waiting job, whose holder has changed or restarted. */
void job_request_slot_from_new_holder (job_t *job);

/* Ends the attempt of a running job. */
void job_cancel_attempt (job_t *job);

/* Sets the number by which grants, refusals and reports refer to the job. */
void job_set_number (job_t *job, guint64 number);

/* Adds an upstream to those that a task must not run on, in place of the oldest if there are too
 * many. */
void task_exclude_upstream (anvil_task_t *task, guint64 upstream);

/* Releases the slot of the job's attempt and tells its holder how it was used. */
void job_report_run (job_t *job, const anvil_run_report_t *report);

/* Sends the request to a granted upstream. */
anvil_relay_attempt_t *job_send (job_t *job,
                                 const anvil_slot_grant_t *grant,
                                 const char *upstream_id,
                                 anvil_relay_announced_cb_t announced,
                                 anvil_relay_attempt_cb_t done);

/* Handles the end of the job's attempt. */
void job_attempt_done (job_t *job, const anvil_relay_attempt_outcome_t *outcome);
void job_record_failed_attempt (const job_t *job,
                                const char *upstream_id,
                                guint attempt,
                                const anvil_relay_attempt_outcome_t *outcome);

/* Start of the newest process of a granted upstream that this entry or its holder knows. */
gint64 job_newest_start (const anvil_relay_jobs_t *jobs, const anvil_slot_grant_t *grant);

gboolean jobs_registry_is_fresh (const anvil_relay_jobs_t *jobs);

/* relay-job-repeat.c */

/* Requests a second attempt after a time since sending, see anvil_slot_grant_t. */
void job_repeat_start_timer (job_t *job, anvil_time_t repeat_after);
/* Starts no second attempt any more; one that is running goes on. */
void job_repeat_stop_timer (job_t *job);
/* Cancels the second attempt, if there is one; @lost if its holder counts it among those that
 * didn't win. */
void job_repeat_cancel (job_t *job, gboolean lost);
/* The first attempt was answered: cancels the second. */
void job_repeat_first_answered (job_t *job);
/* The first attempt failed: TRUE if the second goes on in its place. */
gboolean job_repeat_first_failed (job_t *job);
/* FALSE if the slot isn't used and must be returned to the entry that granted it. */
gboolean job_repeat_granted (anvil_relay_jobs_t *jobs,
                             guint64 number,
                             anvil_node_t from,
                             const anvil_slot_grant_t *grant);
/* FALSE if the number isn't that of a second attempt. */
gboolean job_repeat_refused (anvil_relay_jobs_t *jobs,
                             guint64 number,
                             const anvil_task_refusal_info_t *refused);
/* Tells a new holder of the second attempt. */
void job_repeat_adopt (job_t *job, anvil_node_t holder);
/* Repeats a request for a slot whose answer is overdue. */
void job_repeat_request_again (job_t *job, anvil_time_t now);
void job_repeat_drop (job_t *job);

typedef void (*job_visit_t) (job_t *job, gconstpointer data);

/* Visits all jobs; the visitor may end a job. */
void jobs_foreach (anvil_relay_jobs_t *jobs, job_visit_t visit, gconstpointer data);

/* Removes and frees a job whose request was answered. */
void job_remove (job_t *job);

/* The text, or "-" for NULL, for log lines. */
const char *text_or_dash (const char *text);

/* For how long it hasn't been sure that the configuration in force is the newest; -1 if it never
 * was.
 */
gint64 jobs_proof_age_ms (const anvil_relay_jobs_t *jobs);

/* Counts and logs the outcome of a request. @job is its job, or NULL if it has none. */
void job_record_outcome (anvil_relay_jobs_t *jobs,
                         const anvil_relay_request_t *request,
                         const job_t *job,
                         const char *outcome,
                         guint status,
                         const char *reason);

/* Sends an upstream's response to a request that ran to the caller, and frees the job. The caller
 * gets 502 instead of a status that promises the opposite. */
void job_pass_response (job_t *job, guint status, const GString *headers, struct evbuffer *body);

/* Ends a job whose request no upstream has run, and frees it: the caller may send it again. */
void job_refuse (job_t *job, guint status, const char *reason, anvil_time_t retry_after);

/* Ends a job without a further attempt, and frees it. The caller gets the saved response of an
 * upstream if there is one, otherwise a response that says whether the request may have run. */
void job_fail (job_t *job, guint status, const char *reason, anvil_time_t retry_after);

/* Saves an upstream's failure response, which is passed on if no retry succeeds. It may be dropped
 * while it waits, see anvil_relay_jobs_options_t. */
void job_save_response (job_t *job, const anvil_relay_attempt_outcome_t *outcome);
void job_drop_saved_response (job_t *job);

/* Refuses a request that has no job. */
void job_refuse_request (anvil_relay_jobs_t *jobs,
                         anvil_relay_request_t *request,
                         guint status,
                         const char *reason,
                         anvil_time_t retry_after);
