#pragma once

#include <http_parser.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "relay/relay-caller.h"

/* Parts of callers' connections: relay-caller.c keeps them and writes answers, relay-caller-read.c
 * reads requests. */

/* Requests of one connection that may wait for their answers; more are read later. */
#define MAX_PENDING 32

struct anvil_relay_callers
{
  struct event_base *base;
  const anvil_header_names_t *wire;
  anvil_relay_caller_callbacks_t events;
  void *context;
  struct evconnlistener *listener;
  guint max_connections;
  gsize max_buffered;
  /* Bytes of the bodies of all requests that aren't answered. */
  gsize buffered;
  gboolean leaving;
  GHashTable *connections;
};

/**
 * turn_t - place of a request in the order of its connection
 * @request: NULL once it was answered
 * @answer: NULL until then
 */
typedef struct
{
  anvil_relay_request_t *request;
  struct evbuffer *answer;
  gboolean close;
} turn_t;

/**
 * anvil_relay_caller_connection - one caller's connection
 * @parser: reads requests
 * @reading: the request that is being read, or NULL
 * @field: name of the header that is being read
 * @value: its value
 * @in_value: the parser is in the value
 * @in_trailers: the headers are whole; what looks like more of them follows a body and is dropped
 * @hop_fields: names of headers that concern this connection alone, as Connection lists them
 * @piece: beginning of the bytes that are being parsed
 * @header_bytes: bytes of request line and headers so far
 * @fault: status to answer when what is being read can't be taken, 0 for none
 * @turns: turn_t in order
 * @header_timer: runs while headers are read
 * @idle_timer: runs always; looks at @active_at
 * @active_at: when the caller's bytes arrived or its answers were written last
 * @paused: too many requests wait, no more is read
 * @ending: no more requests are taken; closed once all answers are written
 * @lingering: everything is written; waits for the caller to close
 */
struct anvil_relay_caller_connection
{
  anvil_relay_callers_t *callers;
  struct bufferevent *stream;
  http_parser parser;
  anvil_relay_request_t *reading;
  GString *target;
  GString *field;
  GString *value;
  gboolean in_value;
  gboolean in_trailers;
  GString *hop_fields;
  const char *piece;
  gsize header_bytes;
  guint fault;
  GQueue turns;
  struct event *header_timer;
  struct event *idle_timer;
  anvil_time_t active_at;
  gboolean paused;
  gboolean ending;
  gboolean lingering;
};

const anvil_routes_limits_t *caller_bounds_of (const anvil_relay_caller_connection_t *connection);

/* Answers what can't be read as a request, behind the answers that are due, and ends. */
void caller_reject (anvil_relay_caller_connection_t *connection, guint status);

/* Hands on the whole requests that have arrived. The connection may be freed. */
void caller_read_more (anvil_relay_caller_connection_t *connection);
