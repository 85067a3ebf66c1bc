#pragma once

#include "steer/seat-grant.h"
#include "steer/seat-layout.h"

/**
 * anvil_seat_lease_t - an entry's own right to use one seat
 * @grant_expires_at: end of each witness's grant, own clock, counted from when it was asked for
 * @exclusive_since: own clock; that witness has granted the seat to nobody else since
 * @expires_at: end of the right, 0 before the first
 * @acquired_at: when the right was last acquired after a gap
 * @released_at: answers to questions asked up to then are void
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
 * anvil_seat_lease_change_t - what an answer brought
 * @ANVIL_SEAT_LEASE_UNCHANGED: no right, or the right goes on
 * @ANVIL_SEAT_LEASE_RESUMED: a right after a gap in which nobody else had it
 * @ANVIL_SEAT_LEASE_TAKEN_OVER: a right that another may have used before
 */
typedef enum
{
  ANVIL_SEAT_LEASE_UNCHANGED,
  ANVIL_SEAT_LEASE_RESUMED,
  ANVIL_SEAT_LEASE_TAKEN_OVER,
} anvil_seat_lease_change_t;

/** anvil_seat_lease_add_grant - notes the answer of a witness to a question asked at @asked_at */
anvil_seat_lease_change_t anvil_seat_lease_add_grant (anvil_seat_lease_t *right,
                                                      const anvil_seat_layout_t *layout,
                                                      anvil_time_t now,
                                                      guint witness_index,
                                                      anvil_time_t asked_at,
                                                      anvil_time_t unbroken);

/** anvil_seat_lease_valid - whether the seat may be used now; checked at every use */
gboolean anvil_seat_lease_valid (const anvil_seat_lease_t *right, anvil_time_t now);

/** anvil_seat_lease_release - gives the right up */
void anvil_seat_lease_release (anvil_seat_lease_t *right, anvil_time_t now);
