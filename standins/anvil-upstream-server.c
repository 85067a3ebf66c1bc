#include "anvil-upstream-server.h"

#include <arpa/inet.h>
#include <errno.h>

#include "anvil-upstream-connection.h"
#include "anvil/error.h"

#define MAX_BODY_BYTES (64u << 20)
#define MAX_HEADERS_BYTES (64u << 10)
#define IDLE_TIMEOUT_S 600

static void
on_request (struct evhttp_request *request, void *data)
{
  upstream_connection_handle_request (data, request);
}

static gboolean
start_listening (upstream_server_t *server)
{
  struct in_addr network = { .s_addr = htonl (server->upstream->address) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  server->socket = evhttp_bind_socket_with_handle (server->http, host, server->upstream->port);
  return server->socket != NULL;
}

upstream_server_t *
upstream_server_open (upstream_context_t *context, guint index, GError **error)
{
  upstream_server_t *server = g_new0 (upstream_server_t, 1);

  server->context = context;
  server->index = index;
  server->upstream = &context->config->upstreams[index];
  server->service = &context->config->services[server->upstream->service];
  server->jobs = g_hash_table_new (NULL, NULL);
  server->connections = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  server->streams = g_hash_table_new (NULL, NULL);
  server->cache = upstream_cache_new (context->max_cached_objects);
  server->cold_until_run = context->cold_requests;
  server->faults.slow_factor = 1;
  server->faults.lie_running = UPSTREAM_REPORT_ACTUAL_RUNNING;
  server->load_report.healthy = TRUE;
  server->http = evhttp_new (context->base);
  evhttp_set_bevcb (server->http, upstream_connection_create_stream, server);
  evhttp_set_gencb (server->http, on_request, server);
  evhttp_set_max_body_size (server->http, MAX_BODY_BYTES);
  evhttp_set_max_headers_size (server->http, MAX_HEADERS_BYTES);
  evhttp_set_timeout (server->http, IDLE_TIMEOUT_S);
  evhttp_set_allowed_methods (server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
                                                | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                                | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  if (start_listening (server))
    return server;
  g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_IO, "upstream %s can't listen: %s",
               server->upstream->name.data, g_strerror (errno));
  upstream_server_close (server);
  return NULL;
}

void
upstream_server_close (upstream_server_t *server)
{
  if (server == NULL)
    return;
  upstream_connection_close_all (server);
  evhttp_free (server->http);
  upstream_cache_drop (server->cache);
  g_hash_table_unref (server->streams);
  g_hash_table_unref (server->connections);
  g_hash_table_unref (server->jobs);
  g_free (server);
}

void
upstream_server_sample_load (upstream_server_t *server, anvil_time_t now)
{
  if (server->faults.freeze_load)
    return;
  server->load_report = (upstream_load_report_t){
    .sampled_at = now,
    .running = server->running + g_queue_get_length (&server->waiting),
    .draining = server->faults.drain,
    .healthy = !server->faults.sick,
  };
}

static void
restart (upstream_server_t *server)
{
  upstream_connection_close_all (server);
  upstream_cache_clear (server->cache);
  server->cold_until_run = server->counts.runs + server->context->cold_requests;
}

/* Stops listening, or listens again. */
static void
set_dead (upstream_server_t *server, gboolean dead)
{
  if (dead && server->socket != NULL)
    {
      evhttp_del_accept_socket (server->http, server->socket);
      server->socket = NULL;
      restart (server);
    }
  if (!dead && server->socket == NULL)
    start_listening (server);
}

gboolean
upstream_server_set_faults (upstream_server_t *server, const json_t *json)
{
  gboolean was_draining = server->faults.drain;
  gboolean restart_requested;
  gboolean mark;

  if (!upstream_faults_parse (&server->faults, json, &restart_requested, &mark))
    return FALSE;
  if (mark || (server->faults.drain && !was_draining))
    server->mark = (upstream_mark_t){ .set = TRUE, .set_at = anvil_clock_now () };
  if (restart_requested)
    restart (server);
  set_dead (server, server->faults.dead);
  return TRUE;
}

/* Milliseconds from the mark to @event, 0 if it happened before. */
static json_int_t
ms_after_mark (const upstream_mark_t *mark, anvil_time_t event)
{
  return MAX (event - mark->set_at, 0) / ANVIL_MS;
}

static void
add_mark_to_report (const upstream_server_t *server, json_t *report)
{
  const upstream_mark_t *mark = &server->mark;

  if (!mark->set)
    return;
  json_object_set_new (report, "last_offer_ms",
                       json_integer (ms_after_mark (mark, mark->last_request_at)));
  json_object_set_new (report, "last_run_ms",
                       json_integer (ms_after_mark (mark, mark->last_run_at)));
  if (server->running == 0)
    json_object_set_new (report, "drain_ms", json_integer (ms_after_mark (mark, mark->idle_at)));
}

json_t *
upstream_server_report (const upstream_server_t *server)
{
  const upstream_counts_t *counts = &server->counts;
  json_t *report = json_pack (
      "{s:s,s:s,s:i,s:I,s:I,s:I,s:I,s:i,s:I,s:I,s:I,s:I,s:I,s:i}", "name",
      server->upstream->name.data, "service", server->service->name.data, "slots",
      (int) server->upstream->slots, "runs", (json_int_t) counts->runs, "cold",
      (json_int_t) counts->cold, "finished", (json_int_t) counts->finished, "over_slots",
      (json_int_t) counts->over_slots, "peak_wanted", (int) counts->peak_wanted, "shed",
      (json_int_t) counts->shed, "drained", (json_int_t) counts->drained, "expired",
      (json_int_t) counts->expired, "cancelled", (json_int_t) counts->cancelled, "killed",
      (json_int_t) counts->killed, "peak_connections", (int) counts->peak_connections);

  add_mark_to_report (server, report);
  return report;
}
