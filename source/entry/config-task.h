#pragma once

#include <event2/event.h>

#include "anvil/config.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/**
 * anvil_config_task_t - keeps an entry on the newest operators' file
 *
 * Polls config/head, fetches the object, checks its digest and the file itself,
 * and hands over generations in growing order only. While the platform is away
 * it takes files from peers. Belongs to the event loop.
 */
typedef struct anvil_config_task anvil_config_task_t;

/**
 * anvil_config_task_callbacks_t - what the task wants
 * @in_force: a newer generation passed every check
 * @request_from_peer: ask this peer for a generation's file
 */
typedef struct
{
  void (*in_force) (void *context, anvil_config_t *config, guint64 generation);
  void (*request_from_peer) (void *context, anvil_node_t peer, guint64 generation);
} anvil_config_task_callbacks_t;

anvil_config_task_t *anvil_config_task_open (struct event_base *base,
                                             anvil_platform_t *platform,
                                             const anvil_config_task_callbacks_t *events,
                                             void *context);
void anvil_config_task_close (anvil_config_task_t *task);

/** anvil_config_task_add_source - a generation is said to exist and @peer to have it */
void
anvil_config_task_add_source (anvil_config_task_t *task, guint64 generation, anvil_node_t peer);

/** anvil_config_task_peer_response - a peer's answer: the head record and the file */
void anvil_config_task_peer_response (anvil_config_task_t *task,
                                      guint64 generation,
                                      anvil_str_t head,
                                      anvil_str_t file);

/**
 * anvil_config_task_current - the file in force, for peers and administration
 * @head: its head record, JSON
 * @file: its text
 *
 * Return: the generation, 0 before the first.
 */
guint64
anvil_config_task_current (const anvil_config_task_t *task, anvil_str_t *head, anvil_str_t *file);
