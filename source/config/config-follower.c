#include "config/config-follower.h"

#include <string.h>

#include "anvil/error.h"
#include "anvil/log.h"
#include "config/config-head.h"

#define PART "config"

/* How often the head is read, and how rarely at most while the platform fails. */
#define POLL_INTERVAL (1 * ANVIL_SECOND)
#define POLL_INTERVAL_FAILING_MAX (4 * ANVIL_SECOND)
/* A fourth of an interval is added at random, so that entries don't read in step. */
#define JITTER_PART 4
/* How long a newer generation is left to the platform before a peer is asked for it. */
#define PEER_DELAY (500 * ANVIL_MS)
/* Time between two questions to peers. */
#define PEER_INTERVAL (500 * ANVIL_MS)
/* Questions without an answer before a peer is forgotten. */
#define PEER_MAX_ASKS 4
#define MAX_SOURCES 4

/* A peer that is said to have a newer generation. */
typedef struct
{
  anvil_node_t peer;
  guint64 generation;
  guint asks;
} source_t;

struct anvil_config_follower
{
  anvil_config_follower_callbacks_t actions;
  void *context;
  GRand *random;

  guint64 generation;
  char *head;
  GString *file;
  char *refused_object;

  gboolean polling;
  gboolean failing;
  anvil_time_t poll_at;
  anvil_time_t poll_interval;
  char *fetched_head;

  guint64 newest_known;
  source_t sources[MAX_SOURCES];
  guint n_sources;
  guint next_source;
  anvil_time_t ask_at;
};

anvil_config_follower_t *
anvil_config_follower_new (guint32 seed,
                           const anvil_config_follower_callbacks_t *actions,
                           void *context)
{
  anvil_config_follower_t *follow = g_new0 (anvil_config_follower_t, 1);

  follow->actions = *actions;
  follow->context = context;
  follow->random = g_rand_new_with_seed (seed);
  follow->file = g_string_new (NULL);
  follow->poll_interval = POLL_INTERVAL;
  return follow;
}

void
anvil_config_follower_drop (anvil_config_follower_t *follow)
{
  if (follow == NULL)
    return;
  g_rand_free (follow->random);
  g_string_free (follow->file, TRUE);
  g_free (follow->head);
  g_free (follow->refused_object);
  g_free (follow->fetched_head);
  g_free (follow);
}

static anvil_time_t
jittered (anvil_config_follower_t *follow, anvil_time_t interval)
{
  return interval + g_rand_int_range (follow->random, 0, (gint32) (interval / JITTER_PART));
}

static void
forget_source (anvil_config_follower_t *follow, guint index)
{
  follow->n_sources--;
  memmove (&follow->sources[index], &follow->sources[index + 1],
           (follow->n_sources - index) * sizeof follow->sources[0]);
  follow->sources[follow->n_sources] = (source_t){ 0 };
}

static void
forget_old_sources (anvil_config_follower_t *follow)
{
  for (guint i = follow->n_sources; i > 0; i--)
    {
      if (follow->sources[i - 1].generation <= follow->generation)
        forget_source (follow, i - 1);
    }
}

static void
put_in_force (anvil_config_follower_t *follow,
              guint64 generation,
              anvil_str_t head,
              anvil_str_t file,
              anvil_config_t *config)
{
  char *head_copy = anvil_str_dup (head);

  g_free (follow->head);
  follow->head = head_copy;
  g_string_truncate (follow->file, 0);
  g_string_append_len (follow->file, file.data, (gssize) file.length);
  follow->generation = generation;
  follow->newest_known = MAX (follow->newest_known, generation);
  forget_old_sources (follow);
  anvil_log (ANVIL_LOG_NOTICE, PART, "file is in force generation=%" G_GUINT64_FORMAT, generation);
  follow->actions.in_force (follow->context, config, generation);
}

/* Remembers a file that is whole but not valid here, so that it isn't loaded again and again. */
static void
refuse_object (anvil_config_follower_t *follow, const char *object)
{
  g_free (follow->refused_object);
  follow->refused_object = g_strdup (object);
}

static gboolean
take_file (anvil_config_follower_t *follow,
           const anvil_config_head_t *head,
           anvil_str_t head_text,
           anvil_str_t file,
           GError **error)
{
  anvil_config_t *config;
  char *object;
  gboolean whole;

  if (head->generation <= follow->generation)
    return TRUE;
  if (g_strcmp0 (head->object_name, follow->refused_object) == 0)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "object %s was refused before",
                   head->object_name);
      return FALSE;
    }
  object = anvil_config_object_name (file);
  whole = g_strcmp0 (object, head->object_name) == 0;
  g_free (object);
  if (!whole)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "object %s has other bytes",
                   head->object_name);
      return FALSE;
    }
  config = anvil_config_load (head->object_name, file, error);
  if (config == NULL)
    {
      refuse_object (follow, head->object_name);
      return FALSE;
    }
  put_in_force (follow, head->generation, head_text, file, config);
  anvil_config_drop (config);
  return TRUE;
}

/* Takes a file from wherever; TRUE if it is in force or no newer than what is. */
static gboolean
offer_file (anvil_config_follower_t *follow,
            anvil_str_t head_text,
            anvil_str_t file,
            const char *from)
{
  anvil_config_head_t head;
  GError *error = NULL;
  gboolean taken;

  if (!anvil_config_head_parse (head_text, &head, &error))
    taken = FALSE;
  else
    {
      taken = take_file (follow, &head, head_text, file, &error);
      anvil_config_head_clear (&head);
    }
  if (!taken)
    anvil_log (ANVIL_LOG_WARNING, PART, "file was refused from=%s error=\"%s\"", from,
               error->message);
  g_clear_error (&error);
  return taken;
}

static void
end_poll (anvil_config_follower_t *follow, anvil_time_t now, gboolean succeeded)
{
  if (!succeeded && !follow->failing)
    anvil_log (ANVIL_LOG_WARNING, PART, "platform gives no file");
  else if (succeeded && follow->failing)
    anvil_log (ANVIL_LOG_NOTICE, PART, "platform answers again");
  follow->polling = FALSE;
  follow->failing = !succeeded;
  follow->poll_interval
      = succeeded ? POLL_INTERVAL : MIN (2 * follow->poll_interval, POLL_INTERVAL_FAILING_MAX);
  follow->poll_at = now + jittered (follow, follow->poll_interval);
}

static void
begin_poll (anvil_config_follower_t *follow)
{
  follow->polling = TRUE;
  follow->actions.read_head (follow->context);
}

void
anvil_config_follower_head_read (anvil_config_follower_t *follow,
                                 anvil_time_t now,
                                 gboolean answered,
                                 anvil_str_t head)
{
  anvil_config_head_t parsed;

  if (!answered || head.length == 0)
    {
      end_poll (follow, now, answered);
      return;
    }
  if (!anvil_config_head_parse (head, &parsed, NULL))
    {
      end_poll (follow, now, FALSE);
      return;
    }
  if (parsed.generation <= follow->generation
      || g_strcmp0 (parsed.object_name, follow->refused_object) == 0)
    end_poll (follow, now, TRUE);
  else
    {
      g_free (follow->fetched_head);
      follow->fetched_head = anvil_str_dup (head);
      follow->actions.get_object (follow->context, parsed.object_name);
    }
  anvil_config_head_clear (&parsed);
}

void
anvil_config_follower_object_received (anvil_config_follower_t *follow,
                                       anvil_time_t now,
                                       gboolean answered,
                                       anvil_str_t body)
{
  gboolean taken
      = answered && offer_file (follow, anvil_str (follow->fetched_head), body, "platform");

  end_poll (follow, now, taken);
}

/* Asks the peers in turn, since one that is said to have the file may be gone. */
static void
ask_next_peer (anvil_config_follower_t *follow, anvil_time_t now)
{
  guint index = follow->next_source++ % follow->n_sources;
  source_t source = follow->sources[index];

  follow->ask_at = now + PEER_INTERVAL;
  follow->sources[index].asks++;
  if (follow->sources[index].asks == PEER_MAX_ASKS)
    forget_source (follow, index);
  follow->actions.request_from_peer (follow->context, source.peer, source.generation);
}

anvil_time_t
anvil_config_follower_tick (anvil_config_follower_t *follow, anvil_time_t now)
{
  if (!follow->polling && now >= follow->poll_at)
    begin_poll (follow);
  if (follow->n_sources > 0 && now >= follow->ask_at)
    ask_next_peer (follow, now);

  if (follow->polling)
    return follow->n_sources > 0 ? follow->ask_at : now + POLL_INTERVAL;
  return follow->n_sources > 0 ? MIN (follow->ask_at, follow->poll_at) : follow->poll_at;
}

/* Where a peer is noted, or may be: a new one takes the place of the most often asked. */
static source_t *
source_place (anvil_config_follower_t *follow, anvil_node_t peer)
{
  source_t *most_asked = &follow->sources[0];

  for (guint i = 0; i < follow->n_sources; i++)
    {
      if (follow->sources[i].peer == peer)
        return &follow->sources[i];
      if (follow->sources[i].asks > most_asked->asks)
        most_asked = &follow->sources[i];
    }
  if (follow->n_sources < MAX_SOURCES)
    return &follow->sources[follow->n_sources++];
  return most_asked->asks > 0 ? most_asked : NULL;
}

static void
add_source (anvil_config_follower_t *follow, guint64 generation, anvil_node_t peer)
{
  source_t *place = source_place (follow, peer);

  if (place != NULL && (place->peer != peer || generation > place->generation))
    *place = (source_t){ .peer = peer, .generation = generation };
}

void
anvil_config_follower_add_source (anvil_config_follower_t *follow,
                                  anvil_time_t now,
                                  guint64 generation,
                                  anvil_node_t peer)
{
  if (generation <= follow->generation || peer == ANVIL_NO_NODE)
    return;
  if (follow->n_sources == 0)
    follow->ask_at = MAX (follow->ask_at, follow->failing ? now : now + PEER_DELAY);
  add_source (follow, generation, peer);
  if (generation <= follow->newest_known)
    return;
  follow->newest_known = generation;
  follow->poll_at = now;
}

void
anvil_config_follower_peer_response (anvil_config_follower_t *follow,
                                     anvil_str_t head,
                                     anvil_str_t file)
{
  offer_file (follow, head, file, "peer");
}

guint64
anvil_config_follower_current (const anvil_config_follower_t *follow,
                               anvil_str_t *head,
                               anvil_str_t *file)
{
  *head = anvil_str (follow->head);
  *file = (anvil_str_t){ .data = follow->file->str, .length = follow->file->len };
  return follow->generation;
}
