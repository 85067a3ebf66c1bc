#include "anvil-upstream-job.h"

#include <event2/buffer.h>
#include <math.h>
#include <string.h>

#include "anvil-upstream-connection.h"
#include "net/http-json.h"

#define LOAD_PATH "/load"
#define STANDIN_LOAD_PATH "/standin/load"
#define HEADER_BITS ((gint64) 200 * 8)
#define MAX_SERVICE_TIME_FACTOR 10
#define MAX_TIMEOUT_MS 600000

/* Progress of a job. */
typedef enum
{
  JOB_IN_TRANSIT,
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_RESPONDING,
} job_state_t;

/**
 * upstream_job - a request, from its receipt until its response is sent
 * @timer: end of the state; in JOB_QUEUED, the deadline if there is one
 * @disconnect_timer: when the upstream is notified that the caller disconnected
 * @deadline: when the run is stopped, 0 for no deadline
 * @will_expire: the run will be stopped at the deadline
 * @status: HTTP status of the response
 * @outcome: value of the Anvil-Upstream header, or NULL if the run finished
 * @caller_disconnected: whether the caller closed its connection
 * @is_load_request: requests the load report, which needs no slot
 */
struct upstream_job
{
  upstream_server_t *server;
  struct evhttp_request *request;
  upstream_path_t path;
  job_state_t state;
  struct event *timer;
  struct event *disconnect_timer;
  anvil_time_t deadline;
  gboolean will_expire;
  int status;
  const char *outcome;
  gboolean caller_disconnected;
  gboolean is_load_request;
};

static void
start_timer (struct event *timer, anvil_time_t delay)
{
  struct timeval time
      = { .tv_sec = MAX (delay, 0) / ANVIL_SECOND, .tv_usec = MAX (delay, 0) % ANVIL_SECOND };

  evtimer_add (timer, &time);
}

static const char *
request_header (const upstream_job_t *job, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (job->request), name);
}

static const char *
request_path (const upstream_job_t *job)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (job->request));

  return path != NULL ? path : "";
}

static gboolean
draw_fault (const upstream_job_t *job, guint percent)
{
  return percent > 0 && (guint) g_rand_int_range (job->server->context->random, 0, 100) < percent;
}

/* Frees a job without a slot; its request must be replied to, freed or owned by its connection. */
static void
job_close (upstream_job_t *job)
{
  g_hash_table_remove (job->server->jobs, job);
  event_free (job->timer);
  event_free (job->disconnect_timer);
  g_free (job);
}

static upstream_region_t *
region_totals (const upstream_server_t *server)
{
  return &server->context
              ->regions[anvil_config_upstream_region (server->context->config, server->index)];
}

static void
drop_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);

  if (connection != NULL)
    evhttp_connection_free (connection);
  else
    evhttp_request_free (request);
}

static void
send_load (upstream_job_t *job)
{
  const upstream_server_t *server = job->server;
  const upstream_load_report_t *load = &server->load_report;
  gint running = server->faults.lie_running;

  if (running == UPSTREAM_REPORT_ACTUAL_RUNNING)
    running = (gint) load->running;
  anvil_http_json_send (
      job->request, HTTP_OK,
      json_pack ("{s:i,s:i,s:b,s:b,s:I}", "running", running, "slots",
                 (int) server->upstream->slots, "healthy", load->healthy, "draining",
                 load->draining, "age_ms",
                 (json_int_t) ((anvil_clock_now () - load->sampled_at) / ANVIL_MS)));
}

static gsize
response_bytes (const upstream_job_t *job)
{
  return job->outcome == NULL && !job->is_load_request
             ? (gsize) (job->server->service->response_bits / 8)
             : 0;
}

/* The body is a line with the request's ID, then filler up to the service's response size. */
static void
fill_body (const upstream_job_t *job, struct evbuffer *body)
{
  static const char filler[] = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n";
  const char *id = request_header (job, "Anvil-Request-Id");
  gsize length = response_bytes (job);

  evbuffer_add_printf (body, "%s\n", id != NULL ? id : "");
  while (evbuffer_get_length (body) < length)
    evbuffer_add (body, filler, MIN (sizeof filler - 1, length - evbuffer_get_length (body)));
}

static void
repeat_attempt_id (const upstream_job_t *job)
{
  const char *id = request_header (job, "Anvil-Attempt-Id");

  if (id != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (job->request), "Anvil-Attempt-Id", id);
}

static void
send_response (upstream_job_t *job)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (job->request);
  struct evbuffer *body = evbuffer_new ();

  evhttp_add_header (headers, "Anvil-Server", job->server->upstream->name.data);
  if (job->outcome != NULL)
    evhttp_add_header (headers, "Anvil-Upstream", job->outcome);
  fill_body (job, body);
  if (job->outcome == NULL && draw_fault (job, job->server->faults.truncate_percent))
    {
      gsize length = evbuffer_get_length (body);
      char *text = g_strdup_printf ("%" G_GSIZE_FORMAT, length);
      struct evbuffer *half = evbuffer_new ();

      evhttp_add_header (headers, "Content-Length", text);
      evhttp_add_header (headers, "Connection", "close");
      evbuffer_remove_buffer (body, half, length / 2);
      evhttp_send_reply (job->request, job->status, NULL, half);
      evbuffer_free (half);
      g_free (text);
    }
  else
    evhttp_send_reply (job->request, job->status, NULL, body);
  evbuffer_free (body);
}

/* Sends the response, after its simulated network delay. */
static void
finish_response (upstream_job_t *job)
{
  struct evhttp_request *request = job->request;
  gboolean ran = job->outcome == NULL && !job->is_load_request;

  if (job->caller_disconnected || evhttp_request_get_connection (request) == NULL)
    {
      evhttp_request_free (request);
      job_close (job);
      return;
    }
  upstream_connection_set_idle (job->server, evhttp_request_get_connection (request));
  repeat_attempt_id (job);
  if (ran && draw_fault (job, job->server->faults.close_percent))
    drop_connection (request);
  else if (job->is_load_request)
    send_load (job);
  else
    send_response (job);
  job_close (job);
}

/* Starts the simulated network delay of the response. */
static void
start_response (upstream_job_t *job, int status, const char *outcome)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t sent = now;

  job->status = status;
  job->outcome = outcome;
  job->state = JOB_RESPONDING;
  if (job->path.response_link != NULL)
    sent = upstream_link_enqueue (job->path.response_link, now,
                                  (gint64) response_bytes (job) * 8 + HEADER_BITS);
  start_timer (job->timer, sent + job->path.delay - now);
}

static gdouble
cold_factor (upstream_job_t *job)
{
  upstream_server_t *server = job->server;
  gboolean cold = server->counts.runs <= server->cold_until_run;

  if (evhttp_request_get_command (job->request) == EVHTTP_REQ_GET
      && !upstream_cache_find_or_add (server->cache, request_path (job)))
    cold = TRUE;
  if (!cold)
    return 1;
  server->counts.cold++;
  return server->context->cold_factor;
}

/* Draws an exponentially distributed service time, limited to a multiple of its mean. */
static anvil_time_t
draw_service_time (upstream_job_t *job)
{
  const upstream_server_t *server = job->server;
  gdouble mean = (gdouble) server->context->service_times[server->upstream->service];
  gdouble draw = -log (1 - g_rand_double (server->context->random));

  mean *= cold_factor (job) * server->faults.slow_factor;
  return (anvil_time_t) (mean * MIN (draw, MAX_SERVICE_TIME_FACTOR));
}

static void
count_run (const upstream_job_t *job)
{
  upstream_run_counts_t *counts = job->server->context->run_counts;
  const char *service = job->server->service->name.data;
  const char *key = request_header (job, "Idempotency-Key");
  const char *id = request_header (job, "Anvil-Request-Id");

  if (key != NULL)
    upstream_run_counts_add (counts, key, service);
  if (id != NULL && (key == NULL || strcmp (id, key) != 0))
    upstream_run_counts_add (counts, id, service);
}

static void
start_run (upstream_job_t *job)
{
  upstream_server_t *server = job->server;
  upstream_region_t *region = region_totals (server);
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t time;

  server->running++;
  server->counts.runs++;
  server->mark.last_run_at = now;
  region->running++;
  region->peak_running = MAX (region->peak_running, region->running);
  count_run (job);

  time = draw_service_time (job);
  job->state = JOB_RUNNING;
  job->will_expire = job->deadline != 0 && now + time > job->deadline;
  start_timer (job->timer, job->will_expire ? job->deadline - now : time);
}

/* Releases the job's slot and starts the next job that waits. */
static void
release_slot (upstream_job_t *job)
{
  upstream_server_t *server = job->server;

  server->running--;
  region_totals (server)->running--;
  if (!g_queue_is_empty (&server->waiting))
    start_run (g_queue_pop_head (&server->waiting));
  if (server->running == 0)
    server->mark.idle_at = anvil_clock_now ();
}

static void
finish_run (upstream_job_t *job)
{
  upstream_counts_t *counts = &job->server->counts;

  if (job->will_expire)
    counts->expired++;
  else
    counts->finished++;
  release_slot (job);
  if (job->will_expire)
    start_response (job, 504, "expired");
  else
    start_response (job, HTTP_OK, NULL);
}

static void
reject_overload (upstream_job_t *job)
{
  job->server->counts.shed++;
  start_response (job, HTTP_SERVUNAVAIL, "shed");
}

static void
set_deadline (upstream_job_t *job, anvil_time_t now)
{
  const char *text = request_header (job, "Anvil-Timeout-Ms");
  guint64 ms;

  if (text != NULL && g_ascii_string_to_unsigned (text, 10, 0, MAX_TIMEOUT_MS, &ms, NULL))
    job->deadline = now + (anvil_time_t) ms * ANVIL_MS;
}

static void
enqueue (upstream_job_t *job, anvil_time_t now)
{
  upstream_server_t *server = job->server;
  guint waiting = g_queue_get_length (&server->waiting);

  server->counts.over_slots++;
  if (waiting >= server->context->max_queued)
    {
      reject_overload (job);
      return;
    }
  job->state = JOB_QUEUED;
  g_queue_push_tail (&server->waiting, job);
  server->counts.peak_wanted = MAX (server->counts.peak_wanted, server->running + waiting + 1);
  if (job->deadline != 0)
    start_timer (job->timer, job->deadline - now);
}

/* Handles a request after its simulated network delay. */
static void
handle_arrival (upstream_job_t *job)
{
  upstream_server_t *server = job->server;
  anvil_time_t now = anvil_clock_now ();

  if (job->is_load_request)
    {
      start_response (job, HTTP_OK, NULL);
      return;
    }
  server->mark.last_request_at = now;
  set_deadline (job, now);
  if (server->faults.drain)
    {
      server->counts.drained++;
      start_response (job, HTTP_SERVUNAVAIL, "draining");
    }
  else if (server->faults.shed)
    reject_overload (job);
  else if (server->running >= server->upstream->slots)
    enqueue (job, now);
  else
    {
      start_run (job);
      server->counts.peak_wanted = MAX (server->counts.peak_wanted, server->running);
    }
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  upstream_job_t *job = data;

  switch (job->state)
    {
    case JOB_IN_TRANSIT:
      handle_arrival (job);
      break;
    case JOB_QUEUED:
      g_queue_remove (&job->server->waiting, job);
      reject_overload (job);
      break;
    case JOB_RUNNING:
      finish_run (job);
      break;
    case JOB_RESPONDING:
      finish_response (job);
      break;
    }
}

/* Cancels a job after the network delay of its caller's disconnect. */
static void
on_disconnect_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  upstream_job_t *job = data;

  if (job->state == JOB_RESPONDING)
    return;
  job->server->counts.cancelled++;
  if (job->state == JOB_QUEUED)
    g_queue_remove (&job->server->waiting, job);
  if (job->state == JOB_RUNNING)
    release_slot (job);
  evhttp_request_free (job->request);
  job_close (job);
}

upstream_job_t *
upstream_job_open (upstream_server_t *server,
                   struct evhttp_request *request,
                   upstream_path_t path,
                   anvil_time_t connect_time)
{
  upstream_job_t *job = g_new0 (upstream_job_t, 1);
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t sent
      = path.request_link != NULL ? MAX (now, path.request_link->queue_empty_at) : now;

  job->server = server;
  job->request = request;
  job->path = path;
  job->is_load_request = strcmp (request_path (job), LOAD_PATH) == 0
                         || strcmp (request_path (job), STANDIN_LOAD_PATH) == 0;
  job->timer = evtimer_new (server->context->base, on_timer, job);
  job->disconnect_timer = evtimer_new (server->context->base, on_disconnect_timer, job);
  g_hash_table_add (server->jobs, job);
  evbuffer_drain (body, evbuffer_get_length (body));
  start_timer (job->timer, sent + path.delay + connect_time - now);
  return job;
}

void
upstream_job_caller_disconnected (upstream_job_t *job)
{
  job->caller_disconnected = TRUE;
  start_timer (job->disconnect_timer, job->path.delay);
}

void
upstream_job_abort (upstream_job_t *job)
{
  if (job->state == JOB_QUEUED)
    g_queue_remove (&job->server->waiting, job);
  if (job->state == JOB_RUNNING)
    {
      job->server->running--;
      region_totals (job->server)->running--;
    }
  job->server->counts.killed++;
  if (job->caller_disconnected)
    evhttp_request_free (job->request);
  job_close (job);
}
