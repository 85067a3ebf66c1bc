#pragma once

#include "anvil/store.h"

/*
 * Log of rows that changed the registry of upstreams, in batches, with the
 * version of the store up to which each was read. Peers that are some versions
 * behind are sent the rows that they lack.
 *
 * When the store has come back from an older copy, a batch may lead from the last version of the
 * past era to the first of the present one: what the read of the whole table changed.
 */

typedef struct anvil_update_log anvil_update_log_t;

anvil_update_log_t *anvil_update_log_new (void);
void anvil_update_log_drop (anvil_update_log_t *log);

/** anvil_update_log_reset - empties the log: the whole table was read, up to @version */
void anvil_update_log_reset (anvil_update_log_t *log, anvil_store_position_t version);

/** anvil_update_log_add - adds a row to the current batch */
void anvil_update_log_add (anvil_update_log_t *log, const anvil_store_row_t *row);

/** anvil_update_log_end_batch - ends the current batch: the table was read up to @version */
void anvil_update_log_end_batch (anvil_update_log_t *log, anvil_store_position_t version);

anvil_store_position_t anvil_update_log_version (const anvil_update_log_t *log);

/**
 * anvil_update_log_since - appends the rows after @version, oldest first
 * @out: result; packed rows, see anvil_updates_unpack()
 *
 * Return: FALSE if the log doesn't reach back that far, or if @version is newer
 * than the log. It doesn't reach back to a version of a past era that is newer than what was read
 * in that era.
 */
gboolean anvil_update_log_since (const anvil_update_log_t *log,
                                 anvil_store_position_t version,
                                 GByteArray *out);

typedef void (*anvil_update_visit_t) (void *context, const anvil_store_row_t *row);

/** anvil_updates_unpack - visits packed rows; FALSE if the bytes are malformed */
gboolean anvil_updates_unpack (anvil_str_t bytes, anvil_update_visit_t visit, void *context);
