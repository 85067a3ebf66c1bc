#include "relay/relay.h"

#include <string.h>

#include "anvil/log.h"
#include "anvil/settings.h"
#include "anvil/tenants.h"
#include "relay/config-feed.h"
#include "relay/config-freshness.h"
#include "relay/entry-list.h"
#include "relay/link-usage.h"
#include "relay/process-usage.h"
#include "relay/relay-aux-server.h"
#include "relay/relay-feed.h"
#include "relay/relay-forward.h"
#include "relay/relay-job.h"
#include "relay/relay-watch.h"
#include "relay/slot-broker.h"
#include "relay/warm-object-backup.h"
#include "steer/holder-pressure.h"

#define TICK_INTERVAL (50 * ANVIL_MS)
/* Requests are accepted for this long after a shutdown has begun: peers learn of it by pings,
 * callers by look-ups, which they cache for two seconds. If the shutdown timeout is short, they are
 * accepted for half of it. */
#define LINGER_TIME (2500 * ANVIL_MS)
/* Requests that are unanswered this long before the shutdown timeout are given up. */
#define STOP_MARGIN (300 * ANVIL_MS)
/* The process ends this long before the shutdown timeout at the latest, also if responses were not
 * written. */
#define EXIT_MARGIN (100 * ANVIL_MS)
#define MIN_SUSPENSION (500 * ANVIL_MS)
/* After the store has come back from an older copy, all entries write again within this time. */
#define REWRITE_SPREAD (1 * ANVIL_SECOND)
/* One in so many descriptors is for callers, the others are for upstreams, peers, store, files. */
#define CALLER_DESCRIPTORS_DIVISOR 2
/* One in so many bytes is for bodies: they are copied while sent, and responses need memory too. */
#define BUFFERED_BODIES_DIVISOR 4
/* One in so many bytes is for responses that are being received, and as many for those that callers
 * have not read yet. */
#define RESPONSES_DIVISOR 8
/* One in so many bytes is for failed responses that wait for a retry. */
#define SAVED_RESPONSES_DIVISOR 16

struct anvil_relay
{
  struct event_base *base;
  const anvil_relay_settings_t *settings;
  const anvil_adapter_t *adapter;
  anvil_metrics_t *metrics;
  anvil_store_t *store;
  anvil_registry_t *registry;
  anvil_relay_watch_t *watch;
  anvil_warm_object_backup_t *warm_object_backup;
  anvil_entry_list_t *entry_list;
  anvil_relay_feed_t *feed;
  anvil_config_feed_t *config_feed;
  anvil_config_freshness_t freshness;
  anvil_slot_broker_t *slot_broker;
  anvil_relay_upstream_pool_t *upstream_pool;
  anvil_relay_jobs_t *jobs;
  anvil_relay_forwards_t *forwards;
  anvil_relay_callers_t *callers;
  anvil_relay_aux_server_t *aux_server;
  struct event *tick;
  gboolean ready;
  gboolean shutting_down;
  anvil_time_t shutdown_started_at;
  /* CLOCK_BOOTTIME minus the monotonic clock, which grows by the time of each suspension. */
  anvil_time_t suspended_time;
  anvil_time_t resumed_at;
  anvil_link_usage_t link_usage;
  anvil_process_usage_t process_usage;
};

static gboolean
is_ready (void *context)
{
  const anvil_relay_t *relay = context;

  return relay->ready && !relay->shutting_down
         && anvil_config_freshness_is_ready (&relay->freshness);
}

static anvil_time_t
upstreams_read_at (void *context)
{
  const anvil_relay_t *relay = context;
  anvil_time_t read_at = anvil_relay_watch_upstreams_read_at (relay->watch);

  /* The monotonic clock doesn't count a suspension, so a read before it looks newer than it is. */
  return read_at != G_MAXINT64 && read_at <= relay->resumed_at ? 0 : read_at;
}

static anvil_time_t
store_ok_for (void *context)
{
  const anvil_relay_t *relay = context;
  anvil_time_t now = anvil_clock_now ();
  anvil_time_t peer_since
      = anvil_members_store_ok_since (anvil_slot_broker_members (relay->slot_broker), now);

  return MAX (anvil_relay_watch_store_ok_for (relay->watch, now),
              peer_since > 0 ? now - peer_since : 0);
}

static gboolean
lacks_routes (void *context)
{
  const anvil_relay_t *relay = context;

  return anvil_config_feed_newest_version (relay->config_feed)
         > anvil_relay_watch_config_version (relay->watch);
}

static anvil_time_t
config_proof_age (void *context)
{
  const anvil_relay_t *relay = context;

  return anvil_config_freshness_age (&relay->freshness);
}

static gboolean
config_is_proven (void *context)
{
  const anvil_relay_t *relay = context;

  return anvil_config_freshness_allows_keys (&relay->freshness);
}

static void
on_granted (void *context, guint64 number, anvil_node_t from, const anvil_slot_grant_t *grant)
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
  anvil_relay_forwards_holder_changed (relay->forwards, service, holder);
}

static void
on_peer_restarted (void *context, anvil_node_t peer)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_peer_restarted (relay->jobs, peer);
}

static void
on_updates_requested (void *context, anvil_node_t peer, anvil_store_position_t version)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL && relay->ready)
    anvil_relay_feed_subscribe (relay->feed, peer, version);
}

static void
on_updates_received (void *context, anvil_node_t peer, const anvil_relay_message_t *message)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL)
    anvil_relay_feed_receive (relay->feed, peer, message);
}

static void
on_config_requested (void *context, anvil_node_t peer, gint64 version, gboolean whole)
{
  anvil_relay_t *relay = context;

  if (relay->config_feed != NULL)
    anvil_config_feed_requested (relay->config_feed, peer, version, whole);
}

static void
on_config_received (void *context, anvil_node_t peer, const anvil_relay_message_t *message)
{
  anvil_relay_t *relay = context;

  if (relay->config_feed != NULL)
    anvil_config_feed_receive (relay->config_feed, peer, message);
}

static gboolean
on_upstream_leaving (void *context, const char *service, guint64 upstream, gint64 started_at)
{
  anvil_relay_t *relay = context;

  return anvil_registry_set_leaving (relay->registry, anvil_clock_now (), upstream, service,
                                     started_at, FALSE);
}

static void
on_announcements_received (void *context, anvil_node_t peer, const anvil_relay_message_t *message)
{
  anvil_relay_t *relay = context;
  char *service = anvil_str_dup (message->service);

  for (guint i = 0; i < message->n_announcements; i++)
    {
      const anvil_named_announcement_t *item = &message->announcements[i];

      if (item->announcement.leaving)
        anvil_registry_set_leaving (relay->registry, anvil_clock_now (), item->upstream, service,
                                    item->started_at, TRUE);
    }
  g_free (service);
}

static void
on_forwarded (void *context,
              anvil_task_id_t id,
              const anvil_slot_grant_t *grant,
              anvil_time_t deadline,
              anvil_str_t payload)
{
  anvil_relay_t *relay = context;

  anvil_relay_forwards_granted (relay->forwards, id, grant, deadline, payload);
}

static void
on_forward_cancelled (void *context, anvil_task_id_t id)
{
  anvil_relay_t *relay = context;

  anvil_relay_forwards_cancelled (relay->forwards, id);
}

static void
on_withdrawn (void *context, guint64 number, anvil_node_t from, gboolean waited)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_withdrawn (relay->jobs, number, from, waited);
}

static void
on_response_received (void *context, guint64 number, anvil_node_t from, anvil_str_t payload)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_responded (relay->jobs, number, from, payload);
}

static void
on_describe (void *context, anvil_member_info_t *info)
{
  const anvil_relay_t *relay = context;

  anvil_config_freshness_describe (&relay->freshness, info);
}

static void
on_pong (void *context, const anvil_pong_t *pong)
{
  anvil_relay_t *relay = context;

  if (relay->watch != NULL)
    anvil_relay_watch_hear_proof (relay->watch, pong->config_version, pong->pinged_at,
                                  pong->config_proof_age);
}

static const anvil_slot_broker_callbacks_t broker_callbacks = {
  .granted = on_granted,
  .refused = on_refused,
  .holder_changed = on_holder_changed,
  .peer_restarted = on_peer_restarted,
  .updates_requested = on_updates_requested,
  .updates_received = on_updates_received,
  .config_requested = on_config_requested,
  .config_received = on_config_received,
  .announcements_received = on_announcements_received,
  .forwarded = on_forwarded,
  .forward_cancelled = on_forward_cancelled,
  .withdrawn = on_withdrawn,
  .response_received = on_response_received,
  .describe = on_describe,
  .pong_received = on_pong,
};

static const anvil_relay_refusal_t *
on_head (void *context, const anvil_relay_request_t *request)
{
  const anvil_relay_t *relay = context;

  return anvil_relay_jobs_check_head (relay->jobs, request);
}

static void
on_request (void *context, anvil_relay_request_t *request)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_start (relay->jobs, request);
}

static void
on_caller_disconnected (void *context, anvil_relay_request_t *request)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_caller_disconnected (relay->jobs, request);
}

static const anvil_routes_limits_t *
caller_limits (void *context)
{
  static const anvil_routes_limits_t default_limits = {
    .max_header_bytes = 16u << 10,
    .max_body_bytes = 64u << 20,
    .header_timeout = 3 * ANVIL_SECOND,
    .idle_timeout = 15 * ANVIL_SECOND,
  };
  const anvil_relay_t *relay = context;
  const anvil_routes_t *routes = anvil_relay_jobs_routes (relay->jobs);

  return routes != NULL ? anvil_routes_limits (routes) : &default_limits;
}

static const anvil_relay_caller_callbacks_t caller_callbacks
    = { .head = on_head,
        .request = on_request,
        .disconnected = on_caller_disconnected,
        .limits = caller_limits };

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
             "%s upstream=%s service=%s zone=%s slots=%u draining=%d leaving=%d evacuated=%d "
             "cold_ms=%" G_GINT64_FORMAT,
             names[change], upstream->id, upstream->service, upstream->zone, upstream->slots,
             upstream->draining, upstream->leaving, upstream->evacuated,
             MAX (upstream->cold_until - now, 0) / ANVIL_MS);
  anvil_slot_broker_update_upstream (relay->slot_broker, now, upstream, change);
  if (change == ANVIL_REGISTRY_LEFT || change == ANVIL_REGISTRY_RESTARTED)
    anvil_relay_jobs_upstream_ended (relay->jobs, upstream->key);
  if (change != ANVIL_REGISTRY_JOINED && !anvil_registry_usable (upstream))
    anvil_relay_upstream_pool_close_idle (relay->upstream_pool, upstream->key);
}

static const anvil_registry_callbacks_t registry_callbacks = { .changed = on_upstream_changed };

static void
on_routes (void *context, anvil_routes_t *routes)
{
  anvil_relay_t *relay = context;

  anvil_relay_jobs_set_routes (relay->jobs, routes);
  anvil_slot_broker_set_routes (relay->slot_broker, routes);
  relay->freshness.has_tenants = anvil_routes_count_tenants (routes) > 0;
}

static void
on_upstreams_read (void *context)
{
  anvil_relay_t *relay = context;

  if (relay->feed != NULL && relay->ready)
    anvil_relay_feed_publish (relay->feed);
}

static void
on_config_read (void *context)
{
  anvil_relay_t *relay = context;

  if (relay->config_feed != NULL)
    anvil_config_feed_publish (relay->config_feed);
}

/* What this entry wrote may be gone, also what the store has confirmed. */
static void
on_era_risen (void *context)
{
  anvil_relay_t *relay = context;

  anvil_entry_list_rewrite (relay->entry_list);
  anvil_warm_object_backup_rewrite (relay->warm_object_backup,
                                    g_random_int_range (0, (gint32) REWRITE_SPREAD));
}

static const anvil_relay_watch_callbacks_t watch_callbacks = {
  .routes = on_routes,
  .upstreams_read = on_upstreams_read,
  .config_read = on_config_read,
  .era_risen = on_era_risen,
};

static anvil_time_t
total_suspended_time (void)
{
  return anvil_clock_boot () - anvil_clock_now ();
}

static void
detect_suspension (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_time_t suspended = total_suspended_time ();

  if (suspended - relay->suspended_time >= MIN_SUSPENSION)
    {
      relay->resumed_at = now;
      anvil_log (ANVIL_LOG_WARNING, "relay", "process was suspended for_ms=%" G_GINT64_FORMAT,
                 (suspended - relay->suspended_time) / ANVIL_MS);
    }
  relay->suspended_time = suspended;
}

static void
update_ready (anvil_relay_t *relay)
{
  gboolean ready = anvil_relay_watch_ready (relay->watch);

  if (ready == relay->ready)
    return;
  relay->ready = ready;
  anvil_warm_object_backup_restore (relay->warm_object_backup);
  anvil_log (ANVIL_LOG_NOTICE, "relay", "%s upstreams=%u", ready ? "ready" : "not ready",
             anvil_registry_count (relay->registry));
  anvil_slot_broker_set_state (relay->slot_broker, ready, relay->shutting_down);
}

static void
stop_if_done (anvil_relay_t *relay, anvil_time_t now)
{
  const anvil_time_t timeout = relay->settings->shutdown_timeout;
  const anvil_time_t since = now - relay->shutdown_started_at;
  guint busy;

  if (since < MIN (LINGER_TIME, timeout / 2))
    return;
  anvil_relay_jobs_refuse_new (relay->jobs);
  if (since >= timeout - STOP_MARGIN && anvil_relay_jobs_count (relay->jobs) > 0)
    {
      anvil_log (ANVIL_LOG_WARNING, "relay", "giving up unanswered requests requests=%u",
                 anvil_relay_jobs_count (relay->jobs));
      anvil_relay_jobs_end (relay->jobs);
    }
  busy = anvil_relay_callers_count_busy (relay->callers)
         + anvil_relay_forwards_count_unfinished (relay->forwards);
  if (anvil_relay_jobs_count (relay->jobs) + busy > 0 && since < timeout - EXIT_MARGIN)
    return;
  anvil_log (busy == 0 ? ANVIL_LOG_NOTICE : ANVIL_LOG_WARNING, "relay",
             "stopping busy_connections=%u", busy);
  event_base_loopbreak (relay->base);
}

/* If some entry has read the store throughout, only this one was cut off from it. */
static void
update_grace (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_members_t *members = anvil_slot_broker_members (relay->slot_broker);
  anvil_member_info_t *self = anvil_members_self (members);
  anvil_time_t ok_for = store_ok_for (relay);

  self->store_ok_for = anvil_relay_watch_store_ok_for (relay->watch, now);
  self->reads_store = anvil_relay_watch_reads_store (relay->watch);
  if (ok_for > 0)
    anvil_registry_cancel_grace (relay->registry, now, now - ok_for);
}

/* A peer may know of the store's present era first. */
static void
update_era (anvil_relay_t *relay, anvil_time_t now)
{
  anvil_members_t *members = anvil_slot_broker_members (relay->slot_broker);
  const anvil_peer_t *peer = anvil_members_latest_era (members, now);

  if (peer != NULL)
    anvil_relay_watch_hear_era (relay->watch, peer->info.store_era,
                                anvil_slot_broker_vm_name (relay->slot_broker, peer->node));
  anvil_members_self (members)->store_era = anvil_relay_watch_era (relay->watch)->era;
}

static void
update_link_usage (anvil_relay_t *relay, anvil_time_t now)
{
  const anvil_byte_counts_t totals[ANVIL_N_LINK_USERS] = {
    [ANVIL_LINK_CALLERS] = *anvil_relay_callers_byte_counts (relay->callers),
    [ANVIL_LINK_UPSTREAMS] = anvil_relay_upstream_pool_counters (relay->upstream_pool)->bytes,
    [ANVIL_LINK_STORE] = anvil_store_byte_counts (relay->store),
    [ANVIL_LINK_PEERS] = anvil_slot_broker_peer_bytes (relay->slot_broker),
  };

  if (!anvil_link_usage_update (&relay->link_usage, now, totals))
    return;
  anvil_link_usage_log (&relay->link_usage);
  anvil_members_self (anvil_slot_broker_members (relay->slot_broker))->caller_share
      = relay->link_usage.caller_share;
}

static void
on_tick (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_relay_t *relay = data;
  anvil_time_t now = anvil_clock_now ();

  detect_suspension (relay, now);
  if (anvil_process_usage_tick (&relay->process_usage, now, TICK_INTERVAL))
    anvil_slot_broker_log_work (relay->slot_broker);
  anvil_members_self (anvil_slot_broker_members (relay->slot_broker))->declined_share
      = relay->process_usage.declined_share;
  update_link_usage (relay, now);
  update_ready (relay);
  update_era (relay, now);
  update_grace (relay, now);
  anvil_config_freshness_tick (&relay->freshness);
  anvil_registry_tick (relay->registry, now);
  anvil_config_feed_tick (relay->config_feed, now);
  if (relay->ready)
    anvil_relay_feed_tick (relay->feed, now);
  anvil_relay_jobs_tick (relay->jobs, now);
  if (relay->shutting_down)
    stop_if_done (relay, now);
}

void
anvil_relay_begin_shutdown (anvil_relay_t *relay)
{
  if (relay->shutting_down)
    return;
  relay->shutting_down = TRUE;
  relay->shutdown_started_at = anvil_clock_now ();
  anvil_log (ANVIL_LOG_NOTICE, "relay", "shutting down requests=%u",
             anvil_relay_jobs_count (relay->jobs));
  anvil_slot_broker_set_state (relay->slot_broker, relay->ready, TRUE);
  anvil_relay_callers_begin_shutdown (relay->callers);
  anvil_relay_forwards_begin_shutdown (relay->forwards);
  anvil_relay_jobs_begin_shutdown (
      relay->jobs, relay->shutdown_started_at + relay->settings->shutdown_timeout - STOP_MARGIN);
  anvil_entry_list_remove (relay->entry_list);
}

static void
set_revoke_time (anvil_relay_t *relay, const anvil_relay_settings_t *settings)
{
  anvil_relay_watch_set_revoke_time (relay->watch,
                                     settings->strict_revocation ? settings->revoke_time : 0);
}

void
anvil_relay_reload (anvil_relay_t *relay, const anvil_relay_settings_t *settings)
{
  for (guint i = 0; i < settings->n_seeds; i++)
    anvil_members_add (anvil_slot_broker_members (relay->slot_broker), anvil_clock_now (),
                       settings->seeds[i]);
  anvil_slot_broker_set_limits (relay->slot_broker, &settings->limits);
  anvil_relay_watch_set_resync_time (relay->watch, settings->resync_time);
  set_revoke_time (relay, settings);
}

static void
update_service_gauges (void *context, const char *service)
{
  anvil_relay_t *relay = context;
  char *labels = g_strdup_printf ("service=\"%s\"", service);
  anvil_dispatcher_status_t status;

  if (anvil_dispatcher_status (anvil_slot_broker_dispatcher (relay->slot_broker),
                               anvil_str (service), &status))
    {
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_upstreams", labels, status.upstreams);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_slots", labels, status.slots);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_running", labels, status.running);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_waiting", labels, status.waiting);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_limited", labels, status.limited);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_usable_slots", labels,
                               status.usable_slots);
      anvil_metrics_set_gauge (relay->metrics, "anvil_held_classes", labels, status.classes);
    }
  g_free (labels);
}

/* Time since a read, seconds; -1 if it is unknown, G_MAXINT64. */
static gdouble
age_seconds (anvil_time_t read_at)
{
  return read_at == G_MAXINT64 ? -1
                               : (gdouble) (anvil_clock_now () - read_at) / (gdouble) ANVIL_SECOND;
}

/* -1 if the configuration was never proven to be the newest. */
static gdouble
proof_age_seconds (const anvil_relay_t *relay)
{
  anvil_time_t age = anvil_config_freshness_age (&relay->freshness);

  return age >= 0 ? (gdouble) age / (gdouble) ANVIL_SECOND : -1;
}

static void
update_link_gauges (const anvil_relay_t *relay)
{
  for (guint user = 0; user < ANVIL_N_LINK_USERS; user++)
    {
      char *in = g_strdup_printf ("user=\"%s\",direction=\"in\"", anvil_link_user_name (user));
      char *out = g_strdup_printf ("user=\"%s\",direction=\"out\"", anvil_link_user_name (user));

      anvil_metrics_set_gauge (relay->metrics, "anvil_link_bytes", in,
                               (gdouble) relay->link_usage.totals[user].in);
      anvil_metrics_set_gauge (relay->metrics, "anvil_link_bytes", out,
                               (gdouble) relay->link_usage.totals[user].out);
      g_free (in);
      g_free (out);
    }
  anvil_metrics_set_gauge (relay->metrics, "anvil_link_share", "", relay->link_usage.share);
  anvil_metrics_set_gauge (relay->metrics, "anvil_caller_share", "",
                           relay->link_usage.caller_share / (gdouble) ANVIL_FULL_CALLER_SHARE);
}

static void
update_gauges (void *context)
{
  anvil_relay_t *relay = context;
  const anvil_routes_t *routes = anvil_relay_jobs_routes (relay->jobs);
  const anvil_relay_upstream_pool_counters_t *pool
      = anvil_relay_upstream_pool_counters (relay->upstream_pool);
  const store_era_t *era = anvil_relay_watch_era (relay->watch);
  anvil_time_t read_at = anvil_relay_watch_upstreams_read_at (relay->watch);
  anvil_time_t routes_read_at = anvil_relay_watch_operators_read_at (relay->watch);

  anvil_metrics_set_gauge (relay->metrics, "anvil_ready", "", is_ready (relay));
  anvil_metrics_set_gauge (
      relay->metrics, "anvil_knows_peers", "",
      anvil_members_self (anvil_slot_broker_members (relay->slot_broker))->knows_peers);
  anvil_metrics_set_gauge (
      relay->metrics, "anvil_refused_share", "",
      (gdouble) anvil_members_self (anvil_slot_broker_members (relay->slot_broker))->refused_share
          / ANVIL_FULL_REFUSED_SHARE);
  anvil_metrics_set_gauge (relay->metrics, "anvil_reachable_entries", "",
                           anvil_slot_broker_count_reachable (relay->slot_broker));
  anvil_metrics_set_gauge (relay->metrics, "anvil_routes_version", "",
                           routes != NULL ? (gdouble) anvil_routes_version (routes) : 0);
  anvil_metrics_set_gauge (relay->metrics, "anvil_newest_routes_version", "",
                           (gdouble) anvil_config_feed_newest_version (relay->config_feed));
  anvil_metrics_set_gauge (relay->metrics, "anvil_routes_age_seconds", "",
                           age_seconds (routes_read_at > 0 ? routes_read_at : G_MAXINT64));
  anvil_metrics_set_gauge (relay->metrics, "anvil_config_proof_age_seconds", "",
                           proof_age_seconds (relay));
  anvil_metrics_set_gauge (relay->metrics, "anvil_evacuated_zones", "",
                           anvil_relay_watch_count_evacuated (relay->watch));
  anvil_metrics_set_gauge (relay->metrics, "anvil_upstreams", "",
                           anvil_registry_count (relay->registry));
  anvil_metrics_set_gauge (relay->metrics, "anvil_deferred_removals", "",
                           anvil_registry_count_deferred (relay->registry));
  anvil_metrics_set_gauge (relay->metrics, "anvil_upstreams_age_seconds", "",
                           age_seconds (read_at));
  anvil_metrics_set_gauge (relay->metrics, "anvil_store_lost", "",
                           anvil_relay_watch_store_lost (relay->watch));
  anvil_metrics_set_gauge (relay->metrics, "anvil_store_era", "", (gdouble) era->era);
  anvil_metrics_set_gauge (relay->metrics, "anvil_store_era_age_seconds", "",
                           age_seconds (era->n_rises > 0 ? era->risen_at : G_MAXINT64));
  anvil_metrics_set_gauge (relay->metrics, "anvil_limited_upstreams", "",
                           anvil_relay_jobs_count_request_limits (relay->jobs));
  anvil_metrics_set_gauge (relay->metrics, "anvil_leaving_upstreams", "",
                           anvil_registry_count_leaving (relay->registry));
  anvil_metrics_set_gauge (relay->metrics, "anvil_paused_upstreams", "",
                           anvil_relay_jobs_count_pauses (relay->jobs));
  anvil_metrics_set_gauge (relay->metrics, "anvil_forwarded_running", "",
                           anvil_relay_forwards_count (relay->forwards));
  anvil_metrics_set_gauge (relay->metrics, "anvil_requests_open", "",
                           anvil_relay_jobs_count (relay->jobs));
  anvil_metrics_set_gauge (relay->metrics, "anvil_caller_connections", "",
                           anvil_relay_callers_count_connections (relay->callers));
  anvil_metrics_set_gauge (relay->metrics, "anvil_displaced_connections", "for=\"callers\"",
                           (gdouble) anvil_relay_callers_count_displaced (relay->callers));
  anvil_metrics_set_gauge (relay->metrics, "anvil_buffered_bytes", "",
                           (gdouble) anvil_relay_callers_buffered_bytes (relay->callers));
  anvil_metrics_set_gauge (relay->metrics, "anvil_unsent_response_bytes", "",
                           (gdouble) anvil_relay_callers_unsent_bytes (relay->callers));
  anvil_metrics_set_gauge (
      relay->metrics, "anvil_buffered_response_bytes", "",
      (gdouble) anvil_relay_upstream_pool_buffered_bytes (relay->upstream_pool));
  anvil_metrics_set_gauge (relay->metrics, "anvil_saved_response_bytes", "",
                           (gdouble) anvil_relay_jobs_saved_bytes (relay->jobs));
  anvil_relay_jobs_update_quota_metrics (relay->jobs);
  anvil_metrics_set_gauge (relay->metrics, "anvil_oversized_responses", "",
                           (gdouble) pool->oversized_responses);
  anvil_metrics_set_gauge (relay->metrics, "anvil_upstream_connections_opened", "",
                           (gdouble) pool->connections_opened);
  anvil_metrics_set_gauge (relay->metrics, "anvil_upstream_answers_strayed", "",
                           (gdouble) pool->mismatched_responses);
  anvil_process_usage_update_metrics (&relay->process_usage, relay->metrics);
  update_link_gauges (relay);
  anvil_slot_broker_foreach_held_service (relay->slot_broker, update_service_gauges, relay);
}

static const char *
reason_to_withhold (void *context, guint64 upstream, gint64 started_at)
{
  return anvil_relay_jobs_reason_to_withhold (context, upstream, started_at);
}

static gboolean
open_modules (anvil_relay_t *relay, GError **error)
{
  const anvil_relay_settings_t *settings = relay->settings;
  anvil_relay_jobs_options_t job_options
      = { .base = relay->base,
          .settings = settings,
          .header_names = &relay->adapter->header_names,
          .registry = relay->registry,
          .metrics = relay->metrics,
          .max_saved_bytes = settings->memory_bytes / SAVED_RESPONSES_DIVISOR,
          .upstreams_read_at = upstreams_read_at,
          .store_ok_for = store_ok_for,
          .upstream_leaving = on_upstream_leaving,
          .lacks_routes = lacks_routes,
          .config_is_proven = config_is_proven,
          .config_proof_age = config_proof_age,
          .context = relay };
  const anvil_relay_callers_options_t caller_options
      = { .name = "callers",
          .address = settings->caller_endpoint.address,
          .port = settings->caller_endpoint.port,
          .header_names = &relay->adapter->header_names,
          .max_connections = settings->max_descriptors / CALLER_DESCRIPTORS_DIVISOR,
          .max_buffered_bytes = settings->memory_bytes / BUFFERED_BODIES_DIVISOR,
          .max_unsent_bytes = settings->memory_bytes / RESPONSES_DIVISOR };
  anvil_relay_aux_server_options_t server_options = { .settings = settings,
                                                      .adapter = relay->adapter,
                                                      .metrics = relay->metrics,
                                                      .is_ready = is_ready,
                                                      .update_gauges = update_gauges,
                                                      .context = relay };

  relay->slot_broker = anvil_slot_broker_open (relay->base, settings, relay->registry,
                                               &broker_callbacks, relay, error);
  if (relay->slot_broker == NULL)
    return FALSE;
  relay->freshness.members = anvil_slot_broker_members (relay->slot_broker);
  relay->upstream_pool = anvil_relay_upstream_pool_open (
      relay->base, &relay->adapter->header_names, settings->caller_endpoint.address,
      settings->memory_bytes / RESPONSES_DIVISOR);
  job_options.slot_broker = relay->slot_broker;
  job_options.upstream_pool = relay->upstream_pool;
  relay->jobs = anvil_relay_jobs_new (&job_options);
  anvil_relay_upstream_pool_set_withhold (relay->upstream_pool, reason_to_withhold, relay->jobs);
  relay->forwards = anvil_relay_forwards_new (relay->base, relay->slot_broker, relay->upstream_pool,
                                              relay->jobs, relay->registry, relay->metrics);
  relay->callers
      = anvil_relay_callers_open (relay->base, &caller_options, &caller_callbacks, relay, error);
  if (relay->callers == NULL)
    return FALSE;
  server_options.slot_broker = relay->slot_broker;
  relay->aux_server = anvil_relay_aux_server_open (relay->base, &server_options, error);
  return relay->aux_server != NULL;
}

anvil_relay_t *
anvil_relay_open (struct event_base *base,
                  const anvil_relay_settings_t *settings,
                  const anvil_adapter_t *adapter,
                  GError **error)
{
  anvil_relay_t *relay = g_new0 (anvil_relay_t, 1);
  const struct timeval period = { .tv_usec = TICK_INTERVAL };

  relay->base = base;
  relay->settings = settings;
  relay->freshness.settings = settings;
  relay->freshness.was_fresh = TRUE;
  relay->adapter = adapter;
  relay->metrics = anvil_metrics_new ();
  relay->registry = anvil_registry_new (&registry_callbacks, relay);
  relay->suspended_time = total_suspended_time ();
  relay->link_usage.rate = settings->link_rate;
  relay->link_usage.caller_share = ANVIL_FULL_CALLER_SHARE;
  if (!open_modules (relay, error))
    {
      anvil_relay_close (relay);
      return NULL;
    }
  relay->store
      = anvil_store_open (base, settings->store_endpoint.address, settings->store_endpoint.port);
  relay->watch = anvil_relay_watch_open (base, relay->store, adapter, relay->registry,
                                         settings->resync_time, &watch_callbacks, relay);
  set_revoke_time (relay, settings);
  relay->freshness.watch = relay->watch;
  relay->feed = anvil_relay_feed_open (relay->slot_broker, relay->watch, upstreams_read_at, relay);
  relay->config_feed = anvil_config_feed_open (relay->slot_broker, relay->watch);
  relay->warm_object_backup
      = anvil_warm_object_backup_open (base, relay->store, relay->slot_broker);
  relay->tick = event_new (base, -1, EV_PERSIST, on_tick, relay);
  event_add (relay->tick, &period);
  relay->entry_list = anvil_entry_list_open (base, relay->store, settings,
                                             anvil_slot_broker_members (relay->slot_broker));
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
  anvil_config_feed_close (g_steal_pointer (&relay->config_feed));
  relay->freshness.watch = NULL;
  anvil_relay_watch_close (g_steal_pointer (&relay->watch));
  anvil_warm_object_backup_close (relay->warm_object_backup);
  /* Calls under way end here, and their callbacks use the modules that are closed below. */
  anvil_store_close (relay->store);
  anvil_entry_list_close (relay->entry_list);
  anvil_relay_aux_server_close (relay->aux_server);
  anvil_relay_forwards_drop (relay->forwards);
  if (relay->jobs != NULL)
    anvil_relay_jobs_drop (g_steal_pointer (&relay->jobs));
  anvil_relay_callers_close (relay->callers);
  anvil_relay_upstream_pool_close (relay->upstream_pool);
  anvil_slot_broker_close (relay->slot_broker);
  anvil_registry_drop (relay->registry);
  anvil_metrics_drop (relay->metrics);
  g_free (relay);
}
