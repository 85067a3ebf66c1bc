#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/* What holders of services and counters of quotas tell each other of one tenant. */

/* A loan of tokens ends this long after it was requested. The tokens that a holder has but hasn't
 * used are at most what was lent in this time, which the counter's cap allows for. */
#define ANVIL_QUOTA_TERM (300 * ANVIL_MS)
/* Tokens are requested ahead for the demand of this time, which is more than two ticks. */
#define ANVIL_QUOTA_AHEAD (100 * ANVIL_MS)
/* Time over which a holder's use is measured, for its rate without a counter. */
#define ANVIL_QUOTA_RECENT (2 * ANVIL_SECOND)
/* Value of @use_share for all of a holder's recent rate. */
#define ANVIL_QUOTA_FULL_SHARE 1000u

/**
 * anvil_quota_want_t - tokens that a holder wants for a tenant
 * @tenant: name; borrowed
 * @waiting: for tasks that wait for a token
 * @ahead: for tasks that are expected soon
 * @used_elsewhere: tokens used in the last window that this counter hasn't lent
 */
typedef struct
{
  anvil_str_t tenant;
  guint waiting;
  guint ahead;
  guint used_elsewhere;
} anvil_quota_want_t;

/**
 * anvil_quota_lent_t - the answer
 * @tenant: name; borrowed
 * @wanted: @waiting of the request
 * @lent: tokens lent, for waiting tasks first; they end ANVIL_QUOTA_TERM after the request
 * @retry_after: time until there will be a token, microseconds; 0 if nothing was denied
 * @use_share: part of a holder's recent rate that it may go on with if the counter is lost,
 *   thousandths, so that all holders together keep to the tenant's rate
 */
typedef struct
{
  anvil_str_t tenant;
  guint wanted;
  guint lent;
  anvil_time_t retry_after;
  guint use_share;
} anvil_quota_lent_t;
