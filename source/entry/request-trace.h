#pragma once

#include "anvil/metrics.h"
#include "caller-request.h"
#include "trace-ring.h"

/* Records the spans of a request: the whole request, its claim, each wait and each attempt. */

/** anvil_request_trace_claim - records the claim of the idempotency key, which has ended */
void anvil_request_trace_claim (anvil_trace_ring_t *ring, anvil_caller_request_t *request);

/** anvil_request_trace_dispatch - records the wait for a slot, which has ended, and starts the
 * span of an attempt */
void anvil_request_trace_dispatch (anvil_trace_ring_t *ring, anvil_caller_request_t *request);

/** anvil_request_trace_attempt - records an attempt that has ended, also in metrics */
void anvil_request_trace_attempt (anvil_trace_ring_t *ring,
                                  anvil_metrics_t *metrics,
                                  anvil_caller_request_t *request,
                                  anvil_attempt_result_t result);

/** anvil_request_trace_end - records the whole request, which has ended */
void anvil_request_trace_end (anvil_trace_ring_t *ring,
                              const anvil_caller_request_t *request,
                              const char *outcome,
                              guint status);
