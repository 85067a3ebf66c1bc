/*
 * Keeps to the request limits that upstreams name in their responses.
 *
 * A limit holds for all entries together. Since the holder grants every slot, it
 * counts the requests of all. The upstream then counts with as many slots as its
 * limit can keep busy, so tasks go where they are served sooner, wait as for any
 * slot, or are refused.
 */

#include "anvil/log.h"
#include "steer/dispatch-internal.h"

/* Requests a second to an upstream that takes fewer. Without any response, the end of its limit
 * would never be noticed. */
#define MIN_REQUEST_RATE 0.25
/* A limited upstream gets a request after this time even if others are better, since only a
 * response tells that its limit has changed. */
#define PROBE_INTERVAL (2 * ANVIL_SECOND)
/* Begins and ends of one upstream's limit are logged at most this often. */
#define LOG_INTERVAL (1 * ANVIL_SECOND)
/* Size of the token bucket, as time at the limit's rate, and at least one request: demand varies
 * from one moment to the next. */
#define BURST_TIME (1 * ANVIL_SECOND)
/* Share of a limit that this dispatcher uses while another holder may act at the same time.
 * Together they stay within the one and a half times that the platform's contract tolerates. */
#define DIVIDED_SHARE 0.75

static gdouble
request_rate (const upstream_t *upstream)
{
  gdouble share = upstream->service->dispatcher->divided ? DIVIDED_SHARE : 1;

  return MAX (upstream->request_limit * share, MIN_REQUEST_RATE);
}

static gdouble
burst (const upstream_t *upstream)
{
  if (upstream->service->dispatcher->divided)
    return 1;
  return MAX (request_rate (upstream) * (gdouble) BURST_TIME / (gdouble) ANVIL_SECOND, 1);
}

gboolean
limit_allows_request (upstream_t *upstream, anvil_time_t now)
{
  if (!upstream->is_limited)
    return TRUE;
  if (upstream->service->dispatcher->peers_unknown)
    return FALSE;
  anvil_bucket_refill (&upstream->request_bucket, now, request_rate (upstream), burst (upstream));
  return upstream->request_bucket.tokens >= 1;
}

void
limit_count_request (upstream_t *upstream, anvil_time_t now)
{
  if (!upstream->is_limited)
    return;
  upstream->request_bucket.tokens -= 1;
  upstream->limit_used_at = now;
}

gboolean
limit_probe_due (const upstream_t *upstream, anvil_time_t now)
{
  return upstream->is_limited && now - upstream->limit_used_at >= PROBE_INTERVAL;
}

anvil_time_t
limit_allows_at (const upstream_t *upstream, anvil_time_t now)
{
  gdouble seconds;

  if (!upstream->is_limited)
    return now;
  seconds = (1 - upstream->request_bucket.tokens) / request_rate (upstream);
  return MAX (now, upstream->request_bucket.refilled_at
                       + (anvil_time_t) (seconds * (gdouble) ANVIL_SECOND));
}

gdouble
limit_usable_slots (const upstream_t *upstream)
{
  gdouble run_time_us = upstream->run_time.mean_us;
  gdouble slots = upstream->record.slots;

  if (upstream->slowness > 1)
    slots /= upstream->slowness;
  if (!upstream->is_limited)
    return slots;
  if (run_time_us <= 0)
    run_time_us = (gdouble) warmth_mean_run_time (upstream->service->kinds[ANVIL_ROUTE_SAFE], TRUE);
  return MIN (slots, request_rate (upstream) * run_time_us / (gdouble) ANVIL_SECOND);
}

/* Whether a change may be logged: an upstream may name a limit in some responses only. */
static gboolean
may_log (upstream_t *upstream, anvil_time_t now)
{
  if (upstream->limit_logged_at > 0 && now - upstream->limit_logged_at < LOG_INTERVAL)
    return FALSE;
  upstream->limit_logged_at = now;
  return TRUE;
}

static void
set_limit (upstream_t *upstream, anvil_time_t now, gdouble per_second)
{
  if (upstream->is_limited && upstream->request_limit == per_second)
    return;
  if (!upstream->is_limited)
    {
      upstream->request_bucket = (anvil_bucket_t){ .refilled_at = now };
      upstream->limit_used_at = now;
      if (may_log (upstream, now))
        anvil_log (ANVIL_LOG_NOTICE, "dispatch",
                   "requests are limited upstream=%s service=%s per_second=%g", upstream->record.id,
                   upstream->service->name, per_second);
    }
  upstream->is_limited = TRUE;
  upstream->request_limit = per_second;
  dispatch_update_slot_count (upstream->service);
}

void
limit_clear (upstream_t *upstream)
{
  upstream->limit_named_at = 0;
  if (!upstream->is_limited)
    return;
  upstream->is_limited = FALSE;
  if (upstream->registered)
    dispatch_update_slot_count (upstream->service);
}

void
limit_record_response (upstream_t *upstream,
                       anvil_time_t now,
                       anvil_time_t granted_at,
                       const anvil_request_limit_t *limit)
{
  if (limit->state == ANVIL_REQUEST_LIMIT_NAMED)
    {
      upstream->limit_named_at = now;
      set_limit (upstream, now, limit->per_second);
    }
  /* A request that was granted before the limit was named may have been answered before, too. */
  else if (limit->state == ANVIL_REQUEST_LIMIT_NONE && granted_at > upstream->limit_named_at)
    {
      if (upstream->is_limited && may_log (upstream, now))
        anvil_log (ANVIL_LOG_NOTICE, "dispatch", "requests are not limited any more upstream=%s",
                   upstream->record.id);
      limit_clear (upstream);
    }
}

void
limit_add_reported (upstream_t *upstream,
                    anvil_time_t now,
                    anvil_time_t named_at,
                    gdouble per_second)
{
  if (named_at <= upstream->limit_named_at)
    return;
  upstream->limit_named_at = named_at;
  set_limit (upstream, now, per_second);
}
