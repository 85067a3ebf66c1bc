/* Shares of link and shift limits: token buckets that fill while a seat may be used. */

#include "steer/steer-internal.h"

/* A budget, the regions whose seats share it, and how long it has been in the files. */
typedef struct
{
  anvil_rate_bucket_t rate;
  guint region_a;
  guint region_b;
  anvil_time_t since;
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

/* Only seats at the ends of a link use it; every seat draws on a shift's cap. */
static gboolean
shares_budget (const anvil_steer_t *steer, const budget_t *budget, guint seat)
{
  guint region = steer->layout->region[seat];

  return budget->region_a == ANVIL_NO_INDEX || region == budget->region_a
         || region == budget->region_b;
}

static guint
count_sharing (const anvil_steer_t *steer, const budget_t *budget)
{
  guint n = 0;

  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    n += shares_budget (steer, budget, seat);
  return n;
}

/* Limit of a link in a file, 0 if it has no such link. */
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

/* Smallest limit of a link under the generations that may be in force somewhere. */
static gint64
least_link_limit (const anvil_steer_t *steer, const anvil_link_t *link)
{
  anvil_str_t from = steer->config->regions[link->from].name;
  anvil_str_t to = steer->config->regions[link->to].name;
  gint64 least = link->bits_per_s;

  for (guint i = 0; i < steer->old_generations->len && !steer->options.faults.ignore_old_generation;
       i++)
    {
      gint64 old = link_limit (
          g_array_index (steer->old_generations, anvil_old_generation_t, i).config, from, to);

      if (old > 0)
        least = MIN (least, old);
    }
  return least;
}

static gint64
least_shift_limit (const anvil_steer_t *steer, const anvil_shift_t *shift)
{
  gint64 least = shift_cap (shift);

  for (guint i = 0; i < steer->old_generations->len && !steer->options.faults.ignore_old_generation;
       i++)
    least = MIN (
        least,
        shift_limit (g_array_index (steer->old_generations, anvil_old_generation_t, i).config,
                     shift->name, shift->cap_bits_per_s > 0));
  return least;
}

/* The budget of a key, kept across generations with its tokens. */
static budget_t *
keep_budget (anvil_steer_t *steer,
             anvil_time_t now,
             guint64 key,
             guint region_a,
             guint region_b,
             gdouble limit)
{
  budget_t *budget = g_hash_table_lookup (steer->rates, &key);
  guint sharing;

  if (budget == NULL)
    {
      budget = g_new0 (budget_t, 1);
      budget->rate.key = key;
      budget->rate.last = now;
      budget->since = now;
      g_hash_table_insert (steer->rates, &budget->rate.key, budget);
    }
  budget->generation = steer->generation;
  budget->region_a = region_a;
  budget->region_b = region_b;
  sharing = count_sharing (steer, budget);
  budget->rate.rate_per_seat = sharing > 0 ? limit / sharing : 0;
  return budget;
}

static void
configure_link (anvil_steer_t *steer, anvil_time_t now, guint index)
{
  const anvil_link_t *link = &steer->config->links[index];
  gdouble limit = (gdouble) least_link_limit (steer, link);

  for (guint traffic = 0; traffic < ANVIL_N_TRAFFIC; traffic++)
    {
      guint percent = traffic == ANVIL_TRAFFIC_BULK ? ANVIL_BULK_PERCENT : 100 - ANVIL_BULK_PERCENT;
      guint64 key = budget_key ("link", steer->config->regions[link->from].name,
                                steer->config->regions[link->to].name, traffic);
      budget_t *budget = keep_budget (steer, now, key, link->from, link->to, limit * percent / 100);

      g_array_append_val (steer->link_rates, budget);
    }
}

static gboolean
is_outdated (gpointer key, gpointer value, gpointer data)
{
  const anvil_steer_t *steer = data;

  return ((const budget_t *) value)->generation != steer->generation;
}

void
anvil_steer_rates_configure (anvil_steer_t *steer, anvil_time_t now)
{
  g_array_set_size (steer->link_rates, 0);
  g_array_set_size (steer->shift_rates, 0);
  for (guint i = 0; i < steer->config->n_links; i++)
    configure_link (steer, now, i);
  for (guint i = 0; i < steer->config->n_shifts; i++)
    {
      const anvil_shift_t *shift = &steer->config->shifts[i];
      guint64 key = budget_key ("shift", shift->name, anvil_str (""), shift->cap_bits_per_s > 0);
      budget_t *budget = keep_budget (steer, now, key, ANVIL_NO_INDEX, ANVIL_NO_INDEX,
                                      (gdouble) least_shift_limit (steer, shift));

      g_array_append_val (steer->shift_rates, budget);
    }
  /* A limit that comes back later begins anew, and a shift its ramp. */
  g_hash_table_foreach_remove (steer->rates, is_outdated, steer);
}

anvil_time_t
anvil_steer_shift_since (const anvil_steer_t *steer, guint shift)
{
  return g_array_index (steer->shift_rates, budget_t *, shift)->since;
}

/* Adds what each seat has yielded since the last look, up to the end of its right. */
static anvil_rate_bucket_t *
bring_up_to_date (const anvil_steer_t *steer, anvil_time_t now, budget_t *budget)
{
  anvil_time_t last = budget->rate.last;

  budget->rate.refill_stopped = TRUE;
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      const anvil_seat_lease_t *right = &steer->seats[seat].right;
      anvil_time_t from = MAX (last, right->acquired_at);
      anvil_time_t to = MIN (now, right->expires_at);

      if (!shares_budget (steer, budget, seat))
        continue;
      if (right->expires_at > now)
        budget->rate.refill_stopped = FALSE;
      if (to > from)
        anvil_rate_bucket_refill (&budget->rate, to - from);
    }
  budget->rate.last = now;
  return &budget->rate;
}

anvil_rate_bucket_t *
anvil_steer_rate (anvil_steer_t *steer, anvil_time_t now, guint64 key)
{
  budget_t *budget = g_hash_table_lookup (steer->rates, &key);

  return budget != NULL ? bring_up_to_date (steer, now, budget) : NULL;
}

anvil_rate_bucket_t *
anvil_steer_link_rate (
    anvil_steer_t *steer, anvil_time_t now, guint from, guint to, anvil_traffic_t traffic)
{
  guint link = anvil_config_lookup_link (steer->config, from, to);

  if (link == ANVIL_NO_INDEX)
    return NULL;
  return bring_up_to_date (
      steer, now, g_array_index (steer->link_rates, budget_t *, link * ANVIL_N_TRAFFIC + traffic));
}

anvil_rate_bucket_t *
anvil_steer_shift_rate (anvil_steer_t *steer, anvil_time_t now, guint shift)
{
  return bring_up_to_date (steer, now, g_array_index (steer->shift_rates, budget_t *, shift));
}

gint64
anvil_steer_rate_share (const anvil_steer_t *steer,
                        anvil_time_t now,
                        const anvil_rate_bucket_t *rate)
{
  const budget_t *budget = g_hash_table_lookup (steer->rates, &rate->key);
  guint usable = 0;

  for (guint seat = 0; budget != NULL && seat < steer->layout->n_seats; seat++)
    usable += shares_budget (steer, budget, seat) && anvil_steer_seat_usable (steer, now, seat);
  return (gint64) (rate->rate_per_seat * usable);
}
