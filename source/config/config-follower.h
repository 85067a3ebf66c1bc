#pragma once

#include "anvil/clock.h"
#include "anvil/config.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/**
 * anvil_config_follower_callbacks_t - requests and notifications of a follower
 * @read_head: read the head record, then call anvil_config_follower_head_read()
 * @get_object: get an object, then call anvil_config_follower_object_received()
 * @request_from_peer: request the file of a generation from a peer; if it responds, call
 *   anvil_config_follower_peer_response()
 * @in_force: a newer generation passed all checks and is in force
 */
typedef struct
{
  void (*read_head) (void *context);
  void (*get_object) (void *context, const char *name);
  void (*request_from_peer) (void *context, anvil_node_t peer, guint64 generation);
  void (*in_force) (void *context, anvil_config_t *config, guint64 generation);
} anvil_config_follower_callbacks_t;

/**
 * anvil_config_follower_t - keeps an entry on the newest configuration file
 *
 * Polls the platform for the head record, and requests newer files from peers
 * that have announced them. Uses neither sockets nor a clock. The generation in
 * force only grows. A file is accepted from any source if its digest matches its
 * head record and it passes the validation of anvil_config_load().
 */
typedef struct anvil_config_follower anvil_config_follower_t;

/** anvil_config_follower_new - creates a follower without a file in force; @seed is for the jitter
 */
anvil_config_follower_t *anvil_config_follower_new (
    guint32 seed, const anvil_config_follower_callbacks_t *callbacks, void *context);
void anvil_config_follower_drop (anvil_config_follower_t *follower);

/**
 * anvil_config_follower_tick - reads the head and sends requests to peers when they are due
 *
 * Return: time of the next call.
 */
anvil_time_t anvil_config_follower_tick (anvil_config_follower_t *follower, anvil_time_t now);

/** anvil_config_follower_head_read - result of read_head; @answered is FALSE if it failed, @head is
 * empty if there is no record yet */
void anvil_config_follower_head_read (anvil_config_follower_t *follower,
                                      anvil_time_t now,
                                      gboolean answered,
                                      anvil_str_t head);

/** anvil_config_follower_object_received - result of get_object; @answered is FALSE if it failed */
void anvil_config_follower_object_received (anvil_config_follower_t *follower,
                                            anvil_time_t now,
                                            gboolean answered,
                                            anvil_str_t body);

/** anvil_config_follower_add_source - @peer has announced that it has @generation */
void anvil_config_follower_add_source (anvil_config_follower_t *follower,
                                       anvil_time_t now,
                                       guint64 generation,
                                       anvil_node_t peer);

/** anvil_config_follower_peer_response - response of a peer: head record and file */
void anvil_config_follower_peer_response (anvil_config_follower_t *follower,
                                          anvil_str_t head,
                                          anvil_str_t file);

/** anvil_config_follower_current - generation in force, its head record and its file; 0 if
 * there is none yet */
guint64 anvil_config_follower_current (const anvil_config_follower_t *follower,
                                       anvil_str_t *head,
                                       anvil_str_t *file);
