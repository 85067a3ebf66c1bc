#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"
#include "anvil/metrics.h"

/**
 * anvil_caller_connections_t - connections of callers, below libevent's HTTP server
 *
 * evhttp limits the size of one request and the idle time of a connection.
 * This adds a time-out for receiving a whole request, a limit on the request
 * bytes that the process buffers, and a notification when a caller disconnects
 * while its request is in progress.
 */
typedef struct anvil_caller_connections anvil_caller_connections_t;

/**
 * anvil_caller_limits_t - limits on incoming requests
 * @read_timeout: maximum time from the first byte of a request to its last
 * @max_buffered_bytes: maximum size of all requests that the process buffers
 */
typedef struct
{
  anvil_time_t read_timeout;
  guint64 max_buffered_bytes;
} anvil_caller_limits_t;

/** anvil_caller_disconnected_cb_t - the caller has closed its connection; can't be answered */
typedef void (*anvil_caller_disconnected_cb_t) (void *context);

anvil_caller_connections_t *anvil_caller_connections_new (struct event_base *base,
                                                          const anvil_caller_limits_t *limits,
                                                          anvil_metrics_t *metrics);

/** anvil_caller_connections_drop - call it after the HTTP server was freed */
void anvil_caller_connections_drop (anvil_caller_connections_t *connections);

/** anvil_caller_connections_new_bufferevent - callback for evhttp_set_bevcb(), with @connections as
 * its argument */
struct bufferevent *anvil_caller_connections_new_bufferevent (struct event_base *base,
                                                              void *connections);

/** anvil_caller_connections_request_received - a request was received completely; its bytes count
 * as buffered until it is finished */
void anvil_caller_connections_request_received (anvil_caller_connections_t *connections,
                                                struct evhttp_request *request);

/** anvil_caller_connections_watch_disconnect - calls @disconnected once if the caller
 * closes its connection before anvil_caller_connections_request_finished() */
void anvil_caller_connections_watch_disconnect (anvil_caller_connections_t *connections,
                                                struct evhttp_request *request,
                                                anvil_caller_disconnected_cb_t disconnected,
                                                void *context);

/** anvil_caller_connections_request_finished - call it just before the response is passed to
 * evhttp */
void anvil_caller_connections_request_finished (anvil_caller_connections_t *connections,
                                                struct evhttp_request *request);

/** anvil_caller_connections_buffered_bytes - request bytes that are buffered now */
guint64 anvil_caller_connections_buffered_bytes (const anvil_caller_connections_t *connections);

/** anvil_caller_connections_count - number of open connections */
guint anvil_caller_connections_count (const anvil_caller_connections_t *connections);

/** anvil_caller_connections_unsent_bytes - response bytes that are not written to sockets yet */
gsize anvil_caller_connections_unsent_bytes (const anvil_caller_connections_t *connections);
