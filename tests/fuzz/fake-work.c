/* Simulates dispatched attempts: transfer to the upstream, execution there, and the response. */

#include "fake-work.h"

#include "fake-event.h"

#define ATTEMPT_RETENTION (60 * ANVIL_SECOND)
/* A paced body is charged to its link in parts, one per interval. */
#define PACING_INTERVAL (50 * ANVIL_MS)

typedef struct
{
  guint64 id;
  guint entry;
  guint process_epoch;
  guint entry_region;
  guint64 request;
  guint service;
  fake_upstream_t *upstream;
  anvil_time_t delay;
  anvil_time_t deadline;
  gboolean complete;
  gboolean reported;
} attempt_t;

static attempt_t *
find_attempt (fake_net_t *net, guint64 attempt_id)
{
  return g_hash_table_lookup (net->attempts, GSIZE_TO_POINTER (attempt_id));
}

static void
schedule_work (fake_net_t *net,
               anvil_time_t when,
               fake_timer_cb_t callback,
               const attempt_t *attempt)
{
  fake_clock_schedule (net->clock, when, callback, net, GSIZE_TO_POINTER (attempt->id), NULL);
}

/* Sends bits over a link and returns their transfer time. A link sends one message after the other;
 * a paced body does not delay others, because there is room between its parts. */
static anvil_time_t
link_transit (fake_net_t *net, guint from, guint to, gint64 bits, gint64 pace_bits_per_s)
{
  guint link = anvil_config_lookup_link (net->options.config, from, to);
  gint64 rate;
  anvil_time_t start;

  if (link == ANVIL_NO_INDEX)
    return 0;
  rate = net->options.config->links[link].bits_per_s;
  if (pace_bits_per_s > 0 && pace_bits_per_s < rate)
    return bits * ANVIL_SECOND / pace_bits_per_s;
  start = MAX (fake_net_now (net), net->link_free_at[link]);
  net->link_free_at[link] = start + bits * ANVIL_SECOND / rate;
  return net->link_free_at[link] - fake_net_now (net);
}

static void
record_charge (fake_net_t *net, const attempt_t *attempt, guint from, guint to, gint64 bits)
{
  guint link = anvil_config_lookup_link (net->options.config, from, to);

  if (link != ANVIL_NO_INDEX)
    fake_net_record (net, (fake_record_t){ .kind = FAKE_LINK_CHARGED,
                                           .entry = attempt->entry,
                                           .request = attempt->request,
                                           .attempt = attempt->id,
                                           .service = attempt->service,
                                           .link = link,
                                           .bits = bits });
}

typedef struct
{
  fake_net_t *net;
  guint process_epoch;
  fake_record_t record;
} body_part_t;

static void
charge_part (void *context, void *data)
{
  const body_part_t *part = data;
  const fake_entry_t *entry = &part->net->entries[part->record.entry];

  /* A dead or frozen entry sends no more parts. */
  if (entry->process_epoch == part->process_epoch && !entry->frozen)
    fake_net_record (part->net, part->record);
}

static void
record_paced_charge (
    fake_net_t *net, const attempt_t *attempt, guint from, guint to, gint64 bits, gint64 pace)
{
  guint link = anvil_config_lookup_link (net->options.config, from, to);
  gint64 part_bits = MAX (1, pace * PACING_INTERVAL / ANVIL_SECOND);
  anvil_time_t when = fake_net_now (net);

  if (link == ANVIL_NO_INDEX)
    return;
  for (gint64 left = bits; left > 0; left -= part_bits, when += PACING_INTERVAL)
    {
      body_part_t *part = g_new0 (body_part_t, 1);

      part->net = net;
      part->process_epoch = attempt->process_epoch;
      part->record = (fake_record_t){ .kind = FAKE_LINK_CHARGED,
                                      .entry = attempt->entry,
                                      .request = attempt->request,
                                      .attempt = attempt->id,
                                      .service = attempt->service,
                                      .link = link,
                                      .bits = MIN (left, part_bits) };
      fake_clock_schedule (net->clock, when, charge_part, NULL, part, g_free);
    }
}

static void
send_result (fake_net_t *net,
             const attempt_t *attempt,
             anvil_time_t when,
             anvil_attempt_result_t result)
{
  fake_event_t *event;

  if (net->entries[attempt->entry].process_epoch != attempt->process_epoch)
    return;
  event = fake_event_new (net, attempt->entry, FAKE_EVENT_ATTEMPT_RESULT);
  event->request_id = attempt->request;
  event->attempt = attempt->id;
  event->attempt_upstream = attempt->upstream->index;
  event->result = result;
  event->bits = result == ANVIL_ATTEMPT_ANSWERED
                    ? net->options.config->services[attempt->service].response_bits
                    : 0;
  fake_event_schedule (event, when);
}

static void
record_end (fake_net_t *net, const attempt_t *attempt, gboolean ran)
{
  fake_net_record (net, (fake_record_t){ .kind = FAKE_WORK_ENDED,
                                         .entry = attempt->entry,
                                         .request = attempt->request,
                                         .attempt = attempt->id,
                                         .service = attempt->service,
                                         .upstream = attempt->upstream->index,
                                         .ran = ran });
}

static void
reject (fake_net_t *net, const attempt_t *attempt, anvil_attempt_result_t result)
{
  record_end (net, attempt, FALSE);
  send_result (net, attempt, fake_net_now (net) + attempt->delay, result);
}

static void work_start (fake_net_t *net, attempt_t *attempt);

static void
start_waiting (fake_net_t *net, fake_upstream_t *upstream)
{
  while (upstream->running < upstream->slots && !g_queue_is_empty (&upstream->waiting))
    {
      guint64 attempt_id = GPOINTER_TO_SIZE (g_queue_pop_head (&upstream->waiting));
      attempt_t *attempt = find_attempt (net, attempt_id);

      if (attempt != NULL && attempt->deadline > fake_net_now (net))
        work_start (net, attempt);
    }
}

static void
work_end (void *context, void *data)
{
  fake_net_t *net = context;
  attempt_t *attempt = find_attempt (net, GPOINTER_TO_SIZE (data));
  fake_upstream_t *upstream = attempt->upstream;

  upstream->running--;
  record_end (net, attempt, TRUE);
  if (attempt->complete)
    {
      gint64 bits = net->options.config->services[attempt->service].response_bits;
      anvil_time_t transit = link_transit (net, upstream->region, attempt->entry_region, bits, 0);

      send_result (net, attempt, fake_net_now (net) + attempt->delay + transit,
                   ANVIL_ATTEMPT_ANSWERED);
    }
  start_waiting (net, upstream);
}

static void
work_start (fake_net_t *net, attempt_t *attempt)
{
  anvil_time_t now = fake_net_now (net);
  anvil_time_t length = fake_upstream_service_time (
      attempt->upstream, net->options.mean_service_time[attempt->service], net->random);
  anvil_time_t end = MIN (now + length, attempt->deadline);

  attempt->upstream->running++;
  attempt->complete = now + length <= attempt->deadline;
  if (g_rand_int_range (net->random, 0, 1000) < (gint) net->reset_per_mille)
    send_result (net, attempt,
                 now + (anvil_time_t) (g_rand_double (net->random) * (gdouble) (end - now)),
                 ANVIL_ATTEMPT_UNKNOWN);
  schedule_work (net, end, work_end, attempt);
}

static gboolean
load_shed (const fake_net_t *net, const fake_upstream_t *upstream)
{
  return g_rand_int_range (net->random, 0, 1000) < (gint) upstream->shed_per_mille;
}

static void
work_arrive (void *context, void *data)
{
  fake_net_t *net = context;
  attempt_t *attempt = find_attempt (net, GPOINTER_TO_SIZE (data));
  fake_upstream_t *upstream = attempt->upstream;

  if (attempt->deadline <= fake_net_now (net))
    record_end (net, attempt, FALSE);
  else if (upstream->down || load_shed (net, upstream))
    reject (net, attempt, ANVIL_ATTEMPT_NOT_RUN);
  else if (upstream->draining)
    reject (net, attempt, ANVIL_ATTEMPT_DRAINING);
  else if (upstream->running >= upstream->slots)
    g_queue_push_tail (&upstream->waiting, GSIZE_TO_POINTER (attempt->id));
  else
    work_start (net, attempt);
}

/* The entry stops waiting at the deadline that it set. */
static void
work_expire (void *context, void *data)
{
  fake_net_t *net = context;
  const attempt_t *attempt = find_attempt (net, GPOINTER_TO_SIZE (data));

  if (!attempt->reported)
    send_result (net, attempt, fake_net_now (net), ANVIL_ATTEMPT_UNKNOWN);
}

static void
work_remove (void *context, void *data)
{
  fake_net_t *net = context;
  const attempt_t *attempt = find_attempt (net, GPOINTER_TO_SIZE (data));

  if (!attempt->reported && net->entries[attempt->entry].process_epoch == attempt->process_epoch)
    schedule_work (net, fake_net_now (net) + ATTEMPT_RETENTION, work_remove, attempt);
  else
    g_hash_table_remove (net->attempts, data);
}

gboolean
fake_work_mark_reported (fake_net_t *net, guint64 attempt_id)
{
  attempt_t *attempt = find_attempt (net, attempt_id);

  if (attempt == NULL || attempt->reported)
    return FALSE;
  attempt->reported = TRUE;
  return TRUE;
}

void
fake_net_dispatch (fake_net_t *net,
                   guint entry_index,
                   const anvil_request_t *request,
                   const anvil_dispatch_t *dispatch)
{
  const fake_entry_t *entry = &net->entries[entry_index];
  guint upstream_index
      = anvil_config_lookup_upstream_key (net->options.config, dispatch->upstream_key);
  fake_upstream_t *upstream = &net->upstreams[upstream_index];
  gdouble left = (gdouble) (dispatch->deadline - fake_net_local_time (entry, fake_net_now (net)));
  attempt_t *attempt = g_new0 (attempt_t, 1);
  anvil_time_t transit;

  g_assert (dispatch->upstream_key == upstream->key);
  attempt->id = ++net->last_attempt;
  attempt->entry = entry_index;
  attempt->process_epoch = entry->process_epoch;
  attempt->entry_region = entry->region;
  attempt->request = request->id;
  attempt->service = request->service;
  attempt->upstream = upstream;
  attempt->delay = fake_net_one_way_delay (net, entry->zone, upstream->zone);
  attempt->deadline = fake_net_now (net) + (anvil_time_t) (left / entry->clock_rate);
  g_hash_table_insert (net->attempts, GSIZE_TO_POINTER (attempt->id), attempt);

  fake_net_record (net, (fake_record_t){ .kind = FAKE_DISPATCHED,
                                         .entry = entry_index,
                                         .request = request->id,
                                         .attempt = attempt->id,
                                         .service = request->service,
                                         .client = request->client_address,
                                         .idempotent = request->idempotent,
                                         .upstream = upstream_index,
                                         .slot = dispatch->slot,
                                         .deadline = attempt->deadline,
                                         .generation = dispatch->generation });
  if (dispatch->pace_bits_per_s > 0)
    record_paced_charge (net, attempt, entry->region, upstream->region, request->request_bits,
                         dispatch->pace_bits_per_s);
  else
    record_charge (net, attempt, entry->region, upstream->region, request->request_bits);
  record_charge (net, attempt, upstream->region, entry->region,
                 net->options.config->services[request->service].response_bits);
  transit = link_transit (net, entry->region, upstream->region, request->request_bits,
                          dispatch->pace_bits_per_s);
  schedule_work (net, fake_net_now (net) + attempt->delay + transit, work_arrive, attempt);
  schedule_work (net, attempt->deadline, work_expire, attempt);
  schedule_work (net, attempt->deadline + ATTEMPT_RETENTION, work_remove, attempt);
}
