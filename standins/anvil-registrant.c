/*
 * anvil-registrant: stand-in for an upstream that registers itself in the store, for tests.
 *
 * It runs requests in its slots and queues a limited number of others. A request for an object
 * that it has handled before takes --warm-ms, any other --work-ms. The query of a request can
 * select another behaviour:
 *   work=MS          duration of the run
 *   fault=KIND       faulty response:
 *     reset            TCP reset instead of a response
 *     truncate         body shorter than Content-Length
 *     garbage          bytes that are not HTTP
 *     unsigned         no Server-Stamp header
 *     error            status 500
 *     rejected         status 503 with Not-Run; the request isn't run
 *     refused-once     status 503 with Not-Run the first time; if it comes again on the same
 *                      connection, a copy of that comes before the response of the run
 *     unframed         body without Content-Length that ends with the connection
 *     stray            a response to another request comes first
 *     copies           the response comes twice
 *     endless-PLACE    bytes without end, until the caller closes; PLACE as in endless.c
 *   status=CODE      status of the response
 *   retry-after=TEXT Retry-After of the response
 *   size=BYTES       length of the body, with fault=error
 *   echo=headers     the response's body includes the headers of the request
 * GET /runs returns the number of runs by request ID: {"ID": COUNT}. POST /limit?value=TEXT makes
 * it name a request limit in its responses, an empty TEXT ends that. POST /speed?value=TEXT alike
 * makes TEXT the fourth figure of its Server-Load, and runs take that percentage of their time if
 * it is a number of 1 to 100,000. POST /leaving?value=1 makes it say in its responses that it
 * leaves, whatever its row says; an empty value ends that. POST /retry-after?value=TEXT makes it
 * refuse all requests with that Retry-After, until the value is empty. SIGTERM starts a drain. With
 * --runs, lines are appended to a file: "start TIME UPSTREAM" when the process starts, "run TIME
 * ID" for each run, "limit TIME TEXT" for each request to name a limit ("-" to end it), "leaving
 * TIME TEXT" and "retry-after TIME TEXT" alike, "arrived TIME ID" for each request that isn't
 * answered with 421, "refused TIME ID" for each request that it refuses with a Retry-After, "copied
 * TIME ID" for each copy of a refusal, and "draining TIME -" when the store has accepted the row
 * that announces the drain. Times are in microseconds since 1970.
 */

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "anvil-registrant.h"
#include "anvil/clock.h"
#include "anvil/log.h"

#define STORE_TIMEOUT (1 * ANVIL_SECOND)
#define STATUS_MISDIRECTED 421
#define STATUS_ERROR 500
#define MAX_COUNT 1000000

static void
set_header (struct evhttp_request *request, const char *name, const char *value)
{
  if (value != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
respond (upstream_t *upstream, struct evhttp_request *request, int status, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  char *load = g_strdup_printf ("%u,%u,%" G_GINT64_FORMAT "%s%s", upstream->running,
                                upstream->waiting.length, upstream->settings[SLOTS].integer,
                                upstream->speed != NULL ? "," : "",
                                upstream->speed != NULL ? upstream->speed : "");

  set_header (request, "Request-Id", registrant_request_header (request, "Request-Id"));
  set_header (request, "Server-Load", load);
  set_header (request, "Server-Limit", upstream->request_limit);
  set_header (request, "Server-Leaving", upstream->leaving);
  evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  g_free (load);
}

/* Body of a response to a request that was run: identifies the upstream and the request. */
static char *
response_body (const upstream_t *upstream, struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  const char *uri = evhttp_request_get_uri (request);
  const struct evkeyval *header;
  GString *text = g_string_new (NULL);

  g_string_printf (text, "%s %s %s %zu", upstream->settings[ID].text, uri,
                   registrant_request_header (request, "Request-Id"), evbuffer_get_length (body));
  if (strstr (uri, "echo=headers") != NULL)
    TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  g_string_append_printf (text, "\n%s: %s", header->key, header->value);
  return g_string_free (text, FALSE);
}

static void start_queued_jobs (upstream_t *upstream);

static void
job_drop (registrant_job_t *job)
{
  event_free (job->timer);
  g_free (job->fault);
  g_free (job);
}

static void
on_job_finished (evutil_socket_t unused_fd, short unused_what, void *data)
{
  registrant_job_t *job = data;
  upstream_t *upstream = job->upstream;
  char *text = response_body (upstream, job->request);

  upstream->running--;
  evhttp_connection_set_closecb (evhttp_request_get_connection (job->request), NULL, NULL);
  if (strcmp (job->fault, "error") == 0)
    {
      set_header (job->request, "Server-Stamp", "x");
      g_free (text);
      text = job->size > 0 ? g_strnfill (job->size, 'x') : g_strdup ("failed");
      respond (upstream, job->request, job->status, text);
    }
  else if (job->fault[0] != '\0' && strcmp (job->fault, "unsigned") != 0
           && strcmp (job->fault, "copies") != 0)
    registrant_send_faulty_response (job, text);
  else
    {
      if (strcmp (job->fault, "copies") == 0)
        registrant_send_copy (job->request, text);
      if (strcmp (job->fault, "unsigned") != 0)
        set_header (job->request, "Server-Stamp", upstream->settings[ID].text);
      respond (upstream, job->request, job->status, text);
    }
  g_free (text);
  job_drop (job);
  start_queued_jobs (upstream);
}

/* A request is cancelled when its connection closes. */
static void
on_caller_disconnected (struct evhttp_connection *connection, void *data)
{
  registrant_job_t *job = data;
  upstream_t *upstream = job->upstream;

  if (!g_queue_remove (&upstream->waiting, job))
    upstream->running--;
  job_drop (job);
  start_queued_jobs (upstream);
}

/* Percentage of their time that runs take. */
static guint
speed_of (const upstream_t *upstream)
{
  char *end;
  guint64 percent = upstream->speed != NULL ? g_ascii_strtoull (upstream->speed, &end, 10) : 0;

  return percent >= 1 && percent <= 100000 && *end == '\0' ? (guint) percent : 100;
}

static void
start_job (registrant_job_t *job)
{
  upstream_t *upstream = job->upstream;
  const char *id = registrant_request_header (job->request, "Request-Id");
  const char *object = registrant_request_header (job->request, "Affinity-Key");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (upstream->run_counts, id));
  guint ms = job->work_ms;
  struct timeval time;

  if (ms == 0)
    ms = (guint) upstream
             ->settings[object != NULL && g_hash_table_contains (upstream->warm_objects, object)
                            ? WARM_MS
                            : WORK_MS]
             .integer;
  ms = ms * speed_of (upstream) / 100;
  if (object != NULL)
    g_hash_table_add (upstream->warm_objects, g_strdup (object));
  g_hash_table_insert (upstream->run_counts, g_strdup (id), GUINT_TO_POINTER (count + 1));
  upstream->running++;
  time = (struct timeval){ .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  evtimer_add (job->timer, &time);
  registrant_log_event (upstream, "run", id);
}

static void
start_queued_jobs (upstream_t *upstream)
{
  while (upstream->running < upstream->settings[SLOTS].integer && upstream->waiting.length > 0)
    start_job (g_queue_pop_head (&upstream->waiting));
}

static void
on_get_runs (struct evhttp_request *request, upstream_t *upstream)
{
  json_t *root = json_object ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;
  char *text;

  g_hash_table_iter_init (&iter, upstream->run_counts);
  while (g_hash_table_iter_next (&iter, &id, &count))
    json_object_set_new (root, id, json_integer (GPOINTER_TO_UINT (count)));
  text = json_dumps (root, JSON_COMPACT);
  respond (upstream, request, HTTP_OK, text);
  free (text);
  json_decref (root);
}

/* Sets one of the texts that later responses carry. */
static void
on_set_text (struct evhttp_request *request, upstream_t *upstream, const char *event, char **text)
{
  const char *query_text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq query;
  const char *value;

  evhttp_parse_query_str (query_text != NULL ? query_text : "", &query);
  value = evhttp_find_header (&query, "value");
  g_free (*text);
  *text = value != NULL && value[0] != '\0' ? g_strdup (value) : NULL;
  registrant_log_event (upstream, event, *text != NULL ? *text : "-");
  evhttp_clear_headers (&query);
  respond (upstream, request, HTTP_OK, "");
}

/* Handles a request that controls the stand-in. Returns FALSE if it is another one. */
static gboolean
on_control (struct evhttp_request *request, upstream_t *upstream, const char *path)
{
  if (strcmp (path, "/runs") == 0)
    on_get_runs (request, upstream);
  else if (strcmp (path, "/limit") == 0)
    on_set_text (request, upstream, "limit", &upstream->request_limit);
  else if (strcmp (path, "/speed") == 0)
    on_set_text (request, upstream, "speed", &upstream->speed);
  else if (strcmp (path, "/leaving") == 0)
    on_set_text (request, upstream, "leaving", &upstream->leaving);
  else if (strcmp (path, "/retry-after") == 0)
    on_set_text (request, upstream, "retry-after", &upstream->retry_after);
  else
    return FALSE;
  return TRUE;
}

static int
default_status (const char *fault)
{
  if (strcmp (fault, "error") == 0)
    return STATUS_ERROR;
  return strcmp (fault, "rejected") == 0 ? HTTP_SERVUNAVAIL : HTTP_OK;
}

static registrant_job_t *
job_new (upstream_t *upstream, struct evhttp_request *request)
{
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  registrant_job_t *job = g_new0 (registrant_job_t, 1);
  struct evkeyvalq query;
  const char *value;

  job->upstream = upstream;
  job->request = request;
  job->timer = evtimer_new (upstream->base, on_job_finished, job);
  evhttp_parse_query_str (text != NULL ? text : "", &query);
  value = evhttp_find_header (&query, "fault");
  job->fault = g_strdup (value != NULL ? value : "");
  value = evhttp_find_header (&query, "status");
  if (value != NULL)
    job->status = atoi (value);
  else
    job->status = default_status (job->fault);
  value = evhttp_find_header (&query, "work");
  job->work_ms = value != NULL ? (guint) g_ascii_strtoull (value, NULL, 10) : 0;
  value = evhttp_find_header (&query, "size");
  job->size = value != NULL ? (gsize) g_ascii_strtoull (value, NULL, 10) : 0;
  set_header (request, "Retry-After", evhttp_find_header (&query, "retry-after"));
  evhttp_clear_headers (&query);
  return job;
}

static void
refuse (upstream_t *upstream, struct evhttp_request *request, int status)
{
  set_header (request, "Not-Run", "1");
  respond (upstream, request, status, "");
}

/* Whether the request is to be refused because it comes for the first time. If it was refused on
 * this connection before, a copy of that is written. */
static gboolean
is_refused_once (registrant_job_t *job)
{
  const char *id = registrant_request_header (job->request, "Request-Id");
  struct bufferevent *stream
      = evhttp_connection_get_bufferevent (evhttp_request_get_connection (job->request));
  gpointer connection = g_hash_table_lookup (job->upstream->connections, stream);
  gpointer refused_on;

  if (strcmp (job->fault, "refused-once") != 0)
    return FALSE;
  job->fault[0] = '\0';
  if (!g_hash_table_lookup_extended (job->upstream->refused_ids, id, NULL, &refused_on))
    {
      g_hash_table_insert (job->upstream->refused_ids, g_strdup (id), connection);
      job->status = HTTP_SERVUNAVAIL;
      return TRUE;
    }
  if (refused_on == connection)
    {
      registrant_log_event (job->upstream, "copied", id);
      registrant_send_copy_of_refusal (job->request);
    }
  return FALSE;
}

/* Numbers a new connection. Another one may get the address of one that was freed. */
static struct bufferevent *
on_connection (struct event_base *base, void *data)
{
  upstream_t *upstream = data;
  struct bufferevent *stream = bufferevent_socket_new (base, -1, 0);

  g_hash_table_insert (upstream->connections, stream, GUINT_TO_POINTER (++upstream->n_connections));
  return stream;
}

static void
on_request (struct evhttp_request *request, void *data)
{
  upstream_t *upstream = data;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  const char *expected = registrant_request_header (request, "Expect-Instance");
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  registrant_job_t *job;

  if (on_control (request, upstream, path))
    return;
  set_header (request, "Instance-Id", upstream->settings[ID].text);
  if (expected != NULL && strcmp (expected, upstream->settings[ID].text) != 0)
    {
      respond (upstream, request, STATUS_MISDIRECTED, "");
      return;
    }
  if (registrant_request_header (request, "Request-Id") != NULL)
    registrant_log_event (upstream, "arrived", registrant_request_header (request, "Request-Id"));
  if (registrant_request_header (request, "Request-Id") == NULL
      || upstream->waiting.length >= upstream->settings[QUEUE].integer)
    {
      refuse (upstream, request, HTTP_SERVUNAVAIL);
      return;
    }
  if (upstream->retry_after != NULL)
    {
      registrant_log_event (upstream, "refused", registrant_request_header (request, "Request-Id"));
      set_header (request, "Retry-After", upstream->retry_after);
      refuse (upstream, request, HTTP_SERVUNAVAIL);
      return;
    }
  job = job_new (upstream, request);
  if (strcmp (job->fault, "rejected") == 0 || is_refused_once (job))
    {
      refuse (upstream, request, job->status);
      job_drop (job);
      return;
    }
  evhttp_connection_set_closecb (connection, on_caller_disconnected, job);
  /* evhttp stops reading while a request is handled, and would not notice that the caller closes.
   */
  bufferevent_enable (evhttp_connection_get_bufferevent (connection), EV_READ);
  g_queue_push_tail (&upstream->waiting, job);
  start_queued_jobs (upstream);
}

static void
on_heartbeat (evutil_socket_t unused_fd, short unused_what, void *data)
{
  registrant_write_row (data, FALSE);
}

static void
on_drain_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  upstream_t *upstream = data;

  event_base_loopbreak (upstream->base);
}

static void
on_terminate (evutil_socket_t unused_number, short unused_what, void *data)
{
  upstream_t *upstream = data;
  const anvil_setting_t *drain = &upstream->settings[DRAIN_MS];
  struct timeval time = { .tv_sec = drain->integer / 1000,
                          .tv_usec = (suseconds_t) (drain->integer % 1000) * 1000 };

  upstream->draining = TRUE;
  registrant_write_row (upstream, FALSE);
  event_base_once (upstream->base, -1, EV_TIMEOUT, on_drain_timeout, upstream, &time);
}

static int
run (const anvil_setting_t *settings)
{
  upstream_t upstream
      = { .settings = settings,
          .base = event_base_new (),
          .started_at = anvil_clock_wall () / ANVIL_MS,
          .run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          .connections = g_hash_table_new (NULL, NULL),
          .refused_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          .warm_objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  const struct timeval heartbeat
      = { .tv_sec = settings[HEARTBEAT_MS].integer / 1000,
          .tv_usec = (suseconds_t) (settings[HEARTBEAT_MS].integer % 1000) * 1000 };
  struct evhttp *http = evhttp_new (upstream.base);
  char *host = anvil_endpoint_format (settings[LISTEN].address, 0);
  struct event *terminate = evsignal_new (upstream.base, SIGTERM, on_terminate, &upstream);
  struct event *heartbeat_timer
      = event_new (upstream.base, -1, EV_PERSIST, on_heartbeat, &upstream);
  struct evhttp_bound_socket *bound;
  struct sockaddr_in local;
  socklen_t length = sizeof local;

  *strrchr (host, ':') = '\0';
  g_queue_init (&upstream.waiting);
  evhttp_set_bevcb (http, on_connection, &upstream);
  evhttp_set_gencb (http, on_request, &upstream);
  bound = evhttp_bind_socket_with_handle (http, host, settings[LISTEN].port);
  if (bound == NULL)
    {
      fprintf (stderr, "anvil-registrant: can't listen on %s:%u\n", host, settings[LISTEN].port);
      return EXIT_FAILURE;
    }
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *) &local, &length);
  upstream.endpoint = anvil_endpoint_format (settings[LISTEN].address, ntohs (local.sin_port));
  if (settings[RUNS].text != NULL)
    upstream.event_log = fopen (settings[RUNS].text, "a");
  registrant_log_event (&upstream, "start", settings[ID].text);
  upstream.store_pool = anvil_http_pool_open (upstream.base, settings[STORE].address,
                                              settings[STORE].port, STORE_TIMEOUT);
  evsignal_add (terminate, NULL);
  event_add (heartbeat_timer, &heartbeat);
  registrant_write_row (&upstream, FALSE);
  anvil_log (ANVIL_LOG_NOTICE, "upstream", "ready, listening on %s", upstream.endpoint);
  event_base_dispatch (upstream.base);
  event_free (heartbeat_timer);
  event_free (terminate);
  evhttp_free (http);
  anvil_http_pool_close (upstream.store_pool);
  g_hash_table_unref (upstream.run_counts);
  g_hash_table_unref (upstream.warm_objects);
  event_base_free (upstream.base);
  g_hash_table_unref (upstream.connections);
  g_hash_table_unref (upstream.refused_ids);
  g_free (upstream.request_limit);
  g_free (upstream.speed);
  g_free (upstream.leaving);
  g_free (upstream.retry_after);
  g_free (upstream.endpoint);
  g_free (host);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[N_SETTINGS] = {
    [LISTEN] = { .name = "listen",
                 .kind = ANVIL_SETTING_ENDPOINT,
                 .help = "Address and port to listen on, port 0 for any free port",
                 .default_value = "127.0.0.1:0" },
    [STORE] = { .name = "store",
                .kind = ANVIL_SETTING_ENDPOINT,
                .help = "Address and port of the store",
                .required = TRUE },
    [ID] = { .name = "id",
             .kind = ANVIL_SETTING_TEXT,
             .help = "ID that it registers",
             .required = TRUE },
    [SERVICE] = { .name = "service",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "Service that it belongs to",
                  .required = TRUE },
    [ZONE]
    = { .name = "zone", .kind = ANVIL_SETTING_TEXT, .help = "Availability zone", .required = TRUE },
    [SLOTS] = { .name = "slots",
                .kind = ANVIL_SETTING_INTEGER,
                .help = "Number of requests that it runs concurrently",
                .default_value = "3",
                .minimum = 1,
                .maximum = MAX_COUNT },
    [QUEUE] = { .name = "queue",
                .kind = ANVIL_SETTING_INTEGER,
                .help = "Maximum number of requests that wait for a slot",
                .default_value = "9",
                .minimum = 1,
                .maximum = MAX_COUNT },
    [WORK_MS] = { .name = "work-ms",
                  .kind = ANVIL_SETTING_INTEGER,
                  .help = "Duration of a run",
                  .default_value = "20",
                  .minimum = 1,
                  .maximum = MAX_COUNT },
    [WARM_MS] = { .name = "warm-ms",
                  .kind = ANVIL_SETTING_INTEGER,
                  .help = "Duration of a run for an object that it has handled before",
                  .default_value = "5",
                  .minimum = 1,
                  .maximum = MAX_COUNT },
    [HEARTBEAT_MS] = { .name = "heartbeat-ms",
                       .kind = ANVIL_SETTING_INTEGER,
                       .help = "Interval between its heartbeats",
                       .default_value = "500",
                       .minimum = 50,
                       .maximum = MAX_COUNT },
    [ADVERTISE]
    = { .name = "advertise",
        .kind = ANVIL_SETTING_ENDPOINT,
        .help = "Address and port that it registers, by default those that it listens on" },
    [COLD_MS] = { .name = "cold-ms",
                  .kind = ANVIL_SETTING_INTEGER,
                  .help = "Time after its start for which it reports that it is cold",
                  .default_value = "0",
                  .minimum = 0,
                  .maximum = MAX_COUNT },
    [RUNS] = { .name = "runs", .kind = ANVIL_SETTING_TEXT, .help = "File to log runs to" },
    [DRAIN_MS] = { .name = "drain-ms",
                   .kind = ANVIL_SETTING_INTEGER,
                   .help = "Time that it serves requests for after a drain starts",
                   .default_value = "2500",
                   .minimum = 0,
                   .maximum = MAX_COUNT },
  };
  anvil_settings_t settings
      = { .program = "anvil-registrant", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_INVALID ? 2 : EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  if (outcome == ANVIL_SETTINGS_RUN)
    status = run (items);
  anvil_settings_clear (&settings);
  return status;
}
