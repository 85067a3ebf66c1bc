/* Generations of the operators' file: putting one in force, and knowing when the older ones are
 * gone. */

#include "steer/steer-internal.h"

#define FETCH_INTERVAL (200 * ANVIL_MS)
/* An entry that has heard of a newer file for this long and can't get it stops asking for rights.
 */
#define STALE_PATIENCE (1 * ANVIL_SECOND)
#define SETTLE_INTERVAL (250 * ANVIL_MS)

guint
anvil_steer_region_of_zone_hash (const anvil_steer_t *steer, guint64 zone)
{
  for (guint i = 0; i < steer->zone_hashes->len; i++)
    {
      if (g_array_index (steer->zone_hashes, guint64, i) == zone)
        return steer->config->zones[i].region;
    }
  return ANVIL_NO_INDEX;
}

guint
anvil_steer_region_of_member (const anvil_steer_t *steer, anvil_node_t node)
{
  const anvil_tracked_member_t *entry = anvil_member_table_lookup (steer->members, node);

  return entry != NULL ? anvil_steer_region_of_zone_hash (steer, entry->member.zone_hash)
                       : ANVIL_NO_INDEX;
}

void
anvil_steer_learn_generation (anvil_steer_t *steer,
                              anvil_time_t now,
                              guint64 generation,
                              anvil_node_t peer)
{
  if (generation <= steer->generation)
    return;
  if (steer->behind_since == 0)
    steer->behind_since = now;
  steer->heard_generation = MAX (steer->heard_generation, generation);
  /* Another peer is asked at once: the one before may be heard and not be reached. */
  if (now < steer->fetch_next && peer == steer->fetch_peer)
    return;
  steer->fetch_peer = peer;
  steer->fetch_next = now + FETCH_INTERVAL;
  steer->actions.fetch_config (steer->context, generation, peer);
}

gboolean
anvil_steer_stale (const anvil_steer_t *steer, anvil_time_t now)
{
  return steer->behind_since != 0 && now - steer->behind_since >= STALE_PATIENCE
         && !steer->options.faults.ignore_old_generation;
}

static void
remember_old_generation (anvil_steer_t *steer)
{
  anvil_old_generation_t old = { .generation = steer->generation, .config = steer->config };

  if (steer->config != NULL)
    g_array_append_val (steer->old_generations, old);
}

static void
hash_zones (anvil_steer_t *steer)
{
  g_array_set_size (steer->zone_hashes, 0);
  for (guint i = 0; i < steer->config->n_zones; i++)
    {
      guint64 hash = anvil_str_hash (steer->config->zones[i].name);

      g_array_append_val (steer->zone_hashes, hash);
    }
}

static void
replace_layout (anvil_steer_t *steer, anvil_time_t now)
{
  anvil_seat_layout_t *layout = anvil_seat_layout_new (steer->config);

  if (steer->layout != NULL && anvil_seat_layout_equal (steer->layout, layout))
    {
      anvil_seat_layout_drop (layout);
      return;
    }
  /* Before a first file that isn't the first of all there was another, with other seats maybe. */
  if (steer->layout != NULL || steer->generation > 1)
    anvil_steer_former_keep (steer, steer->layout);
  steer->layout = layout;
  anvil_steer_seats_reset (steer, now);
}

void
anvil_steer_configure (anvil_steer_t *steer,
                       anvil_time_t now,
                       anvil_config_t *config,
                       guint64 generation)
{
  anvil_config_t *before = steer->config;

  if (generation <= steer->generation)
    return;
  remember_old_generation (steer);
  steer->config = anvil_config_keep (config);
  steer->generation = generation;
  steer->behind_since = generation < steer->heard_generation ? now : 0;
  steer->zone = anvil_config_lookup_zone (config, steer->options.zone);
  steer->region
      = steer->zone != ANVIL_NO_INDEX ? config->zones[steer->zone].region : ANVIL_NO_INDEX;
  if (before == NULL)
    {
      steer->configured_at = now;
      steer->unseated_since = now;
    }
  hash_zones (steer);
  replace_layout (steer, now);
  anvil_steer_lookups_configure (steer);
  anvil_steer_slots_configure (steer, now);
  anvil_steer_apply_list (steer, now);
  anvil_steer_rates_configure (steer, now);
  anvil_steer_requests_configure (steer, now, before);
  anvil_steer_update_self (steer, now);
  steer->grants_next = MIN (steer->grants_next, now);
  anvil_steer_pump_all (steer, now);
}

/* A witness that acts on a generation has refused older users long enough for their rights to have
 * ended. */
static gboolean
refuses_older (const anvil_steer_t *steer, guint witness, guint64 generation)
{
  const anvil_seat_row_t *row = &steer->seats[witness].row;
  const anvil_tracked_member_t *entry = anvil_member_table_lookup (steer->members, row->holder);

  if (steer->seats[witness].holding)
    return TRUE;
  if (row->holder == ANVIL_NO_NODE || entry == NULL)
    return FALSE;
  return entry->member.generation >= generation && entry->member.incarnation >= row->incarnation;
}

/* Whether nobody can use a seat under a generation older than @generation. */
static gboolean
seat_settled (const anvil_steer_t *steer, guint seat, guint64 generation)
{
  guint refusing = 0;

  if (steer->seats[seat].row.epoch == 0)
    return FALSE;
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    refusing += refuses_older (steer, steer->layout->witnesses[seat][i], generation);
  return refusing >= steer->layout->majority;
}

/* Whether no entry can act on a generation older than the one in force. */
static gboolean
all_settled (const anvil_steer_t *steer)
{
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!seat_settled (steer, seat, steer->generation))
        return FALSE;
    }
  return anvil_steer_former_settled (steer);
}

void
anvil_steer_settle (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->config == NULL || now < steer->settle_next)
    return;
  if (steer->old_generations->len == 0 && steer->former_layouts->len == 0)
    return;
  steer->settle_next = now + SETTLE_INTERVAL;
  if (!all_settled (steer))
    {
      steer->settled_since = 0;
      return;
    }
  /* Rights granted just before the witnesses moved on still have to run out. */
  if (steer->settled_since == 0)
    steer->settled_since = now;
  if (now < steer->settled_since + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN)
    return;

  g_array_set_size (steer->old_generations, 0);
  anvil_steer_former_forget (steer);
  steer->settled_since = 0;
  anvil_steer_slots_assign (steer, now);
  anvil_steer_rates_configure (steer, now);
}
