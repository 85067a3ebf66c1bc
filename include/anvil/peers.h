#pragma once

#include <event2/event.h>

#include "anvil/message.h"

/* Largest frame between entries, bytes; a configuration travels in one. */
#define ANVIL_MAX_FRAME_BYTES (6u << 20)

/**
 * anvil_peers_t - TCP links to other entries, framed msgpack
 *
 * A frame is a 4-byte length in network order and a msgpack array. A link
 * begins with a hello that carries the protocol version and the sender's node.
 * Links are opened when something is to be sent and closed when idle. A frame
 * that can't be parsed closes its link and is counted; nothing else happens.
 */
typedef struct anvil_peers anvil_peers_t;

/**
 * anvil_peers_callbacks_t - what arrives; every callback borrows its arguments
 * @message: a message for the decision core
 * @config_requested: a peer wants the file of a generation, or a newer one
 * @config_received: a peer sent a file; its digest must be checked by the receiver
 * @task_message: a message about tasks, still packed; NULL refuses such frames
 */
typedef struct
{
  void (*message) (void *context, anvil_node_t from, const anvil_message_t *message);
  void (*config_requested) (void *context, anvil_node_t from, guint64 generation);
  void (*config_received) (
      void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file);
  void (*task_message) (void *context, anvil_node_t from, anvil_str_t bytes);
} anvil_peers_callbacks_t;

/** anvil_peers_counters_t - traffic since the start */
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

/** anvil_peers_open - listens on @node; NULL with @error if the address can't be had */
anvil_peers_t *anvil_peers_open (struct event_base *base,
                                 anvil_node_t node,
                                 const anvil_peers_callbacks_t *events,
                                 void *context,
                                 GError **error);
void anvil_peers_close (anvil_peers_t *peers);

/** anvil_peers_send - sends or drops; what is queued for a peer that doesn't read is bounded */
void anvil_peers_send (anvil_peers_t *peers, anvil_node_t to, const anvil_message_t *message);

/** anvil_peers_request_config - asks a peer for a generation's file */
void anvil_peers_request_config (anvil_peers_t *peers, anvil_node_t to, guint64 generation);

/** anvil_peers_send_config - answers such a question; @head is the head record as the table has it
 */
void anvil_peers_send_config (
    anvil_peers_t *peers, anvil_node_t to, guint64 generation, anvil_str_t head, anvil_str_t file);

/** anvil_peers_send_task_message - sends a packed message about tasks, or drops it */
void anvil_peers_send_task_message (anvil_peers_t *peers, anvil_node_t to, anvil_str_t bytes);

/** anvil_peers_close_link - closes the link to a peer that doesn't answer; the next send opens a
 * new one
 */
void anvil_peers_close_link (anvil_peers_t *peers, anvil_node_t to);

const anvil_peers_counters_t *anvil_peers_counters (const anvil_peers_t *peers);
