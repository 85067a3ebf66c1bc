#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"
#include "anvil/str.h"

struct evkeyvalq;

/** tool_http_header_t - a header; left out when its value is NULL */
typedef struct
{
  const char *name;
  const char *value;
} tool_http_header_t;

/**
 * tool_http_request_t - one request on a connection of its own
 * @method: its method
 * @path: path with query
 * @source_address: address to send from, IPv4 in host order; 0 for any
 * @address: where to, IPv4 in host order
 * @port: TCP port
 * @headers: headers
 * @n_headers: how many
 * @body_bytes: length of the body, zeros
 * @timeout: longest silence, microseconds
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
 * tool_http_result_t - how far a request came
 * @TOOL_HTTP_COMPLETE: an answer came to its end
 * @TOOL_HTTP_NOT_SENT: no connection, no byte was sent
 * @TOOL_HTTP_NO_RESPONSE: sent, and no answer came
 * @TOOL_HTTP_TRUNCATED: an answer began and broke off
 */
typedef enum
{
  TOOL_HTTP_COMPLETE,
  TOOL_HTTP_NOT_SENT,
  TOOL_HTTP_NO_RESPONSE,
  TOOL_HTTP_TRUNCATED,
} tool_http_result_t;

/**
 * tool_http_response_t - the end of a request; borrowed
 * @status: status code, 0 unless whole
 * @headers: headers of the answer, NULL unless whole
 * @body: its body
 */
typedef struct
{
  tool_http_result_t result;
  int status;
  struct evkeyvalq *headers;
  anvil_str_t body;
} tool_http_response_t;

typedef void (*tool_http_cb_t) (void *context, const tool_http_response_t *answer);

/** tool_http_send - sends a request; @done runs once, possibly before this returns */
void tool_http_send (struct event_base *base,
                     const tool_http_request_t *request,
                     tool_http_cb_t done,
                     void *context);

/** tool_http_format_address - "127.2.1.9"; freed with g_free() */
char *tool_http_format_address (guint32 address);
