#include "common-holder.h"

#include <time.h>

#include "steer/holder-pressure.h"
#include "steer/transit-time.h"

#define N_ZONES 9
#define N_REGIONS 3
/* Objects that an upstream is warm for. */
#define WARM_OBJECTS 18
#define COLD_RUN (1000 * ANVIL_MS)
#define WARM_RUN (300 * ANVIL_MS)
#define STEP (1 * ANVIL_MS)
/* One way between entries. */
#define DELAY (1 * ANVIL_MS)
/* Interval of the pings by which requesters learn of the holder. */
#define PING_INTERVAL (250 * ANVIL_MS)
/* Objects with these numbers are spread over the range of hashes. */
#define HASH_FACTOR G_GUINT64_CONSTANT (0x9E3779B97F4A7C15)

static const char *const regions[N_REGIONS] = { "west", "south", "east" };
static const char *const zones[N_ZONES] = { "west-a", "south-a", "east-a",  "west-b", "south-b",
                                            "east-b", "west-c",  "south-c", "east-c" };

/** upstream_cache_t - the objects that an upstream handled last, latest first */
typedef struct
{
  guint objects[WARM_OBJECTS];
  guint n;
} upstream_cache_t;

/**
 * request_t - a request of a caller, at its requester
 * @asked_at: when its slot was last requested
 * @ends_at: end of its run; 0 while it waits
 */
typedef struct
{
  guint64 number;
  guint requester;
  guint object;
  anvil_time_t arrived_at;
  anvil_time_t asked_at;
  guint n_asked;
  anvil_time_t granted_at;
  anvil_time_t ends_at;
} request_t;

typedef enum
{
  MESSAGE_REQUEST_SLOT,
  MESSAGE_FINISHED,
  MESSAGE_CANCEL,
} message_kind_t;

/** message_t - to the holder; @duration: of the run, 0 if the slot was not used */
typedef struct
{
  message_kind_t kind;
  anvil_time_t sent_at;
  anvil_task_t task;
  anvil_time_t duration;
} message_t;

/** decision_t - of the holder, on its way to a requester */
typedef struct
{
  anvil_time_t arrives_at;
  guint64 number;
  gboolean granted;
  guint upstream;
} decision_t;

struct holder_sim
{
  holder_sim_options_t options;
  anvil_dispatcher_t *dispatcher;
  GRand *random;
  anvil_time_t now;
  gdouble due;
  guint64 last_number;
  upstream_cache_t caches[HOLDER_SIM_UPSTREAMS];
  /* Index of upstreams by key. */
  GHashTable *index_by_key;
  /* request_t by number. */
  GHashTable *requests;
  /* message_t to the holder. */
  GQueue inbox;
  /* decision_t to requesters. */
  GQueue decisions;
  /* Processor time that the holder has, microseconds; below 0 while it works. */
  gdouble processor_us;
  anvil_time_t ticked_at;
  anvil_holder_pressure_t pressure;
  anvil_transit_t transits[HOLDER_SIM_REQUESTERS];
  /* What requesters have learnt of the holder, and when. */
  guint refused_share;
  anvil_time_t round_trip;
  anvil_time_t pinged_at;
  /* Times until refusals. */
  GArray *refusals;
  guint n_served;
  guint n_on_time;
  guint n_held;
  holder_sim_result_t result;
};

static guint64
processor_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (guint64) time.tv_sec * 1000000000u + (guint64) time.tv_nsec;
}

/* Whether the upstream was warm for the object. */
static gboolean
use_object (upstream_cache_t *cache, guint object)
{
  guint found = 0;
  gboolean warm;

  while (found < cache->n && cache->objects[found] != object)
    found++;
  warm = found < cache->n;
  if (!warm && cache->n < WARM_OBJECTS)
    cache->n++;
  for (guint i = MIN (found, cache->n - 1); i > 0; i--)
    cache->objects[i] = cache->objects[i - 1];
  cache->objects[0] = object;
  return warm;
}

static void
decide (holder_sim_t *sim, guint64 number, gboolean granted, guint upstream)
{
  decision_t *decision = g_new0 (decision_t, 1);

  *decision = (decision_t){
    .arrives_at = sim->now + DELAY, .number = number, .granted = granted, .upstream = upstream
  };
  g_queue_push_tail (&sim->decisions, decision);
}

static void
on_grant (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant)
{
  holder_sim_t *sim = context;

  decide (sim, id.number, TRUE,
          GPOINTER_TO_UINT (g_hash_table_lookup (sim->index_by_key, &grant->upstream)));
}

static void
on_refuse (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
  decide (context, id.number, FALSE, 0);
}

static const anvil_dispatcher_callbacks_t callbacks = { .grant = on_grant, .refuse = on_refuse };

static void
add_upstream (holder_sim_t *sim, guint index)
{
  char *id = g_strdup_printf ("i-%u", index);
  const anvil_registered_upstream_t upstream = { .key = anvil_str_hash (anvil_str (id)),
                                                 .id = id,
                                                 .service = (char *) "archive",
                                                 .zone = (char *) zones[index % N_ZONES],
                                                 .address = 1,
                                                 .port = 1,
                                                 .slots = HOLDER_SIM_SLOTS };

  g_hash_table_insert (sim->index_by_key, g_memdup2 (&upstream.key, sizeof upstream.key),
                       GUINT_TO_POINTER (index));
  anvil_dispatcher_update_upstream (sim->dispatcher, sim->now, &upstream,
                                    anvil_str (regions[index % N_REGIONS]), ANVIL_REGISTRY_JOINED);
  for (guint i = 0; sim->options.warm && i < WARM_OBJECTS; i++)
    {
      const guint object = (index * WARM_OBJECTS + i) % HOLDER_SIM_OBJECTS + 1;

      use_object (&sim->caches[index], object);
      anvil_dispatcher_add_warm_object (sim->dispatcher, sim->now, anvil_str ("archive"),
                                        object * HASH_FACTOR, upstream.key);
    }
  g_free (id);
}

holder_sim_t *
holder_sim_new (const holder_sim_options_t *options)
{
  const anvil_dispatcher_limits_t limits = { .retry_ratio = 0.2,
                                             .retry_extra = 184,
                                             .retry_window = 10 * ANVIL_SECOND,
                                             .cold_factor = 1.5,
                                             .cold_extra = 8,
                                             .max_shift = 0.15 };
  const anvil_service_t archive
      = { .name = "archive", .cold_time = 3 * ANVIL_SECOND, .cold_per_second = 3.3 };
  holder_sim_t *sim = g_new0 (holder_sim_t, 1);

  sim->options = *options;
  sim->now = ANVIL_SECOND;
  sim->random = g_rand_new_with_seed (1);
  sim->index_by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sim->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  sim->refusals = g_array_new (FALSE, FALSE, sizeof (anvil_time_t));
  sim->dispatcher = anvil_dispatcher_new (&limits, &callbacks, sim);
  anvil_dispatcher_set_service (sim->dispatcher, &archive);
  for (guint i = 0; i < HOLDER_SIM_UPSTREAMS; i++)
    add_upstream (sim, i);
  return sim;
}

void
holder_sim_drop (holder_sim_t *sim)
{
  anvil_dispatcher_drop (sim->dispatcher);
  g_queue_clear_full (&sim->inbox, g_free);
  g_queue_clear_full (&sim->decisions, g_free);
  g_hash_table_unref (sim->requests);
  g_hash_table_unref (sim->index_by_key);
  g_array_unref (sim->refusals);
  g_rand_free (sim->random);
  g_free (sim);
}

static void
send (holder_sim_t *sim, message_kind_t kind, const request_t *request, anvil_time_t duration)
{
  message_t *message = g_new0 (message_t, 1);

  message->kind = kind;
  message->sent_at = sim->now;
  message->duration = duration;
  message->task = (anvil_task_t){
    .id = { .requester = request->requester + 1, .number = request->number },
    .service = anvil_str ("archive"),
    .object = request->object * HASH_FACTOR,
    .region = anvil_str (regions[request->requester % N_REGIONS]),
    .zone = anvil_str (zones[request->requester % N_ZONES]),
    .kind = ANVIL_ROUTE_SAFE,
    .route_class = 1,
    .priority = 2,
    .target = request->arrived_at + HOLDER_SIM_TARGET - sim->now,
    .deadline = request->arrived_at + HOLDER_SIM_TIMEOUT - sim->now,
  };
  g_queue_push_tail (&sim->inbox, message);
}

static void
request_slot (holder_sim_t *sim, request_t *request)
{
  request->asked_at = sim->now;
  request->n_asked++;
  send (sim, MESSAGE_REQUEST_SLOT, request, 0);
}

static void
refuse (holder_sim_t *sim, const request_t *request)
{
  const anvil_time_t took = sim->now - request->arrived_at;

  g_array_append_val (sim->refusals, took);
}

static void
arrive (holder_sim_t *sim)
{
  request_t *request = g_new0 (request_t, 1);

  request->number = ++sim->last_number;
  request->requester = (guint) g_rand_int_range (sim->random, 0, HOLDER_SIM_REQUESTERS);
  request->object = (guint) g_rand_int_range (sim->random, 1, HOLDER_SIM_OBJECTS + 1);
  request->arrived_at = sim->now;
  if (anvil_holder_refuses (sim->refused_share))
    {
      refuse (sim, request);
      g_free (request);
      return;
    }
  g_hash_table_insert (sim->requests, &request->number, request);
  request_slot (sim, request);
}

/* The answer has reached the requester. */
static void
finish (holder_sim_t *sim, const request_t *request)
{
  sim->n_served++;
  sim->n_on_time += sim->now - request->arrived_at <= HOLDER_SIM_TARGET;
  send (sim, MESSAGE_FINISHED, request, sim->now - request->granted_at);
}

/* Ends runs, gives up at the deadline, and asks again; TRUE if the request has ended. */
static gboolean
update_request (gpointer unused_key, gpointer value, gpointer data)
{
  holder_sim_t *sim = data;
  request_t *request = value;

  if (request->ends_at > 0 && sim->now >= request->ends_at)
    {
      finish (sim, request);
      return TRUE;
    }
  if (sim->now - request->arrived_at >= HOLDER_SIM_TIMEOUT)
    {
      sim->n_held++;
      send (sim, request->ends_at > 0 ? MESSAGE_FINISHED : MESSAGE_CANCEL, request, 0);
      return TRUE;
    }
  if (request->ends_at == 0
      && sim->now - request->asked_at
             >= anvil_slot_request_interval (request->n_asked, sim->round_trip))
    request_slot (sim, request);
  return FALSE;
}

static void
take_decision (holder_sim_t *sim, const decision_t *decision)
{
  request_t *request = g_hash_table_lookup (sim->requests, &decision->number);

  if (request == NULL)
    {
      const request_t gone = { .number = decision->number };

      if (decision->granted)
        send (sim, MESSAGE_FINISHED, &gone, 0);
      return;
    }
  if (request->ends_at > 0)
    return;
  if (!decision->granted)
    {
      refuse (sim, request);
      g_hash_table_remove (sim->requests, &decision->number);
      return;
    }
  request->granted_at = sim->now;
  request->ends_at
      = sim->now
        + (use_object (&sim->caches[decision->upstream], request->object) ? WARM_RUN : COLD_RUN);
}

static void
deliver_decisions (holder_sim_t *sim)
{
  decision_t *decision;

  while ((decision = g_queue_peek_head (&sim->decisions)) != NULL
         && decision->arrives_at <= sim->now)
    {
      take_decision (sim, decision);
      g_free (g_queue_pop_head (&sim->decisions));
    }
}

static void
handle (holder_sim_t *sim, message_t *message)
{
  const guint64 start = processor_ns ();
  const anvil_run_report_t report
      = { .result = message->duration > 0 ? ANVIL_RUN_ANSWERED : ANVIL_RUN_UNUSED,
          .duration = message->duration };
  anvil_time_t delay;

  switch (message->kind)
    {
    case MESSAGE_REQUEST_SLOT:
      delay = anvil_transit_add (&sim->transits[message->task.id.requester - 1], sim->now,
                                 message->sent_at);
      anvil_holder_pressure_add (&sim->pressure, delay);
      message->task.target += sim->now - delay;
      message->task.deadline += sim->now - delay;
      if (message->task.deadline <= sim->now)
        return;
      anvil_dispatcher_submit (sim->dispatcher, sim->now, &message->task);
      sim->result.submit_ns += processor_ns () - start;
      return;
    case MESSAGE_FINISHED:
      anvil_dispatcher_run_finished (sim->dispatcher, sim->now, message->task.id, &report);
      sim->result.finish_ns += processor_ns () - start;
      return;
    case MESSAGE_CANCEL:
      anvil_dispatcher_cancel (sim->dispatcher, sim->now, message->task.id);
      return;
    }
}

static void
tick (holder_sim_t *sim)
{
  const guint64 start = processor_ns ();
  guint64 spent;

  sim->ticked_at = sim->now;
  anvil_holder_pressure_tick (&sim->pressure, sim->now);
  anvil_dispatcher_tick (sim->dispatcher, sim->now);
  spent = processor_ns () - start;
  sim->result.tick_ns += spent;
  sim->result.longest_tick_ns = MAX (sim->result.longest_tick_ns, spent);
}

/* Charges the comparisons since @before, and a message if there was one. */
static guint64
charge (holder_sim_t *sim, guint64 before, guint n_messages)
{
  const guint64 n = anvil_dispatcher_work (sim->dispatcher)->n_compared - before;

  sim->result.n_compared += n;
  if (sim->options.processor_share > 0)
    sim->processor_us
        -= (gdouble) n * sim->options.compare_us + (gdouble) n_messages * sim->options.message_us;
  return n;
}

/* Lets the holder work for one step, as far as its processor goes. */
static void
work (holder_sim_t *sim)
{
  const gboolean is_limited = sim->options.processor_share > 0;
  guint64 before = anvil_dispatcher_work (sim->dispatcher)->n_compared;

  sim->processor_us = MIN (sim->processor_us + sim->options.processor_share * (gdouble) STEP,
                           sim->options.processor_share * (gdouble) STEP);
  if (is_limited && sim->processor_us <= 0)
    return;
  if (sim->now - sim->ticked_at >= ANVIL_DISPATCHER_TICK_INTERVAL)
    {
      tick (sim);
      sim->result.most_compared = MAX (sim->result.most_compared, charge (sim, before, 0));
    }
  while ((!is_limited || sim->processor_us > 0) && !g_queue_is_empty (&sim->inbox)
         && ((message_t *) g_queue_peek_head (&sim->inbox))->sent_at + DELAY <= sim->now)
    {
      message_t *message = g_queue_pop_head (&sim->inbox);

      before = anvil_dispatcher_work (sim->dispatcher)->n_compared;
      handle (sim, message);
      charge (sim, before, 1);
      g_free (message);
    }
}

/* A ping's answer tells the share, and takes as long as the messages before it. */
static void
ping (holder_sim_t *sim)
{
  const message_t *oldest = g_queue_peek_head (&sim->inbox);

  if (sim->now - sim->pinged_at < PING_INTERVAL)
    return;
  sim->pinged_at = sim->now;
  sim->refused_share = sim->pressure.refused_share;
  sim->round_trip = 2 * DELAY + (oldest != NULL ? sim->now - oldest->sent_at : 0);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const anvil_time_t x = *(const anvil_time_t *) a;
  const anvil_time_t y = *(const anvil_time_t *) b;

  return (x > y) - (x < y);
}

static holder_sim_result_t
take_result (holder_sim_t *sim)
{
  holder_sim_result_t result = sim->result;
  const guint n_refused = sim->refusals->len;
  gdouble n;

  result.n = sim->n_served + n_refused + sim->n_held;
  n = MAX (result.n, 1);
  result.served = sim->n_served / n;
  result.on_time = sim->n_on_time / n;
  result.refused = n_refused / n;
  result.held = sim->n_held / n;
  g_array_sort (sim->refusals, compare_times);
  if (n_refused > 0)
    result.median_refusal = g_array_index (sim->refusals, anvil_time_t, n_refused / 2);
  g_array_set_size (sim->refusals, 0);
  sim->n_served = sim->n_on_time = sim->n_held = 0;
  sim->result = (holder_sim_result_t){ 0 };
  return result;
}

holder_sim_result_t
holder_sim_run (holder_sim_t *sim, anvil_time_t length)
{
  const anvil_time_t until = sim->now + length;

  for (; sim->now < until; sim->now += STEP)
    {
      sim->due += sim->options.per_second * (gdouble) STEP / (gdouble) ANVIL_SECOND;
      for (; sim->due >= 1; sim->due -= 1)
        arrive (sim);
      deliver_decisions (sim);
      g_hash_table_foreach_remove (sim->requests, update_request, sim);
      work (sim);
      ping (sim);
    }
  return take_result (sim);
}

void
holder_sim_set_rate (holder_sim_t *sim, gdouble per_second)
{
  sim->options.per_second = per_second;
}
