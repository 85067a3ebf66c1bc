#include "helper-job.h"

#include <check.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "helper-ports.h"

/* Longest wait for an expected event. */
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
/* First runs that are counted before, so that the share has room for second ones. */
#define N_FIRST_RUNS 10

job_fixture_t job_fixture;

static const anvil_header_names_t header_names = { .request_id = "Request-Id",
                                                   .timeout_ms = "Deadline-Ms",
                                                   .object = "Affinity-Key",
                                                   .expected_upstream = "Expect-Instance",
                                                   .upstream_id = "Instance-Id",
                                                   .response_marker = "Server-Stamp",
                                                   .not_run = "Not-Run",
                                                   .request_limit = "Server-Limit",
                                                   .leaving = "Server-Leaving",
                                                   .load = "Server-Load" };

static void
on_granted (void *context, guint64 number, anvil_node_t from, const anvil_slot_grant_t *grant)
{
  kept_grant_t kept = { .number = number, .from = from, .grant = *grant };

  kept.grant.upstream_id = anvil_str (g_intern_string (grant->upstream_id.data));
  kept.grant.zone = anvil_str ("west-a");
  g_array_append_val (job_fixture.grants, kept);
}

static void
on_refused (void *context,
            guint64 number,
            anvil_node_t from,
            const anvil_task_refusal_info_t *refused)
{
  anvil_relay_jobs_refused (job_fixture.jobs, number, from, refused);
}

static void
on_holder_changed (void *context, const char *service, anvil_node_t holder)
{
  anvil_relay_jobs_holder_changed (job_fixture.jobs, service, holder);
}

static void
on_peer_restarted (void *context, anvil_node_t peer)
{
  anvil_relay_jobs_peer_restarted (job_fixture.jobs, peer);
}

static void
on_withdrawn (void *context, guint64 number, anvil_node_t from, gboolean waited)
{
  anvil_relay_jobs_withdrawn (job_fixture.jobs, number, from, waited);
}

static void
on_response_received (void *context, guint64 number, anvil_node_t from, anvil_str_t payload)
{
  anvil_relay_jobs_responded (job_fixture.jobs, number, from, payload);
}

static const anvil_slot_broker_callbacks_t broker_callbacks
    = { .granted = on_granted,
        .refused = on_refused,
        .holder_changed = on_holder_changed,
        .peer_restarted = on_peer_restarted,
        .withdrawn = on_withdrawn,
        .response_received = on_response_received };

static void
on_upstream_changed (void *context,
                     anvil_time_t now,
                     const anvil_registered_upstream_t *upstream,
                     anvil_registry_change_t change)
{
  anvil_slot_broker_update_upstream (job_fixture.broker, now, upstream, change);
}

static const anvil_registry_callbacks_t registry_callbacks = { .changed = on_upstream_changed };

static anvil_time_t
read_at (void *context)
{
  return anvil_clock_now ();
}

static anvil_time_t
always_ok (void *context)
{
  return ANVIL_SECOND;
}

static gboolean
lacks_nothing (void *context)
{
  return FALSE;
}

static gboolean
always_proven (void *context)
{
  return TRUE;
}

static anvil_time_t
newest (void *context)
{
  return 0;
}

static gboolean
on_upstream_leaving (void *context, const char *service, guint64 upstream, gint64 started_at)
{
  return FALSE;
}

static const char *
reason_to_withhold (void *context, guint64 upstream, gint64 started_at)
{
  return anvil_relay_jobs_reason_to_withhold (context, upstream, started_at);
}

static void
on_request (void *context, anvil_relay_request_t *request)
{
  anvil_relay_jobs_start (job_fixture.jobs, request);
}

static void
on_disconnected (void *context, anvil_relay_request_t *request)
{
  anvil_relay_jobs_caller_disconnected (job_fixture.jobs, request);
}

static const anvil_routes_limits_t *
caller_limits (void *context)
{
  return anvil_routes_limits (job_fixture.routes);
}

static const anvil_relay_caller_callbacks_t caller_callbacks
    = { .request = on_request, .disconnected = on_disconnected, .limits = caller_limits };

void
job_run_for (anvil_time_t time)
{
  const anvil_time_t until = anvil_clock_now () + time;

  do
    {
      event_base_loop (job_fixture.base, EVLOOP_NONBLOCK);
      g_usleep (500);
  } while (anvil_clock_now () < until);
}

gboolean
job_is_readable (int fd)
{
  struct pollfd readable = { .fd = fd, .events = POLLIN };

  return poll (&readable, 1, 0) > 0;
}

void
job_wait_readable (int fd)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (!job_is_readable (fd) && anvil_clock_now () < until)
    job_run_for (0);
  ck_assert (job_is_readable (fd));
}

guint
job_count_running (void)
{
  anvil_dispatcher_status_t status;

  ck_assert (anvil_dispatcher_status (anvil_slot_broker_dispatcher (job_fixture.broker),
                                      anvil_str ("photos"), &status));
  return status.running;
}

void
job_send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

static void
add_upstream (guint index)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  char *id = g_strdup_printf ("u%u", index);
  anvil_upstream_report_t report = { .id = anvil_str (id),
                                     .service = anvil_str ("photos"),
                                     .zone = anvil_str ("west-a"),
                                     .address = INADDR_LOOPBACK,
                                     .slots = 1,
                                     .started_at = 1000 };

  job_fixture.listeners[index] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (
      bind (job_fixture.listeners[index], (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (job_fixture.listeners[index], 5), 0);
  ck_assert_int_eq (
      getsockname (job_fixture.listeners[index], (struct sockaddr *) &address, &length), 0);
  report.port = ntohs (address.sin_port);
  job_fixture.upstream_keys[index] = anvil_str_hash (report.id);
  anvil_registry_apply (job_fixture.registry, anvil_clock_now (), &report);
  g_free (id);
}

static anvil_route_t *
add_route (const char *name, anvil_route_kind_t kind, guint max_attempts)
{
  anvil_route_t *route = anvil_routes_add (job_fixture.routes);

  route->name = g_strdup (name);
  route->host = g_strdup ("shop.example");
  route->prefix = g_strdup_printf ("/%s/", name);
  route->kind = kind;
  route->timeout = 10 * ANVIL_SECOND;
  route->max_attempts = max_attempts;
  route->services[0] = (anvil_weighted_service_t){ .service = g_strdup ("photos"), .weight = 1 };
  route->n_services = 1;
  return route;
}

static void
set_routes (void)
{
  anvil_route_t *none;
  GError *error = NULL;

  job_fixture.routes = anvil_routes_new (1);
  anvil_routes_add_service (job_fixture.routes)->name = g_strdup ("photos");
  add_route ("safe", ANVIL_ROUTE_SAFE, 5);
  add_route ("once", ANVIL_ROUTE_SAFE, 1);
  none = add_route ("none", ANVIL_ROUTE_SAFE, 5);
  none->has_repeat_share = TRUE;
  add_route ("unsafe", ANVIL_ROUTE_UNSAFE, 5);
  ck_assert (anvil_routes_finish (job_fixture.routes, &error));
  anvil_relay_jobs_set_routes (job_fixture.jobs, job_fixture.routes);
  anvil_slot_broker_set_routes (job_fixture.broker, job_fixture.routes);
}

/* Has the holder count first runs that have ended. */
static void
count_first_runs (void)
{
  for (guint i = 0; i < N_FIRST_RUNS; i++)
    {
      const anvil_task_t task
          = { .id = { .requester = anvil_slot_broker_self (job_fixture.broker), .number = 1 + i },
              .service = anvil_str ("photos"),
              .region = anvil_str ("west"),
              .zone = anvil_str ("west-a"),
              .kind = ANVIL_ROUTE_SAFE,
              .attempt = 1,
              .target = anvil_clock_now () + ANVIL_SECOND,
              .deadline = anvil_clock_now () + ANVIL_SECOND };
      const anvil_node_t holder = anvil_slot_broker_holder (job_fixture.broker, "photos");

      anvil_slot_broker_request_slot (job_fixture.broker, holder, &task);
      anvil_slot_broker_run_finished (job_fixture.broker, holder, task.id.number,
                                      &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED });
    }
  job_run_for (10 * ANVIL_MS);
  g_array_set_size (job_fixture.grants, 0);
}

void
job_fixture_open (void)
{
  GError *error = NULL;
  const anvil_relay_callers_options_t caller_options = { .name = "callers",
                                                         .address = INADDR_LOOPBACK,
                                                         .header_names = &header_names,
                                                         .max_connections = 10,
                                                         .max_buffered_bytes = 1 << 20,
                                                         .max_unsent_bytes = 1 << 20 };
  anvil_relay_jobs_options_t options = { .settings = &job_fixture.settings,
                                         .header_names = &header_names,
                                         .max_saved_bytes = 1 << 20,
                                         .upstreams_read_at = read_at,
                                         .store_ok_for = always_ok,
                                         .upstream_leaving = on_upstream_leaving,
                                         .lacks_routes = lacks_nothing,
                                         .config_is_proven = always_proven,
                                         .config_proof_age = newest };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  job_fixture.settings = (anvil_relay_settings_t){ .vm = "e1",
                                                   .zone = "west-a",
                                                   .peer_endpoint = { .address = INADDR_LOOPBACK },
                                                   .max_descriptors = 100,
                                                   .memory_bytes = 64 << 20,
                                                   .limits = { .retry_ratio = 1,
                                                               .retry_extra = 100,
                                                               .retry_window = 10 * ANVIL_SECOND,
                                                               .repeat_share = 0.5 } };
  job_fixture.settings.peer_endpoint.port = reserve_port ();
  job_fixture.settings.region_by_zone = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (job_fixture.settings.region_by_zone, "west-a", "west");
  job_fixture.base = event_base_new ();
  job_fixture.grants = g_array_new (FALSE, FALSE, sizeof (kept_grant_t));
  job_fixture.metrics = anvil_metrics_new ();
  job_fixture.registry = anvil_registry_new (&registry_callbacks, NULL);
  job_fixture.broker
      = anvil_slot_broker_open (job_fixture.base, &job_fixture.settings, job_fixture.registry,
                                &broker_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (job_fixture.broker);
  job_fixture.pool = anvil_relay_upstream_pool_open (job_fixture.base, &header_names, 0, 1 << 20);
  options.base = job_fixture.base;
  options.registry = job_fixture.registry;
  options.slot_broker = job_fixture.broker;
  options.upstream_pool = job_fixture.pool;
  options.metrics = job_fixture.metrics;
  job_fixture.jobs = anvil_relay_jobs_new (&options);
  anvil_relay_upstream_pool_set_withhold (job_fixture.pool, reason_to_withhold, job_fixture.jobs);
  set_routes ();
  for (guint i = 0; i < JOB_N_UPSTREAMS; i++)
    add_upstream (i);
  anvil_members_list_read (anvil_slot_broker_members (job_fixture.broker));
  job_run_for (2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  count_first_runs ();
  job_fixture.callers = anvil_relay_callers_open (job_fixture.base, &caller_options,
                                                  &caller_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (job_fixture.callers);
  address.sin_port = htons (anvil_relay_callers_port (job_fixture.callers));
  job_fixture.caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (job_fixture.caller, (struct sockaddr *) &address, sizeof address), 0);
}

void
job_fixture_close (void)
{
  close (job_fixture.caller);
  anvil_relay_jobs_drop (job_fixture.jobs);
  anvil_relay_callers_close (job_fixture.callers);
  anvil_relay_upstream_pool_close (job_fixture.pool);
  anvil_slot_broker_close (job_fixture.broker);
  anvil_registry_drop (job_fixture.registry);
  anvil_metrics_drop (job_fixture.metrics);
  anvil_routes_drop (job_fixture.routes);
  for (guint i = 0; i < JOB_N_UPSTREAMS; i++)
    close (job_fixture.listeners[i]);
  g_array_unref (job_fixture.grants);
  g_hash_table_unref (job_fixture.settings.region_by_zone);
  event_base_free (job_fixture.base);
}

/* Waits for the holder's grant of an attempt, from 0. */
kept_grant_t
job_wait_for_grant (guint index)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (job_fixture.grants->len <= index && anvil_clock_now () < until)
    job_run_for (0);
  ck_assert_uint_gt (job_fixture.grants->len, index);
  return g_array_index (job_fixture.grants, kept_grant_t, index);
}

/* Delivers a grant that says when the attempt is late, 0 for never. */
void
job_deliver (kept_grant_t kept, anvil_time_t repeat_after)
{
  kept.grant.repeat_after = repeat_after;
  anvil_relay_jobs_granted (job_fixture.jobs, kept.number, kept.from, &kept.grant);
}

/* The upstream's end of the connection of an attempt whose request has arrived. */
int
job_accept_attempt (const kept_grant_t *kept)
{
  char bytes[4096];
  guint index = 0;
  int fd;

  while (job_fixture.upstream_keys[index] != kept->grant.upstream)
    index++;
  job_wait_readable (job_fixture.listeners[index]);
  fd = accept (job_fixture.listeners[index], NULL, NULL);
  ck_assert_int_ge (fd, 0);
  job_wait_readable (fd);
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  return fd;
}
