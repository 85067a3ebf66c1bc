#pragma once

#include <glib.h>

/* Length of "00-" 32 digits "-" 16 digits "-" 2 digits. */
#define ANVIL_TRACEPARENT_LENGTH 55

/**
 * anvil_trace_context_t - ids of a span, as in a W3C traceparent header
 * @trace_id: id of the trace, upper and lower 64 bits
 * @span_id: id of the span
 * @sampled: the sampled flag
 */
typedef struct
{
  guint64 trace_id[2];
  guint64 span_id;
  gboolean sampled;
} anvil_trace_context_t;

/** anvil_trace_context_parse - FALSE if @text is not a valid traceparent of version 00 */
gboolean anvil_trace_context_parse (const char *text, anvil_trace_context_t *context);

/** anvil_trace_context_format - writes a traceparent with its terminating NUL */
void anvil_trace_context_format (const anvil_trace_context_t *context,
                                 char out[ANVIL_TRACEPARENT_LENGTH + 1]);

/** anvil_trace_context_new_trace - root span of a new trace */
anvil_trace_context_t anvil_trace_context_new_trace (void);

/** anvil_trace_context_child - new span in the same trace */
anvil_trace_context_t anvil_trace_context_child (const anvil_trace_context_t *parent);
