#pragma once

#include <http_parser.h>

#include <event2/bufferevent.h>

#include "net/http-response-head.h"
#include "net/stream-end.h"
#include "relay/relay-upstream.h"

/* relay-upstream.c connects and sends requests, relay-upstream-pool.c keeps idle connections,
 * relay-upstream-response.c parses and classifies responses. */

typedef struct upstream_connection upstream_connection_t;

/* A connection that has carried so many requests is closed, since it keeps their ids. */
#define MAX_CONNECTION_REQUESTS 64

struct anvil_relay_upstream_pool
{
  struct event_base *base;
  const anvil_header_names_t *header_names;
  guint32 local_address;
  /* GQueue of idle upstream_connection_t by key of the upstream, most recently used first. */
  GHashTable *idle_connections;
  /* Set of the attempts under way. */
  GHashTable *attempts;
  /* Limit of the bytes in the bodies of all of them, and their current sum. */
  gsize max_buffered_bytes;
  gsize buffered_bytes;
  struct event *sweep_timer;
  anvil_relay_upstream_pool_counters_t counters;
  anvil_relay_withhold_cb_t withhold;
  void *withhold_context;
};

/**
 * upstream_connection - one connection to an upstream
 * @end: how it has ended
 * @attempt: attempt that uses it, or NULL while it is idle
 * @id_hashes: hashes of the ids of the requests that it has carried; of an empty text for one
 * without an id
 * @n_requests: number of these requests
 * @idle_timeout: how long it may stay idle
 * @idle_since: when its last response ended
 * @close_after_response: the upstream announced that it will close the connection
 * @user_timeout_ms: TCP_USER_TIMEOUT that is set
 */
struct upstream_connection
{
  anvil_relay_upstream_pool_t *pool;
  guint64 upstream_key;
  guint32 address;
  guint16 port;
  struct bufferevent *stream;
  anvil_stream_end_t end;
  anvil_relay_attempt_t *attempt;
  gboolean reused;
  guint64 id_hashes[MAX_CONNECTION_REQUESTS];
  guint n_requests;
  anvil_time_t idle_timeout;
  anvil_time_t idle_since;
  gboolean close_after_response;
  unsigned int user_timeout_ms;
};

/**
 * anvil_relay_attempt - one request and its response
 * @request_bytes: size of the request on the wire
 * @unsent: the request, until a new connection has been established; otherwise NULL
 * @upstream_started_at: start of the upstream's process as far as it is known
 * @peer_timer: checks whether the upstream still acknowledges a long request, or NULL
 * @head: check of the responses' heads
 * @in_body: the head of the response has ended; later fields are trailers
 * @response_request_id: request id in the response, or NULL
 * @response_upstream_id: upstream that the response names as its sender, or NULL
 * @has_response_marker: the response carries the marker header
 * @not_run: the response says that the request has not run
 * @request_limit: request limit that the response names
 * @speed: speed of the upstream's VM that the response names, percent; 0 for none
 * @n_load_fields: load headers of the response
 * @announcement: what the response says of its upstream
 * @has_content_encoding: the response has a Content-Encoding other than identity
 * @response_complete: the parser has reached the end of a response
 * @n_mismatched: responses to other requests so far
 * @framing_bytes: bytes received that belong to no body: heads, chunk sizes, trailers
 * @body_bytes: bytes received that belong to a body, also of a discarded response
 */
struct anvil_relay_attempt
{
  upstream_connection_t *connection;
  anvil_relay_attempt_cb_t done;
  anvil_relay_announced_cb_t announced;
  void *context;
  char *request_id;
  char *upstream_id;
  gboolean is_head;
  gsize request_bytes;
  struct evbuffer *unsent;
  gint64 upstream_started_at;
  struct event *peer_timer;
  anvil_time_t started_at;
  http_parser parser;
  anvil_http_head_t head;
  GString *field_name;
  GString *field_value;
  gboolean in_value;
  gboolean in_body;
  GString *headers;
  struct evbuffer *body;
  char *response_request_id;
  char *response_upstream_id;
  gboolean has_response_marker;
  gboolean not_run;
  anvil_request_limit_t request_limit;
  guint speed;
  guint n_load_fields;
  anvil_announcement_t announcement;
  gboolean has_content_encoding;
  gboolean response_complete;
  guint n_mismatched;
  gsize framing_bytes;
  gsize body_bytes;
};

/* Closes a connection in order, and frees it. */
void upstream_connection_close (upstream_connection_t *connection);

/* Whether bytes, or the end of the connection, have arrived and were not read yet. */
gboolean upstream_connection_has_unread_bytes (const upstream_connection_t *connection);

/* Adds a connection to the idle ones, and takes it from them. */
void pool_add_idle (upstream_connection_t *connection);
void pool_remove_idle (upstream_connection_t *connection);

/* Takes an idle connection that may carry the request, or NULL. */
upstream_connection_t *pool_take_idle (anvil_relay_upstream_pool_t *pool,
                                       const anvil_relay_upstream_request_t *request);

/* Whether a connection has carried a request with this id. An upstream may write a response to it
 * again, late, and nothing in that tells for which of two requests with one id it is. */
gboolean upstream_connection_has_carried (const upstream_connection_t *connection,
                                          const char *request_id);

void upstream_connection_add_request (upstream_connection_t *connection, const char *request_id);

/* Parses bytes of a response, or the end of the stream if @length is 0. Returns the number of bytes
 * consumed; stops after each head and each complete response, and at what is no response; see
 * attempt_problem(). */
size_t attempt_parse (anvil_relay_attempt_t *attempt, const char *bytes, size_t length);

/* Why what has arrived is no response, or NULL. */
const char *attempt_problem (const anvil_relay_attempt_t *attempt);

/* Empties the body and takes its bytes off the pool's sum. */
void attempt_clear_body (anvil_relay_attempt_t *attempt);

/* Whether so many bytes have arrived that belong to no body that no response needs them. */
gboolean attempt_has_excessive_framing (const anvil_relay_attempt_t *attempt);

/* Whether the parsed response is for this request. A response without a request id is accepted if
 * the request has no id either. It is also accepted if it says that the request has not run or that
 * another upstream has the address, but only as the first response on a new connection: later it
 * may be a copy of the response to an earlier request. */
gboolean attempt_response_matches (const anvil_relay_attempt_t *attempt);

/* Derives the outcome from a complete response to this request. */
anvil_relay_attempt_outcome_t attempt_classify_response (const anvil_relay_attempt_t *attempt);
