#include "tool-http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

/* Largest answer that is read, bytes. */
#define MAX_ANSWER_BYTES (64 << 20)
#define MAX_ANSWER_HEADER_BYTES (64 << 10)

static const char zeros[1 << 20];

typedef struct
{
  struct event_base *base;
  struct evhttp_connection *connection;
  gboolean answer_began;
  tool_http_cb_t done;
  void *context;
} exchange_t;

char *
tool_http_format_address (guint32 address)
{
  struct in_addr network = { .s_addr = htonl (address) };
  char text[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, text, sizeof text);
  return g_strdup (text);
}

static void
exchange_free (evutil_socket_t unused_socket, short unused_what, void *context)
{
  exchange_t *exchange = context;

  evhttp_connection_free (exchange->connection);
  g_free (exchange);
}

/* The connection is still in use by whoever calls back, so it is freed by the event loop. */
static void
exchange_end (exchange_t *exchange, const tool_http_response_t *answer)
{
  static const struct timeval at_once = { 0 };

  exchange->done (exchange->context, answer);
  event_base_once (exchange->base, -1, EV_TIMEOUT, exchange_free, exchange, &at_once);
}

static int
on_headers (struct evhttp_request *request, void *context)
{
  exchange_t *exchange = context;

  exchange->answer_began = TRUE;
  return 0;
}

static void
on_done (struct evhttp_request *request, void *context)
{
  exchange_t *exchange = context;
  tool_http_response_t answer = { .result = TOOL_HTTP_NO_RESPONSE };
  struct evbuffer *body;

  if (request == NULL)
    {
      answer.result = exchange->answer_began ? TOOL_HTTP_TRUNCATED : TOOL_HTTP_NO_RESPONSE;
      exchange_end (exchange, &answer);
      return;
    }
  answer.status = evhttp_request_get_response_code (request);
  if (answer.status == 0)
    {
      /* evhttp reports a connection that was never made by a request without a status. */
      answer.result = TOOL_HTTP_NOT_SENT;
      exchange_end (exchange, &answer);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  answer.result = TOOL_HTTP_COMPLETE;
  answer.headers = evhttp_request_get_input_headers (request);
  answer.body.length = evbuffer_get_length (body);
  answer.body.data = answer.body.length > 0 ? (const char *) evbuffer_pullup (body, -1) : NULL;
  exchange_end (exchange, &answer);
}

static struct evhttp_connection *
open_connection (struct event_base *base, const tool_http_request_t *request)
{
  char *address = tool_http_format_address (request->address);
  struct evhttp_connection *connection
      = evhttp_connection_base_new (base, NULL, address, request->port);
  const struct timeval timeout = {
    .tv_sec = request->timeout / ANVIL_SECOND,
    .tv_usec = request->timeout % ANVIL_SECOND,
  };

  evhttp_connection_set_retries (connection, 0);
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_set_max_body_size (connection, MAX_ANSWER_BYTES);
  evhttp_connection_set_max_headers_size (connection, MAX_ANSWER_HEADER_BYTES);
  if (request->source_address != 0)
    {
      char *source = tool_http_format_address (request->source_address);

      evhttp_connection_set_local_address (connection, source);
      g_free (source);
    }
  g_free (address);
  return connection;
}

static void
add_body (struct evbuffer *body, gsize bytes)
{
  while (bytes > 0)
    {
      gsize part = MIN (bytes, sizeof zeros);

      evbuffer_add_reference (body, zeros, part, NULL, NULL);
      bytes -= part;
    }
}

void
tool_http_send (struct event_base *base,
                const tool_http_request_t *request,
                tool_http_cb_t done,
                void *context)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  struct evhttp_request *message = evhttp_request_new (on_done, exchange);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (message);
  const tool_http_response_t not_sent = { .result = TOOL_HTTP_NOT_SENT };

  exchange->base = base;
  exchange->connection = open_connection (base, request);
  exchange->done = done;
  exchange->context = context;
  evhttp_request_set_header_cb (message, on_headers);
  for (guint i = 0; i < request->n_headers; i++)
    {
      if (request->headers[i].value != NULL)
        evhttp_add_header (headers, request->headers[i].name, request->headers[i].value);
    }
  evhttp_add_header (headers, "Connection", "close");
  add_body (evhttp_request_get_output_buffer (message), request->body_bytes);
  if (evhttp_make_request (exchange->connection, message, request->method, request->path) != 0)
    exchange_end (exchange, &not_sent);
}
