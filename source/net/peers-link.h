#pragma once

#include <event2/event.h>

#include "anvil/codec.h"
#include "anvil/peers.h"

/* No frame is queued on a link while more bytes than this wait to be sent. */
#define ANVIL_PEER_LINK_MAX_QUEUED_BYTES (256u << 10)

/**
 * anvil_peer_link_t - a TCP connection between two entries, used in one direction only
 *
 * The entry that opened it sends, the one that accepted it receives.
 */
typedef struct anvil_peer_link anvil_peer_link_t;

/**
 * anvil_peer_link_callbacks_t - events of a link
 * @frame: a valid frame was received; returns FALSE to close the link
 * @waiting: the bytes of an incomplete frame that have arrived changed; returns FALSE to close the
 *   link
 * @closed: the link was closed and is freed after this call; @bad_input if by invalid input
 */
typedef struct
{
  gboolean (*frame) (void *context, anvil_peer_link_t *link, const anvil_frame_t *frame);
  gboolean (*waiting) (void *context, anvil_peer_link_t *link, gsize before, gsize bytes);
  void (*closed) (void *context, anvil_peer_link_t *link, gboolean bad_input);
} anvil_peer_link_callbacks_t;

/** anvil_peer_link_open - starts connecting to @node and queues a hello from @self */
anvil_peer_link_t *anvil_peer_link_open (struct event_base *base,
                                         anvil_node_t self,
                                         anvil_node_t node,
                                         const anvil_peer_link_callbacks_t *callbacks,
                                         void *context,
                                         anvil_peers_counters_t *counters);

/** anvil_peer_link_accept - creates a link on an accepted socket, which it closes later */
anvil_peer_link_t *anvil_peer_link_accept (struct event_base *base,
                                           evutil_socket_t fd,
                                           const anvil_peer_link_callbacks_t *callbacks,
                                           void *context,
                                           anvil_peers_counters_t *counters);

/** anvil_peer_link_close - closes and frees a link without a callback */
void anvil_peer_link_close (anvil_peer_link_t *link);

/** anvil_peer_link_queued_bytes - bytes that wait to be sent */
gsize anvil_peer_link_queued_bytes (const anvil_peer_link_t *link);

/** anvil_peer_link_send - queues a packed frame; FALSE if the queue is full */
gboolean anvil_peer_link_send (anvil_peer_link_t *link, const GByteArray *frame);

/** anvil_peer_link_node - the other entry; ANVIL_NO_NODE on an accepted link before its hello */
anvil_node_t anvil_peer_link_node (const anvil_peer_link_t *link);
void anvil_peer_link_set_node (anvil_peer_link_t *link, anvil_node_t node);

/** anvil_peer_link_opened_at - when it was opened or accepted */
anvil_time_t anvil_peer_link_opened_at (const anvil_peer_link_t *link);

/** anvil_peer_link_refused - no process listened at the node when the link was opened */
gboolean anvil_peer_link_refused (const anvil_peer_link_t *link);

/** anvil_peer_link_waiting_bytes - bytes of an incomplete frame that have arrived */
gsize anvil_peer_link_waiting_bytes (const anvil_peer_link_t *link);

/** anvil_peer_link_last_queued_at - when a frame was last queued */
anvil_time_t anvil_peer_link_last_queued_at (const anvil_peer_link_t *link);
