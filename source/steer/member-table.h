#pragma once

#include "anvil/message.h"

/* Maximum members of a small group, in which every heartbeat carries every member. */
#define ANVIL_SMALL_GROUP_MEMBERS ANVIL_MAX_GOSSIP_MEMBERS
/* How often an entry sends heartbeats, and to how many others. */
#define ANVIL_GOSSIP_INTERVAL (500 * ANVIL_MS)
#define ANVIL_GOSSIP_FANOUT 2
/* A member whose record has not changed for this time is declared dead; longer in larger groups. */
#define ANVIL_MEMBER_DEAD_TIMEOUT (3 * ANVIL_SECOND)
/* A dead member that is not in the platform's VM list is removed after this time. */
#define ANVIL_MEMBER_REMOVE_TIMEOUT (120 * ANVIL_SECOND)

/**
 * anvil_tracked_member_t - a member as this entry tracks it
 * @member: its record
 * @updated_at: when the record last changed, own clock
 * @sends_left: number of heartbeats that still carry the change with priority
 * @listed: whether the platform's VM list contains it
 * @listed_leaving: whether the platform's VM list marks it as leaving
 */
typedef struct
{
  anvil_member_t member;
  anvil_time_t updated_at;
  guint sends_left;
  gboolean listed;
  gboolean listed_leaving;
} anvil_tracked_member_t;

/**
 * anvil_member_table_t - the known entries by node, among them this entry itself
 * @self: node of this entry
 * @next_target: where the search for the next heartbeat's receiver starts, as an index into
 *   @members modulo their number; it only grows
 * @members: anvil_tracked_member_t
 * @by_node: index into @members by node
 */
typedef struct
{
  anvil_node_t self;
  guint next_target;
  GArray *members;
  GHashTable *by_node;
} anvil_member_table_t;

anvil_member_table_t *anvil_member_table_new (anvil_node_t self);
void anvil_member_table_drop (anvil_member_table_t *table);

guint anvil_member_table_count (const anvil_member_table_t *table);
anvil_tracked_member_t *anvil_member_table_at (const anvil_member_table_t *table, guint index);
anvil_tracked_member_t *anvil_member_table_lookup (const anvil_member_table_t *table,
                                                   anvil_node_t node);

/** anvil_member_table_get_or_add - the member at a node, added with an empty record if it is new */
anvil_tracked_member_t *
anvil_member_table_get_or_add (anvil_member_table_t *table, anvil_time_t now, anvil_node_t node);

/** anvil_member_table_merge - stores a record if it is newer than the known one; TRUE if it was */
gboolean anvil_member_table_merge (anvil_member_table_t *table,
                                   anvil_time_t now,
                                   const anvil_member_t *member);

/** anvil_member_table_mark_changed - marks a record as changed, so that heartbeats carry it */
void anvil_member_table_mark_changed (anvil_member_table_t *table,
                                      anvil_time_t now,
                                      anvil_tracked_member_t *tracked);

/** anvil_member_table_expire - declares members dead after a timeout, and removes those that have
 * been dead for long */
void anvil_member_table_expire (anvil_member_table_t *table, anvil_time_t now);

/**
 * anvil_member_table_declare_dead - declares one process of a member dead
 *
 * If the process is alive it refutes this with a newer version of its record,
 * as soon as it receives a heartbeat with the declaration.
 */
void anvil_member_table_declare_dead (anvil_member_table_t *table,
                                      anvil_time_t now,
                                      anvil_node_t node,
                                      guint64 incarnation);

/** anvil_member_table_heartbeat_interval - time between two versions of the own record; grows with
 * the number of members */
anvil_time_t anvil_member_table_heartbeat_interval (const anvil_member_table_t *table);

/**
 * anvil_member_table_next_target - the member to send the next heartbeat to, or ANVIL_NO_NODE
 *
 * Takes the other members in turn, beginning with a random one. Dead members
 * are included, so that the end of a network partition and a restart of an
 * entry are noticed within one round.
 */
anvil_node_t anvil_member_table_next_target (anvil_member_table_t *table, GRand *random);

/** anvil_member_table_fill_gossip - fills the members of a heartbeat: the own record, recent
 * changes, deaths first, then any others */
void
anvil_member_table_fill_gossip (anvil_member_table_t *table, GRand *random, anvil_gossip_t *gossip);
