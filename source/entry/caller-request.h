#pragma once

#include <event2/http.h>

#include "anvil/steer.h"
#include "trace-context.h"
#include "upstream-attempt.h"

/* Longest Idempotency-Key, bytes. */
#define ANVIL_MAX_IDEMPOTENCY_KEY_BYTES 128

struct anvil_request_task;

/** anvil_request_claim_state_t - where the claim of a request's key stands */
typedef enum
{
  ANVIL_REQUEST_UNCLAIMED,
  ANVIL_REQUEST_CLAIM_PENDING,
  ANVIL_REQUEST_CLAIMED,
} anvil_request_claim_state_t;

/**
 * anvil_caller_request_t - one request of a caller, from its arrival to its answer
 * @id: tells it apart from all others of this process
 * @task: the task that owns it
 * @http: the library's request; NULL once its caller has left
 * @service_name: name of the service
 * @service_index: its index in the configuration that was in force on arrival
 * @method: HTTP method
 * @client_address: IPv4 of the caller, host order
 * @idempotent: whether it may be run again
 * @idempotency_key: Idempotency-Key, or NULL
 * @claim_state: where the claim of @idempotency_key stands
 * @deadline: when the caller gives up, on the monotonic clock
 * @body: its body, whole
 * @span: the span of the whole request
 * @parent_span_id: span of the caller, 0 for none
 * @received_wall_time: wall clock
 * @received_at: monotonic clock
 * @hop_started_wall_time: wall clock at which the last hop began or ended
 * @attempt: the attempt under way, or NULL
 * @attempt_span: its span
 * @upstream_name: name of the upstream of the last attempt
 * @response: the answer, borrowed while it is being passed on
 */
typedef struct
{
  guint64 id;
  struct anvil_request_task *task;
  struct evhttp_request *http;
  char *service_name;
  guint service_index;
  enum evhttp_cmd_type method;
  guint32 client_address;
  gboolean idempotent;
  char *idempotency_key;
  anvil_request_claim_state_t claim_state;
  anvil_time_t deadline;
  struct evbuffer *body;
  anvil_trace_context_t span;
  guint64 parent_span_id;
  anvil_time_t received_wall_time;
  anvil_time_t received_at;
  anvil_time_t hop_started_wall_time;
  anvil_attempt_t *attempt;
  anvil_trace_context_t attempt_span;
  char *upstream_name;
  struct evhttp_request *response;
} anvil_caller_request_t;

/**
 * anvil_request_error_t - why a request was not accepted
 * @status: HTTP status
 * @counter_label: label of the counter, "reason=\"...\""
 * @message: a sentence for the caller
 */
typedef struct
{
  int status;
  const char *counter_label;
  const char *message;
} anvil_request_error_t;

/**
 * anvil_caller_request_new - checks a request against the file in force and takes over its body
 * @fault: what was wrong, if the result is NULL; the request is then still to be answered
 */
anvil_caller_request_t *anvil_caller_request_new (guint64 id,
                                                  struct evhttp_request *http,
                                                  const anvil_config_t *config,
                                                  anvil_time_t now,
                                                  anvil_request_error_t *fault);
void anvil_caller_request_drop (anvil_caller_request_t *request);

/** anvil_caller_request_client_address - IPv4 of a connection's other end, host order; 0 if unknown
 */
guint32 anvil_caller_request_client_address (struct evhttp_request *http);
