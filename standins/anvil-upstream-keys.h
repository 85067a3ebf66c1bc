#pragma once

#include <glib.h>
#include <jansson.h>

/** upstream_keys_t - how often each request was run, by its key */
typedef struct upstream_keys upstream_keys_t;

upstream_keys_t *upstream_keys_new (void);
void upstream_keys_drop (upstream_keys_t *keys);

/** upstream_keys_count - a request with this key starts to run */
void upstream_keys_count (upstream_keys_t *keys, const char *key, const char *service);

/** upstream_keys_runs - {"KEY":RUNS,...} */
json_t *upstream_keys_runs (const upstream_keys_t *keys);

/** upstream_keys_duplicates - [{"key":K,"service":S,"runs":N},...] with N above 1 */
json_t *upstream_keys_duplicates (const upstream_keys_t *keys);
