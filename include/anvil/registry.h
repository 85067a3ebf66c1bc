#pragma once

#include "anvil/clock.h"
#include "anvil/store-position.h"
#include "anvil/str.h"

/*
 * Upstreams that register themselves in a store.
 *
 * The registry keeps the last known state of each upstream and the time of its
 * last report. It has no sockets and no clock: the reader of the store applies
 * the rows that it read.
 */

/**
 * anvil_upstream_report_t - row that an upstream writes about itself
 * @id: key of its row in the store
 * @service: service that it belongs to
 * @zone: availability zone
 * @address: IPv4 in host order
 * @port: TCP port
 * @slots: requests that it handles at once
 * @draining: it accepts no new requests
 * @cold_remaining: how much longer it is cold, microseconds
 * @started_at: when it started by its own clock, Unix milliseconds; another value for the same
 *   @id means a restart
 * @sequence: number of the report, which grows while the process runs; 0 if the row has none
 */
typedef struct
{
  anvil_str_t id;
  anvil_str_t service;
  anvil_str_t zone;
  guint32 address;
  guint16 port;
  guint slots;
  gboolean draining;
  anvil_time_t cold_remaining;
  gint64 started_at;
  guint64 sequence;
} anvil_upstream_report_t;

/**
 * anvil_registered_upstream_t - state of an upstream in the registry
 * @key: hash of @id, the same in every process
 * @cold_until: when it stops being cold, monotonic clock
 * @reported_at: when its last report was applied, monotonic clock
 * @evacuated: its zone is evacuated
 * @sequence: highest number of its process's reports; 0 if unknown
 * @leaving: it said in a response that it is about to end
 * @removal_pending: its row is gone, but may come back since the store was unreachable
 * @removal_at: when an upstream with @removal_pending is removed, monotonic clock
 */
typedef struct
{
  guint64 key;
  char *id;
  char *service;
  char *zone;
  guint32 address;
  guint16 port;
  guint slots;
  gboolean draining;
  anvil_time_t cold_until;
  anvil_time_t reported_at;
  gint64 started_at;
  guint64 sequence;
  gboolean evacuated;
  gboolean leaving;
  gboolean removal_pending;
  anvil_time_t removal_at;
} anvil_registered_upstream_t;

/** anvil_registry_change_t - how an upstream changed */
typedef enum
{
  ANVIL_REGISTRY_JOINED,
  ANVIL_REGISTRY_RESTARTED,
  ANVIL_REGISTRY_CHANGED,
  ANVIL_REGISTRY_LEFT,
} anvil_registry_change_t;

/**
 * anvil_registry_callbacks_t - notifications
 * @changed: called after the change; on ANVIL_REGISTRY_LEFT @upstream is freed
 *   when the callback returns. Not called for a report that changes nothing.
 */
typedef struct
{
  void (*changed) (void *context,
                   anvil_time_t now,
                   const anvil_registered_upstream_t *upstream,
                   anvil_registry_change_t change);
} anvil_registry_callbacks_t;

typedef struct anvil_registry anvil_registry_t;

anvil_registry_t *anvil_registry_new (const anvil_registry_callbacks_t *callbacks, void *context);
void anvil_registry_drop (anvil_registry_t *registry);

/**
 * anvil_registry_apply - adds or updates an upstream from a row that was read
 *
 * Return: whether anything changed.
 */
gboolean anvil_registry_apply (anvil_registry_t *registry,
                               anvil_time_t now,
                               const anvil_upstream_report_t *report);

/**
 * anvil_registry_remove - removes an upstream whose row was removed in the store, or is invalid
 *
 * Takes effect at once, unless the store was unreachable until recently: rows of
 * live upstreams then have expired too and are written again. In that case the
 * upstream stays usable until ANVIL_REGISTRY_REMOVAL_GRACE has passed since the
 * store recovered. An upstream that drains or leaves is always removed at once.
 *
 * Return: whether the upstream was registered.
 */
gboolean anvil_registry_remove (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id);

/**
 * anvil_registry_row_missing - like anvil_registry_remove(), for a row that isn't in the table
 *
 * The store may also have lost it, see anvil_registry_begin_era().
 */
gboolean anvil_registry_row_missing (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id);

/** anvil_registry_count_deferred - upstreams whose rows are gone and that stay for now */
guint anvil_registry_count_deferred (const anvil_registry_t *registry);

/* How long after the store has recovered a row that expired meanwhile may be missing. The
 * platform's contract says about two seconds; upstreams report about once a second. */
#define ANVIL_REGISTRY_REMOVAL_GRACE (2200 * ANVIL_MS)

/**
 * anvil_registry_begin_era - the store has come back from an older copy
 *
 * For ANVIL_STORE_RETURN_TIME from @now on, a missing row is no departure, also if it drained,
 * unless it was in the store in the new era. The removal of a row that was, but with no later
 * report of its process, counts ANVIL_REGISTRY_REMOVAL_GRACE after @now: the copy's row may have
 * expired. From then on, reports that are older than the known one of the same process are ignored.
 */
void anvil_registry_begin_era (anvil_registry_t *registry, anvil_time_t now);

/**
 * anvil_registry_confirm_rows - all rows that aren't known to be missing are in the store
 *
 * For an entry that isn't sent the rows that haven't changed.
 */
void anvil_registry_confirm_rows (anvil_registry_t *registry);

/** anvil_registry_begin_snapshot - starts applying all rows of a complete read */
void anvil_registry_begin_snapshot (anvil_registry_t *registry);

typedef void (*anvil_registry_visit_missing_t) (void *context, anvil_str_t id);

/** anvil_registry_foreach_missing - visits the upstreams that were not in the snapshot so far */
void anvil_registry_foreach_missing (const anvil_registry_t *registry,
                                     anvil_registry_visit_missing_t visit,
                                     void *context);

/** anvil_registry_end_snapshot - removes upstreams that were not in the snapshot */
void anvil_registry_end_snapshot (anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_store_lost - the store stopped responding; it was last reached at @since */
void anvil_registry_store_lost (anvil_registry_t *registry, anvil_time_t since);

/** anvil_registry_store_recovered - the store responds; TRUE if it was lost before */
gboolean anvil_registry_store_recovered (anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_grace_remaining - how much longer a missing row may come back, microseconds */
anvil_time_t anvil_registry_grace_remaining (const anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_extend_grace - defers removals until @until at least */
void anvil_registry_extend_grace (anvil_registry_t *registry, anvil_time_t until);

/**
 * anvil_registry_cancel_grace - some entry has reached the store continuously since @since
 *
 * If that covers the whole outage that this entry saw, the entry was cut off from
 * a working store, and no row of a live upstream has expired. If it is
 * ANVIL_REGISTRY_REMOVAL_GRACE long, rows that had expired are back. In both cases
 * pending removals take effect.
 */
void anvil_registry_cancel_grace (anvil_registry_t *registry, anvil_time_t now, anvil_time_t since);

/** anvil_registry_tick - removes upstreams whose pending removal is due */
void anvil_registry_tick (anvil_registry_t *registry, anvil_time_t now);

/**
 * anvil_registry_set_evacuated - starts or ends the evacuation of a zone
 * @cold_time: how long its upstreams count as cold when the evacuation ends, microseconds; needed
 *   since their own reports arrive later
 */
void anvil_registry_set_evacuated (anvil_registry_t *registry,
                                   anvil_time_t now,
                                   anvil_str_t zone,
                                   gboolean evacuated,
                                   anvil_time_t cold_time);

/**
 * anvil_registry_set_leaving - an upstream said in a response that it is about to end
 * @key: the upstream; it need not be registered
 * @started_at: start of the process that said so, see anvil_upstream_report_t; 0 if unknown
 * @from_peer: it said so to another entry
 *
 * It stays unusable whatever its row says, until a row of another process with its id is read, or
 * its row has said that it drains and says that it is ready again; what a peer says later doesn't
 * undo the latter. Responses without the word don't end it: they arrive in any order. It is
 * forgotten a minute after the row is gone.
 *
 * Return: FALSE if it was known, or if the registry knows a process with a later start.
 */
gboolean anvil_registry_set_leaving (anvil_registry_t *registry,
                                     anvil_time_t now,
                                     guint64 key,
                                     const char *service,
                                     gint64 started_at,
                                     gboolean from_peer);

/** anvil_registry_count_leaving - upstreams that said that they leave, registered or not */
guint anvil_registry_count_leaving (const anvil_registry_t *registry);

typedef void (*anvil_registry_visit_leaving_t) (void *context, guint64 key, gint64 started_at);

/** anvil_registry_foreach_leaving - visits the upstreams of a service that said that they leave,
 * registered or not */
void anvil_registry_foreach_leaving (const anvil_registry_t *registry,
                                     const char *service,
                                     anvil_registry_visit_leaving_t visit,
                                     void *context);

/** anvil_registry_usable - whether new requests may be sent to it */
gboolean anvil_registry_usable (const anvil_registered_upstream_t *upstream);

/** anvil_registry_lookup - by key, or NULL */
const anvil_registered_upstream_t *anvil_registry_lookup (const anvil_registry_t *registry,
                                                          guint64 key);

/** anvil_registry_recently_removed - whether the upstream was removed and hasn't returned */
gboolean anvil_registry_recently_removed (const anvil_registry_t *registry, guint64 key);

/** anvil_registry_set_version - the registry knows all rows of the store's table up to @version */
void anvil_registry_set_version (anvil_registry_t *registry, anvil_store_position_t version);

/** anvil_registry_version - version of the store's table up to which the rows are known */
anvil_store_position_t anvil_registry_version (const anvil_registry_t *registry);

/** anvil_registry_row_version - version of the store's table at which an upstream's row was known
 * to exist; 0 if it is missing */
anvil_store_position_t anvil_registry_row_version (const anvil_registry_t *registry, guint64 key);

/**
 * anvil_registry_digest - hash of the upstreams whose rows exist, and of which of them drain
 *
 * Registries that know the same version of the table have the same digest.
 */
guint64 anvil_registry_digest (const anvil_registry_t *registry);

/**
 * anvil_registry_reason_to_withhold - whether a request that was on its way to an upstream must not
 *   be sent any more, by what is known of the upstream now
 * @key: the upstream
 * @started_at: start of its process as far as it is known; 0 if not
 *
 * Return: why it must not, for logs; NULL if it may be sent, also if the upstream was never known.
 */
const char *anvil_registry_reason_to_withhold (const anvil_registry_t *registry,
                                               guint64 key,
                                               gint64 started_at);

/**
 * anvil_registry_reason_not_to_use - whether an upstream that another entry granted may be used
 * @key: the granted upstream
 * @zone: its zone as the other entry knows it
 * @started_at: start of its process as the other entry knows it; 0 if it doesn't
 * @grant_version: anvil_registry_row_version() at the entry that granted it
 * @store_ok_for: for how long this entry or a peer has read the store without an interruption
 *
 * An upstream without a row here is new if the other entry's knowledge is newer.
 * Otherwise it has left, even if this process started later and never knew it,
 * unless its row may have expired in an outage of the store that has just ended, or been lost as
 * the store has just come back from an older copy. The other entry may not know of an evacuation,
 * so the zone is checked here too.
 *
 * Return: why the upstream must not be used, for logs; NULL if it may be.
 */
const char *anvil_registry_reason_not_to_use (const anvil_registry_t *registry,
                                              guint64 key,
                                              anvil_str_t zone,
                                              gint64 started_at,
                                              anvil_store_position_t grant_version,
                                              anvil_time_t store_ok_for);

guint anvil_registry_count (const anvil_registry_t *registry);

typedef void (*anvil_registry_visit_t) (void *context, const anvil_registered_upstream_t *upstream);
void anvil_registry_foreach (const anvil_registry_t *registry,
                             anvil_registry_visit_t visit,
                             void *context);
