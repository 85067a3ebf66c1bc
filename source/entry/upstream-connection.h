#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"

/**
 * anvil_upstream_connection_t - one connection to an upstream, one request at a time
 */
typedef struct anvil_upstream_connection anvil_upstream_connection_t;

/**
 * anvil_upstream_connection_open - connects when the first request is made
 * @address: IPv4 in host order
 * @max_header_bytes: bound on the headers of an answer
 * @max_body_bytes: bound on the body of an answer
 */
anvil_upstream_connection_t *anvil_upstream_connection_open (struct event_base *base,
                                                             guint32 address,
                                                             guint16 port,
                                                             gssize max_header_bytes,
                                                             gssize max_body_bytes);

/** anvil_upstream_connection_set_local_address - address that it comes from; before its first
 * request */
void anvil_upstream_connection_set_local_address (anvil_upstream_connection_t *connection,
                                                  guint32 address);

/**
 * anvil_upstream_connection_close - closes it from the event loop, after the callback that runs now
 *
 * A request under way must have been cancelled or have ended.
 */
void anvil_upstream_connection_close (anvil_upstream_connection_t *connection);

/**
 * anvil_upstream_connection_prepare - before a request
 * @timeout: longest silence
 * @pace_bytes_per_s: most that is written in a second, 0 for no bound
 */
void anvil_upstream_connection_prepare (anvil_upstream_connection_t *connection,
                                        anvil_time_t timeout,
                                        gint64 pace_bytes_per_s);

struct evhttp_connection *
anvil_upstream_connection_http (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_maybe_sent - whether a byte of the request may have reached the
 * upstream */
gboolean anvil_upstream_connection_maybe_sent (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_input_empty - whether nothing follows the answer that was read */
gboolean anvil_upstream_connection_input_empty (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_key - address and port, to look it up by */
guint64 anvil_upstream_connection_key (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_idle_since - when its last request ended */
anvil_time_t anvil_upstream_connection_idle_since (const anvil_upstream_connection_t *connection);
void anvil_upstream_connection_set_idle_since (anvil_upstream_connection_t *connection,
                                               anvil_time_t now);
