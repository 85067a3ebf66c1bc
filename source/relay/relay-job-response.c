#include "anvil/largest.h"
#include "anvil/log.h"
#include "relay/relay-job-internal.h"

const char *
text_or_dash (const char *text)
{
  return text != NULL ? text : "-";
}

gint64
jobs_proof_age_ms (const anvil_relay_jobs_t *jobs)
{
  anvil_time_t age = jobs->options.config_proof_age (jobs->options.context);

  return age >= 0 ? age / ANVIL_MS : -1;
}

/* Latency of requests that could get a second attempt, by whether they did. */
static void
observe_repeat (const job_t *job, anvil_time_t took)
{
  if (!job->repeat.possible)
    return;
  anvil_metrics_observe_histogram (job->jobs->options.metrics, "anvil_repeatable_request_seconds",
                                   !job->repeat.begun ? "second=\"none\""
                                   : job->repeat.won  ? "second=\"won\""
                                                      : "second=\"lost\"",
                                   (gdouble) took / (gdouble) ANVIL_SECOND);
}

void
job_record_outcome (anvil_relay_jobs_t *jobs,
                    const anvil_relay_request_t *request,
                    const job_t *job,
                    const char *outcome,
                    guint status,
                    const char *reason)
{
  anvil_time_t took = anvil_clock_now () - request->received_at;
  char *labels = g_strdup_printf ("outcome=\"%s\",reason=\"%s\"", outcome, reason);

  anvil_metrics_add_counter (jobs->options.metrics, "anvil_requests_total", labels, 1);
  anvil_metrics_observe_histogram (jobs->options.metrics, "anvil_request_seconds", "",
                                   (gdouble) took / (gdouble) ANVIL_SECOND);
  if (job != NULL)
    observe_repeat (job, took);
  g_free (labels);
  anvil_log (ANVIL_LOG_INFO, "request",
             "%s request=%s route=%s status=%u reason=%s upstream=%s attempts=%u slot_requests=%u "
             "took_ms=%" G_GINT64_FORMAT " routes=%" G_GINT64_FORMAT
             " tenant=%s proof_age_ms=%" G_GINT64_FORMAT,
             outcome, text_or_dash (request->id), job != NULL ? job->route : "-", status, reason,
             job != NULL ? text_or_dash (job->upstream_id) : "-", job != NULL ? job->n_attempts : 0,
             job != NULL ? job->n_slot_requests : 0, took / ANVIL_MS,
             jobs->routes != NULL ? anvil_routes_version (jobs->routes) : 0,
             job != NULL ? text_or_dash (job->tenant) : "-", jobs_proof_age_ms (jobs));
}

/* Sends a response that isn't an upstream's; it has no body. */
static void
respond_without_upstream (anvil_relay_request_t *request,
                          const anvil_header_names_t *header_names,
                          guint status,
                          anvil_time_t retry_after)
{
  GString *headers = g_string_new (NULL);

  if (request->id != NULL)
    g_string_append_printf (headers, "%s: %s\r\n", header_names->request_id, request->id);
  if (retry_after > 0)
    g_string_append_printf (headers, "Retry-After: %.3f\r\n",
                            (gdouble) retry_after / (gdouble) ANVIL_SECOND);
  anvil_relay_respond (request, status,
                       (anvil_str_t){ .data = headers->str, .length = headers->len }, NULL);
  g_string_free (headers, TRUE);
}

void
job_refuse (job_t *job, guint status, const char *reason, anvil_time_t retry_after)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job_record_outcome (jobs, job->request, job, "refused", status, reason);
  respond_without_upstream (job->request, jobs->options.header_names, status, retry_after);
  job_remove (job);
}

/* Ends a job whose request may have run. */
static void
respond_unknown (job_t *job, guint status, const char *reason)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job_record_outcome (jobs, job->request, job, "unknown", status, reason);
  respond_without_upstream (job->request, jobs->options.header_names, status, 0);
  job_remove (job);
}

void
job_pass_response (job_t *job, guint status, const GString *headers, struct evbuffer *body)
{
  if (anvil_http_status_is_promise (status))
    {
      respond_unknown (job, STATUS_BAD_GATEWAY, "unconfirmed-rejection");
      return;
    }
  job_record_outcome (job->jobs, job->request, job, "answered", status, "upstream");
  anvil_relay_respond (job->request, status,
                       (anvil_str_t){ .data = headers->str, .length = headers->len }, body);
  job_remove (job);
}

/* The body becomes the caller's. */
static void
pass_saved_response (job_t *job)
{
  struct evbuffer *body = evbuffer_new ();

  job->jobs->saved_bytes -= evbuffer_get_length (job->saved_body);
  evbuffer_add_buffer (body, job->saved_body);
  job_pass_response (job, job->saved_status, job->saved_headers, body);
  evbuffer_free (body);
}

void
job_fail (job_t *job, guint status, const char *reason, anvil_time_t retry_after)
{
  const gboolean is_quota = status == STATUS_TOO_MANY_REQUESTS;

  if (job->saved_status != 0)
    pass_saved_response (job);
  else if (job->may_have_run)
    respond_unknown (job, is_quota ? STATUS_BAD_GATEWAY : status, reason);
  else
    job_refuse (job, is_quota ? status : STATUS_UNAVAILABLE, reason, retry_after);
}

void
job_drop_saved_response (job_t *job)
{
  if (job->saved_status == 0)
    return;
  job->jobs->saved_bytes -= evbuffer_get_length (job->saved_body);
  job->saved_status = 0;
  g_string_free (g_steal_pointer (&job->saved_headers), TRUE);
  evbuffer_free (g_steal_pointer (&job->saved_body));
}

static gint64
measure_saved_response (gconstpointer value)
{
  const job_t *job = value;

  return job->saved_status != 0 ? (gint64) evbuffer_get_length (job->saved_body) : -1;
}

/* Drops the longest saved responses while all together exceed the limit. Their callers get another
 * answer if no retry succeeds, but the retries go on. */
static void
enforce_saved_limit (anvil_relay_jobs_t *jobs)
{
  while (jobs->saved_bytes > jobs->options.max_saved_bytes)
    {
      job_t *job = anvil_find_largest (jobs->jobs, measure_saved_response);

      anvil_log (ANVIL_LOG_WARNING, "request",
                 "failed response dropped, those that wait for a retry exceed their memory "
                 "request=%s upstream=%s bytes=%zu all_bytes=%zu limit=%zu",
                 text_or_dash (job->request->id), job->upstream_id,
                 evbuffer_get_length (job->saved_body), jobs->saved_bytes,
                 jobs->options.max_saved_bytes);
      anvil_metrics_add_counter (jobs->options.metrics, "anvil_dropped_saved_responses_total", "",
                                 1);
      job_drop_saved_response (job);
    }
}

void
job_save_response (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  job_drop_saved_response (job);
  job->saved_status = outcome->status;
  job->saved_headers = g_string_new_len (outcome->headers->str, (gssize) outcome->headers->len);
  job->saved_body = evbuffer_new ();
  evbuffer_add_buffer (job->saved_body, outcome->body);
  job->jobs->saved_bytes += evbuffer_get_length (job->saved_body);
  enforce_saved_limit (job->jobs);
}

void
job_refuse_request (anvil_relay_jobs_t *jobs,
                    anvil_relay_request_t *request,
                    guint status,
                    const char *reason,
                    anvil_time_t retry_after)
{
  job_record_outcome (jobs, request, NULL, "refused", status, reason);
  respond_without_upstream (request, jobs->options.header_names, status, retry_after);
}
