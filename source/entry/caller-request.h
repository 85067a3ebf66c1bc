#pragma once

#include <event2/http.h>

#include "anvil/steer.h"
#include "trace-context.h"
#include "upstream-attempt.h"

/* Longest Idempotency-Key, bytes. */
#define ANVIL_MAX_IDEMPOTENCY_KEY 128

struct anvil_request_task;

/** anvil_request_claim_t - where the claim of a request's key stands */
typedef enum
{
  ANVIL_REQUEST_UNCLAIMED,
  ANVIL_REQUEST_CLAIMING,
  ANVIL_REQUEST_CLAIMED,
} anvil_request_claim_t;

/**
 * anvil_caller_request_t - one request of a caller, from its arrival to its answer
 * @id: tells it apart from all others of this process
 * @task: the task that owns it
 * @http: the library's request; NULL once its caller has left
 * @service: name of the service
 * @service_index: its index in the configuration that was in force on arrival
 * @method: HTTP method
 * @client: IPv4 of the caller, host order
 * @idempotent: whether it may be run again
 * @key: Idempotency-Key, or NULL
 * @claim: where the claim of @key stands
 * @deadline: when the caller gives up, on the monotonic clock
 * @body: its body, whole
 * @trace: the span of the whole request
 * @parent_span: span of the caller, 0 for none
 * @arrived: wall clock
 * @arrived_at: monotonic clock
 * @dispatched: wall clock at which the last hop began or ended
 * @attempt: the attempt under way, or NULL
 * @attempt_span: its span
 * @upstream: name of the upstream of the last attempt
 * @response: the answer, borrowed while it is being passed on
 */
typedef struct
{
  guint64 id;
  struct anvil_request_task *task;
  struct evhttp_request *http;
  char *service;
  guint service_index;
  enum evhttp_cmd_type method;
  guint32 client;
  gboolean idempotent;
  char *key;
  anvil_request_claim_t claim;
  anvil_time_t deadline;
  struct evbuffer *body;
  anvil_trace_context_t trace;
  guint64 parent_span;
  anvil_time_t arrived;
  anvil_time_t arrived_at;
  anvil_time_t dispatched;
  anvil_attempt_t *attempt;
  anvil_trace_context_t attempt_span;
  char *upstream;
  struct evhttp_request *response;
} anvil_caller_request_t;

/**
 * anvil_request_fault_t - why a request was not accepted
 * @status: HTTP status
 * @reason: label of the counter, "reason=\"...\""
 * @what: a sentence for the caller
 */
typedef struct
{
  int status;
  const char *reason;
  const char *what;
} anvil_request_fault_t;

/**
 * anvil_caller_request_new - checks a request against the file in force and takes over its body
 * @fault: what was wrong, if the result is NULL; the request is then still to be answered
 */
anvil_caller_request_t *anvil_caller_request_new (guint64 id,
                                                  struct evhttp_request *http,
                                                  const anvil_config_t *config,
                                                  anvil_time_t now,
                                                  anvil_request_fault_t *fault);
void anvil_caller_request_drop (anvil_caller_request_t *request);

/** anvil_caller_request_client - IPv4 of a connection's other end, host order; 0 if unknown */
guint32 anvil_caller_request_client (struct evhttp_request *http);
