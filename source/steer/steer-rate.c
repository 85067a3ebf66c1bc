/* Rate budgets of links and shifts: token buckets that fill while this entry may use seats. */

#include "steer/steer-internal.h"

/**
 * budget_t - this entry's share of one limit
 * @bucket: holds the units that may be used
 * @region_a, @region_b: regions whose seats share the limit, ANVIL_NO_INDEX if all seats do
 * @created_at: when the limit first appeared in the configuration
 * @generation: latest generation that has the limit
 */
typedef struct
{
  anvil_rate_bucket_t bucket;
  guint region_a;
  guint region_b;
  anvil_time_t created_at;
  guint64 generation;
} budget_t;

static guint64
budget_key (const char *kind, anvil_str_t a, anvil_str_t b, guint traffic)
{
  char *name
      = g_strdup_printf ("%s:%.*s>%.*s/%u", kind, ANVIL_STR_ARGS (a), ANVIL_STR_ARGS (b), traffic);
  guint64 key = anvil_str_hash (anvil_str (name));

  g_free (name);
  return key;
}

/* Seats in the two regions of a link share its limit; all seats share a shift's cap. */
static gboolean
shares_budget (const anvil_steer_t *steer, const budget_t *budget, guint seat)
{
  guint region = steer->layout->region[seat];

  return budget->region_a == ANVIL_NO_INDEX || region == budget->region_a
         || region == budget->region_b;
}

static guint
count_sharing_seats (const anvil_steer_t *steer, const budget_t *budget)
{
  guint n = 0;

  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    n += shares_budget (steer, budget, seat);
  return n;
}

/* Limit of a link in a configuration, 0 if it has no such link. */
static gint64
link_limit (const anvil_config_t *config, anvil_str_t from, anvil_str_t to)
{
  for (guint i = 0; i < config->n_links; i++)
    {
      const anvil_link_t *link = &config->links[i];

      if (anvil_str_equal (config->regions[link->from].name, from)
          && anvil_str_equal (config->regions[link->to].name, to))
        return link->bits_per_s;
    }
  return 0;
}

static gint64
shift_cap (const anvil_shift_t *shift)
{
  return shift->cap_bits_per_s > 0 ? shift->cap_bits_per_s : shift->cap_requests_per_s;
}

static gint64
shift_limit (const anvil_config_t *config, anvil_str_t name, gboolean in_bits)
{
  for (guint i = 0; i < config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &config->shifts[i];

      if (anvil_str_equal (shift->name, name) && (shift->cap_bits_per_s > 0) == in_bits)
        return shift_cap (shift);
    }
  return G_MAXINT64;
}

/* Lowest limit of a link in the generations that may be in force at some entry. */
static gint64
min_link_limit (const anvil_steer_t *steer, const anvil_link_t *link)
{
  anvil_str_t from = steer->config->regions[link->from].name;
  anvil_str_t to = steer->config->regions[link->to].name;
  gint64 lowest = link->bits_per_s;

  for (guint i = 0; i < steer->old_generations->len && !steer->options.faults.ignore_old_generation;
       i++)
    {
      gint64 old = link_limit (
          g_array_index (steer->old_generations, anvil_old_generation_t, i).config, from, to);

      if (old > 0)
        lowest = MIN (lowest, old);
    }
  return lowest;
}

static gint64
min_shift_limit (const anvil_steer_t *steer, const anvil_shift_t *shift)
{
  gint64 lowest = shift_cap (shift);

  for (guint i = 0; i < steer->old_generations->len && !steer->options.faults.ignore_old_generation;
       i++)
    lowest = MIN (
        lowest,
        shift_limit (g_array_index (steer->old_generations, anvil_old_generation_t, i).config,
                     shift->name, shift->cap_bits_per_s > 0));
  return lowest;
}

/* Returns the budget of a key. A budget keeps its tokens across generations. */
static budget_t *
get_or_add_budget (anvil_steer_t *steer,
                   anvil_time_t now,
                   guint64 key,
                   guint region_a,
                   guint region_b,
                   gdouble limit)
{
  budget_t *budget = g_hash_table_lookup (steer->buckets, &key);
  guint sharing;

  if (budget == NULL)
    {
      budget = g_new0 (budget_t, 1);
      budget->bucket.key = key;
      budget->bucket.refilled_at = now;
      budget->created_at = now;
      g_hash_table_insert (steer->buckets, &budget->bucket.key, budget);
    }
  budget->generation = steer->generation;
  budget->region_a = region_a;
  budget->region_b = region_b;
  sharing = count_sharing_seats (steer, budget);
  budget->bucket.rate_per_seat = sharing > 0 ? limit / sharing : 0;
  return budget;
}

static void
configure_link (anvil_steer_t *steer, anvil_time_t now, guint index)
{
  const anvil_link_t *link = &steer->config->links[index];
  gdouble limit = (gdouble) min_link_limit (steer, link);

  for (guint traffic = 0; traffic < ANVIL_N_TRAFFIC_CLASSES; traffic++)
    {
      guint percent = traffic == ANVIL_TRAFFIC_BULK ? ANVIL_BULK_PERCENT : 100 - ANVIL_BULK_PERCENT;
      guint64 key = budget_key ("link", steer->config->regions[link->from].name,
                                steer->config->regions[link->to].name, traffic);
      budget_t *budget
          = get_or_add_budget (steer, now, key, link->from, link->to, limit * percent / 100);

      g_array_append_val (steer->link_buckets, budget);
    }
}

static gboolean
is_removed (gpointer key, gpointer value, gpointer data)
{
  const anvil_steer_t *steer = data;

  return ((const budget_t *) value)->generation != steer->generation;
}

void
anvil_steer_rates_configure (anvil_steer_t *steer, anvil_time_t now)
{
  g_array_set_size (steer->link_buckets, 0);
  g_array_set_size (steer->shift_buckets, 0);
  for (guint i = 0; i < steer->config->n_links; i++)
    configure_link (steer, now, i);
  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];
      guint64 key = budget_key ("shift", shift->name, anvil_str (""), shift->cap_bits_per_s > 0);
      budget_t *budget = get_or_add_budget (steer, now, key, ANVIL_NO_INDEX, ANVIL_NO_INDEX,
                                            (gdouble) min_shift_limit (steer, shift));

      g_array_append_val (steer->shift_buckets, budget);
    }
  /* A removed limit that is configured again starts without tokens, and a shift with its ramp. */
  g_hash_table_foreach_remove (steer->buckets, is_removed, steer);
}

anvil_time_t
anvil_steer_shift_started_at (const anvil_steer_t *steer, guint shift)
{
  return g_array_index (steer->shift_buckets, budget_t *, shift)->created_at;
}

/* Adds the tokens of each seat since the last refill, for the time in which its lease was valid. */
static anvil_rate_bucket_t *
refill (const anvil_steer_t *steer, anvil_time_t now, budget_t *budget)
{
  anvil_time_t refilled_at = budget->bucket.refilled_at;

  budget->bucket.refill_stopped = TRUE;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      const anvil_seat_lease_t *lease = &steer->seats[seat].lease;
      anvil_time_t from = MAX (refilled_at, lease->acquired_at);
      anvil_time_t to = MIN (now, lease->expires_at);

      if (!shares_budget (steer, budget, seat))
        continue;
      if (lease->expires_at > now)
        budget->bucket.refill_stopped = FALSE;
      if (to > from)
        anvil_rate_bucket_refill (&budget->bucket, to - from);
    }
  budget->bucket.refilled_at = now;
  return &budget->bucket;
}

anvil_rate_bucket_t *
anvil_steer_bucket (anvil_steer_t *steer, anvil_time_t now, guint64 key)
{
  budget_t *budget = g_hash_table_lookup (steer->buckets, &key);

  return budget != NULL ? refill (steer, now, budget) : NULL;
}

anvil_rate_bucket_t *
anvil_steer_link_bucket (
    anvil_steer_t *steer, anvil_time_t now, guint from, guint to, anvil_traffic_class_t traffic)
{
  guint link = anvil_config_lookup_link (steer->config, from, to);

  if (link == ANVIL_NO_INDEX)
    return NULL;
  return refill (
      steer, now,
      g_array_index (steer->link_buckets, budget_t *, link * ANVIL_N_TRAFFIC_CLASSES + traffic));
}

anvil_rate_bucket_t *
anvil_steer_shift_bucket (anvil_steer_t *steer, anvil_time_t now, guint shift)
{
  return refill (steer, now, g_array_index (steer->shift_buckets, budget_t *, shift));
}

gint64
anvil_steer_bucket_share (const anvil_steer_t *steer,
                          anvil_time_t now,
                          const anvil_rate_bucket_t *bucket)
{
  const budget_t *budget = g_hash_table_lookup (steer->buckets, &bucket->key);
  guint usable = 0;

  for (guint seat = 0; budget != NULL && seat < steer->layout->n_seats; seat++)
    usable += shares_budget (steer, budget, seat) && anvil_steer_seat_usable (steer, now, seat);
  return (gint64) (bucket->rate_per_seat * usable);
}
