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

/* Longest time of one call to the platform. */
#define PLATFORM_TIMEOUT (2 * ANVIL_SECOND)

struct anvil_entry
{
  struct event_base *base;
  const anvil_entry_settings_t *settings;
  anvil_metrics_t *counters;
  anvil_trace_ring_t *traces;
  anvil_steer_t *steer;
  anvil_platform_t *platform;
  anvil_peers_t *peers;
  anvil_upstream_pool_t *pool;
  anvil_caller_connections_t *callers;
  anvil_request_task_t *requests;
  anvil_claims_task_t *claims;
  anvil_config_task_t *config;
  anvil_seat_task_t *seats;
  anvil_vm_task_t *vms;
  anvil_health_task_t *health;
  anvil_caller_listener_t *listener;
  anvil_admin_listener_t *admin;
  struct event *tick;
  gboolean leaving;
  gboolean cut;
  anvil_time_t leave_until;
};

static void
act_send (void *context, anvil_node_t to, const anvil_message_t *message)
{
  anvil_entry_t *entry = context;

  anvil_peers_send (entry->peers, to, message);
}

static void
act_rows_read (void *context)
{
  anvil_entry_t *entry = context;

  anvil_seat_task_read (entry->seats);
}

static void
act_row_write (void *context, const anvil_seat_row_t *next)
{
  anvil_entry_t *entry = context;

  anvil_seat_task_write (entry->seats, next);
}

static void
act_dispatch (void *context, const anvil_request_t *request, const anvil_dispatch_t *dispatch)
{
  anvil_entry_t *entry = context;

  anvil_request_task_dispatch (entry->requests, request, dispatch);
}

static void
act_finish (void *context, guint64 request, anvil_attempt_result_t result)
{
  anvil_entry_t *entry = context;

  anvil_request_task_finish (entry->requests, request, result);
}

static void
act_refuse (void *context, guint64 request, anvil_refusal_reason_t why, anvil_time_t retry_after)
{
  anvil_entry_t *entry = context;

  anvil_request_task_refuse (entry->requests, request, why, retry_after);
}

static void
act_fetch_config (void *context, guint64 generation, anvil_node_t peer)
{
  anvil_entry_t *entry = context;

  anvil_config_task_add_source (entry->config, generation, peer);
}

static const anvil_steer_callbacks_t actions = {
  .send = act_send,
  .read_rows = act_rows_read,
  .write_row = act_row_write,
  .dispatch = act_dispatch,
  .finish = act_finish,
  .refuse = act_refuse,
  .fetch_config = act_fetch_config,
};

static void
on_message (void *context, anvil_node_t from, const anvil_message_t *message)
{
  anvil_entry_t *entry = context;

  anvil_steer_receive (entry->steer, anvil_clock_now (), from, message);
}

static void
on_config_asked (void *context, anvil_node_t from, guint64 generation)
{
  anvil_entry_t *entry = context;
  anvil_str_t head;
  anvil_str_t file;
  guint64 current = anvil_config_task_current (entry->config, &head, &file);

  if (current > 0 && current >= generation)
    anvil_peers_send_config (entry->peers, from, current, head, file);
}

static void
on_config_arrived (
    void *context, anvil_node_t from, guint64 generation, anvil_str_t head, anvil_str_t file)
{
  anvil_entry_t *entry = context;

  anvil_config_task_peer_response (entry->config, generation, head, file);
}

static const anvil_peers_callbacks_t peer_events = {
  .message = on_message,
  .config_requested = on_config_asked,
  .config_received = on_config_arrived,
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
on_config_ask_peer (void *context, anvil_node_t peer, guint64 generation)
{
  anvil_entry_t *entry = context;

  anvil_peers_request_config (entry->peers, peer, generation);
}

static const anvil_config_task_callbacks_t config_events = {
  .in_force = on_config_in_force,
  .request_from_peer = on_config_ask_peer,
};

static gboolean
all_done (const anvil_entry_t *entry, anvil_time_t now)
{
  return anvil_steer_leave_complete (entry->steer, now)
         && anvil_request_task_count (entry->requests) == 0
         && anvil_claims_task_busy (entry->claims) == 0
         && anvil_caller_unsent (entry->callers) == 0;
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  anvil_entry_t *entry = data;
  anvil_time_t now = anvil_clock_now ();

  anvil_steer_tick (entry->steer, now);
  if (!entry->leaving)
    return;
  if (all_done (entry, now))
    event_base_loopbreak (entry->base);
  else if (now >= entry->leave_until)
    anvil_entry_leave (entry);
}

void
anvil_entry_leave (anvil_entry_t *entry)
{
  if (entry->leaving)
    {
      entry->cut = anvil_request_task_count (entry->requests) > 0
                   || anvil_caller_unsent (entry->callers) > 0;
      anvil_log (ANVIL_LOG_WARNING, "entry", "shutdown ends now requests=%u",
                 anvil_request_task_count (entry->requests));
      event_base_loopbreak (entry->base);
      return;
    }
  anvil_log (ANVIL_LOG_NOTICE, "entry", "leaving requests=%u",
             anvil_request_task_count (entry->requests));
  entry->leaving = TRUE;
  entry->leave_until = anvil_clock_now () + entry->settings->drain_seconds * ANVIL_SECOND;
  anvil_steer_leave (entry->steer, anvil_clock_now ());
}

gboolean
anvil_entry_cut (const anvil_entry_t *entry)
{
  return entry->cut;
}

static anvil_steer_t *
new_steer (anvil_entry_t *entry)
{
  const anvil_entry_settings_t *settings = entry->settings;
  const anvil_steer_options_t options = {
    .node = settings->peer,
    .incarnation = settings->incarnation,
    .zone = anvil_str (settings->zone),
    .caller_port = settings->listen_port,
    .admin_port = settings->admin_port,
    .seed = g_random_int (),
    .sharing = ANVIL_SHARING_LOANS,
  };

  return anvil_steer_new (&options, &actions, entry);
}

static void
open_claims (anvil_entry_t *entry)
{
  const anvil_claims_task_parts_t parts = { .base = entry->base,
                                            .platform = entry->platform,
                                            .counters = entry->counters,
                                            .node = entry->settings->peer,
                                            .incarnation = entry->settings->incarnation };

  entry->claims = anvil_claims_task_new (&parts, anvil_request_task_decided, entry->requests);
  anvil_request_task_use_claims (entry->requests, entry->claims);
}

static void
open_tasks (anvil_entry_t *entry)
{
  const anvil_entry_settings_t *settings = entry->settings;
  const anvil_caller_limits_t limits = { .read_timeout = settings->read_seconds * ANVIL_SECOND,
                                         .max_buffered_bytes = settings->max_buffered_bytes };
  anvil_request_task_parts_t parts;

  entry->steer = new_steer (entry);
  entry->platform = anvil_platform_open (entry->base, settings->platform_address,
                                         settings->platform_port, PLATFORM_TIMEOUT);
  entry->pool = anvil_upstream_pool_open (entry->base, settings->max_header_bytes,
                                          settings->max_response_bytes);
  anvil_upstream_pool_set_local (entry->pool, anvil_node_address (settings->peer));
  entry->callers = anvil_caller_connections_new (entry->base, &limits, entry->counters);
  parts = (anvil_request_task_parts_t){ .steer = entry->steer,
                                        .callers = entry->callers,
                                        .pool = entry->pool,
                                        .counters = entry->counters,
                                        .traces = entry->traces };
  entry->requests = anvil_request_task_new (&parts);
  open_claims (entry);
  entry->seats = anvil_seat_task_new (entry->platform, entry->steer, entry->counters);
  entry->config = anvil_config_task_open (entry->base, entry->platform, &config_events, entry);
  entry->vms = anvil_vm_task_open (entry->base, entry->platform, entry->steer, entry->counters);
  entry->health = anvil_health_task_open (entry->base, entry->pool, entry->steer, entry->counters,
                                          settings->load_path);
}

static gboolean
open_ports (anvil_entry_t *entry, GError **error)
{
  const anvil_caller_listener_parts_t caller_parts = { .steer = entry->steer,
                                                       .connections = entry->callers,
                                                       .requests = entry->requests,
                                                       .counters = entry->counters };
  anvil_admin_listener_parts_t admin_parts = { .settings = entry->settings,
                                               .steer = entry->steer,
                                               .config = entry->config,
                                               .callers = entry->callers,
                                               .counters = entry->counters,
                                               .traces = entry->traces,
                                               .leaving = &entry->leaving };

  entry->peers = anvil_peers_open (entry->base, entry->settings->peer, &peer_events, entry, error);
  if (entry->peers == NULL)
    return FALSE;
  admin_parts.peers = entry->peers;
  entry->listener = anvil_caller_listener_open (entry->base, entry->settings, &caller_parts, error);
  if (entry->listener == NULL)
    return FALSE;
  entry->admin = anvil_admin_listener_open (entry->base, &admin_parts, error);
  return entry->admin != NULL;
}

anvil_entry_t *
anvil_entry_open (struct event_base *base, const anvil_entry_settings_t *settings, GError **error)
{
  anvil_entry_t *entry = g_new0 (anvil_entry_t, 1);
  const struct timeval period = { .tv_usec = ANVIL_TICK_INTERVAL };

  entry->base = base;
  entry->settings = settings;
  entry->counters = anvil_metrics_new ();
  entry->traces = anvil_trace_ring_new (settings->print_traces);
  open_tasks (entry);
  if (!open_ports (entry, error))
    {
      anvil_entry_close (entry);
      return NULL;
    }
  entry->tick = event_new (base, -1, EV_PERSIST, on_tick, entry);
  event_add (entry->tick, &period);
  return entry;
}

/* Runs what was put off to the event loop, such as freeing connections. */
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
  if (entry->tick != NULL)
    event_free (entry->tick);
  anvil_health_task_close (entry->health);
  anvil_config_task_close (entry->config);
  /* Ends the calls under way; their verdicts still find the requests. */
  anvil_platform_close (entry->platform);
  anvil_claims_task_drop (entry->claims);
  anvil_request_task_drop (entry->requests);
  anvil_caller_listener_close (entry->listener);
  anvil_admin_listener_close (entry->admin);
  anvil_vm_task_close (entry->vms);
  anvil_seat_task_drop (entry->seats);
  anvil_peers_close (entry->peers);
  anvil_upstream_pool_close (entry->pool);
  run_deferred (entry);
  anvil_caller_connections_drop (entry->callers);
  anvil_steer_drop (entry->steer);
  anvil_trace_ring_drop (entry->traces);
  anvil_metrics_drop (entry->counters);
  g_free (entry);
}
