#include "anvil/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Limit on the text buffered for standard output. */
#define MAX_BUFFERED_BYTES (256u << 10)
/* Replaces the rest of a line that is too long: it may quote what others wrote, such as a row of
 * the store. */
#define CUT_MARK "..."

static anvil_log_level_t threshold = ANVIL_LOG_NOTICE;
/* Lines not yet written to standard output; NULL while lines go to standard error. */
static GString *buffered;
static guint64 n_dropped;

void
anvil_log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  if (buffered == NULL)
    buffered = g_string_sized_new (MAX_BUFFERED_BYTES);
}

void
anvil_log_flush (void)
{
  gssize written;

  if (buffered == NULL || buffered->len == 0)
    return;
  written = write (STDOUT_FILENO, buffered->str, buffered->len);
  if (written <= 0)
    return;
  g_string_erase (buffered, 0, written);
  if (n_dropped > 0 && buffered->len < MAX_BUFFERED_BYTES / 2)
    {
      g_string_append_printf (
          buffered,
          "<%d>log: lines dropped because standard output was not read lines=%" G_GUINT64_FORMAT
          "\n",
          (int) ANVIL_LOG_WARNING, n_dropped);
      n_dropped = 0;
    }
}

static void
write_line (anvil_log_level_t level, const char *part, const char *text)
{
  if (buffered == NULL)
    fprintf (stderr, "<%d>%s: %s\n", (int) level, part, text);
  else if (buffered->len + strlen (text) > MAX_BUFFERED_BYTES)
    n_dropped++;
  else
    g_string_append_printf (buffered, "<%d>%s: %s\n", (int) level, part, text);
}

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
  if (strlen (text) > ANVIL_LOG_MAX_BYTES)
    memcpy (text + ANVIL_LOG_MAX_BYTES + 1 - sizeof CUT_MARK, CUT_MARK, sizeof CUT_MARK);
  for (char *c = text; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = '?';
    }
  write_line (level, part, text);
  g_free (text);
}
