#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/* Most entries that are kept of one answer; a set of tried ones fits in 64 bits. */
#define LOAD_MAX_ENTRIES 64

/** load_entry_t - an entry as a look-up names it */
typedef struct
{
  guint32 address;
  guint16 port;
  guint weight;
} load_entry_t;

/**
 * load_lookup_t - the answer of a look-up
 * @generation: configuration that it was decided on
 * @expires_at: when it may no longer be used, on the monotonic clock
 * @entries: best first
 * @n_entries: how many
 */
typedef struct
{
  guint64 generation;
  anvil_time_t expires_at;
  guint n_entries;
  load_entry_t entries[LOAD_MAX_ENTRIES];
} load_lookup_t;

/**
 * load_lookup_parse - reads the answer of GET /v1/entries
 * @asked_at: when it was asked for; the time to live counts from here
 *
 * Return: FALSE with @error if it isn't one.
 */
gboolean
load_lookup_parse (load_lookup_t *lookup, anvil_str_t body, anvil_time_t asked_at, GError **error);

/**
 * load_lookup_choose - picks an entry by weight
 * @tried: bit set of entries that are out
 *
 * Entries without weight are picked only when no other is left, in their order.
 *
 * Return: its index, or LOAD_MAX_ENTRIES when every one was tried.
 */
guint load_lookup_choose (const load_lookup_t *lookup, guint64 tried, GRand *rand);

/** load_cache_t - look-ups that one caller keeps, one for each service */
typedef struct load_cache load_cache_t;

load_cache_t *load_cache_new (guint n_services);
void load_cache_drop (load_cache_t *cache);

/** load_cache_get - the answer kept for a service, NULL once its time to live has ended */
const load_lookup_t *load_cache_get (const load_cache_t *cache, guint service, anvil_time_t now);

/** load_cache_put - keeps a copy */
void load_cache_put (load_cache_t *cache, guint service, const load_lookup_t *lookup);
