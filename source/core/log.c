#include "anvil/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static anvil_log_level_t threshold = ANVIL_LOG_NOTICE;

void
anvil_log_set_level (anvil_log_level_t level)
{
  threshold = level;
}

gboolean
anvil_log_level_parse (const char *name, anvil_log_level_t *level)
{
  static const struct
  {
    const char *name;
    anvil_log_level_t level;
  } levels[] = {
    { "error", ANVIL_LOG_ERROR }, { "warning", ANVIL_LOG_WARNING }, { "notice", ANVIL_LOG_NOTICE },
    { "info", ANVIL_LOG_INFO },   { "debug", ANVIL_LOG_DEBUG },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (levels); i++)
    {
      if (strcmp (levels[i].name, name) == 0)
        {
          *level = levels[i].level;
          return TRUE;
        }
    }
  return FALSE;
}

void
anvil_log (anvil_log_level_t level, const char *part, const char *format, ...)
{
  va_list arguments;
  char *text;

  if (level > threshold)
    return;

  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  for (char *c = text; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = '?';
    }
  fprintf (stderr, "<%d>%s: %s\n", (int) level, part, text);
  g_free (text);
}
