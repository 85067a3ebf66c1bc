#include "config/config-check.h"

#include <string.h>

#include "anvil/error.h"
#include "anvil/message.h"
#include "anvil/settings.h"
#include "config/config-scan.h"

/* Longest value of the file that is quoted in an error message, bytes. */
#define MAX_QUOTED_BYTES 64

void
anvil_config_set_item (config_check_t *check, const char *format, ...)
{
  va_list arguments;

  g_free (check->item);
  va_start (arguments, format);
  check->item = g_strdup_vprintf (format, arguments);
  va_end (arguments);
}

static char *
field_path (const config_check_t *check, const char *field)
{
  if (field == NULL)
    return g_strdup (check->item);
  if (check->item == NULL || check->item[0] == '\0')
    return g_strdup (field);
  return g_strconcat (check->item, ".", field, NULL);
}

gboolean
anvil_config_report_error (config_check_t *check, const char *field, const char *format, ...)
{
  char *path = field_path (check, field);
  va_list arguments;
  char *reason;

  va_start (arguments, format);
  reason = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_set_error (check->error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s:%u: %s: %s", check->file,
               anvil_config_locate (check->text, path), path, reason);
  g_free (reason);
  g_free (path);
  return FALSE;
}

/* Truncates a value of the file and replaces control characters, for a one-line error message. */
static char *
quote_value (const char *text)
{
  char *truncated = g_strndup (text, MAX_QUOTED_BYTES);
  char *valid = g_utf8_make_valid (truncated, -1);

  for (char *c = valid; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = '?';
    }
  g_free (truncated);
  return valid;
}

static gboolean
report_invalid_value (config_check_t *check,
                      const char *field,
                      const char *text,
                      const char *expected)
{
  char *quoted = quote_value (text);

  anvil_config_report_error (check, field, "\"%s\", expected %s", quoted, expected);
  g_free (quoted);
  return FALSE;
}

/* Rejects signs, and leading zeros, which YAML reads as octal. */
static gboolean
is_plain_number (const char *text)
{
  return g_ascii_isdigit (text[0]) && (text[0] != '0' || text[1] == '\0');
}

gboolean
anvil_config_parse_number (config_check_t *check,
                           const char *field,
                           const char *text,
                           const config_range_t *range,
                           gint64 *value)
{
  char *expected;

  if (is_plain_number (text)
      && g_ascii_string_to_signed (text, 10, range->minimum, range->maximum, value, NULL))
    return TRUE;
  expected
      = g_strdup_printf ("a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " (%s)",
                         range->minimum, range->maximum, range->unit);
  report_invalid_value (check, field, text, expected);
  g_free (expected);
  return FALSE;
}

gboolean
anvil_config_parse_bool (config_check_t *check,
                         const char *field,
                         const char *text,
                         gboolean *value)
{
  *value = strcmp (text, "true") == 0;
  if (*value || strcmp (text, "false") == 0)
    return TRUE;
  return report_invalid_value (check, field, text, "true or false");
}

static gboolean
is_name (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length >= ANVIL_MAX_NAME_BYTES || text[0] == '-' || text[length - 1] == '-')
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    {
      if (!g_ascii_islower (*c) && !g_ascii_isdigit (*c) && *c != '-')
        return FALSE;
    }
  return TRUE;
}

gboolean
anvil_config_parse_name (config_check_t *check,
                         const char *field,
                         const char *text,
                         anvil_str_t *value)
{
  if (!is_name (text))
    return report_invalid_value (check, field, text,
                                 "a name of 1 to 63 lower-case letters, digits and inner hyphens");
  *value = anvil_config_copy_text (check, text);
  return TRUE;
}

gboolean
anvil_config_parse_address (config_check_t *check,
                            const char *field,
                            const char *text,
                            guint32 *value)
{
  char *endpoint = g_strconcat (text, ":0", NULL);
  guint16 port;
  gboolean valid = anvil_endpoint_parse (endpoint, value, &port);

  g_free (endpoint);
  if (!valid)
    return report_invalid_value (check, field, text, "an IPv4 address such as 10.0.0.1");
  return TRUE;
}

gboolean
anvil_config_check_unique (config_check_t *check,
                           const char *field,
                           const char *kind,
                           const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);

  if (g_hash_table_add (check->seen_names, key))
    return TRUE;
  return anvil_config_report_error (check, field, "%s \"%s\" is defined twice, expected once", kind,
                                    name);
}

static gboolean
report_unknown_name (config_check_t *check, const char *field, const char *kind, const char *name)
{
  char *quoted = quote_value (name);

  anvil_config_report_error (
      check, field, "no %s is named \"%s\", expected one defined in the file", kind, quoted);
  g_free (quoted);
  return FALSE;
}

gboolean
anvil_config_resolve_half (config_check_t *check, const char *field, const char *name, guint *index)
{
  const anvil_config_t *config = check->config;

  for (*index = 0; *index < config->n_halves; (*index)++)
    {
      if (anvil_str_equal (config->halves[*index].name, anvil_str (name)))
        return TRUE;
    }
  return report_unknown_name (check, field, "half", name);
}

gboolean
anvil_config_resolve_region (config_check_t *check,
                             const char *field,
                             const char *name,
                             guint *index)
{
  const anvil_config_t *config = check->config;

  for (*index = 0; *index < config->n_regions; (*index)++)
    {
      if (anvil_str_equal (config->regions[*index].name, anvil_str (name)))
        return TRUE;
    }
  return report_unknown_name (check, field, "region", name);
}

gboolean
anvil_config_resolve_zone (config_check_t *check, const char *field, const char *name, guint *index)
{
  const anvil_config_t *config = check->config;

  for (*index = 0; *index < config->n_zones; (*index)++)
    {
      if (anvil_str_equal (config->zones[*index].name, anvil_str (name)))
        return TRUE;
    }
  return report_unknown_name (check, field, "zone", name);
}

gboolean
anvil_config_resolve_service (config_check_t *check,
                              const char *field,
                              const char *name,
                              guint *index)
{
  const anvil_config_t *config = check->config;

  for (*index = 0; *index < config->n_services; (*index)++)
    {
      if (anvil_str_equal (config->services[*index].name, anvil_str (name)))
        return TRUE;
    }
  return report_unknown_name (check, field, "service", name);
}

anvil_str_t
anvil_config_copy_text (config_check_t *check, const char *text)
{
  gsize length = strlen (text);

  return (anvil_str_t){
    .data = g_string_chunk_insert_len (check->config->strings, text, (gssize) length),
    .length = length,
  };
}
