#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/* Longest pause that is kept to. An upstream that restarts ends it earlier. */
#define ANVIL_MAX_PAUSE (3600 * ANVIL_SECOND)

/**
 * anvil_announcement_t - what an upstream says of itself in the head of a response
 * @leaving: it is about to end, and wants no more requests of anybody
 * @pause: how long it wants no requests of this entry, microseconds; 0 if it says nothing
 */
typedef struct
{
  gboolean leaving;
  anvil_time_t pause;
} anvil_announcement_t;

/**
 * anvil_named_announcement_t - what an upstream said of itself, as entries tell each other
 * @upstream: key of the upstream
 * @started_at: start of the process that said so, Unix milliseconds; 0 if unknown
 * @announcement: its pause is what remains of it, and holds for the entry that tells
 */
typedef struct
{
  guint64 upstream;
  gint64 started_at;
  anvil_announcement_t announcement;
} anvil_named_announcement_t;

/* Most upstreams that one message names. */
#define ANVIL_MAX_MESSAGE_ANNOUNCEMENTS 64

/**
 * anvil_announcement_parse_pause - parses the value of a Retry-After field
 * @value: seconds as a decimal number; a date isn't understood
 * @pause: at most ANVIL_MAX_PAUSE, microseconds
 *
 * Return: FALSE if @value is no such number.
 */
gboolean anvil_announcement_parse_pause (anvil_str_t value, anvil_time_t *pause);
