#include "net/http-pool.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <poll.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "anvil/log.h"
#include "net/http-framing.h"
#include "net/http-kept-header.h"
#include "net/http-response-head.h"
#include "net/stream-end.h"

#define MAX_CONNECTIONS 4
#define MAX_QUEUED_CALLS 1024
#define MAX_BODY_BYTES (8u << 20)
/* A response whose body arrives more slowly is given up; the time-out comes on top. */
#define MIN_RECEIVE_RATE (16u << 10)
/* So is one that takes longer from its first byte on, whatever its rate. */
#define MAX_RECEIVE_TIME (30 * ANVIL_SECOND)

typedef struct call call_t;

/**
 * connection_t - a connection of the pool
 * @stream: NULL until the first call and after a failure
 * @end: how @stream has ended
 * @call: call in progress, or NULL
 * @parser: parser of the response to @call
 * @response_complete: the parser has reached the end of a response
 * @framing_bytes: bytes of the response that belong to no body
 * @body: body of the response so far
 * @kept_header: see anvil_http_pool_keep_header()
 */
typedef struct
{
  anvil_http_pool_t *pool;
  struct bufferevent *stream;
  anvil_stream_end_t end;
  call_t *call;
  http_parser parser;
  anvil_http_head_t head;
  /* The head of the response has ended. */
  gboolean in_body;
  gboolean response_complete;
  guint64 framing_bytes;
  struct evbuffer *body;
  http_kept_header_t kept_header;
} connection_t;

/**
 * call_t - a call that is queued or in progress
 * @connection: connection that it uses, or NULL while queued
 * @sent: whether any byte of the request may have been sent
 * @max_pause: limit of each pause in the response
 * @max_response_bytes: limit of the body of the response
 * @timed_out: it was given up because of its limits of time
 * @too_large: the response was given up, as its body exceeds that
 * @first_byte_at: when the first byte of the response arrived; 0 before
 */
struct call
{
  anvil_http_pool_t *pool;
  anvil_time_t max_pause;
  gsize max_response_bytes;
  enum evhttp_cmd_type command;
  char *uri;
  struct evbuffer *body;
  anvil_http_began_cb_t began;
  anvil_http_result_cb_t done;
  void *context;
  struct event *timer;
  connection_t *connection;
  gboolean sent;
  gboolean timed_out;
  gboolean too_large;
  anvil_time_t first_byte_at;
};

struct anvil_http_pool
{
  struct event_base *base;
  struct sockaddr_in address;
  char host[INET_ADDRSTRLEN];
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
  const connection_t *connection = call->connection;
  const anvil_http_result_t result = {
    .sent = call->sent,
    .status = status,
    .timed_out = call->timed_out,
    .too_large = call->too_large,
    .receive_time = call->first_byte_at > 0 ? anvil_clock_now () - call->first_byte_at : 0,
    .body = body,
    .kept_header = connection != NULL && connection->kept_header.found
                       ? connection->kept_header.value->str
                       : NULL,
  };
  anvil_http_pool_t *pool = call->pool;

  if (call->connection != NULL)
    call->connection->call = NULL;
  event_active (pool->dispatch_event, EV_TIMEOUT, 0);
  call->done (call->context, &result);
  call_free (call);
}

static void
connection_close (connection_t *connection)
{
  if (connection->stream != NULL)
    bufferevent_free (connection->stream);
  connection->stream = NULL;
  evbuffer_drain (connection->body, evbuffer_get_length (connection->body));
}

/* Ends the call of a connection that can't be used any more. */
static void
fail_call (connection_t *connection, const char *reason)
{
  call_t *call = connection->call;

  anvil_log (
      ANVIL_LOG_DEBUG, "http",
      "call failed uri=%s reason=\"%s\" sent=%d body_bytes=%zu framing_bytes=%" G_GUINT64_FORMAT,
      call->uri, reason, call->sent, evbuffer_get_length (connection->body),
      connection->framing_bytes);
  connection_close (connection);
  call_finish (call, 0, NULL);
}

static void
on_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  call_t *call = data;

  if (call->connection != NULL)
    {
      call->timed_out = TRUE;
      fail_call (call->connection, "timed out");
      return;
    }
  /* A call that found the queue full isn't in it. */
  call->timed_out = g_queue_remove (&call->pool->queue, call);
  call_finish (call, 0, NULL);
}

/* Bytes that leave the output were written to the socket. */
static void
on_output_changed (struct evbuffer *unused_buffer, const struct evbuffer_cb_info *info, void *data)
{
  connection_t *connection = data;

  if (info->n_deleted > 0 && connection->call != NULL)
    connection->call->sent = TRUE;
}

static int
on_message_begin (http_parser *parser)
{
  connection_t *connection = parser->data;

  evbuffer_drain (connection->body, evbuffer_get_length (connection->body));
  http_kept_header_reset (&connection->kept_header);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t length)
{
  connection_t *connection = parser->data;

  http_kept_header_add_name (&connection->kept_header, at, length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  connection_t *connection = parser->data;

  http_kept_header_add_value (&connection->kept_header, at, length);
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  connection_t *connection = parser->data;
  call_t *call = connection->call;

  connection->in_body = TRUE;
  http_kept_header_end (&connection->kept_header);
  call->too_large
      = (parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length > call->max_response_bytes;
  if (call->too_large)
    return -1;
  /* 1 tells the parser that the response to a HEAD request has no body. */
  return call->command == EVHTTP_REQ_HEAD ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  connection_t *connection = parser->data;
  call_t *call = connection->call;

  call->too_large = evbuffer_get_length (connection->body) + length > call->max_response_bytes;
  if (call->too_large)
    return 1;
  evbuffer_add (connection->body, at, length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  connection_t *connection = parser->data;

  connection->response_complete = TRUE;
  connection->in_body = FALSE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Ends the call of a connection with its complete response. */
static void
complete_call (connection_t *connection)
{
  call_t *call = connection->call;
  struct evbuffer *body = connection->body;

  connection->body = evbuffer_new ();
  if (!http_should_keep_alive (&connection->parser)
      || evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0
      || evbuffer_get_length (bufferevent_get_output (connection->stream)) > 0)
    connection_close (connection);
  call_finish (call, connection->parser.status_code, body);
  evbuffer_free (body);
}

/* Parses what has arrived. Returns FALSE if the call has ended. */
static gboolean
parse_input (connection_t *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  struct evbuffer_iovec chunk;

  while (evbuffer_peek (input, -1, NULL, &chunk, 1) >= 1 && chunk.iov_len > 0)
    {
      gsize body_bytes = evbuffer_get_length (connection->body);
      size_t parsed = chunk.iov_len;

      if (!connection->in_body
          && anvil_http_head_feed (&connection->head, chunk.iov_base, chunk.iov_len, &parsed)
                 == ANVIL_HTTP_HEAD_INVALID)
        {
          fail_call (connection, connection->head.problem);
          return FALSE;
        }
      parsed = http_parser_execute (&connection->parser, &parser_settings, chunk.iov_base, parsed);
      evbuffer_drain (input, parsed);
      connection->framing_bytes += parsed;
      if (evbuffer_get_length (connection->body) > body_bytes)
        connection->framing_bytes -= evbuffer_get_length (connection->body) - body_bytes;
      if (connection->response_complete)
        {
          connection->response_complete = FALSE;
          http_parser_pause (&connection->parser, 0);
          if (connection->parser.status_code >= 200)
            {
              complete_call (connection);
              return FALSE;
            }
        }
      else if (HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK || connection->parser.upgrade)
        {
          fail_call (connection,
                     connection->call->too_large ? "response too large" : "malformed response");
          return FALSE;
        }
      if (anvil_http_framing_is_excessive (connection->framing_bytes,
                                           evbuffer_get_length (connection->body)))
        {
          fail_call (connection, "too many bytes outside of a body");
          return FALSE;
        }
    }
  return TRUE;
}

/* A call that was given up while its response arrives would only be repeated, from the start. */
static void
extend_timer (connection_t *connection)
{
  call_t *call = connection->call;
  const guint64 body_bytes = evbuffer_get_length (connection->body);
  const anvil_time_t steady_time
      = MIN ((anvil_time_t) (body_bytes * ANVIL_SECOND / MIN_RECEIVE_RATE), MAX_RECEIVE_TIME);
  anvil_time_t now = anvil_clock_now ();
  struct timeval time;

  time = anvil_time_to_timeval (
      MAX (MIN (now, call->first_byte_at + steady_time) + call->max_pause - now, 0));
  evtimer_add (call->timer, &time);
}

static void
record_first_byte (call_t *call)
{
  if (call->first_byte_at > 0)
    return;
  call->first_byte_at = anvil_clock_now ();
  if (call->began != NULL)
    call->began (call->context);
}

static void
on_read (struct bufferevent *stream, void *data)
{
  connection_t *connection = data;

  if (connection->call == NULL)
    {
      /* Unsolicited bytes: they belong to no call. */
      connection_close (connection);
      return;
    }
  record_first_byte (connection->call);
  if (parse_input (connection))
    extend_timer (connection);
}

/* The end of the stream may be the end of a response without a length. */
static void
on_end (connection_t *connection)
{
  http_parser_execute (&connection->parser, &parser_settings, NULL, 0);
  if (connection->response_complete && connection->parser.status_code >= 200)
    complete_call (connection);
  else
    fail_call (connection, "connection closed before the end of the response");
}

static void
on_event (struct bufferevent *stream, short events, void *data)
{
  connection_t *connection = data;
  const anvil_stream_state_t state = anvil_stream_end_update (&connection->end, stream, events);

  if (state == ANVIL_STREAM_OPEN)
    return;
  if (connection->call == NULL)
    connection_close (connection);
  else if (state == ANVIL_STREAM_ENDED)
    on_end (connection);
  else
    fail_call (connection, "connection failed");
}

static void
connection_open (connection_t *connection)
{
  anvil_http_pool_t *pool = connection->pool;

  connection->end = (anvil_stream_end_t){ 0 };
  connection->stream
      = bufferevent_socket_new (pool->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (connection->stream, on_read, NULL, on_event, connection);
  evbuffer_add_cb (bufferevent_get_output (connection->stream), on_output_changed, connection);
  anvil_byte_counts_watch (&pool->byte_counts, connection->stream);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  /* Failures are reported to the deferred event callback. */
  bufferevent_socket_connect (connection->stream, (struct sockaddr *) &pool->address,
                              sizeof pool->address);
}

static const char *
method_name (enum evhttp_cmd_type command)
{
  switch (command)
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      g_assert_not_reached ();
    }
}

static void
write_request (connection_t *connection, call_t *call)
{
  struct evbuffer *request = evbuffer_new ();
  gsize length = evbuffer_get_length (call->body);

  evbuffer_add_printf (request, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n",
                       method_name (call->command), call->uri, call->pool->host);
  if (length > 0 || call->command == EVHTTP_REQ_POST || call->command == EVHTTP_REQ_PUT)
    evbuffer_add_printf (request, "Content-Length: %zu\r\n", length);
  evbuffer_add (request, "\r\n", 2);
  evbuffer_add_buffer (request, call->body);
  bufferevent_write_buffer (connection->stream, request);
  evbuffer_free (request);
}

/* Whether bytes, or the end of the connection, have arrived and were not read yet. */
static gboolean
has_unread_bytes (const connection_t *connection)
{
  struct pollfd readable = { .fd = bufferevent_getfd (connection->stream), .events = POLLIN };

  return evbuffer_get_length (bufferevent_get_input (connection->stream)) > 0
         || (readable.fd >= 0 && poll (&readable, 1, 0) > 0);
}

static void
call_start (connection_t *connection, call_t *call)
{
  g_assert (connection->call == NULL);
  /* They were sent before the call, so they are no response to it. */
  if (connection->stream != NULL && has_unread_bytes (connection))
    connection_close (connection);
  connection->call = call;
  call->connection = connection;
  connection->response_complete = FALSE;
  connection->framing_bytes = 0;
  connection->head = (anvil_http_head_t){ 0 };
  connection->in_body = FALSE;
  http_kept_header_reset (&connection->kept_header);
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  if (connection->stream == NULL)
    connection_open (connection);
  write_request (connection, call);
}

/* Starts queued calls on free connections. */
static void
dispatch_calls (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_http_pool_t *pool = data;

  for (guint i = 0; i < MAX_CONNECTIONS && !g_queue_is_empty (&pool->queue); i++)
    {
      if (pool->connections[i].call == NULL)
        call_start (&pool->connections[i], g_queue_pop_head (&pool->queue));
    }
}

anvil_http_pool_t *
anvil_http_pool_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout)
{
  anvil_http_pool_t *pool = g_new0 (anvil_http_pool_t, 1);

  pool->base = base;
  pool->address = (struct sockaddr_in){ .sin_family = AF_INET,
                                        .sin_port = htons (port),
                                        .sin_addr.s_addr = htonl (address) };
  inet_ntop (AF_INET, &pool->address.sin_addr, pool->host, sizeof pool->host);
  pool->timeout = timeout;
  pool->dispatch_event = event_new (base, -1, 0, dispatch_calls, pool);
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    {
      pool->connections[i].pool = pool;
      pool->connections[i].body = evbuffer_new ();
      http_kept_header_init (&pool->connections[i].kept_header, NULL);
    }
  return pool;
}

void
anvil_http_pool_keep_header (anvil_http_pool_t *pool, const char *name)
{
  for (guint i = 0; i < MAX_CONNECTIONS; i++)
    pool->connections[i].kept_header.wanted = name;
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
        fail_call (connection, "client closed");
      connection_close (connection);
      evbuffer_free (connection->body);
      http_kept_header_clear (&connection->kept_header);
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
  call->max_pause = limits->pause > 0 ? limits->pause : pool->timeout;
  call->max_response_bytes
      = limits->response_bytes > 0 ? MIN (limits->response_bytes, MAX_BODY_BYTES) : MAX_BODY_BYTES;
  call->command = command;
  call->uri = g_strdup (uri);
  call->body = evbuffer_new ();
  if (body != NULL)
    evbuffer_add_buffer (call->body, body);
  call->began = limits->began;
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
