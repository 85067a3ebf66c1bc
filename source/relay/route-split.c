#include "relay/route-split.h"

/**
 * position_t - where a route stands
 * @due: for each service the share of a request that it is owed, of those that go to it or to a
 *   service behind it
 */
typedef struct
{
  gdouble due[ANVIL_MAX_ROUTE_SERVICES];
} position_t;

struct anvil_route_split
{
  /* position_t by name of the route. */
  GHashTable *positions;
};

anvil_route_split_t *
anvil_route_split_new (void)
{
  anvil_route_split_t *split = g_new0 (anvil_route_split_t, 1);

  split->positions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return split;
}

void
anvil_route_split_drop (anvil_route_split_t *split)
{
  if (split == NULL)
    return;
  g_hash_table_unref (split->positions);
  g_free (split);
}

void
anvil_route_split_limit (anvil_route_split_t *split, guint n_routes)
{
  if (g_hash_table_size (split->positions) > 2 * n_routes)
    g_hash_table_remove_all (split->positions);
}

/* Services are owed a random part of a request at first. If all entries began alike, the service
 * with most weight would get the first requests of each. */
static position_t *
position_of (anvil_route_split_t *split, const anvil_route_t *route)
{
  position_t *position = g_hash_table_lookup (split->positions, route->name);

  if (position != NULL)
    return position;
  position = g_new0 (position_t, 1);
  for (guint i = 0; i < ANVIL_MAX_ROUTE_SERVICES; i++)
    position->due[i] = g_random_double ();
  g_hash_table_insert (split->positions, g_strdup (route->name), position);
  return position;
}

guint
anvil_route_split_next (anvil_route_split_t *split, const anvil_route_t *route)
{
  position_t *position;
  guint64 remaining = 0;
  guint last = 0;

  if (route->n_services <= 1)
    return 0;
  position = position_of (split, route);
  for (guint i = 0; i < route->n_services; i++)
    remaining += route->services[i].weight;
  for (guint i = 0; i < route->n_services && remaining > 0; i++)
    {
      const guint weight = route->services[i].weight;

      if (weight == 0)
        continue;
      last = i;
      position->due[i] += (gdouble) weight / (gdouble) remaining;
      if (position->due[i] >= 1)
        {
          position->due[i] -= 1;
          return i;
        }
      remaining -= weight;
    }
  return last;
}
