#include "anvil-load-run.h"

#include <netinet/in.h>

#include "anvil-load-arrivals.h"
#include "anvil-load-call.h"
#include "anvil-load-mix.h"
#include "anvil/log.h"

/* The burst lasts from and until these shares of the run. */
#define BURST_FROM_SHARE 0.4
#define BURST_UNTIL_SHARE 0.6
/* A key is sent again so long after its first request was, at most. */
#define MAX_REPEAT_DELAY_MS 400
/* Requests that have no outcome so long after the longest deadline are given up. */
#define OVERDUE (10 * ANVIL_SECOND)
#define CHECK_INTERVAL_US 50000L
/* Time between the drawing of the schedule and its start. */
#define START_DELAY (100 * ANVIL_MS)

typedef struct
{
  load_run_t *run;
  guint service;
  guint region;
  load_arrivals_t *arrivals;
  load_mix_t *mix;
  struct event *timer;
} stream_t;

struct load_run
{
  load_run_options_t options;
  load_client_t client;
  GRand *rand;
  load_caller_t *callers;
  guint n_callers;
  stream_t *streams;
  guint n_streams;
  load_tally_t *tallies;
  load_keys_t *keys;
  struct event *checker;
  anvil_time_t overdue_at;
  guint64 next_id;
  guint64 under_way;
};

/* A key that is to be sent again. */
typedef struct
{
  load_run_t *run;
  load_caller_t *caller;
  guint service;
  load_plan_t plan;
  char *key;
  anvil_time_t due;
} repeat_t;

static struct timeval
time_until (anvil_time_t at)
{
  anvil_time_t left = MAX (at - anvil_clock_now (), 0);

  return (struct timeval){ .tv_sec = left / ANVIL_SECOND, .tv_usec = left % ANVIL_SECOND };
}

static void
request_ended (void *context, const load_request_t *request, const load_result_t *result)
{
  load_run_t *run = context;
  const anvil_service_t *service = &run->options.config->services[request->service];

  run->under_way--;
  load_tally_end (&run->tallies[request->service], result->outcome, result->fault, request->repeat,
                  result->ended - request->intended);
  load_keys_add (run->keys, request->key != NULL ? request->key : request->id, request->service,
                 !service->idempotent, result->outcome, result->entry);
}

static void
start_request (load_run_t *run, load_caller_t *caller, load_request_t request)
{
  request.id = g_strdup_printf ("%08x-%" G_GUINT64_FORMAT, run->options.seed, run->next_id++);
  run->tallies[request.service].started++;
  run->tallies[request.service].repeats += request.repeat ? 1 : 0;
  run->under_way++;
  load_call_start (&run->client, caller, request, request_ended, run);
}

static void
repeat_due (evutil_socket_t unused_socket, short unused_what, void *context)
{
  repeat_t *repeat = context;
  const load_key_t *first = load_keys_get (repeat->run->keys, repeat->key);
  load_request_t request = {
    .service = repeat->service,
    .plan = repeat->plan,
    .key = repeat->key,
    .intended = repeat->due,
    .repeat = TRUE,
  };

  if (first != NULL)
    request.avoid = first->entry;
  repeat->run->under_way--;
  start_request (repeat->run, repeat->caller, request);
  g_free (repeat);
}

/* Some callers press the button twice, or try again before the answer is there. */
static void
plan_repeat (load_run_t *run, load_caller_t *caller, const load_request_t *request)
{
  repeat_t *repeat;
  struct timeval delay;

  if ((guint) g_rand_int_range (run->rand, 0, 100) >= run->options.repeat_percent)
    return;
  repeat = g_new0 (repeat_t, 1);
  repeat->run = run;
  repeat->caller = caller;
  repeat->service = request->service;
  repeat->plan = request->plan;
  repeat->key = g_strdup (request->key);
  repeat->due = request->intended + g_rand_int_range (run->rand, 0, MAX_REPEAT_DELAY_MS) * ANVIL_MS;
  delay = time_until (repeat->due);
  run->under_way++;
  event_base_once (run->client.base, -1, EV_TIMEOUT, repeat_due, repeat, &delay);
}

static void
send_one (stream_t *stream, anvil_time_t intended)
{
  load_run_t *run = stream->run;
  guint in_region = (guint) g_rand_int_range (run->rand, 0, (gint) run->options.callers);
  load_caller_t *caller = &run->callers[stream->region * run->options.callers + in_region];
  load_request_t request = {
    .service = stream->service,
    .plan = load_mix_next (stream->mix),
    .intended = intended,
  };

  if (request.plan.kind != LOAD_BROWSE)
    {
      request.key
          = g_strdup_printf ("key-%08x-%" G_GUINT64_FORMAT, run->options.seed, run->next_id);
      plan_repeat (run, caller, &request);
    }
  start_request (run, caller, request);
}

static void
stream_due (evutil_socket_t unused_socket, short unused_what, void *context)
{
  stream_t *stream = context;
  struct timeval delay;

  while (load_arrivals_peek (stream->arrivals) <= anvil_clock_now ())
    send_one (stream, load_arrivals_take (stream->arrivals));
  if (load_arrivals_peek (stream->arrivals) == LOAD_ARRIVALS_END)
    return;
  delay = time_until (load_arrivals_peek (stream->arrivals));
  event_add (stream->timer, &delay);
}

static gboolean
streams_ended (const load_run_t *run)
{
  for (guint i = 0; i < run->n_streams; i++)
    {
      if (load_arrivals_peek (run->streams[i].arrivals) != LOAD_ARRIVALS_END)
        return FALSE;
    }
  return TRUE;
}

static void
check_ended (evutil_socket_t unused_socket, short unused_what, void *context)
{
  load_run_t *run = context;

  if (streams_ended (run) && run->under_way == 0)
    event_base_loopbreak (run->client.base);
  if (anvil_clock_now () < run->overdue_at)
    return;
  anvil_log (ANVIL_LOG_ERROR, "load", "gave up waiting requests=%" G_GUINT64_FORMAT,
             run->under_way);
  event_base_loopbreak (run->client.base);
}

/* Draws a host of one of the region's blocks, neither its first nor its last address. */
static guint32
draw_address (const load_run_t *run, guint region)
{
  const anvil_config_t *config = run->options.config;
  guint chosen = ANVIL_NO_INDEX;
  guint seen = 0;
  guint32 hosts;

  for (guint i = 0; i < config->n_blocks; i++)
    {
      if (config->blocks[i].region != region)
        continue;
      seen++;
      if (g_rand_int_range (run->rand, 0, (gint) seen) == 0)
        chosen = i;
    }
  if (chosen == ANVIL_NO_INDEX)
    return INADDR_LOOPBACK;
  hosts = config->blocks[chosen].prefix_length < 32
              ? (1u << (32 - config->blocks[chosen].prefix_length)) - 1
              : 0;
  if (hosts < 3)
    return config->blocks[chosen].address;
  return config->blocks[chosen].address + 1 + (guint32) (g_rand_double (run->rand) * (hosts - 1));
}

static void
draw_callers (load_run_t *run)
{
  const anvil_config_t *config = run->options.config;

  run->n_callers = config->n_regions * run->options.callers;
  run->callers = g_new0 (load_caller_t, run->n_callers);
  for (guint i = 0; i < run->n_callers; i++)
    {
      run->callers[i].region = i / run->options.callers;
      run->callers[i].address = draw_address (run, run->callers[i].region);
      run->callers[i].cache = load_cache_new (config->n_services);
    }
}

static guint
total_weight (const anvil_config_t *config)
{
  guint total = 0;

  for (guint i = 0; i < config->n_services; i++)
    total += load_kind_weight (load_kind_of (&config->services[i]));
  return total;
}

static void
draw_stream (load_run_t *run, stream_t *stream, guint index, anvil_time_t start)
{
  const anvil_config_t *config = run->options.config;
  const anvil_service_t *service = &config->services[index / config->n_regions];
  load_kind_t kind = load_kind_of (service);
  gdouble duration = (gdouble) run->options.duration;
  load_arrivals_options_t arrivals = {
    .rate_per_s = run->options.rate_per_s * load_kind_weight (kind)
                  / (total_weight (config) * config->n_regions),
    .burst_factor = kind == LOAD_UPLOAD ? run->options.burst_factor : 1,
    .burst_from = start + (anvil_time_t) (duration * BURST_FROM_SHARE),
    .burst_until = start + (anvil_time_t) (duration * BURST_UNTIL_SHARE),
    .until = start + run->options.duration,
  };

  stream->run = run;
  stream->service = index / config->n_regions;
  stream->region = index % config->n_regions;
  stream->arrivals = load_arrivals_new (&arrivals, start, g_rand_int (run->rand));
  stream->mix = load_mix_new (service, g_rand_int (run->rand));
  stream->timer = event_new (run->client.base, -1, 0, stream_due, stream);
}

static anvil_time_t
longest_deadline (const anvil_config_t *config)
{
  anvil_time_t longest = 0;

  for (guint i = 0; i < config->n_services; i++)
    longest = MAX (longest, config->services[i].deadline);
  return longest;
}

load_run_t *
load_run_new (struct event_base *base, const load_run_options_t *options)
{
  load_run_t *run = g_new0 (load_run_t, 1);
  const anvil_config_t *config = options->config;
  anvil_time_t start;

  run->options = *options;
  run->options.config = anvil_config_keep (options->config);
  run->rand = g_rand_new_with_seed (options->seed);
  run->keys = load_keys_new ();
  run->tallies = g_new0 (load_tally_t, config->n_services);
  for (guint i = 0; i < config->n_services; i++)
    run->tallies[i].latency = load_histogram_new ();
  run->client = (load_client_t){
    .base = base,
    .config = config,
    .bootstrap = options->bootstrap,
    .n_bootstrap = options->n_bootstrap,
    .rand = g_rand_new_with_seed (g_rand_int (run->rand)),
  };
  draw_callers (run);
  start = anvil_clock_now () + START_DELAY;
  run->overdue_at = start + options->duration + longest_deadline (config) + OVERDUE;
  run->n_streams = config->n_services * config->n_regions;
  run->streams = g_new0 (stream_t, run->n_streams);
  for (guint i = 0; i < run->n_streams; i++)
    draw_stream (run, &run->streams[i], i, start);
  run->checker = event_new (base, -1, EV_PERSIST, check_ended, run);
  return run;
}

void
load_run_wait (load_run_t *run)
{
  static const struct timeval at_once = { 0 };
  static const struct timeval interval = { .tv_usec = CHECK_INTERVAL_US };

  for (guint i = 0; i < run->n_streams; i++)
    event_add (run->streams[i].timer, &at_once);
  event_add (run->checker, &interval);
  event_base_dispatch (run->client.base);
  event_del (run->checker);
}

void
load_run_drop (load_run_t *run)
{
  if (run == NULL)
    return;
  for (guint i = 0; i < run->n_streams; i++)
    {
      load_arrivals_drop (run->streams[i].arrivals);
      load_mix_drop (run->streams[i].mix);
      event_free (run->streams[i].timer);
    }
  for (guint i = 0; i < run->n_callers; i++)
    load_cache_drop (run->callers[i].cache);
  for (guint i = 0; i < run->options.config->n_services; i++)
    load_histogram_drop (run->tallies[i].latency);
  event_free (run->checker);
  g_free (run->streams);
  g_free (run->callers);
  g_free (run->tallies);
  load_keys_drop (run->keys);
  g_rand_free (run->client.rand);
  g_rand_free (run->rand);
  anvil_config_drop (run->options.config);
  g_free (run);
}

const load_tally_t *
load_run_tallies (const load_run_t *run)
{
  return run->tallies;
}

const load_keys_t *
load_run_keys (const load_run_t *run)
{
  return run->keys;
}

void
load_run_lookups (const load_run_t *run,
                  guint64 *lookups,
                  guint64 *failed_lookups,
                  guint64 *failovers)
{
  *lookups = run->client.lookups;
  *failed_lookups = run->client.failed_lookups;
  *failovers = run->client.failovers;
}
