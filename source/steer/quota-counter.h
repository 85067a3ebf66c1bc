#pragma once

#include "anvil/dispatcher.h"
#include "anvil/tenants.h"
#include "steer/quota-item.h"

/*
 * Keeps the token buckets of tenants, and lends tokens to the holders of services.
 *
 * Tenants are divided over a number of shards by a hash of their names, and every shard has one
 * counter among the entries. Requests of a tenant use tokens that the counter has lent, so a bound
 * on what is lent in a window, and the term of a loan before it, is a bound on what is used in a
 * window. A tenant may overdraw its bucket by part of what the bound tolerates, since loans that
 * end unused count as spent.
 *
 * The module has no sockets and reads no clock.
 */

/* Tenants of one shard: their buckets take about 1 MB, see docs/design/quotas.md. */
#define ANVIL_QUOTA_SHARD_TENANTS 4096

/** anvil_quota_limit_t - a tenant's limit; see anvil_tenant_t */
typedef struct
{
  gdouble rate;
  gdouble burst;
} anvil_quota_limit_t;

typedef struct anvil_quota_counter anvil_quota_counter_t;

/** anvil_quota_counter_new - @limits: see anvil_dispatcher_limits_t; copied */
anvil_quota_counter_t *anvil_quota_counter_new (const anvil_dispatcher_limits_t *limits);
void anvil_quota_counter_drop (anvil_quota_counter_t *counter);

void anvil_quota_counter_set_limits (anvil_quota_counter_t *counter,
                                     anvil_time_t now,
                                     const anvil_dispatcher_limits_t *limits);

/** anvil_quota_counter_set_tenants - takes over the limits of a configuration; a tenant that the
 * previous one didn't limit starts with part of its burst, unless there was none */
void anvil_quota_counter_set_tenants (anvil_quota_counter_t *counter,
                                      anvil_time_t now,
                                      const anvil_routes_t *routes);

/** anvil_quota_counter_limit - a tenant's limit; NULL if it has none. Valid until the next change
 */
const anvil_quota_limit_t *anvil_quota_counter_limit (const anvil_quota_counter_t *counter,
                                                      anvil_str_t tenant);

/** anvil_quota_counter_count_shards - 0 if no tenant has a limit */
guint anvil_quota_counter_count_shards (const anvil_quota_counter_t *counter);
guint anvil_quota_counter_shard (const anvil_quota_counter_t *counter, anvil_str_t tenant);

/** anvil_quota_counter_hold - whether this entry is the counter of a shard. A new counter starts
 * with part of the bursts */
void anvil_quota_counter_hold (anvil_quota_counter_t *counter,
                               anvil_time_t now,
                               guint shard,
                               gboolean holds);

/**
 * anvil_quota_counter_set_share - entries may be divided, and another counter may act at this time
 * @share: reachable entries as a part of the known ones, 0 to 1; 1 if they aren't divided
 */
void
anvil_quota_counter_set_share (anvil_quota_counter_t *counter, anvil_time_t now, gdouble share);

/**
 * anvil_quota_counter_lend - answers one request of a holder
 * @holder: the holder's entry
 *
 * Return: FALSE without an answer if this entry isn't the tenant's counter, or was suspended and
 * doesn't know whether it still is.
 */
gboolean anvil_quota_counter_lend (anvil_quota_counter_t *counter,
                                   anvil_time_t now,
                                   anvil_node_t holder,
                                   const anvil_quota_want_t *want,
                                   anvil_quota_lent_t *lent);

/** anvil_quota_counter_tick - to be called at ANVIL_DISPATCHER_TICK_INTERVAL, after
 * anvil_quota_counter_hold() and anvil_quota_counter_set_share(); notices that the process was
 * suspended and removes idle buckets */
void anvil_quota_counter_tick (anvil_quota_counter_t *counter, anvil_time_t now);

/** anvil_quota_counter_count_buckets - buckets in use */
guint anvil_quota_counter_count_buckets (const anvil_quota_counter_t *counter);
