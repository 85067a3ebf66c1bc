#include "steer/evacuated-zones.h"

#include "steer/store-era.h"

/**
 * zone_t - an evacuated zone
 * @listed: it was in the list that is being read
 * @known_by_peer: it is in the list of a peer
 * @seen_in_era: its row was read since the store has come back from an older copy
 * @missing: its row is known to be missing, and the evacuation goes on until that must be final
 */
typedef struct
{
  gboolean listed;
  gboolean known_by_peer;
  gboolean seen_in_era;
  gboolean missing;
} zone_t;

struct evacuated_zones
{
  evacuated_zones_changed_t changed;
  void *context;
  /* zone_t by name. */
  GHashTable *table;
  /* Until then a missing row doesn't end an evacuation; 0 if the store has never come back. */
  anvil_time_t return_ends;
};

evacuated_zones_t *
evacuated_zones_new (evacuated_zones_changed_t changed, void *context)
{
  evacuated_zones_t *zones = g_new0 (evacuated_zones_t, 1);

  zones->changed = changed;
  zones->context = context;
  zones->table = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return zones;
}

void
evacuated_zones_drop (evacuated_zones_t *zones)
{
  if (zones == NULL)
    return;
  g_hash_table_unref (zones->table);
  g_free (zones);
}

void
evacuated_zones_begin_era (evacuated_zones_t *zones, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  zones->return_ends = now + ANVIL_STORE_RETURN_TIME;
  g_hash_table_iter_init (&iter, zones->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_t *) value)->seen_in_era = FALSE;
}

static zone_t *
add (evacuated_zones_t *zones, const char *name)
{
  zone_t *zone = g_hash_table_lookup (zones->table, name);

  if (zone != NULL)
    return zone;
  zone = g_new0 (zone_t, 1);
  g_hash_table_insert (zones->table, g_strdup (name), zone);
  zones->changed (zones->context, name, TRUE);
  return zone;
}

/* Ends an evacuation, unless its row may only have been lost. */
static void
end_or_defer (evacuated_zones_t *zones, anvil_time_t now, const char *name, zone_t *zone)
{
  char *copy;

  if (now < zones->return_ends && !zone->seen_in_era)
    {
      zone->missing = TRUE;
      return;
    }
  copy = g_strdup (name);
  g_hash_table_remove (zones->table, name);
  zones->changed (zones->context, copy, FALSE);
  g_free (copy);
}

void
evacuated_zones_set_row (evacuated_zones_t *zones,
                         anvil_time_t now,
                         const char *zone,
                         gboolean removed)
{
  zone_t *known;

  if (removed)
    {
      known = g_hash_table_lookup (zones->table, zone);
      if (known != NULL)
        end_or_defer (zones, now, zone, known);
      return;
    }
  known = add (zones, zone);
  known->listed = TRUE;
  known->seen_in_era = TRUE;
  known->missing = FALSE;
}

void
evacuated_zones_begin_list (evacuated_zones_t *zones)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, zones->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_t *) value)->listed = FALSE;
}

/* Ends the evacuations that match, which changes the table. */
static void
end_matching (evacuated_zones_t *zones, anvil_time_t now, gboolean (*matches) (const zone_t *zone))
{
  GList *names = g_hash_table_get_keys (zones->table);

  for (GList *link = names; link != NULL; link = link->next)
    {
      zone_t *zone = g_hash_table_lookup (zones->table, link->data);

      if (matches (zone))
        end_or_defer (zones, now, link->data, zone);
    }
  g_list_free (names);
}

static gboolean
is_unlisted (const zone_t *zone)
{
  return !zone->listed;
}

static gboolean
is_missing (const zone_t *zone)
{
  return zone->missing;
}

void
evacuated_zones_end_list (evacuated_zones_t *zones, anvil_time_t now)
{
  end_matching (zones, now, is_unlisted);
}

static gboolean
is_unknown_to_peer (const zone_t *zone)
{
  return !zone->known_by_peer;
}

void
evacuated_zones_set_from_peer (evacuated_zones_t *zones,
                               anvil_time_t now,
                               const anvil_str_t *names,
                               guint n_names)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, zones->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((zone_t *) value)->known_by_peer = FALSE;
  for (guint i = 0; i < n_names; i++)
    {
      char *name = anvil_str_dup (names[i]);

      add (zones, name)->known_by_peer = TRUE;
      g_free (name);
    }
  end_matching (zones, now, is_unknown_to_peer);
}

void
evacuated_zones_settle (evacuated_zones_t *zones, anvil_time_t now)
{
  if (now >= zones->return_ends)
    end_matching (zones, now, is_missing);
}

gboolean
evacuated_zones_contain (const evacuated_zones_t *zones, const char *zone)
{
  return g_hash_table_contains (zones->table, zone);
}

guint
evacuated_zones_count (const evacuated_zones_t *zones)
{
  return g_hash_table_size (zones->table);
}

void
evacuated_zones_foreach (const evacuated_zones_t *zones,
                         evacuated_zones_visit_t visit,
                         void *context)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, zones->table);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    visit (context, name);
}
