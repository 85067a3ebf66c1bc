#include "anvil/log.h"
#include "relay/relay-job-internal.h"

const char *
job_text (const char *text)
{
  return text != NULL ? text : "-";
}

/* Counts an answer and logs what decided it. */
void
job_note_answer (anvil_relay_jobs_t *jobs,
                 const anvil_relay_request_t *request,
                 const char *route,
                 const char *outcome,
                 guint status,
                 const char *reason)
{
  anvil_time_t took = anvil_clock_now () - request->received_at;
  char *labels = g_strdup_printf ("outcome=\"%s\",reason=\"%s\"", outcome, reason);

  anvil_metrics_add_counter (jobs->parts.counters, "anvil_requests_total", labels, 1);
  anvil_metrics_observe_histogram (jobs->parts.counters, "anvil_request_seconds", "",
                                   (gdouble) took / (gdouble) ANVIL_SECOND);
  g_free (labels);
  anvil_log (ANVIL_LOG_INFO, "request",
             "%s request=%s route=%s status=%u reason=%s took_ms=%" G_GINT64_FORMAT
             " routes=%" G_GINT64_FORMAT,
             outcome, job_text (request->id), route, status, reason, took / ANVIL_MS,
             jobs->routes != NULL ? anvil_routes_version (jobs->routes) : 0);
}

/* An answer of our own. */
static void
answer_own (anvil_relay_request_t *request,
            const anvil_header_names_t *wire,
            guint status,
            anvil_time_t come_back)
{
  GString *headers = g_string_new (NULL);

  if (request->id != NULL)
    g_string_append_printf (headers, "%s: %s\r\n", wire->request_id, request->id);
  if (come_back > 0)
    g_string_append_printf (headers, "Retry-After: %.3f\r\n",
                            (gdouble) come_back / (gdouble) ANVIL_SECOND);
  anvil_relay_respond (request, status,
                       (anvil_str_t){ .data = headers->str, .length = headers->len }, NULL);
  g_string_free (headers, TRUE);
}

/* Ends a job that no upstream has run: the caller may come back. */
static void
refuse (job_t *job, const char *reason, anvil_time_t come_back)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job_note_answer (jobs, job->request, job->route, "refused", STATUS_UNAVAILABLE, reason);
  answer_own (job->request, jobs->parts.wire, STATUS_UNAVAILABLE, come_back);
  job_forget (job);
}

/* Ends a job whose request may have run. */
static void
answer_unknown (job_t *job, guint status, const char *reason)
{
  anvil_relay_jobs_t *jobs = job->jobs;

  job_note_answer (jobs, job->request, job->route, "unknown", status, reason);
  answer_own (job->request, jobs->parts.wire, status, 0);
  job_forget (job);
}

void
job_deliver (job_t *job, guint status, const GString *headers, struct evbuffer *body)
{
  job_note_answer (job->jobs, job->request, job->route, "answered", status, "upstream");
  anvil_relay_respond (job->request, status,
                       (anvil_str_t){ .data = headers->str, .length = headers->len }, body);
  job_forget (job);
}

/* No further try: the best that is known goes to the caller. */
void
job_give_up (job_t *job, guint status, const char *reason, anvil_time_t come_back)
{
  if (job->saved_status != 0)
    job_deliver (job, job->saved_status, job->saved_headers, job->saved_body);
  else if (job->may_have_run)
    answer_unknown (job, status, reason);
  else
    refuse (job, reason, come_back);
}

void
job_save_answer (job_t *job, const anvil_relay_attempt_outcome_t *outcome)
{
  if (job->saved_status == 0)
    {
      job->saved_headers = g_string_new (NULL);
      job->saved_body = evbuffer_new ();
    }
  job->saved_status = outcome->status;
  g_string_assign (job->saved_headers, outcome->headers->str);
  evbuffer_drain (job->saved_body, evbuffer_get_length (job->saved_body));
  evbuffer_add_buffer (job->saved_body, outcome->body);
}

void
job_answer_without (anvil_relay_jobs_t *jobs,
                    anvil_relay_request_t *request,
                    guint status,
                    const char *reason,
                    anvil_time_t come_back)
{
  job_note_answer (jobs, request, "-", "refused", status, reason);
  answer_own (request, jobs->parts.wire, status, come_back);
}
