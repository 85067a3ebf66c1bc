/* Requests that go along with their slot requests; see relay/relay-forward.h. */

#include "relay/relay-job-internal.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/forward-codec.h"

/* Longest request that goes along: it is sent in vain if the holder grants a slot elsewhere. */
#define MAX_FORWARDED_BYTES 8192

static gboolean
is_small (const anvil_relay_request_t *request)
{
  return strlen (request->target) + request->headers->len + evbuffer_get_length (request->body)
         <= MAX_FORWARDED_BYTES;
}

gboolean
job_may_be_forwarded (const job_t *job)
{
  const anvil_relay_request_t *request = job->request;

  /* The response to a HEAD request can't be told from one that was cut off without knowing that. */
  return job_is_idempotent (job) && !request->is_head && is_small (request)
         && anvil_slot_broker_may_forward (job->jobs->options.slot_broker, job->service,
                                           &job->task);
}

void
job_forward (job_t *job)
{
  const anvil_relay_request_t *request = job->request;
  const gsize body_length = evbuffer_get_length (request->body);
  anvil_forwarded_request_t forwarded = {
    .method = anvil_str (request->method),
    .target = anvil_str (request->target),
    .id = anvil_str (request->id),
    .body = { .data = (const char *) evbuffer_pullup (request->body, -1), .length = body_length },
  };
  GByteArray *payload = g_byte_array_new ();

  /* The holder sends them as they are, so the key must not be among them. */
  job_set_key_headers (job);
  forwarded.headers
      = (anvil_str_t){ .data = request->headers->str, .length = request->headers->len };
  anvil_forwarded_request_pack (&forwarded, payload);
  job->forwarded = TRUE;
  anvil_slot_broker_forward (
      job->jobs->options.slot_broker, job->holder, &job->task,
      (anvil_str_t){ .data = (const char *) payload->data, .length = payload->len });
  g_byte_array_unref (payload);
}

void
job_withdraw (job_t *job)
{
  const anvil_time_t now = anvil_clock_now ();

  if (!job->withdrawing)
    {
      job->holder_seen_at = now;
      job->n_unanswered = 0;
    }
  job->n_unanswered++;
  job->withdrawing = TRUE;
  job->slot_requested_at = now;
  anvil_slot_broker_withdraw (job->jobs->options.slot_broker, job->holder, job->task.id.number);
}

void
job_cancel_slot_request (job_t *job)
{
  /* The holder may have sent it meanwhile. */
  job->may_have_run |= job->forwarded;
  job->forwarded = FALSE;
  job->withdrawing = FALSE;
  anvil_slot_broker_cancel (job->jobs->options.slot_broker, job->holder, job->task.id.number);
}

void
job_request_slot_from_new_holder (job_t *job)
{
  const gboolean forwarded = job->forwarded;

  job_cancel_slot_request (job);
  /* It may have reached an upstream, so what follows is a further attempt. */
  if (forwarded && !job_may_retry (job))
    {
      job_fail (job, STATUS_BAD_GATEWAY, "holder-lost", 0);
      return;
    }
  if (forwarded)
    job->task.attempt++;
  job_request_slot (job);
}

void
anvil_relay_jobs_withdrawn (anvil_relay_jobs_t *jobs,
                            guint64 number,
                            anvil_node_t from,
                            gboolean waited)
{
  job_t *job = g_hash_table_lookup (jobs->jobs, &number);

  if (job == NULL || job->state != JOB_WAITING_FOR_SLOT || !job->withdrawing || from != job->holder)
    return;
  anvil_log (ANVIL_LOG_INFO, "request",
             "forwarded request withdrawn request=%s holder=%s waited=%d",
             text_or_dash (job->request->id),
             anvil_slot_broker_vm_name (jobs->options.slot_broker, from), waited);
  if (waited)
    job_request_slot (job);
  else
    job_request_slot_from_new_holder (job);
}

static void
log_response (const job_t *job, anvil_node_t from, const anvil_forwarded_response_t *response)
{
  anvil_log (ANVIL_LOG_INFO, "request",
             "response of a forwarded request request=%s holder=%s upstream=%s result=%d status=%u "
             "run_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
             text_or_dash (job->request->id),
             anvil_slot_broker_vm_name (job->jobs->options.slot_broker, from), job->upstream_id,
             (int) response->result, response->status, response->duration / ANVIL_MS,
             (anvil_clock_now () - job->request->received_at) / ANVIL_MS);
}

/* Hands the response over as if this entry had received it from the upstream. */
static void
take_response (job_t *job, const anvil_forwarded_response_t *response)
{
  char *reason = response->reason.length > 0 ? anvil_str_dup (response->reason) : NULL;
  GString *headers = g_string_new_len (response->headers.data, (gssize) response->headers.length);
  struct evbuffer *body = evbuffer_new ();
  const anvil_relay_attempt_outcome_t outcome = { .result = response->result,
                                                  .reason = reason,
                                                  .status = response->status,
                                                  .headers = headers,
                                                  .body = body,
                                                  .duration = response->duration,
                                                  .response = { .status = response->status } };

  evbuffer_add (body, response->body.data, response->body.length);
  job_take_outcome (job, &outcome);
  evbuffer_free (body);
  g_string_free (headers, TRUE);
  g_free (reason);
}

void
anvil_relay_jobs_responded (anvil_relay_jobs_t *jobs,
                            guint64 number,
                            anvil_node_t from,
                            anvil_str_t payload)
{
  job_t *job = g_hash_table_lookup (jobs->jobs, &number);
  anvil_forwarded_response_t response;

  if (job == NULL || job->state != JOB_WAITING_FOR_SLOT || !job->forwarded || from != job->holder)
    return;
  if (!anvil_forwarded_response_unpack (payload, &response))
    {
      anvil_log (ANVIL_LOG_WARNING, "request", "malformed response from a holder request=%s",
                 text_or_dash (job->request->id));
      return;
    }
  job->forwarded = FALSE;
  job->withdrawing = FALSE;
  g_free (job->upstream_id);
  job->upstream_id = anvil_str_dup (response.upstream_id);
  job->upstream = response.upstream;
  job->upstream_started_at = response.started_at;
  job->n_attempts++;
  job->task.quota_paid = TRUE;
  log_response (job, from, &response);
  if (response.announcement.leaving)
    anvil_relay_jobs_announced (jobs, job->service, job->upstream, job->upstream_started_at,
                                &(anvil_announcement_t){ .leaving = TRUE });
  take_response (job, &response);
}
