/* Second attempts of requests whose first one is late: which answer the caller gets, and what
 * becomes of the other attempt and its slot. The test is the upstreams, and delivers the holder's
 * decisions itself. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "helper-ports.h"
#include "relay/relay-job.h"

#define WAIT_TIMEOUT (20 * ANVIL_SECOND)
/* Time in which nothing may happen. */
#define QUIET_TIME (200 * ANVIL_MS)
/* When a first attempt counts as late in these tests. */
#define LATE_AFTER (30 * ANVIL_MS)
#define N_UPSTREAMS 3
/* First runs that are counted before, so that the share has room for second ones. */
#define N_FIRST_RUNS 10
#define REQUEST                                                                                    \
  "POST /%s/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: one\r\n%s"                             \
  "Content-Length: 0\r\n\r\n"
#define ANSWER_A                                                                                   \
  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nA"
#define ANSWER_B                                                                                   \
  "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nB"
#define FAILURE                                                                                    \
  "HTTP/1.1 500 Failed\r\nRequest-Id: one\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nF"

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
static int caller;

static void
on_granted (void *context, guint64 number, anvil_node_t from, const anvil_slot_grant_t *grant)
{
  kept_grant_t kept = { .number = number, .from = from, .grant = *grant };

  kept.grant.upstream_id = anvil_str (g_intern_string (grant->upstream_id.data));
  kept.grant.zone = anvil_str ("west-a");
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
on_upstream_leaving (void *context, const char *service, guint64 upstream, gint64 started_at)
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

static guint
count_running (void)
{
  anvil_dispatcher_status_t status;

  ck_assert (anvil_dispatcher_status (anvil_slot_broker_dispatcher (broker), anvil_str ("photos"),
                                      &status));
  return status.running;
}

static void
send_text (int fd, const char *text)
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
add_route (const char *name, anvil_route_kind_t kind, guint max_attempts)
{
  anvil_route_t *route = anvil_routes_add (routes);

  route->name = g_strdup (name);
  route->host = g_strdup ("shop.example");
  route->prefix = g_strdup_printf ("/%s/", name);
  route->kind = kind;
  route->timeout = 10 * ANVIL_SECOND;
  route->max_attempts = max_attempts;
  route->services[0] = (anvil_weighted_service_t){ .service = g_strdup ("photos"), .weight = 1 };
  route->n_services = 1;
}

static void
set_routes (void)
{
  GError *error = NULL;

  routes = anvil_routes_new (1);
  anvil_routes_add_service (routes)->name = g_strdup ("photos");
  add_route ("safe", ANVIL_ROUTE_SAFE, 5);
  add_route ("once", ANVIL_ROUTE_SAFE, 1);
  add_route ("unsafe", ANVIL_ROUTE_UNSAFE, 5);
  ck_assert (anvil_routes_finish (routes, &error));
  anvil_relay_jobs_set_routes (jobs, routes);
  anvil_slot_broker_set_routes (broker, routes);
}

/* Has the holder count first runs that have ended. */
static void
count_first_runs (void)
{
  for (guint i = 0; i < N_FIRST_RUNS; i++)
    {
      const anvil_task_t task
          = { .id = { .requester = anvil_slot_broker_self (broker), .number = 1 + i },
              .service = anvil_str ("photos"),
              .region = anvil_str ("west"),
              .zone = anvil_str ("west-a"),
              .kind = ANVIL_ROUTE_SAFE,
              .attempt = 1,
              .target = anvil_clock_now () + ANVIL_SECOND,
              .deadline = anvil_clock_now () + ANVIL_SECOND };
      const anvil_node_t holder = anvil_slot_broker_holder (broker, "photos");

      anvil_slot_broker_request_slot (broker, holder, &task);
      anvil_slot_broker_run_finished (broker, holder, task.id.number,
                                      &(anvil_run_report_t){ .result = ANVIL_RUN_UNUSED });
    }
  run_for (10 * ANVIL_MS);
  g_array_set_size (grants, 0);
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
                                         .lacks_routes = lacks_nothing };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  settings = (anvil_relay_settings_t){ .vm = "e1",
                                       .zone = "west-a",
                                       .peer_endpoint = { .address = INADDR_LOOPBACK },
                                       .max_descriptors = 100,
                                       .memory_bytes = 64 << 20,
                                       .limits = { .retry_ratio = 1,
                                                   .retry_extra = 100,
                                                   .retry_window = 10 * ANVIL_SECOND,
                                                   .repeat_share = 0.5 } };
  settings.peer_endpoint.port = reserve_port ();
  settings.region_by_zone = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (settings.region_by_zone, "west-a", "west");
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
  count_first_runs ();
  callers = anvil_relay_callers_open (base, &caller_options, &caller_callbacks, NULL, &error);
  ck_assert_ptr_nonnull (callers);
  address.sin_port = htons (anvil_relay_callers_port (callers));
  caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (caller, (struct sockaddr *) &address, sizeof address), 0);
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
  g_array_unref (grants);
  g_hash_table_unref (settings.region_by_zone);
  event_base_free (base);
}

/* Waits for the holder's grant of an attempt, from 0. */
static kept_grant_t
wait_for_grant (guint index)
{
  const anvil_time_t until = anvil_clock_now () + WAIT_TIMEOUT;

  while (grants->len <= index && anvil_clock_now () < until)
    run_for (0);
  ck_assert_uint_gt (grants->len, index);
  return g_array_index (grants, kept_grant_t, index);
}

/* Delivers a grant that says when the attempt is late, 0 for never. */
static void
deliver (kept_grant_t kept, anvil_time_t repeat_after)
{
  kept.grant.repeat_after = repeat_after;
  anvil_relay_jobs_granted (jobs, kept.number, kept.from, &kept.grant);
}

/* The upstream's end of the connection of an attempt whose request has arrived. */
static int
accept_attempt (const kept_grant_t *kept)
{
  char bytes[4096];
  guint index = 0;
  int fd;

  while (upstream_keys[index] != kept->grant.upstream)
    index++;
  wait_readable (listeners[index]);
  fd = accept (listeners[index], NULL, NULL);
  ck_assert_int_ge (fd, 0);
  wait_readable (fd);
  ck_assert_int_gt (recv (fd, bytes, sizeof bytes, 0), 0);
  return fd;
}

/* Sends the caller's request and its first attempt. */
static int
start_first (const char *route, const char *headers)
{
  char *text = g_strdup_printf (REQUEST, route, headers);
  kept_grant_t kept;

  send_text (caller, text);
  g_free (text);
  kept = wait_for_grant (0);
  deliver (kept, LATE_AFTER);
  return accept_attempt (&kept);
}

/* Waits until the first attempt is late, and sends the second. */
static int
start_second (void)
{
  const kept_grant_t kept = wait_for_grant (1);

  ck_assert_uint_ne (kept.grant.upstream, wait_for_grant (0).grant.upstream);
  deliver (kept, 0);
  return accept_attempt (&kept);
}

static void
expect_response (const char *status_line, const char *body)
{
  char bytes[4096] = "";

  wait_readable (caller);
  run_for (QUIET_TIME);
  ck_assert_int_gt (recv (caller, bytes, sizeof bytes - 1, 0), 0);
  ck_assert_msg (g_str_has_prefix (bytes, status_line), "%s", bytes);
  ck_assert_msg (g_str_has_suffix (bytes, body), "%s", bytes);
  ck_assert (strstr (bytes + 1, "HTTP/1.1 ") == NULL);
}

/* The entry has reset the connection. */
static void
expect_reset (int fd)
{
  char byte;

  wait_readable (fd);
  ck_assert_int_le (recv (fd, &byte, 1, 0), 0);
}

static guint
counter (const char *name)
{
  return (guint) anvil_metrics_value (metrics, name, "");
}

START_TEST (test_the_second_answer_is_passed_on_and_the_first_attempt_is_cancelled)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  ck_assert_uint_eq (count_running (), 2);
  send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  expect_reset (first);
  ck_assert_uint_eq (count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (jobs), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_won_total"), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  ck_assert_uint_ge (counter ("anvil_repeats_wasted_milliseconds_total"), 30);
  /* The loser's answer goes nowhere: its connection is gone. */
  (void) send (first, ANSWER_A, strlen (ANSWER_A), MSG_NOSIGNAL);
  run_for (QUIET_TIME);
  ck_assert (!is_readable (caller));
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_first_answer_cancels_the_second_attempt)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  expect_reset (second);
  ck_assert_uint_eq (count_running (), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_won_total"), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  close (first);
  close (second);
}
END_TEST

/* Both are read in one turn of the event loop. */
START_TEST (test_of_two_answers_at_once_the_caller_gets_one)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  send_text (first, ANSWER_A);
  send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "");
  ck_assert_uint_eq (count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (jobs), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_cancelled_total"), 1);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_a_caller_that_leaves_ends_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  shutdown (caller, SHUT_RDWR);
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (count_running (), 0);
  ck_assert_uint_eq (anvil_relay_jobs_count (jobs), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_deadline_ends_both_attempts)
{
  int first = start_first ("safe", "Deadline-Ms: 700\r\n");
  int second = start_second ();

  expect_response ("HTTP/1.1 504 ", "");
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_end_of_the_entry_ends_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  anvil_relay_jobs_end (jobs);
  expect_response ("HTTP/1.1 504 ", "");
  expect_reset (first);
  expect_reset (second);
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_second_attempt_goes_on_when_the_first_fails)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  send_text (first, FAILURE);
  run_for (QUIET_TIME);
  ck_assert (!is_readable (caller));
  ck_assert_uint_eq (count_running (), 1);
  ck_assert_uint_eq (grants->len, 2);
  send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
}
END_TEST

START_TEST (test_the_first_attempt_goes_on_when_the_second_fails)
{
  int first = start_first ("safe", "");
  int second = start_second ();

  send_text (second, FAILURE);
  run_for (QUIET_TIME);
  ck_assert (!is_readable (caller));
  ck_assert_uint_eq (count_running (), 1);
  send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
}
END_TEST

/* The third attempt excludes both upstreams. */
START_TEST (test_a_retry_follows_when_both_fail)
{
  int first = start_first ("safe", "");
  int second = start_second ();
  kept_grant_t third;
  int last;

  send_text (first, FAILURE);
  send_text (second, FAILURE);
  third = wait_for_grant (2);
  ck_assert_uint_ne (third.grant.upstream, wait_for_grant (0).grant.upstream);
  ck_assert_uint_ne (third.grant.upstream, wait_for_grant (1).grant.upstream);
  deliver (third, 0);
  last = accept_attempt (&third);
  send_text (last, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
  close (last);
}
END_TEST

START_TEST (test_a_request_that_must_not_run_twice_gets_no_second_attempt)
{
  int first = start_first ("unsafe", "");

  run_for (LATE_AFTER + QUIET_TIME);
  ck_assert_uint_eq (grants->len, 1);
  send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  close (first);
}
END_TEST

START_TEST (test_a_route_with_one_attempt_gets_no_second)
{
  int first = start_first ("once", "");

  run_for (LATE_AFTER + QUIET_TIME);
  ck_assert_uint_eq (grants->len, 1);
  close (first);
}
END_TEST

/* Between the grant and the sending, the upstream has said that it leaves. */
START_TEST (test_a_slot_of_an_upstream_that_leaves_is_returned)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = wait_for_grant (1);

  anvil_registry_set_leaving (registry, anvil_clock_now (), second.grant.upstream, "photos", 1000,
                              FALSE);
  deliver (second, 0);
  run_for (QUIET_TIME);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  ck_assert_uint_eq (count_running (), 1);
  send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  close (first);
}
END_TEST

/* The slot would otherwise stay in use until the deadline. */
START_TEST (test_a_grant_after_the_answer_is_returned)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = wait_for_grant (1);

  send_text (first, ANSWER_A);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nA");
  deliver (second, 0);
  ck_assert_uint_eq (count_running (), 0);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  close (first);
}
END_TEST

START_TEST (test_no_second_attempt_is_sent_once_the_entry_refuses_requests)
{
  int first = start_first ("safe", "");
  const kept_grant_t second = wait_for_grant (1);

  anvil_relay_jobs_begin_shutdown (jobs, anvil_clock_now () + ANVIL_SECOND);
  anvil_relay_jobs_refuse_new (jobs);
  deliver (second, 0);
  ck_assert_uint_eq (count_running (), 1);
  ck_assert_uint_eq (counter ("anvil_repeats_begun_total"), 0);
  close (first);
}
END_TEST

START_TEST (test_a_restarted_holder_adopts_both_attempts)
{
  int first = start_first ("safe", "");
  int second = start_second ();
  const anvil_run_report_t lost = { .result = ANVIL_RUN_UNUSED };

  for (guint i = 0; i < 2; i++)
    anvil_slot_broker_run_finished (broker, wait_for_grant (i).from, wait_for_grant (i).number,
                                    &lost);
  ck_assert_uint_eq (count_running (), 0);
  anvil_relay_jobs_peer_restarted (jobs, anvil_slot_broker_holder (broker, "photos"));
  ck_assert_uint_eq (count_running (), 2);
  send_text (second, ANSWER_B);
  expect_response ("HTTP/1.1 200 ", "\r\n\r\nB");
  ck_assert_uint_eq (count_running (), 0);
  close (first);
  close (second);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job-repeat");
  TCase *tests = tcase_create ("relay-job-repeat");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_the_second_answer_is_passed_on_and_the_first_attempt_is_cancelled);
  tcase_add_test (tests, test_the_first_answer_cancels_the_second_attempt);
  tcase_add_test (tests, test_of_two_answers_at_once_the_caller_gets_one);
  tcase_add_test (tests, test_a_caller_that_leaves_ends_both_attempts);
  tcase_add_test (tests, test_the_deadline_ends_both_attempts);
  tcase_add_test (tests, test_the_end_of_the_entry_ends_both_attempts);
  tcase_add_test (tests, test_the_second_attempt_goes_on_when_the_first_fails);
  tcase_add_test (tests, test_the_first_attempt_goes_on_when_the_second_fails);
  tcase_add_test (tests, test_a_retry_follows_when_both_fail);
  tcase_add_test (tests, test_a_request_that_must_not_run_twice_gets_no_second_attempt);
  tcase_add_test (tests, test_a_route_with_one_attempt_gets_no_second);
  tcase_add_test (tests, test_a_slot_of_an_upstream_that_leaves_is_returned);
  tcase_add_test (tests, test_a_grant_after_the_answer_is_returned);
  tcase_add_test (tests, test_no_second_attempt_is_sent_once_the_entry_refuses_requests);
  tcase_add_test (tests, test_a_restarted_holder_adopts_both_attempts);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
