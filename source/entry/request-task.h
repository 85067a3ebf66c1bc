#pragma once

#include "anvil/metrics.h"
#include "anvil/steer.h"
#include "caller-connection.h"
#include "claims-task.h"
#include "trace-ring.h"
#include "upstream-pool.h"

/**
 * anvil_request_task_t - carries requests of callers to upstreams as the core decides
 *
 * Owns the requests under way. The core's actions on requests are to be passed
 * on to it.
 */
typedef struct anvil_request_task anvil_request_task_t;

/**
 * anvil_request_task_parts_t - what the task works with, all borrowed
 * @steer: may be set later, before the first request
 */
typedef struct
{
  anvil_steer_t *steer;
  anvil_caller_connections_t *callers;
  anvil_upstream_pool_t *pool;
  anvil_metrics_t *counters;
  anvil_trace_ring_t *traces;
} anvil_request_task_parts_t;

anvil_request_task_t *anvil_request_task_new (const anvil_request_task_parts_t *parts);

/**
 * anvil_request_task_use_claims - claims the keys of requests that must not run twice
 * @claims: borrowed; its verdicts are to be passed on to anvil_request_task_decided()
 */
void anvil_request_task_use_claims (anvil_request_task_t *task, anvil_claims_task_t *claims);

/** anvil_request_task_decided - a verdict of the claims; @task is the anvil_request_task_t */
void
anvil_request_task_decided (void *task, guint64 id, anvil_claim_verdict_t verdict, gint status);

/** anvil_request_task_drop - cuts what is still under way */
void anvil_request_task_drop (anvil_request_task_t *task);

/** anvil_request_task_accept - a request with valid framing */
void anvil_request_task_accept (anvil_request_task_t *task, struct evhttp_request *http);

/** anvil_request_task_count - requests that have no answer yet */
guint anvil_request_task_count (const anvil_request_task_t *task);

/* The core's actions. */
void anvil_request_task_dispatch (anvil_request_task_t *task,
                                  const anvil_request_t *request,
                                  const anvil_dispatch_t *dispatch);
void
anvil_request_task_finish (anvil_request_task_t *task, guint64 id, anvil_attempt_result_t result);
void anvil_request_task_refuse (anvil_request_task_t *task,
                                guint64 id,
                                anvil_refusal_reason_t why,
                                anvil_time_t retry_after);
