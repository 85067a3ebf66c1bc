#pragma once

#include <http_parser.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "relay/relay-caller.h"

/* Shared by relay-caller.c, which manages connections and writes responses, and
 * relay-caller-read.c, which parses requests. */

/* Pipelined requests of one connection; reading pauses while this many are unanswered. */
#define MAX_PENDING_RESPONSES 32

struct anvil_relay_callers
{
  struct event_base *base;
  anvil_relay_callers_options_t options;
  anvil_relay_caller_callbacks_t callbacks;
  void *context;
  struct evconnlistener *listener;
  guint64 displaced_connections;
  /* Bytes of the bodies of all unanswered requests. */
  gsize buffered_bytes;
  /* Bytes of the responses that callers have not read yet. */
  gsize unsent_bytes;
  struct event *unsent_limit_event;
  gboolean shutting_down;
  GHashTable *connections;
  anvil_byte_counts_t byte_counts;
};

/**
 * pending_response_t - a response in the order in which a connection has to write them
 * @request: the request, NULL once it was answered
 * @head: start line and headers without the empty line, NULL until the request was answered
 * @body: the body, NULL until then
 * @close: the connection closes after it in any case
 *
 * Whether a response is the last one of its connection is decided when it is written: until then
 * more requests may arrive.
 */
typedef struct
{
  anvil_relay_request_t *request;
  struct evbuffer *head;
  struct evbuffer *body;
  gboolean close;
} pending_response_t;

/**
 * anvil_relay_caller_connection - one caller's connection
 * @parser: parser of requests
 * @partial_request: the request that is being read, or NULL
 * @field_name: name of the header that is being read
 * @field_value: its value
 * @in_value: the parser is in the value
 * @in_trailers: the header section has ended; later fields are trailers and are dropped
 * @dropping_body: the request that is being read was refused by its head and delivered
 * @dropped_bytes: size of its body so far
 * @hop_by_hop_names: names that Connection headers list, comma-separated
 * @input_start: start of the bytes that are being parsed
 * @header_bytes: size of request line and headers so far
 * @error_status: status of the response to input that was rejected, 0 for none
 * @pending_responses: pending_response_t in order
 * @unsent_bytes: bytes of responses that were not written to the socket yet
 * @header_timer: runs while headers are read
 * @body_timer: runs while a body is read
 * @idle_timer: always runs; compares @last_active_at with the idle time-out
 * @last_active_at: when bytes of the caller arrived or responses were written last
 * @reading_paused: MAX_PENDING_RESPONSES are pending, no more is read
 * @closing: no more requests are accepted; closes once all responses are written
 * @lingering: all responses are written; waits for the caller to close
 */
struct anvil_relay_caller_connection
{
  anvil_relay_callers_t *callers;
  struct bufferevent *stream;
  http_parser parser;
  anvil_relay_request_t *partial_request;
  GString *target;
  GString *field_name;
  GString *field_value;
  gboolean in_value;
  gboolean in_trailers;
  gboolean dropping_body;
  gsize dropped_bytes;
  GString *hop_by_hop_names;
  const char *input_start;
  gsize header_bytes;
  guint error_status;
  GQueue pending_responses;
  gsize unsent_bytes;
  struct event *header_timer;
  struct event *body_timer;
  struct event *idle_timer;
  anvil_time_t last_active_at;
  gboolean reading_paused;
  gboolean closing;
  gboolean lingering;
};

const anvil_routes_limits_t *caller_limits (const anvil_relay_caller_connection_t *connection);

/* Queues an error response to input that isn't an acceptable request, and closes after it. If the
 * request was refused before, only closes. */
void caller_connection_reject (anvil_relay_caller_connection_t *connection, guint status);

/* Delivers the complete requests that have arrived. May free the connection. */
void caller_connection_read (anvil_relay_caller_connection_t *connection);
