#include "config/config-scan.h"

#include <string.h>
#include <yaml.h>

#include "anvil/config.h"
#include "anvil/error.h"

#define MAX_NESTING 8

typedef struct
{
  const char *file;
  anvil_str_t text;
  guint nesting;
  guint documents;
  guint nodes;
  GError **error;
} scan_t;

static gboolean
reject (const scan_t *scan, gsize line, const char *format, ...)
{
  va_list arguments;
  char *reason;

  va_start (arguments, format);
  reason = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_set_error (scan->error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s:%" G_GSIZE_FORMAT ": file: %s",
               scan->file, line, reason);
  g_free (reason);
  return FALSE;
}

static gsize
line_of_offset (anvil_str_t text, gsize offset)
{
  gsize line = 1;

  for (gsize i = 0; i < offset; i++)
    line += text.data[i] == '\n';
  return line;
}

static gboolean
check_bytes (const scan_t *scan)
{
  anvil_str_t text = scan->text;
  const char *end = NULL;

  if (text.length == 0)
    return reject (scan, 1, "empty, expected a YAML mapping");
  if (text.length > ANVIL_CONFIG_MAX_BYTES)
    return reject (scan, 1, "%" G_GSIZE_FORMAT " bytes, expected at most %u", text.length,
                   ANVIL_CONFIG_MAX_BYTES);
  if (!g_utf8_validate (text.data, text.length, &end))
    return reject (scan, line_of_offset (text, end - text.data),
                   "byte 0x%02x at offset %" G_GSIZE_FORMAT ", expected UTF-8 text",
                   (guint) (guchar) *end, (gsize) (end - text.data));
  return TRUE;
}

static gboolean
check_node (scan_t *scan, gsize line, const yaml_char_t *anchor, const yaml_char_t *tag)
{
  scan->nodes++;
  if (anchor != NULL)
    return reject (scan, line, "anchor &%s, expected none", (const char *) anchor);
  if (tag != NULL)
    return reject (scan, line, "tag %s, expected none", (const char *) tag);
  return TRUE;
}

static gboolean
check_scalar (scan_t *scan, gsize line, const yaml_event_t *event)
{
  if (!check_node (scan, line, event->data.scalar.anchor, event->data.scalar.tag))
    return FALSE;
  if (memchr (event->data.scalar.value, '\0', event->data.scalar.length) != NULL)
    return reject (scan, line, "a zero byte in a value, expected text");
  return TRUE;
}

static gboolean
check_nesting (scan_t *scan, gsize line)
{
  scan->nesting++;
  if (scan->nesting > MAX_NESTING)
    return reject (scan, line, "nested too deeply, expected at most %d levels", MAX_NESTING);
  return TRUE;
}

static gboolean
check_document (scan_t *scan, gsize line)
{
  scan->documents++;
  if (scan->documents > 1)
    return reject (scan, line, "a second document, expected one");
  return TRUE;
}

static gboolean
check_event (scan_t *scan, const yaml_event_t *event)
{
  gsize line = event->start_mark.line + 1;

  switch (event->type)
    {
    case YAML_ALIAS_EVENT:
      return reject (scan, line, "alias *%s, expected none",
                     (const char *) event->data.alias.anchor);
    case YAML_SCALAR_EVENT:
      return check_scalar (scan, line, event);
    case YAML_SEQUENCE_START_EVENT:
      return check_node (scan, line, event->data.sequence_start.anchor,
                         event->data.sequence_start.tag)
             && check_nesting (scan, line);
    case YAML_MAPPING_START_EVENT:
      return check_node (scan, line, event->data.mapping_start.anchor,
                         event->data.mapping_start.tag)
             && check_nesting (scan, line);
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
      scan->nesting--;
      return TRUE;
    case YAML_DOCUMENT_START_EVENT:
      return check_document (scan, line);
    default:
      return TRUE;
    }
}

/* For errors of its reader libyaml gives an offset instead of a line. */
static gboolean
reject_syntax (const scan_t *scan, const yaml_parser_t *parser)
{
  const char *problem = parser->problem != NULL ? parser->problem : "unreadable";

  if (parser->error == YAML_READER_ERROR)
    return reject (scan,
                   line_of_offset (scan->text, MIN (parser->problem_offset, scan->text.length)),
                   "%s, expected YAML", problem);
  return reject (scan, parser->problem_mark.line + 1, "%s, expected YAML", problem);
}

static gboolean
check_events (scan_t *scan, yaml_parser_t *parser)
{
  gboolean ended = FALSE;

  while (!ended)
    {
      yaml_event_t event;
      gboolean accepted;

      if (!yaml_parser_parse (parser, &event))
        return reject_syntax (scan, parser);
      accepted = check_event (scan, &event);
      ended = event.type == YAML_STREAM_END_EVENT;
      yaml_event_delete (&event);
      if (!accepted)
        return FALSE;
    }
  if (scan->nodes == 0)
    return reject (scan, 1, "empty, expected a YAML mapping");
  return TRUE;
}

gboolean
anvil_config_scan (const char *file, anvil_str_t text, GError **error)
{
  scan_t scan = { .file = file, .text = text, .error = error };
  yaml_parser_t parser;
  gboolean accepted;

  if (!check_bytes (&scan))
    return FALSE;
  if (!yaml_parser_initialize (&parser))
    return reject (&scan, 1, "out of memory");
  yaml_parser_set_input_string (&parser, (const guchar *) text.data, text.length);
  accepted = check_events (&scan, &parser);
  yaml_parser_delete (&parser);
  return accepted;
}
