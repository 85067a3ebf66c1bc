#pragma once

#include <event2/http.h>

#include "anvil/byte-counts.h"
#include "anvil/clock.h"

/**
 * anvil_http_pool_t - up to four connections to one server, for calls that aren't idempotent
 *
 * A connection carries one call at a time. A call is never retried: when its
 * connection fails, the call ends. Calls wait in order for a free connection.
 */
typedef struct anvil_http_pool anvil_http_pool_t;

/**
 * anvil_http_result_t - result of a call
 * @sent: whether any byte of the request may have been sent
 * @status: status of the response, 0 if no complete one was received
 * @timed_out: the call's limit of time or of a pause was reached, so @status is 0
 * @too_large: the body of the response exceeds the call's limit, so @status is 0
 * @receive_time: from the first byte of the response until its end, microseconds
 * @body: body of the response, or NULL; borrowed
 * @kept_header: value of the field named by anvil_http_pool_keep_header(), if a head was received
 *   and has it; otherwise NULL. Borrowed
 */
typedef struct
{
  gboolean sent;
  int status;
  gboolean timed_out;
  gboolean too_large;
  anvil_time_t receive_time;
  struct evbuffer *body;
  const char *kept_header;
} anvil_http_result_t;

typedef void (*anvil_http_result_cb_t) (void *context, const anvil_http_result_t *result);
typedef void (*anvil_http_began_cb_t) (void *context);

/**
 * anvil_http_pool_open - creates a pool, which connects on the first call
 * @address: IPv4 in host order
 * @timeout: limit on the time until a response begins, including the wait for a connection, and on
 *   each pause in it. A response that arrives steadily may take longer in all, in proportion to its
 *   size
 */
anvil_http_pool_t *
anvil_http_pool_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout);

/** anvil_http_pool_keep_header - hands out a field of each response's head with the result; @name
 * is borrowed */
void anvil_http_pool_keep_header (anvil_http_pool_t *pool, const char *name);

/** anvil_http_pool_close - ends all calls with status 0; must not be called from a callback */
void anvil_http_pool_close (anvil_http_pool_t *pool);

/**
 * anvil_http_pool_call - sends a request, within the pool's limits
 * @uri: path and query
 * @body: body, moved out of this buffer, or NULL
 * @done: called exactly once, never from inside this function
 */
void anvil_http_pool_call (anvil_http_pool_t *pool,
                           enum evhttp_cmd_type command,
                           const char *uri,
                           struct evbuffer *body,
                           anvil_http_result_cb_t done,
                           void *context);

/**
 * anvil_http_call_limits_t - limits of one call; 0 for those of the pool
 * @timeout: until the response begins, microseconds
 * @pause: each pause in the response, microseconds
 * @response_bytes: body of the response. A longer one is given up as soon as its length is known
 * @began: called with the context of the call when the first byte of the response has arrived, or
 *   NULL
 */
typedef struct
{
  anvil_time_t timeout;
  anvil_time_t pause;
  gsize response_bytes;
  anvil_http_began_cb_t began;
} anvil_http_call_limits_t;

/** anvil_http_pool_call_within - like anvil_http_pool_call(), with limits of its own */
void anvil_http_pool_call_within (anvil_http_pool_t *pool,
                                  const anvil_http_call_limits_t *limits,
                                  enum evhttp_cmd_type command,
                                  const char *uri,
                                  struct evbuffer *body,
                                  anvil_http_result_cb_t done,
                                  void *context);

/** anvil_http_pool_byte_counts - bytes received and sent by all connections so far */
const anvil_byte_counts_t *anvil_http_pool_byte_counts (const anvil_http_pool_t *pool);
