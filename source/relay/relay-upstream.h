#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include "anvil/clock.h"
#include "anvil/dispatcher.h"
#include "anvil/header-names.h"

/*
 * Connections to upstreams, and one exchange on each of them at a time.
 *
 * A connection is kept only after a whole answer with the id of its request and
 * nothing behind it. Nothing is sent a second time from here.
 */

typedef struct anvil_relay_upstream_pool anvil_relay_upstream_pool_t;
typedef struct anvil_relay_attempt anvil_relay_attempt_t;

/**
 * anvil_relay_upstream_request_t - a request for an upstream; everything is borrowed
 * @upstream_key: key of the upstream, which connections are kept by
 * @upstream_id: its id, sent along so that no other runs the request
 * @address: IPv4 in host order
 * @port: TCP port
 * @method: method
 * @target: path and query
 * @headers: "Name: value\r\n" each, as the caller sent them
 * @body: body; its bytes are copied, so that it may be sent again
 * @id: id of the request, or NULL
 * @idempotent: it may run more than once, so a kept connection that fails is no harm
 * @timeout: how long the upstream may take, microseconds
 */
typedef struct
{
  guint64 upstream_key;
  const char *upstream_id;
  guint32 address;
  guint16 port;
  const char *method;
  const char *target;
  const GString *headers;
  struct evbuffer *body;
  const char *id;
  gboolean idempotent;
  anvil_time_t timeout;
} anvil_relay_upstream_request_t;

/**
 * anvil_relay_attempt_outcome_t - how a run ended; borrowed
 * @result: ANVIL_RUN_UNUSED never comes
 * @reason: a word for logs where no answer came
 * @misdirected: another upstream has the address; @result is ANVIL_RUN_CONNECT_FAILED
 * @status: status of the answer, 0 without one
 * @headers: headers that are passed on, "Name: value\r\n" each
 * @body: body of the answer
 * @duration: from the start of sending to the end of the answer, microseconds
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
} anvil_relay_attempt_outcome_t;

typedef void (*anvil_relay_attempt_cb_t) (void *context,
                                          const anvil_relay_attempt_outcome_t *outcome);

/**
 * anvil_relay_upstream_pool_counters_t - what the pool has done
 * @connections_opened: connections opened
 * @connections_reused: runs on kept connections
 * @mismatched_responses: answers with the id of another request, thrown away
 */
typedef struct
{
  guint64 connections_opened;
  guint64 connections_reused;
  guint64 mismatched_responses;
} anvil_relay_upstream_pool_counters_t;

/**
 * anvil_relay_upstream_pool_open - no connections yet
 * @wire: names of headers; borrowed
 * @local: own IPv4 that connections come from, host order
 */
anvil_relay_upstream_pool_t *anvil_relay_upstream_pool_open (struct event_base *base,
                                                             const anvil_header_names_t *wire,
                                                             guint32 local);

/** anvil_relay_upstream_pool_close - every run must have ended */
void anvil_relay_upstream_pool_close (anvil_relay_upstream_pool_t *pool);

/** anvil_relay_attempt_start - sends a request; @done runs once, never from inside this function */
anvil_relay_attempt_t *anvil_relay_attempt_start (anvil_relay_upstream_pool_t *pool,
                                                  const anvil_relay_upstream_request_t *send,
                                                  anvil_relay_attempt_cb_t done,
                                                  void *context);

/** anvil_relay_attempt_cancel - ends a run and its connection without a callback; TRUE if bytes of
 * the request may have left */
gboolean anvil_relay_attempt_cancel (anvil_relay_attempt_t *run);

/** anvil_relay_upstream_pool_close_idle - closes kept connections to an upstream that left */
void anvil_relay_upstream_pool_close_idle (anvil_relay_upstream_pool_t *pool, guint64 upstream);

const anvil_relay_upstream_pool_counters_t *
anvil_relay_upstream_pool_counters (const anvil_relay_upstream_pool_t *pool);
