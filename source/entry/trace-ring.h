#pragma once

#include "anvil/clock.h"
#include "trace-context.h"

/* Number of spans kept for GET /v1/traces; older ones are overwritten. */
#define ANVIL_TRACE_RING_SPANS 2048

/**
 * anvil_span_t - a span that has ended
 * @context: ids of the trace and of the span
 * @parent_span_id: 0 for none
 * @name: string constant: "request", "wait", "claim" or "attempt"
 * @started_at: wall clock
 * @ended_at: wall clock
 * @service: name of the service
 * @upstream: name of the upstream, or empty
 * @outcome: string constant, or NULL
 * @status: HTTP status, 0 for none
 */
typedef struct
{
  anvil_trace_context_t context;
  guint64 parent_span_id;
  const char *name;
  anvil_time_t started_at;
  anvil_time_t ended_at;
  char service[64];
  char upstream[64];
  const char *outcome;
  guint status;
} anvil_span_t;

/** anvil_trace_ring_t - ring buffer of the most recent spans */
typedef struct anvil_trace_ring anvil_trace_ring_t;

/** anvil_trace_ring_new - @print: also write each added span to standard output */
anvil_trace_ring_t *anvil_trace_ring_new (gboolean print);
void anvil_trace_ring_drop (anvil_trace_ring_t *ring);

/** anvil_trace_ring_add - adds a copy of @span */
void anvil_trace_ring_add (anvil_trace_ring_t *ring, const anvil_span_t *span);

/** anvil_trace_ring_render - appends the spans, oldest first, as one OTLP-style JSON object per
 * line */
void anvil_trace_ring_render (const anvil_trace_ring_t *ring, GString *out);
