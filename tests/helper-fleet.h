#pragma once

#include <glib.h>
#include <sys/types.h>

#include "standin.h"

/*
 * A small deployment of processes on the loopback interface: the stand-in store,
 * upstreams that register themselves in it, and entries (anvil-relay).
 */

#define FLEET_HOST "shop.example"
/* After an outage, entries know every change again within this time; stableWindowMs in the settings
 * of the entries. */
#define FLEET_RESYNC_TIME (3 * ANVIL_SECOND)
/* Timeout of every wait. */
#define FLEET_TIMEOUT_S 20

/** fleet_entry_t - an entry and the ports that it listens on */
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

/** fleet_proxy_t - a process that forwards connections to the store; while it is stopped by
 * SIGSTOP, the store is silent for those that use it */
typedef struct
{
  pid_t pid;
  char *endpoint;
} fleet_proxy_t;

/** fleet_t - the deployment; entries and upstreams are in the order in which they were added */
typedef struct
{
  char *directory;
  /* Endpoint that entries connect to instead of the store's own, or NULL. */
  const char *entry_store_endpoint;
  /* More bounds in the settings of entries that are added, ",\"name\":value" each, or NULL. */
  const char *more_bounds;
  standin_t store;
  GPtrArray *entries;
  GPtrArray *upstreams;
  GPtrArray *proxies;
  guint version;
} fleet_t;

void fleet_open (fleet_t *fleet);

/** fleet_open_at_era - like fleet_open(), with a store that names its era */
void fleet_open_at_era (fleet_t *fleet, guint era);

/** fleet_close - kills all processes and removes their settings files */
void fleet_close (fleet_t *fleet);

/** fleet_add_upstream - starts an upstream of @service and waits until it has registered itself;
 * @flags are more flags of anvil-registrant, or NULL */
standin_t *
fleet_add_upstream (fleet_t *fleet, const char *id, const char *service, const char *flags);

/** fleet_add_store_proxy - starts a proxy to the store; @entry_store_endpoint can be set to its
 * endpoint before an entry is added; @bytes_per_second limits what is read through it, 0 doesn't */
fleet_proxy_t *fleet_add_store_proxy (fleet_t *fleet, guint bytes_per_second);

/** fleet_add_entry - starts an entry in @zone ("west-a", "west-b" or "east-a") */
fleet_entry_t *fleet_add_entry (fleet_t *fleet, const char *name, const char *zone);

/** fleet_start_entry - starts the process of an entry, also again after it has ended */
void fleet_start_entry (fleet_t *fleet, fleet_entry_t *entry);

/** fleet_kill_entry - sends a signal and waits for the process to end; returns its wait status */
int fleet_kill_entry (fleet_entry_t *entry, int signal_number);

/** fleet_configure - writes the next version of the configuration: /view/ (safe) and /pay/ (unsafe)
 * to "photos", both with a timeout of 1500 ms, and the resources in @more, JSON or NULL */
void fleet_configure (fleet_t *fleet, const char *more);

/** fleet_configure_routes - like fleet_configure(), with @n more routes (safe), /more-0/ and so on,
 * to "photos", but for the last one, which goes to @last_service */
void fleet_configure_routes (fleet_t *fleet, guint n, const char *last_service);

/** fleet_configure_raw - writes @text as the configuration */
void fleet_configure_raw (fleet_t *fleet, const char *text);

/** fleet_put_row - writes a row of the store; a NULL value removes it */
void fleet_put_row (fleet_t *fleet, const char *table, const char *key, const char *value);

/** fleet_try_put_row - like fleet_put_row(), but returns FALSE if the store doesn't accept the row
 */
gboolean fleet_try_put_row (fleet_t *fleet, const char *table, const char *key, const char *value);

/** fleet_set_store_fault - injects a fault into the store; see anvil-store for the kinds */
void fleet_set_store_fault (fleet_t *fleet, const char *kind, guint for_ms);

/**
 * fleet_start_drill - the store is away for @away_ms and comes back, in the next era, from a copy
 * that was @age_ms old when it went
 * @rewrite_ms: from its return until the rows that were lost are written again, one by one
 */
void fleet_start_drill (fleet_t *fleet, guint away_ms, guint age_ms, guint rewrite_ms);

/** fleet_count_change_reads - number of calls to the store for changes of @table */
guint fleet_count_change_reads (fleet_t *fleet, const char *table);

/** fleet_read_metric - value of a metric without labels, or -1 */
gint64 fleet_read_metric (const fleet_entry_t *entry, const char *name);

/** fleet_find_holder - index of the entry that grants the slots of a service; waits until there is
 * one, and fails the test if there never is */
guint fleet_find_holder (const fleet_t *fleet, const char *service);

/** fleet_wait_ready - waits until the entry's readiness check succeeds, and a moment longer */
void fleet_wait_ready (const fleet_entry_t *entry);

/** fleet_connect - connects to a port of the deployment; -1 if the connection is refused */
int fleet_connect (guint16 port);

/** fleet_send - sends a formatted text */
void fleet_send (int fd, const char *format, ...) G_GNUC_PRINTF (2, 3);

/** fleet_read_response - reads one whole response, or what was received before the connection
 * ended; free it with g_free() */
char *fleet_read_response (int fd);

/** fleet_request - sends one request on a new connection and returns the response */
char *fleet_request (guint16 port, const char *method, const char *path, const char *id);

/** fleet_count_responses_of - sends @n requests at the same time and returns how many of them the
 * upstream @id ran; fails the test if one isn't answered with 200 */
guint fleet_count_responses_of (const fleet_entry_t *entry, const char *id, guint n);

/** fleet_response_status - status of a response, 0 if it isn't one */
guint fleet_response_status (const char *response);

/** fleet_response_body - body of a response, or "" */
const char *fleet_response_body (const char *response);

/** fleet_count_runs - how often the running upstreams ran the request, in total */
guint fleet_count_runs (fleet_t *fleet, const char *id);

/** fleet_port - port of the endpoint of a stand-in */
guint16 fleet_port (const standin_t *standin);
