#pragma once

#include <glib.h>
#include <jansson.h>

/** upstream_run_counts_t - how often each request was run, by its key */
typedef struct upstream_run_counts upstream_run_counts_t;

upstream_run_counts_t *upstream_run_counts_new (void);
void upstream_run_counts_drop (upstream_run_counts_t *keys);

/** upstream_run_counts_add - a request with this key starts to run */
void upstream_run_counts_add (upstream_run_counts_t *keys, const char *key, const char *service);

/** upstream_run_counts_to_json - {"KEY":RUNS,...} */
json_t *upstream_run_counts_to_json (const upstream_run_counts_t *keys);

/** upstream_run_counts_duplicates_to_json - [{"key":K,"service":S,"runs":N},...] with N above 1 */
json_t *upstream_run_counts_duplicates_to_json (const upstream_run_counts_t *keys);
