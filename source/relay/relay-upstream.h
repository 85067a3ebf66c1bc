#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include "anvil/announcement.h"
#include "anvil/byte-counts.h"
#include "anvil/clock.h"
#include "anvil/dispatcher.h"
#include "anvil/header-names.h"
#include "anvil/request-limit.h"

/*
 * Connections to upstreams, with one request at a time on each.
 *
 * A connection is reused only after a complete response that carries the id of
 * its request and has nothing behind it, and never for an id that it has carried
 * before. This module never retries a request.
 */

typedef struct anvil_relay_upstream_pool anvil_relay_upstream_pool_t;
typedef struct anvil_relay_attempt anvil_relay_attempt_t;

/* Called when the head of a response to the request has arrived in which the upstream says
 * something of itself; not from inside a function of this module, and before the attempt's
 * callback. The rest of the response may never arrive. The attempt must not be cancelled here. */
typedef void (*anvil_relay_announced_cb_t) (void *context,
                                            const anvil_announcement_t *announcement);

/* Why a request must not be sent to a process of an upstream any more, or NULL. Asked when a new
 * connection has been established, before the first byte is sent. */
typedef const char *(*anvil_relay_withhold_cb_t) (void *context,
                                                  guint64 upstream_key,
                                                  gint64 started_at);

/**
 * anvil_relay_upstream_request_t - a request for an upstream; everything is borrowed
 * @upstream_key: key of the upstream; idle connections are found by it
 * @upstream_id: id of the upstream, sent along so that no other upstream runs the request
 * @address: IPv4 in host order
 * @port: TCP port
 * @started_at: start of its process as far as it is known, see anvil_upstream_report_t; 0 if not
 * @method: HTTP method
 * @target: path and query
 * @headers: "Name: value\r\n" each, as the caller sent them
 * @body: body; copied, so that it can be sent again
 * @id: request id; NULL for a request without one, which is sent on a new connection, since its
 *   response can't be told from others
 * @idempotent: it may run more than once, so it can use a connection that may turn out to be dead
 * @timeout: how long the upstream may take, microseconds
 * @announced: called with the context of the attempt; or NULL
 */
typedef struct
{
  guint64 upstream_key;
  const char *upstream_id;
  guint32 address;
  guint16 port;
  gint64 started_at;
  const char *method;
  const char *target;
  const GString *headers;
  struct evbuffer *body;
  const char *id;
  gboolean idempotent;
  anvil_time_t timeout;
  anvil_relay_announced_cb_t announced;
} anvil_relay_upstream_request_t;

/**
 * anvil_relay_response_t - what the head of an upstream's response says, for logs
 * @status: status code, 0 without a complete response
 * @has_marker: it has the marker of upstreams' responses
 * @not_run: it states that the request has not run
 * @has_id: it has the id of the request
 * @connection_reused: it arrived on a connection that had carried another response
 * @upstream_id: id of the upstream that it names as its sender, or NULL; borrowed
 */
typedef struct
{
  guint status;
  gboolean has_marker;
  gboolean not_run;
  gboolean has_id;
  gboolean connection_reused;
  const char *upstream_id;
} anvil_relay_response_t;

/**
 * anvil_relay_attempt_outcome_t - how an attempt ended; borrowed
 * @result: never ANVIL_RUN_UNUSED
 * @reason: for logs, why there is no usable response; or NULL
 * @withheld: connect failed: the upstream could be reached, but wanted no more requests by then
 * @misdirected: another upstream has the address; @result is ANVIL_RUN_CONNECT_FAILED
 * @status: status of the response, 0 without one
 * @headers: headers to forward, "Name: value\r\n" each
 * @body: body of the response
 * @duration: from the start of sending to the end of the response, microseconds
 * @request_limit: what the response says about the upstream's request limit
 * @speed: how long work takes on the upstream's VM as the response to a run says, percent of the
 * usual time; 0 if it doesn't say
 * @response: the response that @result was derived from, usable or not
 */
typedef struct
{
  anvil_run_result_t result;
  const char *reason;
  gboolean misdirected;
  guint status;
  const GString *headers;
  struct evbuffer *body;
  anvil_time_t duration;
  anvil_request_limit_t request_limit;
  guint speed;
  anvil_relay_response_t response;
  gboolean withheld;
} anvil_relay_attempt_outcome_t;

typedef void (*anvil_relay_attempt_cb_t) (void *context,
                                          const anvil_relay_attempt_outcome_t *outcome);

/**
 * anvil_relay_upstream_pool_counters_t - totals since the pool was opened
 * @connections_reused: attempts on connections that were idle
 * @mismatched_responses: discarded responses that carry the id of another request
 * @oversized_responses: responses given up since they or all together were too long
 * @bytes: received from and sent to upstreams
 */
typedef struct
{
  guint64 connections_opened;
  guint64 connections_reused;
  guint64 mismatched_responses;
  guint64 oversized_responses;
  anvil_byte_counts_t bytes;
} anvil_relay_upstream_pool_counters_t;

/**
 * anvil_relay_upstream_pool_open - creates a pool without connections
 * @header_names: names of the exchanged headers; borrowed
 * @local_address: own IPv4 that connections are bound to, host order; 0 leaves it to the kernel
 * @max_buffered_bytes: limit of the bodies of all responses that are being received; above it the
 *   longest is given up
 */
anvil_relay_upstream_pool_t *
anvil_relay_upstream_pool_open (struct event_base *base,
                                const anvil_header_names_t *header_names,
                                guint32 local_address,
                                gsize max_buffered_bytes);

/** anvil_relay_upstream_pool_buffered_bytes - bytes in the bodies of responses that are being
 * received */
gsize anvil_relay_upstream_pool_buffered_bytes (const anvil_relay_upstream_pool_t *pool);

/** anvil_relay_upstream_pool_close - every attempt must have ended */
void anvil_relay_upstream_pool_close (anvil_relay_upstream_pool_t *pool);

/** anvil_relay_outcome_result - what is reported to the holder: a request that was withheld says
 * nothing about the upstream */
anvil_run_result_t anvil_relay_outcome_result (const anvil_relay_attempt_outcome_t *outcome);

/** anvil_relay_upstream_pool_set_withhold - sets what is asked before requests are sent; without it
 * all are */
void anvil_relay_upstream_pool_set_withhold (anvil_relay_upstream_pool_t *pool,
                                             anvil_relay_withhold_cb_t withhold,
                                             void *context);

/** anvil_relay_attempt_start - sends a request; @done is called once, never before this returns */
anvil_relay_attempt_t *anvil_relay_attempt_start (anvil_relay_upstream_pool_t *pool,
                                                  const anvil_relay_upstream_request_t *request,
                                                  anvil_relay_attempt_cb_t done,
                                                  void *context);

/** anvil_relay_attempt_cancel - ends an attempt and its connection without a callback; TRUE if
 * bytes of the request may have been sent */
gboolean anvil_relay_attempt_cancel (anvil_relay_attempt_t *attempt);

/** anvil_relay_attempt_has_unread_bytes - whether bytes from the upstream have arrived that were
 * not parsed yet */
gboolean anvil_relay_attempt_has_unread_bytes (const anvil_relay_attempt_t *attempt);

/** anvil_relay_upstream_pool_close_idle - closes the idle connections to an upstream */
void anvil_relay_upstream_pool_close_idle (anvil_relay_upstream_pool_t *pool, guint64 upstream_key);

const anvil_relay_upstream_pool_counters_t *
anvil_relay_upstream_pool_counters (const anvil_relay_upstream_pool_t *pool);
