#pragma once

#include <glib.h>
#include <sys/types.h>

#include "standin.h"

/*
 * A small deployment of real processes on loopback: the stand-in store,
 * upstreams that register themselves, and entries.
 */

#define FLEET_HOST "shop.example"
/* Longest wait for anything that should happen, seconds. */
#define FLEET_TIMEOUT_S 20

/** fleet_entry_t - an entry and where it listens */
typedef struct
{
  pid_t pid;
  char *name;
  char *zone;
  guint16 caller_port;
  guint16 readiness_port;
  guint16 lookup_port;
  guint16 peer_port;
  guint16 metrics_port;
} fleet_entry_t;

/** fleet_t - the deployment; entries and upstreams are kept in the order of their start */
typedef struct
{
  char *directory;
  /* Endpoint by which entries reach the store, if it isn't the store's own. */
  const char *entry_store_endpoint;
  standin_t store;
  GPtrArray *entries;
  GPtrArray *upstreams;
  guint version;
} fleet_t;

void fleet_open (fleet_t *fleet);

/** fleet_close - ends every process that was started, and removes their files */
void fleet_close (fleet_t *fleet);

/** fleet_add_upstream - one of @service; @flags are further flags of anvil-registrant, or NULL */
standin_t *
fleet_add_upstream (fleet_t *fleet, const char *id, const char *service, const char *flags);

/** fleet_add_entry - an entry in @zone ("west-a", "west-b" or "east-a") */
fleet_entry_t *fleet_add_entry (fleet_t *fleet, const char *name, const char *zone);

/** fleet_start_entry - starts it, also again after it has ended */
void fleet_start_entry (fleet_t *fleet, fleet_entry_t *entry);

/** fleet_kill_entry - ends it with @number and waits for its end; its exit status */
int fleet_kill_entry (fleet_entry_t *entry, int number);

/** fleet_configure - the usual routes, and @more in JSON, as the next version:
 *   /view/ safe and /pay/ unsafe to "photos"; both with a time-out of 1500 ms */
void fleet_configure (fleet_t *fleet, const char *more);

/** fleet_configure_raw - any bytes as the configuration */
void fleet_configure_raw (fleet_t *fleet, const char *text);

/** fleet_put_row - a row of the store; a NULL value removes it */
void fleet_put_row (fleet_t *fleet, const char *table, const char *key, const char *value);

/** fleet_try_put_row - the same, where the store may not answer; FALSE if it didn't take the row */
gboolean fleet_try_put_row (fleet_t *fleet, const char *table, const char *key, const char *value);

/** fleet_set_store_fault - a fault of the store, see anvil-store */
void fleet_set_store_fault (fleet_t *fleet, const char *kind, guint for_ms);

/** fleet_follows - how often the store was asked for changes of @table */
guint fleet_follows (fleet_t *fleet, const char *table);

/** fleet_gauge - value of a metric without labels, -1 if it isn't there */
gint64 fleet_gauge (const fleet_entry_t *entry, const char *name);

/** fleet_wait_ready - until the entry says that it is ready, and has been for a moment */
void fleet_wait_ready (const fleet_entry_t *entry);

/** fleet_connect - a connection to a port of the deployment; -1 if it is refused */
int fleet_connect (guint16 port);

/** fleet_send - writes to a connection */
void fleet_send (int fd, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** fleet_read_response - one whole answer, or what came before the connection ended; freed with
 * g_free() */
char *fleet_read_response (int fd);

/** fleet_request - one request on a connection of its own; its answer */
char *fleet_request (guint16 port, const char *method, const char *path, const char *id);

/** fleet_response_status - status of an answer, 0 if it isn't one */
guint fleet_response_status (const char *answer);

/** fleet_response_body - body of an answer, "" without one */
const char *fleet_response_body (const char *answer);

/** fleet_count_runs - how often upstreams ran the request, over all that live */
guint fleet_count_runs (fleet_t *fleet, const char *id);

/** fleet_port - port of a stand-in's endpoint */
guint16 fleet_port (const standin_t *standin);
