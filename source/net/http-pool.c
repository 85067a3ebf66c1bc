#include "net/http-pool.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#define MAX_CONNECTIONS 4
#define MAX_QUEUED_CALLS 1024
#define MAX_HEADERS_BYTES (16u << 10)
#define MAX_BODY_BYTES (8u << 20)
/* A response that arrives more slowly is given up; the time-out comes on top. */
#define MIN_RECEIVE_RATE (16u << 10)

typedef struct call call_t;

/**
 * connection_t - a connection of the pool
 * @evhttp: NULL until the first call and after a failure
 * @call: call in progress, or NULL
 * @broken: has failed; closed later, since evhttp doesn't allow that inside its callbacks
 */
typedef struct
{
  anvil_http_pool_t *pool;
  struct evhttp_connection *evhttp;
  call_t *call;
  gboolean broken;
} connection_t;

/**
 * call_t - a call that is queued or in progress
 * @connection: connection that it uses, or NULL while queued
 * @request: request in progress, or NULL
 * @sent: whether any byte of the request may have been sent
 * @max_pause: limit of each pause in the response
 * @max_response_bytes: limit of the body of the response
 * @too_large: the response was given up, as its body exceeds that
 * @first_byte_at: when the first byte of the response arrived; 0 before
 * @received_bytes: bytes of the response that have arrived
 */
struct call
{
  anvil_http_pool_t *pool;
  anvil_time_t timeout;
  anvil_time_t max_pause;
  gsize max_response_bytes;
  enum evhttp_cmd_type command;
  char *uri;
  struct evbuffer *body;
  anvil_http_result_cb_t done;
  void *context;
  struct event *timer;
  connection_t *connection;
  struct evhttp_request *request;
  gboolean sent;
  gboolean too_large;
  anvil_time_t first_byte_at;
  guint64 received_bytes;
};

struct anvil_http_pool
{
  struct event_base *base;
  char host[INET_ADDRSTRLEN];
  guint16 port;
  anvil_time_t timeout;
  connection_t connections[MAX_CONNECTIONS];
  GQueue queue;
  struct event *dispatch_event;
  anvil_byte_counts_t byte_counts;
};

static void
call_free (call_t *call)
{
  event_free (call->timer);
  evbuffer_free (call->body);
  g_free (call->uri);
  g_free (call);
}

/* Reports the result of a call and frees it; it must not be in the queue. */
static void
call_finish (call_t *call, int status, struct evbuffer *body)
{
  const anvil_http_result_t result = {
    .sent = call->sent,
    .status = status,
    .too_large = call->too_large,
    .receive_time = call->first_byte_at > 0 ? anvil_clock_now () - call->first_byte_at : 0,
    .body = body,
  };
  anvil_http_pool_t *pool = call->pool;

  if (call->connection != NULL)
    call->connection->call = NULL;
  event_active (pool->dispatch_event, EV_TIMEOUT, 0);
  call->done (call->context, &result);
  call_free (call);
}

static void
on_response (struct evhttp_request *request, void *data)
{
  call_t *call = data;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;

  call->request = NULL;
  if (status == 0)
    call->connection->broken = TRUE;
  call_finish (call, status, status != 0 ? evhttp_request_get_input_buffer (request) : NULL);
}

/* Called before on_response(). */
static void
on_response_error (enum evhttp_request_error error, void *data)
{
  call_t *call = data;

  call->too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

static void
on_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  call_t *call = data;

  if (call->request != NULL)
    {
      call->connection->broken = TRUE;
      evhttp_cancel_request (call->request);
    }
  else
    g_queue_remove (&call->pool->queue, call);
  call_finish (call, 0, NULL);
}

/* evhttp adds the request to the output buffer only once it is connected, so a call whose
 * connection was refused counts as not sent. */
static void
on_output_changed (struct evbuffer *unused_buffer, const struct evbuffer_cb_info *info, void *data)
{
  connection_t *connection = data;

  if (info->n_added > 0 && connection->call != NULL)
    connection->call->sent = TRUE;
}

/* A call that was given up while its response arrives would only be repeated, from the start. */
static void
on_input_changed (struct evbuffer *unused_buffer, const struct evbuffer_cb_info *info, void *data)
{
  connection_t *connection = data;
  call_t *call = connection->call;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t steady_until;
  struct timeval time;

  if (info->n_added == 0 || call == NULL)
    return;
  if (call->first_byte_at == 0)
    call->first_byte_at = now;
  call->received_bytes += info->n_added;
  steady_until = call->first_byte_at
                 + (anvil_time_t) (call->received_bytes * ANVIL_SECOND / MIN_RECEIVE_RATE);
  time = anvil_time_to_timeval (MAX (MIN (now, steady_until) + call->max_pause - now, 0));
  evtimer_add (call->timer, &time);
}

static void
connection_open (connection_t *connection)
{
  anvil_http_pool_t *pool = connection->pool;
  struct bufferevent *stream;

  connection->evhttp = evhttp_connection_base_new (pool->base, NULL, pool->host, pool->port);
  evhttp_connection_set_retries (connection->evhttp, 0);
  evhttp_connection_set_max_headers_size (connection->evhttp, MAX_HEADERS_BYTES);
  stream = evhttp_connection_get_bufferevent (connection->evhttp);
  evbuffer_add_cb (bufferevent_get_output (stream), on_output_changed, connection);
  evbuffer_add_cb (bufferevent_get_input (stream), on_input_changed, connection);
  anvil_byte_counts_watch (&pool->byte_counts, stream);
}

static void
connection_close (connection_t *connection)
{
  connection->broken = FALSE;
  g_clear_pointer (&connection->evhttp, evhttp_connection_free);
}

static void
call_start (connection_t *connection, call_t *call)
{
  struct evhttp_request *request = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  const struct timeval timeout = anvil_time_to_timeval (MAX (call->timeout, call->max_pause));

  if (connection->evhttp == NULL)
    connection_open (connection);
  evhttp_connection_set_timeout_tv (connection->evhttp, &timeout);
  evhttp_connection_set_max_body_size (connection->evhttp, (ev_ssize_t) call->max_response_bytes);
  g_assert (connection->call == NULL);
  connection->call = call;
  call->connection = connection;
  call->request = request;
  evhttp_request_set_error_cb (request, on_response_error);
  evhttp_add_header (headers, "Host", call->pool->host);
  evhttp_add_header (headers, "Content-Type", "application/json");
  evbuffer_add_buffer (evhttp_request_get_output_buffer (request), call->body);
  /* If this fails, it has already called on_response(). */
  (void) evhttp_make_request (connection->evhttp, request, call->command, call->uri);
}

/* Starts queued calls on free connections. */
static void
dispatch_calls (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_http_pool_t *pool = data;

  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    {
      connection_t *connection = &pool->connections[i];

      if (connection->call != NULL)
        continue;
      if (connection->broken)
        connection_close (connection);
      if (!g_queue_is_empty (&pool->queue))
        call_start (connection, g_queue_pop_head (&pool->queue));
    }
}

anvil_http_pool_t *
anvil_http_pool_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout)
{
  anvil_http_pool_t *pool = g_new0 (anvil_http_pool_t, 1);
  struct in_addr network = { .s_addr = htonl (address) };

  pool->base = base;
  inet_ntop (AF_INET, &network, pool->host, sizeof pool->host);
  pool->port = port;
  pool->timeout = timeout;
  pool->dispatch_event = event_new (base, -1, 0, dispatch_calls, pool);
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    pool->connections[i].pool = pool;
  return pool;
}

void
anvil_http_pool_close (anvil_http_pool_t *pool)
{
  if (pool == NULL)
    return;
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    {
      connection_t *connection = &pool->connections[i];

      if (connection->call != NULL)
        on_timeout (-1, 0, connection->call);
      connection_close (connection);
    }
  while (!g_queue_is_empty (&pool->queue))
    call_finish (g_queue_pop_head (&pool->queue), 0, NULL);
  event_free (pool->dispatch_event);
  g_free (pool);
}

void
anvil_http_pool_call_within (anvil_http_pool_t *pool,
                             const anvil_http_call_limits_t *limits,
                             enum evhttp_cmd_type command,
                             const char *uri,
                             struct evbuffer *body,
                             anvil_http_result_cb_t done,
                             void *context)
{
  /* With a full queue, the call ends by its timer as soon as the loop runs. */
  gboolean full = g_queue_get_length (&pool->queue) >= MAX_QUEUED_CALLS;
  const anvil_time_t timeout = limits->timeout > 0 ? limits->timeout : pool->timeout;
  const struct timeval time = anvil_time_to_timeval (full ? 0 : timeout);
  call_t *call = g_new0 (call_t, 1);

  call->pool = pool;
  call->timeout = timeout;
  call->max_pause = limits->pause > 0 ? limits->pause : pool->timeout;
  call->max_response_bytes
      = limits->response_bytes > 0 ? MIN (limits->response_bytes, MAX_BODY_BYTES) : MAX_BODY_BYTES;
  call->command = command;
  call->uri = g_strdup (uri);
  call->body = evbuffer_new ();
  if (body != NULL)
    evbuffer_add_buffer (call->body, body);
  call->done = done;
  call->context = context;
  call->timer = evtimer_new (pool->base, on_timeout, call);
  evtimer_add (call->timer, &time);
  if (!full)
    g_queue_push_tail (&pool->queue, call);
  event_active (pool->dispatch_event, EV_TIMEOUT, 0);
}

void
anvil_http_pool_call (anvil_http_pool_t *pool,
                      enum evhttp_cmd_type command,
                      const char *uri,
                      struct evbuffer *body,
                      anvil_http_result_cb_t done,
                      void *context)
{
  const anvil_http_call_limits_t limits = { 0 };

  anvil_http_pool_call_within (pool, &limits, command, uri, body, done, context);
}

const anvil_byte_counts_t *
anvil_http_pool_byte_counts (const anvil_http_pool_t *pool)
{
  return &pool->byte_counts;
}
