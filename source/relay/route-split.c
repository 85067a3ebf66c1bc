#include "relay/route-split.h"

/** credits_t - credit of each service of a route: requests that it is owed, times the sum of
 * weights */
typedef struct
{
  gint64 due[ANVIL_MAX_ROUTE_SERVICES];
} credits_t;

struct anvil_route_split
{
  /* credits_t by name of the route. */
  GHashTable *routes;
};

anvil_route_split_t *
anvil_route_split_new (void)
{
  anvil_route_split_t *split = g_new0 (anvil_route_split_t, 1);

  split->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return split;
}

void
anvil_route_split_drop (anvil_route_split_t *split)
{
  if (split == NULL)
    return;
  g_hash_table_unref (split->routes);
  g_free (split);
}

void
anvil_route_split_reset (anvil_route_split_t *split)
{
  g_hash_table_remove_all (split->routes);
}

/* Credits start at random values, so that entries with few requests don't all start with the same
 * service. */
static credits_t *
credits_of (anvil_route_split_t *split, const anvil_route_t *route)
{
  credits_t *credits = g_hash_table_lookup (split->routes, route->name);

  if (credits != NULL)
    return credits;
  credits = g_new0 (credits_t, 1);
  for (guint i = 0; i < route->n_services; i++)
    credits->due[i] = g_random_int_range (0, (gint32) route->services[i].weight + 1);
  g_hash_table_insert (split->routes, g_strdup (route->name), credits);
  return credits;
}

guint
anvil_route_split_next (anvil_route_split_t *split, const anvil_route_t *route)
{
  credits_t *credits;
  gint64 total = 0;
  guint best = G_MAXUINT;

  if (route->n_services <= 1)
    return 0;
  credits = credits_of (split, route);
  for (guint i = 0; i < route->n_services; i++)
    {
      if (route->services[i].weight == 0)
        continue;
      credits->due[i] += route->services[i].weight;
      total += route->services[i].weight;
      if (best == G_MAXUINT || credits->due[i] > credits->due[best])
        best = i;
    }
  credits->due[best] -= total;
  return best;
}
