/* Token buckets of tenants at their counter. */

#include "steer/quota-counter-internal.h"

#include <math.h>

/* A holder doesn't ask again before: a tenant that presses would cause a message for each of its
 * requests. */
#define MIN_RETRY_AFTER (10 * ANVIL_MS)
/* Part of the tolerated excess by which a bucket may be overdrawn; the rest is for holders that go
 * on without a counter and for loans in use. */
#define OVERDRAFT_SHARE 0.5

void
quota_bucket_free (gpointer data)
{
  bucket_t *bucket = data;

  if (bucket->reports != NULL)
    g_array_unref (bucket->reports);
  g_free (bucket);
}

/* Requests that the guarantee allows in a window, over all entries. */
gdouble
quota_bound (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit)
{
  const anvil_dispatcher_limits_t *limits = &counter->limits;
  gdouble window_s = (gdouble) limits->quota_window / ANVIL_SECOND;

  return (limit->rate * window_s + limit->burst) * (1 + limits->quota_overage)
         + limits->quota_slack;
}

/* Length of a slot of the log; all but the present one cover the window and the term of a loan. */
anvil_time_t
quota_slot_length (const anvil_quota_counter_t *counter)
{
  return (counter->limits.quota_window + ANVIL_QUOTA_TERM) / (LOG_SLOTS - 1) + 1;
}

static gdouble
log_length_s (const anvil_quota_counter_t *counter)
{
  return (gdouble) (quota_slot_length (counter) * LOG_SLOTS) / ANVIL_SECOND;
}

/* What the other side of a partition may lend while this one uses the whole quota. */
static gdouble
lent_by_others (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit)
{
  gdouble window_s = (gdouble) counter->limits.quota_window / ANVIL_SECOND;

  if (counter->share < 1)
    return 0;
  return (1 - counter->reachable) * (limit->rate * window_s + START_SHARE * limit->burst);
}

/* What the rate adds up to is never kept back. */
gdouble
quota_cap (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit)
{
  return MAX (counter->share * quota_bound (counter, limit) - lent_by_others (counter, limit),
              counter->share * limit->rate * log_length_s (counter));
}

gdouble
quota_depth (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit)
{
  /* A bucket of less than one token would never lend any. */
  return MAX (limit->burst, 1) * counter->share;
}

static gdouble
overdraft (const anvil_quota_counter_t *counter, const anvil_quota_limit_t *limit)
{
  gdouble window_s = (gdouble) counter->limits.quota_window / ANVIL_SECOND;
  gdouble excess = quota_bound (counter, limit) - limit->rate * window_s - limit->burst;
  gdouble in_use = limit->rate * (gdouble) ANVIL_QUOTA_AHEAD / ANVIL_SECOND;

  gdouble most = MIN (excess * OVERDRAFT_SHARE - in_use,
                      excess - limit->rate * (log_length_s (counter) - window_s));

  return MAX (most - lent_by_others (counter, limit), 0) * counter->share;
}

void
quota_bucket_refill (anvil_quota_counter_t *counter,
                     anvil_time_t now,
                     const anvil_quota_limit_t *limit,
                     bucket_t *bucket)
{
  gdouble added = limit->rate * counter->share * (gdouble) (now - bucket->refilled_at);

  if (now <= bucket->refilled_at)
    return;
  bucket->refilled_at = now;
  bucket->tokens = MIN (bucket->tokens + added / ANVIL_SECOND, quota_depth (counter, limit));
}

void
quota_bucket_advance_log (const anvil_quota_counter_t *counter, anvil_time_t now, bucket_t *bucket)
{
  gint64 slot = now / quota_slot_length (counter);
  gint64 first = MAX (bucket->log_slot + 1, slot - LOG_SLOTS + 1);

  for (gint64 i = first; i <= slot; i++)
    bucket->log[i % LOG_SLOTS] = 0;
  bucket->log_slot = MAX (bucket->log_slot, slot);
}

/* Tokens lent in the last @time, rounded up to whole slots. */
guint
quota_bucket_lent_in (const anvil_quota_counter_t *counter,
                      const bucket_t *bucket,
                      anvil_time_t time)
{
  gint64 n_slots = MIN (time / quota_slot_length (counter) + 2, LOG_SLOTS);
  guint sum = 0;

  for (gint64 i = 0; i < n_slots && i <= bucket->log_slot; i++)
    sum += bucket->log[(bucket->log_slot - i) % LOG_SLOTS];
  return sum;
}

/* After a limit was lowered, what was lent under the old one counts by as much less: otherwise a
 * tenant that keeps to the new limit would be refused for what it sent before. */
void
quota_bucket_scale_log (bucket_t *bucket, gdouble factor)
{
  for (guint i = 0; i < LOG_SLOTS; i++)
    bucket->log[i] = (guint32) floor (bucket->log[i] * factor);
}

/* Other entries have had another counter in the meantime, which may have lent as much. */
void
quota_bucket_restart (anvil_quota_counter_t *counter,
                      anvil_time_t now,
                      const anvil_quota_limit_t *limit,
                      bucket_t *bucket)
{
  bucket->tokens = MIN (bucket->tokens, START_SHARE * quota_depth (counter, limit));
  bucket->refilled_at = now;
}

/* Takes a holder's report into account; returns the sum of all that still count. */
gdouble
quota_bucket_update_reports (const anvil_quota_counter_t *counter,
                             anvil_time_t now,
                             bucket_t *bucket,
                             anvil_node_t holder,
                             guint used)
{
  gdouble sum = 0;
  gboolean found = used == 0;

  if (bucket->reports == NULL && used == 0)
    return 0;
  if (bucket->reports == NULL)
    bucket->reports = g_array_new (FALSE, FALSE, sizeof (report_t));
  for (guint i = bucket->reports->len; i > 0; i--)
    {
      report_t *report = &g_array_index (bucket->reports, report_t, i - 1);

      if (report->holder == holder)
        {
          found = TRUE;
          report->used = used;
          report->at = now;
        }
      if (report->used == 0 || now - report->at > counter->limits.quota_window)
        g_array_remove_index_fast (bucket->reports, i - 1);
      else
        sum += report->used;
    }
  if (!found)
    {
      const report_t report = { .holder = holder, .used = used, .at = now };

      g_array_append_val (bucket->reports, report);
      sum += used;
    }
  return sum;
}

guint
quota_bucket_use_share (const anvil_quota_counter_t *counter,
                        const anvil_quota_limit_t *limit,
                        const bucket_t *bucket)
{
  gdouble recent = quota_bucket_lent_in (counter, bucket, ANVIL_QUOTA_RECENT);
  gdouble allowed = limit->rate * counter->share * (gdouble) ANVIL_QUOTA_RECENT / ANVIL_SECOND;

  return recent <= allowed ? ANVIL_QUOTA_FULL_SHARE
                           : (guint) (allowed / recent * ANVIL_QUOTA_FULL_SHARE);
}

static guint
whole (gdouble tokens, guint most)
{
  return tokens <= 0 ? 0 : (guint) MIN (floor (tokens + 1e-9), (gdouble) most);
}

void
quota_bucket_lend (anvil_quota_counter_t *counter,
                   anvil_time_t now,
                   const anvil_quota_limit_t *limit,
                   bucket_t *bucket,
                   const anvil_quota_want_t *want,
                   gdouble room,
                   anvil_quota_lent_t *lent)
{
  gdouble least = -overdraft (counter, limit);
  gdouble rate = limit->rate * counter->share;
  guint ahead;

  lent->lent = whole (MIN (bucket->tokens - least, room), want->waiting);
  bucket->tokens -= lent->lent;
  room -= lent->lent;
  /* They may end unused: no more than what the overdraft makes up for. */
  ahead = whole (MIN (bucket->tokens - quota_depth (counter, limit) - least, room), want->ahead);
  bucket->tokens -= ahead;
  if (lent->lent < want->waiting)
    lent->retry_after
        = MAX ((anvil_time_t) ((1 - (bucket->tokens - least)) / rate * (gdouble) ANVIL_SECOND),
               room < 1 ? quota_slot_length (counter) : MIN_RETRY_AFTER);
  lent->lent += ahead;
  bucket->log[bucket->log_slot % LOG_SLOTS] += lent->lent;
}
