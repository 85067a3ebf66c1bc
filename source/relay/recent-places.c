#include "relay/recent-places.h"

#include <string.h>

/* Age above which a place isn't told: objects that are asked for regularly come within seconds. */
#define TOO_OLD (20 * ANVIL_SECOND)

typedef struct
{
  guint64 service;
  anvil_place_t place;
  anvil_time_t noted_at;
} noted_t;

struct anvil_recent_places
{
  /* noted_t, each its own key. */
  GHashTable *noted;
};

static guint
noted_hash (gconstpointer data)
{
  const noted_t *noted = data;

  return (guint) ((noted->service ^ noted->place.object) >> 16);
}

static gboolean
noted_equal (gconstpointer a, gconstpointer b)
{
  const noted_t *x = a;
  const noted_t *y = b;

  return x->service == y->service && x->place.object == y->place.object;
}

anvil_recent_places_t *
anvil_recent_places_new (void)
{
  anvil_recent_places_t *places = g_new0 (anvil_recent_places_t, 1);

  places->noted = g_hash_table_new_full (noted_hash, noted_equal, g_free, NULL);
  return places;
}

void
anvil_recent_places_drop (anvil_recent_places_t *places)
{
  if (places == NULL)
    return;
  g_hash_table_unref (places->noted);
  g_free (places);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  const noted_t *noted = key;
  const anvil_time_t *now = data;

  return *now - noted->noted_at > TOO_OLD;
}

void
anvil_recent_places_note (anvil_recent_places_t *places,
                          anvil_time_t now,
                          const char *service,
                          guint64 object,
                          guint64 upstream)
{
  const noted_t wanted = { .service = anvil_str_hash (anvil_str (service)),
                           .place = { .object = object, .upstream = upstream },
                           .noted_at = now };
  gpointer known;

  if (object == 0)
    return;
  if (g_hash_table_lookup_extended (places->noted, &wanted, &known, NULL))
    {
      *(noted_t *) known = wanted;
      return;
    }
  if (g_hash_table_size (places->noted) >= ANVIL_MAX_RECENT_PLACES)
    g_hash_table_foreach_remove (places->noted, is_old, &now);
  if (g_hash_table_size (places->noted) < ANVIL_MAX_RECENT_PLACES)
    g_hash_table_add (places->noted, g_memdup2 (&wanted, sizeof wanted));
}

guint
anvil_recent_places_list (anvil_recent_places_t *places,
                          anvil_time_t now,
                          const char *service,
                          anvil_place_t *list,
                          guint max)
{
  guint64 wanted = anvil_str_hash (anvil_str (service));
  GHashTableIter iter;
  gpointer key;
  guint n = 0;

  g_hash_table_foreach_remove (places->noted, is_old, &now);
  g_hash_table_iter_init (&iter, places->noted);
  while (n < max && g_hash_table_iter_next (&iter, &key, NULL))
    {
      const noted_t *noted = key;

      if (noted->service == wanted)
        list[n++] = noted->place;
    }
  return n;
}

void
anvil_places_pack (const anvil_place_t *places, guint n_places, GByteArray *out)
{
  for (guint i = 0; i < n_places; i++)
    {
      const guint64 pair[2]
          = { GUINT64_TO_BE (places[i].object), GUINT64_TO_BE (places[i].upstream) };

      g_byte_array_append (out, (const guint8 *) pair, sizeof pair);
    }
}

guint
anvil_places_unpack (anvil_str_t bytes, anvil_place_t *places, guint max_places)
{
  guint64 pair[2];
  guint n = (guint) MIN (bytes.length / sizeof pair, max_places);

  for (guint i = 0; i < n; i++)
    {
      memcpy (pair, bytes.data + i * sizeof pair, sizeof pair);
      places[i].object = GUINT64_FROM_BE (pair[0]);
      places[i].upstream = GUINT64_FROM_BE (pair[1]);
    }
  return n;
}
