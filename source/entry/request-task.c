#include "request-task.h"

#include <string.h>

#include <event2/buffer.h>

#include "anvil/log.h"
#include "caller-answer.h"
#include "caller-request.h"
#include "http-headers.h"
#include "request-trace.h"

/* What a request's line and headers are taken to measure on a link. */
#define HEADER_BYTES 512
#define BITS_PER_BYTE 8
/* The event loop may run a timer this much early. */
#define DEADLINE_SLACK (20 * ANVIL_MS)

struct anvil_request_task
{
  anvil_request_task_parts_t parts;
  anvil_claims_task_t *claims;
  guint64 last_id;
  /* Requests by id. */
  GHashTable *requests;
};

anvil_request_task_t *
anvil_request_task_new (const anvil_request_task_parts_t *parts)
{
  anvil_request_task_t *task = g_new0 (anvil_request_task_t, 1);

  task->parts = *parts;
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
        anvil_caller_end (task->parts.callers, request->http);
      anvil_caller_request_drop (request);
    }
  g_hash_table_unref (task->requests);
  g_free (task);
}

void
anvil_request_task_use_claims (anvil_request_task_t *task, anvil_claims_task_t *claims)
{
  task->claims = claims;
}

guint
anvil_request_task_count (const anvil_request_task_t *task)
{
  return g_hash_table_size (task->requests);
}

static anvil_caller_request_t *
lookup (const anvil_request_task_t *task, guint64 id)
{
  return g_hash_table_lookup (task->requests, &id);
}

/* Ends a request whose answer, if it can have one, was handed over. */
static void
forget (anvil_request_task_t *task,
        anvil_caller_request_t *request,
        const char *outcome,
        guint status)
{
  char *labels = g_strdup_printf ("service=\"%s\",outcome=\"%s\"", request->service, outcome);
  char *service = g_strdup_printf ("service=\"%s\"", request->service);
  anvil_time_t took = anvil_clock_now () - request->arrived_at;

  anvil_metrics_add_counter (task->parts.counters, "anvil_requests_total", labels, 1);
  anvil_metrics_observe_histogram (task->parts.counters, "anvil_request_seconds", service,
                                   (gdouble) took / (gdouble) ANVIL_SECOND);
  anvil_request_trace_end (task->parts.traces, request, outcome, status);
  g_hash_table_remove (task->requests, &request->id);
  anvil_caller_request_drop (request);
  g_free (labels);
  g_free (service);
}

/* The library's request, ready for its answer; NULL if the caller has left. */
static struct evhttp_request *
take_caller (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  struct evhttp_request *http = g_steal_pointer (&request->http);

  if (http != NULL)
    anvil_caller_end (task->parts.callers, http);
  return http;
}

/* Tells the claim how its request ended; does nothing without one. */
static void
end_claim (anvil_request_task_t *task,
           anvil_caller_request_t *request,
           anvil_claim_outcome_t end,
           int status)
{
  if (request->claim == ANVIL_REQUEST_CLAIMED)
    anvil_claims_task_finished (task->claims, request->id, end, status);
  request->claim = ANVIL_REQUEST_UNCLAIMED;
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
    bits
        = (gint64) (HEADER_BYTES + evbuffer_get_length (evhttp_request_get_input_buffer (response)))
          * BITS_PER_BYTE;
  anvil_request_trace_attempt (task->parts.traces, task->parts.counters, request, result);
  /* The core ends the request from inside this call, or tries again. */
  anvil_steer_attempt_finished (task->parts.steer, anvil_clock_now (), request->id, result, bits);
}

static void
fill_headers (const anvil_caller_request_t *request,
              const anvil_dispatch_t *dispatch,
              struct evkeyvalq *headers)
{
  anvil_time_t left = dispatch->deadline - anvil_clock_now ();
  char traceparent[ANVIL_TRACEPARENT_LENGTH + 1];
  char number[32];

  if (request->http != NULL)
    anvil_headers_copy (evhttp_request_get_input_headers (request->http), headers);
  evhttp_remove_header (headers, "traceparent");
  anvil_trace_context_format (&request->attempt_span, traceparent);
  evhttp_add_header (headers, "traceparent", traceparent);
  evhttp_remove_header (headers, "Anvil-Timeout-Ms");
  g_snprintf (number, sizeof number, "%" G_GINT64_FORMAT, MAX (left / ANVIL_MS, 1));
  evhttp_add_header (headers, "Anvil-Timeout-Ms", number);
  if (evbuffer_get_length (request->body) > 0)
    {
      g_snprintf (number, sizeof number, "%zu", evbuffer_get_length (request->body));
      evhttp_add_header (headers, "Content-Length", number);
    }
}

static const char *
uri_of (const anvil_caller_request_t *request)
{
  return request->http != NULL ? evhttp_request_get_uri (request->http) : "/";
}

void
anvil_request_task_dispatch (anvil_request_task_t *task,
                             const anvil_request_t *wanted,
                             const anvil_dispatch_t *dispatch)
{
  anvil_caller_request_t *request = lookup (task, wanted->id);
  const anvil_config_t *config = anvil_steer_config (task->parts.steer);
  anvil_attempt_order_t order;
  struct evhttp_request *out;

  if (request == NULL)
    g_error ("dispatch of a request that is not under way");
  order = (anvil_attempt_order_t){ .address = dispatch->address,
                                   .port = dispatch->port,
                                   .method = request->method,
                                   .uri = uri_of (request),
                                   .deadline = dispatch->deadline,
                                   .pace_bytes_per_s = dispatch->pace_bits_per_s / BITS_PER_BYTE };
  anvil_request_trace_dispatch (task->parts.traces, request);
  g_free (request->upstream);
  request->upstream = anvil_str_dup (config->upstreams[dispatch->upstream].name);

  request->attempt = anvil_attempt_new (task->parts.pool, &order, on_attempt_done, request);
  out = anvil_attempt_request (request->attempt);
  fill_headers (request, dispatch, evhttp_request_get_output_headers (out));
  /* By reference, so that the body is still there for another attempt. */
  evbuffer_add_buffer_reference (evhttp_request_get_output_buffer (out), request->body);
  anvil_attempt_start (request->attempt);
}

/* Passes the whole answer of an upstream on. */
static guint
pass_on (struct evhttp_request *http, struct evhttp_request *response, gboolean head)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  const struct evkeyvalq *from = evhttp_request_get_input_headers (response);
  const char *length = evhttp_find_header (from, "Content-Length");
  int status = evhttp_request_get_response_code (response);

  anvil_headers_copy (from, headers);
  evhttp_remove_header (headers, "Anvil-Outcome");
  evhttp_add_header (headers, "Anvil-Outcome", "answered");
  if (head && length != NULL)
    evhttp_add_header (headers, "Content-Length", length);
  evhttp_send_reply (http, status, evhttp_request_get_response_code_line (response),
                     evhttp_request_get_input_buffer (response));
  return (guint) status;
}

void
anvil_request_task_finish (anvil_request_task_t *task, guint64 id, anvil_attempt_result_t result)
{
  anvil_caller_request_t *request = lookup (task, id);
  struct evhttp_request *http;
  guint status;

  if (request == NULL)
    return;
  if (result == ANVIL_ATTEMPT_ANSWERED && request->response != NULL)
    end_claim (task, request, ANVIL_CLAIM_OUTCOME_ANSWERED,
               evhttp_request_get_response_code (request->response));
  else
    end_claim (task, request, ANVIL_CLAIM_OUTCOME_UNKNOWN, 0);
  http = take_caller (task, request);
  if (http == NULL)
    {
      forget (task, request, "left", 0);
      return;
    }
  if (result == ANVIL_ATTEMPT_ANSWERED && request->response != NULL)
    {
      status = pass_on (http, request->response, request->method == EVHTTP_REQ_HEAD);
      forget (task, request, "answered", status);
      return;
    }
  status = anvil_clock_now () >= request->deadline - DEADLINE_SLACK ? 504 : 502;
  anvil_answer_unknown (http, (int) status, "the request may have run, its answer was lost");
  forget (task, request, "unknown", status);
}

static void
count_refusal (anvil_request_task_t *task, anvil_refusal_reason_t why)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", anvil_refusal_reason_name (why));
  anvil_metrics_add_counter (task->parts.counters, "anvil_refusals_total", labels, 1);
}

static const char *
describe (anvil_refusal_reason_t why)
{
  switch (why)
    {
    case ANVIL_REFUSAL_NOT_READY:
      return "not run: this entry has no configuration yet";
    case ANVIL_REFUSAL_QUEUE_FULL:
      return "not run: too many requests wait for this service";
    case ANVIL_REFUSAL_DEADLINE:
      return "not run: no upstream was free before the deadline";
    case ANVIL_REFUSAL_NO_UPSTREAM:
      return "not run: no upstream of this service takes work";
    case ANVIL_REFUSAL_RETRIES_EXHAUSTED:
      return "not run: every upstream that was tried turned it away";
    case ANVIL_REFUSAL_LEAVING:
      return "not run: this entry shuts down";
    case ANVIL_REFUSAL_OTHER_GENERATION:
      return "not run: the operators' file changed meanwhile";
    }
  return "not run";
}

void
anvil_request_task_refuse (anvil_request_task_t *task,
                           guint64 id,
                           anvil_refusal_reason_t why,
                           anvil_time_t retry_after)
{
  anvil_caller_request_t *request = lookup (task, id);
  struct evhttp_request *http;

  if (request == NULL)
    return;
  count_refusal (task, why);
  end_claim (task, request, ANVIL_CLAIM_OUTCOME_NOT_RUN, 0);
  http = take_caller (task, request);
  if (http != NULL)
    anvil_answer_refused (http, anvil_refusal_reason_name (why), describe (why), retry_after);
  forget (task, request, http != NULL ? "refused" : "left", HTTP_SERVUNAVAIL);
}

/* The caller has left: a request that waits, or may run again, is dropped. */
static void
on_caller_gone (void *context)
{
  anvil_caller_request_t *request = context;
  anvil_request_task_t *task = request->task;
  struct evhttp_connection *connection = evhttp_request_get_connection (request->http);
  guint64 id = request->id;

  anvil_caller_end (task->parts.callers, request->http);
  request->http = NULL;
  evhttp_connection_free (connection);
  if (request->claim == ANVIL_REQUEST_CLAIMING)
    {
      anvil_claims_task_cancel (task->claims, id);
      forget (task, request, "left", 0);
      return;
    }
  if (anvil_steer_cancel (task->parts.steer, anvil_clock_now (), id))
    {
      end_claim (task, request, ANVIL_CLAIM_OUTCOME_NOT_RUN, 0);
      forget (task, request, "left", 0);
      return;
    }
  /* Work that must not run twice is left to end, so that its outcome is known. */
  if (request->attempt != NULL && request->idempotent)
    {
      anvil_attempt_result_t result = anvil_attempt_cancel (request->attempt);

      request->attempt = NULL;
      anvil_request_trace_attempt (task->parts.traces, task->parts.counters, request, result);
      anvil_steer_attempt_finished (task->parts.steer, anvil_clock_now (), id, result, 0);
    }
}

static guint64
affinity_of (struct evhttp_request *http)
{
  return anvil_str_hash (anvil_str (evhttp_request_get_uri (http)));
}

static void
submit (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  gint64 bytes = (gint64) evbuffer_get_length (request->body) + HEADER_BYTES;
  anvil_request_t wanted = {
    .id = request->id,
    .service = request->service_index,
    .client_address = request->client,
    .idempotent = request->idempotent,
    .deadline = request->deadline,
    .request_bits = bytes * BITS_PER_BYTE,
    .affinity = affinity_of (request->http),
  };

  anvil_steer_submit (task->parts.steer, anvil_clock_now (), &wanted);
}

/* A verdict other than to run. */
static void
answer_verdict (struct evhttp_request *http, anvil_claim_verdict_t verdict, gint status)
{
  if (verdict == ANVIL_CLAIM_RECORDED)
    anvil_answer_recorded (http, status);
  else if (verdict == ANVIL_CLAIM_UNKNOWN)
    anvil_answer_unknown (http, 409, "the outcome of an earlier request with this key isn't known");
  else
    anvil_answer_refused (http, "claim", "not run: the key couldn't be claimed in time",
                          ANVIL_SECOND);
}

static void
end_by_verdict (anvil_request_task_t *task,
                anvil_caller_request_t *request,
                anvil_claim_verdict_t verdict,
                gint status)
{
  static const struct
  {
    const char *outcome;
    guint status;
  } ends[] = {
    [ANVIL_CLAIM_RECORDED] = { "answered", 0 },
    [ANVIL_CLAIM_UNKNOWN] = { "unknown", 409 },
    [ANVIL_CLAIM_UNAVAILABLE] = { "refused", HTTP_SERVUNAVAIL },
  };

  request->claim = ANVIL_REQUEST_UNCLAIMED;
  answer_verdict (take_caller (task, request), verdict, status);
  forget (task, request, ends[verdict].outcome,
          ends[verdict].status != 0 ? ends[verdict].status : (guint) status);
}

void
anvil_request_task_decided (void *data, guint64 id, anvil_claim_verdict_t verdict, gint status)
{
  anvil_request_task_t *task = data;
  anvil_caller_request_t *request = lookup (task, id);
  const anvil_config_t *config = anvil_steer_config (task->parts.steer);

  if (request == NULL)
    return;
  anvil_request_trace_claim (task->parts.traces, request);
  if (verdict != ANVIL_CLAIM_RUN)
    {
      end_by_verdict (task, request, verdict, status);
      return;
    }
  request->claim = ANVIL_REQUEST_CLAIMED;
  /* The file may have changed during the wait. */
  request->service_index = anvil_config_lookup_service (config, anvil_str (request->service));
  if (request->service_index == ANVIL_NO_INDEX)
    anvil_request_task_refuse (task, id, ANVIL_REFUSAL_OTHER_GENERATION, ANVIL_SECOND);
  else
    submit (task, request);
}

/* A request with a key that must not run twice claims it first. */
static void
claim_or_submit (anvil_request_task_t *task, anvil_caller_request_t *request)
{
  if (task->claims == NULL || request->key == NULL || request->idempotent)
    {
      submit (task, request);
      return;
    }
  request->claim = ANVIL_REQUEST_CLAIMING;
  anvil_claims_task_submit (task->claims, request->id, anvil_str (request->service),
                            anvil_str (request->key), request->deadline);
}

void
anvil_request_task_accept (anvil_request_task_t *task, struct evhttp_request *http)
{
  const anvil_config_t *config = anvil_steer_config (task->parts.steer);
  anvil_caller_request_t *request;
  anvil_request_fault_t fault;

  if (config == NULL)
    {
      count_refusal (task, ANVIL_REFUSAL_NOT_READY);
      anvil_caller_end (task->parts.callers, http);
      anvil_answer_refused (http, anvil_refusal_reason_name (ANVIL_REFUSAL_NOT_READY),
                            describe (ANVIL_REFUSAL_NOT_READY), ANVIL_SECOND);
      return;
    }
  request = anvil_caller_request_new (task->last_id + 1, http, config, anvil_clock_now (), &fault);
  if (request == NULL)
    {
      anvil_metrics_add_counter (task->parts.counters, "anvil_bad_requests_total", fault.reason, 1);
      anvil_caller_end (task->parts.callers, http);
      anvil_answer_bad (http, fault.status, fault.what);
      return;
    }
  task->last_id = request->id;
  request->task = task;
  g_hash_table_insert (task->requests, &request->id, request);
  anvil_caller_watch (task->parts.callers, http, on_caller_gone, request);
  claim_or_submit (task, request);
}
