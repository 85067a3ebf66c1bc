#pragma once

#include <glib.h>

/* "00-" 32 digits "-" 16 digits "-" 2 digits. */
#define ANVIL_TRACEPARENT_LENGTH 55

/**
 * anvil_trace_context_t - where a span belongs, as W3C traceparent says
 * @trace_id: id of the trace, two halves
 * @span_id: id of the span
 * @sampled: whether the caller wants it recorded
 */
typedef struct
{
  guint64 trace_id[2];
  guint64 span_id;
  gboolean sampled;
} anvil_trace_context_t;

/** anvil_trace_context_parse - FALSE if @text is no traceparent of version 00 */
gboolean anvil_trace_context_parse (const char *text, anvil_trace_context_t *context);

/** anvil_trace_context_format - writes a traceparent and its terminating zero */
void anvil_trace_context_format (const anvil_trace_context_t *context,
                                 char out[ANVIL_TRACEPARENT_LENGTH + 1]);

/** anvil_trace_context_new_trace - a trace that begins here */
anvil_trace_context_t anvil_trace_context_new_trace (void);

/** anvil_trace_context_child - a new span of the same trace */
anvil_trace_context_t anvil_trace_context_child (const anvil_trace_context_t *parent);
