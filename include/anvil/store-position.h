#pragma once

#include <glib.h>

/*
 * Position in the history of the deployment's store.
 *
 * The store assigns its versions again after it has come back from an older copy, and raises its
 * era. So versions are compared only within an era; a later era is newer whatever its versions are.
 */

/**
 * anvil_store_position_t - version of the store, with the era that assigned it
 * @era: 0 if the store names none
 * @version: 0 for none
 */
typedef struct
{
  guint64 era;
  guint64 version;
} anvil_store_position_t;

/** anvil_store_position_compare - below 0 if @a is older than @b, 0 if they are equal, else above 0
 */
static inline gint
anvil_store_position_compare (anvil_store_position_t a, anvil_store_position_t b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  return a.version < b.version ? -1 : a.version > b.version;
}

/** anvil_store_position_later - whether @a is newer than @b */
static inline gboolean
anvil_store_position_later (anvil_store_position_t a, anvil_store_position_t b)
{
  return anvil_store_position_compare (a, b) > 0;
}

/** anvil_store_position_latest - the newer one */
static inline anvil_store_position_t
anvil_store_position_latest (anvil_store_position_t a, anvil_store_position_t b)
{
  return anvil_store_position_later (b, a) ? b : a;
}

/* For printf: era, a slash, version. */
#define ANVIL_STORE_POSITION_FORMAT "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
#define ANVIL_STORE_POSITION_ARGS(position) (position).era, (position).version
