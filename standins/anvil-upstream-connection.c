#include "anvil-upstream-connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#define CONNECT_TIME ANVIL_MS
/* With this low watermark, no input is reported, but the end of the stream still is. */
#define UNREACHABLE_WATERMARK (1u << 30)

/**
 * connection_t - a connection of a caller
 * @job: its request, or NULL while it is idle
 */
typedef struct
{
  upstream_server_t *server;
  struct evhttp_connection *evhttp;
  upstream_path_t path;
  upstream_job_t *job;
} connection_t;

static upstream_path_t
caller_path (const upstream_server_t *server, evutil_socket_t fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getpeername (fd, (struct sockaddr *) &address, &length);
  return upstream_topology_path (server->context->topology, ntohl (address.sin_addr.s_addr),
                                 server->upstream->zone);
}

/* At the limit of connections, further ones stay in the kernel's accept queue. */
static void
update_listener (upstream_server_t *server)
{
  struct evconnlistener *listener;

  if (server->socket == NULL)
    return;
  listener = evhttp_bound_socket_get_listener (server->socket);
  if (g_hash_table_size (server->connections) < server->upstream->max_connections)
    evconnlistener_enable (listener);
  else
    evconnlistener_disable (listener);
}

static void
on_close (struct evhttp_connection *evhttp, void *data)
{
  connection_t *connection = data;
  upstream_server_t *server = connection->server;

  if (connection->job != NULL)
    upstream_job_caller_disconnected (connection->job);
  g_hash_table_remove (server->streams,
                       bufferevent_get_input (evhttp_connection_get_bufferevent (evhttp)));
  g_hash_table_remove (server->connections, evhttp);
  update_listener (server);
}

static connection_t *
connection_new (upstream_server_t *server, struct evhttp_connection *evhttp)
{
  connection_t *connection = g_new0 (connection_t, 1);
  evutil_socket_t fd = bufferevent_getfd (evhttp_connection_get_bufferevent (evhttp));
  upstream_counts_t *counts = &server->counts;

  connection->server = server;
  connection->evhttp = evhttp;
  connection->path = caller_path (server, fd);
  g_hash_table_insert (server->connections, evhttp, connection);
  evhttp_connection_set_closecb (evhttp, on_close, connection);
  counts->peak_connections
      = MAX (counts->peak_connections, g_hash_table_size (server->connections));
  update_listener (server);
  return connection;
}

void
upstream_connection_handle_request (upstream_server_t *server, struct evhttp_request *request)
{
  struct evhttp_connection *evhttp = evhttp_request_get_connection (request);
  struct bufferevent *stream = evhttp_connection_get_bufferevent (evhttp);
  connection_t *connection = g_hash_table_lookup (server->connections, evhttp);
  anvil_time_t connect_time = 0;

  if (connection == NULL)
    {
      connection = connection_new (server, evhttp);
      connect_time = CONNECT_TIME + 2 * connection->path.delay;
    }
  connection->job = upstream_job_open (server, request, connection->path, connect_time);
  /* evhttp stops reading while a request is handled and would not see its caller disconnect. */
  bufferevent_setwatermark (stream, EV_READ, UNREACHABLE_WATERMARK, 0);
  bufferevent_enable (stream, EV_READ);
}

void
upstream_connection_set_idle (upstream_server_t *server, struct evhttp_connection *evhttp)
{
  connection_t *connection = g_hash_table_lookup (server->connections, evhttp);

  connection->job = NULL;
  bufferevent_setwatermark (evhttp_connection_get_bufferevent (evhttp), EV_READ, 0, 0);
}

/* Aborts the jobs whose callers have disconnected. */
static void
abort_remaining_jobs (upstream_server_t *server)
{
  GList *jobs = g_hash_table_get_keys (server->jobs);

  for (GList *item = jobs; item != NULL; item = item->next)
    upstream_job_abort (item->data);
  g_list_free (jobs);
}

void
upstream_connection_close_all (upstream_server_t *server)
{
  GList *connections = g_hash_table_get_values (server->connections);

  for (GList *item = connections; item != NULL; item = item->next)
    {
      connection_t *connection = item->data;

      if (connection->job != NULL)
        upstream_job_abort (g_steal_pointer (&connection->job));
      evhttp_connection_free (connection->evhttp);
    }
  g_list_free (connections);
  abort_remaining_jobs (server);
}

/* Bytes count on the link as they arrive, not when their request is complete. */
static void
on_bytes_received (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
  upstream_server_t *server = data;
  struct bufferevent *stream = g_hash_table_lookup (server->streams, buffer);
  upstream_path_t path;

  if (info->n_added == 0)
    return;
  path = caller_path (server, bufferevent_getfd (stream));
  if (path.request_link != NULL)
    upstream_link_enqueue (path.request_link, anvil_clock_now (), (gint64) info->n_added * 8);
}

struct bufferevent *
upstream_connection_create_stream (struct event_base *base, void *data)
{
  upstream_server_t *server = data;
  struct bufferevent *stream = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct evbuffer *input = bufferevent_get_input (stream);

  g_hash_table_insert (server->streams, input, stream);
  evbuffer_add_cb (input, on_bytes_received, server);
  return stream;
}
