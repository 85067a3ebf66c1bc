#pragma once

#include "anvil/steer.h"
#include "upstream-pool.h"

/**
 * anvil_upstream_request_t - one request to one upstream
 * @address: IPv4 in host order
 * @port: TCP port
 * @method: HTTP method
 * @uri: path and query
 * @deadline: when it is given up, on the monotonic clock
 * @pace_bytes_per_s: most that is written in a second, 0 for no bound
 */
typedef struct
{
  guint32 address;
  guint16 port;
  enum evhttp_cmd_type method;
  const char *uri;
  anvil_time_t deadline;
  gint64 pace_bytes_per_s;
} anvil_upstream_request_t;

/** anvil_attempt_t - a request to an upstream that is under way; dispatched at most once */
typedef struct anvil_attempt anvil_attempt_t;

/**
 * anvil_attempt_cb_t - an attempt has ended and is freed after this call
 * @response: the whole answer, borrowed, for ANVIL_ATTEMPT_ANSWERED; else NULL
 */
typedef void (*anvil_attempt_cb_t) (void *context,
                                    anvil_attempt_result_t result,
                                    struct evhttp_request *response);

/**
 * anvil_attempt_new - prepares an attempt; the caller fills in headers and body
 *
 * @done never runs before anvil_attempt_start() has returned.
 */
anvil_attempt_t *anvil_attempt_new (anvil_upstream_pool_t *pool,
                                    const anvil_upstream_request_t *order,
                                    anvil_attempt_cb_t done,
                                    void *context);

/** anvil_attempt_request - the request to fill in before the start */
struct evhttp_request *anvil_attempt_request (const anvil_attempt_t *attempt);

/** anvil_attempt_start - sends it */
void anvil_attempt_start (anvil_attempt_t *attempt);

/**
 * anvil_attempt_cancel - closes its connection, which tells the upstream; @done is not called
 *
 * Return: ANVIL_ATTEMPT_NOT_RUN if no byte was sent, else ANVIL_ATTEMPT_UNKNOWN.
 */
anvil_attempt_result_t anvil_attempt_cancel (anvil_attempt_t *attempt);
