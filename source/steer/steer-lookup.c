/* Look-up: which entries a caller should use. */

#include <string.h>

#include "steer/steer-internal.h"

/* Entries of other regions that are named last, for a caller whose region has just been lost. */
#define FALLBACK_CHOICES 2
/* How old an answer may be; heartbeats come more rarely. */
#define LOOKUP_AGE (100 * ANVIL_MS)
/* Least weight of an entry that serves, so that a loaded one isn't starved of all. */
#define LEAST_WEIGHT 50

static gboolean
serves (const anvil_steer_t *steer, const anvil_tracked_member_t *entry)
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
weight_of (const anvil_member_t *member)
{
  return member->load_permille >= 1000 - LEAST_WEIGHT ? LEAST_WEIGHT
                                                      : 1000u - member->load_permille;
}

/* Appends entries of one region, from a random one on; @weighted tells choices from fallbacks. */
static void
add_region (anvil_steer_t *steer,
            guint region,
            gboolean weighted,
            guint most,
            anvil_entry_choice_t *choices,
            guint *n_choices)
{
  guint n = anvil_member_table_count (steer->members);
  guint start = (guint) g_rand_int_range (steer->random, 0, (gint32) MAX (n, 1u));

  for (guint i = 0; i < n && *n_choices < most; i++)
    {
      const anvil_tracked_member_t *entry = anvil_member_table_at (steer->members, (start + i) % n);

      if (serves (steer, entry)
          && anvil_steer_region_of_zone_hash (steer, entry->member.zone_hash) == region)
        add_choice (&entry->member, weighted ? weight_of (&entry->member) : 0, choices, n_choices);
    }
}

/* Region with the least delay from @region that is further than @nearer, or ANVIL_NO_INDEX. */
static guint
next_region (const anvil_config_t *config, guint region, anvil_time_t nearer, guint after)
{
  guint best = ANVIL_NO_INDEX;
  anvil_time_t best_delay = G_MAXINT64;

  for (guint i = 0; i < config->n_regions; i++)
    {
      guint link = anvil_config_lookup_link (config, region, i);
      anvil_time_t delay = link != ANVIL_NO_INDEX ? config->links[link].delay : 0;

      if (i == region || delay < nearer
          || (delay == nearer && (after != ANVIL_NO_INDEX && i <= after)))
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
      anvil_entry_choice_t moved = choices[i];
      guint place = i;

      for (; place > 0 && choices[place - 1].weight < moved.weight; place--)
        choices[place] = choices[place - 1];
      choices[place] = moved;
    }
}

/* Makes the answer for callers of a region. */
static void
make_lookup (anvil_steer_t *steer, guint region, anvil_lookup_t *lookup)
{
  guint other = ANVIL_NO_INDEX;
  anvil_time_t delay = 0;

  lookup->n_choices = 0;
  add_region (steer, region, TRUE, ANVIL_MAX_LOOKUP, lookup->choices, &lookup->n_choices);
  while (lookup->n_choices < ANVIL_MAX_LOOKUP
         && (other = next_region (steer->config, region, delay, other)) != ANVIL_NO_INDEX)
    {
      gboolean first = lookup->n_choices == 0;
      guint most
          = first ? ANVIL_MAX_LOOKUP : MIN (ANVIL_MAX_LOOKUP, lookup->n_choices + FALLBACK_CHOICES);

      delay = delay_between (steer->config, region, other);
      add_region (steer, other, first, most, lookup->choices, &lookup->n_choices);
      if (!first)
        break;
    }
  sort_by_weight (lookup->choices, lookup->n_choices);
}

/* Region whose entries are best for a caller. */
static guint
serving_region (const anvil_steer_t *steer, anvil_time_t now, guint service, guint32 client)
{
  guint home = anvil_config_lookup_client_region (steer->config, client);
  guint half = anvil_steer_expected_half (steer, now, service, client);

  if (home == ANVIL_NO_INDEX)
    home = steer->region != ANVIL_NO_INDEX ? steer->region : 0;
  return anvil_steer_place_client (steer, anvil_steer_queue (steer, service, half), home, client);
}

void
anvil_steer_lookups_configure (anvil_steer_t *steer)
{
  g_array_set_size (steer->lookups, 0);
  g_array_set_size (steer->lookups, steer->config->n_regions);
}

guint
anvil_steer_lookup (anvil_steer_t *steer,
                    anvil_time_t now,
                    guint service,
                    guint32 client,
                    anvil_entry_choice_t *choices,
                    guint max_choices)
{
  anvil_lookup_t *lookup;
  guint region;
  guint n_choices;

  if (steer->config == NULL || service >= steer->config->n_services)
    return 0;
  region = serving_region (steer, now, service, client);

  lookup = &g_array_index (steer->lookups, anvil_lookup_t, region);
  if (!lookup->made || now >= lookup->made_at + LOOKUP_AGE)
    {
      make_lookup (steer, region, lookup);
      lookup->made = TRUE;
      lookup->made_at = now;
    }
  n_choices = MIN (max_choices, lookup->n_choices);
  memcpy (choices, lookup->choices, n_choices * sizeof *choices);
  return n_choices;
}
