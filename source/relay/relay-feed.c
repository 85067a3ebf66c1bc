#include "relay/relay-feed.h"

#include "anvil/log.h"

/* Name by which a reader is ranked, as holders are by their service. */
#define READER_RANK "upstreams"
/* How often a listener asks its reader again, which also keeps it in the reader's list. */
#define ASK_PERIOD (1 * ANVIL_SECOND)
/* A peer that hasn't asked for this long isn't told any more. */
#define LISTENER_LEAVES (3 * ANVIL_SECOND)
/* Silence of the reader after which a listener follows the store itself. With the read that follows
 * at once, a drain is still known within the 2.5 s of the platform's contract. */
#define READER_SILENCE (1300 * ANVIL_MS)
/* What a reader tells must not be older than this. */
#define MAX_AGE (1500 * ANVIL_MS)

struct anvil_relay_feed
{
  anvil_slot_broker_t *desk;
  anvil_relay_watch_t *watch;
  anvil_time_t (*known_at) (void *context);
  void *context;
  anvil_node_t reader;
  anvil_time_t asked_at;
  anvil_time_t heard_at;
  gboolean listening;
  /* When each listener asked last, by node. */
  GHashTable *listeners;
};

anvil_relay_feed_t *
anvil_relay_feed_open (anvil_slot_broker_t *desk,
                       anvil_relay_watch_t *watch,
                       anvil_time_t (*known_at) (void *context),
                       void *context)
{
  anvil_relay_feed_t *feed = g_new0 (anvil_relay_feed_t, 1);

  feed->desk = desk;
  feed->watch = watch;
  feed->known_at = known_at;
  feed->context = context;
  feed->reader = anvil_relay_desk_self (desk);
  feed->listeners = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return feed;
}

void
anvil_relay_feed_close (anvil_relay_feed_t *feed)
{
  if (feed == NULL)
    return;
  g_hash_table_unref (feed->listeners);
  g_free (feed);
}

static void
set_listening (anvil_relay_feed_t *feed, gboolean listening, const char *reason)
{
  if (listening == feed->listening)
    return;
  feed->listening = listening;
  anvil_relay_watch_follow_upstreams (feed->watch, !listening);
  anvil_log (ANVIL_LOG_NOTICE, "feed", "%s reader=%s reason=\"%s\" version=%" G_GUINT64_FORMAT,
             listening ? "upstreams are told by a peer" : "upstreams are read from the store",
             anvil_relay_desk_name (feed->desk, feed->reader), reason,
             anvil_relay_watch_upstream_version (feed->watch));
}

void
anvil_relay_feed_tick (anvil_relay_feed_t *feed, anvil_time_t now)
{
  anvil_node_t reader = anvil_relay_desk_first_of_region (feed->desk, READER_RANK);

  if (reader != feed->reader)
    {
      feed->reader = reader;
      feed->asked_at = 0;
      /* Until the new one answers. */
      set_listening (feed, FALSE, "another entry reads for the region");
    }
  if (reader == anvil_relay_desk_self (feed->desk))
    {
      set_listening (feed, FALSE, "this entry reads for its region");
      return;
    }
  if (feed->listening && now - feed->heard_at > READER_SILENCE)
    set_listening (feed, FALSE, "the reader is silent");
  if (now - feed->asked_at < ASK_PERIOD || !anvil_relay_watch_ready (feed->watch))
    return;
  feed->asked_at = now;
  anvil_relay_desk_ask_news (feed->desk, reader, anvil_relay_watch_upstream_version (feed->watch));
}

/* Whether this entry knows the upstreams at first hand, and lately. */
static gboolean
can_tell (const anvil_relay_feed_t *feed, anvil_time_t now, anvil_time_t *age)
{
  anvil_time_t known_at = feed->known_at (feed->context);

  if (feed->listening || known_at == G_MAXINT64)
    return FALSE;
  *age = now - known_at;
  return *age <= MAX_AGE;
}

static void
tell (anvil_relay_feed_t *feed, anvil_node_t peer, guint64 version)
{
  GByteArray *rows = g_byte_array_new ();
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);
  anvil_time_t age = 0;

  if (can_tell (feed, anvil_clock_now (), &age)
      && anvil_news_log_since (anvil_relay_watch_news (feed->watch), version, rows))
    {
      message->kind = ANVIL_RELAY_NEWS;
      message->number = anvil_news_log_version (anvil_relay_watch_news (feed->watch));
      message->after = version;
      message->age = age;
      message->lapses_for = anvil_relay_watch_lapses_for (feed->watch);
      message->rows = (anvil_str_t){ .data = (const char *) rows->data, .length = rows->len };
      anvil_relay_desk_tell_news (feed->desk, peer, message);
    }
  g_free (message);
  g_byte_array_unref (rows);
}

/**
 * listener_t - a peer that listens
 * @asked_at: when it asked last
 * @version: what it was told up to
 */
typedef struct
{
  anvil_time_t asked_at;
  guint64 version;
} listener_t;

void
anvil_relay_feed_asked (anvil_relay_feed_t *feed, anvil_node_t peer, guint64 version)
{
  const listener_t listener = { .asked_at = anvil_clock_now (), .version = version };

  g_hash_table_insert (feed->listeners, g_memdup2 (&peer, sizeof peer),
                       g_memdup2 (&listener, sizeof listener));
  tell (feed, peer, version);
}

void
anvil_relay_feed_read (anvil_relay_feed_t *feed)
{
  anvil_time_t now = anvil_clock_now ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, feed->listeners);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      listener_t *listener = value;

      if (now - listener->asked_at > LISTENER_LEAVES)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      /* From what it said itself: a message that was lost is told again. */
      tell (feed, *(const anvil_node_t *) key, listener->version);
    }
}

void
anvil_relay_feed_told (anvil_relay_feed_t *feed,
                       anvil_node_t peer,
                       const anvil_relay_message_t *message)
{
  anvil_time_t now = anvil_clock_now ();

  /* News that begin after what is known here would leave a gap. */
  if (peer != feed->reader || message->after > anvil_relay_watch_upstream_version (feed->watch))
    return;
  if (!anvil_relay_watch_take_news (feed->watch, message, now - message->age))
    return;
  feed->heard_at = now;
  set_listening (feed, TRUE, "the reader answers");
}
