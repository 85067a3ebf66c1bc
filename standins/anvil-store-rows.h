#pragma once

#include <glib.h>
#include <jansson.h>

/** store_rows_t - rows of all tables, with a common version counter and the history of changes */
typedef struct store_rows store_rows_t;

store_rows_t *store_rows_new (void);
void store_rows_drop (store_rows_t *rows);

guint64 store_rows_version (const store_rows_t *rows);

/** store_rows_commit - applies a transaction given as in the body of its call; FALSE if a
 * condition doesn't hold */
gboolean store_rows_commit (store_rows_t *rows, json_t *transaction);

/** store_rows_read - rows of a table whose keys are not less than @from, as a JSON array; @has_more
 * tells whether there are more than a response may hold */
json_t *
store_rows_read (const store_rows_t *rows, const char *table, const char *from, gboolean *has_more);

/** store_rows_changes - rows of a table that changed after @version, oldest first; NULL if
 * the history was compacted after @version, or doesn't reach it */
json_t *store_rows_changes (const store_rows_t *rows, const char *table, guint64 version);

/**
 * store_rows_restore - goes back to the rows of @time, Unix milliseconds, as from a copy
 * @lost: gets the rows of the tables `op` and `servers` that are lost by that, oldest first, as
 *   objects with "row", as in a transaction, and "removed"; a row that it has already is replaced
 */
void store_rows_restore (store_rows_t *rows, gint64 time, json_t *lost);

/** store_rows_was_written - whether a row was written or removed since the last
 * store_rows_restore(); @item as in a transaction */
gboolean store_rows_was_written (const store_rows_t *rows, json_t *item);

/** store_rows_compact - deletes the history */
void store_rows_compact (store_rows_t *rows);
