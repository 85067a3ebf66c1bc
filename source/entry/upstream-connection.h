#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include "anvil/clock.h"

/** anvil_upstream_connection_t - a connection to an upstream, for one request at a time */
typedef struct anvil_upstream_connection anvil_upstream_connection_t;

/**
 * anvil_upstream_connection_open - creates a connection, which connects on the first request
 * @address: IPv4 in host order
 * @max_header_bytes: limit on the headers of a response
 * @max_body_bytes: limit on the body of a response
 */
anvil_upstream_connection_t *anvil_upstream_connection_open (struct event_base *base,
                                                             guint32 address,
                                                             guint16 port,
                                                             gssize max_header_bytes,
                                                             gssize max_body_bytes);

/** anvil_upstream_connection_set_local_address - sets the local address; call it before the first
 * request */
void anvil_upstream_connection_set_local_address (anvil_upstream_connection_t *connection,
                                                  guint32 address);

/**
 * anvil_upstream_connection_close - closes the connection once the running callback has returned
 *
 * No request may be in progress.
 */
void anvil_upstream_connection_close (anvil_upstream_connection_t *connection);

/**
 * anvil_upstream_connection_prepare - call it before each request
 * @timeout: maximum time without traffic
 * @pace_bytes_per_s: maximum rate of writing, 0 for no limit
 */
void anvil_upstream_connection_prepare (anvil_upstream_connection_t *connection,
                                        anvil_time_t timeout,
                                        gint64 pace_bytes_per_s);

/** anvil_upstream_connection_is_new - whether it has carried no request before the one prepared */
gboolean anvil_upstream_connection_is_new (const anvil_upstream_connection_t *connection);

struct evhttp_connection *
anvil_upstream_connection_http (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_maybe_sent - whether part of the request may have reached the
 * upstream */
gboolean anvil_upstream_connection_maybe_sent (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_input_empty - whether no bytes follow the response that was read */
gboolean anvil_upstream_connection_input_empty (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_key - address and port of the upstream as one number */
guint64 anvil_upstream_connection_key (const anvil_upstream_connection_t *connection);

/** anvil_upstream_connection_idle_since - when its last request ended */
anvil_time_t anvil_upstream_connection_idle_since (const anvil_upstream_connection_t *connection);
void anvil_upstream_connection_set_idle_since (anvil_upstream_connection_t *connection,
                                               anvil_time_t now);
