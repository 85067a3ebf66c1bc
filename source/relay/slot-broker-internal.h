#pragma once

#include "anvil/peers.h"
#include "relay/slot-broker.h"
#include "steer/holder-pressure.h"
#include "steer/quota-counter.h"
#include "steer/quota-loan.h"
#include "steer/transit-time.h"

/* slot-broker.c requests and grants slots, slot-broker-messages.c handles messages of peers,
 * slot-broker-peers.c tracks which peers are reachable and chooses holders, slot-broker-handover.c
 * tells new holders what this entry has granted, slot-broker-quota.c takes tokens for tasks of
 * tenants with a quota, and lends them as their counter, slot-broker-forward.c keeps requests that
 * came with their slot requests. */

/**
 * service_t - a service and where its slots are requested
 * @region: region with most of its slots, or NULL; borrowed from the settings
 * @holder: entry that slots are requested from
 * @retry_counts_sent_to: entry that was last sent the retry counts, or 0
 * @n_attempts_sent: attempts that these counts covered
 * @few_local_slots: this entry's region has less than half as many slots as the mean region
 */
typedef struct
{
  char *name;
  const char *region;
  anvil_node_t holder;
  anvil_node_t retry_counts_sent_to;
  guint64 n_attempts_sent;
  gboolean few_local_slots;
} service_t;

/** local_decision_t - decision of this entry's own dispatcher, delivered by the event loop so that
 * no callback runs inside a function of the broker */
typedef struct
{
  anvil_node_t requester;
  guint64 number;
  gboolean granted;
  anvil_slot_grant_t grant;
  anvil_task_refusal_info_t refused;
} local_decision_t;

/**
 * forwarded_t - a request of another entry
 * @deadline: of its task, monotonic clock
 * @payload: packed request, see relay/forward-codec.h
 * @running: a slot was granted, and this entry sends the request
 */
typedef struct
{
  anvil_slot_broker_t *broker;
  anvil_task_id_t id;
  anvil_time_t deadline;
  anvil_str_t payload;
  gboolean running;
} forwarded_t;
/* Description of this entry, as of now, for a ping or pong. */
anvil_member_info_t broker_describe_self (anvil_slot_broker_t *broker);

struct anvil_slot_broker
{
  const anvil_relay_settings_t *settings;
  const anvil_registry_t *registry;
  anvil_slot_broker_callbacks_t callbacks;
  void *context;
  anvil_node_t self;
  anvil_dispatcher_t *dispatcher;
  anvil_members_t *members;
  anvil_peers_t *peers;
  /* service_t by name. */
  GHashTable *services;
  /* Set of the peers that were reachable at the last tick. */
  GHashTable *reachable_nodes;
  GQueue local_decisions;
  /* forwarded_t by id of the task. */
  GHashTable *forwarded;
  gsize forwarded_bytes;
  struct event *deliver;
  struct event *tick;
  anvil_time_t regions_updated_at;
  anvil_quota_counter_t *quota_counter;
  anvil_quota_loans_t *quota_loans;
  /* anvil_node_t by shard: the counters. */
  GArray *quota_counters;
  /* Region with most slots of all services, or NULL; borrowed from the settings. */
  const char *quota_region;
  struct event *quota_request;
  anvil_time_t quota_logged_at;
  guint quota_ticks;
  anvil_time_t quota_ticked_at;
  /* What was done at the last anvil_slot_broker_log_work(). */
  anvil_dispatcher_work_t logged_work;
  guint64 logged_frames;
  /* anvil_transit_t by node. */
  GHashTable *transits;
  anvil_holder_pressure_t pressure;
};

/* Callbacks of the links to peers, in slot-broker-messages.c. */
extern const anvil_peers_callbacks_t broker_peers_callbacks;

/* Adds warm objects that another entry knows of. */
void broker_add_warm_objects (anvil_slot_broker_t *broker,
                              anvil_str_t service,
                              const anvil_warm_object_t *objects,
                              guint n_objects);
/* Adds request limits that another entry knows of. */
void broker_add_request_limits (anvil_slot_broker_t *broker,
                                const anvil_named_limit_t *limits,
                                guint n_limits);
/* Adds the pauses that upstreams asked an entry for. */
void broker_add_pauses (anvil_slot_broker_t *broker,
                        anvil_node_t requester,
                        const anvil_named_announcement_t *announcements,
                        guint n_announcements);
void
broker_send (anvil_slot_broker_t *broker, anvil_node_t to, const anvil_relay_message_t *message);

/* Submits a task to the dispatcher once its tenant's quota allows it. */
void broker_submit (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_task_t *task);
/* Cancels a task that waits for a token or for a slot. */
void broker_cancel (anvil_slot_broker_t *broker, anvil_task_id_t id);
/* Forgets the waiting tasks of an entry that is gone. */
void broker_requester_lost (anvil_slot_broker_t *broker, anvil_time_t now, anvil_node_t requester);

void broker_quota_open (anvil_slot_broker_t *broker, struct event_base *base);
void broker_quota_close (anvil_slot_broker_t *broker);
void broker_quota_set_routes (anvil_slot_broker_t *broker, const anvil_routes_t *routes);
void broker_quota_set_limits (anvil_slot_broker_t *broker, const anvil_dispatcher_limits_t *limits);
/* Chooses counters, and requests tokens ahead of time. */
void broker_quota_tick (anvil_slot_broker_t *broker, anvil_time_t now);
/* A task that took a token was refused a slot; its token can be used by another one. */
void broker_quota_give_back (anvil_slot_broker_t *broker, anvil_task_id_t id);
/* Adds the counters to the services whose next holders are pinged often. */
void broker_quota_add_held (const anvil_slot_broker_t *broker, GArray *services);
void broker_handle_quota_request (anvil_slot_broker_t *broker,
                                  anvil_node_t from,
                                  const anvil_relay_message_t *message);
void broker_handle_quota (anvil_slot_broker_t *broker, const anvil_relay_message_t *message);

/* Tells the requester that its task was refused. */
void broker_refuse (anvil_slot_broker_t *broker,
                    anvil_task_id_t id,
                    const anvil_task_refusal_info_t *refused);

/* Pings a peer if its ping interval has passed. */
void broker_ping (anvil_slot_broker_t *broker, anvil_time_t now, anvil_peer_t *peer);

/* Handles a peer that has become reachable or unreachable. */
void broker_update_reachability (anvil_slot_broker_t *broker,
                                 anvil_time_t now,
                                 const anvil_peer_t *peer);
void
broker_remove_if_expired (anvil_slot_broker_t *broker, anvil_time_t now, const anvil_peer_t *peer);

/* Once per interval, finds the region with most slots of each service, and selects the peers that
 * are pinged often. */
void broker_update_regions (anvil_slot_broker_t *broker, anvil_time_t now);

/* Lets the dispatcher grant what all entries share once this entry knows its peers. */
void broker_update_known_peers (anvil_slot_broker_t *broker, anvil_time_t now);

/* Sends what this entry counted for the retry budgets of services to their holders, if it was their
 * holder before, and again while it still counts. */
void broker_hand_over_retry_counts (anvil_slot_broker_t *broker, anvil_time_t now);

/* Adds what other holders counted. */
void broker_add_retry_counts (anvil_slot_broker_t *broker, const anvil_relay_message_t *message);

/* A message about a task. It holds remaining times, since clocks differ between processes. */
anvil_relay_message_t broker_task_message (anvil_relay_message_kind_t kind,
                                           const anvil_task_t *task);

/* slot-broker-forward.c */

GHashTable *broker_forwarded_table_new (void);
/* Keeps a request until its task is granted, refused or cancelled. */
void broker_add_forwarded (anvil_slot_broker_t *broker,
                           anvil_task_id_t id,
                           anvil_time_t deadline,
                           anvil_str_t payload);
void broker_remove_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id);
/* Removes those of an entry that wait for a slot. */
void broker_remove_forwarded_of (anvil_slot_broker_t *broker, anvil_node_t requester);
gboolean broker_is_running_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id);
/* Whether this entry sends the request on the granted slot. */
gboolean broker_grant_forwarded (anvil_slot_broker_t *broker,
                                 anvil_task_id_t id,
                                 const anvil_slot_grant_t *grant);
void broker_deliver_forwarded (anvil_slot_broker_t *broker,
                               anvil_task_id_t id,
                               const anvil_slot_grant_t *grant);
/* Cancels a run and releases its slot; FALSE if this entry isn't running the request. */
gboolean broker_cancel_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id);

/* Cancels the task of a request that waits here, and tells the requester; one that runs goes on. */
void broker_withdraw_forwarded (anvil_slot_broker_t *broker, anvil_task_id_t id);

/* Reports the services whose holder has changed. */
void broker_update_holders (anvil_slot_broker_t *broker, anvil_time_t now);
