/* Jobs with a broker and callers of their own: which grants a waiting request takes. The test keeps
 * the broker's decisions and delivers them itself, in any order and more than once, as late
 * messages of a holder arrive. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "helper-ports.h"
#include "relay/relay-job.h"

/* Longest wait for an expected event, and the time in which nothing may happen. */
#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
#define QUIET_TIME (300 * ANVIL_MS)
#define N_UPSTREAMS 2
#define REFUSAL                                                                                    \
  "HTTP/1.1 503 Unavailable\r\nRequest-Id: one\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define SUCCESS "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
#define LEAVING_SUCCESS                                                                            \
  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nServer-Leaving: 1\r\n"                 \
  "Content-Length: 0\r\n\r\n"
#define SECOND_SUCCESS                                                                             \
  "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
#define MISDIRECTED                                                                                \
  "HTTP/1.1 421 Misdirected\r\nRequest-Id: one\r\nInstance-Id: other\r\nNot-Run: 1\r\n"            \
  "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
#define STARTED_AT 1000

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

typedef struct
{
  guint64 number;
  anvil_node_t from;
  anvil_slot_grant_t grant;
} kept_grant_t;

static struct event_base *base;
static anvil_relay_settings_t settings;
static anvil_registry_t *registry;
static anvil_slot_broker_t *broker;
static anvil_relay_upstream_pool_t *pool;
static anvil_metrics_t *metrics;
static anvil_routes_t *routes;
static anvil_relay_jobs_t *jobs;
static anvil_relay_callers_t *callers;
static int listeners[N_UPSTREAMS];
static guint64 upstream_keys[N_UPSTREAMS];
static GArray *grants;
static gboolean registry_is_old;
static int caller;

static void
on_granted (void *context, guint64 number, anvil_node_t from, const anvil_slot_grant_t *grant)
{
  kept_grant_t kept = { .number = number, .from = from, .grant = *grant };

  kept.grant.upstream_id = anvil_str (anvil_str_dup (grant->upstream_id));
  kept.grant.zone = anvil_str (anvil_str_dup (grant->zone));
  g_array_append_val (grants, kept);
}

static void
on_refused (void *context,
            guint64 number,
            anvil_node_t from,
            const anvil_task_refusal_info_t *refused)
{
  anvil_relay_jobs_refused (jobs, number, from, refused);
}

static void
on_holder_changed (void *context, const char *service, anvil_node_t holder)
{
}

static void
on_peer_restarted (void *context, anvil_node_t peer)
{
}

static const anvil_slot_broker_callbacks_t broker_callbacks
    = { .granted = on_granted,
        .refused = on_refused,
        .holder_changed = on_holder_changed,
        .peer_restarted = on_peer_restarted };

static void
on_upstream_changed (void *context,
                     anvil_time_t now,
                     const anvil_registered_upstream_t *upstream,
                     anvil_registry_change_t change)
{
  anvil_slot_broker_update_upstream (broker, now, upstream, change);
}

static const anvil_registry_callbacks_t registry_callbacks = { .changed = on_upstream_changed };

static anvil_time_t
read_at (void *context)
{
  return anvil_clock_now () - (registry_is_old ? 60 * ANVIL_SECOND : 0);
}

static anvil_time_t
always_ok (void *context)
{
  return ANVIL_SECOND;
}

static gboolean
lacks_no_proof (void *context)
{
  return TRUE;
}

static anvil_time_t
newest (void *context)
{
  return 0;
}

static gboolean
lacks_nothing (void *context)
{
  return FALSE;
}

static void
on_request (void *context, anvil_relay_request_t *request)
{
  anvil_relay_jobs_start (jobs, request);
}

static void
on_disconnected (void *context, anvil_relay_request_t *request)
{
  anvil_relay_jobs_caller_disconnected (jobs, request);
}

static const anvil_routes_limits_t *
caller_limits (void *context)
{
  return anvil_routes_limits (routes);
}

static const anvil_relay_caller_callbacks_t caller_callbacks
    = { .request = on_request, .disconnected = on_disconnected, .limits = caller_limits };

static void
run_for (anvil_time_t time)
{
  const anvil_time_t until = anvil_clock_now () + time;

  do
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      g_usleep (500);
  } while (anvil_clock_now () < until);
}

static gboolean
is_readable (int fd)
{
  struct pollfd readable = { .fd = fd, .events = POLLIN };

  return poll (&readable, 1, 0) > 0;
}

static void
wait_readable (int fd)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (!is_readable (fd) && anvil_clock_now () < until)
    run_for (0);
  ck_assert (is_readable (fd));
}

static gboolean
on_upstream_leaving (void *context, const char *service, guint64 upstream, gint64 started_at)
{
  return anvil_registry_set_leaving (registry, anvil_clock_now (), upstream, service, started_at,
                                     FALSE);
}

static void
on_announcements_received (void *context, anvil_node_t peer, const anvil_relay_message_t *message)
{
  g_array_append_vals (context, message->announcements, message->n_announcements);
}

/* Another entry's broker, which keeps what it is told of upstreams. */
static const anvil_slot_broker_callbacks_t other_broker_callbacks
    = { .granted = on_granted,
        .refused = on_refused,
        .holder_changed = on_holder_changed,
        .peer_restarted = on_peer_restarted,
        .announcements_received = on_announcements_received };

static void
wait_for_grants (guint n)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (grants->len < n && anvil_clock_now () < until)
    run_for (0);
  ck_assert_uint_ge (grants->len, n);
}

static const kept_grant_t *
kept_grant (guint index)
{
  return &g_array_index (grants, kept_grant_t, index);
}

static void
deliver (const kept_grant_t *kept)
{
  anvil_relay_jobs_granted (jobs, kept->number, kept->from, &kept->grant);
}

/* Index of the upstream that a grant names. */
static guint
granted_upstream (const kept_grant_t *kept)
{
  return kept->grant.upstream == upstream_keys[0] ? 0 : 1;
}

static int
accept_request (guint upstream)
{
  char bytes[4096];
  int fd;

  wait_readable (listeners[upstream]);
  fd = accept (listeners[upstream], NULL, NULL);
  ck_assert_int_ge (fd, 0);
  wait_readable (fd);
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

static int
connect_to (guint16 port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
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
                                     .started_at = STARTED_AT };

  listeners[index] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (listeners[index], (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (listeners[index], 5), 0);
  ck_assert_int_eq (getsockname (listeners[index], (struct sockaddr *) &address, &length), 0);
  report.port = ntohs (address.sin_port);
  upstream_keys[index] = anvil_str_hash (report.id);
  anvil_registry_apply (registry, anvil_clock_now (), &report);
  g_free (id);
}

static void
set_routes (void)
{
  anvil_route_t *route;
  GError *error = NULL;

  routes = anvil_routes_new (1);
  anvil_routes_add_service (routes)->name = g_strdup ("photos");
  route = anvil_routes_add (routes);
  route->name = g_strdup ("view");
  route->host = g_strdup ("shop.example");
  route->prefix = g_strdup ("/");
  route->timeout = 10 * ANVIL_SECOND;
  route->max_attempts = 5;
  route->services[0] = (anvil_weighted_service_t){ .service = g_strdup ("photos"), .weight = 1 };
  route->n_services = 1;
  ck_assert (anvil_routes_finish (routes, &error));
  anvil_relay_jobs_set_routes (jobs, routes);
  anvil_slot_broker_set_routes (broker, routes);
}

static void
set_up (void)
{
  GError *error = NULL;
  const anvil_relay_callers_options_t caller_options = { .name = "callers",
                                                         .address = INADDR_LOOPBACK,
                                                         .header_names = &header_names,
                                                         .max_connections = 10,
                                                         .max_buffered_bytes = 1 << 20,
                                                         .max_unsent_bytes = 1 << 20 };
  anvil_relay_jobs_options_t options = { .settings = &settings,
                                         .header_names = &header_names,
                                         .max_saved_bytes = 1 << 20,
                                         .upstreams_read_at = read_at,
                                         .store_ok_for = always_ok,
                                         .upstream_leaving = on_upstream_leaving,
                                         .lacks_routes = lacks_nothing,
                                         .config_is_proven = lacks_no_proof,
                                         .config_proof_age = newest };

  settings = (anvil_relay_settings_t){
    .vm = "e1",
    .zone = "west-a",
    .peer_endpoint = { .address = INADDR_LOOPBACK },
    .max_descriptors = 100,
    .memory_bytes = 64 << 20,
    .limits = { .retry_ratio = 1, .retry_extra = 100, .retry_window = 10 * ANVIL_SECOND }
  };
  settings.peer_endpoint.port = reserve_port ();
  settings.region_by_zone = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (settings.region_by_zone, "west-a", "west");
  registry_is_old = FALSE;
  base = event_base_new ();
  grants = g_array_new (FALSE, FALSE, sizeof (kept_grant_t));
  metrics = anvil_metrics_new ();
  registry = anvil_registry_new (&registry_callbacks, NULL);
  broker = anvil_slot_broker_open (base, &settings, registry, &broker_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (broker);
  pool = anvil_relay_upstream_pool_open (base, &header_names, 0, 1 << 20);
  options.base = base;
  options.registry = registry;
  options.slot_broker = broker;
  options.upstream_pool = pool;
  options.metrics = metrics;
  jobs = anvil_relay_jobs_new (&options);
  set_routes ();
  for (guint i = 0; i < N_UPSTREAMS; i++)
    add_upstream (i);
  anvil_members_list_read (anvil_slot_broker_members (broker));
  run_for (2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  callers = anvil_relay_callers_open (base, &caller_options, &caller_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (callers);
  caller = connect_to (anvil_relay_callers_port (callers));
  send_text (caller, "POST /a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: one\r\n"
                     "Content-Length: 0\r\n\r\n");
}

static void
tear_down (void)
{
  close (caller);
  anvil_relay_jobs_drop (jobs);
  anvil_relay_callers_close (callers);
  anvil_relay_upstream_pool_close (pool);
  anvil_slot_broker_close (broker);
  anvil_registry_drop (registry);
  anvil_metrics_drop (metrics);
  anvil_routes_drop (routes);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    close (listeners[i]);
  for (guint i = 0; i < grants->len; i++)
    {
      g_free ((char *) kept_grant (i)->grant.upstream_id.data);
      g_free ((char *) kept_grant (i)->grant.zone.data);
    }
  g_array_unref (grants);
  g_hash_table_unref (settings.region_by_zone);
  event_base_free (base);
}

/* Has the first upstream refuse the request, which waits for its second slot then. */
static kept_grant_t
refuse_first_attempt (int *used)
{
  kept_grant_t first;

  wait_for_grants (1);
  first = *kept_grant (0);
  deliver (&first);
  *used = accept_request (granted_upstream (&first));
  send_text (*used, REFUSAL);
  wait_for_grants (2);
  ck_assert_uint_ne (kept_grant (1)->grant.upstream, first.grant.upstream);
  return first;
}

START_TEST (test_a_late_grant_does_not_return_a_request_to_the_upstream_that_refused_it)
{
  int used;
  const kept_grant_t first = refuse_first_attempt (&used);
  int other;

  deliver (&first);
  run_for (QUIET_TIME);
  ck_assert_msg (!is_readable (used), "sent on the connection of the refusal");
  ck_assert_msg (!is_readable (listeners[granted_upstream (&first)]), "sent to the same upstream");
  deliver (kept_grant (1));
  other = accept_request (granted_upstream (kept_grant (1)));
  send_text (other, SUCCESS);
  wait_readable (caller);
  close (other);
  close (used);
}
END_TEST

START_TEST (test_a_late_grant_that_is_returned_frees_no_slot_of_a_later_attempt)
{
  anvil_dispatcher_status_t status;
  int used;
  const kept_grant_t first = refuse_first_attempt (&used);
  int other;

  deliver (kept_grant (1));
  other = accept_request (granted_upstream (kept_grant (1)));
  deliver (&first);
  /* Another holder's grant of the first slot, which this entry returns to it. */
  anvil_slot_broker_run_finished (broker, first.from, first.number,
                                  &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED });
  ck_assert (anvil_dispatcher_status (anvil_slot_broker_dispatcher (broker), anvil_str ("photos"),
                                      &status));
  ck_assert_uint_eq (status.running, 1);
  close (other);
  close (used);
}
END_TEST

/* Expects a response with the status on the caller's connection. */
static void
expect_response (const char *status_line)
{
  char bytes[4096] = "";

  wait_readable (caller);
  ck_assert_int_gt (recv (caller, bytes, sizeof bytes - 1, 0), 0);
  ck_assert_msg (g_str_has_prefix (bytes, status_line), "%s", bytes);
}

/* The other entry has not been told, so its grant names the upstream that leaves. */
START_TEST (test_a_holder_that_does_not_know_that_an_upstream_leaves_is_told_with_its_grant)
{
  anvil_relay_settings_t other_settings = settings;
  GArray *told = g_array_new (FALSE, FALSE, sizeof (anvil_named_announcement_t));
  const anvil_named_announcement_t *item;
  anvil_slot_broker_t *other_broker;
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;
  kept_grant_t late;
  int leaves;
  int stays;

  other_settings.vm = "e2";
  other_settings.peer_endpoint.port = reserve_port ();
  other_broker = anvil_slot_broker_open (base, &other_settings, registry, &other_broker_callbacks,
                                         told, NULL);
  ck_assert_ptr_nonnull (other_broker);
  wait_for_grants (1);
  deliver (kept_grant (0));
  leaves = accept_request (granted_upstream (kept_grant (0)));
  send_text (leaves, LEAVING_SUCCESS);
  expect_response ("HTTP/1.1 200 ");
  ck_assert_uint_eq (anvil_registry_count_leaving (registry), 1);
  send_text (caller, "POST /a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: two\r\n"
                     "Content-Length: 0\r\n\r\n");
  wait_for_grants (2);
  ck_assert_uint_ne (kept_grant (1)->grant.upstream, kept_grant (0)->grant.upstream);
  anvil_slot_broker_run_finished (broker, kept_grant (1)->from, kept_grant (1)->number,
                                  &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED });
  late = *kept_grant (0);
  late.number = kept_grant (1)->number;
  late.from = anvil_node (INADDR_LOOPBACK, other_settings.peer_endpoint.port);
  deliver (&late);
  wait_for_grants (3);
  while (told->len == 0 && anvil_clock_now () < until)
    run_for (0);
  ck_assert_uint_eq (told->len, 1);
  item = &g_array_index (told, anvil_named_announcement_t, 0);
  ck_assert_uint_eq (item->upstream, late.grant.upstream);
  ck_assert_int_eq (item->started_at, STARTED_AT);
  ck_assert (item->announcement.leaving);
  ck_assert_uint_ne (kept_grant (2)->grant.upstream, late.grant.upstream);
  deliver (kept_grant (2));
  stays = accept_request (granted_upstream (kept_grant (2)));
  ck_assert (!is_readable (listeners[granted_upstream (&late)]));
  send_text (stays, SECOND_SUCCESS);
  expect_response ("HTTP/1.1 200 ");
  anvil_slot_broker_close (other_broker);
  g_array_unref (told);
  close (leaves);
  close (stays);
}
END_TEST

/* The holder has not read the row of the upstream's new process yet. */
START_TEST (test_what_a_restarted_upstream_says_counts_for_its_new_process)
{
  const anvil_registered_upstream_t *upstream;
  kept_grant_t granted;
  int leaves;

  wait_for_grants (1);
  granted = *kept_grant (0);
  upstream = anvil_registry_lookup (registry, granted.grant.upstream);
  anvil_registry_apply (registry, anvil_clock_now (),
                        &(anvil_upstream_report_t){ .id = anvil_str (upstream->id),
                                                    .service = anvil_str (upstream->service),
                                                    .zone = anvil_str (upstream->zone),
                                                    .address = upstream->address,
                                                    .port = upstream->port,
                                                    .slots = upstream->slots,
                                                    .started_at = upstream->started_at + 1 });
  deliver (&granted);
  leaves = accept_request (granted_upstream (&granted));
  send_text (leaves, LEAVING_SUCCESS);
  expect_response ("HTTP/1.1 200 ");
  upstream = anvil_registry_lookup (registry, granted.grant.upstream);
  ck_assert (!anvil_registry_usable (upstream));
  close (leaves);
}
END_TEST

START_TEST (test_a_421_of_another_upstream_does_not_say_that_the_expected_one_leaves)
{
  int misdirected;
  int other;

  wait_for_grants (1);
  deliver (kept_grant (0));
  misdirected = accept_request (granted_upstream (kept_grant (0)));
  send_text (misdirected, MISDIRECTED);
  wait_for_grants (2);
  ck_assert_uint_eq (anvil_registry_count_leaving (registry), 0);
  deliver (kept_grant (1));
  other = accept_request (granted_upstream (kept_grant (1)));
  send_text (other, SUCCESS);
  expect_response ("HTTP/1.1 200 ");
  close (misdirected);
  close (other);
}
END_TEST

/* Answers the request at the upstream of the grant, and expects that its caller gets the answer. */
static void
run_request (const kept_grant_t *kept)
{
  int fd;

  deliver (kept);
  fd = accept_request (granted_upstream (kept));
  send_text (fd, SUCCESS);
  expect_response ("HTTP/1.1 200 ");
  close (fd);
}

static void
check_not_sent (void)
{
  run_for (QUIET_TIME);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    ck_assert_msg (!is_readable (listeners[i]), "sent to upstream %u", i);
  ck_assert_msg (!is_readable (caller), "the caller was answered");
}

/* Requests an overdue slot again, as the timer of the entry does. */
static void
tick (void)
{
  anvil_relay_jobs_tick (jobs, anvil_clock_now () + ANVIL_SECOND);
}

START_TEST (test_a_grant_that_was_returned_is_not_taken_when_it_comes_again)
{
  kept_grant_t returned;

  wait_for_grants (1);
  returned = *kept_grant (0);
  registry_is_old = TRUE;
  deliver (&returned);
  registry_is_old = FALSE;
  deliver (&returned);
  check_not_sent ();
  tick ();
  wait_for_grants (2);
  deliver (&returned);
  check_not_sent ();
  run_request (kept_grant (1));
}
END_TEST

START_TEST (test_a_late_refusal_does_not_end_a_request_that_waits_for_a_later_slot)
{
  const anvil_task_refusal_info_t refused = { .reason = ANVIL_TASK_NO_ROOM };
  int used;
  const kept_grant_t first = refuse_first_attempt (&used);

  anvil_relay_jobs_refused (jobs, first.number, first.from, &refused);
  check_not_sent ();
  run_request (kept_grant (1));
  close (used);
}
END_TEST

START_TEST (test_a_late_refusal_does_not_end_a_request_whose_grant_was_returned)
{
  const anvil_task_refusal_info_t refused = { .reason = ANVIL_TASK_NO_ROOM };
  kept_grant_t returned;

  wait_for_grants (1);
  returned = *kept_grant (0);
  registry_is_old = TRUE;
  deliver (&returned);
  registry_is_old = FALSE;
  anvil_relay_jobs_refused (jobs, returned.number, returned.from, &refused);
  check_not_sent ();
  tick ();
  wait_for_grants (2);
  run_request (kept_grant (1));
}
END_TEST

/* The broker of the test goes on holding the service, so the request after the switch comes to it
 * too. */
START_TEST (test_a_grant_or_refusal_of_a_former_holder_is_not_taken)
{
  const anvil_task_refusal_info_t refused = { .reason = ANVIL_TASK_NO_ROOM };
  kept_grant_t former;

  wait_for_grants (1);
  former = *kept_grant (0);
  anvil_relay_jobs_holder_changed (jobs, "photos", anvil_node (INADDR_LOOPBACK, 1));
  deliver (&former);
  anvil_relay_jobs_refused (jobs, former.number, former.from, &refused);
  check_not_sent ();
  wait_for_grants (2);
  deliver (&former);
  anvil_relay_jobs_refused (jobs, former.number, former.from, &refused);
  check_not_sent ();
  run_request (kept_grant (1));
}
END_TEST

/* Guards against a slot that is freed, or a request that is dropped, by a message about an earlier
 * slot request. */
START_TEST (test_late_reports_of_an_earlier_attempt_change_nothing_at_the_holder)
{
  anvil_dispatcher_status_t status;
  int used;
  const kept_grant_t first = refuse_first_attempt (&used);

  for (guint i = 0; i < 2; i++)
    {
      anvil_slot_broker_run_finished (broker, first.from, first.number,
                                      &(anvil_run_report_t){ .result = ANVIL_RUN_SHED });
      anvil_slot_broker_cancel (broker, first.from, first.number);
      ck_assert (anvil_dispatcher_status (anvil_slot_broker_dispatcher (broker),
                                          anvil_str ("photos"), &status));
      ck_assert_uint_eq (status.running, 1);
    }
  run_request (kept_grant (1));
  close (used);
}
END_TEST

static guint
count_waiting (void)
{
  anvil_dispatcher_status_t status;

  ck_assert (anvil_dispatcher_status (anvil_slot_broker_dispatcher (broker), anvil_str ("photos"),
                                      &status));
  return status.waiting;
}

/* A restart is known from an answer to a ping; the new process may have the slot requests by then.
 * One request more than there are slots; the two grants are not delivered. */
START_TEST (test_a_request_waits_once_at_a_holder_that_has_restarted)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;
  int others[N_UPSTREAMS];

  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      others[i] = connect_to (anvil_relay_callers_port (callers));
      send_text (others[i], "POST /a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: other\r\n"
                            "Content-Length: 0\r\n\r\n");
    }
  while (count_waiting () == 0 && anvil_clock_now () < until)
    run_for (0);
  ck_assert_uint_eq (anvil_relay_jobs_count (jobs), 1 + N_UPSTREAMS);
  ck_assert_uint_eq (count_waiting (), 1);
  anvil_relay_jobs_peer_restarted (jobs, anvil_slot_broker_holder (broker, "photos"));
  ck_assert_uint_eq (count_waiting (), anvil_relay_jobs_count (jobs));
  for (guint i = 0; i < N_UPSTREAMS; i++)
    close (others[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job-grants");
  TCase *tests = tcase_create ("relay-job-grants");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests,
                  test_a_late_grant_does_not_return_a_request_to_the_upstream_that_refused_it);
  tcase_add_test (tests, test_a_late_grant_that_is_returned_frees_no_slot_of_a_later_attempt);
  tcase_add_test (tests,
                  test_a_holder_that_does_not_know_that_an_upstream_leaves_is_told_with_its_grant);
  tcase_add_test (tests, test_what_a_restarted_upstream_says_counts_for_its_new_process);
  tcase_add_test (tests, test_a_421_of_another_upstream_does_not_say_that_the_expected_one_leaves);
  tcase_add_test (tests, test_a_grant_that_was_returned_is_not_taken_when_it_comes_again);
  tcase_add_test (tests, test_a_late_refusal_does_not_end_a_request_that_waits_for_a_later_slot);
  tcase_add_test (tests, test_a_late_refusal_does_not_end_a_request_whose_grant_was_returned);
  tcase_add_test (tests, test_a_grant_or_refusal_of_a_former_holder_is_not_taken);
  tcase_add_test (tests, test_late_reports_of_an_earlier_attempt_change_nothing_at_the_holder);
  tcase_add_test (tests, test_a_request_waits_once_at_a_holder_that_has_restarted);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
