#pragma once

#include "anvil/clock.h"
#include "anvil/config.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/**
 * anvil_follow_actions_t - what an entry does to stay on the newest file
 * @read_head: read the head's row, then call anvil_follow_head()
 * @get_object: fetch an object, then call anvil_follow_object()
 * @ask_peer: ask a peer for a generation's file; anvil_follow_arrived() may follow
 * @in_force: a newer generation passed every check
 */
typedef struct
{
  void (*read_head) (void *context);
  void (*get_object) (void *context, const char *name);
  void (*ask_peer) (void *context, anvil_node_t peer, guint64 generation);
  void (*in_force) (void *context, anvil_config_t *config, guint64 generation);
} anvil_follow_actions_t;

/**
 * anvil_follow_t - which file is in force, and where a newer one may be had
 *
 * Has no sockets and no clock. Generations in force only grow. A file counts
 * only if its digest is the one of its head record and it passes the checks of
 * an operators' file; where it came from doesn't matter.
 */
typedef struct anvil_follow anvil_follow_t;

/** anvil_follow_new - nothing in force; @seed is of the jitter */
anvil_follow_t *
anvil_follow_new (guint32 seed, const anvil_follow_actions_t *actions, void *context);
void anvil_follow_drop (anvil_follow_t *follow);

/**
 * anvil_follow_tick - reads the head and asks peers when it is time to
 *
 * Return: when it wants to be called next.
 */
anvil_time_t anvil_follow_tick (anvil_follow_t *follow, anvil_time_t now);

/** anvil_follow_head - outcome of read_head; @head is empty if there is none yet */
void
anvil_follow_head (anvil_follow_t *follow, anvil_time_t now, gboolean answered, anvil_str_t head);

/** anvil_follow_object - outcome of get_object */
void
anvil_follow_object (anvil_follow_t *follow, anvil_time_t now, gboolean answered, anvil_str_t body);

/** anvil_follow_learn - a generation is said to exist and @peer to have it */
void anvil_follow_learn (anvil_follow_t *follow,
                         anvil_time_t now,
                         guint64 generation,
                         anvil_node_t peer);

/** anvil_follow_arrived - a peer's answer: the head record and the file */
void anvil_follow_arrived (anvil_follow_t *follow, anvil_str_t head, anvil_str_t file);

/** anvil_follow_current - generation in force with its record and text; 0 before the first */
guint64 anvil_follow_current (const anvil_follow_t *follow, anvil_str_t *head, anvil_str_t *file);
