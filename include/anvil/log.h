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

/** anvil_log_set_level - drops lines less urgent than @level; the default is ANVIL_LOG_NOTICE */
void anvil_log_set_level (anvil_log_level_t level);

/** anvil_log_level_parse - level of a name such as "info"; FALSE if there is no such level */
gboolean anvil_log_level_parse (const char *name, anvil_log_level_t *level);

/* How often a daemon that logs to standard output calls anvil_log_flush(), microseconds: often
 * enough to read along, rarely enough that lines share a write. */
#define ANVIL_LOG_FLUSH_INTERVAL_US 100000

/**
 * anvil_log_to_stdout - lines go to standard output from now on, and never block
 *
 * They are collected and written by anvil_log_flush(). While nobody reads, up to
 * 256 KB wait; lines beyond are dropped, counted, and their number is logged.
 */
void anvil_log_to_stdout (void);

/** anvil_log_flush - writes what waits and can be written without blocking */
void anvil_log_flush (void);

/**
 * anvil_log - writes one event to standard error, or see anvil_log_to_stdout()
 * @level: how urgent
 * @part: fixed prefix of the part that speaks, such as "seat"
 * @format: a short sentence followed by key=value pairs
 *
 * The line is "<N>part: sentence key=value", where N is the syslog priority.
 * Control characters in the text are printed as '?', so that an event stays one line.
 */
void anvil_log (anvil_log_level_t level, const char *part, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
