#pragma once

#include "steer/quota-counter.h"

/* quota-counter.c knows tenants and shards, quota-bucket.c lends from the bucket of one tenant. */

/* Slots of the log of loans. One more than the window needs, as the present one isn't full. */
#define LOG_SLOTS 64
/* Part of a bucket that a new counter starts with, since the previous one may just have lent. */
#define START_SHARE 0.3

/**
 * report_t - what a holder used without a loan of this counter
 * @at: when it said so; the report counts for one window
 */
typedef struct
{
  anvil_node_t holder;
  guint used;
  anvil_time_t at;
} report_t;

/**
 * tenant_t - a tenant with a limit
 * @appeared_at: when the limit came into force; 0 if it was in the first configuration
 */
typedef struct
{
  anvil_quota_limit_t limit;
  anvil_time_t appeared_at;
} tenant_t;

/**
 * bucket_t - a tenant's tokens
 * @tokens: below 0 while it is overdrawn
 * @log: tokens lent, by slot of time
 * @log_slot: number of the slot of time that was written last
 * @reports: report_t, NULL for none
 */
typedef struct
{
  gdouble tokens;
  anvil_time_t refilled_at;
  anvil_time_t used_at;
  guint32 log[LOG_SLOTS];
  gint64 log_slot;
  GArray *reports;
} bucket_t;

/**
 * shard_t - a part of the tenants
 * @since: since when this entry is its counter; 0 if it isn't
 * @buckets: bucket_t by tenant, of those that use tokens
 */
typedef struct
{
  anvil_time_t since;
  GHashTable *buckets;
} shard_t;

struct anvil_quota_counter
{
  anvil_dispatcher_limits_t limits;
  /* Part of the quota that this counter uses, and reachable entries as a part of the known ones. */
  gdouble share;
  gdouble reachable;
  /* Factor for the logs while the share changes. */
  gdouble scale;
  gboolean has_tenants;
  /* tenant_t by name. */
  GHashTable *tenants;
  GArray *shards;
  anvil_time_t ticked_at;
  anvil_time_t evicted_at;
};

/* quota-bucket.c */

void quota_bucket_free (gpointer data);
/* Requests that the guarantee allows in a window, over all entries. */
gdouble quota_bound (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit);
/* The same for this counter alone, for the present share. */
gdouble quota_cap (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit);
/* Most tokens of a bucket, for the present share. */
gdouble quota_depth (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit);
void quota_bucket_refill (anvil_quota_counter_t *counter,
                          anvil_time_t now,
                          const anvil_quota_limit_t *limit,
                          bucket_t *bucket);
/* Length of a slot of the log; all but the present one cover the window and the term of a loan. */
anvil_time_t quota_slot_length (const anvil_quota_counter_t *counter);
/* Begins the slots of the log up to now. */
void
quota_bucket_advance_log (const anvil_quota_counter_t *counter, anvil_time_t now, bucket_t *bucket);
/* Tokens lent in the last @time, rounded up to whole slots. */
guint quota_bucket_lent_in (const anvil_quota_counter_t *counter,
                            const bucket_t *bucket,
                            anvil_time_t time);
/* After a limit was lowered, what was lent under the old one counts by as much less. */
void quota_bucket_scale_log (bucket_t *bucket, gdouble factor);
/* Takes a holder's report into account; returns the sum of all that still count. */
gdouble quota_bucket_update_reports (const anvil_quota_counter_t *counter,
                                     anvil_time_t now,
                                     bucket_t *bucket,
                                     anvil_node_t holder,
                                     guint used);
/* See anvil_quota_lent_t. */
guint quota_bucket_use_share (const anvil_quota_counter_t *counter,
                              const anvil_quota_limit_t *limit,
                              const bucket_t *bucket);
/* Starts the bucket again as one of a new counter. */
void quota_bucket_restart (anvil_quota_counter_t *counter,
                           anvil_time_t now,
                           const anvil_quota_limit_t *limit,
                           bucket_t *bucket);
/* Lends what a holder wants, but no more than @room. */
void quota_bucket_lend (anvil_quota_counter_t *counter,
                        anvil_time_t now,
                        const anvil_quota_limit_t *limit,
                        bucket_t *bucket,
                        const anvil_quota_want_t *want,
                        gdouble room,
                        anvil_quota_lent_t *lent);
