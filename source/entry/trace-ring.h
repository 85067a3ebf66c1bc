#pragma once

#include "anvil/clock.h"
#include "trace-context.h"

/* Spans kept for GET /v1/traces; the oldest is dropped first. */
#define ANVIL_TRACE_RING_SPANS 2048

/**
 * anvil_span_t - one hop of a request that has ended
 * @context: its trace and span
 * @parent_span_id: id of the span that it is part of, 0 for none
 * @name: what was done, a constant: "request", "wait", "claim", "attempt"
 * @started_at: wall clock, microseconds
 * @ended_at: wall clock, microseconds
 * @service: name of the service
 * @upstream: name of the upstream, or empty
 * @outcome: how it ended, a constant
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

/** anvil_trace_ring_t - the last spans of an entry */
typedef struct anvil_trace_ring anvil_trace_ring_t;

/** anvil_trace_ring_new - @print: also write each span to standard output as it ends */
anvil_trace_ring_t *anvil_trace_ring_new (gboolean print);
void anvil_trace_ring_drop (anvil_trace_ring_t *ring);

/** anvil_trace_ring_add - takes a copy of a span */
void anvil_trace_ring_add (anvil_trace_ring_t *ring, const anvil_span_t *span);

/** anvil_trace_ring_render - appends the spans, oldest first, one OTLP-style JSON object a line */
void anvil_trace_ring_render (const anvil_trace_ring_t *ring, GString *out);
