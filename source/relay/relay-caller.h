#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include "anvil/byte-counts.h"
#include "anvil/clock.h"
#include "anvil/header-names.h"
#include "anvil/routes.h"

/*
 * Connections of callers.
 *
 * Connections are bufferevents with http_parser, because evhttp answers
 * malformed input with error pages of its own and doesn't report that a caller
 * has disconnected. Requests are delivered as soon as they are complete;
 * several requests of one connection may be in progress at once, and their
 * responses are written in the order of the requests.
 */

typedef struct anvil_relay_callers anvil_relay_callers_t;
typedef struct anvil_relay_caller_connection anvil_relay_caller_connection_t;

/**
 * anvil_relay_refusal_t - the response to a request that isn't served, decided by its head
 * @status: status of the response
 * @reason: for logs
 * @retry_after: when the caller may try again, microseconds; 0 for no statement
 */
typedef struct
{
  guint status;
  const char *reason;
  anvil_time_t retry_after;
} anvil_relay_refusal_t;

/**
 * anvil_relay_request_t - a complete request of a caller
 * @connection: connection of the caller; NULL once the caller has disconnected
 * @method: as it was sent
 * @target: path and query as they were sent
 * @host: the Host header
 * @headers: headers to forward, "Name: value\r\n" each
 * @body: body, without chunk framing
 * @id: request id that the caller sent, or NULL
 * @object: object that the request is about, or NULL
 * @key: key of the caller's tenant without surrounding blanks, or NULL; must not be logged
 * @keys_differ: the caller sent several keys that aren't equal
 * @timeout: how long the caller waits, microseconds; 0 if not given
 * @received_at: when it was complete, monotonic clock
 * @close_after_response: the connection closes after the response
 * @is_head: it is a HEAD request, so the response has no body
 * @refusal: why it isn't served, NULL if it is; its body is dropped and not in @body
 * @handler_data: private data of the request's handler
 * @callers: set of connections that it came from
 */
typedef struct
{
  anvil_relay_caller_connection_t *connection;
  char *method;
  char *target;
  char *host;
  GString *headers;
  struct evbuffer *body;
  char *id;
  char *object;
  char *key;
  gboolean keys_differ;
  anvil_time_t timeout;
  anvil_time_t received_at;
  gboolean close_after_response;
  gboolean is_head;
  const anvil_relay_refusal_t *refusal;
  void *handler_data;
  anvil_relay_callers_t *callers;
} anvil_relay_request_t;

/**
 * anvil_relay_caller_callbacks_t - events of callers
 * @head: the head of a request was read, up to its @key: why it isn't served, or NULL; borrowed for
 *   the life of the process. A refused request is delivered at once and its body dropped. May be
 *   NULL, which serves every request
 * @request: a complete request, or one that @head refused; needs exactly one anvil_relay_respond(),
 *   also if the caller disconnects
 * @disconnected: the response to an unanswered request can't be delivered any more, since the
 *   caller has disconnected
 * @limits: limits in force for callers' input; borrowed
 */
typedef struct
{
  const anvil_relay_refusal_t *(*head) (void *context, const anvil_relay_request_t *request);
  void (*request) (void *context, anvil_relay_request_t *request);
  void (*disconnected) (void *context, anvil_relay_request_t *request);
  const anvil_routes_limits_t *(*limits) (void *context);
} anvil_relay_caller_callbacks_t;

/**
 * anvil_relay_callers_options_t - a listener and its limits
 * @name: name in log lines
 * @address: IPv4 in host order
 * @port: TCP port; 0 for any
 * @header_names: names of the exchanged headers; borrowed
 * @host_optional: requests without a Host header are accepted
 * @max_connections: beyond this, each new connection takes the place of the one that has been idle
 *   longest; if none is idle, it is closed at once
 * @max_buffered_bytes: bytes of request bodies in memory; a request that would exceed it is
 *   refused before it is read completely
 * @max_unsent_bytes: bytes of responses that callers have not read yet; above it the connection
 *   with most of them is closed
 */
typedef struct
{
  const char *name;
  guint32 address;
  guint16 port;
  const anvil_header_names_t *header_names;
  gboolean host_optional;
  guint max_connections;
  gsize max_buffered_bytes;
  gsize max_unsent_bytes;
} anvil_relay_callers_options_t;

/** anvil_relay_callers_open - listens for callers; @options are copied */
anvil_relay_callers_t *anvil_relay_callers_open (struct event_base *base,
                                                 const anvil_relay_callers_options_t *options,
                                                 const anvil_relay_caller_callbacks_t *callbacks,
                                                 void *context,
                                                 GError **error);

/** anvil_relay_callers_close - closes listener and connections; unanswered requests are reported as
 * disconnected */
void anvil_relay_callers_close (anvil_relay_callers_t *callers);

/** anvil_relay_callers_buffered_bytes - bytes of request bodies in memory */
gsize anvil_relay_callers_buffered_bytes (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_unsent_bytes - bytes of responses that callers have not read yet */
gsize anvil_relay_callers_unsent_bytes (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_begin_shutdown - from now on a connection closes once all requests that have
 * arrived on it are answered */
void anvil_relay_callers_begin_shutdown (anvil_relay_callers_t *callers);

/** anvil_relay_callers_count_busy - connections with a request or response in progress */
guint anvil_relay_callers_count_busy (const anvil_relay_callers_t *callers);
guint anvil_relay_callers_count_connections (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_count_displaced - connections that were closed for others, since the
 * listener was opened */
guint64 anvil_relay_callers_count_displaced (const anvil_relay_callers_t *callers);

/** anvil_relay_request_caller_address - IPv4 of the caller in host order, 0 once it has
 * disconnected */
guint32 anvil_relay_request_caller_address (const anvil_relay_request_t *request);

/** anvil_relay_callers_byte_counts - bytes received from and sent to callers so far */
const anvil_byte_counts_t *anvil_relay_callers_byte_counts (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_port - port that it listens on; 0 on failure */
guint16 anvil_relay_callers_port (const anvil_relay_callers_t *callers);

/**
 * anvil_relay_respond - sends the response to a request and frees the request
 * @headers: "Name: value\r\n" each, without hop-by-hop headers and Content-Length
 * @body: body, moved out of this buffer; or NULL
 */
void anvil_relay_respond (anvil_relay_request_t *request,
                          guint status,
                          anvil_str_t headers,
                          struct evbuffer *body);
