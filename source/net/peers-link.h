#pragma once

#include <event2/event.h>

#include "anvil/codec.h"
#include "anvil/peers.h"

/* Most bytes that wait for a peer that doesn't read, beside one configuration. */
#define ANVIL_PEER_LINK_MAX_QUEUED_BYTES (256u << 10)

/**
 * anvil_peer_link_t - one TCP connection between two entries, used in one direction
 *
 * The entry that opened it sends, the one that accepted it receives.
 */
typedef struct anvil_peer_link anvil_peer_link_t;

/**
 * anvil_peer_link_callbacks_t - what a link reports
 * @frame: a whole, valid frame; FALSE closes the link
 * @closed: the link has ended and is freed after this call; @bad if its input was refused
 */
typedef struct
{
  gboolean (*frame) (void *context, anvil_peer_link_t *link, const anvil_frame_t *frame);
  void (*closed) (void *context, anvil_peer_link_t *link, gboolean bad);
} anvil_peer_link_callbacks_t;

/** anvil_peer_link_open - starts to connect to @node and queues the hello of @self */
anvil_peer_link_t *anvil_peer_link_open (struct event_base *base,
                                         anvil_node_t self,
                                         anvil_node_t node,
                                         const anvil_peer_link_callbacks_t *events,
                                         void *context,
                                         anvil_peers_counters_t *counters);

/** anvil_peer_link_accept - takes over an accepted socket */
anvil_peer_link_t *anvil_peer_link_accept (struct event_base *base,
                                           evutil_socket_t fd,
                                           const anvil_peer_link_callbacks_t *events,
                                           void *context,
                                           anvil_peers_counters_t *counters);

/** anvil_peer_link_close - ends it without a report */
void anvil_peer_link_close (anvil_peer_link_t *link);

/** anvil_peer_link_send - queues a packed frame; FALSE if too much waits already */
gboolean anvil_peer_link_send (anvil_peer_link_t *link, const GByteArray *frame);

/** anvil_peer_link_node - the other end; ANVIL_NO_NODE on an accepted link before its hello */
anvil_node_t anvil_peer_link_node (const anvil_peer_link_t *link);
void anvil_peer_link_set_node (anvil_peer_link_t *link, anvil_node_t node);

/** anvil_peer_link_sent_at - when a frame was last queued, on the monotonic clock */
anvil_time_t anvil_peer_link_sent_at (const anvil_peer_link_t *link);
