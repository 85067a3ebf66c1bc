#include "anvil-load-run.h"

#include <netinet/in.h>

#include "anvil-load-arrivals.h"
#include "anvil-load-call.h"
#include "anvil-load-mix.h"
#include "anvil/log.h"

/* Start and end of the burst, as fractions of the run. */
#define BURST_START_FRACTION 0.4
#define BURST_END_FRACTION 0.6
/* Maximum time between the two requests with one key. */
#define MAX_REPEAT_DELAY_MS 400
/* The run ends this long after the longest deadline, even if requests have no outcome yet. */
#define GIVE_UP_DELAY (10 * ANVIL_SECOND)
#define CHECK_INTERVAL_US 50000L
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
  load_session_t session;
  GRand *rand;
  load_caller_t *callers;
  guint n_callers;
  stream_t *streams;
  guint n_streams;
  load_tally_t *tallies;
  load_keys_t *keys;
  struct event *finish_timer;
  anvil_time_t give_up_at;
  guint64 next_id;
  guint64 n_pending;
};

/* A scheduled second request with the same key. */
typedef struct
{
  load_run_t *run;
  load_caller_t *caller;
  guint service;
  load_request_spec_t spec;
  char *key;
  anvil_time_t scheduled_at;
} repeat_t;

static struct timeval
time_until (anvil_time_t at)
{
  anvil_time_t remaining = MAX (at - anvil_clock_now (), 0);

  return (struct timeval){ .tv_sec = remaining / ANVIL_SECOND,
                           .tv_usec = remaining % ANVIL_SECOND };
}

static void
on_request_finished (void *context, const load_request_t *request, const load_result_t *result)
{
  load_run_t *run = context;
  const anvil_service_t *service = &run->options.config->services[request->service];

  run->n_pending--;
  load_tally_add_outcome (&run->tallies[request->service], result->outcome, result->fault,
                          request->is_repeat, result->ended_at - request->scheduled_at);
  load_keys_record (run->keys, request->key != NULL ? request->key : request->id, request->service,
                    !service->idempotent, result->outcome, result->entry);
}

static void
start_request (load_run_t *run, load_caller_t *caller, load_request_t request)
{
  request.id = g_strdup_printf ("%08x-%" G_GUINT64_FORMAT, run->options.seed, run->next_id++);
  run->tallies[request.service].started++;
  run->tallies[request.service].repeats += request.is_repeat ? 1 : 0;
  run->n_pending++;
  load_call_start (&run->session, caller, request, on_request_finished, run);
}

static void
on_repeat_due (evutil_socket_t unused_socket, short unused_events, void *context)
{
  repeat_t *repeat = context;
  const load_key_t *first = load_keys_get (repeat->run->keys, repeat->key);
  load_request_t request = {
    .service = repeat->service,
    .spec = repeat->spec,
    .key = repeat->key,
    .scheduled_at = repeat->scheduled_at,
    .is_repeat = TRUE,
  };

  if (first != NULL)
    request.previous_entry = first->last_entry;
  repeat->run->n_pending--;
  start_request (repeat->run, repeat->caller, request);
  g_free (repeat);
}

/* Simulates callers that click twice, or retry before the response arrives. */
static void
schedule_repeat (load_run_t *run, load_caller_t *caller, const load_request_t *request)
{
  repeat_t *repeat;
  struct timeval delay;

  if ((guint) g_rand_int_range (run->rand, 0, 100) >= run->options.repeat_percent)
    return;
  repeat = g_new0 (repeat_t, 1);
  repeat->run = run;
  repeat->caller = caller;
  repeat->service = request->service;
  repeat->spec = request->spec;
  repeat->key = g_strdup (request->key);
  repeat->scheduled_at
      = request->scheduled_at + g_rand_int_range (run->rand, 0, MAX_REPEAT_DELAY_MS) * ANVIL_MS;
  delay = time_until (repeat->scheduled_at);
  run->n_pending++;
  event_base_once (run->session.base, -1, EV_TIMEOUT, on_repeat_due, repeat, &delay);
}

static void
start_scheduled_request (stream_t *stream, anvil_time_t scheduled_at)
{
  load_run_t *run = stream->run;
  guint index_in_region = (guint) g_rand_int_range (run->rand, 0, (gint) run->options.callers);
  load_caller_t *caller = &run->callers[stream->region * run->options.callers + index_in_region];
  load_request_t request = {
    .service = stream->service,
    .spec = load_mix_next (stream->mix),
    .scheduled_at = scheduled_at,
  };

  if (request.spec.kind != LOAD_BROWSE)
    {
      request.key
          = g_strdup_printf ("key-%08x-%" G_GUINT64_FORMAT, run->options.seed, run->next_id);
      schedule_repeat (run, caller, &request);
    }
  start_request (run, caller, request);
}

static void
on_stream_due (evutil_socket_t unused_socket, short unused_events, void *context)
{
  stream_t *stream = context;
  struct timeval delay;

  while (load_arrivals_peek (stream->arrivals) <= anvil_clock_now ())
    start_scheduled_request (stream, load_arrivals_pop (stream->arrivals));
  if (load_arrivals_peek (stream->arrivals) == LOAD_ARRIVALS_END)
    return;
  delay = time_until (load_arrivals_peek (stream->arrivals));
  event_add (stream->timer, &delay);
}

static gboolean
streams_finished (const load_run_t *run)
{
  for (guint i = 0; i < run->n_streams; i++)
    {
      if (load_arrivals_peek (run->streams[i].arrivals) != LOAD_ARRIVALS_END)
        return FALSE;
    }
  return TRUE;
}

static void
check_if_finished (evutil_socket_t unused_socket, short unused_events, void *context)
{
  load_run_t *run = context;

  if (streams_finished (run) && run->n_pending == 0)
    event_base_loopbreak (run->session.base);
  if (anvil_clock_now () < run->give_up_at)
    return;
  anvil_log (ANVIL_LOG_ERROR, "load",
             "run ended before all requests had an outcome requests=%" G_GUINT64_FORMAT,
             run->n_pending);
  event_base_loopbreak (run->session.base);
}

/* Draws an address from one of the region's blocks, except its first and its last address. */
static guint32
draw_address (const load_run_t *run, guint region)
{
  const anvil_config_t *config = run->options.config;
  guint chosen_block = ANVIL_NO_INDEX;
  guint n_blocks_seen = 0;
  guint32 last_offset;

  for (guint i = 0; i < config->n_blocks; i++)
    {
      if (config->blocks[i].region != region)
        continue;
      n_blocks_seen++;
      if (g_rand_int_range (run->rand, 0, (gint) n_blocks_seen) == 0)
        chosen_block = i;
    }
  if (chosen_block == ANVIL_NO_INDEX)
    return INADDR_LOOPBACK;
  last_offset = config->blocks[chosen_block].prefix_length < 32
                    ? (1u << (32 - config->blocks[chosen_block].prefix_length)) - 1
                    : 0;
  if (last_offset < 3)
    return config->blocks[chosen_block].address;
  return config->blocks[chosen_block].address + 1
         + (guint32) (g_rand_double (run->rand) * (last_offset - 1));
}

static void
create_callers (load_run_t *run)
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
    total += load_kind_weight (load_service_kind (&config->services[i]));
  return total;
}

static void
create_stream (load_run_t *run, stream_t *stream, guint index, anvil_time_t start)
{
  const anvil_config_t *config = run->options.config;
  const anvil_service_t *service = &config->services[index / config->n_regions];
  load_kind_t kind = load_service_kind (service);
  gdouble duration = (gdouble) run->options.duration;
  load_arrivals_options_t arrivals = {
    .rate_per_s = run->options.rate_per_s * load_kind_weight (kind)
                  / (total_weight (config) * config->n_regions),
    .burst_factor = kind == LOAD_UPLOAD ? run->options.burst_factor : 1,
    .burst_start = start + (anvil_time_t) (duration * BURST_START_FRACTION),
    .burst_end = start + (anvil_time_t) (duration * BURST_END_FRACTION),
    .end = start + run->options.duration,
  };

  stream->run = run;
  stream->service = index / config->n_regions;
  stream->region = index % config->n_regions;
  stream->arrivals = load_arrivals_new (&arrivals, start, g_rand_int (run->rand));
  stream->mix = load_mix_new (service, g_rand_int (run->rand));
  stream->timer = event_new (run->session.base, -1, 0, on_stream_due, stream);
}

static anvil_time_t
max_service_deadline (const anvil_config_t *config)
{
  anvil_time_t max_deadline = 0;

  for (guint i = 0; i < config->n_services; i++)
    max_deadline = MAX (max_deadline, config->services[i].deadline);
  return max_deadline;
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
  run->session = (load_session_t){
    .base = base,
    .config = config,
    .bootstrap = options->bootstrap,
    .n_bootstrap = options->n_bootstrap,
    .rand = g_rand_new_with_seed (g_rand_int (run->rand)),
  };
  create_callers (run);
  start = anvil_clock_now () + START_DELAY;
  run->give_up_at = start + options->duration + max_service_deadline (config) + GIVE_UP_DELAY;
  run->n_streams = config->n_services * config->n_regions;
  run->streams = g_new0 (stream_t, run->n_streams);
  for (guint i = 0; i < run->n_streams; i++)
    create_stream (run, &run->streams[i], i, start);
  run->finish_timer = event_new (base, -1, EV_PERSIST, check_if_finished, run);
  return run;
}

void
load_run_wait (load_run_t *run)
{
  static const struct timeval no_delay = { 0 };
  static const struct timeval interval = { .tv_usec = CHECK_INTERVAL_US };

  for (guint i = 0; i < run->n_streams; i++)
    event_add (run->streams[i].timer, &no_delay);
  event_add (run->finish_timer, &interval);
  event_base_dispatch (run->session.base);
  event_del (run->finish_timer);
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
  event_free (run->finish_timer);
  g_free (run->streams);
  g_free (run->callers);
  g_free (run->tallies);
  load_keys_drop (run->keys);
  g_rand_free (run->session.rand);
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
load_run_lookup_counts (const load_run_t *run,
                        guint64 *lookups,
                        guint64 *failed_lookups,
                        guint64 *failovers)
{
  *lookups = run->session.lookups;
  *failed_lookups = run->session.failed_lookups;
  *failovers = run->session.failovers;
}
