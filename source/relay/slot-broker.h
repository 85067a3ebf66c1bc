#pragma once

#include <event2/event.h>

#include "anvil/byte-counts.h"
#include "anvil/members.h"
#include "anvil/registry.h"
#include "relay/relay-message.h"
#include "relay/relay-settings.h"
#include "relay/warm-object-table.h"

/*
 * Requests slots for this entry's tasks, and grants the slots that it holds.
 *
 * For each service one entry, the holder, holds the slots of all its upstreams.
 * The broker sends slot requests to that entry, or to its own dispatcher if this
 * entry is the holder. If the holder stops answering, the entry next in rank
 * becomes the holder.
 */

typedef struct anvil_slot_broker anvil_slot_broker_t;

/**
 * anvil_pong_t - a peer's answer to a ping
 * @config_version: version of the configuration in force there
 * @config_proof_age: see anvil_member_info_t
 * @pinged_at: when the ping was sent, CLOCK_BOOTTIME
 */
typedef struct
{
  gint64 config_version;
  anvil_time_t config_proof_age;
  anvil_time_t pinged_at;
} anvil_pong_t;

/**
 * anvil_slot_broker_callbacks_t - decisions of holders, and messages of peers; never called from
 *   inside a function of the broker
 * @granted: a slot was granted; anvil_slot_broker_run_finished() must release it, also if the task
 *   was cancelled
 * @refused: a slot was refused
 * @holder_changed: slots for waiting tasks of @service must be requested from the new holder
 * @peer_restarted: a peer's process has restarted and lost all requests for slots
 * @updates_requested: a peer requests the updates of upstreams after @version
 * @updates_received: a peer sent updates of upstreams; borrowed
 * @config_requested: a peer requests the changes of the configuration after @version, or @whole if
 *   they aren't known
 * @config_received: a peer sent changes of the configuration; borrowed
 * @forwarded: a slot was granted for the request of another entry, which this entry is to send; see
 *   relay/relay-forward.h. @payload is borrowed
 * @forward_cancelled: the requester doesn't need the response any more
 * @withdrawn: a holder won't send a request of this entry that came with its slot request. If
 *   @waited, it hasn't sent it either; otherwise it doesn't know the request (any more)
 * @response_received: the holder has sent a request of this entry; @payload is borrowed
 * @announcements_received: upstreams said something of themselves to a peer; borrowed. The broker
 *   has already taken pauses into account
 * @describe: completes the description of this entry, which is about to be sent to a peer; called
 *   from inside the broker and must not call it
 * @pong_received: a peer answered a ping
 */
typedef struct
{
  void (*granted) (void *context,
                   guint64 number,
                   anvil_node_t from,
                   const anvil_slot_grant_t *grant);
  void (*refused) (void *context,
                   guint64 number,
                   anvil_node_t from,
                   const anvil_task_refusal_info_t *refused);
  void (*holder_changed) (void *context, const char *service, anvil_node_t holder);
  void (*peer_restarted) (void *context, anvil_node_t peer);
  void (*updates_requested) (void *context, anvil_node_t peer, anvil_store_position_t version);
  void (*updates_received) (void *context, anvil_node_t peer, const anvil_relay_message_t *message);
  void (*config_requested) (void *context, anvil_node_t peer, gint64 version, gboolean whole);
  void (*config_received) (void *context, anvil_node_t peer, const anvil_relay_message_t *message);
  void (*announcements_received) (void *context,
                                  anvil_node_t peer,
                                  const anvil_relay_message_t *message);
  void (*forwarded) (void *context,
                     anvil_task_id_t id,
                     const anvil_slot_grant_t *grant,
                     anvil_time_t deadline,
                     anvil_str_t payload);
  void (*forward_cancelled) (void *context, anvil_task_id_t id);
  void (*withdrawn) (void *context, guint64 number, anvil_node_t from, gboolean waited);
  void (*response_received) (void *context, guint64 number, anvil_node_t from, anvil_str_t payload);
  void (*describe) (void *context, anvil_member_info_t *info);
  void (*pong_received) (void *context, const anvil_pong_t *pong);
} anvil_slot_broker_callbacks_t;

/** anvil_slot_broker_open - listens for peers */
anvil_slot_broker_t *anvil_slot_broker_open (struct event_base *base,
                                             const anvil_relay_settings_t *settings,
                                             const anvil_registry_t *registry,
                                             const anvil_slot_broker_callbacks_t *callbacks,
                                             void *context,
                                             GError **error);
void anvil_slot_broker_close (anvil_slot_broker_t *broker);

/** anvil_slot_broker_holder - the entry that slots of a service are requested from now */
anvil_node_t anvil_slot_broker_holder (anvil_slot_broker_t *broker, const char *service);

/** anvil_slot_broker_request_slot - requests a slot for a task; repeating a request has no effect
 */
void anvil_slot_broker_request_slot (anvil_slot_broker_t *broker,
                                     anvil_node_t holder,
                                     const anvil_task_t *task);

/** anvil_slot_broker_may_forward - whether a small request that may be repeated should go along
 * with its slot request: the holder is in another region, and this entry's region has few slots */
gboolean anvil_slot_broker_may_forward (anvil_slot_broker_t *broker,
                                        const char *service,
                                        const anvil_task_t *task);

/** anvil_slot_broker_forward - requests a slot and sends the packed request along; the holder
 * responds with a grant, a refusal, or the response of the upstream */
void anvil_slot_broker_forward (anvil_slot_broker_t *broker,
                                anvil_node_t holder,
                                const anvil_task_t *task,
                                anvil_str_t request);

/** anvil_slot_broker_decline_forwarded - passes the grant of a forwarded request on to its
 * requester */
void anvil_slot_broker_decline_forwarded (anvil_slot_broker_t *broker,
                                          anvil_task_id_t id,
                                          const anvil_slot_grant_t *grant);

/** anvil_slot_broker_forwarded_finished - releases the slot of a forwarded request, and sends the
 * packed response to its requester */
void anvil_slot_broker_forwarded_finished (anvil_slot_broker_t *broker,
                                           anvil_task_id_t id,
                                           const anvil_run_report_t *report,
                                           anvil_str_t response);

/** anvil_slot_broker_adopt - tells a new holder of a task that @upstream is running */
void anvil_slot_broker_adopt (anvil_slot_broker_t *broker,
                              anvil_node_t holder,
                              const anvil_task_t *task,
                              guint64 upstream);

/** anvil_slot_broker_send_warm_objects - tells a new holder which upstreams are warm for which
 * objects */
void anvil_slot_broker_send_warm_objects (anvil_slot_broker_t *broker,
                                          anvil_node_t holder,
                                          const char *service,
                                          const anvil_warm_object_t *objects,
                                          guint n_objects);

/** anvil_slot_broker_send_request_limits - tells a new holder which upstreams named request limits
 */
void anvil_slot_broker_send_request_limits (anvil_slot_broker_t *broker,
                                            anvil_node_t holder,
                                            const anvil_named_limit_t *limits,
                                            guint n_limits);

/** anvil_slot_broker_send_announcements - tells a holder, which may be this entry, what upstreams
 * of a service said of themselves to this entry */
void anvil_slot_broker_send_announcements (anvil_slot_broker_t *broker,
                                           anvil_node_t holder,
                                           const char *service,
                                           const anvil_named_announcement_t *announcements,
                                           guint n_announcements);

/** anvil_slot_broker_list_warm_objects - what the upstreams of a service that this entry holds are
 * warm for; returns the number of objects */
guint anvil_slot_broker_list_warm_objects (anvil_slot_broker_t *broker,
                                           const char *service,
                                           anvil_warm_object_t *objects,
                                           guint max_objects);

/** anvil_slot_broker_foreach_held_service - visits the services whose slots this entry holds */
void anvil_slot_broker_foreach_held_service (anvil_slot_broker_t *broker,
                                             void (*visit) (void *context, const char *service),
                                             void *context);

/** anvil_slot_broker_cancel - cancels the request for a slot */
void anvil_slot_broker_cancel (anvil_slot_broker_t *broker, anvil_node_t holder, guint64 number);

/** anvil_slot_broker_withdraw - cancels the request for a slot, unless the holder already runs the
 * request that came with it */
void anvil_slot_broker_withdraw (anvil_slot_broker_t *broker, anvil_node_t holder, guint64 number);

/** anvil_slot_broker_reachable - whether a peer answers */
gboolean anvil_slot_broker_reachable (const anvil_slot_broker_t *broker, anvil_node_t node);

/** anvil_slot_broker_count_reachable - entries that answer, with this one */
guint anvil_slot_broker_count_reachable (const anvil_slot_broker_t *broker);

/** anvil_slot_broker_round_trip - to a peer and back, as pings took lately, microseconds; 0 if it
 * is unknown, or for this entry */
anvil_time_t anvil_slot_broker_round_trip (const anvil_slot_broker_t *broker, anvil_node_t node);

/** anvil_slot_broker_refuses - whether a new request is among those for which no slot should be
 * requested, as the holder of the service has no time for more; see steer/holder-pressure.h */
gboolean anvil_slot_broker_refuses (const anvil_slot_broker_t *broker, const char *service);

/** anvil_slot_broker_has_ended - whether a peer's VM says that its process has ended */
gboolean anvil_slot_broker_has_ended (const anvil_slot_broker_t *broker, anvil_node_t node);

/** anvil_slot_broker_queued_bytes - bytes for a peer that are not written yet */
gsize anvil_slot_broker_queued_bytes (const anvil_slot_broker_t *broker, anvil_node_t node);

/** anvil_slot_broker_run_finished - releases a slot and reports how it was used */
void anvil_slot_broker_run_finished (anvil_slot_broker_t *broker,
                                     anvil_node_t holder,
                                     guint64 number,
                                     const anvil_run_report_t *report);

/** anvil_slot_broker_update_upstream - passes on a change of the registry; see
 * anvil_registry_callbacks_t */
void anvil_slot_broker_update_upstream (anvil_slot_broker_t *broker,
                                        anvil_time_t now,
                                        const anvil_registered_upstream_t *upstream,
                                        anvil_registry_change_t change);

/** anvil_slot_broker_set_routes - takes over the services of a new configuration */
void anvil_slot_broker_set_routes (anvil_slot_broker_t *broker, const anvil_routes_t *routes);

/** anvil_slot_broker_set_limits - replaces the limits that all entries together must keep */
void anvil_slot_broker_set_limits (anvil_slot_broker_t *broker,
                                   const anvil_dispatcher_limits_t *limits);

/** anvil_slot_broker_set_state - sets what peers are told of this entry; see anvil_member_info_t */
void anvil_slot_broker_set_state (anvil_slot_broker_t *broker, gboolean ready, gboolean leaving);

/** anvil_slot_broker_region - this entry's region, NULL if it isn't known */
const char *anvil_slot_broker_region (const anvil_slot_broker_t *broker);

/** anvil_slot_broker_first_in_region - the entry of this entry's region that ranks first for @name
 */
anvil_node_t anvil_slot_broker_first_in_region (const anvil_slot_broker_t *broker,
                                                const char *name);

/** anvil_slot_broker_send - sends a message to a peer; see anvil_relay_feed_t, anvil_config_feed_t
 */
void anvil_slot_broker_send (anvil_slot_broker_t *broker,
                             anvil_node_t peer,
                             const anvil_relay_message_t *message);

/** anvil_slot_broker_vm_name - name of an entry's VM for logs; borrowed until the next event */
const char *anvil_slot_broker_vm_name (const anvil_slot_broker_t *broker, anvil_node_t node);

/** anvil_slot_broker_peer_bytes - bytes of the frames received from and sent to peers so far */
anvil_byte_counts_t anvil_slot_broker_peer_bytes (const anvil_slot_broker_t *broker);

/** anvil_slot_broker_log_work - logs what was done for all entries since the last call, which tells
 * what a late event loop was busy with */
void anvil_slot_broker_log_work (anvil_slot_broker_t *broker);

anvil_members_t *anvil_slot_broker_members (anvil_slot_broker_t *broker);
const anvil_dispatcher_t *anvil_slot_broker_dispatcher (const anvil_slot_broker_t *broker);
anvil_node_t anvil_slot_broker_self (const anvil_slot_broker_t *broker);
