#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"
#include "anvil/metrics.h"

/**
 * anvil_caller_connections_t - the connections of callers below the HTTP library
 *
 * The library bounds one request, and the silence on a connection. This adds
 * a bound on the time that a whole request may take to arrive, a bound on the
 * bytes of requests held by the whole process, and word of callers that leave
 * while their request is under way.
 */
typedef struct anvil_caller_connections anvil_caller_connections_t;

/**
 * anvil_caller_limits_t - bounds on what callers send
 * @read_timeout: longest time from the first byte of a request to its last
 * @max_buffered_bytes: most bytes of requests held by the process
 */
typedef struct
{
  anvil_time_t read_timeout;
  guint64 max_buffered_bytes;
} anvil_caller_limits_t;

/** anvil_caller_gone_cb_t - the caller has closed its connection; no answer can reach it */
typedef void (*anvil_caller_gone_cb_t) (void *context);

anvil_caller_connections_t *anvil_caller_connections_new (struct event_base *base,
                                                          const anvil_caller_limits_t *limits,
                                                          anvil_metrics_t *counters);

/** anvil_caller_connections_drop - after the HTTP server that used it was freed */
void anvil_caller_connections_drop (anvil_caller_connections_t *connections);

/** anvil_caller_connections_bev - for evhttp_set_bevcb(), with the connections as context */
struct bufferevent *anvil_caller_connections_bev (struct event_base *base, void *connections);

/** anvil_caller_begin - a whole request has arrived; its bytes stay counted until the end */
void anvil_caller_begin (anvil_caller_connections_t *connections, struct evhttp_request *request);

/** anvil_caller_watch - calls @gone once if the caller leaves before anvil_caller_end() */
void anvil_caller_watch (anvil_caller_connections_t *connections,
                         struct evhttp_request *request,
                         anvil_caller_gone_cb_t gone,
                         void *context);

/** anvil_caller_end - just before the answer is handed to the library */
void anvil_caller_end (anvil_caller_connections_t *connections, struct evhttp_request *request);

/** anvil_caller_buffered - bytes of requests held now */
guint64 anvil_caller_buffered (const anvil_caller_connections_t *connections);

/** anvil_caller_count - open connections */
guint anvil_caller_count (const anvil_caller_connections_t *connections);

/** anvil_caller_unsent - bytes of answers that no caller has been sent yet */
gsize anvil_caller_unsent (const anvil_caller_connections_t *connections);
