#pragma once

#include <event2/http.h>

#include "anvil/steer.h"
#include "trace-context.h"
#include "upstream-attempt.h"

#define ANVIL_MAX_IDEMPOTENCY_KEY_BYTES 128

struct anvil_request_task;

/** anvil_request_claim_state_t - state of the claim of a request's idempotency key */
typedef enum
{
  ANVIL_REQUEST_UNCLAIMED,
  ANVIL_REQUEST_CLAIM_PENDING,
  ANVIL_REQUEST_CLAIMED,
} anvil_request_claim_state_t;

/**
 * anvil_caller_request_t - one request of a caller, until its response
 * @id: unique in this process
 * @task: the task that owns it
 * @http: evhttp's request; NULL once the caller has disconnected
 * @service_name: name of the service
 * @service_index: its index in the configuration in force when the request was validated, or when
 *   its key was claimed
 * @method: HTTP method
 * @client_address: IPv4 address of the caller, host order
 * @idempotent: it may be run more than once
 * @idempotency_key: Idempotency-Key, or NULL
 * @claim_state: state of the claim of @idempotency_key
 * @deadline: when the caller stops waiting, monotonic clock
 * @body: the complete request body
 * @span: the span of the whole request
 * @parent_span_id: span of the caller, 0 if it sent none
 * @received_wall_time: when it was received, wall clock
 * @received_at: when it was received, monotonic clock
 * @hop_started_wall_time: when the current wait or attempt began, wall clock; 0 if that was on
 *   receipt
 * @attempt: the attempt in progress, or NULL
 * @attempt_span: span of @attempt
 * @upstream_name: name of the upstream of the last attempt
 * @response: the upstream's response, borrowed while an attempt is finished
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
 * anvil_request_error_t - why a request is invalid
 * @status: HTTP status
 * @counter_label: label of anvil_bad_requests_total, reason="..."
 * @message: error message for the caller
 */
typedef struct
{
  int status;
  const char *counter_label;
  const char *message;
} anvil_request_error_t;

/**
 * anvil_caller_request_new - validates a request against the configuration and takes its body
 * @error: set if the result is NULL; the caller of this function then responds to the request
 */
anvil_caller_request_t *anvil_caller_request_new (guint64 id,
                                                  struct evhttp_request *http,
                                                  const anvil_config_t *config,
                                                  anvil_time_t now,
                                                  anvil_request_error_t *error);
void anvil_caller_request_drop (anvil_caller_request_t *request);

/** anvil_caller_request_client_address - IPv4 of the caller, host order; 0 if unknown */
guint32 anvil_caller_request_client_address (struct evhttp_request *http);
