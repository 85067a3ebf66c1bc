#pragma once

#include <event2/event.h>

#include "anvil/members.h"
#include "anvil/registry.h"
#include "relay/recent-places.h"
#include "relay/relay-message.h"
#include "relay/relay-settings.h"

/*
 * Where this entry asks for slots, and where it lends those that it holds.
 *
 * For each service one entry holds the slots of all its upstreams. The desk
 * asks that entry, over the link between them or straight if it is this one,
 * and turns to the next when it stops answering.
 */

typedef struct anvil_slot_broker anvil_slot_broker_t;

/**
 * anvil_relay_desk_events_t - answers to what was asked; never from inside a call to the desk
 * @granted: a slot; @from must be told by anvil_relay_desk_finished(), also of one not wanted any
 * more
 * @refused: no slot
 * @holder_changed: tasks of @service must be asked for again at the new holder
 * @peer_restarted: a peer has forgotten what was asked there
 * @news_asked: a peer wants the news of upstreams after @version
 * @news_told: a peer told news of upstreams; borrowed
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
  void (*news_asked) (void *context, anvil_node_t peer, guint64 version);
  void (*news_told) (void *context, anvil_node_t peer, const anvil_relay_message_t *message);
} anvil_relay_desk_events_t;

/** anvil_relay_desk_open - listens for peers */
anvil_slot_broker_t *anvil_relay_desk_open (struct event_base *base,
                                            const anvil_relay_settings_t *settings,
                                            const anvil_registry_t *registry,
                                            const anvil_relay_desk_events_t *events,
                                            void *context,
                                            GError **error);
void anvil_relay_desk_close (anvil_slot_broker_t *desk);

/** anvil_relay_desk_holder - who is asked for slots of a service now */
anvil_node_t anvil_relay_desk_holder (anvil_slot_broker_t *desk, const char *service);

/** anvil_relay_desk_ask - a task for @holder; asking again for the same is harmless */
void
anvil_relay_desk_ask (anvil_slot_broker_t *desk, anvil_node_t holder, const anvil_task_t *task);

/** anvil_relay_desk_adopt - tells a new holder of a task that is under way */
void anvil_relay_desk_adopt (anvil_slot_broker_t *desk,
                             anvil_node_t holder,
                             const anvil_task_t *task,
                             guint64 upstream);

/** anvil_relay_desk_tell_places - tells a new holder where objects were handled lately */
void anvil_relay_desk_tell_places (anvil_slot_broker_t *desk,
                                   anvil_node_t holder,
                                   const char *service,
                                   const anvil_place_t *places,
                                   guint n_places);

/** anvil_relay_desk_list_places - what this entry, as holder, believes upstreams to remember */
guint anvil_relay_desk_list_places (anvil_slot_broker_t *desk,
                                    const char *service,
                                    anvil_place_t *places,
                                    guint max_places);

/** anvil_relay_desk_each_held - visits the services whose slots this entry holds */
void anvil_relay_desk_each_held (anvil_slot_broker_t *desk,
                                 void (*visit) (void *context, const char *service),
                                 void *context);
void anvil_relay_desk_withdraw (anvil_slot_broker_t *desk, anvil_node_t holder, guint64 number);
void anvil_relay_desk_finished (anvil_slot_broker_t *desk,
                                anvil_node_t holder,
                                guint64 number,
                                const anvil_run_report_t *report);

/** anvil_relay_desk_upstream - the registry changed; see anvil_registry_callbacks_t */
void anvil_relay_desk_upstream (anvil_slot_broker_t *desk,
                                anvil_time_t now,
                                const anvil_registered_upstream_t *upstream,
                                anvil_registry_change_t change);

/** anvil_relay_desk_routes - services of a new configuration */
void anvil_relay_desk_routes (anvil_slot_broker_t *desk, const anvil_routes_t *routes);

/** anvil_relay_desk_set_bounds - other limits that entries keep together */
void anvil_relay_desk_set_bounds (anvil_slot_broker_t *desk,
                                  const anvil_dispatcher_limits_t *bounds);

/** anvil_relay_desk_set_state - what peers are told of this entry; see anvil_member_info_t */
void anvil_relay_desk_set_state (anvil_slot_broker_t *desk, gboolean ready, gboolean leaving);
void anvil_relay_desk_set_store_ok_for (anvil_slot_broker_t *desk, anvil_time_t store_ok_for);

/** anvil_relay_desk_first_of_region - the entry of this one's region that ranks first for @name */
anvil_node_t anvil_relay_desk_first_of_region (const anvil_slot_broker_t *desk, const char *name);

/** anvil_relay_desk_ask_news, anvil_relay_desk_tell_news - see anvil_relay_feed_t */
void anvil_relay_desk_ask_news (anvil_slot_broker_t *desk, anvil_node_t reader, guint64 version);
void anvil_relay_desk_tell_news (anvil_slot_broker_t *desk,
                                 anvil_node_t peer,
                                 const anvil_relay_message_t *message);

/** anvil_relay_desk_name - name of an entry's VM for logs; borrowed until the next event */
const char *anvil_relay_desk_name (const anvil_slot_broker_t *desk, anvil_node_t node);

anvil_members_t *anvil_slot_broker_members (anvil_slot_broker_t *desk);
const anvil_dispatcher_t *anvil_relay_desk_dispatcher (const anvil_slot_broker_t *desk);
anvil_node_t anvil_relay_desk_self (const anvil_slot_broker_t *desk);
