#include "request-trace.h"

static anvil_span_t
span_of (const anvil_caller_request_t *request, const char *name, anvil_time_t started)
{
  anvil_span_t span = { .context = request->trace,
                        .parent = request->trace.span,
                        .name = name,
                        .started = started,
                        .ended = anvil_clock_wall () };

  g_strlcpy (span.service, request->service, sizeof span.service);
  return span;
}

/* A span within the entry, since the last hop. */
static void
add_internal (anvil_trace_ring_t *ring, const anvil_caller_request_t *request, const char *name)
{
  anvil_time_t since = request->dispatched != 0 ? request->dispatched : request->arrived;
  anvil_span_t span = span_of (request, name, since);

  span.context = anvil_trace_context_child (&request->trace);
  anvil_trace_ring_add (ring, &span);
}

void
anvil_request_trace_claim (anvil_trace_ring_t *ring, anvil_caller_request_t *request)
{
  add_internal (ring, request, "claim");
  request->dispatched = anvil_clock_wall ();
}

void
anvil_request_trace_dispatch (anvil_trace_ring_t *ring, anvil_caller_request_t *request)
{
  add_internal (ring, request, "wait");
  request->dispatched = anvil_clock_wall ();
  request->attempt_span = anvil_trace_context_child (&request->trace);
}

void
anvil_request_trace_attempt (anvil_trace_ring_t *ring,
                             anvil_metrics_t *counters,
                             anvil_caller_request_t *request,
                             anvil_attempt_result_t result)
{
  static const char *const names[] = {
    [ANVIL_ATTEMPT_ANSWERED] = "answered",
    [ANVIL_ATTEMPT_NOT_RUN] = "not-run",
    [ANVIL_ATTEMPT_DRAINING] = "draining",
    [ANVIL_ATTEMPT_UNKNOWN] = "unknown",
  };
  anvil_span_t span = span_of (request, "attempt", request->dispatched);
  char labels[64];

  span.context = request->attempt_span;
  span.outcome = names[result];
  g_strlcpy (span.upstream, request->upstream, sizeof span.upstream);
  if (request->response != NULL)
    span.status = (guint) evhttp_request_get_response_code (request->response);
  anvil_trace_ring_add (ring, &span);

  g_snprintf (labels, sizeof labels, "result=\"%s\"", names[result]);
  anvil_metrics_add_counter (counters, "anvil_attempts_total", labels, 1);
  anvil_metrics_observe_histogram (counters, "anvil_attempt_seconds", labels,
                                   (gdouble) (span.ended - span.started) / (gdouble) ANVIL_SECOND);
  request->dispatched = span.ended;
}

void
anvil_request_trace_end (anvil_trace_ring_t *ring,
                         const anvil_caller_request_t *request,
                         const char *outcome,
                         guint status)
{
  anvil_span_t span = span_of (request, "request", request->arrived);

  span.parent = request->parent_span;
  span.outcome = outcome;
  span.status = status;
  if (request->upstream != NULL)
    g_strlcpy (span.upstream, request->upstream, sizeof span.upstream);
  anvil_trace_ring_add (ring, &span);
}
