#pragma once

#include <event2/event.h>

#include "anvil/message.h"

/* Largest frame between entries, bytes; a whole configuration file has to fit. */
#define ANVIL_MAX_FRAME_BYTES (6u << 20)

/**
 * anvil_peers_t - TCP links to other entries, which carry frames of msgpack
 *
 * A frame is a 4-byte length in network byte order followed by a msgpack array.
 * The first frame of a link is a hello with the protocol version and the
 * sender's node. Links are opened when something is to be sent and closed when
 * idle. An invalid frame is counted and closes its link, with no other effect.
 */
typedef struct anvil_peers anvil_peers_t;

/**
 * anvil_peers_callbacks_t - called for received frames; arguments are borrowed
 * @message_received: a peer sent a message for the decision core
 * @config_requested: a peer requests the file of a generation or of a newer one
 * @config_received: a peer sent a file, whose digest the callback has to verify
 * @relay_message_received: a peer sent a packed message between anvil-relay processes, see
 *   relay/relay-message.h; if NULL, such frames are invalid
 * @refused: a peer's VM answered, but no process listens there; NULL to ignore it
 */
typedef struct
{
  void (*message_received) (void *context, anvil_node_t from, const anvil_message_t *message);
  void (*config_requested) (void *context, anvil_node_t from, guint64 generation);
  void (*config_received) (
      void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file);
  void (*relay_message_received) (void *context, anvil_node_t from, anvil_str_t bytes);
  void (*refused) (void *context, anvil_node_t node);
} anvil_peers_callbacks_t;

/**
 * anvil_peers_counters_t - traffic since the start
 * @bad_frames: invalid frames received
 * @version_mismatches: hellos of another protocol version received
 * @dropped: frames that weren't sent, and connections closed because there were too many
 */
typedef struct
{
  guint64 frames_in;
  guint64 frames_out;
  guint64 bytes_in;
  guint64 bytes_out;
  guint64 bad_frames;
  guint64 version_mismatches;
  guint64 dropped;
} anvil_peers_counters_t;

/** anvil_peers_open - listens on @node; NULL with @error if that fails */
anvil_peers_t *anvil_peers_open (struct event_base *base,
                                 anvil_node_t node,
                                 const anvil_peers_callbacks_t *callbacks,
                                 void *context,
                                 GError **error);
void anvil_peers_close (anvil_peers_t *peers);

/**
 * anvil_peers_set_limits - limits what other entries may take
 * @max_links: links from other entries; beyond this, each new one takes the place of the oldest
 *   one without a hello, or is closed
 * @max_bytes: incomplete frames, in all; above it the link with the longest is closed
 */
void anvil_peers_set_limits (anvil_peers_t *peers, guint max_links, gsize max_bytes);

/** anvil_peers_send - sends a message, or drops it if the peer is down or its queue is full */
void anvil_peers_send (anvil_peers_t *peers, anvil_node_t to, const anvil_message_t *message);

/** anvil_peers_request_config - requests the file of a generation or of a newer one */
void anvil_peers_request_config (anvil_peers_t *peers, anvil_node_t to, guint64 generation);

/** anvil_peers_send_config - responds to such a request; @head is the head record as stored in the
 * platform's table */
void anvil_peers_send_config (
    anvil_peers_t *peers, anvil_node_t to, guint64 generation, anvil_str_t head, anvil_str_t file);

/** anvil_peers_send_relay_message - like anvil_peers_send(), for a packed message between
 * anvil-relay processes */
void anvil_peers_send_relay_message (anvil_peers_t *peers, anvil_node_t to, anvil_str_t bytes);

/** anvil_peers_queued_bytes - bytes that wait to be sent to a peer; 0 without a link */
gsize anvil_peers_queued_bytes (const anvil_peers_t *peers, anvil_node_t to);

/** anvil_peers_close_link - closes the link to a peer that doesn't respond; the next frame opens a
 * new one */
void anvil_peers_close_link (anvil_peers_t *peers, anvil_node_t to);

const anvil_peers_counters_t *anvil_peers_counters (const anvil_peers_t *peers);
