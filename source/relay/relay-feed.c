#include "relay/relay-feed.h"

#include "anvil/log.h"

/* A subscription is renewed this often, which also requests updates that were lost. */
#define SUBSCRIBE_PERIOD (1 * ANVIL_SECOND)
/* A subscriber that hasn't renewed its subscription for this long is removed. */
#define SUBSCRIBER_TIMEOUT (3 * ANVIL_SECOND)
/* A subscriber reads the store itself after the reader was silent for this long. It reads at once,
 * so a drain is still known within the 2.5 s of the platform's contract. */
#define READER_TIMEOUT (1300 * ANVIL_MS)
/* A reader sends no updates if its last read is older than this. */
#define MAX_UPDATE_AGE (1500 * ANVIL_MS)
/* A subscriber reads the store itself once what it received is older than this. A reader that the
 * store has stopped answering sends its last read until that is MAX_UPDATE_AGE old, and one call
 * more must fit into the 2.5 s. */
#define MAX_RECEIVED_AGE (1900 * ANVIL_MS)
/* An entry that receives upstreams from nowhere is outdated after this time. All entries notice an
 * outage of the store within it, and then none claims to read the store. */
#define OUTDATED_AFTER (3 * ANVIL_SECOND)

struct anvil_relay_feed
{
  anvil_slot_broker_t *slot_broker;
  anvil_relay_watch_t *watch;
  anvil_time_t (*upstreams_read_at) (void *context);
  void *context;
  anvil_node_t reader;
  anvil_time_t chosen_at;
  anvil_time_t subscribed_at;
  anvil_time_t received_at;
  gboolean subscribed;
  /* When upstreams were last known to be up to date. */
  anvil_time_t current_at;
  /* subscriber_t by node. */
  GHashTable *subscribers;
};

anvil_relay_feed_t *
anvil_relay_feed_open (anvil_slot_broker_t *broker,
                       anvil_relay_watch_t *watch,
                       anvil_time_t (*upstreams_read_at) (void *context),
                       void *context)
{
  anvil_relay_feed_t *feed = g_new0 (anvil_relay_feed_t, 1);

  feed->slot_broker = broker;
  feed->watch = watch;
  feed->upstreams_read_at = upstreams_read_at;
  feed->context = context;
  feed->reader = anvil_slot_broker_self (broker);
  feed->subscribers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return feed;
}

void
anvil_relay_feed_close (anvil_relay_feed_t *feed)
{
  if (feed == NULL)
    return;
  g_hash_table_unref (feed->subscribers);
  g_free (feed);
}

static void
set_subscribed (anvil_relay_feed_t *feed, gboolean subscribed, const char *reason)
{
  if (subscribed == feed->subscribed)
    return;
  feed->subscribed = subscribed;
  anvil_relay_watch_follow_upstreams (feed->watch, !subscribed);
  anvil_log (ANVIL_LOG_NOTICE, "feed",
             "%s reader=%s reason=\"%s\" version=" ANVIL_STORE_POSITION_FORMAT,
             subscribed ? "upstreams are received from the region's reader"
                        : "upstreams are read from the store",
             anvil_slot_broker_vm_name (feed->slot_broker, feed->reader), reason,
             ANVIL_STORE_POSITION_ARGS (anvil_relay_watch_upstream_version (feed->watch)));
}

/* The region's reader, or, if the store doesn't answer this entry, a peer that it does answer. */
static anvil_node_t
choose_reader (const anvil_relay_feed_t *feed, anvil_time_t now)
{
  const anvil_members_t *members = anvil_slot_broker_members (feed->slot_broker);
  anvil_node_t first
      = anvil_slot_broker_first_in_region (feed->slot_broker, ANVIL_RELAY_READER_NAME);
  anvil_node_t next;

  if (!anvil_relay_watch_store_lost (feed->watch))
    return first;
  /* A reader that has just been chosen gets time to answer. */
  if (feed->reader != anvil_slot_broker_self (feed->slot_broker)
      && now - MAX (feed->received_at, feed->chosen_at) <= READER_TIMEOUT)
    return feed->reader;
  next = anvil_members_next_store_reader (members, now, feed->reader);
  return next != ANVIL_NO_NODE ? next : first;
}

/* Tells the peers whether this entry may be a holder. */
static void
update_outdated (anvil_relay_feed_t *feed, anvil_time_t now)
{
  anvil_members_t *members = anvil_slot_broker_members (feed->slot_broker);
  anvil_member_info_t *self = anvil_members_self (members);
  gboolean outdated;

  if (feed->subscribed || !anvil_relay_watch_store_lost (feed->watch)
      || anvil_members_next_store_reader (members, now, ANVIL_NO_NODE) == ANVIL_NO_NODE)
    feed->current_at = now;
  outdated = now - feed->current_at > OUTDATED_AFTER;
  if (outdated == self->outdated)
    return;
  self->outdated = outdated;
  anvil_log (ANVIL_LOG_NOTICE, "feed", "%s version=" ANVIL_STORE_POSITION_FORMAT,
             outdated ? "changes of upstreams can't be learned, slots are held elsewhere"
                      : "changes of upstreams are learned again",
             ANVIL_STORE_POSITION_ARGS (anvil_relay_watch_upstream_version (feed->watch)));
}

static void
request_updates (anvil_relay_feed_t *feed)
{
  const anvil_store_position_t known = anvil_relay_watch_upstream_version (feed->watch);
  const anvil_relay_message_t message
      = { .kind = ANVIL_RELAY_REQUEST_UPDATES, .number = known.version, .era = known.era };

  anvil_slot_broker_send (feed->slot_broker, feed->reader, &message);
}

void
anvil_relay_feed_tick (anvil_relay_feed_t *feed, anvil_time_t now)
{
  anvil_node_t reader = choose_reader (feed, now);

  update_outdated (feed, now);
  if (reader != feed->reader)
    {
      feed->reader = reader;
      feed->chosen_at = now;
      feed->subscribed_at = 0;
      /* Until the new reader sends updates. */
      set_subscribed (feed, FALSE, "another entry is the reader");
    }
  if (reader == anvil_slot_broker_self (feed->slot_broker))
    {
      set_subscribed (feed, FALSE, "this entry is the reader of its region");
      return;
    }
  if (feed->subscribed && now - feed->received_at > READER_TIMEOUT)
    set_subscribed (feed, FALSE, "the reader is silent");
  else if (feed->subscribed && now - feed->upstreams_read_at (feed->context) > MAX_RECEIVED_AGE)
    set_subscribed (feed, FALSE, "what the reader sends is old");
  if (now - feed->subscribed_at < SUBSCRIBE_PERIOD || !anvil_relay_watch_ready (feed->watch))
    return;
  feed->subscribed_at = now;
  request_updates (feed);
}

/* Whether this entry reads the store itself, and has read it lately. @age is set if it does. */
static gboolean
can_send (const anvil_relay_feed_t *feed, anvil_time_t now, anvil_time_t *age)
{
  anvil_time_t read_at = feed->upstreams_read_at (feed->context);

  if (feed->subscribed || read_at == G_MAXINT64)
    return FALSE;
  *age = now - read_at;
  return *age <= MAX_UPDATE_AGE;
}

static void
send_updates (anvil_relay_feed_t *feed, anvil_node_t peer, anvil_store_position_t version)
{
  const anvil_update_log_t *log = anvil_relay_watch_update_log (feed->watch);
  GByteArray *rows = g_byte_array_new ();
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);
  anvil_time_t age = 0;

  if (can_send (feed, anvil_clock_now (), &age) && anvil_update_log_since (log, version, rows))
    {
      message->kind = ANVIL_RELAY_UPDATES;
      message->number = anvil_update_log_version (log).version;
      message->era = anvil_update_log_version (log).era;
      message->after_version = version;
      message->age = age;
      message->store_ok_for = anvil_relay_watch_store_ok_for (feed->watch, anvil_clock_now ());
      message->grace_remaining = anvil_relay_watch_grace_remaining (feed->watch);
      message->digest = anvil_relay_watch_digest (feed->watch);
      anvil_relay_watch_add_evacuations (feed->watch, message);
      message->rows = (anvil_str_t){ .data = (const char *) rows->data, .length = rows->len };
      anvil_slot_broker_send (feed->slot_broker, peer, message);
    }
  g_free (message);
  g_byte_array_unref (rows);
}

/**
 * subscriber_t - a peer that is sent updates
 * @subscribed_at: when it renewed its subscription last
 * @version: version that it had then
 */
typedef struct
{
  anvil_time_t subscribed_at;
  anvil_store_position_t version;
} subscriber_t;

void
anvil_relay_feed_subscribe (anvil_relay_feed_t *feed,
                            anvil_node_t peer,
                            anvil_store_position_t version)
{
  const subscriber_t subscriber = { .subscribed_at = anvil_clock_now (), .version = version };

  g_hash_table_insert (feed->subscribers, g_memdup2 (&peer, sizeof peer),
                       g_memdup2 (&subscriber, sizeof subscriber));
  send_updates (feed, peer, version);
}

void
anvil_relay_feed_publish (anvil_relay_feed_t *feed)
{
  anvil_time_t now = anvil_clock_now ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->subscribers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      subscriber_t *subscriber = value;

      if (now - subscriber->subscribed_at > SUBSCRIBER_TIMEOUT)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      /* From the version that it named, so that updates of a lost message are sent again. */
      send_updates (feed, *(const anvil_node_t *) key, subscriber->version);
    }
}

void
anvil_relay_feed_receive (anvil_relay_feed_t *feed,
                          anvil_node_t peer,
                          const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();

  /* Updates that start after the version known here would leave a gap. */
  if (peer != feed->reader
      || anvil_store_position_later (message->after_version,
                                     anvil_relay_watch_upstream_version (feed->watch)))
    return;
  if (!anvil_relay_watch_apply_updates (feed->watch, message, now - message->age))
    return;
  if (anvil_relay_watch_digest (feed->watch) != message->digest)
    {
      set_subscribed (feed, FALSE, "upstreams differ from the reader's");
      anvil_relay_watch_read_all (feed->watch);
      return;
    }
  feed->received_at = now;
  set_subscribed (feed, TRUE, "the reader sends updates");
}
