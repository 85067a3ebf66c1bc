#pragma once

#include "anvil/clock.h"
#include "anvil/message.h"

/* A report of no drain counts against a drain that was learnt longer ago than this. */
#define ANVIL_DRAIN_SETTLE_TIME (10 * ANVIL_SECOND)
/* A drain that only peers have told of ends after this when both the list and a report deny it. */
#define ANVIL_DRAIN_PEER_ONLY_TIMEOUT (60 * ANVIL_SECOND)

/**
 * anvil_drain_source_t - who told this entry of a drain
 * @ANVIL_DRAIN_FROM_PEER: another entry
 * @ANVIL_DRAIN_FROM_VM_LIST: the platform's list
 * @ANVIL_DRAIN_FROM_UPSTREAM: the upstream, by an answer or a report; only then may a report end it
 */
typedef enum
{
  ANVIL_DRAIN_FROM_PEER,
  ANVIL_DRAIN_FROM_VM_LIST,
  ANVIL_DRAIN_FROM_UPSTREAM,
} anvil_drain_source_t;

/**
 * anvil_drain_table_t - upstreams that take no new work, as anyone has learnt it
 *
 * Entries are ordered by their stamp, a Lamport clock over all entries, so that
 * the latest change wins everywhere whatever the order of arrival.
 */
typedef struct
{
  GHashTable *by_upstream;
  guint64 latest_stamp;
  guint rotation;
} anvil_drain_table_t;

anvil_drain_table_t *anvil_drain_table_new (void);
void anvil_drain_table_drop (anvil_drain_table_t *table);

/** anvil_drain_table_observe - this entry has seen that an upstream drains or not; TRUE if that is
 * news */
gboolean anvil_drain_table_observe (anvil_drain_table_t *table,
                                    anvil_time_t now,
                                    guint64 upstream,
                                    anvil_drain_source_t source,
                                    gboolean draining);

/** anvil_drain_table_merge - a peer's news; TRUE if it is newer than what is known */
gboolean
anvil_drain_table_merge (anvil_drain_table_t *table, anvil_time_t now, const anvil_drain_t *drain);

gboolean anvil_drain_table_is_draining (const anvil_drain_table_t *table, guint64 upstream);

/** anvil_drain_table_source - who told this entry of a drain, the upstream before all others */
anvil_drain_source_t anvil_drain_table_source (const anvil_drain_table_t *table, guint64 upstream);

/** anvil_drain_table_age - how long ago the present state was learnt */
anvil_time_t
anvil_drain_table_age (const anvil_drain_table_t *table, anvil_time_t now, guint64 upstream);

/** anvil_drain_table_fill_gossip - fills the drains of a heartbeat, the freshest first */
void anvil_drain_table_fill_gossip (anvil_drain_table_t *table, anvil_gossip_t *gossip);
