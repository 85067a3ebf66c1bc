#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/* How long a grant lasts from when it was asked for. */
#define ANVIL_GRANT_TERM (2 * ANVIL_SECOND)
/* How often a user asks its witnesses. */
#define ANVIL_GRANT_RENEW_INTERVAL (500 * ANVIL_MS)
/* Added where another clock counts the same term; covers 200 ppm each way on the longest term. */
#define ANVIL_CLOCK_DRIFT_MARGIN (20 * ANVIL_MS)

/**
 * anvil_grant_t - what one witness has given for one seat
 * @grantee: who may use the seat, ANVIL_NO_NODE if nobody was ever granted it
 * @incarnation: incarnation of the user
 * @requested_at: user's clock at the latest question
 * @exclusive_since: user's clock at its first grant since which nobody else had one; 0 if nobody
 * ever had
 * @expires_at: witness's clock; nobody else is granted the seat up to then
 */
typedef struct
{
  anvil_node_t grantee;
  guint64 incarnation;
  anvil_time_t requested_at;
  anvil_time_t exclusive_since;
  anvil_time_t expires_at;
} anvil_grant_t;

/**
 * anvil_grant_try_acquire - answers a question for the seat
 * @now: witness's clock
 * @user: who asks
 * @incarnation: its incarnation
 * @asked_at: its clock
 * @unused: nobody was ever granted the seat before, as far as the witness can know
 *
 * A newer incarnation of a user is granted at once, since its process has taken
 * over the address of the older one, which has ended.
 *
 * Return: whether it is granted.
 */
gboolean anvil_grant_try_acquire (anvil_grant_t *grant,
                                  anvil_time_t now,
                                  anvil_node_t user,
                                  guint64 incarnation,
                                  anvil_time_t asked_at,
                                  gboolean unused);

/** anvil_grant_release - ends a grant early, unless it was asked for after @released_at */
void anvil_grant_release (anvil_grant_t *grant,
                          anvil_time_t now,
                          anvil_node_t user,
                          guint64 incarnation,
                          anvil_time_t released_at);

/** anvil_grant_active - whether somebody may still use the seat on this grant */
gboolean anvil_grant_active (const anvil_grant_t *grant, anvil_time_t now);
