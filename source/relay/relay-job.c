#include "relay/relay-job-internal.h"

#include <string.h>

#include "anvil/log.h"

/* What is known of upstreams must not be older than this when a request is sent, while the store
 * answers: it is read once a second, and a process may have been suspended since. */
#define MAX_KNOWLEDGE_AGE (2500 * ANVIL_MS)
/* Turns to other upstreams that cost nothing, since nothing was sent. */
#define MAX_UNSENT_TURNS 6
/* A run's answer may have arrived and not been read yet when its time is up, above all in a process
 * that stood still: the event loop gets one more turn. */
#define LAST_TURN (1 * ANVIL_MS)
#define NOT_READY_COME_BACK (500 * ANVIL_MS)
/* A caller that this entry turns away while it shuts down is served by another at once. */
#define LEAVING_COME_BACK (20 * ANVIL_MS)

static void on_run_done (void *context, const anvil_relay_attempt_outcome_t *outcome);

anvil_relay_jobs_t *
anvil_relay_jobs_new (const anvil_relay_job_parts_t *parts)
{
  anvil_relay_jobs_t *jobs = g_new0 (anvil_relay_jobs_t, 1);

  jobs->parts = *parts;
  jobs->region = anvil_relay_settings_region (parts->settings, parts->settings->zone);
  jobs->split = anvil_route_split_new ();
  jobs->places = anvil_recent_places_new ();
  /* Numbers differ from those before a restart, which holders may still know. */
  jobs->last_number = ((guint64) g_random_int () << 32) | g_random_int ();
  jobs->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  return jobs;
}

void
job_forget (job_t *job)
{
  g_hash_table_remove (job->jobs->jobs, &job->task.id.number);
  job_free (job);
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

      if (job->run != NULL)
        anvil_relay_attempt_cancel (job->run);
      job->request->handler_data = NULL;
      job_free (job);
    }
  g_hash_table_unref (jobs->jobs);
  anvil_route_split_drop (jobs->split);
  anvil_recent_places_drop (jobs->places);
  anvil_routes_drop (jobs->routes);
  g_free (jobs);
}

void
anvil_relay_jobs_set_routes (anvil_relay_jobs_t *jobs, anvil_routes_t *routes)
{
  anvil_routes_drop (jobs->routes);
  jobs->routes = anvil_routes_keep (routes);
  anvil_route_split_forget (jobs->split);
}

const anvil_routes_t *
anvil_relay_jobs_routes (const anvil_relay_jobs_t *jobs)
{
  return jobs->routes;
}

void
anvil_relay_jobs_close (anvil_relay_jobs_t *jobs)
{
  jobs->closed = TRUE;
}

guint
anvil_relay_jobs_count (const anvil_relay_jobs_t *jobs)
{
  return g_hash_table_size (jobs->jobs);
}

void
job_ask (job_t *job)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job->state = JOB_ASKING;
  job->holder = anvil_relay_desk_holder (jobs->parts.desk, job->service);
  job->asked_at = anvil_clock_now ();
  anvil_relay_desk_ask (jobs->parts.desk, job->holder, &job->task);
}

static void
avoid (job_t *job, guint64 upstream)
{
  anvil_task_t *task = &job->task;

  if (task->n_excluded == ANVIL_MAX_EXCLUDED_UPSTREAMS)
    memmove (task->excluded, task->excluded + 1, (--task->n_excluded) * sizeof *task->excluded);
  task->excluded[task->n_excluded++] = upstream;
}

/* Tells the holder how its slot was used. */
static void
report (job_t *job, anvil_run_result_t result, anvil_time_t took, gboolean still_running)
{
  const anvil_run_report_t run
      = { .result = result, .duration = took, .still_running = still_running };

  anvil_relay_desk_finished (job->jobs->parts.desk, job->holder, job->task.id.number, &run);
}

static gboolean
is_repeatable (const job_t *job)
{
  return job->task.kind == ANVIL_ROUTE_SAFE;
}

void
job_on_deadline (evutil_socket_t unused_fd, short unused_what, void *data)
{
  job_t *job = data;

  if (job->state == JOB_ASKING)
    {
      anvil_relay_desk_withdraw (job->jobs->parts.desk, job->holder, job->task.id.number);
      job_give_up (job, STATUS_GATEWAY_TIMEOUT, "no-slot-in-time", 0);
      return;
    }
  if (!job->last_turn)
    {
      const struct timeval turn = { .tv_usec = LAST_TURN };

      job->last_turn = TRUE;
      evtimer_add (job->timer, &turn);
      return;
    }
  job->may_have_run |= anvil_relay_attempt_cancel (g_steal_pointer (&job->run));
  report (job, ANVIL_RUN_INTERRUPTED, 0, FALSE);
  job_give_up (job, STATUS_GATEWAY_TIMEOUT, "no-answer-in-time", 0);
}

static gboolean
may_try_again (const job_t *job)
{
  return job->request->connection != NULL && job->task.attempt < job->max_attempts
         && anvil_clock_now () < job->task.deadline;
}

/* Nothing was sent, so another upstream costs no attempt. */
static void
turn_elsewhere (job_t *job, const char *reason)
{
  if (job->unsent_turns++ < MAX_UNSENT_TURNS && anvil_clock_now () < job->task.deadline)
    job_ask (job);
  else
    job_give_up (job, STATUS_BAD_GATEWAY, reason, NOT_READY_COME_BACK);
}

static void
on_run_done (void *context, const anvil_relay_attempt_outcome_t *outcome)
{
  job_t *job = context;

  job->run = NULL;
  report (job, outcome->result, outcome->duration, FALSE);
  if (outcome->result != ANVIL_RUN_ANSWERED)
    anvil_log (ANVIL_LOG_INFO, "request",
               "try failed request=%s upstream=%s attempt=%u status=%u reason=\"%s\" "
               "took_ms=%" G_GINT64_FORMAT,
               job_text (job->request->id), job->upstream_id, job->task.attempt, outcome->status,
               job_text (outcome->reason), outcome->duration / ANVIL_MS);
  if (outcome->result != ANVIL_RUN_ANSWERED)
    avoid (job, job->upstream);
  switch (outcome->result)
    {
    case ANVIL_RUN_ANSWERED:
      anvil_recent_places_note (job->jobs->places, anvil_clock_now (), job->service,
                                job->task.object, job->upstream);
      job_deliver (job, outcome->status, outcome->headers, outcome->body);
      return;
    case ANVIL_RUN_FAILED:
      job->may_have_run = TRUE;
      if (!is_repeatable (job) || !may_try_again (job))
        {
          job_deliver (job, outcome->status, outcome->headers, outcome->body);
          return;
        }
      job_save_answer (job, outcome);
      break;
    case ANVIL_RUN_CONNECT_FAILED:
      turn_elsewhere (job, "no-upstream-reached");
      return;
    case ANVIL_RUN_SHED:
      if (!may_try_again (job))
        {
          job_give_up (job, STATUS_BAD_GATEWAY, "upstream-full", NOT_READY_COME_BACK);
          return;
        }
      break;
    case ANVIL_RUN_INTERRUPTED:
    case ANVIL_RUN_UNUSED:
      job->may_have_run = TRUE;
      if (!is_repeatable (job) || !may_try_again (job))
        {
          job_give_up (job, STATUS_BAD_GATEWAY, "upstream-broke-off", 0);
          return;
        }
      break;
    }
  job->task.attempt++;
  job_ask (job);
}

/* Whether this entry knows a reason not to send to the upstream that was granted. */
static const char *
objection (const anvil_relay_jobs_t *jobs, const anvil_grant_t *grant)
{
  const anvil_registered_upstream_t *known
      = anvil_registry_lookup (jobs->parts.registry, grant->upstream);

  if (known == NULL)
    return anvil_registry_recently_removed (jobs->parts.registry, grant->upstream) ? "left" : NULL;
  if (known->draining)
    return "draining";
  if (known->evacuated)
    return "evacuated";
  return NULL;
}

static gboolean
knowledge_is_fresh (const anvil_relay_jobs_t *jobs)
{
  anvil_time_t known_at = jobs->parts.known_at (jobs->parts.context);

  return known_at == G_MAXINT64 || anvil_clock_now () - known_at <= MAX_KNOWLEDGE_AGE;
}

/* Age of what is known of upstreams, -1 while the store is away. */
static gint64
knowledge_age_ms (const anvil_relay_jobs_t *jobs, anvil_time_t now)
{
  anvil_time_t known_at = jobs->parts.known_at (jobs->parts.context);

  return known_at == G_MAXINT64 ? -1 : (now - known_at) / ANVIL_MS;
}

static void
start_run (job_t *job, const anvil_grant_t *grant)
{
  anvil_relay_jobs_t *jobs = job->jobs;
  const anvil_relay_request_t *request = job->request;
  anvil_time_t now = anvil_clock_now ();

  g_free (job->upstream_id);
  job->upstream_id = anvil_str_dup (grant->upstream_id);
  job->upstream = grant->upstream;
  job->state = JOB_RUNNING;
  job->run = anvil_relay_attempt_start (jobs->parts.pool,
                                        &(anvil_relay_upstream_request_t){
                                            .upstream_key = grant->upstream,
                                            .upstream_id = job->upstream_id,
                                            .address = grant->address,
                                            .port = grant->port,
                                            .method = request->method,
                                            .target = request->target,
                                            .headers = request->headers,
                                            .body = request->body,
                                            .id = request->id,
                                            .idempotent = is_repeatable (job),
                                            .timeout = job->task.deadline - now,
                                        },
                                        on_run_done, job);
  anvil_log (ANVIL_LOG_INFO, "request",
             "sent request=%s route=%s service=%s object=%" G_GINT64_MODIFIER
             "x holder=%s upstream=%s zone=%.*s warm=%d attempt=%u "
             "waited_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
             " registry_age_ms=%" G_GINT64_FORMAT,
             job_text (request->id), job->route, job->service, job->task.object,
             anvil_relay_desk_name (jobs->parts.desk, job->holder), job->upstream_id,
             ANVIL_STR_ARGS (grant->zone), grant->warm, job->task.attempt,
             (now - request->received_at) / ANVIL_MS, (job->task.deadline - now) / ANVIL_MS,
             knowledge_age_ms (jobs, now));
}

static job_t *
lookup (const anvil_relay_jobs_t *jobs, guint64 number)
{
  return g_hash_table_lookup (jobs->jobs, &number);
}

static void
return_slot (anvil_relay_jobs_t *jobs, anvil_node_t holder, guint64 number)
{
  const anvil_run_report_t unused = { .result = ANVIL_RUN_UNUSED };

  anvil_relay_desk_finished (jobs->parts.desk, holder, number, &unused);
}

void
anvil_relay_jobs_granted (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_grant_t *grant)
{
  job_t *job = lookup (jobs, number);
  const char *reason;

  if (job == NULL)
    {
      return_slot (jobs, from, number);
      return;
    }
  if (job->state != JOB_ASKING)
    {
      /* The same grant comes twice if it was asked for twice. */
      if (from != job->holder)
        return_slot (jobs, from, number);
      return;
    }
  job->holder = from;
  if (!knowledge_is_fresh (jobs))
    {
      /* Asked again by the tick, when the registry may have been read. */
      return_slot (jobs, from, number);
      return;
    }
  reason = objection (jobs, grant);
  if (reason == NULL)
    {
      start_run (job, grant);
      return;
    }
  anvil_log (ANVIL_LOG_INFO, "request", "slot not used request=%s upstream=%.*s reason=%s",
             job_text (job->request->id), ANVIL_STR_ARGS (grant->upstream_id), reason);
  return_slot (jobs, from, number);
  avoid (job, grant->upstream);
  turn_elsewhere (job, "no-upstream");
}

void
anvil_relay_jobs_refused (anvil_relay_jobs_t *jobs,
                          guint64 number,
                          anvil_node_t from,
                          const anvil_task_refusal_info_t *refused)
{
  job_t *job = lookup (jobs, number);

  /* A refusal of a former holder says nothing of the room that the present one has. */
  if (job == NULL || job->state != JOB_ASKING || from != job->holder)
    return;
  anvil_log (ANVIL_LOG_INFO, "request",
             "no slot request=%s service=%s holder=%s reason=%s attempt=%u waiting=%u running=%u "
             "slots=%u left_ms=%" G_GINT64_FORMAT " come_back_ms=%" G_GINT64_FORMAT,
             job_text (job->request->id), job->service,
             anvil_relay_desk_name (jobs->parts.desk, from),
             anvil_task_refusal_reason_name (refused->reason), job->task.attempt, refused->waiting,
             refused->running, refused->slots, (job->task.deadline - anvil_clock_now ()) / ANVIL_MS,
             refused->retry_after / ANVIL_MS);
  job_give_up (job, STATUS_BAD_GATEWAY, anvil_task_refusal_reason_name (refused->reason),
               refused->retry_after);
}

void
anvil_relay_jobs_gone (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  job_t *job = request->handler_data;

  if (job == NULL)
    {
      anvil_relay_respond (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
      return;
    }
  /* What must not run twice goes on, so that its slot is counted to its end. */
  if (job->state == JOB_RUNNING && !is_repeatable (job))
    return;
  if (job->state == JOB_RUNNING)
    {
      anvil_relay_attempt_cancel (g_steal_pointer (&job->run));
      report (job, ANVIL_RUN_UNUSED, 0, FALSE);
    }
  else
    anvil_relay_desk_withdraw (jobs->parts.desk, job->holder, job->task.id.number);
  job_note_answer (jobs, request, job->route, "left", 0, "caller-left");
  anvil_relay_respond (request, STATUS_UNAVAILABLE, (anvil_str_t){ 0 }, NULL);
  job_forget (job);
}

void
anvil_relay_jobs_accept (anvil_relay_jobs_t *jobs, anvil_relay_request_t *request)
{
  const char *query = strchr (request->target, '?');
  anvil_str_t path = anvil_str (request->target);
  const anvil_route_t *route;

  if (jobs->closed)
    {
      job_answer_without (jobs, request, STATUS_UNAVAILABLE, "leaving", LEAVING_COME_BACK);
      return;
    }
  if (jobs->routes == NULL)
    {
      job_answer_without (jobs, request, STATUS_UNAVAILABLE, "no-configuration",
                          NOT_READY_COME_BACK);
      return;
    }
  if (query != NULL)
    path.length = (gsize) (query - request->target);
  route = anvil_routes_match (jobs->routes, anvil_str (request->host), path);
  if (route == NULL)
    job_answer_without (jobs, request, STATUS_NOT_FOUND, "no-route", 0);
  else
    job_ask (job_new (jobs, request, route));
}
