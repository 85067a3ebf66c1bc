#pragma once

#include "anvil/clock.h"
#include "anvil/str.h"

/*
 * Upstreams that register themselves in a store.
 *
 * The registry has no sockets and no clock. Whoever reads the store applies
 * what it read; whoever sends requests asks what is believed now, and how old
 * that belief is.
 */

/**
 * anvil_upstream_report_t - what an upstream says of itself
 * @id: its name in the store
 * @service: service that it belongs to
 * @zone: availability zone
 * @address: IPv4 in host order
 * @port: TCP port
 * @slots: requests that it works on at once
 * @draining: it asks for no more requests
 * @cold_remaining: how much longer it is cold, microseconds
 * @started_at: its own word for when it started, Unix milliseconds; tells two
 *   processes of one @id apart
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
} anvil_upstream_report_t;

/**
 * anvil_registered_upstream_t - an upstream as the registry has it
 * @key: hash of @id, the same in every process
 * @cold_until: until when it is taken to be cold, monotonic clock
 * @reported_at: when its last report was applied, monotonic clock
 * @evacuated: its zone is being emptied
 * @removal_pending: its row is gone, but the store was away, so it may come back
 * @removal_at: when a lapsing upstream is taken as gone, monotonic clock
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
  gboolean evacuated;
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
 * anvil_registry_callbacks_t - what the registry tells
 * @changed: called after the change; on ANVIL_REGISTRY_LEFT @upstream is freed
 *   when the callback returns. A report without news is no change.
 */
typedef struct
{
  void (*changed) (void *context,
                   anvil_time_t now,
                   const anvil_registered_upstream_t *upstream,
                   anvil_registry_change_t change);
} anvil_registry_callbacks_t;

typedef struct anvil_registry anvil_registry_t;

anvil_registry_t *anvil_registry_new (const anvil_registry_callbacks_t *events, void *context);
void anvil_registry_drop (anvil_registry_t *registry);

/**
 * anvil_registry_apply - a row was read; the upstream joins, restarts, changes or stays
 *
 * Return: whether it brought news.
 */
gboolean anvil_registry_apply (anvil_registry_t *registry,
                               anvil_time_t now,
                               const anvil_upstream_report_t *report);

/**
 * anvil_registry_remove - a row is gone, or names no upstream that can be used
 *
 * Takes effect at once, unless the store was away not long ago: then rows of
 * live upstreams have expired too and come back, and the upstream stays usable
 * until ANVIL_REGISTRY_REMOVAL_GRACE has passed since the store's return.
 *
 * Return: whether the upstream was there.
 */
gboolean anvil_registry_remove (anvil_registry_t *registry, anvil_time_t now, anvil_str_t id);

/* How long after the store's return a row that expired meanwhile may be missing. The platform's
 * contract says about two seconds; reports come every second or so. */
#define ANVIL_REGISTRY_REMOVAL_GRACE (2200 * ANVIL_MS)

/** anvil_registry_begin_snapshot - rows of a whole read follow */
void anvil_registry_begin_snapshot (anvil_registry_t *registry);

/** anvil_registry_end_snapshot - upstreams that the snapshot didn't name are removed */
void anvil_registry_end_snapshot (anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_store_lost - the store stopped answering; it was last reached at @since */
void anvil_registry_store_lost (anvil_registry_t *registry, anvil_time_t since);

/** anvil_registry_store_recovered - the store answers; TRUE if it was lost before */
gboolean anvil_registry_store_recovered (anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_grace_remaining - how much longer a missing row may come back, microseconds */
anvil_time_t anvil_registry_grace_remaining (const anvil_registry_t *registry, anvil_time_t now);

/** anvil_registry_extend_grace - rows that are missing before @until may come back */
void anvil_registry_extend_grace (anvil_registry_t *registry, anvil_time_t until);

/**
 * anvil_registry_cancel_grace - somebody else has reached the store all the while since @since
 *
 * If that covers the whole time in which this entry didn't, the entry was cut
 * off and the store wasn't away: nothing expired, and missing rows are gone.
 */
void anvil_registry_cancel_grace (anvil_registry_t *registry, anvil_time_t now, anvil_time_t since);

/** anvil_registry_tick - upstreams whose lapse has ended leave */
void anvil_registry_tick (anvil_registry_t *registry, anvil_time_t now);

/**
 * anvil_registry_set_evacuated - a zone is emptied, or taken back
 * @cold_time: how long its upstreams are taken to be cold when it is taken back,
 *   microseconds; their own reports lag behind
 */
void anvil_registry_set_evacuated (anvil_registry_t *registry,
                                   anvil_time_t now,
                                   anvil_str_t zone,
                                   gboolean evacuated,
                                   anvil_time_t cold_time);

/** anvil_registry_usable - whether new requests may go to it */
gboolean anvil_registry_usable (const anvil_registered_upstream_t *upstream);

/** anvil_registry_lookup - by key, or NULL */
const anvil_registered_upstream_t *anvil_registry_lookup (const anvil_registry_t *registry,
                                                          guint64 key);

/** anvil_registry_recently_removed - whether an upstream of this key left and hasn't come back */
gboolean anvil_registry_recently_removed (const anvil_registry_t *registry, guint64 key);

guint anvil_registry_count (const anvil_registry_t *registry);

typedef void (*anvil_registry_visit_t) (void *context, const anvil_registered_upstream_t *upstream);
void anvil_registry_foreach (const anvil_registry_t *registry,
                             anvil_registry_visit_t visit,
                             void *context);
