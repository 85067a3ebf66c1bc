#pragma once

#include "anvil/peers.h"
#include "relay/slot-broker.h"

/* Parts of the desk: relay-desk.c asks and lends, relay-desk-peers.c watches peers and chooses
 * holders. */

/**
 * service_t - a service as this entry asks for it
 * @region: region with most of its slots, or NULL; borrowed from the settings
 * @holder: who is asked
 */
typedef struct
{
  char *name;
  const char *region;
  anvil_node_t holder;
} service_t;

/** local_t - an answer of this entry's own dispatcher, told from the event loop */
typedef struct
{
  guint64 number;
  gboolean granted;
  anvil_grant_t grant;
  anvil_task_refusal_info_t refused;
} local_t;

struct anvil_slot_broker
{
  const anvil_relay_settings_t *settings;
  const anvil_registry_t *registry;
  anvil_relay_desk_events_t events;
  void *context;
  anvil_node_t self;
  anvil_dispatcher_t *dispatcher;
  anvil_members_t *members;
  anvil_peers_t *peers;
  /* service_t by name. */
  GHashTable *services;
  /* Nodes that answered at the last look. */
  GHashTable *answering;
  GQueue local;
  struct event *deliver;
  struct event *tick;
  anvil_time_t regions_at;
};

/* What happens on links to peers; relay-desk-messages.c. */
extern const anvil_peers_callbacks_t desk_peers_events;

/* Takes others' word on what upstreams remember. */
void desk_remember_places (anvil_slot_broker_t *desk,
                           anvil_str_t service,
                           const anvil_place_t *places,
                           guint n_places);
void desk_send (anvil_slot_broker_t *desk, anvil_node_t to, const anvil_relay_message_t *message);

/* Pings a peer if it is time. */
void desk_ping (anvil_slot_broker_t *desk, anvil_time_t now, anvil_peer_t *peer);

/* Notes a peer that stopped or began to answer. */
void desk_watch (anvil_slot_broker_t *desk, anvil_time_t now, const anvil_peer_t *peer);
void desk_forget_if_lost (anvil_slot_broker_t *desk, anvil_time_t now, const anvil_peer_t *peer);

/* Works out where each service has most of its slots, and who is pinged often, once in a while. */
void desk_place_services (anvil_slot_broker_t *desk, anvil_time_t now);

/* Tells of services whose slots another entry holds now. */
void desk_choose_holders (anvil_slot_broker_t *desk, anvil_time_t now);
