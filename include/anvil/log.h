#pragma once

#include <glib.h>

typedef enum
{
  ANVIL_LOG_ERROR = 3,
  ANVIL_LOG_WARNING = 4,
  ANVIL_LOG_NOTICE = 5,
  ANVIL_LOG_INFO = 6,
  ANVIL_LOG_DEBUG = 7,
} anvil_log_level_t;

/** anvil_log_set_level - suppresses less severe lines; the default is ANVIL_LOG_NOTICE */
void anvil_log_set_level (anvil_log_level_t level);

/** anvil_log_level_parse - parses a name such as "info"; FALSE if there is no such level */
gboolean anvil_log_level_parse (const char *name, anvil_log_level_t *level);

/* How often a daemon that logs to standard output calls anvil_log_flush(): often enough to follow
 * the log live, rarely enough to batch lines into one write. */
#define ANVIL_LOG_FLUSH_INTERVAL_US 100000

/**
 * anvil_log_to_stdout - switches from standard error to non-blocking standard output
 *
 * Lines are buffered until anvil_log_flush(). While nobody reads them, up to
 * 256 KB are kept; further lines are dropped, and their number is logged later.
 */
void anvil_log_to_stdout (void);

/* Longest text of a line. */
#define ANVIL_LOG_MAX_BYTES 4096

/** anvil_log_flush - writes as many buffered lines as possible without blocking */
void anvil_log_flush (void);

/**
 * anvil_log - writes one line to standard error, or buffers it after anvil_log_to_stdout()
 * @level: severity
 * @part: name of the module, such as "seat"
 * @format: a short sentence followed by key=value pairs
 *
 * The line is "<N>part: sentence key=value", where N is the syslog priority.
 * Control characters in the text are printed as '?', so that the text stays on one line. Text
 * beyond ANVIL_LOG_MAX_BYTES is replaced by "...".
 */
void anvil_log (anvil_log_level_t level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
