#pragma once

#include <jansson.h>

#include "anvil/clock.h"
#include "anvil/str.h"

/**
 * status_entry_t - an entry and its status
 * @address: administration address, "127.0.10.1:9000"
 * @status: response to GET /v1/status, or NULL if there was none
 */
typedef struct
{
  char *address;
  json_t *status;
} status_entry_t;

/** status_entry_clear - frees an entry's members; a GDestroyNotify */
void status_entry_clear (gpointer entry);

/**
 * status_verdict_t - state of the deployment, which is also the exit code
 * @STATUS_READY: every entry responded, is ready and not leaving; all are on one generation, and
 *   every seat has exactly one user
 * @STATUS_DEGRADED: one of these does not hold
 * @STATUS_NO_RESPONSE: no entry responded
 */
typedef enum
{
  STATUS_READY = 0,
  STATUS_DEGRADED = 1,
  STATUS_NO_RESPONSE = 3,
} status_verdict_t;

/** status_entry_parse - sets an entry's status from a response; FALSE if that isn't a status */
gboolean status_entry_parse (status_entry_t *entry, anvil_str_t body);

/** status_view_verdict - state over all entries, an array of status_entry_t */
status_verdict_t status_view_verdict (const GArray *entries);

/**
 * status_view_text - appends tables of entries, seats, upstreams and links
 * @entries: current status of the entries
 * @before: an earlier status, from which the use of the links since then is computed
 * @interval: time between the two, microseconds
 */
void
status_view_text (const GArray *entries, const GArray *before, anvil_time_t interval, GString *out);

/** status_view_json - {"verdict":N,"entries":[{"admin":"...","status":{...}|null}]} */
json_t *status_view_json (const GArray *entries);
