#pragma once

#include <event2/http.h>

#include "anvil/clock.h"

/**
 * anvil_http_pool_t - a few connections to one address, for calls that must not be sent twice
 *
 * A connection carries one call at a time and a call is sent on one connection
 * only: when that dies, the call ends. Calls beyond the connections wait in
 * order. Belongs to one event base.
 */
typedef struct anvil_http_pool anvil_http_pool_t;

/**
 * anvil_http_result_t - how a call ended
 * @sent: whether any byte of the call may have left
 * @status: status of the whole answer, 0 if none came
 * @body: body of the answer, or NULL; borrowed
 */
typedef struct
{
  gboolean sent;
  int status;
  struct evbuffer *body;
} anvil_http_result_t;

typedef void (*anvil_http_result_cb_t) (void *context, const anvil_http_result_t *reply);

/**
 * anvil_http_pool_open - a pool; connects when it is used
 * @address: IPv4 in host order
 * @timeout: longest time of a call with its wait, microseconds
 */
anvil_http_pool_t *
anvil_http_pool_open (struct event_base *base, guint32 address, guint16 port, anvil_time_t timeout);

/** anvil_http_pool_close - ends every call without an answer; not to be called from a callback */
void anvil_http_pool_close (anvil_http_pool_t *pool);

/**
 * anvil_http_pool_call - one call
 * @uri: path and query
 * @body: moved out of this buffer, or NULL
 * @done: runs once, never from inside this function
 */
void anvil_http_pool_call (anvil_http_pool_t *pool,
                           enum evhttp_cmd_type command,
                           const char *uri,
                           struct evbuffer *body,
                           anvil_http_result_cb_t done,
                           void *context);
