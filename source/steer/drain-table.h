#pragma once

#include "anvil/clock.h"
#include "anvil/message.h"

/* Time in which reports and the platform's VM list catch up with a change. A report that an
 * upstream does not drain can end a drain only if it was requested this long after this entry
 * learned of the drain. */
#define ANVIL_DRAIN_SETTLE_TIME (10 * ANVIL_SECOND)
/* A report can end a drain that is known only from peers after this time, if a recent VM list
 * doesn't list the upstream's VM as leaving. */
#define ANVIL_DRAIN_PEER_ONLY_TIMEOUT (60 * ANVIL_SECOND)

/**
 * anvil_drain_source_t - how this entry learned of a drain; a later value takes precedence
 * @ANVIL_DRAIN_FROM_PEER: from another entry
 * @ANVIL_DRAIN_FROM_VM_LIST: from the platform's VM list
 * @ANVIL_DRAIN_FROM_UPSTREAM: from the upstream, by a response or a report; a later report may end
 *   the drain
 */
typedef enum
{
  ANVIL_DRAIN_FROM_PEER,
  ANVIL_DRAIN_FROM_VM_LIST,
  ANVIL_DRAIN_FROM_UPSTREAM,
} anvil_drain_source_t;

/**
 * anvil_drain_table_t - drain state of upstreams: whether they take no new work
 * @latest_lamport_time: highest Lamport timestamp of any known change
 * @heartbeat_number: number of the current heartbeat
 *
 * Every change has a timestamp of a Lamport clock that all entries share, so that
 * the latest change wins at every entry whatever the order of arrival.
 */
typedef struct
{
  GHashTable *by_upstream;
  guint64 latest_lamport_time;
  guint heartbeat_number;
} anvil_drain_table_t;

anvil_drain_table_t *anvil_drain_table_new (void);
void anvil_drain_table_drop (anvil_drain_table_t *table);

/** anvil_drain_table_observe - records that an upstream drains or not, as seen by this entry; TRUE
 * if the state changed */
gboolean anvil_drain_table_observe (anvil_drain_table_t *table,
                                    anvil_time_t now,
                                    guint64 upstream,
                                    anvil_drain_source_t source,
                                    gboolean draining);

/** anvil_drain_table_merge - records a change that a peer sent; TRUE if it is newer than the known
 * one */
gboolean
anvil_drain_table_merge (anvil_drain_table_t *table, anvil_time_t now, const anvil_drain_t *drain);

gboolean anvil_drain_table_is_draining (const anvil_drain_table_t *table, guint64 upstream);

/** anvil_drain_table_source - how this entry learned of a drain; the upstream takes precedence */
anvil_drain_source_t anvil_drain_table_source (const anvil_drain_table_t *table, guint64 upstream);

/** anvil_drain_table_age - time since this entry learned of the current state */
anvil_time_t
anvil_drain_table_age (const anvil_drain_table_t *table, anvil_time_t now, guint64 upstream);

/** anvil_drain_table_fill_gossip - fills the drains of a heartbeat, recent changes first */
void anvil_drain_table_fill_gossip (anvil_drain_table_t *table, anvil_gossip_t *gossip);
