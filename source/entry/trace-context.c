#include "trace-context.h"

#include <stdio.h>
#include <string.h>

static guint64
random_id (void)
{
  guint64 id;

  do
    id = ((guint64) g_random_int () << 32) | g_random_int ();
  while (id == 0);
  return id;
}

/* Parses @n_digits hexadecimal digits. The header allows lower case only. */
static gboolean
parse_hex (const char *text, guint n_digits, guint64 *value)
{
  *value = 0;
  for (guint i = 0; i < n_digits; i++)
    {
      if (!g_ascii_isxdigit (text[i]) || g_ascii_isupper (text[i]))
        return FALSE;
      *value = *value << 4 | (guint64) g_ascii_xdigit_value (text[i]);
    }
  return TRUE;
}

gboolean
anvil_trace_context_parse (const char *text, anvil_trace_context_t *context)
{
  guint64 version;
  guint64 flags;

  if (text == NULL || strlen (text) != ANVIL_TRACEPARENT_LENGTH)
    return FALSE;
  if (text[2] != '-' || text[35] != '-' || text[52] != '-')
    return FALSE;
  if (!parse_hex (text, 2, &version) || version != 0 || !parse_hex (text + 53, 2, &flags))
    return FALSE;
  if (!parse_hex (text + 3, 16, &context->trace_id[0])
      || !parse_hex (text + 19, 16, &context->trace_id[1])
      || !parse_hex (text + 36, 16, &context->span_id))
    return FALSE;
  context->sampled = (flags & 1) != 0;
  return (context->trace_id[0] | context->trace_id[1]) != 0 && context->span_id != 0;
}

void
anvil_trace_context_format (const anvil_trace_context_t *context,
                            char out[ANVIL_TRACEPARENT_LENGTH + 1])
{
  snprintf (
      out, ANVIL_TRACEPARENT_LENGTH + 1,
      "00-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x-%02x",
      context->trace_id[0], context->trace_id[1], context->span_id, context->sampled ? 1u : 0u);
}

anvil_trace_context_t
anvil_trace_context_new_trace (void)
{
  return (anvil_trace_context_t){ .trace_id = { random_id (), random_id () },
                                  .span_id = random_id (),
                                  .sampled = TRUE };
}

anvil_trace_context_t
anvil_trace_context_child (const anvil_trace_context_t *parent)
{
  anvil_trace_context_t child = *parent;

  child.span_id = random_id ();
  return child;
}
