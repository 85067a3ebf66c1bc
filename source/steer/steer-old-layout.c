/* Seat layouts of older configurations. A seat isn't granted to an entry while another may still
 * have a lease on it from the witnesses of an older layout. */

#include "steer/steer-internal.h"

void
anvil_old_layout_drop (gpointer data)
{
  anvil_old_layout_t *old = data;

  anvil_seat_layout_drop (old->layout);
}

void
anvil_steer_old_layouts_add (anvil_steer_t *steer, anvil_seat_layout_t *layout)
{
  anvil_old_layout_t old = { .layout = layout, .replaced_by_generation = steer->generation };

  g_array_append_val (steer->old_layouts, old);
  for (guint seat = 0; layout != NULL && seat < layout->n_seats; seat++)
    anvil_steer_old_layouts_update_row (steer, &steer->seats[seat].row);
}

void
anvil_steer_old_layouts_update_row (anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  anvil_seat_row_t *known;

  if (steer->old_layouts->len == 0)
    return;
  if (row->seat >= steer->old_layout_rows->len)
    g_array_set_size (steer->old_layout_rows, row->seat + 1u);
  known = &g_array_index (steer->old_layout_rows, anvil_seat_row_t, row->seat);
  if (row->epoch > known->epoch)
    *known = *row;
}

/* Whether the holder of the seat @witness refuses grants to entries with a generation older than
 * @generation. */
static gboolean
holder_refuses_older (const anvil_steer_t *steer, guint witness, guint64 generation)
{
  const anvil_seat_row_t *row;
  const anvil_tracked_member_t *entry;

  if (witness >= steer->old_layout_rows->len)
    return FALSE;
  row = &g_array_index (steer->old_layout_rows, anvil_seat_row_t, witness);
  if (row->epoch == 0)
    return FALSE;
  /* A seat without a holder makes no grants. */
  if (row->holder == ANVIL_NO_NODE || row->holder == steer->options.node)
    return TRUE;
  if (steer->list_version > row->list_version
      && !g_hash_table_contains (steer->listed_nodes, &row->holder))
    return TRUE;
  entry = anvil_member_table_lookup (steer->members, row->holder);
  return entry != NULL && entry->member.generation >= generation
         && entry->member.incarnation >= row->incarnation;
}

/* Whether the holders of all seats refuse, which is sufficient when the layout isn't known. */
static gboolean
all_holders_refuse (const anvil_steer_t *steer, guint64 generation)
{
  if (!steer->rows_known)
    return FALSE;
  for (guint seat = 0; seat < steer->old_layout_rows->len; seat++)
    {
      if (g_array_index (steer->old_layout_rows, anvil_seat_row_t, seat).epoch > 0
          && !holder_refuses_older (steer, seat, generation))
        return FALSE;
    }
  return TRUE;
}

static gboolean
layout_refused (const anvil_steer_t *steer, const anvil_old_layout_t *old, guint seat)
{
  guint refusing = 0;

  if (old->layout == NULL)
    return all_holders_refuse (steer, old->replaced_by_generation);
  if (seat >= old->layout->n_seats)
    return TRUE;
  for (guint i = 0; i < old->layout->n_witnesses; i++)
    refusing += holder_refuses_older (steer, old->layout->witnesses[seat][i],
                                      old->replaced_by_generation);
  return refusing >= old->layout->majority;
}

static gboolean
all_layouts_refused (const anvil_steer_t *steer, guint seat)
{
  for (guint i = 0; i < steer->old_layouts->len; i++)
    {
      if (!layout_refused (steer, &g_array_index (steer->old_layouts, anvil_old_layout_t, i), seat))
        return FALSE;
    }
  return TRUE;
}

gboolean
anvil_steer_old_leases_expired (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  anvil_seat_state_t *state = &steer->seats[seat];

  if (steer->old_layouts->len == 0)
    return TRUE;
  if (!all_layouts_refused (steer, seat))
    {
      state->old_refused_since = 0;
      return FALSE;
    }
  /* Leases granted just before the witnesses changed generation still have to expire. */
  if (state->old_refused_since == 0)
    state->old_refused_since = now;
  return now >= state->old_refused_since + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
}

gboolean
anvil_steer_old_layouts_refused (const anvil_steer_t *steer)
{
  for (guint i = 0; i < steer->old_layouts->len; i++)
    {
      const anvil_old_layout_t *old = &g_array_index (steer->old_layouts, anvil_old_layout_t, i);

      guint n_seats = old->layout != NULL ? old->layout->n_seats : 1;

      for (guint seat = 0; seat < n_seats; seat++)
        {
          if (!layout_refused (steer, old, seat))
            return FALSE;
        }
    }
  return TRUE;
}

void
anvil_steer_old_layouts_clear (anvil_steer_t *steer)
{
  g_array_set_size (steer->old_layouts, 0);
  g_array_set_size (steer->old_layout_rows, 0);
}
