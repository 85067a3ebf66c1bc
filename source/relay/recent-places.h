#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/*
 * Where this entry's requests for an object were answered last.
 *
 * A new holder of a service learns from the entries which upstreams remember
 * which objects, so that it doesn't spread them anew.
 */

/* Most objects that are kept, and that one message tells. */
#define ANVIL_MAX_RECENT_PLACES 2048
#define ANVIL_MAX_TOLD_PLACES 128

/**
 * anvil_place_t - an object and an upstream that handled it
 * @object: hash of the object
 * @upstream: key of the upstream
 */
typedef struct
{
  guint64 object;
  guint64 upstream;
} anvil_place_t;

typedef struct anvil_recent_places anvil_recent_places_t;

anvil_recent_places_t *anvil_recent_places_new (void);
void anvil_recent_places_drop (anvil_recent_places_t *places);

/** anvil_recent_places_note - a request for @object was answered by @upstream */
void anvil_recent_places_note (anvil_recent_places_t *places,
                               anvil_time_t now,
                               const char *service,
                               guint64 object,
                               guint64 upstream);

/**
 * anvil_recent_places_list - places of a service
 * @list: result
 * @max: room in @list
 *
 * Leaves out what is so old that its upstream may have forgotten the object.
 *
 * Return: how many were written.
 */
guint anvil_recent_places_list (anvil_recent_places_t *places,
                                anvil_time_t now,
                                const char *service,
                                anvil_place_t *list,
                                guint max);

/** anvil_places_pack - places as they are stored and sent: pairs of 64-bit numbers in network order
 */
void anvil_places_pack (const anvil_place_t *places, guint n_places, GByteArray *out);

/** anvil_places_unpack - the reverse; bytes beyond whole pairs are ignored; how many were read */
guint anvil_places_unpack (anvil_str_t bytes, anvil_place_t *places, guint max_places);
