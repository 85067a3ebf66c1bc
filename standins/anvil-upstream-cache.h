#pragma once

#include <glib.h>

/** upstream_cache_t - the objects that an upstream has at hand; the oldest makes room */
typedef struct upstream_cache upstream_cache_t;

upstream_cache_t *upstream_cache_new (guint max_objects);
void upstream_cache_drop (upstream_cache_t *cache);

/** upstream_cache_find_or_add - whether an object was there; it is afterwards */
gboolean upstream_cache_find_or_add (upstream_cache_t *cache, const char *object);

void upstream_cache_clear (upstream_cache_t *cache);
