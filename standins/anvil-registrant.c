/*
 * anvil-registrant: stands in for an upstream that registers itself.
 *
 * It runs requests in its slots and queues a few more. A request for an object
 * that it handled before takes --warm-ms, any other --work-ms; the query of a
 * request may say otherwise:
 *   work=MS          how long it takes
 *   fault=KIND       reset, truncate, garbage, unsigned, error, unframed, stray
 *   echo=headers     its headers follow in the answer's body
 * GET /runs tells every run: {"ID": COUNT}. SIGTERM makes it drain. With --runs a
 * line is appended to a file for each run ("run TIME ID"), at its start ("start TIME") and when the
 * store has taken the word that it drains ("draining TIME"), times in microseconds since 1970.
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
answer (upstream_t *upstream, struct evhttp_request *request, int status, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  char *load = g_strdup_printf ("%u,%u,%" G_GINT64_FORMAT, upstream->running,
                                upstream->waiting.length, upstream->settings[SLOTS].count);

  set_header (request, "Request-Id", registrant_request_header (request, "Request-Id"));
  set_header (request, "Server-Load", load);
  evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  g_free (load);
}

/* The answer of a request that ran: names the upstream and the request. */
static char *
run_body (const upstream_t *upstream, struct evhttp_request *request)
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

static void start_next (upstream_t *upstream);

static void
work_free (registrant_job_t *work)
{
  event_free (work->timer);
  g_free (work->fault);
  g_free (work);
}

static void
on_worked (evutil_socket_t unused_fd, short unused_what, void *data)
{
  registrant_job_t *work = data;
  upstream_t *upstream = work->upstream;
  char *text = run_body (upstream, work->request);

  upstream->running--;
  evhttp_connection_set_closecb (evhttp_request_get_connection (work->request), NULL, NULL);
  if (strcmp (work->fault, "error") == 0)
    {
      set_header (work->request, "Server-Stamp", "x");
      answer (upstream, work->request, STATUS_ERROR, "failed");
    }
  else if (work->fault[0] != '\0' && strcmp (work->fault, "unsigned") != 0)
    registrant_send_faulty_response (work, text);
  else
    {
      if (work->fault[0] == '\0')
        set_header (work->request, "Server-Stamp", upstream->settings[ID].text);
      answer (upstream, work->request, HTTP_OK, text);
    }
  g_free (text);
  work_free (work);
  start_next (upstream);
}

/* A request whose connection closes is dropped. */
static void
on_caller_gone (struct evhttp_connection *connection, void *data)
{
  registrant_job_t *work = data;
  upstream_t *upstream = work->upstream;

  if (!g_queue_remove (&upstream->waiting, work))
    upstream->running--;
  work_free (work);
  start_next (upstream);
}

static void
start (registrant_job_t *work)
{
  upstream_t *upstream = work->upstream;
  const char *id = registrant_request_header (work->request, "Request-Id");
  const char *object = registrant_request_header (work->request, "Affinity-Key");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (upstream->run_counts, id));
  guint ms = work->work_ms;
  struct timeval time;

  if (ms == 0)
    ms = (guint) upstream
             ->settings[object != NULL && g_hash_table_contains (upstream->warm_objects, object)
                            ? WARM_MS
                            : WORK_MS]
             .count;
  if (object != NULL)
    g_hash_table_add (upstream->warm_objects, g_strdup (object));
  g_hash_table_insert (upstream->run_counts, g_strdup (id), GUINT_TO_POINTER (count + 1));
  upstream->running++;
  time = (struct timeval){ .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  evtimer_add (work->timer, &time);
  registrant_log_event (upstream, "run", id);
}

static void
start_next (upstream_t *upstream)
{
  while (upstream->running < upstream->settings[SLOTS].count && upstream->waiting.length > 0)
    start (g_queue_pop_head (&upstream->waiting));
}

static void
on_runs (struct evhttp_request *request, upstream_t *upstream)
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
  answer (upstream, request, HTTP_OK, text);
  free (text);
  json_decref (root);
}

static registrant_job_t *
work_new (upstream_t *upstream, struct evhttp_request *request)
{
  const char *text = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  registrant_job_t *work = g_new0 (registrant_job_t, 1);
  struct evkeyvalq query;
  const char *value;

  work->upstream = upstream;
  work->request = request;
  work->timer = evtimer_new (upstream->base, on_worked, work);
  evhttp_parse_query_str (text != NULL ? text : "", &query);
  value = evhttp_find_header (&query, "fault");
  work->fault = g_strdup (value != NULL ? value : "");
  value = evhttp_find_header (&query, "work");
  work->work_ms = value != NULL ? (guint) g_ascii_strtoull (value, NULL, 10) : 0;
  evhttp_clear_headers (&query);
  return work;
}

static void
on_request (struct evhttp_request *request, void *data)
{
  upstream_t *upstream = data;
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  const char *expected = registrant_request_header (request, "Expect-Instance");
  registrant_job_t *work;

  if (strcmp (path, "/runs") == 0)
    {
      on_runs (request, upstream);
      return;
    }
  set_header (request, "Instance-Id", upstream->settings[ID].text);
  if (expected != NULL && strcmp (expected, upstream->settings[ID].text) != 0)
    {
      answer (upstream, request, STATUS_MISDIRECTED, "");
      return;
    }
  if (registrant_request_header (request, "Request-Id") == NULL
      || upstream->waiting.length >= upstream->settings[QUEUE].count)
    {
      set_header (request, "Not-Run", "1");
      answer (upstream, request, HTTP_SERVUNAVAIL, "");
      return;
    }
  work = work_new (upstream, request);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_caller_gone, work);
  g_queue_push_tail (&upstream->waiting, work);
  start_next (upstream);
}

static void
on_heartbeat (evutil_socket_t unused_fd, short unused_what, void *data)
{
  registrant_write_row (data, FALSE);
}

static void
on_drained (evutil_socket_t unused_fd, short unused_what, void *data)
{
  upstream_t *upstream = data;

  event_base_loopbreak (upstream->base);
}

static void
on_terminate (evutil_socket_t unused_number, short unused_what, void *data)
{
  upstream_t *upstream = data;
  const anvil_setting_t *drain = &upstream->settings[DRAIN_MS];
  struct timeval time
      = { .tv_sec = drain->count / 1000, .tv_usec = (suseconds_t) (drain->count % 1000) * 1000 };

  upstream->draining = TRUE;
  registrant_write_row (upstream, FALSE);
  event_base_once (upstream->base, -1, EV_TIMEOUT, on_drained, upstream, &time);
}

static int
run (const anvil_setting_t *settings)
{
  upstream_t upstream
      = { .settings = settings,
          .base = event_base_new (),
          .started_at = anvil_clock_wall () / ANVIL_MS,
          .run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          .warm_objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  const struct timeval heartbeat
      = { .tv_sec = settings[HEARTBEAT_MS].count / 1000,
          .tv_usec = (suseconds_t) (settings[HEARTBEAT_MS].count % 1000) * 1000 };
  struct evhttp *http = evhttp_new (upstream.base);
  char *host = anvil_endpoint_format (settings[LISTEN].address, 0);
  struct event *terminate = evsignal_new (upstream.base, SIGTERM, on_terminate, &upstream);
  struct event *beat = event_new (upstream.base, -1, EV_PERSIST, on_heartbeat, &upstream);
  struct evhttp_bound_socket *bound;
  struct sockaddr_in local;
  socklen_t length = sizeof local;

  *strrchr (host, ':') = '\0';
  g_queue_init (&upstream.waiting);
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
  registrant_log_event (&upstream, "start", "-");
  upstream.store_pool = anvil_http_pool_open (upstream.base, settings[STORE].address,
                                              settings[STORE].port, STORE_TIMEOUT);
  evsignal_add (terminate, NULL);
  event_add (beat, &heartbeat);
  registrant_write_row (&upstream, FALSE);
  anvil_log (ANVIL_LOG_NOTICE, "upstream", "ready, listening on %s", upstream.endpoint);
  event_base_dispatch (upstream.base);
  event_free (beat);
  event_free (terminate);
  evhttp_free (http);
  anvil_http_pool_close (upstream.store_pool);
  g_hash_table_unref (upstream.run_counts);
  g_hash_table_unref (upstream.warm_objects);
  event_base_free (upstream.base);
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
                 .help = "Address and port, port 0 for any",
                 .fallback = "127.0.0.1:0" },
    [STORE] = { .name = "store",
                .kind = ANVIL_SETTING_ENDPOINT,
                .help = "Address and port of the store",
                .required = TRUE },
    [ID] = { .name = "id", .kind = ANVIL_SETTING_TEXT, .help = "Its name", .required = TRUE },
    [SERVICE] = { .name = "service",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "Service that it belongs to",
                  .required = TRUE },
    [ZONE] = { .name = "zone",
               .kind = ANVIL_SETTING_TEXT,
               .help = "Its availability zone",
               .required = TRUE },
    [SLOTS] = { .name = "slots",
                .kind = ANVIL_SETTING_COUNT,
                .help = "Requests that it runs at once",
                .fallback = "3",
                .minimum = 1,
                .maximum = MAX_COUNT },
    [QUEUE] = { .name = "queue",
                .kind = ANVIL_SETTING_COUNT,
                .help = "Requests that wait for a slot",
                .fallback = "9",
                .minimum = 1,
                .maximum = MAX_COUNT },
    [WORK_MS] = { .name = "work-ms",
                  .kind = ANVIL_SETTING_COUNT,
                  .help = "Length of a run",
                  .fallback = "20",
                  .minimum = 1,
                  .maximum = MAX_COUNT },
    [WARM_MS] = { .name = "warm-ms",
                  .kind = ANVIL_SETTING_COUNT,
                  .help = "Length of a run on an object that it handled before",
                  .fallback = "5",
                  .minimum = 1,
                  .maximum = MAX_COUNT },
    [HEARTBEAT_MS] = { .name = "heartbeat-ms",
                       .kind = ANVIL_SETTING_COUNT,
                       .help = "Pause between its reports",
                       .fallback = "500",
                       .minimum = 50,
                       .maximum = MAX_COUNT },
    [ADVERTISE] = { .name = "advertise",
                    .kind = ANVIL_SETTING_ENDPOINT,
                    .help = "Address and port that it registers, if not its own" },
    [RUNS] = { .name = "runs", .kind = ANVIL_SETTING_TEXT, .help = "File to note runs in" },
    [DRAIN_MS] = { .name = "drain-ms",
                   .kind = ANVIL_SETTING_COUNT,
                   .help = "How long it serves after it said that it drains",
                   .fallback = "2500",
                   .minimum = 0,
                   .maximum = MAX_COUNT },
  };
  anvil_settings_t settings
      = { .program = "anvil-registrant", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_BAD ? 2 : EXIT_SUCCESS;

  signal (SIGPIPE, SIG_IGN);
  if (outcome == ANVIL_SETTINGS_RUN)
    status = run (items);
  anvil_settings_clear (&settings);
  return status;
}
