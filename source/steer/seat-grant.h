#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"

/* How long a grant lasts from when it was asked for. */
#define ANVIL_GRANT_TERM (2 * ANVIL_SECOND)
/* How often a user asks its witnesses. */
#define ANVIL_GRANT_INTERVAL (500 * ANVIL_MS)
/* Added where another clock counts the same term; covers 200 ppm each way on the longest term. */
#define ANVIL_CLOCK_GUARD (20 * ANVIL_MS)

/**
 * anvil_grant_t - what one witness has given for one seat
 * @user: who may use the seat, ANVIL_NO_NODE if nobody was ever granted it
 * @incarnation: incarnation of the user
 * @asked_at: user's clock at the latest question
 * @since: user's clock at its first grant since which nobody else had one; 0 if nobody ever had
 * @until: witness's clock; nobody else is granted the seat up to then
 */
typedef struct
{
  anvil_node_t user;
  guint64 incarnation;
  anvil_time_t asked_at;
  anvil_time_t since;
  anvil_time_t until;
} anvil_grant_t;

/**
 * anvil_grant_give - answers a question for the seat
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
gboolean anvil_grant_give (anvil_grant_t *grant,
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

/** anvil_grant_live - whether somebody may still use the seat on this grant */
gboolean anvil_grant_live (const anvil_grant_t *grant, anvil_time_t now);
