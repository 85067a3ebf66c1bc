#pragma once

#include <glib.h>
#include <jansson.h>

/*
 * Rows of the stand-in store: tables with one version counter and a history.
 */

typedef struct store_rows store_rows_t;

store_rows_t *store_rows_new (void);
void store_rows_drop (store_rows_t *rows);

guint64 store_rows_version (const store_rows_t *rows);

/** store_rows_commit - a transaction as its call has it; FALSE if a condition didn't hold */
gboolean store_rows_commit (store_rows_t *rows, json_t *transaction);

/** store_rows_read - rows of a table with keys from @from on, as a JSON list */
json_t *store_rows_read (const store_rows_t *rows, const char *table, const char *from);

/** store_rows_changes - rows of a table that changed after @version, oldest first; NULL if the
 * history doesn't reach back that far */
json_t *store_rows_changes (const store_rows_t *rows, const char *table, guint64 version);

/** store_rows_compact - forgets the history */
void store_rows_compact (store_rows_t *rows);
