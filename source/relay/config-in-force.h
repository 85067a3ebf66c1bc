#pragma once

#include "anvil/store.h"
#include "relay/table-follower.h"

/*
 * The configuration in force: the newest valid one that was read from the store or received from a
 * peer. A version is never replaced by an older one.
 */

typedef struct anvil_config_in_force anvil_config_in_force_t;

/**
 * anvil_config_in_force_new - none is in force at first
 * @changed: called with a newer configuration, validated; borrowed
 */
anvil_config_in_force_t *anvil_config_in_force_new (const anvil_adapter_t *adapter,
                                                    void (*changed) (void *context,
                                                                     anvil_routes_t *routes),
                                                    void *context);
void anvil_config_in_force_drop (anvil_config_in_force_t *config);

/** anvil_config_in_force_version - 0 if there is none */
gint64 anvil_config_in_force_version (const anvil_config_in_force_t *config);

/** anvil_config_in_force_exists - whether there is one */
gboolean anvil_config_in_force_exists (const anvil_config_in_force_t *config);

/** anvil_config_in_force_max_cold_time - longest cold time of all services, microseconds */
anvil_time_t anvil_config_in_force_max_cold_time (const anvil_config_in_force_t *config);

/**
 * anvil_config_in_force_apply_row - takes over the row of the store
 * @response: the store's response, for logs
 *
 * Return: whether it is newer than the one in force, and valid.
 */
gboolean anvil_config_in_force_apply_row (anvil_config_in_force_t *config,
                                          const anvil_store_row_t *row,
                                          const anvil_table_follower_last_response_t *response);

/**
 * anvil_config_in_force_apply_changes - takes over what a peer sent
 * @changes: packed changes; see relay/config-log.h
 * @from: name of the peer's VM, for logs
 * @unread_time: time since the store was read, for logs
 *
 * Return: FALSE if they start at a version that is not in force, or are damaged.
 */
gboolean anvil_config_in_force_apply_changes (anvil_config_in_force_t *config,
                                              anvil_str_t changes,
                                              const char *from,
                                              anvil_time_t unread_time);

/** anvil_config_in_force_pack_whole - see anvil_config_log_pack_whole() */
void anvil_config_in_force_pack_whole (const anvil_config_in_force_t *config,
                                       gsize max_bytes,
                                       GByteArray *out);

/** anvil_config_in_force_changes_since - see anvil_config_log_changes_since() */
gboolean anvil_config_in_force_changes_since (const anvil_config_in_force_t *config,
                                              gint64 version,
                                              GByteArray *out);
