#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include "anvil/clock.h"
#include "anvil/header-names.h"
#include "anvil/routes.h"

/*
 * Connections of callers.
 *
 * evhttp answers malformed input with pages of its own and hides a caller's
 * leaving, so connections are bufferevents with http_parser. Requests of a
 * connection are handed on as soon as they are whole, also several at once;
 * their answers go out in the order of the requests.
 */

typedef struct anvil_relay_callers anvil_relay_callers_t;
typedef struct anvil_relay_caller_connection anvil_relay_caller_connection_t;

/**
 * anvil_relay_request_t - a whole request of a caller
 * @connection: where its answer goes; NULL once the caller has left
 * @method: as it was sent
 * @target: path and query as they were sent
 * @host: the Host header
 * @headers: the headers that are passed on, "Name: value\r\n" each
 * @body: its body, without chunks
 * @id: the caller's id of it, or NULL
 * @object: what it is about, or NULL
 * @timeout: how long the caller waits, microseconds; 0 if it didn't say
 * @received_at: when it was whole, monotonic clock
 * @close_after_response: the connection ends with its answer
 * @is_head: the answer must have no body
 * @handler_data: for whoever handles it
 * @callers: that it came to
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
  anvil_time_t timeout;
  anvil_time_t received_at;
  gboolean close_after_response;
  gboolean is_head;
  void *handler_data;
  anvil_relay_callers_t *callers;
} anvil_relay_request_t;

/**
 * anvil_relay_caller_callbacks_t - what callers do
 * @request: a whole request; answered once by anvil_relay_respond(), also if
 *   the caller leaves
 * @disconnected: the caller of an unanswered request has left
 * @limits: what callers may send now; borrowed
 */
typedef struct
{
  void (*request) (void *context, anvil_relay_request_t *request);
  void (*disconnected) (void *context, anvil_relay_request_t *request);
  const anvil_routes_limits_t *(*limits) (void *context);
} anvil_relay_caller_callbacks_t;

/**
 * anvil_relay_callers_open - listens for callers
 * @wire: names of headers; borrowed
 * @max_connections: more are closed at once
 * @max_buffered: bytes of bodies that are held; a request beyond is refused before it is read whole
 */
anvil_relay_callers_t *anvil_relay_callers_open (struct event_base *base,
                                                 guint32 address,
                                                 guint16 port,
                                                 const anvil_header_names_t *wire,
                                                 guint max_connections,
                                                 gsize max_buffered,
                                                 const anvil_relay_caller_callbacks_t *events,
                                                 void *context,
                                                 GError **error);

/** anvil_relay_callers_close - every request must have been answered or have lost its caller */
void anvil_relay_callers_close (anvil_relay_callers_t *callers);

/** anvil_relay_callers_buffered_bytes - bytes of bodies that are held */
gsize anvil_relay_callers_buffered_bytes (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_begin_shutdown - from now on the last answer that is due on a connection
 * ends it */
void anvil_relay_callers_begin_shutdown (anvil_relay_callers_t *callers);

/** anvil_relay_callers_count_busy - connections with an answer that isn't written yet */
guint anvil_relay_callers_count_busy (const anvil_relay_callers_t *callers);
guint anvil_relay_callers_count_connections (const anvil_relay_callers_t *callers);

/** anvil_relay_callers_port - port that is listened on */
guint16 anvil_relay_callers_port (const anvil_relay_callers_t *callers);

/**
 * anvil_relay_respond - answers and frees a request
 * @headers: "Name: value\r\n" each, without those of the connection or the length
 * @body: moved out of this buffer, or NULL
 */
void anvil_relay_respond (anvil_relay_request_t *request,
                          guint status,
                          anvil_str_t headers,
                          struct evbuffer *body);
