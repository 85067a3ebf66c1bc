#pragma once

#include <jansson.h>

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * status_entry_t - one entry and what it said
 * @address: administration address, "127.0.10.1:9000"
 * @status: its /v1/status, or NULL if it didn't answer
 */
typedef struct
{
  char *address;
  json_t *status;
} status_entry_t;

/** status_entry_clear - frees what an entry holds; a GDestroyNotify */
void status_entry_clear (gpointer entry);

/**
 * status_verdict_t - what the exit code tells
 * @STATUS_READY: every entry answered, is ready, stays, and all are on one generation
 * @STATUS_DEGRADED: some entry isn't
 * @STATUS_NO_RESPONSE: no entry answered
 */
typedef enum
{
  STATUS_READY = 0,
  STATUS_DEGRADED = 1,
  STATUS_NO_RESPONSE = 3,
} status_verdict_t;

/** status_entry_parse - takes an answer over; FALSE if it isn't a status */
gboolean status_entry_parse (status_entry_t *entry, anvil_str_t body);

/** status_view_verdict - verdict over all entries (an array of status_entry_t) */
status_verdict_t status_view_verdict (const GArray *entries);

/**
 * status_view_text - appends tables of entries, seats, upstreams and links
 * @entries: what the entries said
 * @before: what they said earlier, for the use of links meanwhile
 * @interval: time between the two, microseconds
 */
void
status_view_text (const GArray *entries, const GArray *before, anvil_time_t interval, GString *out);

/** status_view_json - {"verdict":N,"entries":[{"admin":"...","status":{...}|null}]} */
json_t *status_view_json (const GArray *entries);
