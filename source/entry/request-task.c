#include "request-task.h"

#include <string.h>

#include <event2/buffer.h>

#include "anvil/log.h"
#include "caller-request.h"
#include "caller-response.h"
#include "http-headers.h"
#include "request-trace.h"

/* Estimated size of the start line and headers of a message on a link. */
#define HEADER_BYTES_ESTIMATE 512
#define BITS_PER_BYTE 8
/* A failure this shortly before the deadline counts as a time-out, because the event loop may run
 * timers early. */
#define TIMER_TOLERANCE (20 * ANVIL_MS)

struct anvil_request_task
{
  anvil_request_task_options_t options;
  anvil_claims_task_t *claims;
  guint64 last_id;
  /* anvil_caller_request_t by id. */
  GHashTable *requests;
};

anvil_request_task_t *
anvil_request_task_new (const anvil_request_task_options_t *options)
{
  anvil_request_task_t *task = g_new0 (anvil_request_task_t, 1);

  task->options = *options;
  task->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return task;
}

void
anvil_request_task_drop (anvil_request_task_t *task)
{
  GHashTableIter iter;
  gpointer value;

  if (task == NULL)
    return;
  g_hash_table_iter_init (&iter, task->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      anvil_caller_request_t *request = value;

      if (request->attempt != NULL)
        anvil_attempt_cancel (request->attempt);
      if (request->http != NULL)
        anvil_caller_connections_request_finished (task->options.callers, request->http);
      anvil_caller_request_drop (request);
    }
  g_hash_table_unref (task->requests);
  g_free (task);
}

void
anvil_request_task_set_claims (anvil_request_task_t *task, anvil_claims_task_t *claims)
{
  task->claims = claims;
}

guint
anvil_request_task_count (const anvil_request_task_t *task)
{
  return g_hash_table_size (task->requests);
}

static anvil_caller_request_t *
lookup_request (const anvil_request_task_t *task, guint64 id)
{
  return g_hash_table_lookup (task->requests, &id);
}

/* Records and frees a request. If its caller is still connected, the response was passed to evhttp
 * before. */
static void
finish_request (anvil_request_task_t *task,
                anvil_caller_request_t *request,
                const char *outcome,
                guint status)
{
  char *labels = g_strdup_printf ("service=\"%s\",outcome=\"%s\"", request->service_name, outcome);
  char *service_labels = g_strdup_printf ("service=\"%s\"", request->service_name);
  anvil_time_t duration = anvil_clock_now () - request->received_at;

  anvil_metrics_add_counter (task->options.metrics, "anvil_requests_total", labels, 1);
  anvil_metrics_observe_histogram (task->options.metrics, "anvil_request_seconds", service_labels,
                                   (gdouble) duration / (gdouble) ANVIL_SECOND);
  anvil_request_trace_end (task->options.traces, request, outcome, status);
  g_hash_table_remove (task->requests, &request->id);
  anvil_caller_request_drop (request);
  g_free (labels);
  g_free (service_labels);
}

/* Takes evhttp's request in order to respond to it; NULL if the caller has disconnected. */
static struct evhttp_request *
take_http_request (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  struct evhttp_request *http = g_steal_pointer (&request->http);

  if (http != NULL)
    anvil_caller_connections_request_finished (task->options.callers, http);
  return http;
}

/* Records the outcome of a request in its claim, if it has one. */
static void
finish_claim (anvil_request_task_t *task,
              anvil_caller_request_t *request,
              anvil_claim_outcome_t outcome,
              int status)
{
  if (request->claim_state == ANVIL_REQUEST_CLAIMED)
    anvil_claims_task_finished (task->claims, request->id, outcome, status);
  request->claim_state = ANVIL_REQUEST_UNCLAIMED;
}

static void
on_attempt_done (void *context, anvil_attempt_result_t result, struct evhttp_request *response)
{
  anvil_caller_request_t *request = context;
  anvil_request_task_t *task = request->task;
  gint64 bits = 0;

  request->attempt = NULL;
  request->response = response;
  if (response != NULL)
    bits = (gint64) (HEADER_BYTES_ESTIMATE
                     + evbuffer_get_length (evhttp_request_get_input_buffer (response)))
           * BITS_PER_BYTE;
  anvil_request_trace_attempt (task->options.traces, task->options.metrics, request, result);
  /* From within this call the core finishes the request or dispatches it again. */
  anvil_steer_attempt_finished (task->options.steer, anvil_clock_now (), request->id, result, bits);
}

static void
add_headers (const anvil_caller_request_t *request,
             const anvil_dispatch_t *dispatch,
             struct evkeyvalq *headers)
{
  anvil_time_t time_left = dispatch->deadline - anvil_clock_now ();
  char traceparent[ANVIL_TRACEPARENT_LENGTH + 1];
  char text[32];

  if (request->http != NULL)
    anvil_headers_copy_end_to_end (evhttp_request_get_input_headers (request->http), headers);
  evhttp_remove_header (headers, "traceparent");
  anvil_trace_context_format (&request->attempt_span, traceparent);
  evhttp_add_header (headers, "traceparent", traceparent);
  evhttp_remove_header (headers, "Anvil-Timeout-Ms");
  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, MAX (time_left / ANVIL_MS, 1));
  evhttp_add_header (headers, "Anvil-Timeout-Ms", text);
  if (evbuffer_get_length (request->body) > 0)
    {
      g_snprintf (text, sizeof text, "%zu", evbuffer_get_length (request->body));
      evhttp_add_header (headers, "Content-Length", text);
    }
}

static const char *
request_uri (const anvil_caller_request_t *request)
{
  return request->http != NULL ? evhttp_request_get_uri (request->http) : "/";
}

void
anvil_request_task_dispatch (anvil_request_task_t *task,
                             const anvil_request_t *submitted,
                             const anvil_dispatch_t *dispatch)
{
  anvil_caller_request_t *request = lookup_request (task, submitted->id);
  const anvil_config_t *config = anvil_steer_config (task->options.steer);
  anvil_upstream_request_t target;
  struct evhttp_request *http;

  if (request == NULL)
    g_error ("dispatch of unknown request");
  target
      = (anvil_upstream_request_t){ .address = dispatch->address,
                                    .port = dispatch->port,
                                    .method = request->method,
                                    .uri = request_uri (request),
                                    .deadline = dispatch->deadline,
                                    .pace_bytes_per_s = dispatch->pace_bits_per_s / BITS_PER_BYTE };
  anvil_request_trace_dispatch (task->options.traces, request);
  g_free (request->upstream_name);
  request->upstream_name = anvil_str_dup (config->upstreams[dispatch->upstream].name);

  request->attempt
      = anvil_attempt_new (task->options.upstream_pool, &target, on_attempt_done, request);
  http = anvil_attempt_request (request->attempt);
  add_headers (request, dispatch, evhttp_request_get_output_headers (http));
  /* Added by reference, so that the body stays available for another attempt. */
  evbuffer_add_buffer_reference (evhttp_request_get_output_buffer (http), request->body);
  anvil_attempt_start (request->attempt);
}

/* Forwards a complete response of an upstream to the caller. */
static guint
forward_response (struct evhttp_request *http, struct evhttp_request *response, gboolean is_head)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  const struct evkeyvalq *response_headers = evhttp_request_get_input_headers (response);
  const char *length = evhttp_find_header (response_headers, "Content-Length");
  int status = evhttp_request_get_response_code (response);

  anvil_headers_copy_end_to_end (response_headers, headers);
  evhttp_remove_header (headers, ANVIL_ATTEMPT_ID);
  evhttp_remove_header (headers, "Anvil-Outcome");
  evhttp_add_header (headers, "Anvil-Outcome", "answered");
  if (is_head && length != NULL)
    evhttp_add_header (headers, "Content-Length", length);
  evhttp_send_reply (http, status, evhttp_request_get_response_code_line (response),
                     evhttp_request_get_input_buffer (response));
  return (guint) status;
}

void
anvil_request_task_finish (anvil_request_task_t *task, guint64 id, anvil_attempt_result_t result)
{
  anvil_caller_request_t *request = lookup_request (task, id);
  struct evhttp_request *http;
  guint status;

  if (request == NULL)
    return;
  if (result == ANVIL_ATTEMPT_ANSWERED && request->response != NULL)
    finish_claim (task, request, ANVIL_CLAIM_OUTCOME_ANSWERED,
                  evhttp_request_get_response_code (request->response));
  else
    finish_claim (task, request, ANVIL_CLAIM_OUTCOME_UNKNOWN, 0);
  http = take_http_request (task, request);
  if (http == NULL)
    {
      finish_request (task, request, "left", 0);
      return;
    }
  if (result == ANVIL_ATTEMPT_ANSWERED && request->response != NULL)
    {
      status = forward_response (http, request->response, request->method == EVHTTP_REQ_HEAD);
      finish_request (task, request, "answered", status);
      return;
    }
  status = anvil_clock_now () >= request->deadline - TIMER_TOLERANCE ? 504 : 502;
  anvil_respond_unknown (http, (int) status,
                         "the request may have run, but no complete response was received");
  finish_request (task, request, "unknown", status);
}

static void
count_refusal (anvil_request_task_t *task, anvil_refusal_reason_t reason)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", anvil_refusal_reason_name (reason));
  anvil_metrics_add_counter (task->options.metrics, "anvil_refusals_total", labels, 1);
}

static const char *
refusal_message (anvil_refusal_reason_t reason)
{
  switch (reason)
    {
    case ANVIL_REFUSAL_NOT_READY:
      return "not run: this entry has no configuration yet";
    case ANVIL_REFUSAL_QUEUE_FULL:
      return "not run: the queue of this service is full";
    case ANVIL_REFUSAL_DEADLINE:
      return "not run: no upstream became available before the deadline";
    case ANVIL_REFUSAL_NO_UPSTREAM:
      return "not run: no upstream of this service accepts requests";
    case ANVIL_REFUSAL_RETRIES_EXHAUSTED:
      return "not run: all attempted upstreams refused the request";
    case ANVIL_REFUSAL_LEAVING:
      return "not run: this entry is shutting down";
    case ANVIL_REFUSAL_OTHER_GENERATION:
      return "not run: the configuration changed while the request was waiting";
    }
  return "not run";
}

void
anvil_request_task_refuse (anvil_request_task_t *task,
                           guint64 id,
                           anvil_refusal_reason_t reason,
                           anvil_time_t retry_after)
{
  anvil_caller_request_t *request = lookup_request (task, id);
  struct evhttp_request *http;

  if (request == NULL)
    return;
  count_refusal (task, reason);
  finish_claim (task, request, ANVIL_CLAIM_OUTCOME_NOT_RUN, 0);
  http = take_http_request (task, request);
  if (http != NULL)
    anvil_respond_refused (http, anvil_refusal_reason_name (reason), refusal_message (reason),
                           retry_after);
  finish_request (task, request, http != NULL ? "refused" : "left", HTTP_SERVUNAVAIL);
}

/* The caller has disconnected: drops the request if it is waiting or may safely run again. */
static void
on_caller_disconnected (void *context)
{
  anvil_caller_request_t *request = context;
  anvil_request_task_t *task = request->task;
  struct evhttp_connection *connection = evhttp_request_get_connection (request->http);
  guint64 id = request->id;

  anvil_caller_connections_request_finished (task->options.callers, request->http);
  request->http = NULL;
  evhttp_connection_free (connection);
  if (request->claim_state == ANVIL_REQUEST_CLAIM_PENDING)
    {
      anvil_claims_task_cancel (task->claims, id);
      finish_request (task, request, "left", 0);
      return;
    }
  if (anvil_steer_cancel (task->options.steer, anvil_clock_now (), id))
    {
      finish_claim (task, request, ANVIL_CLAIM_OUTCOME_NOT_RUN, 0);
      finish_request (task, request, "left", 0);
      return;
    }
  /* An attempt that must not run twice is not cancelled, so that its outcome becomes known. */
  if (request->attempt != NULL && request->idempotent)
    {
      anvil_attempt_result_t result = anvil_attempt_cancel (request->attempt);

      request->attempt = NULL;
      anvil_request_trace_attempt (task->options.traces, task->options.metrics, request, result);
      anvil_steer_attempt_finished (task->options.steer, anvil_clock_now (), id, result, 0);
    }
}

static guint64
affinity_hash (struct evhttp_request *http)
{
  return anvil_str_hash (anvil_str (evhttp_request_get_uri (http)));
}

static void
submit_request (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  gint64 bytes = (gint64) evbuffer_get_length (request->body) + HEADER_BYTES_ESTIMATE;
  anvil_request_t submitted = {
    .id = request->id,
    .service = request->service_index,
    .client_address = request->client_address,
    .idempotent = request->idempotent,
    .deadline = request->deadline,
    .request_bits = bytes * BITS_PER_BYTE,
    .affinity = affinity_hash (request->http),
  };

  anvil_steer_submit (task->options.steer, anvil_clock_now (), &submitted);
}

/* Responds to a request whose verdict is not ANVIL_CLAIM_RUN. */
static void
respond_to_verdict (struct evhttp_request *http, anvil_claim_verdict_t verdict, gint status)
{
  if (verdict == ANVIL_CLAIM_RECORDED)
    anvil_respond_recorded (http, status);
  else if (verdict == ANVIL_CLAIM_UNKNOWN)
    anvil_respond_unknown (
        http, 409, "the outcome of an earlier request with this idempotency key is unknown");
  else
    anvil_respond_refused (
        http, "claim", "not run: the idempotency key couldn't be claimed in time", ANVIL_SECOND);
}

static void
finish_by_verdict (anvil_request_task_t *task,
                   anvil_caller_request_t *request,
                   anvil_claim_verdict_t verdict,
                   gint status)
{
  static const struct
  {
    const char *outcome;
    guint status;
  } results[] = {
    [ANVIL_CLAIM_RECORDED] = { "answered", 0 },
    [ANVIL_CLAIM_UNKNOWN] = { "unknown", 409 },
    [ANVIL_CLAIM_UNAVAILABLE] = { "refused", HTTP_SERVUNAVAIL },
  };

  request->claim_state = ANVIL_REQUEST_UNCLAIMED;
  respond_to_verdict (take_http_request (task, request), verdict, status);
  finish_request (task, request, results[verdict].outcome,
                  results[verdict].status != 0 ? results[verdict].status : (guint) status);
}

void
anvil_request_task_claim_decided (void *data,
                                  guint64 id,
                                  anvil_claim_verdict_t verdict,
                                  gint status)
{
  anvil_request_task_t *task = data;
  anvil_caller_request_t *request = lookup_request (task, id);
  const anvil_config_t *config = anvil_steer_config (task->options.steer);

  if (request == NULL)
    return;
  anvil_request_trace_claim (task->options.traces, request);
  if (verdict != ANVIL_CLAIM_RUN)
    {
      finish_by_verdict (task, request, verdict, status);
      return;
    }
  request->claim_state = ANVIL_REQUEST_CLAIMED;
  /* The configuration may have changed while the claim was pending. */
  request->service_index = anvil_config_lookup_service (config, anvil_str (request->service_name));
  if (request->service_index == ANVIL_NO_INDEX)
    anvil_request_task_refuse (task, id, ANVIL_REFUSAL_OTHER_GENERATION, ANVIL_SECOND);
  else
    submit_request (task, request);
}

/* Claims the idempotency key of a request that must not run twice; submits other requests. */
static void
claim_or_submit (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  if (task->claims == NULL || request->idempotency_key == NULL || request->idempotent)
    {
      submit_request (task, request);
      return;
    }
  request->claim_state = ANVIL_REQUEST_CLAIM_PENDING;
  anvil_claims_task_submit (task->claims, request->id, anvil_str (request->service_name),
                            anvil_str (request->idempotency_key), request->deadline);
}

void
anvil_request_task_accept (anvil_request_task_t *task, struct evhttp_request *http)
{
  const anvil_config_t *config = anvil_steer_config (task->options.steer);
  anvil_caller_request_t *request;
  anvil_request_error_t error;

  if (config == NULL)
    {
      count_refusal (task, ANVIL_REFUSAL_NOT_READY);
      anvil_caller_connections_request_finished (task->options.callers, http);
      anvil_respond_refused (http, anvil_refusal_reason_name (ANVIL_REFUSAL_NOT_READY),
                             refusal_message (ANVIL_REFUSAL_NOT_READY), ANVIL_SECOND);
      return;
    }
  request = anvil_caller_request_new (task->last_id + 1, http, config, anvil_clock_now (), &error);
  if (request == NULL)
    {
      anvil_metrics_add_counter (task->options.metrics, "anvil_bad_requests_total",
                                 error.counter_label, 1);
      anvil_caller_connections_request_finished (task->options.callers, http);
      anvil_respond_bad_request (http, error.status, error.message);
      return;
    }
  task->last_id = request->id;
  request->task = task;
  g_hash_table_insert (task->requests, &request->id, request);
  anvil_caller_connections_watch_disconnect (task->options.callers, http, on_caller_disconnected,
                                             request);
  claim_or_submit (task, request);
}
