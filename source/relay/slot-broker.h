#pragma once

#include <event2/event.h>

#include "anvil/members.h"
#include "anvil/registry.h"
#include "relay/relay-message.h"
#include "relay/relay-settings.h"
#include "relay/warm-object-table.h"

/*
 * Where this entry asks for slots, and where it lends those that it holds.
 *
 * For each service one entry holds the slots of all its upstreams. The broker
 * asks that entry, over the link between them or straight if it is this one,
 * and turns to the next when it stops answering.
 */

typedef struct anvil_slot_broker anvil_slot_broker_t;

/**
 * anvil_slot_broker_callbacks_t - answers to what was asked; never from inside a call to the broker
 * @granted: a slot; @from must be told by anvil_slot_broker_run_finished(), also of one not wanted
 * any more
 * @refused: no slot
 * @holder_changed: tasks of @service must be asked for again at the new holder
 * @peer_restarted: a peer has forgotten what was asked there
 * @updates_requested: a peer wants the news of upstreams after @version
 * @updates_received: a peer told news of upstreams; borrowed
 */
typedef struct
{
  void (*granted) (void *context, guint64 number, anvil_node_t from, const anvil_grant_t *grant);
  void (*refused) (void *context,
                   guint64 number,
                   anvil_node_t from,
                   const anvil_task_refusal_info_t *refused);
  void (*holder_changed) (void *context, const char *service, anvil_node_t holder);
  void (*peer_restarted) (void *context, anvil_node_t peer);
  void (*updates_requested) (void *context, anvil_node_t peer, guint64 version);
  void (*updates_received) (void *context, anvil_node_t peer, const anvil_relay_message_t *message);
} anvil_slot_broker_callbacks_t;

/** anvil_slot_broker_open - listens for peers */
anvil_slot_broker_t *anvil_slot_broker_open (struct event_base *base,
                                             const anvil_relay_settings_t *settings,
                                             const anvil_registry_t *registry,
                                             const anvil_slot_broker_callbacks_t *events,
                                             void *context,
                                             GError **error);
void anvil_slot_broker_close (anvil_slot_broker_t *broker);

/** anvil_slot_broker_holder - who is asked for slots of a service now */
anvil_node_t anvil_slot_broker_holder (anvil_slot_broker_t *broker, const char *service);

/** anvil_slot_broker_request_slot - a task for @holder; asking again for the same is harmless */
void anvil_slot_broker_request_slot (anvil_slot_broker_t *broker,
                                     anvil_node_t holder,
                                     const anvil_task_t *task);

/** anvil_slot_broker_adopt - tells a new holder of a task that is under way */
void anvil_slot_broker_adopt (anvil_slot_broker_t *broker,
                              anvil_node_t holder,
                              const anvil_task_t *task,
                              guint64 upstream);

/** anvil_slot_broker_send_warm_objects - tells a new holder where objects were handled lately */
void anvil_slot_broker_send_warm_objects (anvil_slot_broker_t *broker,
                                          anvil_node_t holder,
                                          const char *service,
                                          const anvil_warm_object_t *places,
                                          guint n_objects);

/** anvil_slot_broker_list_warm_objects - what this entry, as holder, believes upstreams to remember
 */
guint anvil_slot_broker_list_warm_objects (anvil_slot_broker_t *broker,
                                           const char *service,
                                           anvil_warm_object_t *places,
                                           guint max_objects);

/** anvil_slot_broker_foreach_held_service - visits the services whose slots this entry holds */
void anvil_slot_broker_foreach_held_service (anvil_slot_broker_t *broker,
                                             void (*visit) (void *context, const char *service),
                                             void *context);
void anvil_slot_broker_cancel (anvil_slot_broker_t *broker, anvil_node_t holder, guint64 number);
void anvil_slot_broker_run_finished (anvil_slot_broker_t *broker,
                                     anvil_node_t holder,
                                     guint64 number,
                                     const anvil_run_report_t *report);

/** anvil_slot_broker_update_upstream - the registry changed; see anvil_registry_callbacks_t */
void anvil_slot_broker_update_upstream (anvil_slot_broker_t *broker,
                                        anvil_time_t now,
                                        const anvil_registered_upstream_t *upstream,
                                        anvil_registry_change_t change);

/** anvil_slot_broker_set_routes - services of a new configuration */
void anvil_slot_broker_set_routes (anvil_slot_broker_t *broker, const anvil_routes_t *routes);

/** anvil_slot_broker_set_limits - other limits that entries keep together */
void anvil_slot_broker_set_limits (anvil_slot_broker_t *broker,
                                   const anvil_dispatcher_limits_t *bounds);

/** anvil_slot_broker_set_state - what peers are told of this entry; see anvil_member_info_t */
void anvil_slot_broker_set_state (anvil_slot_broker_t *broker, gboolean ready, gboolean leaving);
void anvil_slot_broker_set_store_ok_for (anvil_slot_broker_t *broker, anvil_time_t store_ok_for);

/** anvil_slot_broker_first_in_region - the entry of this one's region that ranks first for @name */
anvil_node_t anvil_slot_broker_first_in_region (const anvil_slot_broker_t *broker,
                                                const char *name);

/** anvil_slot_broker_request_updates, anvil_slot_broker_send_updates - see anvil_relay_feed_t */
void anvil_slot_broker_request_updates (anvil_slot_broker_t *broker,
                                        anvil_node_t reader,
                                        guint64 version);
void anvil_slot_broker_send_updates (anvil_slot_broker_t *broker,
                                     anvil_node_t peer,
                                     const anvil_relay_message_t *message);

/** anvil_slot_broker_vm_name - name of an entry's VM for logs; borrowed until the next event */
const char *anvil_slot_broker_vm_name (const anvil_slot_broker_t *broker, anvil_node_t node);

anvil_members_t *anvil_slot_broker_members (anvil_slot_broker_t *broker);
const anvil_dispatcher_t *anvil_slot_broker_dispatcher (const anvil_slot_broker_t *broker);
anvil_node_t anvil_slot_broker_self (const anvil_slot_broker_t *broker);
