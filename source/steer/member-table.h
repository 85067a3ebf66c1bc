#pragma once

#include "anvil/message.h"

/* Entries up to which every heartbeat carries every member. */
#define ANVIL_SMALL_GROUP ANVIL_MAX_GOSSIP_MEMBERS
/* How often an entry sends heartbeats, and to how many others. */
#define ANVIL_GOSSIP_INTERVAL (500 * ANVIL_MS)
#define ANVIL_GOSSIP_FANOUT 2
/* A member whose record stands still is taken for dead after this, in a small group. */
#define ANVIL_MEMBER_TIMEOUT (3 * ANVIL_SECOND)
/* A dead member that is in no list is forgotten after this. */
#define ANVIL_MEMBER_FORGET (120 * ANVIL_SECOND)

/**
 * anvil_tracked_member_t - a member and what this entry notes about it
 * @member: its record
 * @updated_at: when the record last changed, own clock
 * @sends_left: heartbeats that still carry the change
 * @listed: whether the platform's list has it
 * @listed_leaving: whether the list says that it leaves
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
 * anvil_member_table_t - the entries that are known, by node; the own record is among them
 * @next: place of the member that gets the next heartbeat; it only grows
 */
typedef struct
{
  anvil_node_t self;
  guint next;
  GArray *entries;
  GHashTable *by_node;
} anvil_member_table_t;

anvil_member_table_t *anvil_member_table_new (anvil_node_t self);
void anvil_member_table_drop (anvil_member_table_t *table);

guint anvil_member_table_count (const anvil_member_table_t *table);
anvil_tracked_member_t *anvil_member_table_at (const anvil_member_table_t *table, guint index);
anvil_tracked_member_t *anvil_member_table_lookup (const anvil_member_table_t *table,
                                                   anvil_node_t node);

/** anvil_member_table_get_or_add - the entry of a node, made with an empty record if it is new */
anvil_tracked_member_t *
anvil_member_table_get_or_add (anvil_member_table_t *table, anvil_time_t now, anvil_node_t node);

/** anvil_member_table_merge - takes a record over if it is newer; TRUE if it was */
gboolean anvil_member_table_merge (anvil_member_table_t *table,
                                   anvil_time_t now,
                                   const anvil_member_t *member);

/** anvil_member_table_mark_changed - notes that a record changed, so that heartbeats carry it */
void anvil_member_table_mark_changed (anvil_member_table_t *table,
                                      anvil_time_t now,
                                      anvil_tracked_member_t *entry);

/** anvil_member_table_expire - declares silent members dead and forgets those long dead */
void anvil_member_table_expire (anvil_member_table_t *table, anvil_time_t now);

/**
 * anvil_member_table_declare_dead - notes that one process of a member is dead
 *
 * A process that lives answers with a newer version as soon as it hears of it.
 */
void anvil_member_table_declare_dead (anvil_member_table_t *table,
                                      anvil_time_t now,
                                      anvil_node_t node,
                                      guint64 incarnation);

/** anvil_member_table_heartbeat_interval - how often the own record gets a new version in a group
 * of this size */
anvil_time_t anvil_member_table_heartbeat_interval (const anvil_member_table_t *table);

/**
 * anvil_member_table_next_target - the other member that gets the next heartbeat, or ANVIL_NO_NODE
 *
 * Each in turn from a random one on, also those taken for dead, so that a
 * healed cut and a restarted entry are found within one round.
 */
anvil_node_t anvil_member_table_next_target (anvil_member_table_t *table, GRand *random);

/** anvil_member_table_fill_gossip - fills the members of a heartbeat: the own record, the freshest
 * changes, then any */
void
anvil_member_table_fill_gossip (anvil_member_table_t *table, GRand *random, anvil_gossip_t *gossip);
