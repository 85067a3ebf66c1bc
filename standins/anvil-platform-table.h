#pragma once

#include <glib.h>
#include <jansson.h>

/** platform_table_t - versioned rows, changed by conditional transactions */
typedef struct platform_table platform_table_t;

typedef enum
{
  PLATFORM_TABLE_COMMITTED,
  PLATFORM_TABLE_CONFLICT,
  PLATFORM_TABLE_MALFORMED,
} platform_table_result_t;

platform_table_t *platform_table_new (void);
void platform_table_drop (platform_table_t *table);

/** platform_table_read - rows whose key starts with @prefix, sorted by key: {"rows":[...]} */
json_t *platform_table_read (platform_table_t *table, const char *prefix);

/**
 * platform_table_commit - applies all writes of a transaction if its conditions hold
 * @transaction: {"conditions":[...],"writes":[...]}
 * @n_rows: result; number of rows written
 */
platform_table_result_t
platform_table_commit (platform_table_t *table, json_t *transaction, guint *n_rows);
