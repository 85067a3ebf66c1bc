#pragma once

#include <event2/event.h>

#include "anvil/codec.h"
#include "anvil/peers.h"

/* Most bytes that wait for a peer that doesn't read, beside one configuration. */
#define LINK_MAX_QUEUED_BYTES (256u << 10)

/**
 * link_t - one TCP connection between two entries, used in one direction
 *
 * The entry that opened it sends, the one that accepted it receives.
 */
typedef struct link link_t;

/**
 * link_events_t - what a link reports
 * @frame: a whole, valid frame; FALSE closes the link
 * @closed: the link has ended and is freed after this call; @bad if its input was refused
 */
typedef struct
{
  gboolean (*frame) (void *context, link_t *link, const anvil_frame_t *frame);
  void (*closed) (void *context, link_t *link, gboolean bad);
} link_events_t;

/** link_open - starts to connect to @node and queues the hello of @self */
link_t *link_open (struct event_base *base,
                   anvil_node_t self,
                   anvil_node_t node,
                   const link_events_t *events,
                   void *context,
                   anvil_peers_counters_t *counters);

/** link_accept - takes over an accepted socket */
link_t *link_accept (struct event_base *base,
                     evutil_socket_t fd,
                     const link_events_t *events,
                     void *context,
                     anvil_peers_counters_t *counters);

/** link_close - ends it without a report */
void link_close (link_t *link);

/** link_send - queues a packed frame; FALSE if too much waits already */
gboolean link_send (link_t *link, const GByteArray *frame);

/** link_node - the other end; ANVIL_NO_NODE on an accepted link before its hello */
anvil_node_t link_node (const link_t *link);
void link_set_node (link_t *link, anvil_node_t node);

/** link_sent_at - when a frame was last queued, on the monotonic clock */
anvil_time_t link_sent_at (const link_t *link);
