/* Seats under files with other seats: who may still use one by the witnesses of such a file. */

#include "steer/steer-internal.h"

void
anvil_former_layout_clear (gpointer data)
{
  anvil_former_layout_t *former = data;

  anvil_seat_layout_drop (former->layout);
}

void
anvil_steer_former_keep (anvil_steer_t *steer, anvil_seat_layout_t *layout)
{
  anvil_former_layout_t former = { .layout = layout, .replaced_by = steer->generation };

  g_array_append_val (steer->former_layouts, former);
  for (guint seat = 0; layout != NULL && seat < layout->n_seats; seat++)
    anvil_steer_former_row (steer, &steer->seats[seat].row);
}

void
anvil_steer_former_row (anvil_steer_t *steer, const anvil_seat_row_t *row)
{
  anvil_seat_row_t *known;

  if (steer->former_layouts->len == 0)
    return;
  if (row->seat >= steer->former_rows->len)
    g_array_set_size (steer->former_rows, row->seat + 1u);
  known = &g_array_index (steer->former_rows, anvil_seat_row_t, row->seat);
  if (row->epoch > known->epoch)
    *known = *row;
}

/* Whether the holder of a seat, as a witness, refuses whoever acts on a file before @generation. */
static gboolean
refuses_before (const anvil_steer_t *steer, guint witness, guint64 generation)
{
  const anvil_seat_row_t *row;
  const anvil_tracked_member_t *entry;

  if (witness >= steer->former_rows->len)
    return FALSE;
  row = &g_array_index (steer->former_rows, anvil_seat_row_t, witness);
  if (row->epoch == 0)
    return FALSE;
  /* A seat that nobody holds answers nobody. */
  if (row->holder == ANVIL_NO_NODE || row->holder == steer->options.node)
    return TRUE;
  if (steer->list_version > row->list_version
      && !g_hash_table_contains (steer->listed_nodes, &row->holder))
    return TRUE;
  entry = anvil_member_table_lookup (steer->members, row->holder);
  return entry != NULL && entry->member.generation >= generation
         && entry->member.incarnation >= row->incarnation;
}

/* Whether all holders refuse, which is enough whatever the layout was. */
static gboolean
everybody_refuses (const anvil_steer_t *steer, guint64 generation)
{
  if (!steer->rows_known)
    return FALSE;
  for (guint seat = 0; seat < steer->former_rows->len; seat++)
    {
      if (g_array_index (steer->former_rows, anvil_seat_row_t, seat).epoch > 0
          && !refuses_before (steer, seat, generation))
        return FALSE;
    }
  return TRUE;
}

static gboolean
former_clear (const anvil_steer_t *steer, const anvil_former_layout_t *former, guint seat)
{
  guint refusing = 0;

  if (former->layout == NULL)
    return everybody_refuses (steer, former->replaced_by);
  if (seat >= former->layout->n_seats)
    return TRUE;
  for (guint i = 0; i < former->layout->n_witnesses; i++)
    refusing += refuses_before (steer, former->layout->witnesses[seat][i], former->replaced_by);
  return refusing >= former->layout->majority;
}

static gboolean
all_clear (const anvil_steer_t *steer, guint seat)
{
  for (guint i = 0; i < steer->former_layouts->len; i++)
    {
      if (!former_clear (steer, &g_array_index (steer->former_layouts, anvil_former_layout_t, i),
                         seat))
        return FALSE;
    }
  return TRUE;
}

gboolean
anvil_steer_former_ended (anvil_steer_t *steer, anvil_time_t now, guint seat)
{
  anvil_seat_state_t *state = &steer->seats[seat];

  if (steer->former_layouts->len == 0)
    return TRUE;
  if (!all_clear (steer, seat))
    {
      state->clear_since = 0;
      return FALSE;
    }
  /* Rights granted just before the witnesses moved on still have to run out. */
  if (state->clear_since == 0)
    state->clear_since = now;
  return now >= state->clear_since + ANVIL_GRANT_TERM + ANVIL_CLOCK_DRIFT_MARGIN;
}

gboolean
anvil_steer_former_settled (const anvil_steer_t *steer)
{
  for (guint i = 0; i < steer->former_layouts->len; i++)
    {
      const anvil_former_layout_t *former
          = &g_array_index (steer->former_layouts, anvil_former_layout_t, i);

      guint n_seats = former->layout != NULL ? former->layout->n_seats : 1;

      for (guint seat = 0; seat < n_seats; seat++)
        {
          if (!former_clear (steer, former, seat))
            return FALSE;
        }
    }
  return TRUE;
}

void
anvil_steer_former_forget (anvil_steer_t *steer)
{
  g_array_set_size (steer->former_layouts, 0);
  g_array_set_size (steer->former_rows, 0);
}
