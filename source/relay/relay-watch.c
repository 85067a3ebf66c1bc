#include "relay/relay-watch.h"

#include <string.h>

#include "anvil/log.h"
#include "relay/table-follower.h"

/* How often changes of upstreams are read. They change at every report of every upstream, so a call
 * that waits would be answered at once; a drain must be known well within the 2.5 s that the
 * platform's contract gives, with one call lost. */
#define UPSTREAM_PERIOD (1000 * ANVIL_MS)
/* How long the store may hold the call for the operators' table, which changes rarely; also bounds
 * how long a connection that went silent is believed. */
#define OPERATOR_WAIT (4 * ANVIL_SECOND)

struct anvil_relay_watch
{
  const anvil_adapter_t *deployment;
  anvil_registry_t *registry;
  anvil_relay_watch_events_t events;
  void *context;
  anvil_table_follower_t *operators;
  anvil_table_follower_t *upstreams;
  anvil_news_log_t *news;
  /* Version of the store up to which upstreams are known; and when a peer that told them read it.
   */
  guint64 upstream_version;
  /* Since when upstreams have been read without a break, 0 if they aren't. */
  anvil_time_t reading_since;
  gboolean read_whole;
  gboolean told_by_peer;
  anvil_time_t told_at;
  gboolean has_routes;
  gint64 version;
  /* How long upstreams of a zone that is taken back may be cold. */
  anvil_time_t cold_time;
  /* Zones that are being emptied; and those that a whole read has named. */
  GHashTable *evacuated;
  GHashTable *named;
};

static void
take_routes (anvil_relay_watch_t *watch, const anvil_store_row_t *row)
{
  GError *error = NULL;
  anvil_routes_t *routes;

  if (row->removed)
    {
      anvil_log (ANVIL_LOG_WARNING, "config",
                 "configuration was removed, the last one stays version=%" G_GINT64_FORMAT,
                 watch->version);
      return;
    }
  routes = watch->deployment->parse_routes (row->value, &error);
  if (routes == NULL)
    {
      anvil_log (ANVIL_LOG_ERROR, "config",
                 "configuration refused, the last one stays version=%" G_GINT64_FORMAT
                 " reason=\"%s\"",
                 watch->version, error->message);
      g_error_free (error);
      return;
    }
  if (watch->has_routes && anvil_routes_version (routes) <= watch->version)
    {
      if (anvil_routes_version (routes) < watch->version)
        anvil_log (ANVIL_LOG_WARNING, "config",
                   "older configuration ignored version=%" G_GINT64_FORMAT
                   " in_force=%" G_GINT64_FORMAT,
                   anvil_routes_version (routes), watch->version);
      anvil_routes_drop (routes);
      return;
    }
  watch->has_routes = TRUE;
  watch->version = anvil_routes_version (routes);
  watch->cold_time = 0;
  for (guint i = 0; i < anvil_routes_count_services (routes); i++)
    watch->cold_time = MAX (watch->cold_time, anvil_routes_service_at (routes, i)->cold_time);
  anvil_log (ANVIL_LOG_NOTICE, "config",
             "configuration in force version=%" G_GINT64_FORMAT " routes=%u", watch->version,
             anvil_routes_count (routes));
  watch->events.routes (watch->context, routes);
  anvil_routes_drop (routes);
}

static void
set_evacuated (anvil_relay_watch_t *watch, const char *zone, gboolean evacuated)
{
  if (evacuated == g_hash_table_contains (watch->evacuated, zone))
    return;
  anvil_log (ANVIL_LOG_NOTICE, "config", "%s zone=%s",
             evacuated ? "zone is emptied" : "zone is taken back", zone);
  if (evacuated)
    g_hash_table_add (watch->evacuated, g_strdup (zone));
  anvil_registry_set_evacuated (watch->registry, anvil_clock_now (), anvil_str (zone), evacuated,
                                watch->cold_time);
  if (!evacuated)
    g_hash_table_remove (watch->evacuated, zone);
}

static void
on_operator_row (void *context, const anvil_store_row_t *row)
{
  anvil_relay_watch_t *watch = context;
  const char *prefix = watch->deployment->evacuation_prefix;
  char *key = anvil_str_dup (row->key);

  if (strcmp (key, watch->deployment->config_key) == 0)
    take_routes (watch, row);
  else if (g_str_has_prefix (key, prefix))
    {
      const char *zone = key + strlen (prefix);

      if (!row->removed)
        g_hash_table_add (watch->named, g_strdup (zone));
      set_evacuated (watch, zone, !row->removed);
    }
  g_free (key);
}

static void
on_operator_begin (void *context)
{
  anvil_relay_watch_t *watch = context;

  g_hash_table_remove_all (watch->named);
}

/* Zones that a whole read doesn't name any more are taken back. */
static void
on_operator_end (void *context)
{
  anvil_relay_watch_t *watch = context;
  GList *zones = g_hash_table_get_keys (watch->evacuated);

  for (GList *link = zones; link != NULL; link = link->next)
    {
      if (!g_hash_table_contains (watch->named, link->data))
        set_evacuated (watch, link->data, FALSE);
    }
  g_list_free (zones);
}

/* Applies a row; TRUE if it brought news. */
static gboolean
apply_upstream (anvil_relay_watch_t *watch, const anvil_store_row_t *row)
{
  anvil_time_t now = anvil_clock_now ();
  anvil_upstream_report_t report;
  gpointer storage = NULL;
  GError *error = NULL;
  gboolean news;

  if (row->removed)
    return anvil_registry_remove (watch->registry, now, row->key);
  if (watch->deployment->parse_upstream (row->key, row->value, &report, &storage, &error))
    {
      news = anvil_registry_apply (watch->registry, now, &report);
      g_free (storage);
      return news;
    }
  anvil_log (ANVIL_LOG_INFO, "registry", "row names no upstream key=%.*s reason=\"%s\"",
             ANVIL_STR_ARGS (row->key), error->message);
  g_error_free (error);
  return anvil_registry_remove (watch->registry, now, row->key);
}

static void
on_upstream_row (void *context, const anvil_store_row_t *row)
{
  anvil_relay_watch_t *watch = context;

  if (apply_upstream (watch, row))
    anvil_news_log_add (watch->news, row);
}

static void
on_told_row (void *context, const anvil_store_row_t *row)
{
  apply_upstream (context, row);
}

static void
on_upstream_begin (void *context)
{
  anvil_relay_watch_t *watch = context;

  anvil_registry_begin_snapshot (watch->registry);
}

static void
on_upstream_end (void *context)
{
  anvil_relay_watch_t *watch = context;

  anvil_registry_end_snapshot (watch->registry, anvil_clock_now ());
  watch->read_whole = TRUE;
}

static void
on_upstream_read (void *context, guint64 version)
{
  anvil_relay_watch_t *watch = context;

  /* A whole read doesn't tell what was removed since the last one. */
  if (watch->read_whole)
    anvil_news_log_begin (watch->news, version);
  else
    anvil_news_log_read (watch->news, version);
  watch->read_whole = FALSE;
  watch->upstream_version = version;
  if (watch->reading_since == 0)
    watch->reading_since = anvil_table_follower_read_at (watch->upstreams);
  watch->events.upstreams_read (watch->context);
}

static void
on_operator_read (void *context, guint64 version)
{
}

static void
on_upstream_lost (void *context)
{
  anvil_relay_watch_t *watch = context;

  watch->reading_since = 0;
  anvil_registry_store_lost (watch->registry, anvil_table_follower_read_at (watch->upstreams));
}

static void
on_upstream_found (void *context)
{
  anvil_relay_watch_t *watch = context;

  /* A held call that the store took while it was away may get no answer for seconds. */
  if (anvil_registry_store_recovered (watch->registry, anvil_clock_now ()))
    anvil_table_follower_ask_again (watch->operators);
}

/* The configuration in force stays while the store is away. */
static void
on_operator_away (void *context)
{
}

static const anvil_table_events_t operator_events = {
  .begin = on_operator_begin,
  .row = on_operator_row,
  .end = on_operator_end,
  .lost = on_operator_away,
  .found = on_operator_away,
  .read = on_operator_read,
};

static const anvil_table_events_t upstream_events = {
  .begin = on_upstream_begin,
  .row = on_upstream_row,
  .end = on_upstream_end,
  .lost = on_upstream_lost,
  .found = on_upstream_found,
  .read = on_upstream_read,
};

anvil_relay_watch_t *
anvil_relay_watch_open (struct event_base *base,
                        anvil_store_t *store,
                        const anvil_adapter_t *deployment,
                        anvil_registry_t *registry,
                        const anvil_relay_watch_events_t *events,
                        void *context)
{
  anvil_relay_watch_t *watch = g_new0 (anvil_relay_watch_t, 1);

  watch->deployment = deployment;
  watch->registry = registry;
  watch->events = *events;
  watch->context = context;
  watch->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watch->named = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watch->news = anvil_news_log_new ();
  watch->operators = anvil_table_follower_open (base, store, deployment->operator_table,
                                                OPERATOR_WAIT, 0, &operator_events, watch);
  watch->upstreams = anvil_table_follower_open (base, store, deployment->upstream_table, 0,
                                                UPSTREAM_PERIOD, &upstream_events, watch);
  return watch;
}

void
anvil_relay_watch_close (anvil_relay_watch_t *watch)
{
  if (watch == NULL)
    return;
  anvil_table_follower_close (watch->operators);
  anvil_table_follower_close (watch->upstreams);
  g_hash_table_unref (watch->evacuated);
  g_hash_table_unref (watch->named);
  anvil_news_log_drop (watch->news);
  g_free (watch);
}

gboolean
anvil_relay_watch_ready (const anvil_relay_watch_t *watch)
{
  return watch->has_routes && anvil_table_follower_ready (watch->upstreams);
}

void
anvil_relay_watch_follow_upstreams (anvil_relay_watch_t *watch, gboolean follow)
{
  watch->told_by_peer = !follow;
  watch->reading_since = 0;
  if (follow)
    {
      /* What a peer told isn't in the log, so it can't be passed on from here. */
      anvil_news_log_begin (watch->news, watch->upstream_version);
      anvil_table_follower_resume (watch->upstreams, watch->upstream_version);
    }
  else
    anvil_table_follower_pause (watch->upstreams);
}

guint64
anvil_relay_watch_upstream_version (const anvil_relay_watch_t *watch)
{
  return watch->upstream_version;
}

const anvil_news_log_t *
anvil_relay_watch_news (const anvil_relay_watch_t *watch)
{
  return watch->news;
}

gboolean
anvil_relay_watch_take_news (anvil_relay_watch_t *watch,
                             const anvil_relay_message_t *message,
                             anvil_time_t known_at)
{
  anvil_time_t now = anvil_clock_now ();

  if (message->number < watch->upstream_version)
    return FALSE;
  /* The peer reaches the store, so what is told is the store's word. */
  if (anvil_registry_store_recovered (watch->registry, now))
    anvil_table_follower_ask_again (watch->operators);
  anvil_registry_extend_grace (watch->registry, now + message->lapses_for);
  if (!anvil_news_unpack (message->rows, on_told_row, watch))
    {
      anvil_log (ANVIL_LOG_WARNING, "feed", "news of a peer can't be read bytes=%zu",
                 message->rows.length);
      return FALSE;
    }
  watch->upstream_version = message->number;
  watch->told_at = known_at;
  return TRUE;
}

anvil_time_t
anvil_relay_watch_store_ok_for (const anvil_relay_watch_t *watch, anvil_time_t now)
{
  return watch->reading_since > 0 ? now - watch->reading_since : 0;
}

anvil_time_t
anvil_relay_watch_lapses_for (const anvil_relay_watch_t *watch)
{
  return anvil_registry_grace_remaining (watch->registry, anvil_clock_now ());
}

anvil_time_t
anvil_relay_watch_known_at (const anvil_relay_watch_t *watch)
{
  if (watch->told_by_peer)
    return watch->told_at;
  return anvil_table_follower_away (watch->upstreams)
             ? G_MAXINT64
             : anvil_table_follower_read_at (watch->upstreams);
}
