#pragma once

#include <glib.h>

/** upstream_cache_t - cached objects of an upstream; the oldest is evicted first */
typedef struct upstream_cache upstream_cache_t;

upstream_cache_t *upstream_cache_new (guint max_objects);
void upstream_cache_drop (upstream_cache_t *cache);

/** upstream_cache_find_or_add - adds an object; returns whether it was cached before */
gboolean upstream_cache_find_or_add (upstream_cache_t *cache, const char *object);

void upstream_cache_clear (upstream_cache_t *cache);
