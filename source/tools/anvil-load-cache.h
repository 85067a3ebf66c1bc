#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/* Further entries of a response are ignored, so that a set of entries fits in 64 bits. */
#define LOAD_MAX_ENTRIES 64

/** load_entry_t - an entry in the response to a look-up; address in host order */
typedef struct
{
  guint32 address;
  guint16 port;
  guint weight;
} load_entry_t;

/**
 * load_lookup_t - response to a look-up of the entries for a service
 * @generation: generation of the configuration that the response is based on
 * @expires_at: end of its time to live, on the monotonic clock
 * @entries: best first
 */
typedef struct
{
  guint64 generation;
  anvil_time_t expires_at;
  guint n_entries;
  load_entry_t entries[LOAD_MAX_ENTRIES];
} load_lookup_t;

/**
 * load_lookup_parse - parses the response to GET /v1/entries
 * @requested_at: when the request was sent; the time to live starts then
 *
 * Return: FALSE with @error if @body is invalid.
 */
gboolean load_lookup_parse (load_lookup_t *lookup,
                            anvil_str_t body,
                            anvil_time_t requested_at,
                            GError **error);

/**
 * load_lookup_choose - picks an entry at random, in proportion to the weights
 * @tried: bit set of entries that are not picked
 *
 * Entries of weight 0 are picked only if no others are left, in their order.
 *
 * Return: its index, or LOAD_MAX_ENTRIES if all entries were tried.
 */
guint load_lookup_choose (const load_lookup_t *lookup, guint64 tried, GRand *rand);

/** load_cache_t - a caller's cached look-ups, one for each service */
typedef struct load_cache load_cache_t;

load_cache_t *load_cache_new (guint n_services);
void load_cache_drop (load_cache_t *cache);

/** load_cache_get - cached look-up of a service; NULL if there is none or it has expired */
const load_lookup_t *load_cache_get (const load_cache_t *cache, guint service, anvil_time_t now);

/** load_cache_put - stores a copy of a look-up */
void load_cache_put (load_cache_t *cache, guint service, const load_lookup_t *lookup);
