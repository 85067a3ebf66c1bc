#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/* How long a grant lasts, from when it was requested. */
#define ANVIL_GRANT_TERM (2 * ANVIL_SECOND)
/* How often the user of a seat requests grants from the seat's witnesses. */
#define ANVIL_GRANT_RENEW_INTERVAL (500 * ANVIL_MS)
/* Added where another entry's clock measures the same term. Covers a drift of 200 ppm of either
 * clock over the longest term. */
#define ANVIL_CLOCK_DRIFT_MARGIN (20 * ANVIL_MS)

/**
 * anvil_seat_grant_t - the grant of one witness for one seat
 * @grantee: entry that may use the seat, ANVIL_NO_NODE if it was never granted
 * @incarnation: incarnation of the grantee
 * @requested_at: when the grantee last requested the grant, its clock
 * @exclusive_since: when the grantee requested the first of the grants since which this witness has
 *   granted the seat to nobody else, grantee's clock; 0 if it never granted it to another
 * @expires_at: the seat is granted to nobody else before, witness's clock
 */
typedef struct
{
  anvil_node_t grantee;
  guint64 incarnation;
  anvil_time_t requested_at;
  anvil_time_t exclusive_since;
  anvil_time_t expires_at;
} anvil_seat_grant_t;

/**
 * anvil_seat_grant_try_acquire - handles a request for a grant
 * @now: witness's clock
 * @node: the requester
 * @incarnation: incarnation of the requester
 * @requested_at: requester's clock
 * @never_granted: the seat was never granted before, as far as the witness can know
 *
 * A newer incarnation of the grantee is granted the seat at once: it has the
 * address of the older process, which therefore has ended.
 *
 * Return: whether the seat is granted.
 */
gboolean anvil_seat_grant_try_acquire (anvil_seat_grant_t *grant,
                                       anvil_time_t now,
                                       anvil_node_t node,
                                       guint64 incarnation,
                                       anvil_time_t requested_at,
                                       gboolean never_granted);

/** anvil_seat_grant_release - ends a grant early, unless it was requested after @released_at */
void anvil_seat_grant_release (anvil_seat_grant_t *grant,
                               anvil_time_t now,
                               anvil_node_t node,
                               guint64 incarnation,
                               anvil_time_t released_at);

/** anvil_seat_grant_active - whether the grantee may still be using the seat */
gboolean anvil_seat_grant_active (const anvil_seat_grant_t *grant, anvil_time_t now);
