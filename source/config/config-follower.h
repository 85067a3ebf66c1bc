#pragma once

#include "anvil/clock.h"
#include "anvil/config.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/**
 * anvil_config_follower_callbacks_t - what an entry does to stay on the newest file
 * @read_head: read the head's row, then call anvil_config_follower_head_read()
 * @get_object: fetch an object, then call anvil_config_follower_object_received()
 * @request_from_peer: ask a peer for a generation's file; anvil_config_follower_peer_response() may
 * follow
 * @in_force: a newer generation passed every check
 */
typedef struct
{
  void (*read_head) (void *context);
  void (*get_object) (void *context, const char *name);
  void (*request_from_peer) (void *context, anvil_node_t peer, guint64 generation);
  void (*in_force) (void *context, anvil_config_t *config, guint64 generation);
} anvil_config_follower_callbacks_t;

/**
 * anvil_config_follower_t - which file is in force, and where a newer one may be had
 *
 * Has no sockets and no clock. Generations in force only grow. A file counts
 * only if its digest is the one of its head record and it passes the checks of
 * an operators' file; where it came from doesn't matter.
 */
typedef struct anvil_config_follower anvil_config_follower_t;

/** anvil_config_follower_new - nothing in force; @seed is of the jitter */
anvil_config_follower_t *anvil_config_follower_new (
    guint32 seed, const anvil_config_follower_callbacks_t *actions, void *context);
void anvil_config_follower_drop (anvil_config_follower_t *follow);

/**
 * anvil_config_follower_tick - reads the head and asks peers when it is time to
 *
 * Return: when it wants to be called next.
 */
anvil_time_t anvil_config_follower_tick (anvil_config_follower_t *follow, anvil_time_t now);

/** anvil_config_follower_head_read - outcome of read_head; @head is empty if there is none yet */
void anvil_config_follower_head_read (anvil_config_follower_t *follow,
                                      anvil_time_t now,
                                      gboolean answered,
                                      anvil_str_t head);

/** anvil_config_follower_object_received - outcome of get_object */
void anvil_config_follower_object_received (anvil_config_follower_t *follow,
                                            anvil_time_t now,
                                            gboolean answered,
                                            anvil_str_t body);

/** anvil_config_follower_add_source - a generation is said to exist and @peer to have it */
void anvil_config_follower_add_source (anvil_config_follower_t *follow,
                                       anvil_time_t now,
                                       guint64 generation,
                                       anvil_node_t peer);

/** anvil_config_follower_peer_response - a peer's answer: the head record and the file */
void anvil_config_follower_peer_response (anvil_config_follower_t *follow,
                                          anvil_str_t head,
                                          anvil_str_t file);

/** anvil_config_follower_current - generation in force with its record and text; 0 before the first
 */
guint64 anvil_config_follower_current (const anvil_config_follower_t *follow,
                                       anvil_str_t *head,
                                       anvil_str_t *file);
