#pragma once

#include <glib.h>
#include <jansson.h>

/** platform_table_t - rows with versions, changed by conditional transactions */
typedef struct platform_table platform_table_t;

typedef enum
{
  PLATFORM_TABLE_COMMITTED,
  PLATFORM_TABLE_CONFLICT,
  PLATFORM_TABLE_MALFORMED,
} platform_table_result_t;

platform_table_t *platform_table_new (void);
void platform_table_drop (platform_table_t *table);

/** platform_table_read - {"rows":[...]} with the rows whose key starts with @prefix, sorted */
json_t *platform_table_read (platform_table_t *table, const char *prefix);

/**
 * platform_table_commit - all writes of a transaction, or none
 * @transaction: {"conditions":[...],"writes":[...]}
 * @n_rows: result; rows written
 */
platform_table_result_t
platform_table_commit (platform_table_t *table, json_t *transaction, guint *n_rows);
