#pragma once

#include <glib.h>
#include <jansson.h>

/** upstream_run_counts_t - number of runs of each request, by idempotency key or request ID */
typedef struct upstream_run_counts upstream_run_counts_t;

upstream_run_counts_t *upstream_run_counts_new (void);
void upstream_run_counts_drop (upstream_run_counts_t *counts);

/** upstream_run_counts_add - counts a run of the request with this key */
void upstream_run_counts_add (upstream_run_counts_t *counts, const char *key, const char *service);

/** upstream_run_counts_to_json - {"KEY":RUNS,...} */
json_t *upstream_run_counts_to_json (const upstream_run_counts_t *counts);

/** upstream_run_counts_duplicates_to_json - [{"key":K,"service":S,"runs":N},...] with N above 1 */
json_t *upstream_run_counts_duplicates_to_json (const upstream_run_counts_t *counts);
