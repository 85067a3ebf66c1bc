/* Look-ups: which entries a caller should send its requests to. */

#include <string.h>

#include "steer/steer-internal.h"

/* Fallback entries of the next region, for callers whose own region becomes unreachable. */
#define FALLBACK_CHOICES 2
/* How long a computed result is reused; heartbeats, which change it, are less frequent. */
#define LOOKUP_CACHE_TIME (100 * ANVIL_MS)
/* Minimum weight of an entry, per mille, so that a loaded one still gets some requests. */
#define MIN_WEIGHT 50

static gboolean
accepts_callers (const anvil_steer_t *steer, const anvil_tracked_member_t *entry)
{
  const anvil_member_t *member = &entry->member;

  return member->state == ANVIL_MEMBER_ALIVE && member->incarnation != 0 && member->generation > 0
         && !entry->listed_leaving;
}

static void
add_choice (const anvil_member_t *member,
            guint weight,
            anvil_entry_choice_t *choices,
            guint *n_choices)
{
  choices[(*n_choices)++] = (anvil_entry_choice_t){
    .node = member->node,
    .caller_port = member->caller_port,
    .zone = member->zone_hash,
    .weight = weight,
  };
}

static guint
weight_of_member (const anvil_member_t *member)
{
  return member->load_permille >= 1000 - MIN_WEIGHT ? MIN_WEIGHT : 1000u - member->load_permille;
}

/* Appends the entries of one region, starting at a random one. Fallbacks (not @weighted) have
 * weight 0. */
static void
add_region (anvil_steer_t *steer,
            guint region,
            gboolean weighted,
            guint max_choices,
            anvil_entry_choice_t *choices,
            guint *n_choices)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));

  for (guint i = 0; i < n && *n_choices < max_choices; i++)
    {
      const anvil_tracked_member_t *entry = anvil_member_table_at (steer->members, (start + i) % n);

      if (accepts_callers (steer, entry)
          && anvil_steer_region_of_zone_hash (steer, entry->member.zone_hash) == region)
        add_choice (&entry->member, weighted ? weight_of_member (&entry->member) : 0, choices,
                    n_choices);
    }
}

/* Region that follows @after, at the delay @min_delay, in the order of delay from @region and
 * then of index; ANVIL_NO_INDEX if there is none. */
static guint
next_region (const anvil_config_t *config, guint region, anvil_time_t min_delay, guint after)
{
  guint best = ANVIL_NO_INDEX;
  anvil_time_t best_delay = G_MAXINT64;

  for (guint i = 0; i < config->n_regions; i++)
    {
      guint link = anvil_config_lookup_link (config, region, i);
      anvil_time_t delay = link != ANVIL_NO_INDEX ? config->links[link].delay : 0;

      if (i == region || delay < min_delay
          || (delay == min_delay && (after != ANVIL_NO_INDEX && i <= after)))
        continue;
      if (delay < best_delay)
        {
          best = i;
          best_delay = delay;
        }
    }
  return best;
}

static anvil_time_t
delay_between (const anvil_config_t *config, guint from, guint to)
{
  guint link = anvil_config_lookup_link (config, from, to);

  return link != ANVIL_NO_INDEX ? config->links[link].delay : 0;
}

static void
sort_by_weight (anvil_entry_choice_t *choices, guint n_choices)
{
  for (guint i = 1; i < n_choices; i++)
    {
      anvil_entry_choice_t choice = choices[i];
      guint position = i;

      for (; position > 0 && choices[position - 1].weight < choice.weight; position--)
        choices[position] = choices[position - 1];
      choices[position] = choice;
    }
}

/* Computes the result for callers that are served by a region. */
static void
compute_lookup (anvil_steer_t *steer, guint region, anvil_cached_lookup_t *lookup)
{
  guint other = ANVIL_NO_INDEX;
  anvil_time_t delay = 0;

  lookup->n_choices = 0;
  add_region (steer, region, TRUE, ANVIL_MAX_LOOKUP_CHOICES, lookup->choices, &lookup->n_choices);
  while (lookup->n_choices < ANVIL_MAX_LOOKUP_CHOICES
         && (other = next_region (steer->config, region, delay, other)) != ANVIL_NO_INDEX)
    {
      gboolean weighted = lookup->n_choices == 0;
      guint max_choices
          = weighted ? ANVIL_MAX_LOOKUP_CHOICES
                     : MIN (ANVIL_MAX_LOOKUP_CHOICES, lookup->n_choices + FALLBACK_CHOICES);

      delay = delay_between (steer->config, region, other);
      add_region (steer, other, weighted, max_choices, lookup->choices, &lookup->n_choices);
      if (!weighted)
        break;
    }
  sort_by_weight (lookup->choices, lookup->n_choices);
}

/* Region whose entries should serve a caller. */
static guint
choose_serving_region (const anvil_steer_t *steer,
                       anvil_time_t now,
                       guint service,
                       guint32 client_address)
{
  guint home = anvil_config_lookup_client_region (steer->config, client_address);
  guint half = anvil_steer_expected_half (steer, now, service, client_address);

  if (home == ANVIL_NO_INDEX)
    home = steer->region != ANVIL_NO_INDEX ? steer->region : 0;
  return anvil_steer_choose_region (steer, anvil_steer_queue (steer, service, half), home,
                                    client_address);
}

void
anvil_steer_lookups_reset (anvil_steer_t *steer)
{
  g_array_set_size (steer->lookups, 0);
  g_array_set_size (steer->lookups, steer->config->n_regions);
}

guint
anvil_steer_lookup (anvil_steer_t *steer,
                    anvil_time_t now,
                    guint service,
                    guint32 client_address,
                    anvil_entry_choice_t *choices,
                    guint max_choices)
{
  anvil_cached_lookup_t *lookup;
  guint region;
  guint n_choices;

  if (steer->config == NULL || service >= steer->config->n_services)
    return 0;
  region = choose_serving_region (steer, now, service, client_address);

  lookup = &g_array_index (steer->lookups, anvil_cached_lookup_t, region);
  if (!lookup->valid || now >= lookup->computed_at + LOOKUP_CACHE_TIME)
    {
      compute_lookup (steer, region, lookup);
      lookup->valid = TRUE;
      lookup->computed_at = now;
    }
  n_choices = MIN (max_choices, lookup->n_choices);
  memcpy (choices, lookup->choices, n_choices * sizeof *choices);
  return n_choices;
}
