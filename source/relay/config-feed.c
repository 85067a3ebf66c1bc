#include "relay/config-feed.h"

#include "anvil/log.h"

/**
 * anvil_config_feed_t - the newest version that a peer named
 * @heard_version: the version; 0 if no peer named a newer one than is in force here
 * @heard_at: when it, or one before it that isn't in force here either, was heard of first
 */
struct anvil_config_feed
{
  anvil_slot_broker_t *slot_broker;
  anvil_relay_watch_t *watch;
  gint64 heard_version;
  anvil_time_t heard_at;
};

anvil_config_feed_t *
anvil_config_feed_open (anvil_slot_broker_t *broker, anvil_relay_watch_t *watch)
{
  anvil_config_feed_t *feed = g_new0 (anvil_config_feed_t, 1);

  feed->slot_broker = broker;
  feed->watch = watch;
  return feed;
}

void
anvil_config_feed_close (anvil_config_feed_t *feed)
{
  g_free (feed);
}

static void
hear_version (anvil_config_feed_t *feed, anvil_time_t now, anvil_node_t peer, gint64 version)
{
  gint64 in_force = anvil_relay_watch_config_version (feed->watch);

  if (version <= MAX (in_force, feed->heard_version))
    return;
  if (feed->heard_version == 0)
    feed->heard_at = now;
  feed->heard_version = version;
  anvil_log (ANVIL_LOG_INFO, "config",
             "a peer has a newer configuration version=%" G_GINT64_FORMAT
             " in_force=%" G_GINT64_FORMAT " peer=%s behind_ms=%" G_GINT64_FORMAT
             " unread_ms=%" G_GINT64_FORMAT,
             version, in_force, anvil_slot_broker_vm_name (feed->slot_broker, peer),
             (now - feed->heard_at) / ANVIL_MS,
             (now - anvil_relay_watch_operators_read_at (feed->watch)) / ANVIL_MS);
}

static void
end_if_in_force (anvil_config_feed_t *feed, anvil_time_t now)
{
  gint64 in_force = anvil_relay_watch_config_version (feed->watch);

  if (feed->heard_version == 0 || in_force < feed->heard_version)
    return;
  anvil_log (ANVIL_LOG_INFO, "config",
             "the newest configuration of the peers is in force version=%" G_GINT64_FORMAT
             " behind_ms=%" G_GINT64_FORMAT,
             in_force, (now - feed->heard_at) / ANVIL_MS);
  feed->heard_version = 0;
}

void
anvil_config_feed_tick (anvil_config_feed_t *feed, anvil_time_t now)
{
  anvil_members_t *members = anvil_slot_broker_members (feed->slot_broker);
  const anvil_peer_t *peer = anvil_members_newest_config (members, now);

  anvil_members_self (members)->config_version = anvil_relay_watch_config_version (feed->watch);
  end_if_in_force (feed, now);
  if (peer != NULL)
    hear_version (feed, now, peer->node, peer->info.config_version);
}

gint64
anvil_config_feed_newest_version (const anvil_config_feed_t *feed)
{
  return MAX (feed->heard_version, anvil_relay_watch_config_version (feed->watch));
}
