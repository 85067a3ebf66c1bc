#include "entry.h"

#include "admin-listener.h"
#include "anvil/log.h"
#include "anvil/peers.h"
#include "caller-listener.h"
#include "config-task.h"
#include "health-task.h"
#include "request-task.h"
#include "seat-task.h"
#include "vm-task.h"

struct anvil_entry
{
  struct event_base *base;
  const anvil_entry_settings_t *settings;
  anvil_metrics_t *metrics;
  anvil_trace_ring_t *traces;
  anvil_steer_t *steer;
  anvil_platform_t *platform;
  anvil_peers_t *peers;
  anvil_upstream_pool_t *upstream_pool;
  anvil_caller_connections_t *callers;
  anvil_request_task_t *requests;
  anvil_claims_task_t *claims;
  anvil_config_task_t *config;
  anvil_seat_task_t *seats;
  anvil_vm_task_t *vms;
  anvil_health_task_t *health;
  anvil_caller_listener_t *caller_listener;
  anvil_admin_listener_t *admin_listener;
  struct event *tick_timer;
  gboolean shutting_down;
  gboolean requests_aborted;
  anvil_time_t shutdown_deadline;
};

static void
on_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
  anvil_entry_t *entry = context;

  anvil_peers_send (entry->peers, to, message);
}

static void
on_read_rows (void *context)
{
  anvil_entry_t *entry = context;

  anvil_seat_task_read (entry->seats);
}

static void
on_write_row (void *context, const anvil_seat_row_t *next)
{
  anvil_entry_t *entry = context;

  anvil_seat_task_write (entry->seats, next);
}

static void
on_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  anvil_entry_t *entry = context;

  anvil_request_task_dispatch (entry->requests, request, dispatch);
}

static void
on_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
  anvil_entry_t *entry = context;

  anvil_request_task_finish (entry->requests, request, result);
}

static void
on_refuse (void *context, guint64 request, anvil_refusal_reason_t reason, anvil_time_t retry_after)
{
  anvil_entry_t *entry = context;

  anvil_request_task_refuse (entry->requests, request, reason, retry_after);
}

static void
on_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
  anvil_entry_t *entry = context;

  anvil_config_task_add_source (entry->config, generation, peer);
}

static const anvil_steer_callbacks_t steer_callbacks = {
  .send = on_send,
  .read_rows = on_read_rows,
  .write_row = on_write_row,
  .dispatch = on_dispatch,
  .finish = on_finish,
  .refuse = on_refuse,
  .fetch_config = on_fetch_config,
};

static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  anvil_entry_t *entry = context;

  anvil_steer_receive (entry->steer, anvil_clock_now (), from, message);
}

static void
on_config_requested (void *context, anvil_node_t from, guint64 generation)
{
  anvil_entry_t *entry = context;
  anvil_str_t head;
  anvil_str_t file;
  guint64 current = anvil_config_task_current (entry->config, &head, &file);

  if (current > 0 && current >= generation)
    anvil_peers_send_config (entry->peers, from, current, head, file);
}

static void
on_config_received (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  anvil_entry_t *entry = context;

  anvil_config_task_peer_response (entry->config, generation, head, file);
}

static const anvil_peers_callbacks_t peer_callbacks = {
  .message_received = on_message,
  .config_requested = on_config_requested,
  .config_received = on_config_received,
};

static void
on_config_in_force (void *context, anvil_config_t *config, guint64 generation)
{
  anvil_entry_t *entry = context;

  anvil_log (ANVIL_LOG_NOTICE, "entry", "configuration in force generation=%" G_GUINT64_FORMAT,
             generation);
  anvil_steer_configure (entry->steer, anvil_clock_now (), config, generation);
}

static void
on_config_request_from_peer (void *context, anvil_node_t peer, guint64 generation)
{
  anvil_entry_t *entry = context;

  anvil_peers_request_config (entry->peers, peer, generation);
}

static const anvil_config_task_callbacks_t config_callbacks = {
  .in_force = on_config_in_force,
  .request_from_peer = on_config_request_from_peer,
};

static gboolean
is_shutdown_complete (const anvil_entry_t *entry, anvil_time_t now)
{
  return anvil_steer_leave_complete (entry->steer, now)
         && anvil_request_task_count (entry->requests) == 0
         && anvil_claims_task_pending (entry->claims) == 0
         && anvil_caller_connections_unsent_bytes (entry->callers) == 0;
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  anvil_entry_t *entry = data;
  anvil_time_t now = anvil_clock_now ();

  anvil_steer_tick (entry->steer, now);
  if (!entry->shutting_down)
    return;
  if (is_shutdown_complete (entry, now))
    event_base_loopbreak (entry->base);
  else if (now >= entry->shutdown_deadline)
    anvil_entry_shut_down (entry);
}

void
anvil_entry_shut_down (anvil_entry_t *entry)
{
  if (entry->shutting_down)
    {
      entry->requests_aborted = anvil_request_task_count (entry->requests) > 0
                                || anvil_caller_connections_unsent_bytes (entry->callers) > 0;
      anvil_log (ANVIL_LOG_WARNING, "entry", "graceful shutdown aborted requests=%u",
                 anvil_request_task_count (entry->requests));
      event_base_loopbreak (entry->base);
      return;
    }
  anvil_log (ANVIL_LOG_NOTICE, "entry", "graceful shutdown begins requests=%u",
             anvil_request_task_count (entry->requests));
  entry->shutting_down = TRUE;
  entry->shutdown_deadline
      = anvil_clock_now () + entry->settings->shutdown_timeout_s * ANVIL_SECOND;
  anvil_steer_leave (entry->steer, anvil_clock_now ());
}

gboolean
anvil_entry_requests_aborted (const anvil_entry_t *entry)
{
  return entry->requests_aborted;
}

static anvil_steer_t *
new_steer (anvil_entry_t *entry)
{
  const anvil_entry_settings_t *settings = entry->settings;
  const anvil_steer_options_t options = {
    .node = settings->node,
    .incarnation = settings->incarnation,
    .zone = anvil_str (settings->zone),
    .caller_port = settings->listen_port,
    .admin_port = settings->admin_port,
    .seed = g_random_int (),
    .sharing = ANVIL_SHARING_LOANS,
  };

  return anvil_steer_new (&options, &steer_callbacks, entry);
}

static void
open_claims (anvil_entry_t *entry)
{
  const anvil_claims_task_options_t options = { .base = entry->base,
                                                .platform = entry->platform,
                                                .metrics = entry->metrics,
                                                .node = entry->settings->node,
                                                .incarnation = entry->settings->incarnation };

  entry->claims
      = anvil_claims_task_new (&options, anvil_request_task_claim_decided, entry->requests);
  anvil_request_task_set_claims (entry->requests, entry->claims);
}

static void
open_tasks (anvil_entry_t *entry)
{
  const anvil_entry_settings_t *settings = entry->settings;
  const anvil_caller_limits_t limits = { .read_timeout = settings->read_timeout_s * ANVIL_SECOND,
                                         .max_buffered_bytes = settings->max_buffered_bytes };
  anvil_request_task_options_t options;

  entry->steer = new_steer (entry);
  entry->platform = anvil_platform_open (entry->base, settings->platform_address,
                                         settings->platform_port, ANVIL_PLATFORM_CALL_TIMEOUT);
  entry->upstream_pool = anvil_upstream_pool_open (entry->base, settings->max_header_bytes,
                                                   settings->max_response_bytes);
  anvil_upstream_pool_set_local_address (entry->upstream_pool, anvil_node_address (settings->node));
  entry->callers = anvil_caller_connections_new (entry->base, &limits, entry->metrics);
  options = (anvil_request_task_options_t){ .steer = entry->steer,
                                            .callers = entry->callers,
                                            .upstream_pool = entry->upstream_pool,
                                            .metrics = entry->metrics,
                                            .traces = entry->traces };
  entry->requests = anvil_request_task_new (&options);
  open_claims (entry);
  entry->seats = anvil_seat_task_new (entry->platform, entry->steer, entry->metrics);
  entry->config = anvil_config_task_open (entry->base, entry->platform, &config_callbacks, entry);
  entry->vms = anvil_vm_task_open (entry->base, entry->platform, entry->steer, entry->metrics);
  entry->health = anvil_health_task_open (entry->base, entry->upstream_pool, entry->steer,
                                          entry->metrics, settings->load_path);
}

static gboolean
open_listeners (anvil_entry_t *entry, GError **error)
{
  const anvil_caller_listener_options_t caller_options = { .steer = entry->steer,
                                                           .connections = entry->callers,
                                                           .requests = entry->requests,
                                                           .metrics = entry->metrics };
  anvil_admin_listener_options_t admin_options = { .settings = entry->settings,
                                                   .steer = entry->steer,
                                                   .config = entry->config,
                                                   .callers = entry->callers,
                                                   .metrics = entry->metrics,
                                                   .traces = entry->traces,
                                                   .shutting_down = &entry->shutting_down };

  entry->peers
      = anvil_peers_open (entry->base, entry->settings->node, &peer_callbacks, entry, error);
  if (entry->peers == NULL)
    return FALSE;
  admin_options.peers = entry->peers;
  entry->caller_listener
      = anvil_caller_listener_open (entry->base, entry->settings, &caller_options, error);
  if (entry->caller_listener == NULL)
    return FALSE;
  entry->admin_listener = anvil_admin_listener_open (entry->base, &admin_options, error);
  return entry->admin_listener != NULL;
}

anvil_entry_t *
anvil_entry_open (struct event_base *base, const anvil_entry_settings_t *settings, GError **error)
{
  anvil_entry_t *entry = g_new0 (anvil_entry_t, 1);
  const struct timeval interval = { .tv_usec = ANVIL_TICK_INTERVAL };

  entry->base = base;
  entry->settings = settings;
  entry->metrics = anvil_metrics_new ();
  entry->traces = anvil_trace_ring_new (settings->print_traces);
  open_tasks (entry);
  if (!open_listeners (entry, error))
    {
      anvil_entry_close (entry);
      return NULL;
    }
  entry->tick_timer = event_new (base, -1, EV_PERSIST, on_tick, entry);
  event_add (entry->tick_timer, &interval);
  return entry;
}

/* Runs events that were deferred to the event loop, such as freeing connections. */
static void
run_deferred (anvil_entry_t *entry)
{
  event_base_loop (entry->base, EVLOOP_NONBLOCK);
}

void
anvil_entry_close (anvil_entry_t *entry)
{
  if (entry == NULL)
    return;
  if (entry->tick_timer != NULL)
    event_free (entry->tick_timer);
  anvil_health_task_close (entry->health);
  anvil_config_task_close (entry->config);
  /* Ends the calls in progress. Their callbacks still use the claims and the requests. */
  anvil_platform_close (entry->platform);
  anvil_claims_task_drop (entry->claims);
  anvil_request_task_drop (entry->requests);
  anvil_caller_listener_close (entry->caller_listener);
  anvil_admin_listener_close (entry->admin_listener);
  anvil_vm_task_close (entry->vms);
  anvil_seat_task_drop (entry->seats);
  anvil_peers_close (entry->peers);
  anvil_upstream_pool_close (entry->upstream_pool);
  run_deferred (entry);
  anvil_caller_connections_drop (entry->callers);
  anvil_steer_drop (entry->steer);
  anvil_trace_ring_drop (entry->traces);
  anvil_metrics_drop (entry->metrics);
  g_free (entry);
}
