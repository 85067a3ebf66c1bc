#pragma once

#include "anvil/store.h"
#include "relay/news-log.h"
#include "relay/relay-message.h"

/*
 * What the store says: the configuration, zones to empty, and upstreams.
 */

typedef struct anvil_relay_watch anvil_relay_watch_t;

/**
 * anvil_relay_watch_events_t - what changed
 * @routes: a newer configuration, checked; borrowed
 * @upstreams_read: changes of upstreams were read from the store
 */
typedef struct
{
  void (*routes) (void *context, anvil_routes_t *routes);
  void (*upstreams_read) (void *context);
} anvil_relay_watch_events_t;

/** anvil_relay_watch_open - follows the store and keeps @registry up to date */
anvil_relay_watch_t *anvil_relay_watch_open (struct event_base *base,
                                             anvil_store_t *store,
                                             const anvil_adapter_t *deployment,
                                             anvil_registry_t *registry,
                                             const anvil_relay_watch_events_t *events,
                                             void *context);

/** anvil_relay_watch_close - before anvil_store_close(), so that its end isn't taken for an outage
 */
void anvil_relay_watch_close (anvil_relay_watch_t *watch);

/** anvil_relay_watch_ready - whether configuration and upstreams have been read */
gboolean anvil_relay_watch_ready (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_follow_upstreams - whether upstreams are read from the store, or told by a
 * peer */
void anvil_relay_watch_follow_upstreams (anvil_relay_watch_t *watch, gboolean follow);

/** anvil_relay_watch_upstream_version - version of the store up to which upstreams are known */
guint64 anvil_relay_watch_upstream_version (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_news - news of upstreams read from the store */
const anvil_news_log_t *anvil_relay_watch_news (const anvil_relay_watch_t *watch);

/**
 * anvil_relay_watch_take_news - a peer's news
 * @message: ANVIL_RELAY_NEWS
 * @known_at: when the peer read the store, this entry's clock
 *
 * Return: FALSE if they are older than what is known, or can't be read.
 */
gboolean anvil_relay_watch_take_news (anvil_relay_watch_t *watch,
                                      const anvil_relay_message_t *message,
                                      anvil_time_t known_at);

/** anvil_relay_watch_store_ok_for - how long upstreams have been read from the store without a
 * break, microseconds; 0 if they aren't */
anvil_time_t anvil_relay_watch_store_ok_for (const anvil_relay_watch_t *watch, anvil_time_t now);

/** anvil_relay_watch_lapses_for - how much longer a missing row may come back, microseconds */
anvil_time_t anvil_relay_watch_lapses_for (const anvil_relay_watch_t *watch);

/** anvil_relay_watch_known_at - when upstreams were last read; G_MAXINT64 while the store is away
 */
anvil_time_t anvil_relay_watch_known_at (const anvil_relay_watch_t *watch);
