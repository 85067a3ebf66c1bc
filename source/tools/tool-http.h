#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"
#include "anvil/str.h"

struct evkeyvalq;

/** tool_http_header_t - a header; not sent if its value is NULL */
typedef struct
{
  const char *name;
  const char *value;
} tool_http_header_t;

/**
 * tool_http_request_t - one request on a connection of its own
 * @path: path with query
 * @source_address: local address of the connection, IPv4 in host order; 0 for any
 * @address: address of the server, IPv4 in host order
 * @body_bytes: length of the body, which is all zeros
 * @timeout: connection timeout and inactivity timeout, microseconds
 */
typedef struct
{
  enum evhttp_cmd_type method;
  const char *path;
  guint32 source_address;
  guint32 address;
  guint16 port;
  const tool_http_header_t *headers;
  guint n_headers;
  gsize body_bytes;
  anvil_time_t timeout;
} tool_http_request_t;

/**
 * tool_http_result_t - how a request ended
 * @TOOL_HTTP_COMPLETE: a complete response was received
 * @TOOL_HTTP_NOT_SENT: connecting failed; no byte was sent
 * @TOOL_HTTP_NO_RESPONSE: sent, but no response was received
 * @TOOL_HTTP_TRUNCATED: the connection ended within the response
 */
typedef enum
{
  TOOL_HTTP_COMPLETE,
  TOOL_HTTP_NOT_SENT,
  TOOL_HTTP_NO_RESPONSE,
  TOOL_HTTP_TRUNCATED,
} tool_http_result_t;

/**
 * tool_http_response_t - result of a request, valid during the callback
 * @status: status code, 0 unless the response is complete
 * @headers: headers of the response, NULL unless it is complete
 */
typedef struct
{
  tool_http_result_t result;
  int status;
  struct evkeyvalq *headers;
  anvil_str_t body;
} tool_http_response_t;

typedef void (*tool_http_cb_t) (void *context, const tool_http_response_t *response);

/** tool_http_send - sends a request; @callback is called once, possibly before this returns */
void tool_http_send (struct event_base *base,
                     const tool_http_request_t *request,
                     tool_http_cb_t callback,
                     void *context);

/** tool_http_format_address - IPv4 address as text, "127.2.1.9"; freed with g_free() */
char *tool_http_format_address (guint32 address);
