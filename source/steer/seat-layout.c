#include "steer/seat-layout.h"

#include <string.h>

static guint
seat_at (const GArray *seats, guint index)
{
  return g_array_index (seats, guint, index % seats->len);
}

/* Index of a seat among the seats of its region. */
static guint
find_index_in_region (const anvil_seat_layout_t *layout, guint seat)
{
  const GArray *seats = layout->by_region[layout->region[seat]];

  for (guint i = 0; i < seats->len; i++)
    {
      if (g_array_index (seats, guint, i) == seat)
        return i;
    }
  g_assert_not_reached ();
}

/* The next seat of the region in another zone, else the next one in the region. */
static guint
second_witness (const anvil_seat_layout_t *layout, guint seat)
{
  const GArray *seats = layout->by_region[layout->region[seat]];
  guint index_in_region = find_index_in_region (layout, seat);

  for (guint step = 1; step < seats->len; step++)
    {
      guint other = seat_at (seats, index_in_region + step);

      if (layout->zone[other] != layout->zone[seat])
        return other;
    }
  return seats->len > 1 ? seat_at (seats, index_in_region + 1) : ANVIL_NO_INDEX;
}

/* The seat with the same index, modulo the number of seats, in the next region that has seats. */
static guint
third_witness (const anvil_seat_layout_t *layout, guint seat)
{
  for (guint step = 1; step < layout->n_regions; step++)
    {
      const GArray *seats = layout->by_region[(layout->region[seat] + step) % layout->n_regions];

      if (seats->len > 0)
        return seat_at (seats, find_index_in_region (layout, seat));
    }
  return ANVIL_NO_INDEX;
}

static void
choose_witnesses (anvil_seat_layout_t *layout, guint seat)
{
  guint candidates[] = { seat, second_witness (layout, seat), third_witness (layout, seat) };
  guint *chosen = layout->witnesses[seat];
  guint n = 0;

  for (guint i = 0; i < G_N_ELEMENTS (candidates); i++)
    {
      if (candidates[i] != ANVIL_NO_INDEX && n < layout->n_witnesses)
        chosen[n++] = candidates[i];
    }
  /* Missing witnesses are replaced by the next seats by number. */
  for (guint step = 1; n < layout->n_witnesses; step++)
    {
      guint other = (seat + step) % layout->n_seats;
      gboolean taken = FALSE;

      for (guint i = 0; i < n; i++)
        taken = taken || chosen[i] == other;
      if (!taken)
        chosen[n++] = other;
    }
}

anvil_seat_layout_t *
anvil_seat_layout_new (const anvil_config_t *config)
{
  anvil_seat_layout_t *layout = g_new0 (anvil_seat_layout_t, 1);

  layout->n_seats = config->n_seats;
  layout->n_regions = config->n_regions;
  layout->n_witnesses = MIN (config->n_seats, ANVIL_MAX_WITNESSES);
  layout->majority = layout->n_witnesses / 2 + 1;
  layout->region = g_new0 (guint, config->n_seats);
  layout->zone = g_new0 (guint, config->n_seats);
  layout->witnesses = g_malloc0_n (config->n_seats, sizeof *layout->witnesses);
  layout->by_region = g_new0 (GArray *, config->n_regions);
  for (guint i = 0; i < config->n_regions; i++)
    layout->by_region[i] = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint seat = 0; seat < config->n_seats; seat++)
    {
      layout->zone[seat] = config->seats[seat].zone;
      layout->region[seat] = config->zones[layout->zone[seat]].region;
      g_array_append_val (layout->by_region[layout->region[seat]], seat);
    }
  for (guint seat = 0; seat < config->n_seats; seat++)
    choose_witnesses (layout, seat);
  return layout;
}

void
anvil_seat_layout_drop (anvil_seat_layout_t *layout)
{
  if (layout == NULL)
    return;
  for (guint i = 0; i < layout->n_regions; i++)
    g_array_unref (layout->by_region[i]);
  g_free (layout->by_region);
  g_free (layout->region);
  g_free (layout->zone);
  g_free (layout->witnesses);
  g_free (layout);
}

gboolean
anvil_seat_layout_equal (const anvil_seat_layout_t *a, const anvil_seat_layout_t *b)
{
  if (a->n_seats != b->n_seats)
    return FALSE;
  return memcmp (a->witnesses, b->witnesses, a->n_seats * sizeof *a->witnesses) == 0
         && memcmp (a->region, b->region, a->n_seats * sizeof *a->region) == 0;
}

guint
anvil_seat_layout_witness_index (const anvil_seat_layout_t *layout, guint seat, guint witness)
{
  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      if (layout->witnesses[seat][i] == witness)
        return i;
    }
  return ANVIL_NO_INDEX;
}

guint
anvil_seat_layout_slot_owner (const anvil_seat_layout_t *layout,
                              guint region,
                              guint64 key,
                              guint slot)
{
  const GArray *seats = layout->by_region[region];

  if (layout->n_seats == 0)
    return ANVIL_NO_INDEX;
  if (seats->len == 0)
    return (guint) ((key + slot) % layout->n_seats);
  return seat_at (seats, (guint) (key % seats->len) + slot);
}
