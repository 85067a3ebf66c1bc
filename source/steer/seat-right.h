#pragma once

#include "steer/seat-grant.h"
#include "steer/seat-layout.h"

/**
 * anvil_right_t - an entry's own right to use one seat
 * @until: end of each witness's grant, own clock, counted from when it was asked for
 * @unbroken: own clock; that witness has granted the seat to nobody else since
 * @end: end of the right, 0 before the first
 * @since: when the right was last acquired after a gap
 * @released_at: answers to questions asked up to then are void
 */
typedef struct
{
  anvil_time_t until[ANVIL_WITNESSES];
  anvil_time_t unbroken[ANVIL_WITNESSES];
  anvil_time_t end;
  anvil_time_t since;
  anvil_time_t released_at;
} anvil_right_t;

/**
 * anvil_right_change_t - what an answer brought
 * @ANVIL_RIGHT_SAME: no right, or the right goes on
 * @ANVIL_RIGHT_RESUMED: a right after a gap in which nobody else had it
 * @ANVIL_RIGHT_TAKEN_OVER: a right that another may have used before
 */
typedef enum
{
  ANVIL_RIGHT_SAME,
  ANVIL_RIGHT_RESUMED,
  ANVIL_RIGHT_TAKEN_OVER,
} anvil_right_change_t;

/** anvil_right_granted - notes the answer of a witness to a question asked at @asked_at */
anvil_right_change_t anvil_right_granted (anvil_right_t *right,
                                          const anvil_seat_layout_t *layout,
                                          anvil_time_t now,
                                          guint witness_index,
                                          anvil_time_t asked_at,
                                          anvil_time_t unbroken);

/** anvil_right_usable - whether the seat may be used now; checked at every use */
gboolean anvil_right_usable (const anvil_right_t *right, anvil_time_t now);

/** anvil_right_release - gives the right up */
void anvil_right_release (anvil_right_t *right, anvil_time_t now);
