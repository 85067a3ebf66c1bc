#pragma once

#include <event2/event.h>

#include "anvil/byte-counts.h"
#include "anvil/clock.h"
#include "anvil/header-names.h"
#include "anvil/registry.h"
#include "anvil/routes.h"
#include "anvil/store-position.h"

/*
 * Client interface to the deployment's store, which keeps tables of rows.
 *
 * A table can be read completely, or by the changes since a version. An adapter
 * implements the client and parses the formats of the rows. When to call the
 * store, and how long its data is valid, is decided by the users of this
 * interface.
 */

/* A call whose response has not begun has failed after this time, beyond the time for which the
 * store was allowed to delay the response: a few round trips between regions and some milliseconds
 * in the store. So has one whose response pauses for as long. */
#define ANVIL_STORE_CALL_TIMEOUT (900 * ANVIL_MS)

/**
 * anvil_store_row_t - a row, or the tombstone of a removed row
 * @key: key in the table
 * @value: content
 * @version: version of the store at which it was last written or removed
 * @removed: the row was removed, or is @missing; @value is empty
 * @missing: the row isn't in the table as it was read after the store had come back from an older
 *   copy, so it may have been lost instead of removed
 */
typedef struct
{
  anvil_str_t key;
  anvil_str_t value;
  guint64 version;
  gboolean removed;
  gboolean missing;
} anvil_store_row_t;

/**
 * anvil_store_page_t - rows of one response
 * @position: era of the response, and newest version of the store, from which
 *   anvil_store_read_changes() continues
 * @has_more: the table has more rows, after the last key
 * @bytes: size of the response's body
 * @receive_time: from its first byte until its end, microseconds
 */
typedef struct
{
  const anvil_store_row_t *rows;
  guint n_rows;
  anvil_store_position_t position;
  gboolean has_more;
  gsize bytes;
  anvil_time_t receive_time;
} anvil_store_page_t;

/**
 * anvil_store_read_cb_t - result of a read
 * @page: NULL on failure; borrowed
 * @error: ANVIL_ERROR_NOT_FOUND if the store no longer has the requested history, or has more
 *   changes than the limit of the response, and the table must be read completely;
 *   ANVIL_ERROR_TIMED_OUT if it did not respond in time; ANVIL_ERROR_UNAVAILABLE if it was not
 *   reached, rejected the call, or sent a response that is malformed or cut off;
 *   ANVIL_ERROR_OUTDATED if the response was refused, see anvil_store_set_judge()
 */
typedef void (*anvil_store_read_cb_t) (void *context,
                                       const anvil_store_page_t *page,
                                       const GError *error);
typedef void (*anvil_store_put_cb_t) (void *context, const GError *error);

/** anvil_store_t - a client; belongs to one event base */
typedef struct anvil_store anvil_store_t;

anvil_store_t *anvil_store_open (struct event_base *base, guint32 address, guint16 port);

/** anvil_store_close - calls in progress end with ANVIL_ERROR_UNAVAILABLE */
void anvil_store_close (anvil_store_t *store);

/**
 * anvil_store_judge_cb_t - decides on the era of a response, before its call ends
 * @era: era that the response names, also one with an error; 0 if it names none, or anything but a
 *   number
 *
 * Return: FALSE if the call must end with ANVIL_ERROR_OUTDATED.
 */
typedef gboolean (*anvil_store_judge_cb_t) (void *context, guint64 era);

/** anvil_store_set_judge - without a judge, or with NULL, all responses are accepted */
void anvil_store_set_judge (anvil_store_t *store, anvil_store_judge_cb_t judge, void *context);

typedef void (*anvil_store_began_cb_t) (void *context);

/**
 * anvil_store_call_t - what a read may take; 0 for what is usual
 * @timeout: until the response begins, and for each pause in it, microseconds; usually
 *   ANVIL_STORE_CALL_TIMEOUT
 * @hold_time: how long the store may delay its response until a row changes, in addition to that
 * @max_bytes: limit of the response
 * @began: called with the context of the call when the first byte of its response has arrived, or
 *   NULL
 */
typedef struct
{
  anvil_time_t timeout;
  anvil_time_t hold_time;
  gsize max_bytes;
  anvil_store_began_cb_t began;
} anvil_store_call_t;

/** anvil_store_read - rows of @table whose key is greater than or equal to @from, in order; NULL
 * reads from the start; @limits may be NULL */
void anvil_store_read (anvil_store_t *store,
                       const char *table,
                       const char *from,
                       const anvil_store_call_t *limits,
                       anvil_store_read_cb_t done,
                       void *context);

/**
 * anvil_store_read_changes - rows that changed after @version
 *
 * The response has every change of a row, not only its last one. If it exceeds the limit of bytes,
 * the call ends with ANVIL_ERROR_NOT_FOUND.
 */
void anvil_store_read_changes (anvil_store_t *store,
                               const char *table,
                               guint64 version,
                               const anvil_store_call_t *limits,
                               anvil_store_read_cb_t done,
                               void *context);

/**
 * anvil_store_put - writes a row unconditionally
 *
 * As with any call that changes rows, the store may perform it after the caller has given it up.
 */
void anvil_store_put (anvil_store_t *store,
                      const char *table,
                      const char *key,
                      const anvil_str_t *value,
                      anvil_store_put_cb_t done,
                      void *context);

/**
 * anvil_store_remove - removes a row that is as it was read
 * @version: version of the row; if it has another one, or doesn't exist, the call ends with
 *   ANVIL_ERROR_CONFLICT
 */
void anvil_store_remove (anvil_store_t *store,
                         const char *table,
                         const char *key,
                         guint64 version,
                         anvil_store_put_cb_t done,
                         void *context);

/** anvil_store_byte_counts - bytes received from and sent to the store so far */
anvil_byte_counts_t anvil_store_byte_counts (const anvil_store_t *store);

/**
 * anvil_adapter_t - names and formats of a deployment
 * @header_names: names of the exchanged headers
 * @ready_path: path of the readiness check
 * @lookup_path: path of the look-up of entries
 * @lookup_region_parameter: query parameter of a look-up with the caller's region
 * @format_lookup_response: body of a look-up response; freed with g_free()
 * @operator_table: table with the configuration and the evacuated zones
 * @upstream_table: table in which upstreams register
 * @config_key: key of the configuration in @operator_table
 * @evacuation_prefix: prefix of the keys of evacuated zones in @operator_table, followed by the
 *   name of the zone
 * @parse_routes: the configuration, or NULL with @error naming field and reason
 * @parse_upstream: FALSE with @error if the row doesn't describe a usable upstream;
 *   strings of @report point into @storage, which the caller frees with g_free()
 */
typedef struct
{
  anvil_header_names_t header_names;
  const char *ready_path;
  const char *lookup_path;
  const char *lookup_region_parameter;
  char *(*format_lookup_response) (const char *const *addresses,
                                   guint n_addresses,
                                   guint ttl_seconds);
  const char *operator_table;
  const char *upstream_table;
  const char *config_key;
  const char *evacuation_prefix;
  anvil_routes_t *(*parse_routes) (anvil_str_t value, GError **error);
  gboolean (*parse_upstream) (anvil_str_t key,
                              anvil_str_t value,
                              anvil_upstream_report_t *report,
                              gpointer *storage,
                              GError **error);
} anvil_adapter_t;
