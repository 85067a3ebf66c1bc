#include "relay/relay.h"

#include <string.h>
#include <time.h>

#include "anvil/log.h"
#include "anvil/settings.h"
#include "relay/places-record.h"
#include "relay/relay-aux-server.h"
#include "relay/relay-feed.h"
#include "relay/relay-job.h"
#include "relay/relay-watch.h"
#include "relay/slot-broker.h"

#define TICK (50 * ANVIL_MS)
/* While it leaves, it goes on taking requests this long: peers and callers learn of it by pings and
 * look-ups, which are kept for two seconds. Later ones are refused, since their answers might not
 * be out before the end of the grace time. */
#define LEAVE_LINGER (2500 * ANVIL_MS)
/* Left of the grace time for ending in order. */
#define LEAVE_MARGIN (300 * ANVIL_MS)
/* Time that passed while this process was suspended and that matters. */
#define SUSPENSION (500 * ANVIL_MS)
/* Table in which entries leave their addresses for each other. */
#define ENTRY_TABLE "entries"
/* Pause before another try to read or write there, and between two reads of all: entries that lost
 * each other for long, as in a cut between regions, find each other again. */
#define ENTRY_RETRY (1 * ANVIL_SECOND)
#define ENTRY_PERIOD (60 * ANVIL_SECOND)
/* Descriptors that are not for callers' connections: upstreams, peers, the store, files. */
#define OTHER_DESCRIPTORS_SHARE 2
/* Part of the memory, one in so many, for bodies of requests: they are held once more while they
 * are sent, and answers take room too. */
#define BUFFERED_SHARE 4

struct anvil_relay
{
  struct event_base *base;
  const anvil_relay_settings_t *settings;
  const anvil_adapter_t *deployment;
  anvil_metrics_t *counters;
  anvil_store_t *store;
  anvil_registry_t *registry;
  anvil_relay_watch_t *watch;
  anvil_places_record_t *record;
  anvil_relay_feed_t *feed;
  anvil_slot_broker_t *desk;
  anvil_relay_upstream_pool_t *pool;
  anvil_relay_jobs_t *jobs;
  anvil_relay_callers_t *callers;
  anvil_relay_aux_server_t *service;
  struct event *tick;
  struct event *announce;
  gboolean announced;
  gboolean ready;
  gboolean leaving;
  anvil_time_t leaving_at;
  /* CLOCK_BOOTTIME less the monotonic clock: grows while the process is suspended. */
  anvil_time_t suspended;
  anvil_time_t woke_at;
};

static gboolean
is_ready (void *context)
{
  const anvil_relay_t *relay = context;

  return relay->ready && !relay->leaving;
}

static anvil_time_t
known_at (void *context)
{
  const anvil_relay_t *relay = context;
  anvil_time_t at = anvil_relay_watch_known_at (relay->watch);

  /* What was read before the process was suspended is as old as the time that it missed. */
  return at != G_MAXINT64 && at <= relay->woke_at ? 0 : at;
}

static void
on_granted (void *context, guint64 number, anvil_node_t from, const anvil_grant_t *grant)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_granted (relay->jobs, number, from, grant);
}

static void
on_refused (void *context,
            guint64 number,
            anvil_node_t from,
            const anvil_task_refusal_info_t *refused)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_refused (relay->jobs, number, from, refused);
}

static void
on_holder_changed (void *context, const char *service, anvil_node_t holder)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_holder_changed (relay->jobs, service, holder);
}

static void
on_peer_restarted (void *context, anvil_node_t peer)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_peer_restarted (relay->jobs, peer);
}

static void
on_news_asked (void *context, anvil_node_t peer, guint64 version)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL && relay->ready)
    anvil_relay_feed_asked (relay->feed, peer, version);
}

static void
on_news_told (void *context, anvil_node_t peer, const anvil_relay_message_t *message)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL)
    anvil_relay_feed_told (relay->feed, peer, message);
}

static const anvil_relay_desk_events_t desk_events = {
  .granted = on_granted,
  .refused = on_refused,
  .holder_changed = on_holder_changed,
  .peer_restarted = on_peer_restarted,
  .news_asked = on_news_asked,
  .news_told = on_news_told,
};

static void
on_request (void *context, anvil_relay_request_t *request)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_accept (relay->jobs, request);
}

static void
on_gone (void *context, anvil_relay_request_t *request)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_gone (relay->jobs, request);
}

static const anvil_routes_limits_t *
caller_bounds (void *context)
{
  static const anvil_routes_limits_t before_configuration = {
    .max_header_bytes = 16u << 10,
    .max_body_bytes = 64u << 20,
    .header_timeout = 3 * ANVIL_SECOND,
    .idle_timeout = 15 * ANVIL_SECOND,
  };
  const anvil_relay_t *relay = context;
  const anvil_routes_t *routes = anvil_relay_jobs_routes (relay->jobs);

  return routes != NULL ? anvil_routes_limits (routes) : &before_configuration;
}

static const anvil_relay_caller_callbacks_t caller_events
    = { .request = on_request, .disconnected = on_gone, .limits = caller_bounds };

static void
on_upstream_changed (void *context,
                     anvil_time_t now,
                     const anvil_registered_upstream_t *upstream,
                     anvil_registry_change_t change)
{
  static const char *const names[] = {
    [ANVIL_REGISTRY_JOINED] = "upstream joined",
    [ANVIL_REGISTRY_RESTARTED] = "upstream restarted",
    [ANVIL_REGISTRY_CHANGED] = "upstream changed",
    [ANVIL_REGISTRY_LEFT] = "upstream left",
  };
  anvil_relay_t *relay = context;

  anvil_log (ANVIL_LOG_INFO, "registry",
             "%s upstream=%s service=%s zone=%s slots=%u draining=%d evacuated=%d "
             "cold_ms=%" G_GINT64_FORMAT,
             names[change], upstream->id, upstream->service, upstream->zone, upstream->slots,
             upstream->draining, upstream->evacuated,
             MAX (upstream->cold_until - now, 0) / ANVIL_MS);
  anvil_relay_desk_upstream (relay->desk, now, upstream, change);
  if (change != ANVIL_REGISTRY_JOINED && !anvil_registry_usable (upstream))
    anvil_relay_upstream_pool_close_idle (relay->pool, upstream->key);
}

static const anvil_registry_callbacks_t registry_events = { .changed = on_upstream_changed };

static void
on_routes (void *context, anvil_routes_t *routes)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_set_routes (relay->jobs, routes);
  anvil_relay_desk_routes (relay->desk, routes);
}

static void
on_upstreams_read (void *context)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL && relay->ready)
    anvil_relay_feed_read (relay->feed);
}

static const anvil_relay_watch_events_t watch_events
    = { .routes = on_routes, .upstreams_read = on_upstreams_read };

static anvil_time_t
suspended_so_far (void)
{
  struct timespec boot;

  clock_gettime (CLOCK_BOOTTIME, &boot);
  return boot.tv_sec * ANVIL_SECOND + boot.tv_nsec / 1000 - anvil_clock_now ();
}

static void
notice_suspension (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_time_t suspended = suspended_so_far ();

  if (suspended - relay->suspended >= SUSPENSION)
    {
      relay->woke_at = now;
      anvil_log (ANVIL_LOG_WARNING, "relay", "process was suspended for_ms=%" G_GINT64_FORMAT,
                 (suspended - relay->suspended) / ANVIL_MS);
    }
  relay->suspended = suspended;
}

static void
set_ready (anvil_relay_t *relay)
{
  gboolean ready = anvil_relay_watch_ready (relay->watch);

  if (ready == relay->ready)
    return;
  relay->ready = ready;
  anvil_places_record_read (relay->record);
  anvil_log (ANVIL_LOG_NOTICE, "relay", "%s upstreams=%u", ready ? "ready" : "not ready",
             anvil_registry_count (relay->registry));
  anvil_relay_desk_set_state (relay->desk, ready, relay->leaving);
}

static void
end_if_done (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_time_t since = now - relay->leaving_at;
  gboolean done = anvil_relay_jobs_count (relay->jobs) == 0
                  && anvil_relay_callers_count_busy (relay->callers) == 0;

  if (since >= LEAVE_LINGER)
    anvil_relay_jobs_close (relay->jobs);
  if (!(done && since >= LEAVE_LINGER) && since < relay->settings->shutdown_timeout - LEAVE_MARGIN)
    return;
  anvil_log (done ? ANVIL_LOG_NOTICE : ANVIL_LOG_WARNING, "relay", "stops requests=%u",
             anvil_relay_jobs_count (relay->jobs));
  event_base_loopbreak (relay->base);
}

/* A peer that has reached the store all the while says that only this entry was cut off. */
static void
deny_lapses (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_time_t since = anvil_members_store_ok_since (anvil_slot_broker_members (relay->desk), now);

  anvil_relay_desk_set_store_ok_for (relay->desk,
                                     anvil_relay_watch_store_ok_for (relay->watch, now));
  if (since > 0)
    anvil_registry_cancel_grace (relay->registry, now, since);
}

static void
on_tick (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_relay_t *relay = data;
  anvil_time_t now = anvil_clock_now ();

  notice_suspension (relay, now);
  set_ready (relay);
  deny_lapses (relay, now);
  anvil_registry_tick (relay->registry, now);
  if (relay->ready)
    anvil_relay_feed_tick (relay->feed, now);
  anvil_relay_jobs_tick (relay->jobs, now);
  if (relay->leaving)
    end_if_done (relay, now);
}

static void
announce_after (anvil_relay_t *relay, anvil_time_t pause)
{
  const struct timeval time = anvil_time_to_timeval (pause);

  evtimer_add (relay->announce, &time);
}

static void
on_entries (void *context, const anvil_store_page_t *page, const GError *error)
{
  anvil_relay_t *relay = context;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "relay", "can't read other entries reason=\"%s\"",
                 error->message);
      announce_after (relay, ENTRY_RETRY);
      return;
    }
  for (guint i = 0; i < page->n_rows; i++)
    {
      char *text = anvil_str_dup (page->rows[i].value);
      guint32 address;
      guint16 port;

      if (anvil_endpoint_parse (text, &address, &port))
        anvil_members_add (anvil_slot_broker_members (relay->desk), anvil_clock_now (),
                           anvil_node (address, port));
      else
        anvil_log (ANVIL_LOG_WARNING, "relay", "row names no entry key=%.*s",
                   ANVIL_STR_ARGS (page->rows[i].key));
      g_free (text);
    }
  announce_after (relay, ENTRY_PERIOD);
}

/* Two entries that start together both write before they read, so one of them finds the other. */
static void
on_announced (void *context, const GError *error)
{
  anvil_relay_t *relay = context;

  if (error != NULL)
    {
      anvil_log (ANVIL_LOG_NOTICE, "relay", "can't leave the own address reason=\"%s\"",
                 error->message);
      announce_after (relay, ENTRY_RETRY);
      return;
    }
  relay->announced = TRUE;
  anvil_store_read (relay->store, ENTRY_TABLE, NULL, on_entries, relay);
}

static void
on_announce (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_relay_t *relay = data;
  char *text = anvil_endpoint_format (relay->settings->peer_endpoint.address,
                                      relay->settings->peer_endpoint.port);
  const anvil_str_t value = anvil_str (text);

  if (relay->leaving)
    {
      g_free (text);
      return;
    }
  if (relay->announced)
    anvil_store_read (relay->store, ENTRY_TABLE, NULL, on_entries, relay);
  else
    anvil_store_put (relay->store, ENTRY_TABLE, relay->settings->vm, &value, on_announced, relay);
  g_free (text);
}

static void
on_withdrawn (void *context, const GError *error)
{
  if (error != NULL)
    anvil_log (ANVIL_LOG_NOTICE, "relay", "own address stays in the store reason=\"%s\"",
               error->message);
}

void
anvil_relay_leave (anvil_relay_t *relay)
{
  if (relay->leaving)
    return;
  relay->leaving = TRUE;
  relay->leaving_at = anvil_clock_now ();
  anvil_log (ANVIL_LOG_NOTICE, "relay", "leaves requests=%u", anvil_relay_jobs_count (relay->jobs));
  anvil_relay_desk_set_state (relay->desk, relay->ready, TRUE);
  anvil_relay_callers_begin_shutdown (relay->callers);
  anvil_store_put (relay->store, ENTRY_TABLE, relay->settings->vm, NULL, on_withdrawn, relay);
}

void
anvil_relay_reload (anvil_relay_t *relay, const anvil_relay_settings_t *settings)
{
  for (guint i = 0; i < settings->n_seeds; i++)
    anvil_members_add (anvil_slot_broker_members (relay->desk), anvil_clock_now (),
                       settings->seeds[i]);
  anvil_relay_desk_set_bounds (relay->desk, &settings->bounds);
}

static void
set_service_gauges (void *context, const char *service)
{
  anvil_relay_t *relay = context;
  char *labels = g_strdup_printf ("service=\"%s\"", service);
  anvil_dispatcher_status_t status;

  if (anvil_dispatcher_status (anvil_relay_desk_dispatcher (relay->desk), anvil_str (service),
                               &status))
    {
      anvil_metrics_set_gauge (relay->counters, "anvil_held_upstreams", labels, status.upstreams);
      anvil_metrics_set_gauge (relay->counters, "anvil_held_slots", labels, status.slots);
      anvil_metrics_set_gauge (relay->counters, "anvil_held_running", labels, status.running);
      anvil_metrics_set_gauge (relay->counters, "anvil_held_waiting", labels, status.waiting);
    }
  g_free (labels);
}

static void
refresh_gauges (void *context)
{
  anvil_relay_t *relay = context;
  const anvil_routes_t *routes = anvil_relay_jobs_routes (relay->jobs);
  const anvil_relay_upstream_pool_counters_t *pool
      = anvil_relay_upstream_pool_counters (relay->pool);
  anvil_time_t known = anvil_relay_watch_known_at (relay->watch);
  gdouble age
      = known == G_MAXINT64 ? -1 : (gdouble) (anvil_clock_now () - known) / (gdouble) ANVIL_SECOND;

  anvil_metrics_set_gauge (relay->counters, "anvil_ready", "", is_ready (relay));
  anvil_metrics_set_gauge (relay->counters, "anvil_routes_version", "",
                           routes != NULL ? (gdouble) anvil_routes_version (routes) : 0);
  anvil_metrics_set_gauge (relay->counters, "anvil_upstreams", "",
                           anvil_registry_count (relay->registry));
  anvil_metrics_set_gauge (relay->counters, "anvil_upstreams_age_seconds", "", age);
  anvil_metrics_set_gauge (relay->counters, "anvil_requests_open", "",
                           anvil_relay_jobs_count (relay->jobs));
  anvil_metrics_set_gauge (relay->counters, "anvil_caller_connections", "",
                           anvil_relay_callers_count_connections (relay->callers));
  anvil_metrics_set_gauge (relay->counters, "anvil_buffered_bytes", "",
                           (gdouble) anvil_relay_callers_buffered_bytes (relay->callers));
  anvil_metrics_set_gauge (relay->counters, "anvil_upstream_connections_opened", "",
                           (gdouble) pool->connections_opened);
  anvil_metrics_set_gauge (relay->counters, "anvil_upstream_answers_strayed", "",
                           (gdouble) pool->mismatched_responses);
  anvil_relay_desk_each_held (relay->desk, set_service_gauges, relay);
}

static gboolean
open_parts (anvil_relay_t *relay, GError **error)
{
  const anvil_relay_settings_t *settings = relay->settings;
  anvil_relay_job_parts_t job_parts = { .base = relay->base,
                                        .settings = settings,
                                        .wire = &relay->deployment->header_names,
                                        .registry = relay->registry,
                                        .counters = relay->counters,
                                        .known_at = known_at,
                                        .context = relay };
  anvil_relay_aux_server_options_t service_parts = { .settings = settings,
                                                     .adapter = relay->deployment,
                                                     .counters = relay->counters,
                                                     .is_ready = is_ready,
                                                     .update_gauges = refresh_gauges,
                                                     .context = relay };

  relay->desk
      = anvil_relay_desk_open (relay->base, settings, relay->registry, &desk_events, relay, error);
  if (relay->desk == NULL)
    return FALSE;
  relay->pool = anvil_relay_upstream_pool_open (relay->base, &relay->deployment->header_names,
                                                settings->caller_endpoint.address);
  job_parts.desk = relay->desk;
  job_parts.pool = relay->pool;
  relay->jobs = anvil_relay_jobs_new (&job_parts);
  relay->callers = anvil_relay_callers_open (
      relay->base, settings->caller_endpoint.address, settings->caller_endpoint.port,
      &relay->deployment->header_names, settings->max_descriptors / OTHER_DESCRIPTORS_SHARE,
      settings->memory_bytes / BUFFERED_SHARE, &caller_events, relay, error);
  if (relay->callers == NULL)
    return FALSE;
  service_parts.slot_broker = relay->desk;
  relay->service = anvil_relay_aux_server_open (relay->base, &service_parts, error);
  return relay->service != NULL;
}

anvil_relay_t *
anvil_relay_open (struct event_base *base,
                  const anvil_relay_settings_t *settings,
                  const anvil_adapter_t *deployment,
                  GError **error)
{
  anvil_relay_t *relay = g_new0 (anvil_relay_t, 1);
  const struct timeval period = { .tv_usec = TICK };

  relay->base = base;
  relay->settings = settings;
  relay->deployment = deployment;
  relay->counters = anvil_metrics_new ();
  relay->registry = anvil_registry_new (&registry_events, relay);
  relay->suspended = suspended_so_far ();
  if (!open_parts (relay, error))
    {
      anvil_relay_close (relay);
      return NULL;
    }
  relay->store
      = anvil_store_open (base, settings->store_endpoint.address, settings->store_endpoint.port);
  relay->watch = anvil_relay_watch_open (base, relay->store, deployment, relay->registry,
                                         &watch_events, relay);
  relay->feed = anvil_relay_feed_open (relay->desk, relay->watch, known_at, relay);
  relay->record = anvil_places_record_open (base, relay->store, relay->desk);
  relay->tick = event_new (base, -1, EV_PERSIST, on_tick, relay);
  event_add (relay->tick, &period);
  relay->announce = evtimer_new (base, on_announce, relay);
  announce_after (relay, 0);
  return relay;
}

void
anvil_relay_close (anvil_relay_t *relay)
{
  if (relay == NULL)
    return;
  if (relay->tick != NULL)
    event_free (relay->tick);
  anvil_relay_feed_close (g_steal_pointer (&relay->feed));
  anvil_relay_watch_close (relay->watch);
  anvil_places_record_close (relay->record);
  /* Ends the calls under way; their callbacks still find the other parts. */
  anvil_store_close (relay->store);
  if (relay->announce != NULL)
    event_free (relay->announce);
  anvil_relay_aux_server_close (relay->service);
  if (relay->jobs != NULL)
    anvil_relay_jobs_drop (g_steal_pointer (&relay->jobs));
  anvil_relay_callers_close (relay->callers);
  anvil_relay_upstream_pool_close (relay->pool);
  anvil_relay_desk_close (relay->desk);
  anvil_registry_drop (relay->registry);
  anvil_metrics_drop (relay->counters);
  g_free (relay);
}
