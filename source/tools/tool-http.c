#include "tool-http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define MAX_RESPONSE_BODY_BYTES (64 << 20)
#define MAX_RESPONSE_HEADER_BYTES (64 << 10)

static const char zeros[1 << 20];

typedef struct
{
  struct event_base *base;
  struct evhttp_connection *connection;
  gboolean response_started;
  tool_http_cb_t callback;
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
exchange_free (evutil_socket_t unused_socket, short unused_events, void *context)
{
  exchange_t *exchange = context;

  evhttp_connection_free (exchange->connection);
  g_free (exchange);
}

/* evhttp still uses the connection during the callback, so the event loop frees it afterwards. */
static void
exchange_finish (exchange_t *exchange, const tool_http_response_t *response)
{
  static const struct timeval no_delay = { 0 };

  exchange->callback (exchange->context, response);
  event_base_once (exchange->base, -1, EV_TIMEOUT, exchange_free, exchange, &no_delay);
}

static int
on_headers (struct evhttp_request *request, void *context)
{
  exchange_t *exchange = context;

  exchange->response_started = TRUE;
  return 0;
}

static void
on_response (struct evhttp_request *request, void *context)
{
  exchange_t *exchange = context;
  tool_http_response_t response = { .result = TOOL_HTTP_NO_RESPONSE };
  struct evbuffer *body;

  if (request == NULL)
    {
      response.result = exchange->response_started ? TOOL_HTTP_TRUNCATED : TOOL_HTTP_NO_RESPONSE;
      exchange_finish (exchange, &response);
      return;
    }
  response.status = evhttp_request_get_response_code (request);
  if (response.status == 0)
    {
      /* evhttp reports a failed connection as a request without a status. */
      response.result = TOOL_HTTP_NOT_SENT;
      exchange_finish (exchange, &response);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  response.result = TOOL_HTTP_COMPLETE;
  response.headers = evhttp_request_get_input_headers (request);
  response.body.length = evbuffer_get_length (body);
  response.body.data = response.body.length > 0 ? (const char *) evbuffer_pullup (body, -1) : NULL;
  exchange_finish (exchange, &response);
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
  evhttp_connection_set_max_body_size (connection, MAX_RESPONSE_BODY_BYTES);
  evhttp_connection_set_max_headers_size (connection, MAX_RESPONSE_HEADER_BYTES);
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
      gsize chunk = MIN (bytes, sizeof zeros);

      evbuffer_add_reference (body, zeros, chunk, NULL, NULL);
      bytes -= chunk;
    }
}

void
tool_http_send (struct event_base *base,
                const tool_http_request_t *request,
                tool_http_cb_t callback,
                void *context)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  struct evhttp_request *message = evhttp_request_new (on_response, exchange);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (message);
  const tool_http_response_t not_sent = { .result = TOOL_HTTP_NOT_SENT };

  exchange->base = base;
  exchange->connection = open_connection (base, request);
  exchange->callback = callback;
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
    exchange_finish (exchange, &not_sent);
}
