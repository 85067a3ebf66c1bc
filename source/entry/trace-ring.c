#include "trace-ring.h"

#include <stdio.h>

#include <jansson.h>

/* OTLP's span kinds SPAN_KIND_INTERNAL, SPAN_KIND_SERVER and SPAN_KIND_CLIENT. */
enum
{
  KIND_INTERNAL = 1,
  KIND_SERVER = 2,
  KIND_CLIENT = 3,
};

struct anvil_trace_ring
{
  gboolean print;
  guint64 n_added;
  anvil_span_t spans[ANVIL_TRACE_RING_SPANS];
};

anvil_trace_ring_t *
anvil_trace_ring_new (gboolean print)
{
  anvil_trace_ring_t *ring = g_new0 (anvil_trace_ring_t, 1);

  ring->print = print;
  return ring;
}

void
anvil_trace_ring_drop (anvil_trace_ring_t *ring)
{
  g_free (ring);
}

static json_t *
string_attribute (const char *key, const char *value)
{
  return json_pack ("{s:s, s:{s:s}}", "key", key, "value", "stringValue", value);
}

static json_t *
span_attributes (const anvil_span_t *span)
{
  json_t *attributes = json_array ();

  json_array_append_new (attributes, string_attribute ("anvil.service", span->service));
  if (span->upstream[0] != '\0')
    json_array_append_new (attributes, string_attribute ("anvil.upstream", span->upstream));
  if (span->outcome != NULL)
    json_array_append_new (attributes, string_attribute ("anvil.outcome", span->outcome));
  if (span->status != 0)
    json_array_append_new (attributes,
                           json_pack ("{s:s, s:{s:i}}", "key", "http.response.status_code", "value",
                                      "intValue", (int) span->status));
  return attributes;
}

static int
span_kind (const anvil_span_t *span)
{
  if (g_str_equal (span->name, "request"))
    return KIND_SERVER;
  return g_str_equal (span->name, "attempt") ? KIND_CLIENT : KIND_INTERNAL;
}

static json_t *
nanoseconds_json (anvil_time_t microseconds)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT "000", microseconds);
  return json_string (text);
}

static json_t *
span_id_json (guint64 value)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  return json_string (text);
}

static json_t *
span_json (const anvil_span_t *span)
{
  json_t *json = json_object ();
  char trace_id[33];

  g_snprintf (trace_id, sizeof trace_id, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              span->context.trace_id[0], span->context.trace_id[1]);
  json_object_set_new (json, "traceId", json_string (trace_id));
  json_object_set_new (json, "spanId", span_id_json (span->context.span_id));
  if (span->parent_span_id != 0)
    json_object_set_new (json, "parentSpanId", span_id_json (span->parent_span_id));
  json_object_set_new (json, "name", json_string (span->name));
  json_object_set_new (json, "kind", json_integer (span_kind (span)));
  json_object_set_new (json, "startTimeUnixNano", nanoseconds_json (span->started_at));
  json_object_set_new (json, "endTimeUnixNano", nanoseconds_json (span->ended_at));
  json_object_set_new (json, "attributes", span_attributes (span));
  return json;
}

static void
render_span (const anvil_span_t *span, GString *out)
{
  json_t *line = json_pack ("{s:[{s:{s:[o]}, s:[{s:[o]}]}]}", "resourceSpans", "resource",
                            "attributes", string_attribute ("service.name", "anvil-entry"),
                            "scopeSpans", "spans", span_json (span));
  char *text = json_dumps (line, JSON_COMPACT);

  g_string_append (out, text);
  g_string_append_c (out, '\n');
  free (text);
  json_decref (line);
}

void
anvil_trace_ring_add (anvil_trace_ring_t *ring, const anvil_span_t *span)
{
  ring->spans[ring->n_added % ANVIL_TRACE_RING_SPANS] = *span;
  ring->n_added++;
  if (ring->print)
    {
      GString *line = g_string_new (NULL);

      render_span (span, line);
      fwrite (line->str, 1, line->len, stdout);
      fflush (stdout);
      g_string_free (line, TRUE);
    }
}

void
anvil_trace_ring_render (const anvil_trace_ring_t *ring, GString *out)
{
  guint64 first
      = ring->n_added > ANVIL_TRACE_RING_SPANS ? ring->n_added - ANVIL_TRACE_RING_SPANS : 0;

  for (guint64 i = first; i < ring->n_added; i++)
    render_span (&ring->spans[i % ANVIL_TRACE_RING_SPANS], out);
}
