#pragma once

#include "anvil/steer.h"
#include "upstream-pool.h"

/**
 * anvil_upstream_request_t - a request to one upstream
 * @address: IPv4 of the upstream, host order
 * @port: TCP port
 * @method: HTTP method
 * @uri: path and query; copied
 * @deadline: when the attempt times out, monotonic clock
 * @pace_bytes_per_s: maximum rate of writing, 0 for no limit
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

/** ANVIL_ATTEMPT_ID - header that names the attempt; an upstream repeats it in its response */
#define ANVIL_ATTEMPT_ID "Anvil-Attempt-Id"

/** anvil_attempt_t - a request to an upstream in progress; it is sent at most once */
typedef struct anvil_attempt anvil_attempt_t;

/**
 * anvil_attempt_cb_t - an attempt has ended; it is freed after this call
 * @response: for ANVIL_ATTEMPT_ANSWERED the complete response, borrowed; else NULL
 */
typedef void (*anvil_attempt_cb_t) (void *context,
                                    anvil_attempt_result_t result,
                                    struct evhttp_request *response);

/**
 * anvil_attempt_new - prepares an attempt, to which headers and body may then be added
 *
 * @done is never called before anvil_attempt_start() has returned.
 */
anvil_attempt_t *anvil_attempt_new (anvil_upstream_pool_t *pool,
                                    const anvil_upstream_request_t *target,
                                    anvil_attempt_cb_t done,
                                    void *context);

/** anvil_attempt_request - the request, to add headers and body before the start */
struct evhttp_request *anvil_attempt_request (const anvil_attempt_t *attempt);

/** anvil_attempt_start - sends the request */
void anvil_attempt_start (anvil_attempt_t *attempt);

/**
 * anvil_attempt_cancel - closes the connection, by which the upstream sees the cancellation; @done
 * is not called
 *
 * Return: ANVIL_ATTEMPT_NOT_RUN if no byte was sent, else ANVIL_ATTEMPT_UNKNOWN.
 */
anvil_attempt_result_t anvil_attempt_cancel (anvil_attempt_t *attempt);
