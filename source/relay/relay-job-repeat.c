/*
 * The second attempt of a job, beside a first one that is late (a hedged request).
 *
 * The first whole and valid answer goes to the caller, and the other attempt is cancelled. If the
 * first attempt fails meanwhile, the second takes its place, and the job goes on as with one.
 */

#include "relay/relay-job-internal.h"

#include "anvil/log.h"

static anvil_metrics_t *
metrics_of (const job_t *job)
{
  return job->jobs->options.metrics;
}

/* Messages about the second attempt don't find the job from now on. */
static void
forget (job_t *job)
{
  job_repeat_t *repeat = &job->repeat;

  if (repeat->state == JOB_REPEAT_NONE)
    return;
  g_hash_table_remove (job->jobs->repeats, &repeat->task.id.number);
  repeat->state = JOB_REPEAT_NONE;
}

static void
report (const job_t *job, const anvil_run_report_t *run)
{
  anvil_slot_broker_run_finished (job->jobs->options.slot_broker, job->repeat.holder,
                                  job->repeat.task.id.number, run);
}

/* Gives up a request for a slot; a grant that arrives later is returned. */
static void
withdraw (job_t *job)
{
  anvil_slot_broker_cancel (job->jobs->options.slot_broker, job->repeat.holder,
                            job->repeat.task.id.number);
  forget (job);
}

void
job_repeat_drop (job_t *job)
{
  forget (job);
  if (job->repeat.timer != NULL)
    event_free (job->repeat.timer);
  g_free (job->repeat.upstream_id);
}

static gboolean
may_repeat (const job_t *job)
{
  return job_is_idempotent (job) && job->state == JOB_RUNNING
         && job->repeat.state == JOB_REPEAT_NONE && job->request->connection != NULL
         && job->task.attempt < job->max_attempts && job_may_be_sent (job)
         && anvil_clock_now () < job->task.deadline;
}

/* The first attempt is late: requests a slot for a second one. */
static void
on_late (evutil_socket_t unused_fd, short unused_what, void *data)
{
  job_t *job = data;
  job_repeat_t *repeat = &job->repeat;
  anvil_slot_broker_t *broker = job->jobs->options.slot_broker;

  if (!may_repeat (job))
    return;
  repeat->task = job->task;
  repeat->task.id.number = ++job->jobs->last_number;
  repeat->task.attempt++;
  repeat->task.is_repeat = TRUE;
  /* The request has taken its token. */
  repeat->task.quota_paid = TRUE;
  task_exclude_upstream (&repeat->task, job->upstream);
  repeat->state = JOB_REPEAT_REQUESTED;
  repeat->requested_at = anvil_clock_now ();
  repeat->n_unanswered = 1;
  repeat->holder = anvil_slot_broker_holder (broker, job->service);
  g_hash_table_insert (job->jobs->repeats, &repeat->task.id.number, job);
  anvil_slot_broker_request_slot (broker, repeat->holder, &repeat->task);
}

void
job_repeat_start_timer (job_t *job, anvil_time_t repeat_after)
{
  const struct timeval after = anvil_time_to_timeval (repeat_after);

  job_repeat_stop_timer (job);
  if (repeat_after <= 0 || !job_is_idempotent (job) || job->repeat.excluded_by_route
      || job->task.attempt >= job->max_attempts)
    return;
  job->repeat.possible = TRUE;
  job->repeat.after = repeat_after;
  if (job->repeat.timer == NULL)
    job->repeat.timer = evtimer_new (job->jobs->options.base, on_late, job);
  evtimer_add (job->repeat.timer, &after);
}

void
job_repeat_stop_timer (job_t *job)
{
  if (job->repeat.timer != NULL)
    evtimer_del (job->repeat.timer);
  if (job->repeat.state == JOB_REPEAT_REQUESTED)
    withdraw (job);
}

/* Ends the second attempt. Its holder takes a duration of 0 as no outcome. */
static void
cancel_running (job_t *job, anvil_time_t duration)
{
  job->may_have_run |= anvil_relay_attempt_cancel (g_steal_pointer (&job->repeat.attempt));
  report (job, &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED, .duration = duration });
  forget (job);
}

static void
count_cancelled (const job_t *job, anvil_time_t wasted)
{
  anvil_metrics_add_counter (metrics_of (job), "anvil_repeats_cancelled_total", "", 1);
  anvil_metrics_add_counter (metrics_of (job), "anvil_repeats_wasted_milliseconds_total", "",
                             (guint64) (wasted / ANVIL_MS));
}

void
job_repeat_cancel (job_t *job, gboolean lost)
{
  const anvil_time_t wasted = MAX (anvil_clock_now () - job->repeat.sent_at, 1);

  job_repeat_stop_timer (job);
  if (job->repeat.state != JOB_REPEAT_RUNNING)
    return;
  cancel_running (job, lost ? wasted : 0);
  count_cancelled (job, wasted);
}

static void
record_winner (const job_t *job,
               gboolean second_won,
               const char *winner,
               const char *loser,
               anvil_time_t wasted)
{
  count_cancelled (job, wasted);
  if (second_won)
    anvil_metrics_add_counter (metrics_of (job), "anvil_repeats_won_total", "", 1);
  anvil_log (ANVIL_LOG_INFO, "request",
             "answered by one of two attempts request=%s won=%s upstream=%s cancelled=%s "
             "cancelled_after_ms=%" G_GINT64_FORMAT,
             text_or_dash (job->request->id), second_won ? "second" : "first", winner, loser,
             wasted / ANVIL_MS);
}

void
job_repeat_first_answered (job_t *job)
{
  const anvil_time_t wasted = MAX (anvil_clock_now () - job->repeat.sent_at, 1);

  job_repeat_stop_timer (job);
  if (job->repeat.state != JOB_REPEAT_RUNNING)
    return;
  cancel_running (job, wasted);
  record_winner (job, FALSE, job->upstream_id, job->repeat.upstream_id, wasted);
}

/* The second attempt becomes the job's only one. */
static void
take_place_of_first (job_t *job)
{
  job_repeat_t *repeat = &job->repeat;
  const guint64 number = repeat->task.id.number;

  forget (job);
  job_set_number (job, number);
  job->task.is_repeat = TRUE;
  job->holder = repeat->holder;
  job->attempt = g_steal_pointer (&repeat->attempt);
  job->upstream = repeat->upstream;
  job->upstream_started_at = repeat->upstream_started_at;
  job->sent_at = repeat->sent_at;
  g_free (job->upstream_id);
  job->upstream_id = g_steal_pointer (&repeat->upstream_id);
}

gboolean
job_repeat_first_failed (job_t *job)
{
  job_repeat_stop_timer (job);
  if (job->repeat.state != JOB_REPEAT_RUNNING)
    return FALSE;
  anvil_log (ANVIL_LOG_INFO, "request",
             "first attempt failed, the second goes on request=%s first=%s second=%s",
             text_or_dash (job->request->id), job->upstream_id, job->repeat.upstream_id);
  take_place_of_first (job);
  return TRUE;
}

/* The second attempt is answered first: the other one is cancelled, and its slot is free. */
static void
cancel_first (job_t *job)
{
  const anvil_time_t wasted = MAX (anvil_clock_now () - job->sent_at, 1);

  record_winner (job, TRUE, job->repeat.upstream_id, job->upstream_id, wasted);
  anvil_relay_attempt_cancel (g_steal_pointer (&job->attempt));
  job_report_run (job, &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED, .duration = wasted });
  job->repeat.won = TRUE;
  take_place_of_first (job);
}

/* The second attempt failed while the first goes on. */
static void
second_failed (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  job_repeat_t *repeat = &job->repeat;

  job_record_failed_attempt (job, repeat->upstream_id, repeat->task.attempt, outcome);
  task_exclude_upstream (&job->task, repeat->upstream);
  if (outcome->result == ANVIL_RUN_FAILED)
    job_save_response (job, outcome);
  if (outcome->result == ANVIL_RUN_FAILED || outcome->result == ANVIL_RUN_INTERRUPTED)
    job->may_have_run = TRUE;
  repeat->attempt = NULL;
  report (job, &(anvil_run_report_t){ .result = anvil_relay_outcome_result (outcome),
                                      .duration = outcome->duration,
                                      .request_limit = outcome->request_limit,
                                      .speed = outcome->speed });
  forget (job);
}

static void
on_second_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  job_t *job = context;

  if (job->repeat.state != JOB_REPEAT_RUNNING)
    {
      /* It has taken the place of the first. */
      job_attempt_done (job, outcome);
      return;
    }
  if (outcome->result != ANVIL_RUN_ANSWERED)
    {
      anvil_request_limit_table_record (job->jobs->request_limits, anvil_clock_now (), job->service,
                                        job->repeat.upstream, job->repeat.upstream_id,
                                        &outcome->request_limit);
      second_failed (job, outcome);
      return;
    }
  cancel_first (job);
  job_attempt_done (job, outcome);
}

static void
on_second_announced (void *context, const anvil_announcement_t *announcement)
{
  job_t *job = context;

  if (job->repeat.state == JOB_REPEAT_RUNNING)
    anvil_relay_jobs_announced (job->jobs, job->service, job->repeat.upstream,
                                job->repeat.upstream_started_at, announcement);
  else
    anvil_relay_jobs_announced (job->jobs, job->service, job->upstream, job->upstream_started_at,
                                announcement);
}

static void
start_second (job_t *job, const anvil_slot_grant_t *grant)
{
  job_repeat_t *repeat = &job->repeat;
  const anvil_time_t now = anvil_clock_now ();

  g_free (repeat->upstream_id);
  repeat->upstream_id = anvil_str_dup (grant->upstream_id);
  repeat->upstream = grant->upstream;
  repeat->upstream_started_at = job_newest_start (job->jobs, grant);
  repeat->state = JOB_REPEAT_RUNNING;
  repeat->sent_at = now;
  repeat->begun = TRUE;
  job->task.attempt = repeat->task.attempt;
  job->n_attempts++;
  repeat->attempt = job_send (job, grant, repeat->upstream_id, on_second_announced, on_second_done);
  anvil_metrics_add_counter (metrics_of (job), "anvil_repeats_begun_total", "", 1);
  anvil_log (ANVIL_LOG_INFO, "request",
             "first attempt is late, second sent request=%s route=%s service=%s holder=%s "
             "first=%s second=%s attempt=%u first_ms=%" G_GINT64_FORMAT
             " late_after_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
             text_or_dash (job->request->id), job->route, job->service,
             anvil_slot_broker_vm_name (job->jobs->options.slot_broker, repeat->holder),
             job->upstream_id, repeat->upstream_id, repeat->task.attempt,
             (now - job->sent_at) / ANVIL_MS, repeat->after / ANVIL_MS,
             (job->task.deadline - now) / ANVIL_MS);
}

/* Why a granted slot isn't used, or NULL. */
static const char *
reason_to_return (const job_t *job, const anvil_slot_grant_t *grant)
{
  if (job->state != JOB_RUNNING || grant->upstream == job->upstream
      || anvil_clock_now () >= job->task.deadline)
    return "obsolete";
  if (!job_may_be_sent (job))
    return "leaving";
  if (!jobs_registry_is_fresh (job->jobs))
    return "outdated";
  return anvil_relay_jobs_reason_not_to_use (job->jobs, grant);
}

gboolean
job_repeat_granted (anvil_relay_jobs_t *jobs,
                    guint64 number,
                    anvil_node_t from,
                    const anvil_slot_grant_t *grant)
{
  job_t *job = g_hash_table_lookup (jobs->repeats, &number);
  const char *reason;

  if (job == NULL)
    return FALSE;
  /* A holder repeats its grant if the slot was requested twice. */
  if (job->repeat.state == JOB_REPEAT_RUNNING)
    return from == job->repeat.holder;
  reason = reason_to_return (job, grant);
  if (reason == NULL && job_renew_tenant (job) != NULL)
    reason = "revoked-key";
  if (reason == NULL && !job_allows_zone (job, grant->zone))
    reason = "region-not-allowed";
  if (reason == NULL)
    {
      job_set_key_headers (job);
      start_second (job, grant);
      return TRUE;
    }
  anvil_log (ANVIL_LOG_INFO, "request",
             "slot for a second attempt not used request=%s upstream=%.*s reason=%s",
             text_or_dash (job->request->id), ANVIL_STR_ARGS (grant->upstream_id), reason);
  forget (job);
  return FALSE;
}

gboolean
job_repeat_refused (anvil_relay_jobs_t *jobs,
                    guint64 number,
                    const anvil_task_refusal_info_t *refused)
{
  job_t *job = g_hash_table_lookup (jobs->repeats, &number);
  char *labels;

  if (job == NULL)
    return FALSE;
  if (job->repeat.state != JOB_REPEAT_REQUESTED)
    return TRUE;
  labels = g_strdup_printf ("reason=\"%s\"", anvil_task_refusal_reason_name (refused->reason));
  anvil_metrics_add_counter (jobs->options.metrics, "anvil_repeats_refused_total", labels, 1);
  g_free (labels);
  forget (job);
  return TRUE;
}

void
job_repeat_adopt (job_t *job, anvil_node_t holder)
{
  job_repeat_t *repeat = &job->repeat;

  if (repeat->state == JOB_REPEAT_REQUESTED)
    withdraw (job);
  if (repeat->state != JOB_REPEAT_RUNNING)
    return;
  repeat->holder = holder;
  anvil_slot_broker_adopt (job->jobs->options.slot_broker, holder, &repeat->task, repeat->upstream);
}

void
job_repeat_request_again (job_t *job, anvil_time_t now)
{
  job_repeat_t *repeat = &job->repeat;

  if (repeat->state != JOB_REPEAT_REQUESTED
      || !jobs_answer_is_overdue (job->jobs, now, repeat->holder, repeat->requested_at,
                                  repeat->n_unanswered))
    return;
  repeat->requested_at = now;
  repeat->n_unanswered++;
  anvil_slot_broker_request_slot (job->jobs->options.slot_broker, repeat->holder, &repeat->task);
}
