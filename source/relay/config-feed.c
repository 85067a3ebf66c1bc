#include "relay/config-feed.h"

#include "anvil/log.h"
#include "relay/relay-feed.h"

/* The region's reader sends changes as soon as it has read them. A peer that has told of a newer
 * configuration is asked for them only if they haven't come by then, and again after as long. */
#define REQUEST_DELAY (150 * ANVIL_MS)
/* A whole configuration takes time on a slow link, and isn't requested again meanwhile. */
#define WHOLE_REQUEST_DELAY (2 * ANVIL_SECOND)
/* The region's reader sends updates of upstreams once a second; see READER_TIMEOUT in relay-feed.c.
 */
#define TOLD_TIMEOUT (1300 * ANVIL_MS)
/* Limit of a whole configuration that is sent; a larger one comes from the store. */
#define MAX_WHOLE_BYTES (1u << 20)

/**
 * anvil_config_feed_t - the newest version that a peer named
 * @heard_version: the version; 0 if no peer named a newer one than is in force here
 * @heard_at: when it, or one before it that isn't in force here either, was heard of first
 * @requested_at: when changes were requested last
 * @whole_requested_at: when the whole was
 * @sent_versions: version that each peer was sent last, gint64 by node
 * @published_era: era of the store that the region was last told the operators' table of
 */
struct anvil_config_feed
{
  anvil_slot_broker_t *slot_broker;
  anvil_relay_watch_t *watch;
  gint64 heard_version;
  anvil_time_t heard_at;
  anvil_time_t requested_at;
  anvil_time_t whole_requested_at;
  GHashTable *sent_versions;
  guint64 published_era;
};

anvil_config_feed_t *
anvil_config_feed_open (anvil_slot_broker_t *broker, anvil_relay_watch_t *watch)
{
  anvil_config_feed_t *feed = g_new0 (anvil_config_feed_t, 1);

  feed->slot_broker = broker;
  feed->watch = watch;
  feed->sent_versions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return feed;
}

void
anvil_config_feed_close (anvil_config_feed_t *feed)
{
  if (feed == NULL)
    return;
  g_hash_table_unref (feed->sent_versions);
  g_free (feed);
}

static void
hear_version (anvil_config_feed_t *feed, anvil_time_t now, anvil_node_t peer, gint64 version)
{
  gint64 in_force = anvil_relay_watch_config_version (feed->watch);

  anvil_relay_watch_hear_config_version (feed->watch, version);
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

/* Whether only a peer has the newest configuration: the store doesn't answer, or was read since
 * that was heard of and has lost it. */
static gboolean
store_lacks_newest (const anvil_config_feed_t *feed)
{
  return anvil_relay_watch_operators_lost (feed->watch)
         || (feed->heard_version > 0
             && anvil_relay_watch_operators_read_at (feed->watch) > feed->heard_at);
}

static void
request_changes (anvil_config_feed_t *feed, anvil_time_t now, anvil_node_t peer)
{
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_REQUEST_CONFIG,
          .number = (guint64) anvil_relay_watch_config_version (feed->watch),
          .whole
          = store_lacks_newest (feed) && now - feed->whole_requested_at >= WHOLE_REQUEST_DELAY };

  feed->requested_at = now;
  if (message.whole)
    feed->whole_requested_at = now;
  anvil_slot_broker_send (feed->slot_broker, peer, &message);
}

/* The region's reader tells the others of changes, and once a second that it still reads the table.
 * While it does, they needn't ask the store; only the next in rank does, since the reader may be
 * behind a slow link, or its call lost. */
static void
update_poll (anvil_config_feed_t *feed, anvil_time_t now)
{
  anvil_node_t reader
      = anvil_slot_broker_first_in_region (feed->slot_broker, ANVIL_RELAY_READER_NAME);
  const anvil_node_t second = anvil_members_second (anvil_slot_broker_members (feed->slot_broker),
                                                    now, anvil_str (ANVIL_RELAY_READER_NAME),
                                                    anvil_slot_broker_region (feed->slot_broker));
  const anvil_node_t self = anvil_slot_broker_self (feed->slot_broker);
  const gboolean told = self != second
                        && now - anvil_relay_watch_operators_told_at (feed->watch) <= TOLD_TIMEOUT
                        && !anvil_relay_watch_operators_lost (feed->watch)
                        && !anvil_relay_watch_store_lost (feed->watch);

  if (reader == self || !anvil_relay_watch_ready (feed->watch))
    anvil_relay_watch_poll_operators (feed->watch, ANVIL_OPERATORS_HELD);
  else
    anvil_relay_watch_poll_operators (feed->watch,
                                      told ? ANVIL_OPERATORS_TOLD : ANVIL_OPERATORS_PERIODIC);
}

void
anvil_config_feed_tick (anvil_config_feed_t *feed, anvil_time_t now)
{
  anvil_members_t *members = anvil_slot_broker_members (feed->slot_broker);
  const anvil_peer_t *peer = anvil_members_newest_config (members, now);

  anvil_members_self (members)->config_version = anvil_relay_watch_config_version (feed->watch);
  update_poll (feed, now);
  end_if_in_force (feed, now);
  if (peer == NULL)
    return;
  hear_version (feed, now, peer->node, peer->info.config_version);
  if (feed->heard_version > 0 && now - MAX (feed->heard_at, feed->requested_at) >= REQUEST_DELAY)
    request_changes (feed, now, peer->node);
}

static void
send_changes (anvil_config_feed_t *feed, anvil_node_t peer, gint64 since, gsize max_whole_bytes)
{
  const gint64 version = anvil_relay_watch_config_version (feed->watch);
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);
  GByteArray *changes = g_byte_array_new ();

  anvil_relay_watch_add_config (feed->watch, since, max_whole_bytes, changes, message);
  anvil_slot_broker_send (feed->slot_broker, peer, message);
  g_hash_table_insert (feed->sent_versions, g_memdup2 (&peer, sizeof peer),
                       g_memdup2 (&version, sizeof version));
  g_byte_array_unref (changes);
  g_free (message);
}

void
anvil_config_feed_publish (anvil_config_feed_t *feed)
{
  const anvil_time_t now = anvil_clock_now ();
  anvil_members_t *members = anvil_slot_broker_members (feed->slot_broker);
  const char *region = anvil_slot_broker_region (feed->slot_broker);
  const guint64 era = anvil_relay_watch_operators_version (feed->watch).era;
  /* The others need not read the table themselves then. */
  const gboolean in_new_era = era > feed->published_era;

  if (anvil_slot_broker_first_in_region (feed->slot_broker, ANVIL_RELAY_READER_NAME)
      != anvil_slot_broker_self (feed->slot_broker))
    return;
  feed->published_era = era;
  /* Peers come and go. */
  if (g_hash_table_size (feed->sent_versions) > 2 * anvil_members_count (members))
    g_hash_table_remove_all (feed->sent_versions);
  for (guint i = 0; i < anvil_members_count (members); i++)
    {
      const anvil_peer_t *peer = anvil_members_at (members, i);
      const gint64 *sent = g_hash_table_lookup (feed->sent_versions, &peer->node);
      /* A peer that missed the last one notices, and requests what it lacks. */
      gint64 since = MAX (peer->info.config_version, sent != NULL ? *sent : 0);

      if (g_strcmp0 (peer->region, region) == 0 && anvil_members_reachable (members, now, peer)
          && (in_new_era || since < anvil_relay_watch_config_version (feed->watch)))
        send_changes (feed, peer->node, since, 0);
    }
}

void
anvil_config_feed_requested (anvil_config_feed_t *feed,
                             anvil_node_t peer,
                             gint64 since,
                             gboolean whole)
{
  if (since < anvil_relay_watch_config_version (feed->watch))
    send_changes (feed, peer, since, whole ? MAX_WHOLE_BYTES : 0);
}

void
anvil_config_feed_receive (anvil_config_feed_t *feed,
                           anvil_node_t peer,
                           const anvil_relay_message_t *message)
{
  const anvil_time_t now = anvil_clock_now ();
  const char *name = anvil_slot_broker_vm_name (feed->slot_broker, peer);

  if (anvil_relay_watch_apply_config (feed->watch, message, name))
    return;
  hear_version (feed, now, peer, (gint64) message->number);
  /* Changes from another version than the one in force here were meant for it. */
  if (message->rows.length > 0 && now - feed->requested_at >= REQUEST_DELAY)
    request_changes (feed, now, peer);
  else if (message->rows.length == 0)
    anvil_relay_watch_read_operators (feed->watch);
}

gint64
anvil_config_feed_newest_version (const anvil_config_feed_t *feed)
{
  return MAX (feed->heard_version, anvil_relay_watch_config_version (feed->watch));
}
