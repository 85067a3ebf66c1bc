#pragma once

#include "upstream-connection.h"

/**
 * anvil_upstream_pool_t - idle connections to upstreams, by address
 *
 * Connections are closed after a few idle seconds, so that an upstream rarely
 * closes one just when it is used again.
 */
typedef struct anvil_upstream_pool anvil_upstream_pool_t;

anvil_upstream_pool_t *
anvil_upstream_pool_open (struct event_base *base, gssize max_header_bytes, gssize max_body_bytes);

/**
 * anvil_upstream_pool_set_local_address - sets the local address of new connections
 * @address: IPv4 in host order; 0, the default, lets the kernel choose
 */
void anvil_upstream_pool_set_local_address (anvil_upstream_pool_t *pool, guint32 address);

/** anvil_upstream_pool_close - closes the idle connections; no connection may be in use */
void anvil_upstream_pool_close (anvil_upstream_pool_t *pool);

struct event_base *anvil_upstream_pool_base (const anvil_upstream_pool_t *pool);

/** anvil_upstream_pool_next_attempt - a number that names one attempt of this process */
guint64 anvil_upstream_pool_next_attempt (anvil_upstream_pool_t *pool);

/** anvil_upstream_pool_acquire - returns an idle connection or a new one */
anvil_upstream_connection_t *
anvil_upstream_pool_acquire (anvil_upstream_pool_t *pool, guint32 address, guint16 port);

/** anvil_upstream_pool_release - returns a reusable connection to the pool */
void anvil_upstream_pool_release (anvil_upstream_pool_t *pool,
                                  anvil_upstream_connection_t *connection);
