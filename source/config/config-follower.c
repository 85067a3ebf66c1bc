#include "config/config-follower.h"

#include <string.h>

#include "anvil/error.h"
#include "anvil/log.h"
#include "config/config-head.h"

#define PART "config"

/* Interval between reads of the head, and its upper limit for the back-off after failures. A poll
 * that is lost at the end of an outage takes ANVIL_PLATFORM_CALL_TIMEOUT to fail, and a file must
 * be in force within 6 s. */
#define POLL_INTERVAL (1 * ANVIL_SECOND)
#define MAX_POLL_INTERVAL (2 * ANVIL_SECOND)
/* Up to a fourth of the interval is added at random, so that entries don't read at the same time.
 */
#define JITTER_DIVISOR 4
/* Time to get an announced generation from the platform before a request to a peer. */
#define PEER_DELAY (500 * ANVIL_MS)
/* Interval between requests to peers. */
#define PEER_INTERVAL (500 * ANVIL_MS)
/* Requests to a peer that has not responded, after which it is removed. */
#define PEER_MAX_REQUESTS 4
#define MAX_SOURCES 4

/* A peer that has announced a newer generation; @n_requests counts requests to it. */
typedef struct
{
  anvil_node_t peer;
  guint64 generation;
  guint n_requests;
} source_t;

/*
 * @head: head record of the generation in force
 * @file: file in force
 * @rejected_object: name of the last object that failed validation
 * @failing: the last poll failed
 * @fetched_head: head record whose object was requested last
 * @newest_known: newest generation that is in force or was announced
 * @sources: peers that have announced a newer generation than the one in force
 * @request_at: time of the next request to a peer
 */
struct anvil_config_follower
{
  anvil_config_follower_callbacks_t callbacks;
  void *context;
  GRand *random;

  guint64 generation;
  char *head;
  GString *file;
  char *rejected_object;

  gboolean polling;
  gboolean failing;
  anvil_time_t poll_at;
  anvil_time_t poll_interval;
  char *fetched_head;

  guint64 newest_known;
  source_t sources[MAX_SOURCES];
  guint n_sources;
  guint next_source;
  anvil_time_t request_at;
};

anvil_config_follower_t *
anvil_config_follower_new (guint32 seed,
                           const anvil_config_follower_callbacks_t *callbacks,
                           void *context)
{
  anvil_config_follower_t *follower = g_new0 (anvil_config_follower_t, 1);

  follower->callbacks = *callbacks;
  follower->context = context;
  follower->random = g_rand_new_with_seed (seed);
  follower->file = g_string_new (NULL);
  follower->poll_interval = POLL_INTERVAL;
  return follower;
}

void
anvil_config_follower_drop (anvil_config_follower_t *follower)
{
  if (follower == NULL)
    return;
  g_rand_free (follower->random);
  g_string_free (follower->file, TRUE);
  g_free (follower->head);
  g_free (follower->rejected_object);
  g_free (follower->fetched_head);
  g_free (follower);
}

static anvil_time_t
jittered (anvil_config_follower_t *follower, anvil_time_t interval)
{
  return interval + g_rand_int_range (follower->random, 0, (gint32) (interval / JITTER_DIVISOR));
}

static void
remove_source (anvil_config_follower_t *follower, guint index)
{
  follower->n_sources--;
  memmove (&follower->sources[index], &follower->sources[index + 1],
           (follower->n_sources - index) * sizeof follower->sources[0]);
  follower->sources[follower->n_sources] = (source_t){ 0 };
}

static void
remove_outdated_sources (anvil_config_follower_t *follower)
{
  for (guint i = follower->n_sources; i > 0; i--)
    {
      if (follower->sources[i - 1].generation <= follower->generation)
        remove_source (follower, i - 1);
    }
}

static void
set_in_force (anvil_config_follower_t *follower,
              guint64 generation,
              anvil_str_t head,
              anvil_str_t file,
              anvil_config_t *config)
{
  char *head_copy = anvil_str_dup (head);

  g_free (follower->head);
  follower->head = head_copy;
  g_string_truncate (follower->file, 0);
  g_string_append_len (follower->file, file.data, (gssize) file.length);
  follower->generation = generation;
  follower->newest_known = MAX (follower->newest_known, generation);
  remove_outdated_sources (follower);
  anvil_log (ANVIL_LOG_NOTICE, PART, "configuration is in force generation=%" G_GUINT64_FORMAT,
             generation);
  follower->callbacks.in_force (follower->context, config, generation);
}

/* Records a file that matches its digest but is invalid here, so that it isn't fetched again. */
static void
set_rejected_object (anvil_config_follower_t *follower, const char *object)
{
  g_free (follower->rejected_object);
  follower->rejected_object = g_strdup (object);
}

static gboolean
apply_file (anvil_config_follower_t *follower,
            const anvil_config_head_t *head,
            anvil_str_t head_text,
            anvil_str_t file,
            GError **error)
{
  anvil_config_t *config;
  char *object;
  gboolean matches;

  if (head->generation <= follower->generation)
    return TRUE;
  if (g_strcmp0 (head->object_name, follower->rejected_object) == 0)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "object %s was rejected before",
                   head->object_name);
      return FALSE;
    }
  object = anvil_config_object_name (file);
  matches = g_strcmp0 (object, head->object_name) == 0;
  g_free (object);
  if (!matches)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID,
                   "content does not match the digest of object %s", head->object_name);
      return FALSE;
    }
  config = anvil_config_load (head->object_name, file, error);
  if (config == NULL)
    {
      set_rejected_object (follower, head->object_name);
      return FALSE;
    }
  set_in_force (follower, head->generation, head_text, file, config);
  anvil_config_drop (config);
  return TRUE;
}

/* Processes a file from any source; TRUE if it is now in force or not newer than the one in force.
 */
static gboolean
process_file (anvil_config_follower_t *follower,
              anvil_str_t head_text,
              anvil_str_t file,
              const char *from)
{
  anvil_config_head_t head;
  GError *error = NULL;
  gboolean accepted;

  if (!anvil_config_head_parse (head_text, &head, &error))
    accepted = FALSE;
  else
    {
      accepted = apply_file (follower, &head, head_text, file, &error);
      anvil_config_head_clear (&head);
    }
  if (!accepted)
    anvil_log (ANVIL_LOG_WARNING, PART, "configuration rejected from=%s error=\"%s\"", from,
               error->message);
  g_clear_error (&error);
  return accepted;
}

static void
end_poll (anvil_config_follower_t *follower, anvil_time_t now, gboolean succeeded)
{
  if (!succeeded && !follower->failing)
    anvil_log (ANVIL_LOG_WARNING, PART, "poll of the platform failed");
  else if (succeeded && follower->failing)
    anvil_log (ANVIL_LOG_NOTICE, PART, "polls of the platform succeed again");
  follower->polling = FALSE;
  follower->failing = !succeeded;
  follower->poll_interval
      = succeeded ? POLL_INTERVAL : MIN (2 * follower->poll_interval, MAX_POLL_INTERVAL);
  follower->poll_at = now + jittered (follower, follower->poll_interval);
}

static void
begin_poll (anvil_config_follower_t *follower)
{
  follower->polling = TRUE;
  follower->callbacks.read_head (follower->context);
}

void
anvil_config_follower_head_read (anvil_config_follower_t *follower,
                                 anvil_time_t now,
                                 gboolean answered,
                                 anvil_str_t head)
{
  anvil_config_head_t parsed;

  if (!answered || head.length == 0)
    {
      end_poll (follower, now, answered);
      return;
    }
  if (!anvil_config_head_parse (head, &parsed, NULL))
    {
      end_poll (follower, now, FALSE);
      return;
    }
  if (parsed.generation <= follower->generation
      || g_strcmp0 (parsed.object_name, follower->rejected_object) == 0)
    end_poll (follower, now, TRUE);
  else
    {
      g_free (follower->fetched_head);
      follower->fetched_head = anvil_str_dup (head);
      follower->callbacks.get_object (follower->context, parsed.object_name);
    }
  anvil_config_head_clear (&parsed);
}

void
anvil_config_follower_object_received (anvil_config_follower_t *follower,
                                       anvil_time_t now,
                                       gboolean answered,
                                       anvil_str_t body)
{
  gboolean accepted
      = answered && process_file (follower, anvil_str (follower->fetched_head), body, "platform");

  end_poll (follower, now, accepted);
}

/* Sends requests to the peers in turn, since a peer may be gone. */
static void
request_from_next_peer (anvil_config_follower_t *follower, anvil_time_t now)
{
  guint index = follower->next_source++ % follower->n_sources;
  source_t source = follower->sources[index];

  follower->request_at = now + PEER_INTERVAL;
  follower->sources[index].n_requests++;
  if (follower->sources[index].n_requests == PEER_MAX_REQUESTS)
    remove_source (follower, index);
  follower->callbacks.request_from_peer (follower->context, source.peer, source.generation);
}

anvil_time_t
anvil_config_follower_tick (anvil_config_follower_t *follower, anvil_time_t now)
{
  if (!follower->polling && now >= follower->poll_at)
    begin_poll (follower);
  if (follower->n_sources > 0 && now >= follower->request_at)
    request_from_next_peer (follower, now);

  if (follower->polling)
    return follower->n_sources > 0 ? follower->request_at : now + POLL_INTERVAL;
  return follower->n_sources > 0 ? MIN (follower->request_at, follower->poll_at)
                                 : follower->poll_at;
}

/* The slot of a peer, a free one, or that of the peer with the most requests; NULL if no request
 * has been sent to any. */
static source_t *
find_source_slot (anvil_config_follower_t *follower, anvil_node_t peer)
{
  source_t *most_requested = &follower->sources[0];

  for (guint i = 0; i < follower->n_sources; i++)
    {
      if (follower->sources[i].peer == peer)
        return &follower->sources[i];
      if (follower->sources[i].n_requests > most_requested->n_requests)
        most_requested = &follower->sources[i];
    }
  if (follower->n_sources < MAX_SOURCES)
    return &follower->sources[follower->n_sources++];
  return most_requested->n_requests > 0 ? most_requested : NULL;
}

static void
add_source (anvil_config_follower_t *follower, guint64 generation, anvil_node_t peer)
{
  source_t *slot = find_source_slot (follower, peer);

  if (slot != NULL && (slot->peer != peer || generation > slot->generation))
    *slot = (source_t){ .peer = peer, .generation = generation };
}

void
anvil_config_follower_add_source (anvil_config_follower_t *follower,
                                  anvil_time_t now,
                                  guint64 generation,
                                  anvil_node_t peer)
{
  if (generation <= follower->generation || peer == ANVIL_NO_NODE)
    return;
  if (follower->n_sources == 0)
    follower->request_at = MAX (follower->request_at, follower->failing ? now : now + PEER_DELAY);
  add_source (follower, generation, peer);
  if (generation <= follower->newest_known)
    return;
  follower->newest_known = generation;
  follower->poll_at = now;
}

void
anvil_config_follower_peer_response (anvil_config_follower_t *follower,
                                     anvil_str_t head,
                                     anvil_str_t file)
{
  process_file (follower, head, file, "peer");
}

guint64
anvil_config_follower_current (const anvil_config_follower_t *follower,
                               anvil_str_t *head,
                               anvil_str_t *file)
{
  *head = anvil_str (follower->head);
  *file = (anvil_str_t){ .data = follower->file->str, .length = follower->file->len };
  return follower->generation;
}
