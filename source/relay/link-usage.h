#pragma once

#include "anvil/byte-counts.h"
#include "anvil/clock.h"

/*
 * How much of the VM's network link this process uses, and for whom.
 */

typedef enum
{
  ANVIL_LINK_CALLERS,
  ANVIL_LINK_UPSTREAMS,
  ANVIL_LINK_STORE,
  ANVIL_LINK_PEERS,
  ANVIL_N_LINK_USERS,
} anvil_link_user_t;

/**
 * anvil_link_usage_t - plain value; starts as zeroes but for @rate and a full @caller_share
 * @rate: rate of the link in each direction, bits per second; 0 if it isn't known
 * @measured_at: end of the last period that was measured, monotonic clock; 0 before the first
 * @totals: bytes up to then
 * @period: bytes of that period
 * @share: share of the link that the busier direction used in it; 0 if @rate is 0
 * @average: moving average of @share
 * @caller_share: part of the callers that the link has room for, thousandths; see
 *   anvil_member_info_t
 * @adjusted_at: when @caller_share was changed last
 */
typedef struct
{
  guint64 rate;
  anvil_time_t measured_at;
  anvil_byte_counts_t totals[ANVIL_N_LINK_USERS];
  anvil_byte_counts_t period[ANVIL_N_LINK_USERS];
  gdouble share;
  gdouble average;
  guint caller_share;
  anvil_time_t adjusted_at;
} anvil_link_usage_t;

/** anvil_link_user_name - for logs and metrics */
const char *anvil_link_user_name (anvil_link_user_t user);

/**
 * anvil_link_usage_update - measures the period since the last one, if it is at least a second long
 * @totals: bytes so far, by user
 *
 * Return: whether a period was measured
 */
gboolean anvil_link_usage_update (anvil_link_usage_t *usage,
                                  anvil_time_t now,
                                  const anvil_byte_counts_t totals[ANVIL_N_LINK_USERS]);

/** anvil_link_usage_log - logs the last period if it used much of the link */
void anvil_link_usage_log (const anvil_link_usage_t *usage);
