/* Generations of the operators' configuration: putting one in force, and discarding older ones once
 * no entry can act on them. */

#include "steer/steer-internal.h"

#define FETCH_INTERVAL (200 * ANVIL_MS)
/* How long an entry that couldn't fetch a newer configuration still renews its leases. */
#define OUTDATED_LIMIT (1 * ANVIL_SECOND)
#define RETIRE_CHECK_INTERVAL (250 * ANVIL_MS)

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
anvil_steer_observe_generation (anvil_steer_t *steer,
                                anvil_time_t now,
                                guint64 generation,
                                anvil_node_t peer)
{
  if (generation <= steer->generation)
    return;
  if (steer->outdated_since == 0)
    steer->outdated_since = now;
  steer->latest_generation = MAX (steer->latest_generation, generation);
  /* Ask a different peer without delay: messages of the last one may arrive while it can't be
   * reached. */
  if (now < steer->next_fetch_at && peer == steer->fetch_peer)
    return;
  steer->fetch_peer = peer;
  steer->next_fetch_at = now + FETCH_INTERVAL;
  steer->callbacks.fetch_config (steer->context, generation, peer);
}

gboolean
anvil_steer_config_outdated (const anvil_steer_t *steer, anvil_time_t now)
{
  return steer->outdated_since != 0 && now - steer->outdated_since >= OUTDATED_LIMIT
         && !steer->options.faults.ignore_old_generation;
}

static void
add_old_generation (anvil_steer_t *steer)
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
  /* This entry's first configuration may have had predecessors, with seats that it can't know. */
  if (steer->layout != NULL || steer->generation > 1)
    anvil_steer_old_layouts_add (steer, steer->layout);
  steer->layout = layout;
  anvil_steer_seats_reset (steer, now);
}

void
anvil_steer_configure (anvil_steer_t *steer,
                       anvil_time_t now,
                       anvil_config_t *config,
                       guint64 generation)
{
  anvil_config_t *previous = steer->config;

  if (generation <= steer->generation)
    return;
  add_old_generation (steer);
  steer->config = anvil_config_keep (config);
  steer->generation = generation;
  steer->outdated_since = generation < steer->latest_generation ? now : 0;
  steer->zone = anvil_config_lookup_zone (config, steer->options.zone);
  steer->region
      = steer->zone != ANVIL_NO_INDEX ? config->zones[steer->zone].region : ANVIL_NO_INDEX;
  if (previous == NULL)
    {
      steer->configured_at = now;
      steer->unseated_since = now;
    }
  hash_zones (steer);
  replace_layout (steer, now);
  anvil_steer_lookups_reset (steer);
  anvil_steer_slots_configure (steer, now);
  anvil_steer_apply_vm_list (steer, now);
  anvil_steer_rates_configure (steer, now);
  anvil_steer_requests_configure (steer, now, previous);
  anvil_steer_update_own_member (steer, now);
  steer->next_grants_at = MIN (steer->next_grants_at, now);
  anvil_steer_dispatch_all_waiting (steer, now);
}

/* Whether the holder of a witness seat has @generation or a newer one in force, and so refuses
 * grants to entries with an older one. */
static gboolean
witness_refuses_older (const anvil_steer_t *steer, guint witness, guint64 generation)
{
  const anvil_seat_row_t *row = &steer->seats[witness].row;
  const anvil_tracked_member_t *entry = anvil_member_table_lookup (steer->members, row->holder);

  if (steer->seats[witness].held)
    return TRUE;
  if (row->holder == ANVIL_NO_NODE || entry == NULL)
    return FALSE;
  return entry->member.generation >= generation && entry->member.incarnation >= row->incarnation;
}

/* Whether a majority of a seat's witnesses refuses generations older than @generation. */
static gboolean
older_refused_for_seat (const anvil_steer_t *steer, guint seat, guint64 generation)
{
  guint refusing = 0;

  if (steer->seats[seat].row.epoch == 0)
    return FALSE;
  for (guint i = 0; i < steer->layout->n_witnesses; i++)
    refusing += witness_refuses_older (steer, steer->layout->witnesses[seat][i], generation);
  return refusing >= steer->layout->majority;
}

/* Whether no entry can get a lease under a generation older than the one in force. */
static gboolean
older_refused_everywhere (const anvil_steer_t *steer)
{
  for (guint seat = 0; seat < steer->layout->n_seats; seat++)
    {
      if (!older_refused_for_seat (steer, seat, steer->generation))
        return FALSE;
    }
  return anvil_steer_old_layouts_refused (steer);
}

void
anvil_steer_retire_old_generations (anvil_steer_t *steer, anvil_time_t now)
{
  if (steer->config == NULL || now < steer->next_retire_check_at)
    return;
  if (steer->old_generations->len == 0 && steer->old_layouts->len == 0)
    return;
  steer->next_retire_check_at = now + RETIRE_CHECK_INTERVAL;
  if (!older_refused_everywhere (steer))
    {
      steer->old_refused_since = 0;
      return;
    }
  /* Leases granted just before the witnesses changed generation still have to expire. */
  if (steer->old_refused_since == 0)
    steer->old_refused_since = now;
  if (now < steer->old_refused_since + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN)
    return;

  g_array_set_size (steer->old_generations, 0);
  anvil_steer_old_layouts_clear (steer);
  steer->old_refused_since = 0;
  anvil_steer_slots_assign (steer, now);
  anvil_steer_rates_configure (steer, now);
}
