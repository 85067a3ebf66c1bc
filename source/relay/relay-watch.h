#pragma once

#include "anvil/store.h"

/*
 * What the store says: the configuration, zones to empty, and upstreams.
 */

typedef struct anvil_relay_watch anvil_relay_watch_t;

/**
 * anvil_relay_watch_events_t - what changed
 * @routes: a newer configuration, checked; borrowed
 */
typedef struct
{
  void (*routes) (void *context, anvil_routes_t *routes);
} anvil_relay_watch_events_t;

/** anvil_relay_watch_open - follows the store and keeps @registry up to date */
anvil_relay_watch_t *anvil_relay_watch_open (struct event_base *base,
                                             anvil_store_t *store,
                                             const anvil_deployment_t *deployment,
                                             anvil_registry_t *registry,
                                             const anvil_relay_watch_events_t *events,
                                             void *context);

/** anvil_relay_watch_close - before anvil_store_close(), so that its end isn't taken for an outage
 */
void anvil_relay_watch_close (anvil_relay_watch_t *watch);

/** anvil_relay_watch_ready - whether configuration and upstreams have been read */
gboolean anvil_relay_watch_ready (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_known_at - when upstreams were last read; G_MAXINT64 while the store is away
 */
anvil_time_t anvil_relay_watch_known_at (const anvil_relay_watch_t *watch);
