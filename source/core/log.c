#include "anvil/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Most bytes that wait for a reader of standard output. */
#define MAX_WAITING_BYTES (256u << 10)

static anvil_log_level_t threshold = ANVIL_LOG_NOTICE;
/* Lines that wait to be written; NULL while lines go to standard error. */
static GString *waiting;
static guint64 dropped;

void
anvil_log_to_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  if (waiting == NULL)
    waiting = g_string_sized_new (MAX_WAITING_BYTES);
}

void
anvil_log_flush (void)
{
  gssize written;

  if (waiting == NULL || waiting->len == 0)
    return;
  written = write (STDOUT_FILENO, waiting->str, waiting->len);
  if (written <= 0)
    return;
  g_string_erase (waiting, 0, written);
  if (dropped > 0 && waiting->len < MAX_WAITING_BYTES / 2)
    {
      g_string_append_printf (
          waiting, "<%d>log: lines dropped, nobody read them lines=%" G_GUINT64_FORMAT "\n",
          (int) ANVIL_LOG_WARNING, dropped);
      dropped = 0;
    }
}

static void
put (anvil_log_level_t level, const char *part, const char *text)
{
  if (waiting == NULL)
    fprintf (stderr, "<%d>%s: %s\n", (int) level, part, text);
  else if (waiting->len + strlen (text) > MAX_WAITING_BYTES)
    dropped++;
  else
    g_string_append_printf (waiting, "<%d>%s: %s\n", (int) level, part, text);
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
  for (char *c = text; *c != '\0'; c++)
    {
      if (g_ascii_iscntrl (*c))
        *c = '?';
    }
  put (level, part, text);
  g_free (text);
}
