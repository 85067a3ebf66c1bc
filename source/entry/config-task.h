#pragma once

#include <event2/event.h>

#include "anvil/config.h"
#include "anvil/node.h"
#include "anvil/platform.h"

/**
 * anvil_config_task_t - keeps the configuration of an entry up to date
 *
 * Polls the row config/head, fetches the object that it names, verifies its
 * digest, validates the file and reports newer generations only. While the
 * platform is unavailable, it requests files from peers. Runs in the event loop.
 */
typedef struct anvil_config_task anvil_config_task_t;

/**
 * anvil_config_task_callbacks_t - callbacks of the task
 * @in_force: a newer generation is valid and in force now
 * @request_from_peer: request the file of a generation from this peer
 */
typedef struct
{
  void (*in_force) (void *context, anvil_config_t *config, guint64 generation);
  void (*request_from_peer) (void *context, anvil_node_t peer, guint64 generation);
} anvil_config_task_callbacks_t;

anvil_config_task_t *anvil_config_task_open (struct event_base *base,
                                             anvil_platform_t *platform,
                                             const anvil_config_task_callbacks_t *callbacks,
                                             void *context);
void anvil_config_task_close (anvil_config_task_t *task);

/** anvil_config_task_add_source - @peer has reported that it has a generation */
void
anvil_config_task_add_source (anvil_config_task_t *task, guint64 generation, anvil_node_t peer);

/** anvil_config_task_peer_response - a peer has sent its head record and file */
void anvil_config_task_peer_response (anvil_config_task_t *task,
                                      guint64 generation,
                                      anvil_str_t head,
                                      anvil_str_t file);

/**
 * anvil_config_task_current - the configuration in force
 * @head: its head record, JSON
 * @file: text of the configuration file
 *
 * Return: the generation, 0 if none is in force yet.
 */
guint64
anvil_config_task_current (const anvil_config_task_t *task, anvil_str_t *head, anvil_str_t *file);
