#pragma once

#include "anvil/store.h"
#include "relay/relay-message.h"
#include "relay/update-log.h"
#include "steer/store-era.h"

/*
 * Watches the store for the configuration, evacuated zones and upstreams, and
 * keeps the registry up to date.
 */

/* While the store answers, requests are sent only if the registry was read within this time. It is
 * read once a second, but the process may have been suspended since. */
#define ANVIL_RELAY_MAX_REGISTRY_AGE (2500 * ANVIL_MS)

typedef struct anvil_relay_watch anvil_relay_watch_t;

/**
 * anvil_relay_watch_callbacks_t - what changed
 * @routes: a newer configuration, validated; borrowed
 * @upstreams_read: changes of upstreams were read from the store
 * @config_read: a newer configuration was read from the store, with all of its table, or the table
 *   was read in a new era
 * @era_risen: the store has come back from an older copy, so what this entry wrote may be gone
 */
typedef struct
{
  void (*routes) (void *context, anvil_routes_t *routes);
  void (*upstreams_read) (void *context);
  void (*config_read) (void *context);
  void (*era_risen) (void *context);
} anvil_relay_watch_callbacks_t;

/** anvil_relay_watch_open - starts to read the store and to update @registry; @resync_time as in
 * anvil_relay_settings_t */
anvil_relay_watch_t *anvil_relay_watch_open (struct event_base *base,
                                             anvil_store_t *store,
                                             const anvil_adapter_t *adapter,
                                             anvil_registry_t *registry,
                                             anvil_time_t resync_time,
                                             const anvil_relay_watch_callbacks_t *callbacks,
                                             void *context);

/** anvil_relay_watch_close - call it before anvil_store_close(), whose cancelled calls would be
 * taken for an outage */
void anvil_relay_watch_close (anvil_relay_watch_t *watch);

/** anvil_relay_watch_set_resync_time - see anvil_relay_settings_t */
void anvil_relay_watch_set_resync_time (anvil_relay_watch_t *watch, anvil_time_t resync_time);

/** anvil_relay_watch_ready - whether the configuration and all upstreams have been read */
gboolean anvil_relay_watch_ready (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_follow_upstreams - reads upstreams from the store if @follow; otherwise they
 * come from a peer, by anvil_relay_watch_apply_updates() */
void anvil_relay_watch_follow_upstreams (anvil_relay_watch_t *watch, gboolean follow);

/** anvil_relay_watch_upstream_version - version of the store up to which upstreams are known */
anvil_store_position_t anvil_relay_watch_upstream_version (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_operators_version - version of the store up to which the evacuated zones are
 * known */
anvil_store_position_t anvil_relay_watch_operators_version (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_hear_era - a peer knows this era of the store; @from is its VM's name, for
 * logs
 */
void anvil_relay_watch_hear_era (anvil_relay_watch_t *watch, guint64 era, const char *from);

/** anvil_relay_watch_era - what is known of the store's era */
const store_era_t *anvil_relay_watch_era (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_reads_store - whether this entry reads upstreams from the store */
gboolean anvil_relay_watch_reads_store (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_store_lost - whether the store doesn't answer this entry */
gboolean anvil_relay_watch_store_lost (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_config_version - version of the configuration in force; 0 if there is none */
gint64 anvil_relay_watch_config_version (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_digest - see anvil_registry_digest() */
guint64 anvil_relay_watch_digest (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_read_all - reads the whole table of upstreams from the store; call it while
 * upstreams are read from the store */
void anvil_relay_watch_read_all (anvil_relay_watch_t *watch);

/** anvil_relay_watch_update_log - updates of upstreams that were read from the store */
const anvil_update_log_t *anvil_relay_watch_update_log (const anvil_relay_watch_t *watch);

/**
 * anvil_relay_watch_apply_updates - applies the updates that a peer sent, and its evacuated zones
 * if it has read the operators' table later
 * @message: ANVIL_RELAY_UPDATES
 * @read_at: when the peer read the store, on this entry's clock
 *
 * Return: FALSE if they are older than the known version, or malformed.
 */
gboolean anvil_relay_watch_apply_updates (anvil_relay_watch_t *watch,
                                          const anvil_relay_message_t *message,
                                          anvil_time_t read_at);

/**
 * anvil_operators_poll_t - how changes of the operators' table are learned
 * @ANVIL_OPERATORS_HELD: by calls that the store holds until there is a change
 * @ANVIL_OPERATORS_PERIODIC: by a call every second, beside what a peer tells
 * @ANVIL_OPERATORS_TOLD: by a peer, which reads the table itself
 */
typedef enum
{
  ANVIL_OPERATORS_HELD,
  ANVIL_OPERATORS_PERIODIC,
  ANVIL_OPERATORS_TOLD,
} anvil_operators_poll_t;

void anvil_relay_watch_poll_operators (anvil_relay_watch_t *watch, anvil_operators_poll_t poll);

/** anvil_relay_watch_operators_told_at - when a peer last told that it reads the operators' table
 * itself, this entry's clock; 0 for never */
anvil_time_t anvil_relay_watch_operators_told_at (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_operators_lost - whether calls for the operators' table aren't answered */
gboolean anvil_relay_watch_operators_lost (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_read_operators - reads the operators' table now, since it has changed */
void anvil_relay_watch_read_operators (anvil_relay_watch_t *watch);

/**
 * anvil_relay_watch_add_config - fills in a message of the kind ANVIL_RELAY_CONFIG
 * @since: version that the peer has
 * @max_whole_bytes: limit of the whole text, which is sent if the changes aren't known
 * @changes: an empty array, which @message borrows
 */
void anvil_relay_watch_add_config (const anvil_relay_watch_t *watch,
                                   gint64 since,
                                   gsize max_whole_bytes,
                                   GByteArray *changes,
                                   anvil_relay_message_t *message);

/**
 * anvil_relay_watch_apply_config - puts the configuration that a peer sent in force
 * @message: ANVIL_RELAY_CONFIG
 * @from: name of the peer's VM, for logs
 *
 * Return: FALSE if an older version is in force afterwards: the changes start at another version,
 * are missing, or damaged.
 */
gboolean anvil_relay_watch_apply_config (anvil_relay_watch_t *watch,
                                         const anvil_relay_message_t *message,
                                         const char *from);

/** anvil_relay_watch_add_evacuations - adds the evacuated zones to updates for a peer, and the
 * version at which they are known; @message borrows their names */
void anvil_relay_watch_add_evacuations (const anvil_relay_watch_t *watch,
                                        anvil_relay_message_t *message);
guint anvil_relay_watch_count_evacuated (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_store_ok_for - for how long the store is known to have answered, microseconds;
 * see steer/read-span.h */
anvil_time_t anvil_relay_watch_store_ok_for (const anvil_relay_watch_t *watch, anvil_time_t now);

/** anvil_relay_watch_grace_remaining - how much longer the registry waits for a missing row to come
 * back, microseconds */
anvil_time_t anvil_relay_watch_grace_remaining (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_upstreams_read_at - when upstreams were last read; G_MAXINT64 while the store
 * doesn't answer, or not in time */
anvil_time_t anvil_relay_watch_upstreams_read_at (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_set_revoke_time - the store holds calls for a short time only, so that the
 * configuration is often proven to be the newest; microseconds, 0 for no such rule */
void anvil_relay_watch_set_revoke_time (anvil_relay_watch_t *watch, anvil_time_t revoke_time);

/** anvil_relay_watch_hear_config_version - a peer has this version of the configuration in force.
 * If the store may have come back from a copy that lacks it, what was read of the store proves
 * nothing
 */
void anvil_relay_watch_hear_config_version (anvil_relay_watch_t *watch, gint64 version);

/** anvil_relay_watch_hear_proof - a peer answered a ping; see anvil_config_proof_add_pong() */
void anvil_relay_watch_hear_proof (anvil_relay_watch_t *watch,
                                   gint64 peer_version,
                                   anvil_time_t pinged_at,
                                   anvil_time_t peer_age);

/** anvil_relay_watch_config_proof_age - see anvil_config_proof_age(); @now on CLOCK_BOOTTIME */
anvil_time_t anvil_relay_watch_config_proof_age (const anvil_relay_watch_t *watch,
                                                 anvil_time_t now);

/** anvil_relay_watch_operators_read_at - when the configuration and the evacuated zones were last
 * read; 0 if they were not */
anvil_time_t anvil_relay_watch_operators_read_at (const anvil_relay_watch_t *watch);
