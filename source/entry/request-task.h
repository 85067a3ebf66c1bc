#pragma once

#include "anvil/metrics.h"
#include "anvil/steer.h"
#include "caller-connection.h"
#include "claims-task.h"
#include "trace-ring.h"
#include "upstream-pool.h"

/**
 * anvil_request_task_t - forwards requests of callers to upstreams as the decision core directs
 *
 * Owns the requests in progress. The owner of the core passes the core's
 * callbacks about requests on to the functions below.
 */
typedef struct anvil_request_task anvil_request_task_t;

/** anvil_request_task_options_t - modules that the task uses, all borrowed */
typedef struct
{
  anvil_steer_t *steer;
  anvil_caller_connections_t *callers;
  anvil_upstream_pool_t *upstream_pool;
  anvil_metrics_t *metrics;
  anvil_trace_ring_t *traces;
} anvil_request_task_options_t;

anvil_request_task_t *anvil_request_task_new (const anvil_request_task_options_t *options);

/**
 * anvil_request_task_set_claims - claims the idempotency keys of requests that must not run twice
 * @claims: borrowed; must pass its verdicts to anvil_request_task_claim_decided()
 */
void anvil_request_task_set_claims (anvil_request_task_t *task, anvil_claims_task_t *claims);

/** anvil_request_task_claim_decided - callback of the claims task; @task is the
 * anvil_request_task_t */
void anvil_request_task_claim_decided (void *task,
                                       guint64 id,
                                       anvil_claim_verdict_t verdict,
                                       gint status);

/** anvil_request_task_drop - aborts the requests in progress */
void anvil_request_task_drop (anvil_request_task_t *task);

/** anvil_request_task_accept - accepts a request with valid framing */
void anvil_request_task_accept (anvil_request_task_t *task, struct evhttp_request *http);

/** anvil_request_task_count - number of requests without a response yet */
guint anvil_request_task_count (const anvil_request_task_t *task);

/* Callbacks of the core. */
void anvil_request_task_dispatch (anvil_request_task_t *task,
                                  const anvil_request_t *request,
                                  const anvil_dispatch_t *dispatch);
void
anvil_request_task_finish (anvil_request_task_t *task, guint64 id, anvil_attempt_result_t result);
void anvil_request_task_refuse (anvil_request_task_t *task,
                                guint64 id,
                                anvil_refusal_reason_t reason,
                                anvil_time_t retry_after);
