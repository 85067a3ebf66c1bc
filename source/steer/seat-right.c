#include "steer/seat-right.h"

#include <string.h>

gboolean
anvil_right_usable (const anvil_right_t *right, anvil_time_t now)
{
  return now < right->end;
}

/* Latest time up to which a majority of the witnesses has granted. */
static anvil_time_t
majority_end (const anvil_right_t *right, const anvil_seat_layout_t *layout)
{
  anvil_time_t end = 0;

  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      guint at_least_as_long = 0;

      for (guint j = 0; j < layout->n_witnesses; j++)
        at_least_as_long += right->until[j] >= right->until[i];
      if (at_least_as_long >= layout->majority)
        end = MAX (end, right->until[i]);
    }
  return end;
}

/*
 * Another user would have needed a majority, which shares a witness with ours. If each of ours has
 * granted nobody else since a time at which this entry still had the right, there was none.
 */
static gboolean
nobody_else_used (const anvil_right_t *right,
                  const anvil_seat_layout_t *layout,
                  anvil_time_t now,
                  anvil_time_t last_end)
{
  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      if (right->until[i] > now && right->unbroken[i] > last_end)
        return FALSE;
    }
  return TRUE;
}

anvil_right_change_t
anvil_right_granted (anvil_right_t *right,
                     const anvil_seat_layout_t *layout,
                     anvil_time_t now,
                     guint witness_index,
                     anvil_time_t asked_at,
                     anvil_time_t unbroken)
{
  anvil_time_t last_end = right->end;
  anvil_time_t until = asked_at + ANVIL_GRANT_TERM;

  if (asked_at <= right->released_at || until <= right->until[witness_index])
    return ANVIL_RIGHT_SAME;

  right->until[witness_index] = until;
  right->unbroken[witness_index] = unbroken;
  right->end = majority_end (right, layout);
  if (now < last_end || !anvil_right_usable (right, now))
    return ANVIL_RIGHT_SAME;

  right->since = now;
  return nobody_else_used (right, layout, now, last_end) ? ANVIL_RIGHT_RESUMED
                                                         : ANVIL_RIGHT_TAKEN_OVER;
}

void
anvil_right_release (anvil_right_t *right, anvil_time_t now)
{
  memset (right, 0, sizeof *right);
  right->released_at = now;
}
