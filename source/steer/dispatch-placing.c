/*
 * Selects the upstream that a task runs on.
 *
 * A run on an upstream that isn't warm for the object (a cold run) takes several
 * times as long as a warm run, and cold runs alone would saturate a loaded
 * service. So a task goes to an upstream that is warm for its object, or waits
 * for one. Further upstreams become warm for an object only as far as its demand
 * requires, or while slots are idle. Large request bodies take longer to transfer
 * than to process, so these requests stay near their caller.
 *
 * While the requester's own region has room, the share of its requests that run in
 * other regions grows at a bounded rate. Without room there, callers are served
 * elsewhere at once.
 *
 * An upstream is warm for several objects, whose queued tasks compete for the
 * same slots. Its backlog tells how long a further task would wait.
 */

#include "steer/dispatch-internal.h"

/* Round trip between two zones of a region, which are about a millisecond apart. */
#define ZONE_RTT (2 * ANVIL_MS)
/* Cost of transferring a kilobyte, as time, so that it can be added to run times. Links between
 * regions have the least capacity and the highest price. */
#define REGION_TRANSFER_COST_PER_KB (6 * ANVIL_MS)
#define ZONE_TRANSFER_COST_PER_KB (2 * ANVIL_MS)
#define BYTES_PER_KB 1024
/* Share of an upstream's slots that the demand for one object may occupy before another upstream
 * becomes warm for it. */
#define MAX_OBJECT_SHARE 0.5
/* The demand for an object is compared with its upstreams again after this time: under load the
 * question comes up for each free slot and each queued object. */
#define DEMAND_INTERVAL (10 * ANVIL_MS)
/* Share of a service's slots that must be idle for cold runs beyond the demand for an object. */
#define MIN_IDLE_SHARE 0.2
/* Cost of a run that is sure to fail, so that failing upstreams are chosen last. */
#define FAILURE_COST (2 * ANVIL_SECOND)
/* Range of the offset that orders equally good upstreams by a hash of the object, so that all
 * holders choose the same ones. */
#define TIE_BREAK_RANGE (4 * ANVIL_MS)
/* Size of the token bucket of a cold upstream, requests. */
#define COLD_BURST 1.5
/* Holders that may act for a service at the same time while entries disagree. */
#define MAX_HOLDERS 2
/* Slots of an upstream with the lowest request limit; only to divide by. */
#define MIN_USABLE_SLOTS 0.001
/* Part of the limit on shifts that one service may use: the mix of services changes too. */
#define SHIFT_MARGIN 0.6

gboolean
placing_region_allowed (const upstream_t *upstream, const task_t *task)
{
  for (guint i = 0; i < task->request.n_regions; i++)
    {
      if (task->regions[i] == upstream->region)
        return TRUE;
    }
  return task->request.n_regions == 0;
}

gboolean
placing_allowed (const upstream_t *upstream, const task_t *task)
{
  for (guint i = 0; i < task->request.n_excluded; i++)
    {
      if (task->request.excluded[i] == upstream->record.key)
        return FALSE;
    }
  return placing_region_allowed (upstream, task);
}

/* Most requests a second that this dispatcher grants to a cold upstream: at most its share of the
 * common limit, less the burst. */
static gdouble
cold_rate (const upstream_t *upstream)
{
  const anvil_dispatcher_limits_t *limits = &upstream->service->dispatcher->limits;
  gdouble capacity = upstream->service->profile.cold_per_second;
  gdouble share = (capacity * limits->cold_factor + limits->cold_extra) / MAX_HOLDERS - COLD_BURST;

  return MAX (MIN (capacity, share), 0);
}

/* Whether the limit that all entries keep to with a cold upstream allows one more request now. */
static gboolean
cold_limit_allows_request (upstream_t *upstream, anvil_time_t now)
{
  anvil_bucket_t *limiter = &upstream->cold_limiter;
  anvil_time_t held_since = upstream->service->held_since;

  if (upstream->service->dispatcher->peers_unknown)
    return FALSE;
  /* The previous holder may just have granted what this one has not used. */
  if (limiter->refilled_at < held_since)
    *limiter = (anvil_bucket_t){ .refilled_at = held_since };
  anvil_bucket_refill (limiter, now, cold_rate (upstream), COLD_BURST);
  return limiter->tokens >= 1;
}

gboolean
placing_slot_available (upstream_t *upstream, anvil_time_t now)
{
  guint running = upstream->running->len;

  if (running >= upstream->record.slots || !upstream->registered
      || !anvil_registry_usable (&upstream->record) || now < upstream->ejected_until)
    return FALSE;
  if ((upstream->probing && running > 0) || !limit_allows_request (upstream, now))
    return FALSE;
  return now >= upstream->record.cold_until || cold_limit_allows_request (upstream, now);
}

anvil_time_t
placing_network_delay (const upstream_t *upstream, const task_t *task)
{
  if (task->region != upstream->region)
    return upstream->service->dispatcher->region_rtt;
  return task->zone == upstream->zone ? 0 : ZONE_RTT;
}

/* Cost of transferring the request body, as time. */
static anvil_time_t
transfer_cost (const upstream_t *upstream, const task_t *task)
{
  anvil_time_t kilobytes = (anvil_time_t) (task->request.body_bytes / BYTES_PER_KB);

  if (task->region != upstream->region)
    return kilobytes * REGION_TRANSFER_COST_PER_KB;
  return task->zone == upstream->zone ? 0 : kilobytes * ZONE_TRANSFER_COST_PER_KB;
}

/* When the next slot is expected to be free and may be granted. */
static anvil_time_t
slot_free_at (const upstream_t *upstream, anvil_time_t now)
{
  anvil_time_t allowed_at = limit_allows_at (upstream, now);
  anvil_time_t first = G_MAXINT64;

  if (upstream->running->len < upstream->record.slots)
    return allowed_at;
  for (guint i = 0; i < upstream->running->len; i++)
    first = MIN (first, warmth_expected_end (upstream->running->pdata[i], now));
  return MAX (first, allowed_at);
}

/* When the upstream is expected to be warm for an object: when its first run there ends. */
static anvil_time_t
expected_ready_at (const upstream_t *upstream, const warm_entry_t *entry, anvil_time_t now)
{
  anvil_time_t first = G_MAXINT64;

  if (entry->ready || entry->ready_at > now || !upstream->service->names_speed)
    return entry->ready_at;
  for (guint i = 0; i < upstream->running->len; i++)
    {
      task_t *task = upstream->running->pdata[i];

      if (task->object == entry->object)
        first = MIN (first, warmth_expected_end (task, now));
    }
  return first < G_MAXINT64 ? first : entry->ready_at;
}

placement_t
placing_estimate (upstream_t *upstream, const task_t *task, anvil_time_t now, gboolean warm)
{
  placement_t placement = { .upstream = upstream, .warm = warm };
  const warm_entry_t *entry = warm ? warmth_find (upstream, task->object) : NULL;
  anvil_time_t start = slot_free_at (upstream, now);

  if (entry != NULL)
    start = MAX (start, expected_ready_at (upstream, entry, now));
  placement.finish = start + placing_network_delay (upstream, task)
                     + warmth_expected_run_time (upstream, task->class, warm);
  placement.cost = placement.finish + transfer_cost (upstream, task)
                   + (anvil_time_t) (upstream->failure_rate * (gdouble) FAILURE_COST);
  return placement;
}

/* Upstreams that are warm for the task's object; all, if it has no object. */
static const GPtrArray *
warm_upstreams (const task_t *task)
{
  return task->object->no_affinity ? task->service->upstreams : task->object->upstreams;
}

static gboolean
is_better (const placement_t *placement, const placement_t *best)
{
  return best->upstream == NULL || placement->cost < best->cost;
}

static gdouble
usable_slots (const upstream_t *upstream)
{
  return MAX (limit_usable_slots (upstream), MIN_USABLE_SLOTS);
}

/* How long an upstream needs for the queued tasks of all objects that it is warm for. */
static anvil_time_t
backlog_delay (const upstream_t *upstream, const task_t *task)
{
  return (anvil_time_t) (waiting_backlog_us (upstream, task) / usable_slots (upstream));
}

/* The best of the upstreams that are warm for the object; with @free_slot, of those that can start
 * the task now. */
static placement_t
best_warm (task_t *task, anvil_time_t now, gboolean free_slot, gboolean local_only)
{
  const GPtrArray *upstreams = warm_upstreams (task);
  placement_t best = { 0 };

  for (guint i = 0; i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];
      placement_t placement;

      if (!upstream->registered || !placing_allowed (upstream, task)
          || pause_applies (upstream, task, now)
          || (local_only && upstream->region != task->region))
        continue;
      if (free_slot
          && !(warmth_is_ready (upstream, task->object) && placing_slot_available (upstream, now)))
        continue;
      if (!free_slot && (!anvil_registry_usable (&upstream->record) || upstream->probing))
        continue;
      placement = placing_estimate (upstream, task, now, TRUE);
      if (!free_slot)
        {
          anvil_time_t delay = backlog_delay (upstream, task);

          placement.finish += delay;
          placement.cost += delay;
        }
      if (is_better (&placement, &best))
        best = placement;
    }
  return best;
}

placement_t
placing_best_warm (task_t *task, anvil_time_t now)
{
  return best_warm (task, now, FALSE, FALSE);
}

/* Offset that differs by upstream and object, and is the same in every process. */
static anvil_time_t
tie_break (const upstream_t *upstream, const object_t *object)
{
  guint64 mixed = (upstream->record.key ^ object->hash) * G_GUINT64_CONSTANT (0x9E3779B97F4A7C15);

  return (anvil_time_t) ((mixed >> 32) % TIE_BREAK_RANGE);
}

/* Whether the demand for an object exceeds what the upstreams that are warm for it should take. */
static gboolean
needs_more_upstreams (object_t *object, anvil_time_t now)
{
  gdouble slots = 0;

  if (object->needs_more_at > 0 && now - object->needs_more_at < DEMAND_INTERVAL)
    return object->needs_more;
  for (guint i = 0; i < object->upstreams->len; i++)
    slots += limit_usable_slots (object->upstreams->pdata[i]);
  object->needs_more
      = object->upstreams->len == 0 || warmth_demand (object) >= MAX_OBJECT_SHARE * slots;
  object->needs_more_at = now;
  return object->needs_more;
}

/* Whether the upstreams that are warm for the task's object, of those that it may use, all pause
 * for its entry. */
static gboolean
warm_upstreams_pause (const task_t *task, anvil_time_t now)
{
  const GPtrArray *upstreams = task->object->upstreams;
  guint n_paused = 0;

  if (task->service->pauses_end <= now)
    return FALSE;
  for (guint i = 0; i < upstreams->len; i++)
    {
      const upstream_t *upstream = upstreams->pdata[i];

      if (!anvil_registry_usable (&upstream->record) || !placing_allowed (upstream, task))
        continue;
      if (!pause_applies (upstream, task, now))
        return FALSE;
      n_paused++;
    }
  return n_paused > 0;
}

gboolean
placing_cold_run_allowed (const task_t *task, anvil_time_t now)
{
  const service_t *service = task->service;
  gdouble idle = service->usable_slots - service->n_running;

  return needs_more_upstreams (task->object, now) || idle > MIN_IDLE_SHARE * service->usable_slots
         || warm_upstreams_pause (task, now);
}

/* The best upstream with a free slot that isn't warm for the object. */
static placement_t
best_cold (task_t *task, anvil_time_t now, gboolean local_only)
{
  const GPtrArray *upstreams = task->service->upstreams;
  placement_t best = { 0 };

  if (!placing_cold_run_allowed (task, now))
    return best;
  for (guint i = 0; i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];
      placement_t placement;

      if (!placing_slot_available (upstream, now) || !placing_allowed (upstream, task)
          || pause_applies (upstream, task, now) || warmth_find (upstream, task->object) != NULL
          || (local_only && upstream->region != task->region))
        continue;
      placement = placing_estimate (upstream, task, now, FALSE);
      placement.cost
          += tie_break (upstream, task->object)
             + (anvil_time_t) (upstream->warm_load / usable_slots (upstream)
                               * (gdouble) warmth_expected_run_time (upstream, task->class, TRUE));
      if (is_better (&placement, &best))
        best = placement;
    }
  return best;
}

/* The best upstream with a free slot, or none with @wait_for set if a warm one is worth waiting
 * for. */
static placement_t
best_immediate (task_t *task, anvil_time_t now, gboolean local_only, placement_t *wait_for)
{
  placement_t warm = best_warm (task, now, TRUE, local_only);
  placement_t cold;

  *wait_for = (placement_t){ 0 };
  if (warm.upstream != NULL || task->object->no_affinity)
    return warm;
  cold = best_cold (task, now, local_only);
  if (cold.upstream == NULL)
    return cold;
  *wait_for = best_warm (task, now, FALSE, local_only);
  if (wait_for->upstream != NULL
      && (wait_for->finish <= task->request.target || wait_for->cost <= cold.cost))
    return (placement_t){ 0 };
  return cold;
}

/* A limited upstream with a free slot that should get a request, or none. */
static placement_t
best_probe (task_t *task, anvil_time_t now)
{
  const GPtrArray *upstreams = task->service->upstreams;

  for (guint i = 0; task->service->n_limited > 0 && i < upstreams->len; i++)
    {
      upstream_t *upstream = upstreams->pdata[i];

      if (limit_probe_due (upstream, now) && placing_allowed (upstream, task)
          && !pause_applies (upstream, task, now) && placing_slot_available (upstream, now))
        return placing_estimate (upstream, task, now, FALSE);
    }
  return (placement_t){ 0 };
}

static gboolean
is_remote (const placement_t *placement, const task_t *task)
{
  return placement->upstream != NULL && placement->upstream->region != task->region;
}

placement_t
placing_best_immediate (task_t *task, anvil_time_t now)
{
  gdouble max_growth = task->service->dispatcher->limits.max_shift * SHIFT_MARGIN;
  placement_t wait_for;
  placement_t best = best_probe (task, now);
  placement_t local;

  if (best.upstream != NULL)
    return best;
  best = best_immediate (task, now, FALSE, &wait_for);
  if (!is_remote (best.upstream != NULL ? &best : &wait_for, task) || max_growth <= 0
      || shift_allows_remote (dispatch_shift_of (task), now, max_growth))
    return best;
  local = best_immediate (task, now, TRUE, &wait_for);
  return local.upstream != NULL ? local : best;
}
