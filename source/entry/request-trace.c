#include "request-trace.h"

static anvil_span_t
make_span (const anvil_caller_request_t *request, const char *name, anvil_time_t started)
{
  anvil_span_t span = { .context = request->span,
                        .parent_span_id = request->span.span_id,
                        .name = name,
                        .started_at = started,
                        .ended_at = anvil_clock_wall () };

  g_strlcpy (span.service, request->service_name, sizeof span.service);
  return span;
}

/* Adds a span for the time spent within the entry since the previous hop ended. */
static void
add_internal (anvil_trace_ring_t *ring, const anvil_caller_request_t *request, const char *name)
{
  anvil_time_t started_at = request->hop_started_wall_time != 0 ? request->hop_started_wall_time
                                                                : request->received_wall_time;
  anvil_span_t span = make_span (request, name, started_at);

  span.context = anvil_trace_context_child (&request->span);
  anvil_trace_ring_add (ring, &span);
}

void
anvil_request_trace_claim (anvil_trace_ring_t *ring, anvil_caller_request_t *request)
{
  add_internal (ring, request, "claim");
  request->hop_started_wall_time = anvil_clock_wall ();
}

void
anvil_request_trace_dispatch (anvil_trace_ring_t *ring, anvil_caller_request_t *request)
{
  add_internal (ring, request, "wait");
  request->hop_started_wall_time = anvil_clock_wall ();
  request->attempt_span = anvil_trace_context_child (&request->span);
}

void
anvil_request_trace_attempt (anvil_trace_ring_t *ring,
                             anvil_metrics_t *metrics,
                             anvil_caller_request_t *request,
                             anvil_attempt_result_t result)
{
  static const char *const result_names[] = {
    [ANVIL_ATTEMPT_ANSWERED] = "answered",
    [ANVIL_ATTEMPT_NOT_RUN] = "not-run",
    [ANVIL_ATTEMPT_DRAINING] = "draining",
    [ANVIL_ATTEMPT_UNKNOWN] = "unknown",
  };
  anvil_span_t span = make_span (request, "attempt", request->hop_started_wall_time);
  char labels[64];

  span.context = request->attempt_span;
  span.outcome = result_names[result];
  g_strlcpy (span.upstream, request->upstream_name, sizeof span.upstream);
  if (request->response != NULL)
    span.status = (guint) evhttp_request_get_response_code (request->response);
  anvil_trace_ring_add (ring, &span);

  g_snprintf (labels, sizeof labels, "result=\"%s\"", result_names[result]);
  anvil_metrics_add_counter (metrics, "anvil_attempts_total", labels, 1);
  anvil_metrics_observe_histogram (metrics, "anvil_attempt_seconds", labels,
                                   (gdouble) (span.ended_at - span.started_at)
                                       / (gdouble) ANVIL_SECOND);
  request->hop_started_wall_time = span.ended_at;
}

void
anvil_request_trace_end (anvil_trace_ring_t *ring,
                         const anvil_caller_request_t *request,
                         const char *outcome,
                         guint status)
{
  anvil_span_t span = make_span (request, "request", request->received_wall_time);

  span.parent_span_id = request->parent_span_id;
  span.outcome = outcome;
  span.status = status;
  if (request->upstream_name != NULL)
    g_strlcpy (span.upstream, request->upstream_name, sizeof span.upstream);
  anvil_trace_ring_add (ring, &span);
}
