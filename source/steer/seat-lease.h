#pragma once

#include "steer/seat-grant.h"
#include "steer/seat-layout.h"

/**
 * anvil_seat_lease_t - this entry's lease of one seat, which a majority of its witnesses grants
 * @grant_expires_at: when the grant of each witness expires, measured from its request, own clock
 * @exclusive_since: each witness has granted the seat to nobody else since, own clock
 * @expires_at: when the lease expires, 0 before the first
 * @acquired_at: when the lease was last acquired without one in force
 * @released_at: grants requested up to then are void
 */
typedef struct
{
  anvil_time_t grant_expires_at[ANVIL_MAX_WITNESSES];
  anvil_time_t exclusive_since[ANVIL_MAX_WITNESSES];
  anvil_time_t expires_at;
  anvil_time_t acquired_at;
  anvil_time_t released_at;
} anvil_seat_lease_t;

/**
 * anvil_seat_lease_change_t - the effect of a grant on the lease
 * @ANVIL_SEAT_LEASE_UNCHANGED: there is still no lease, or it is extended
 * @ANVIL_SEAT_LEASE_RESUMED: acquired again; no other entry had it in the meantime
 * @ANVIL_SEAT_LEASE_TAKEN_OVER: acquired; another entry may have used the seat before
 */
typedef enum
{
  ANVIL_SEAT_LEASE_UNCHANGED,
  ANVIL_SEAT_LEASE_RESUMED,
  ANVIL_SEAT_LEASE_TAKEN_OVER,
} anvil_seat_lease_change_t;

/**
 * anvil_seat_lease_add_grant - adds the grant of a witness
 * @witness_index: index among the witnesses of the seat
 * @requested_at: when the grant was requested, own clock
 * @exclusive_since: since when the witness has granted the seat to nobody else, own clock
 */
anvil_seat_lease_change_t anvil_seat_lease_add_grant (anvil_seat_lease_t *lease,
                                                      const anvil_seat_layout_t *layout,
                                                      anvil_time_t now,
                                                      guint witness_index,
                                                      anvil_time_t requested_at,
                                                      anvil_time_t exclusive_since);

/** anvil_seat_lease_valid - whether the seat may be used now; to be checked at every use */
gboolean anvil_seat_lease_valid (const anvil_seat_lease_t *lease, anvil_time_t now);

/** anvil_seat_lease_release - ends the lease */
void anvil_seat_lease_release (anvil_seat_lease_t *lease, anvil_time_t now);
