#pragma once

#include "anvil/metrics.h"
#include "caller-request.h"
#include "trace-ring.h"

/* Spans of the hops of one request: the request, the claim, each wait, each attempt. */

/** anvil_request_trace_claim - the verdict on the claim of its key is there */
void anvil_request_trace_claim (anvil_trace_ring_t *ring, anvil_caller_request_t *request);

/** anvil_request_trace_dispatch - a wait has ended, an attempt begins */
void anvil_request_trace_dispatch (anvil_trace_ring_t *ring, anvil_caller_request_t *request);

/** anvil_request_trace_attempt - an attempt has ended */
void anvil_request_trace_attempt (anvil_trace_ring_t *ring,
                                  anvil_metrics_t *counters,
                                  anvil_caller_request_t *request,
                                  anvil_attempt_result_t result);

/** anvil_request_trace_end - the request has ended */
void anvil_request_trace_end (anvil_trace_ring_t *ring,
                              const anvil_caller_request_t *request,
                              const char *outcome,
                              guint status);
