#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/str.h"

/*
 * Who else is an entry, who answers, and who holds a service's slots.
 *
 * Entries find each other in the store and ping each other; a ping says who
 * sends it, so that its receiver knows the sender too. Holders are chosen by
 * every entry for itself, from what it can reach: in a cut each side has its
 * own holder, after it they agree again. No sockets and no clock.
 */

/** anvil_member_info_t - what an entry says of itself; texts are borrowed
 * @name: name of its VM
 * @zone: its availability zone
 * @incarnation: differs between any two starts of a process
 * @caller_port: port for callers, on its node's address
 * @cpu_millicores: processor that it may use, thousandths of a core
 * @store_ok_for: how long it has read upstreams from the store without a break, microseconds; 0 if
 *   it doesn't
 * @ready: it serves callers
 * @leaving: it is shutting down
 */
typedef struct
{
  anvil_str_t name;
  anvil_str_t zone;
  guint64 incarnation;
  guint16 caller_port;
  guint cpu_millicores;
  anvil_time_t store_ok_for;
  gboolean ready;
  gboolean leaving;
} anvil_member_info_t;

/**
 * anvil_peer_t - another entry as this one sees it
 * @node: its address for peers
 * @info: what it said last; its texts are owned by the members
 * @region: region of its zone, NULL before it said its zone
 * @answered_at: when it last answered a ping, 0 for never
 * @pinged_at: when the last ping was sent
 * @rtt: running mean of its answers, microseconds; 0 for unknown
 * @store_ok_since: since when it has read the store without a break, this entry's clock; 0 for
 * never
 * @address_seen_at: when its address was learnt last
 * @pinged_often: it is pinged often: it is of this entry's region, or may hold a service soon
 */
typedef struct
{
  anvil_node_t node;
  anvil_member_info_t info;
  const char *region;
  anvil_time_t answered_at;
  anvil_time_t pinged_at;
  anvil_time_t rtt;
  anvil_time_t store_ok_since;
  anvil_time_t address_seen_at;
  gboolean pinged_often;
} anvil_peer_t;

/**
 * anvil_held_service_t - a service whose slots some entry holds
 * @service: its name; borrowed
 * @region: region with most of its slots, or NULL; borrowed
 */
typedef struct
{
  anvil_str_t service;
  const char *region;
} anvil_held_service_t;

typedef struct anvil_members anvil_members_t;

/**
 * anvil_members_new - knows only this entry
 * @self: node of this entry
 * @region_of: region of an availability zone, or NULL; borrowed from @context
 */
anvil_members_t *anvil_members_new (anvil_node_t self,
                                    const anvil_member_info_t *info,
                                    const char *(*region_of) (void *context, const char *zone),
                                    void *context);
void anvil_members_drop (anvil_members_t *members);

/** anvil_members_add - an address of an entry, which may be stale */
void anvil_members_add (anvil_members_t *members, anvil_time_t now, anvil_node_t node);

/** anvil_members_expired - whether a peer has been silent, and its address not learnt again, for so
 * long that it should be forgotten */
gboolean anvil_members_expired (const anvil_peer_t *peer, anvil_time_t now);

/** anvil_members_remove - removes a peer; it may be learnt again */
void anvil_members_remove (anvil_members_t *members, anvil_node_t node);

/**
 * anvil_members_update_ping_set - which peers are pinged often
 *
 * With hundreds of entries nobody can ping all of them often. Those of the own
 * region matter for look-ups, and the first few in rank for each service are
 * its next holders; the others are pinged rarely, to know that they are there.
 */
void anvil_members_update_ping_set (anvil_members_t *members,
                                    anvil_time_t now,
                                    const anvil_held_service_t *services,
                                    guint n_services);

/** anvil_members_update_info - a peer said who it is */
void anvil_members_update_info (anvil_members_t *members,
                                anvil_time_t now,
                                anvil_node_t node,
                                const anvil_member_info_t *info);

/**
 * anvil_members_ping_answered - a peer answered a ping
 * @sent_at: when the ping was sent, this entry's clock
 *
 * Return: TRUE if its process isn't the one that answered before.
 */
gboolean anvil_members_ping_answered (anvil_members_t *members,
                                      anvil_time_t now,
                                      anvil_node_t node,
                                      const anvil_member_info_t *info,
                                      anvil_time_t sent_at);

/** anvil_members_self - what this entry says of itself, to be changed in place */
anvil_member_info_t *anvil_members_self (anvil_members_t *members);

/** anvil_members_ping_period - pause between pings to @peer; grows with the number of close ones */
anvil_time_t anvil_members_ping_period (const anvil_members_t *members, const anvil_peer_t *peer);

/** anvil_members_reachable - whether a peer has answered within three periods */
gboolean anvil_members_reachable (const anvil_members_t *members,
                                  anvil_time_t now,
                                  const anvil_peer_t *peer);

/**
 * anvil_members_holder - who holds the slots of a service
 * @region: where most of its slots are, or NULL; an entry there is preferred
 *
 * Holding takes processor time for every request of the service, so among the
 * entries of that region those with much of it come first.
 *
 * Return: the entry with the highest rank for @service among those that answer
 * and serve; this one if there is none.
 */
anvil_node_t anvil_members_holder (const anvil_members_t *members,
                                   anvil_time_t now,
                                   anvil_str_t service,
                                   const char *region);

/** anvil_members_inter_region_rtt - mean round trip to entries of other regions, 0 for unknown */
anvil_time_t anvil_members_inter_region_rtt (const anvil_members_t *members);

/** anvil_members_store_ok_since - the earliest such time of a peer that answers, 0 for none */
anvil_time_t anvil_members_store_ok_since (const anvil_members_t *members, anvil_time_t now);

const anvil_peer_t *anvil_members_lookup (const anvil_members_t *members, anvil_node_t node);
guint anvil_members_count (const anvil_members_t *members);

/** anvil_members_at - a peer, in the order in which they were learnt */
anvil_peer_t *anvil_members_at (anvil_members_t *members, guint index);

/**
 * anvil_members_entries_for_caller - entries that a caller may use, nearest first
 * @region: the caller's region, may be empty
 * @nodes: result, node with the port for callers
 *
 * Names this entry and peers that answer and serve: those of the caller's
 * region if there are any, else all.
 *
 * Return: how many were written.
 */
guint anvil_members_entries_for_caller (const anvil_members_t *members,
                                        anvil_time_t now,
                                        anvil_str_t region,
                                        anvil_node_t *nodes,
                                        guint max_nodes);
