#pragma once

#include "anvil/clock.h"
#include "anvil/node.h"
#include "anvil/str.h"

/*
 * Membership: which other entries exist, which are reachable, and which entry holds the slots of a
 * service, that is, places its requests.
 *
 * Entries read each other's addresses from the store and ping each other. A
 * ping describes its sender, so that the receiver learns of it too, and names
 * other entries in turn: an address may be lost in the store. Every entry
 * chooses the holder of a service by itself, among the entries that it reaches:
 * in a network partition each side has a holder of its own, and they agree
 * again afterwards. The module has no sockets and reads no clock.
 */

/**
 * anvil_member_info_t - an entry as it describes itself to its peers; texts are borrowed
 * @name: name of its VM
 * @zone: its availability zone
 * @incarnation: differs between any two starts of a process
 * @caller_port: port for callers, on its node's address
 * @cpu_millicores: processor time that it may use, thousandths of a core
 * @store_ok_for: for how long it knows the store to have answered, to it or to a peer,
 *   microseconds; 0 if it doesn't know whether it still does
 * @reads_store: it reads upstreams from the store, not from a peer
 * @ready: it serves callers
 * @leaving: it is shutting down
 * @outdated: it can't learn of changes of upstreams, though other entries can
 * @knows_peers: it knows which other entries there are; see anvil_members_update_known()
 * @caller_share: part of the callers of its region that it has room for, thousandths
 * @config_version: version of the configuration in force there; 0 if there is none
 * @config_proof_age: for how long it hasn't been sure that this is the newest version,
 *   microseconds; negative if it never was
 * @store_era: latest era of the store that it knows; 0 if the store names none
 * @declined_share: part of the requests of other entries that it doesn't send to upstreams for
 * them, as its processor time is used up, thousandths
 * @refused_share: part of the new requests that others shouldn't request slots for from it, as it
 *   has no time for more, thousandths
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
  gboolean reads_store;
  gboolean outdated;
  gboolean knows_peers;
  guint caller_share;
  gint64 config_version;
  anvil_time_t config_proof_age;
  guint64 store_era;
  guint declined_share;
  guint refused_share;
} anvil_member_info_t;

/* Value of @declined_share of an entry that sends none. */
#define ANVIL_FULL_DECLINED_SHARE 1000u

/* Value of @caller_share of an entry that has room for any caller. */
#define ANVIL_FULL_CALLER_SHARE 1000u

/* Pings to a peer whose answers can still be dated; more than are under way on a link between
 * distant regions. */
#define ANVIL_DATED_PINGS 4

/**
 * anvil_sent_ping_t - a ping that was sent
 * @number: its number
 * @sent_at: when it was sent, CLOCK_BOOTTIME
 */
typedef struct
{
  guint64 number;
  anvil_time_t sent_at;
} anvil_sent_ping_t;

/**
 * anvil_peer_t - another entry as this one sees it
 * @node: its address for peers
 * @info: its latest description; the texts are owned by anvil_members_t
 * @region: region of its zone, NULL while its zone is unknown
 * @answered_at: when the latest ping that it answered was sent, 0 for never
 * @answered_incarnation: its process that answered that ping
 * @pinged_at: when the latest ping was sent; 0 if the next one is due now
 * @added_at: when it was added
 * @rtt: moving average of the round-trip time, microseconds; 0 for unknown
 * @store_ok_since: since when it knows the store to have answered, this entry's clock; 0 if it
 *   doesn't know whether it still does
 * @address_seen_at: when its address was last passed to anvil_members_add()
 * @process_ended: its VM answered that no process listens there, and it hasn't answered since
 * @sent_pings: the latest pings to it
 * @n_pings: pings to it so far; the next one replaces the oldest of @sent_pings
 * @pinged_often: it is in this entry's region, or among the next holders of a service
 */
typedef struct
{
  anvil_node_t node;
  anvil_member_info_t info;
  const char *region;
  anvil_time_t answered_at;
  guint64 answered_incarnation;
  anvil_time_t pinged_at;
  anvil_time_t added_at;
  anvil_time_t rtt;
  anvil_time_t store_ok_since;
  anvil_time_t address_seen_at;
  gboolean process_ended;
  anvil_sent_ping_t sent_pings[ANVIL_DATED_PINGS];
  guint n_pings;
  gboolean pinged_often;
} anvil_peer_t;

/**
 * anvil_held_service_t - a service whose slots are held by some entry
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
 * anvil_members_new - a membership with this entry alone
 * @self: node of this entry
 * @info: description of this entry; copied
 * @region_of: region of an availability zone, or NULL; borrowed from @context
 */
anvil_members_t *anvil_members_new (anvil_node_t self,
                                    const anvil_member_info_t *info,
                                    const char *(*region_of) (void *context, const char *zone),
                                    void *context);
void anvil_members_drop (anvil_members_t *members);

/** anvil_members_add - adds a peer by its address, which may be stale, or notes that the address
 * was seen again */
void anvil_members_add (anvil_members_t *members, anvil_time_t now, anvil_node_t node);

/* Most entries that a ping or its answer names. */
#define ANVIL_MAX_NAMED_MEMBERS 16

/**
 * anvil_members_pick - reachable entries in turn, which another entry may not know
 * @except: the entry that is told
 *
 * Return: the number of @nodes, @max_nodes at most.
 */
guint anvil_members_pick (anvil_members_t *members,
                          anvil_time_t now,
                          anvil_node_t except,
                          anvil_node_t *nodes,
                          guint max_nodes);

/** anvil_members_list_read - all peers in the store's list of entries have been added */
void anvil_members_list_read (anvil_members_t *members);

/**
 * anvil_members_update_known - updates @knows_peers of this entry
 *
 * An entry that has just started doesn't know who else grants slots. It knows its
 * peers once the store's list of entries was read, and each peer has answered a
 * ping or has had ANVIL_MEMBERS_ANSWER_TIME to do so. It stays so.
 *
 * Return: TRUE if this call has set it.
 */
gboolean anvil_members_update_known (anvil_members_t *members, anvil_time_t now);

/* Enough for a connection and a ping to a distant region, and for a peer that was started a
 * moment later. A peer that is down takes this time. */
#define ANVIL_MEMBERS_ANSWER_TIME (600 * ANVIL_MS)

/** anvil_members_request_ping - the next ping to a peer is due now */
void anvil_members_request_ping (anvil_members_t *members, anvil_node_t node);

/** anvil_members_request_pings - the next pings to all peers that are pinged often are due now, so
 * that they learn of a change of this entry */
void anvil_members_request_pings (anvil_members_t *members);

/** anvil_members_expired - whether a peer has not answered, and its address not been seen again,
 * for so long that it should be removed */
gboolean anvil_members_expired (const anvil_peer_t *peer, anvil_time_t now);

/** anvil_members_remove - removes a peer; it may be added again */
void anvil_members_remove (anvil_members_t *members, anvil_node_t node);

/**
 * anvil_members_update_ping_set - decides which peers are pinged often
 *
 * With hundreds of entries pinging all of them often costs too much. Those of
 * the own region matter for look-ups, and the first few in rank for each
 * service are its next holders; the others are pinged rarely, only to know
 * that they exist.
 */
void anvil_members_update_ping_set (anvil_members_t *members,
                                    anvil_time_t now,
                                    const anvil_held_service_t *services,
                                    guint n_services);

/** anvil_members_update_info - stores a peer's description of itself; adds the peer if it is new */
void anvil_members_update_info (anvil_members_t *members,
                                anvil_time_t now,
                                anvil_node_t node,
                                const anvil_member_info_t *info);

/**
 * anvil_members_ping_answered - a peer answered a ping
 * @sent_at: when the ping was sent, this entry's clock
 *
 * Return: TRUE if the peer's process was restarted since its last answer.
 */
gboolean anvil_members_ping_answered (anvil_members_t *members,
                                      anvil_time_t now,
                                      anvil_node_t node,
                                      const anvil_member_info_t *info,
                                      anvil_time_t sent_at);

/** anvil_peer_add_ping - notes when a ping was sent, on CLOCK_BOOTTIME */
void anvil_peer_add_ping (anvil_peer_t *peer, guint64 number, anvil_time_t sent_at);

/** anvil_peer_ping_sent_at - when the ping of that number was sent, CLOCK_BOOTTIME; -1 if that
 * isn't known any more */
anvil_time_t anvil_peer_ping_sent_at (const anvil_peer_t *peer, guint64 number);

/** anvil_members_self - description of this entry, to be changed in place */
anvil_member_info_t *anvil_members_self (anvil_members_t *members);

/** anvil_members_ping_period - time between pings to @peer; if it is pinged often, the time grows
 * with the number of such peers */
anvil_time_t anvil_members_ping_period (const anvil_members_t *members, const anvil_peer_t *peer);

/** anvil_members_reachable - whether a peer has answered within three ping periods */
gboolean anvil_members_reachable (const anvil_members_t *members,
                                  anvil_time_t now,
                                  const anvil_peer_t *peer);

/** anvil_members_may_be_divided - whether a peer that answered before and was not shutting down
 * doesn't answer now: it may be cut off from this entry, and act as a holder for others */
gboolean anvil_members_may_be_divided (const anvil_members_t *members, anvil_time_t now);

/** anvil_members_process_ended - a peer's process has ended: it isn't cut off from this entry */
void anvil_members_process_ended (anvil_members_t *members, anvil_node_t node);

/** anvil_members_reachable_share - reachable entries as a part of the known ones, 1 if all are.
 * Entries that were shutting down, whose process ended or that didn't know their peers yet aren't
 * counted if they don't answer */
gdouble anvil_members_reachable_share (const anvil_members_t *members, anvil_time_t now);

/**
 * anvil_members_holder - the entry that holds the slots of a service
 * @region: region with most of its slots, or NULL; an entry there is preferred
 *
 * The holder needs processor time for every request of the service, so within
 * that region the entries with the most of it come first. Entries that don't know
 * their peers yet come after all others.
 *
 * Return: the entry with the highest rank for @service among those that are
 * reachable, serve callers and aren't outdated; this entry if there is none.
 */
anvil_node_t anvil_members_holder (const anvil_members_t *members,
                                   anvil_time_t now,
                                   anvil_str_t service,
                                   const char *region);

/** anvil_members_second - the entry that comes after the holder in rank; ANVIL_NO_NODE if there is
 * none */
anvil_node_t anvil_members_second (const anvil_members_t *members,
                                   anvil_time_t now,
                                   anvil_str_t service,
                                   const char *region);

/** anvil_members_inter_region_rtt - mean round-trip time to entries of other regions, microseconds;
 * 0 for unknown */
anvil_time_t anvil_members_inter_region_rtt (const anvil_members_t *members);

/** anvil_members_store_ok_since - the earliest @store_ok_since of the reachable peers, 0 for none
 */
anvil_time_t anvil_members_store_ok_since (const anvil_members_t *members, anvil_time_t now);

/**
 * anvil_members_next_store_reader - a reachable peer that reads upstreams from the store
 * @previous: the last one that was returned, or ANVIL_NO_NODE
 *
 * Those that have read it for longest come first, since they know the most updates.
 *
 * Return: the one after @previous, the first again after the last; ANVIL_NO_NODE if there is none.
 */
anvil_node_t anvil_members_next_store_reader (const anvil_members_t *members,
                                              anvil_time_t now,
                                              anvil_node_t previous);

/** anvil_members_latest_era - the reachable peer that knows the latest era of the store; NULL if
 * there is no reachable peer */
const anvil_peer_t *anvil_members_latest_era (const anvil_members_t *members, anvil_time_t now);

/** anvil_members_newest_config - the reachable peer with the newest configuration, the closest of
 * them by round-trip time; NULL if there is no reachable peer */
const anvil_peer_t *anvil_members_newest_config (const anvil_members_t *members, anvil_time_t now);

const anvil_peer_t *anvil_members_lookup (const anvil_members_t *members, anvil_node_t node);
guint anvil_members_count (const anvil_members_t *members);

/** anvil_members_at - a peer by its index; the peers are in the order in which they were added */
anvil_peer_t *anvil_members_at (anvil_members_t *members, guint index);

/** anvil_members_set_revoke_time - from now on callers are told only of entries whose configuration
 * is known to be new enough; see anvil_config_proof_is_fresh(). Microseconds, 0 for no such rule */
void anvil_members_set_revoke_time (anvil_members_t *members, anvil_time_t revoke_time);

/**
 * anvil_members_entries_for_caller - entries that a caller may use
 * @region: the caller's region, may be empty
 * @caller: the caller's IPv4 address, host order
 * @nodes: result, address of each with its port for callers
 *
 * Only entries that are reachable and serve callers: those of the caller's
 * region if there are any, else those of all regions. An entry with a smaller share of
 * callers is told to fewer of them. If there is a revoke time and no entry's configuration is new
 * enough, all reachable entries of all regions are told: they serve callers as soon as the store is
 * back.
 *
 * Return: the number of entries written to @nodes.
 */
guint anvil_members_entries_for_caller (const anvil_members_t *members,
                                        anvil_time_t now,
                                        anvil_str_t region,
                                        guint32 caller,
                                        anvil_node_t *nodes,
                                        guint max_nodes);
