#include "steer/seat-lease.h"

#include <string.h>

gboolean
anvil_seat_lease_valid (const anvil_seat_lease_t *right, anvil_time_t now)
{
  return now < right->expires_at;
}

/* Latest time up to which a majority of the witnesses has granted. */
static anvil_time_t
majority_end (const anvil_seat_lease_t *right, const anvil_seat_layout_t *layout)
{
  anvil_time_t end = 0;

  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      guint at_least_as_long = 0;

      for (guint j = 0; j < layout->n_witnesses; j++)
        at_least_as_long += right->grant_expires_at[j] >= right->grant_expires_at[i];
      if (at_least_as_long >= layout->majority)
        end = MAX (end, right->grant_expires_at[i]);
    }
  return end;
}

/*
 * Another user would have needed a majority, which shares a witness with ours. If each of ours has
 * granted nobody else since a time at which this entry still had the right, there was none.
 */
static gboolean
nobody_else_used (const anvil_seat_lease_t *right,
                  const anvil_seat_layout_t *layout,
                  anvil_time_t now,
                  anvil_time_t last_end)
{
  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      if (right->grant_expires_at[i] > now && right->exclusive_since[i] > last_end)
        return FALSE;
    }
  return TRUE;
}

anvil_seat_lease_change_t
anvil_seat_lease_add_grant (anvil_seat_lease_t *right,
                            const anvil_seat_layout_t *layout,
                            anvil_time_t now,
                            guint witness_index,
                            anvil_time_t asked_at,
                            anvil_time_t unbroken)
{
  anvil_time_t last_end = right->expires_at;
  anvil_time_t until = asked_at + ANVIL_GRANT_TERM;

  if (asked_at <= right->released_at || until <= right->grant_expires_at[witness_index])
    return ANVIL_SEAT_LEASE_UNCHANGED;

  right->grant_expires_at[witness_index] = until;
  right->exclusive_since[witness_index] = unbroken;
  right->expires_at = majority_end (right, layout);
  if (now < last_end || !anvil_seat_lease_valid (right, now))
    return ANVIL_SEAT_LEASE_UNCHANGED;

  right->acquired_at = now;
  return nobody_else_used (right, layout, now, last_end) ? ANVIL_SEAT_LEASE_RESUMED
                                                         : ANVIL_SEAT_LEASE_TAKEN_OVER;
}

void
anvil_seat_lease_release (anvil_seat_lease_t *right, anvil_time_t now)
{
  memset (right, 0, sizeof *right);
  right->released_at = now;
}
