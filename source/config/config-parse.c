#include "config/config-parse.h"

#include <string.h>

#include "anvil/error.h"
#include "config/config-scan.h"

/* Prefixes of libcyaml's log lines that contain the path and the reason of an error. */
#define LINE_PREFIX "Load: "
#define LINE_BACKTRACE "Load: Backtrace:"
#define LINE_FIELD "  in mapping field '"
#define LINE_ITEM "  in sequence entry '"

/* Longest value of the file that is quoted in an error message, bytes. */
#define MAX_QUOTED_BYTES 64

/* The lines that libcyaml logs. */
typedef struct
{
  GPtrArray *lines;
} log_lines_t;

static void
collect_line (cyaml_log_t level, void *context, const char *format, va_list arguments)
{
  log_lines_t *log = context;
  char *line;

  if (level < CYAML_LOG_ERROR)
    return;
  line = g_strdup_vprintf (format, arguments);
  g_ptr_array_add (log->lines, g_strchomp (line));
}

static const cyaml_config_t *
parser_config (cyaml_config_t *config, log_lines_t *log)
{
  *config = (cyaml_config_t){
    .log_fn = collect_line,
    .log_ctx = log,
    .mem_fn = cyaml_mem,
    .log_level = CYAML_LOG_ERROR,
    .flags = CYAML_CFG_NO_ALIAS,
  };
  return config;
}

static char *
quoted_name (const char *line, const char *prefix)
{
  const char *name = line + strlen (prefix);
  const char *end = strchr (name, '\'');

  return end != NULL ? g_strndup (name, end - name) : g_strdup (name);
}

static void
prepend_field (GString *path, const char *line)
{
  char *name = quoted_name (line, LINE_FIELD);

  if (path->len > 0 && path->str[0] != '[')
    g_string_prepend_c (path, '.');
  g_string_prepend (path, name);
  g_free (name);
}

/* libcyaml numbers the items of a list from 1. */
static void
prepend_item (GString *path, const char *line)
{
  char *number = quoted_name (line, LINE_ITEM);
  guint64 index = g_ascii_strtoull (number, NULL, 10);
  char *item = g_strdup_printf ("[%" G_GUINT64_FORMAT "]%s", index > 0 ? index - 1 : 0,
                                path->len > 0 && path->str[0] != '[' ? "." : "");

  g_string_prepend (path, item);
  g_free (item);
  g_free (number);
}

/*
 * Builds the path of the error from the backtrace, whose lines go from the
 * innermost field outwards. If @enclosing is set, the innermost field is left out,
 * because it is the last one read and not the one at fault.
 */
static GString *
backtrace_path (const log_lines_t *log, gboolean enclosing)
{
  GString *path = g_string_new (NULL);
  gboolean innermost = TRUE;

  for (guint i = 0; i < log->lines->len; i++)
    {
      const char *line = g_ptr_array_index (log->lines, i);

      if (g_str_has_prefix (line, LINE_PREFIX))
        continue;
      if (g_str_has_prefix (line, LINE_FIELD) && !(enclosing && innermost))
        prepend_field (path, line);
      else if (g_str_has_prefix (line, LINE_ITEM))
        prepend_item (path, line);
      innermost = FALSE;
    }
  return path;
}

static const char *
first_reason (const log_lines_t *log)
{
  for (guint i = 0; i < log->lines->len; i++)
    {
      const char *line = g_ptr_array_index (log->lines, i);

      if (g_str_has_prefix (line, LINE_PREFIX) && !g_str_has_prefix (line, LINE_BACKTRACE))
        return line + strlen (LINE_PREFIX);
    }
  return NULL;
}

static const cyaml_schema_field_t *
find_field (const cyaml_schema_field_t *fields, const char *name, gsize length)
{
  for (; fields->key != NULL; fields++)
    {
      if (strlen (fields->key) == length && memcmp (fields->key, name, length) == 0)
        return fields;
    }
  return NULL;
}

/* Schema of the mapping at a path, or NULL. */
static const cyaml_schema_value_t *
schema_at (const char *path)
{
  const cyaml_schema_value_t *value = &anvil_config_schema;

  while (*path != '\0' && value != NULL)
    {
      gsize length = strcspn (path, ".[");

      if (length > 0)
        {
          const cyaml_schema_field_t *field = value->type == CYAML_MAPPING
                                                  ? find_field (value->mapping.fields, path, length)
                                                  : NULL;

          value = field != NULL ? &field->value : NULL;
          path += length;
        }
      else if (*path == '[')
        {
          value = value->type == CYAML_SEQUENCE ? value->sequence.entry : NULL;
          path += strcspn (path, "]");
          path += *path == ']';
        }
      else
        path++;
    }
  return value != NULL && value->type == CYAML_MAPPING ? value : NULL;
}

static char *
known_keys (const char *path)
{
  const cyaml_schema_value_t *schema = schema_at (path);
  GString *keys = g_string_new ("expected");

  if (schema == NULL)
    return g_string_free (g_string_assign (keys, "expected no such key"), FALSE);
  for (const cyaml_schema_field_t *field = schema->mapping.fields; field->key != NULL; field++)
    g_string_append_printf (keys, "%s %s", field == schema->mapping.fields ? " one of" : ",",
                            field->key);
  return g_string_free (keys, FALSE);
}

static void
append_key (GString *path, const char *key)
{
  g_string_append_printf (path, "%s%.*s", path->len > 0 ? "." : "", MAX_QUOTED_BYTES, key);
}

static const char *
event_name (const char *event)
{
  if (g_str_has_prefix (event, "SEQUENCE"))
    return "a list";
  if (g_str_has_prefix (event, "MAPPING"))
    return "a mapping";
  return "a single value";
}

static guint64
number_after (const char *reason, const char *marker)
{
  const char *found = strstr (reason, marker);

  return found != NULL ? g_ascii_strtoull (found + strlen (marker), NULL, 10) : 0;
}

/* The error of a list of a wrong length is that of the list, not of its last item. */
static void
strip_last_item (GString *path)
{
  const char *item = strrchr (path->str, '[');

  if (item != NULL)
    g_string_truncate (path, item - path->str);
}

/* Rewrites a message of libcyaml as "what is wrong, expected what"; may change the path. */
static char *
explain (const char *reason, GString *path)
{
  static const char unknown[] = "Unexpected key: ";
  static const char missing[] = "Missing required mapping field: ";
  static const char twice[] = "Mapping field already seen: ";
  static const char type[] = "Expecting ";
  static const char few[] = "Insufficient entries";
  static const char many[] = "Excessive entries (";
  const char *event = strstr (reason, "got event: ");

  if (g_str_has_prefix (reason, unknown))
    {
      char *keys = known_keys (path->str);
      char *text = g_strdup_printf ("unknown key, %s", keys);

      append_key (path, reason + strlen (unknown));
      g_free (keys);
      return text;
    }
  if (g_str_has_prefix (reason, missing))
    {
      append_key (path, reason + strlen (missing));
      return g_strdup ("missing, expected a value");
    }
  if (g_str_has_prefix (reason, twice))
    return g_strdup ("given twice, expected once");
  if (g_str_has_prefix (reason, type) && event != NULL)
    return g_strdup_printf ("%s, expected %s", event_name (event + strlen ("got event: ")),
                            event_name (reason + strlen (type)));
  if (g_str_has_prefix (reason, few))
    {
      strip_last_item (path);
      return g_strdup_printf ("too few entries, expected at least %" G_GUINT64_FORMAT,
                              number_after (reason, " of "));
    }
  if (g_str_has_prefix (reason, many))
    {
      strip_last_item (path);
      return g_strdup_printf ("too many entries, expected at most %" G_GUINT64_FORMAT,
                              number_after (reason, "("));
    }
  return g_strdup (reason);
}

static void
set_error (const char *file, anvil_str_t text, const log_lines_t *log, GError **error)
{
  const char *reason = first_reason (log);
  gboolean enclosing = reason != NULL && g_str_has_prefix (reason, "Missing required");
  GString *path = backtrace_path (log, enclosing);
  char *explanation = explain (reason != NULL ? reason : "unreadable, expected YAML", path);

  if (path->len == 0)
    g_string_assign (path, "file");
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s:%u: %s: %s", file,
               anvil_config_locate (text, path->str), path->str, explanation);
  g_free (explanation);
  g_string_free (path, TRUE);
}

config_file_t *
anvil_config_parse (const char *file, anvil_str_t text, GError **error)
{
  log_lines_t log = { .lines = g_ptr_array_new_with_free_func (g_free) };
  config_file_t *result = NULL;
  cyaml_config_t config;
  cyaml_err_t outcome;

  outcome
      = cyaml_load_data ((const uint8_t *) text.data, text.length, parser_config (&config, &log),
                         &anvil_config_schema, (cyaml_data_t **) &result, NULL);
  if (outcome != CYAML_OK || result == NULL)
    {
      set_error (file, text, &log, error);
      result = NULL;
    }
  g_ptr_array_free (log.lines, TRUE);
  return result;
}

void
anvil_config_file_free (config_file_t *file)
{
  log_lines_t log = { .lines = g_ptr_array_new_with_free_func (g_free) };
  cyaml_config_t config;

  if (file != NULL)
    cyaml_free (parser_config (&config, &log), &anvil_config_schema, file, 0);
  g_ptr_array_free (log.lines, TRUE);
}
