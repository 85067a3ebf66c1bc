#include "steer/seat-lease.h"

#include <string.h>

gboolean
anvil_seat_lease_valid (const anvil_seat_lease_t *lease, anvil_time_t now)
{
  return now < lease->expires_at;
}

/* Latest time until which the grants of a majority of the witnesses are valid. */
static anvil_time_t
majority_expires_at (const anvil_seat_lease_t *lease, const anvil_seat_layout_t *layout)
{
  anvil_time_t expires_at = 0;

  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      guint n_not_earlier = 0;

      for (guint j = 0; j < layout->n_witnesses; j++)
        n_not_earlier += lease->grant_expires_at[j] >= lease->grant_expires_at[i];
      if (n_not_earlier >= layout->majority)
        expires_at = MAX (expires_at, lease->grant_expires_at[i]);
    }
  return expires_at;
}

/*
 * Whether no other entry has had the lease since @previous_expiry. It would have needed a majority,
 * which has a witness in common with this entry's majority. If none of those witnesses has granted
 * the seat to another entry since before this entry's lease expired, no other entry had it.
 */
static gboolean
unused_by_others (const anvil_seat_lease_t *lease,
                  const anvil_seat_layout_t *layout,
                  anvil_time_t now,
                  anvil_time_t previous_expiry)
{
  for (guint i = 0; i < layout->n_witnesses; i++)
    {
      if (lease->grant_expires_at[i] > now && lease->exclusive_since[i] > previous_expiry)
        return FALSE;
    }
  return TRUE;
}

anvil_seat_lease_change_t
anvil_seat_lease_add_grant (anvil_seat_lease_t *lease,
                            const anvil_seat_layout_t *layout,
                            anvil_time_t now,
                            guint witness_index,
                            anvil_time_t requested_at,
                            anvil_time_t exclusive_since)
{
  anvil_time_t previous_expiry = lease->expires_at;
  anvil_time_t grant_expires_at = requested_at + ANVIL_GRANT_TERM;

  if (requested_at <= lease->released_at
      || grant_expires_at <= lease->grant_expires_at[witness_index])
    return ANVIL_SEAT_LEASE_UNCHANGED;

  lease->grant_expires_at[witness_index] = grant_expires_at;
  lease->exclusive_since[witness_index] = exclusive_since;
  lease->expires_at = majority_expires_at (lease, layout);
  if (now < previous_expiry || !anvil_seat_lease_valid (lease, now))
    return ANVIL_SEAT_LEASE_UNCHANGED;

  lease->acquired_at = now;
  return unused_by_others (lease, layout, now, previous_expiry) ? ANVIL_SEAT_LEASE_RESUMED
                                                                : ANVIL_SEAT_LEASE_TAKEN_OVER;
}

void
anvil_seat_lease_release (anvil_seat_lease_t *lease, anvil_time_t now)
{
  memset (lease, 0, sizeof *lease);
  lease->released_at = now;
}
