#pragma once

#include <event2/event.h>

#include "anvil/clock.h"
#include "anvil/header-names.h"
#include "anvil/registry.h"
#include "anvil/routes.h"

/*
 * The deployment's store, as the product uses it: tables of rows, read whole or
 * followed by their changes. An adapter implements the client and reads the
 * formats of its rows; when to call, what to believe and for how long is
 * decided here, in the product.
 */

/**
 * anvil_store_row_t - a row, or the trace of one that was removed
 * @key: its key in the table
 * @value: its bytes
 * @removed: it is gone; @value is empty
 */
typedef struct
{
  anvil_str_t key;
  anvil_str_t value;
  gboolean removed;
} anvil_store_row_t;

/**
 * anvil_store_page_t - rows of one answer
 * @version: newest version of the store, the point to follow from
 * @has_more: the table has more rows, after the last key
 */
typedef struct
{
  const anvil_store_row_t *rows;
  guint n_rows;
  guint64 version;
  gboolean has_more;
} anvil_store_page_t;

/**
 * anvil_store_read_cb_t - the answer to a read
 * @page: NULL on failure; borrowed
 * @error: ANVIL_ERROR_NOT_FOUND if the history asked for is gone, so that the
 *   table must be read whole; ANVIL_ERROR_UNAVAILABLE if there was no answer
 *   or the store turned the call away
 */
typedef void (*anvil_store_read_cb_t) (void *context,
                                       const anvil_store_page_t *page,
                                       const GError *error);
typedef void (*anvil_store_put_cb_t) (void *context, const GError *error);

/** anvil_store_t - a client; belongs to one event base */
typedef struct anvil_store anvil_store_t;

anvil_store_t *anvil_store_open (struct event_base *base, guint32 address, guint16 port);

/** anvil_store_close - calls under way end with ANVIL_ERROR_UNAVAILABLE */
void anvil_store_close (anvil_store_t *store);

/** anvil_store_read - rows of @table whose key is greater than or equal to @from, in order */
void anvil_store_read (anvil_store_t *store,
                       const char *table,
                       const char *from,
                       anvil_store_read_cb_t done,
                       void *context);

/**
 * anvil_store_read_changes - rows that changed after @version
 * @wait: how long the store may hold the call while nothing changes, microseconds
 */
void anvil_store_read_changes (anvil_store_t *store,
                               const char *table,
                               guint64 version,
                               anvil_time_t wait,
                               anvil_store_read_cb_t done,
                               void *context);

/** anvil_store_put - writes a row whatever was there; a NULL @value removes it */
void anvil_store_put (anvil_store_t *store,
                      const char *table,
                      const char *key,
                      const anvil_str_t *value,
                      anvil_store_put_cb_t done,
                      void *context);

/**
 * anvil_adapter_t - what an adapter knows of its deployment's words
 * @header_names: names of headers
 * @ready_path: path of the readiness check
 * @lookup_path: path of the look-up of entries
 * @lookup_region_parameter: its query field for the caller's region
 * @format_lookup_response: body of a look-up's answer; freed with g_free()
 * @operator_table: table with the configuration and the zones to empty
 * @upstream_table: table in which upstreams register
 * @config_key: key of the configuration in @operator_table
 * @evacuation_prefix: the rest of such a key names a zone to empty
 * @parse_routes: the configuration, or NULL with @error naming field and reason
 * @parse_upstream: FALSE with @error if the row names no upstream that can be
 *   used; texts of @report point into @storage, freed by the caller with g_free()
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
