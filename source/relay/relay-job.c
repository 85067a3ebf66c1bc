#include "relay/relay-job-internal.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/relay-watch.h"
#include "steer/holder-pressure.h"

/* Attempts per request that may fail before anything was sent; these don't count as attempts of the
 * route. */
#define MAX_UNSENT_ATTEMPTS 6
/* When the deadline passes, the response may have arrived without having been read, especially if
 * the process was suspended. The event loop gets this time to read it, and as much again while
 * bytes remain unread, up to the maximum: an upstream may send without end. */
#define DEADLINE_EXTENSION (1 * ANVIL_MS)
#define MAX_DEADLINE_EXTENSIONS 20
#define NOT_READY_RETRY_AFTER (500 * ANVIL_MS)

anvil_relay_jobs_t *
anvil_relay_jobs_new (const anvil_relay_jobs_options_t *options)
{
  anvil_relay_jobs_t *jobs = g_new0 (anvil_relay_jobs_t, 1);

  jobs->options = *options;
  jobs->region = anvil_relay_settings_region (options->settings, options->settings->zone);
  jobs->stop_at = G_MAXINT64;
  jobs->split = anvil_route_split_new ();
  jobs->warm_objects = anvil_warm_object_table_new ();
  jobs->request_limits = anvil_request_limit_table_new ();
  jobs->pauses = anvil_pause_table_new ();
  jobs->quota_refusals = anvil_quota_refusals_new ();
  /* Starts at a random number, since holders may still have task numbers from before a restart. */
  jobs->last_number = ((guint64) g_random_int () << 32) | g_random_int ();
  jobs->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  jobs->repeats = g_hash_table_new (g_int64_hash, g_int64_equal);
  return jobs;
}

void
job_remove (job_t *job)
{
  g_hash_table_remove (job->jobs->jobs, &job->task.id.number);
  job_drop (job);
}

void
anvil_relay_jobs_drop (anvil_relay_jobs_t *jobs)
{
  GHashTableIter iter;
  gpointer value;

  if (jobs == NULL)
    return;
  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      if (job->attempt != NULL)
        anvil_relay_attempt_cancel (job->attempt);
      job_repeat_cancel (job, FALSE);
      job_record_outcome (jobs, job->request, job, "cut", 0, "stopped");
      job->request->handler_data = NULL;
      job_drop (job);
    }
  g_hash_table_unref (jobs->jobs);
  g_hash_table_unref (jobs->repeats);
  anvil_route_split_drop (jobs->split);
  anvil_warm_object_table_drop (jobs->warm_objects);
  anvil_request_limit_table_drop (jobs->request_limits);
  anvil_pause_table_drop (jobs->pauses);
  anvil_quota_refusals_drop (jobs->quota_refusals);
  anvil_routes_drop (jobs->routes);
  g_free (jobs);
}

void
anvil_relay_jobs_set_routes (anvil_relay_jobs_t *jobs, anvil_routes_t *routes)
{
  anvil_routes_drop (jobs->routes);
  jobs->routes = anvil_routes_keep (routes);
  anvil_route_split_limit (jobs->split, anvil_routes_count (routes));
}

const anvil_routes_t *
anvil_relay_jobs_routes (const anvil_relay_jobs_t *jobs)
{
  return jobs->routes;
}

void
anvil_relay_jobs_upstream_ended (anvil_relay_jobs_t *jobs, guint64 upstream)
{
  anvil_request_limit_table_remove (jobs->request_limits, upstream);
}

guint
anvil_relay_jobs_count_request_limits (const anvil_relay_jobs_t *jobs)
{
  return anvil_request_limit_table_count (jobs->request_limits);
}

guint
anvil_relay_jobs_count_pauses (const anvil_relay_jobs_t *jobs)
{
  return anvil_pause_table_count (jobs->pauses, anvil_clock_now ());
}

void
anvil_relay_jobs_update_quota_metrics (anvil_relay_jobs_t *jobs)
{
  anvil_quota_refusals_publish (jobs->quota_refusals, jobs->options.metrics);
}

gsize
anvil_relay_jobs_saved_bytes (const anvil_relay_jobs_t *jobs)
{
  return jobs->saved_bytes;
}

guint
anvil_relay_jobs_count (const anvil_relay_jobs_t *jobs)
{
  return g_hash_table_size (jobs->jobs);
}

guint64
anvil_relay_jobs_new_number (anvil_relay_jobs_t *jobs)
{
  return ++jobs->last_number;
}

void
job_set_number (job_t *job, guint64 number)
{
  GHashTable *table = job->jobs->jobs;

  g_hash_table_remove (table, &job->task.id.number);
  job->task.id.number = number;
  g_hash_table_insert (table, &job->task.id.number, job);
}

/* Messages about earlier slot requests of the job don't find it from now on. */
static void
renew_number (job_t *job)
{
  job_set_number (job, anvil_relay_jobs_new_number (job->jobs));
  job->n_unanswered = 0;
}

void
job_repeat_slot_request (job_t *job)
{
  if (!job->forwarded && !job_may_be_sent (job))
    {
      job_fail_for_shutdown (job);
      return;
    }
  job->slot_requested_at = anvil_clock_now ();
  job->n_slot_requests++;
  job->n_unanswered++;
  anvil_slot_broker_request_slot (job->jobs->options.slot_broker, job->holder, &job->task);
}

void
job_request_slot (job_t *job)
{
  const anvil_relay_refusal_t *refusal;

  renew_number (job);
  job->task.is_repeat = FALSE;
  job->state = JOB_WAITING_FOR_SLOT;
  job->forwarded = FALSE;
  job->withdrawing = FALSE;
  job->holder = anvil_slot_broker_holder (job->jobs->options.slot_broker, job->service);
  if (!job_may_be_sent (job) || !job_may_be_forwarded (job))
    {
      job_repeat_slot_request (job);
      return;
    }
  refusal = job_renew_tenant (job);
  if (refusal != NULL)
    {
      job_fail_for_key (job, refusal);
      return;
    }
  job->slot_requested_at = anvil_clock_now ();
  job->n_slot_requests++;
  job->n_unanswered++;
  job_forward (job);
}

void
task_exclude_upstream (anvil_task_t *task, guint64 upstream)
{
  if (task->n_excluded == ANVIL_MAX_EXCLUDED_UPSTREAMS)
    memmove (task->excluded, task->excluded + 1, (--task->n_excluded) * sizeof *task->excluded);
  task->excluded[task->n_excluded++] = upstream;
}

void
job_report_run (job_t *job, const anvil_run_report_t *report)
{
  anvil_slot_broker_run_finished (job->jobs->options.slot_broker, job->holder, job->task.id.number,
                                  report);
}

gboolean
job_is_idempotent (const job_t *job)
{
  return job->task.kind == ANVIL_ROUTE_SAFE;
}

void
job_cancel_attempt (job_t *job)
{
  job_repeat_cancel (job, TRUE);
  job->may_have_run |= anvil_relay_attempt_cancel (g_steal_pointer (&job->attempt));
  job_report_run (job, &(anvil_run_report_t){ .result = ANVIL_RUN_INTERRUPTED });
}

void
job_on_deadline (evutil_socket_t unused_fd, short unused_what, void *data)
{
  job_t *job = data;

  if (job->state == JOB_WAITING_FOR_SLOT)
    {
      job_cancel_slot_request (job);
      job_fail (job, STATUS_GATEWAY_TIMEOUT, "no-slot-in-time", 0);
      return;
    }
  if (job->n_deadline_extensions == 0
      || (job->n_deadline_extensions < MAX_DEADLINE_EXTENSIONS
          && (anvil_relay_attempt_has_unread_bytes (job->attempt)
              || (job->repeat.attempt != NULL
                  && anvil_relay_attempt_has_unread_bytes (job->repeat.attempt)))))
    {
      const struct timeval extension = { .tv_usec = DEADLINE_EXTENSION };

      job->n_deadline_extensions++;
      evtimer_add (job->timer, &extension);
      return;
    }
  job_cancel_attempt (job);
  job_fail (job, STATUS_GATEWAY_TIMEOUT, "no-answer-in-time", 0);
}

gboolean
job_may_retry (const job_t *job)
{
  return job->request->connection != NULL && job->task.attempt < job->max_attempts
         && anvil_clock_now () < job->task.deadline;
}

/* Nothing was sent, so this doesn't count as an attempt. */
static void
retry_unsent (job_t *job, const char *reason)
{
  if (job->unsent_attempts++ < MAX_UNSENT_ATTEMPTS && anvil_clock_now () < job->task.deadline)
    job_request_slot (job);
  else
    job_fail (job, STATUS_BAD_GATEWAY, reason, NOT_READY_RETRY_AFTER);
}

void
job_record_failed_attempt (const job_t *job,
                           const char *upstream_id,
                           guint attempt,
                           const anvil_relay_attempt_outcome_t *outcome)
{
  const anvil_relay_response_t *response = &outcome->response;

  anvil_log (ANVIL_LOG_INFO, "request",
             "attempt failed request=%s upstream=%s attempt=%u status=%u marker=%d not_run=%d "
             "id=%d responder=%s connection_reused=%d reason=\"%s\" "
             "took_ms=%" G_GINT64_FORMAT,
             text_or_dash (job->request->id), upstream_id, attempt, response->status,
             response->has_marker, response->not_run, response->has_id,
             text_or_dash (response->upstream_id), response->connection_reused,
             text_or_dash (outcome->reason), outcome->duration / ANVIL_MS);
  if (anvil_http_status_is_promise (response->status) && outcome->result != ANVIL_RUN_SHED
      && !outcome->misdirected)
    anvil_metrics_add_counter (job->jobs->options.metrics, "anvil_unconfirmed_rejections_total", "",
                               1);
}

/* Keeps what the upstream said; FALSE if all of it was known. */
static gboolean
keep_announcement (anvil_relay_jobs_t *jobs,
                   const char *service,
                   guint64 upstream,
                   gint64 started_at,
                   const anvil_announcement_t *announcement)
{
  const anvil_relay_jobs_options_t *options = &jobs->options;
  const anvil_time_t now = anvil_clock_now ();
  gboolean is_new = FALSE;

  if (announcement->leaving)
    is_new = options->upstream_leaving (options->context, service, upstream, started_at);
  if (announcement->pause > 0)
    is_new |= anvil_pause_table_add (jobs->pauses, now, service, upstream, started_at,
                                     now + announcement->pause);
  return is_new;
}

void
anvil_relay_jobs_announced (anvil_relay_jobs_t *jobs,
                            const char *service,
                            guint64 upstream,
                            gint64 started_at,
                            const anvil_announcement_t *announcement)
{
  anvil_slot_broker_t *broker = jobs->options.slot_broker;
  const anvil_named_announcement_t item
      = { .upstream = upstream, .started_at = started_at, .announcement = *announcement };
  const anvil_registered_upstream_t *registered
      = anvil_registry_lookup (jobs->options.registry, upstream);

  if (!keep_announcement (jobs, service, upstream, started_at, announcement))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "request",
             "upstream wants no more requests upstream=%s service=%s leaving=%d "
             "pause_ms=%" G_GINT64_FORMAT " started_at=%" G_GINT64_FORMAT,
             registered != NULL ? registered->id : "-", service, announcement->leaving,
             announcement->pause / ANVIL_MS, started_at);
  anvil_slot_broker_send_announcements (broker, anvil_slot_broker_holder (broker, service), service,
                                        &item, 1);
}

void
anvil_relay_jobs_record_limit (anvil_relay_jobs_t *jobs,
                               guint64 upstream,
                               const char *upstream_id,
                               const anvil_request_limit_t *limit)
{
  const anvil_registered_upstream_t *registered
      = anvil_registry_lookup (jobs->options.registry, upstream);

  if (registered != NULL)
    anvil_request_limit_table_record (jobs->request_limits, anvil_clock_now (), registered->service,
                                      upstream, upstream_id, limit);
}

static void
on_announced (void *context, const anvil_announcement_t *announcement)
{
  job_t *job = context;

  anvil_relay_jobs_announced (job->jobs, job->service, job->upstream, job->upstream_started_at,
                              announcement);
}

/* Whether a second attempt is running in whose outcome the job ends, now that the first failed. */
static gboolean
job_goes_on_with_second (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  if (!job_repeat_first_failed (job))
    return FALSE;
  if (outcome->result == ANVIL_RUN_FAILED)
    job_save_response (job, outcome);
  if (outcome->result == ANVIL_RUN_FAILED || outcome->result == ANVIL_RUN_INTERRUPTED)
    job->may_have_run = TRUE;
  return TRUE;
}

void
job_attempt_done (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  job->attempt = NULL;
  anvil_request_limit_table_record (job->jobs->request_limits, anvil_clock_now (), job->service,
                                    job->upstream, job->upstream_id, &outcome->request_limit);
  job_report_run (job, &(anvil_run_report_t){ .result = anvil_relay_outcome_result (outcome),
                                              .duration = outcome->duration,
                                              .request_limit = outcome->request_limit,
                                              .speed = outcome->speed });
  job_take_outcome (job, outcome);
}

void
job_take_outcome (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  if (outcome->result != ANVIL_RUN_ANSWERED)
    {
      job_record_failed_attempt (job, job->upstream_id, job->task.attempt, outcome);
      task_exclude_upstream (&job->task, job->upstream);
    }
  if (outcome->result != ANVIL_RUN_ANSWERED && job_goes_on_with_second (job, outcome))
    return;
  switch (outcome->result)
    {
    case ANVIL_RUN_ANSWERED:
      job_repeat_first_answered (job);
      anvil_warm_object_table_add (job->jobs->warm_objects, anvil_clock_now (), job->service,
                                   job->task.object, job->upstream);
      job_pass_response (job, outcome->status, outcome->headers, outcome->body);
      return;
    case ANVIL_RUN_FAILED:
      job->may_have_run = TRUE;
      if (!job_is_idempotent (job) || !job_may_retry (job))
        {
          job_pass_response (job, outcome->status, outcome->headers, outcome->body);
          return;
        }
      job_save_response (job, outcome);
      break;
    case ANVIL_RUN_CONNECT_FAILED:
      retry_unsent (job, "no-upstream-reached");
      return;
    case ANVIL_RUN_SHED:
      if (!job_may_retry (job))
        {
          job_fail (job, STATUS_BAD_GATEWAY, "upstream-full", NOT_READY_RETRY_AFTER);
          return;
        }
      break;
    case ANVIL_RUN_INTERRUPTED:
    case ANVIL_RUN_UNUSED:
      job->may_have_run = TRUE;
      if (!job_is_idempotent (job) || !job_may_retry (job))
        {
          job_fail (job, STATUS_BAD_GATEWAY, "upstream-broke-off", 0);
          return;
        }
      break;
    }
  job->task.attempt++;
  job_request_slot (job);
}

static void
on_attempt_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  job_attempt_done (context, outcome);
}

gboolean
jobs_registry_is_fresh (const anvil_relay_jobs_t *jobs)
{
  anvil_time_t read_at = jobs->options.upstreams_read_at (jobs->options.context);

  return read_at == G_MAXINT64 || anvil_clock_now () - read_at <= ANVIL_RELAY_MAX_REGISTRY_AGE;
}

/* Time since upstreams were read, -1 while the store doesn't answer. */
static gint64
registry_age_ms (const anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  anvil_time_t read_at = jobs->options.upstreams_read_at (jobs->options.context);

  return read_at == G_MAXINT64 ? -1 : (now - read_at) / ANVIL_MS;
}

gint64
job_newest_start (const anvil_relay_jobs_t *jobs, const anvil_slot_grant_t *grant)
{
  const anvil_registered_upstream_t *registered
      = anvil_registry_lookup (jobs->options.registry, grant->upstream);

  return registered != NULL ? MAX (registered->started_at, grant->started_at) : grant->started_at;
}

anvil_relay_attempt_t *
job_send (job_t *job,
          const anvil_slot_grant_t *grant,
          const char *upstream_id,
          anvil_relay_announced_cb_t announced,
          anvil_relay_attempt_cb_t done)
{
  const anvil_relay_request_t *request = job->request;

  return anvil_relay_attempt_start (job->jobs->options.upstream_pool,
                                    &(anvil_relay_upstream_request_t){
                                        .upstream_key = grant->upstream,
                                        .upstream_id = upstream_id,
                                        .address = grant->address,
                                        .port = grant->port,
                                        .started_at = job_newest_start (job->jobs, grant),
                                        .method = request->method,
                                        .target = request->target,
                                        .headers = request->headers,
                                        .body = request->body,
                                        .id = request->id,
                                        .idempotent = job_is_idempotent (job),
                                        .timeout = job->task.deadline - anvil_clock_now (),
                                        .announced = announced,
                                    },
                                    done, job);
}

static void
start_attempt (job_t *job, const anvil_slot_grant_t *grant)
{
  anvil_relay_jobs_t *jobs = job->jobs;
  const anvil_relay_request_t *request = job->request;
  anvil_time_t now = anvil_clock_now ();

  g_free (job->upstream_id);
  job->upstream_id = anvil_str_dup (grant->upstream_id);
  job->upstream = grant->upstream;
  job->upstream_started_at = job_newest_start (jobs, grant);
  job->state = JOB_RUNNING;
  job->n_attempts++;
  job->sent_at = now;
  job->attempt = job_send (job, grant, job->upstream_id, on_announced, on_attempt_done);
  job_repeat_start_timer (job, grant->repeat_after);
  anvil_log (ANVIL_LOG_INFO, "request",
             "sent request=%s route=%s service=%s object=%" G_GINT64_MODIFIER
             "x holder=%s upstream=%s zone=%.*s warm=%d attempt=%u "
             "waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
             " registry_age_ms=%" G_GINT64_FORMAT " tenant=%s proof_age_ms=%" G_GINT64_FORMAT,
             text_or_dash (request->id), job->route, job->service, job->task.object,
             anvil_slot_broker_vm_name (jobs->options.slot_broker, job->holder), job->upstream_id,
             ANVIL_STR_ARGS (grant->zone), grant->warm, job->task.attempt,
             (now - request->received_at) / ANVIL_MS, (job->task.deadline - now) / ANVIL_MS,
             registry_age_ms (jobs, now), text_or_dash (job->tenant), jobs_proof_age_ms (jobs));
}

/* A holder that was asked to withdraw a request may have granted a slot before. */
static void
report_to_present_holder (job_t *job)
{
  anvil_slot_broker_t *broker = job->jobs->options.slot_broker;
  const anvil_node_t holder = anvil_slot_broker_holder (broker, job->service);

  if (holder == job->holder)
    return;
  job->holder = holder;
  anvil_slot_broker_adopt (broker, holder, &job->task, job->upstream);
}

static job_t *
lookup (const anvil_relay_jobs_t *jobs, guint64 number)
{
  return g_hash_table_lookup (jobs->jobs, &number);
}

static void
release_slot (anvil_relay_jobs_t *jobs, anvil_node_t holder, guint64 number)
{
  const anvil_run_report_t unused = { .result = ANVIL_RUN_UNUSED };

  anvil_slot_broker_run_finished (jobs->options.slot_broker, holder, number, &unused);
}

/* Why this entry sends nothing to a process of an upstream now, whatever the registry has of it, or
 * NULL. */
static const char *
reason_to_wait (const anvil_relay_jobs_t *jobs, guint64 upstream, gint64 started_at)
{
  if (!jobs_registry_is_fresh (jobs))
    return "registry-too-old";
  if (anvil_pause_table_remaining (jobs->pauses, anvil_clock_now (), upstream, started_at) > 0)
    return "paused";
  return NULL;
}

const char *
anvil_relay_jobs_reason_not_to_use (const anvil_relay_jobs_t *jobs, const anvil_slot_grant_t *grant)
{
  const anvil_relay_jobs_options_t *options = &jobs->options;
  const char *reason = reason_to_wait (jobs, grant->upstream, job_newest_start (jobs, grant));

  if (reason != NULL)
    return reason;
  return anvil_registry_reason_not_to_use (options->registry, grant->upstream, grant->zone,
                                           grant->started_at, grant->row_version,
                                           options->store_ok_for (options->context));
}

const char *
anvil_relay_jobs_reason_to_withhold (const anvil_relay_jobs_t *jobs,
                                     guint64 upstream,
                                     gint64 started_at)
{
  const char *reason = reason_to_wait (jobs, upstream, started_at);

  if (reason != NULL)
    return reason;
  return anvil_registry_reason_to_withhold (jobs->options.registry, upstream, started_at);
}

void
anvil_relay_jobs_granted (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_slot_grant_t *grant)
{
  job_t *job = lookup (jobs, number);
  const anvil_relay_refusal_t *refusal;
  const char *reason;

  if (job == NULL)
    {
      if (!job_repeat_granted (jobs, number, from, grant))
        release_slot (jobs, from, number);
      return;
    }
  if (job->state != JOB_WAITING_FOR_SLOT)
    {
      /* A holder repeats its grant if the slot was requested twice, and a former one may still send
       * its own. */
      if (from != job->holder)
        release_slot (jobs, from, number);
      return;
    }
  job->forwarded = FALSE;
  /* The holder took a token of the tenant's quota, which holds for later attempts too. */
  job->task.quota_paid = TRUE;
  if (!jobs_registry_is_fresh (jobs))
    {
      /* The tick requests a slot again; until then the registry may have been read. */
      release_slot (jobs, from, number);
      renew_number (job);
      return;
    }
  /* Only a forwarded request still waits then. */
  if (!job_may_be_sent (job))
    {
      release_slot (jobs, from, number);
      job_fail_for_shutdown (job);
      return;
    }
  refusal = job_renew_tenant (job);
  if (refusal != NULL)
    {
      release_slot (jobs, from, number);
      job_fail_for_key (job, refusal);
      return;
    }
  reason = anvil_relay_jobs_reason_not_to_use (jobs, grant);
  if (reason == NULL && !job_allows_zone (job, grant->zone))
    reason = "region-not-allowed";
  if (reason == NULL)
    {
      job_set_key_headers (job);
      start_attempt (job, grant);
      report_to_present_holder (job);
      return;
    }
  anvil_log (ANVIL_LOG_INFO, "request",
             "granted slot not used request=%s upstream=%.*s reason=%s "
             "version=" ANVIL_STORE_POSITION_FORMAT " holder_version=" ANVIL_STORE_POSITION_FORMAT,
             text_or_dash (job->request->id), ANVIL_STR_ARGS (grant->upstream_id), reason,
             ANVIL_STORE_POSITION_ARGS (anvil_registry_version (jobs->options.registry)),
             ANVIL_STORE_POSITION_ARGS (grant->row_version));
  /* The holder may not have received what was known here. */
  jobs_send_announcements (jobs, job->service, from);
  release_slot (jobs, from, number);
  task_exclude_upstream (&job->task, grant->upstream);
  if (job->has_no_region)
    job_fail (job, STATUS_BAD_GATEWAY, "no-allowed-region", NOT_READY_RETRY_AFTER);
  else
    retry_unsent (job, "no-upstream");
}

void
anvil_relay_jobs_refused (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_task_refusal_info_t *refused)
{
  job_t *job = lookup (jobs, number);

  if (job_repeat_refused (jobs, number, refused) || job == NULL
      || job->state != JOB_WAITING_FOR_SLOT)
    return;
  /* The present holder may have room. */
  if (job->withdrawing)
    {
      job_request_slot (job);
      return;
    }
  anvil_log (
      ANVIL_LOG_INFO, "request",
      "slot refused request=%s service=%s holder=%s reason=%s attempt=%u waiting=%u running=%u "
      "slots=%u left_ms=%" G_GINT64_FORMAT " come_back_ms=%" G_GINT64_FORMAT
      " tenant=%s rank=%u priority=%u class=%016" G_GINT64_MODIFIER "x",
      text_or_dash (job->request->id), job->service,
      anvil_slot_broker_vm_name (jobs->options.slot_broker, from),
      anvil_task_refusal_reason_name (refused->reason), job->task.attempt, refused->waiting,
      refused->running, refused->slots, (job->task.deadline - anvil_clock_now ()) / ANVIL_MS,
      refused->retry_after / ANVIL_MS, text_or_dash (job->tenant), job->task.tenant_priority,
      job->task.priority, job->task.route_class);
  if (refused->reason == ANVIL_TASK_QUOTA)
    anvil_quota_refusals_add (jobs->quota_refusals, job->tenant);
  job_fail (job,
            refused->reason == ANVIL_TASK_QUOTA ? STATUS_TOO_MANY_REQUESTS : STATUS_BAD_GATEWAY,
            anvil_task_refusal_reason_name (refused->reason), refused->retry_after);
}

void
anvil_relay_jobs_caller_disconnected (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  job_t *job = request->handler_data;

  if (job == NULL)
    {
      anvil_relay_respond (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
      return;
    }
  /* A request that must not run twice goes on, so that its slot stays in use until it ends. */
  if (job->state == JOB_RUNNING && !job_is_idempotent (job))
    return;
  if (job->state == JOB_RUNNING)
    {
      job_repeat_cancel (job, FALSE);
      anvil_relay_attempt_cancel (g_steal_pointer (&job->attempt));
      job_report_run (job, &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED });
    }
  else
    job_cancel_slot_request (job);
  job_record_outcome (jobs, request, job, "left", 0, "caller-left");
  anvil_relay_respond (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
  job_remove (job);
}

static void
begin (job_t *job)
{
  if (job->has_no_region)
    job_fail (job, STATUS_UNAVAILABLE, "no-allowed-region", NOT_READY_RETRY_AFTER);
  else if (anvil_slot_broker_refuses (job->jobs->options.slot_broker, job->service))
    job_refuse (job, STATUS_UNAVAILABLE, "holder-busy", anvil_holder_retry_after ());
  else
    job_request_slot (job);
}

void
anvil_relay_jobs_start (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  const anvil_route_t *route;

  if (jobs->refusing_new)
    {
      job_refuse_request (jobs, request, STATUS_UNAVAILABLE, "leaving", SHUTDOWN_RETRY_AFTER);
      return;
    }
  if (jobs->routes == NULL)
    {
      job_refuse_request (jobs, request, STATUS_UNAVAILABLE, "no-configuration",
                          NOT_READY_RETRY_AFTER);
      return;
    }
  /* The configuration may have changed while the body was received. */
  if (request->refusal == NULL)
    request->refusal = anvil_relay_jobs_check_head (jobs, request);
  if (request->refusal != NULL)
    {
      jobs_refuse_for_key (jobs, request, request->refusal);
      return;
    }
  route = jobs_match_route (jobs, request);
  if (route == NULL && jobs->options.lacks_routes (jobs->options.context))
    job_refuse_request (jobs, request, STATUS_UNAVAILABLE, "outdated-configuration",
                        NOT_READY_RETRY_AFTER);
  else if (route == NULL)
    job_refuse_request (jobs, request, STATUS_NOT_FOUND, "no-route", 0);
  else
    begin (job_new (jobs, request, route));
}
