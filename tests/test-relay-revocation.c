/* A key that the operators have taken away stops working within the revoke time at every entry,
 * whatever it is cut off from; other keys go on where the store can be known to be unchanged. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define KEY_A "gy35ieispuxsr7i427ey"
#define KEY_B "a6u6sz9frge9itfrzm2d"
#define TENANT(name, key)                                                                          \
  "{\"resourceKind\":\"tenants\",\"metadata\":{\"name\":\"" name                                   \
  "\"},\"spec\":{\"apiKeys\":[\"" key "\"]}}"
#define BOTH TENANT ("tenant-a", KEY_A) "," TENANT ("tenant-b", KEY_B) "," PUBLIC_ROUTE
#define ONLY_B TENANT ("tenant-b", KEY_B) "," PUBLIC_ROUTE
#define PUBLIC_ROUTE                                                                               \
  "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"open\"},\"spec\":{\"host\":\"" FLEET_HOST \
  "\",\"prefix\":\"/open/\",\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":600,"         \
  "\"priority\":1,\"service\":\"photos\",\"maxAttempts\":3,\"public\":true}}"
#define REVOKE_TIME (3 * ANVIL_SECOND)
#define STRICT ",\"strictRevocation\":true,\"revokeMs\":3000"
/* More than a peer sends. */
#define N_TOO_MANY_ROUTES 6000
#define TOO_MANY_BYTES (1400u << 10)
#define RECOVERY_TIME (10 * ANVIL_SECOND)
#define POLL_US 20000
/* A drill, and when the store has again what it has lost. */
#define COPY_MARGIN_US 50000ul
#define AWAY_MS 300
#define AWAY_US (AWAY_MS * 1000ul)
#define REWRITE_MS 8000

static fleet_t fleet;
/* One upstream entry of the store, and one that gets there by a proxy. */
static fleet_entry_t *peer;
static fleet_entry_t *entry;
static fleet_proxy_t *proxy;

static void
open_fleet (const char *upstream_flags)
{
  fleet_open (&fleet);
  fleet.more_bounds = STRICT;
  fleet_add_upstream (&fleet, "west", "photos", upstream_flags);
  fleet_configure (&fleet, BOTH);
  peer = fleet_add_entry (&fleet, "e0", "west-a");
  proxy = fleet_add_store_proxy (&fleet, 0);
  fleet.entry_store_endpoint = proxy->endpoint;
  entry = fleet_add_entry (&fleet, "e1", "west-b");
  fleet_wait_ready (peer);
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  kill (proxy->pid, SIGCONT);
  kill (entry->pid, SIGCONT);
  kill (peer->pid, SIGCONT);
  fleet_close (&fleet);
}

static void
send_request (int fd, const char *path, const char *key)
{
  fleet_send (fd, "GET %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: r\r\nApi-Key: %s\r\n\r\n",
              path, key);
}

static guint
read_status (int fd)
{
  char *response = fleet_read_response (fd);
  guint status = fleet_response_status (response);

  g_free (response);
  return status;
}

static guint
request_status (const char *path, const char *key)
{
  int fd = fleet_connect (entry->caller_port);
  guint status;

  send_request (fd, path, key);
  status = read_status (fd);
  close (fd);
  return status;
}

static void
wait_for_status (const char *key, guint status, anvil_time_t timeout)
{
  const anvil_time_t until = anvil_clock_now () + timeout;

  while (request_status ("/view/1", key) != status)
    {
      ck_assert_msg (anvil_clock_now () < until, "status %u never came", status);
      g_usleep (POLL_US);
    }
}

static void
assert_status_for (const char *key, guint status, anvil_time_t duration)
{
  const anvil_time_t until = anvil_clock_now () + duration;

  while (anvil_clock_now () < until)
    {
      ck_assert_uint_eq (request_status ("/view/1", key), status);
      g_usleep (POLL_US);
    }
}

static gboolean
is_ready (void)
{
  char *response = fleet_request (entry->readiness_port, "GET", "/-/ready", "ready");
  gboolean ready = fleet_response_status (response) == 200;

  g_free (response);
  return ready;
}

/* Whether a look-up at an entry names another one, or itself. */
static gboolean
looks_up (const fleet_entry_t *at, const fleet_entry_t *wanted)
{
  char *response = fleet_request (at->lookup_port, "GET", "/-/resolve?region=west", "lookup");
  char *address = g_strdup_printf ("127.0.0.1:%u\"", wanted->caller_port);
  gboolean named = strstr (response, address) != NULL;

  g_free (address);
  g_free (response);
  return named;
}

/* Guards against keys that fail though peers know that the configuration is the newest. */
START_TEST (test_an_entry_that_only_reaches_peers_knows_of_each_key)
{
  open_fleet (NULL);
  kill (proxy->pid, SIGSTOP);
  assert_status_for (KEY_A, 200, 2 * REVOKE_TIME);
  ck_assert (is_ready ());
  fleet_configure (&fleet, ONLY_B);
  wait_for_status (KEY_A, 401, REVOKE_TIME);
  assert_status_for (KEY_B, 200, 2 * REVOKE_TIME);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_keyed_refusals_total"), -1);
}
END_TEST

/* Guards against a peer's proof of a configuration that this entry doesn't have. */
START_TEST (test_a_peer_with_a_newer_version_proves_nothing)
{
  open_fleet (NULL);
  kill (proxy->pid, SIGSTOP);
  fleet_configure_routes (&fleet, N_TOO_MANY_ROUTES, "photos");
  g_usleep (REVOKE_TIME);
  ck_assert_int_lt (fleet_read_metric (entry, "anvil_routes_version"), fleet.version);
  assert_status_for (KEY_A, 503, ANVIL_SECOND);
  ck_assert_uint_eq (request_status ("/view/1", "unknown"), 503);
  ck_assert_uint_eq (request_status ("/view/1", ""), 401);
  ck_assert_uint_eq (request_status ("/open/1", KEY_A), 200);
}
END_TEST

/* Guards against an entry that serves a key for as long as it knows nothing newer. */
START_TEST (test_an_entry_that_is_cut_off_refuses_all_keys_in_time)
{
  int kept;

  open_fleet (NULL);
  kept = fleet_connect (entry->caller_port);
  send_request (kept, "/view/1", KEY_A);
  ck_assert_uint_eq (read_status (kept), 200);
  kill (peer->pid, SIGSTOP);
  kill (proxy->pid, SIGSTOP);
  fleet_configure (&fleet, ONLY_B);
  g_usleep (REVOKE_TIME);
  send_request (kept, "/view/1", KEY_A);
  ck_assert_uint_eq (read_status (kept), 503);
  assert_status_for (KEY_A, 503, ANVIL_SECOND / 2);
  ck_assert_uint_eq (request_status ("/view/1", KEY_B), 503);
  ck_assert_uint_eq (request_status ("/view/1", "unknown"), 503);
  ck_assert_uint_eq (request_status ("/open/1", KEY_A), 200);
  ck_assert (!is_ready ());
  ck_assert_int_gt (fleet_read_metric (entry, "anvil_keyed_refusals_total"), 0);
  kill (proxy->pid, SIGCONT);
  kill (peer->pid, SIGCONT);
  wait_for_status (KEY_B, 200, RECOVERY_TIME);
  send_request (kept, "/view/1", KEY_A);
  ck_assert_uint_eq (read_status (kept), 401);
  close (kept);
}
END_TEST

/* Guards against requests that are read after a pause with what was known before it. */
START_TEST (test_an_entry_that_was_suspended_refuses_keys_until_it_knows_the_configuration)
{
  int kept;
  guint status;

  open_fleet (NULL);
  kept = fleet_connect (entry->caller_port);
  send_request (kept, "/view/1", KEY_A);
  ck_assert_uint_eq (read_status (kept), 200);
  kill (entry->pid, SIGSTOP);
  kill (peer->pid, SIGSTOP);
  kill (proxy->pid, SIGSTOP);
  fleet_configure (&fleet, ONLY_B);
  g_usleep (REVOKE_TIME);
  send_request (kept, "/view/1", KEY_A);
  kill (entry->pid, SIGCONT);
  status = read_status (kept);
  ck_assert_msg (status == 503 || status == 401, "%u", status);
  ck_assert_uint_eq (request_status ("/view/1", KEY_A), 503);
  kill (proxy->pid, SIGCONT);
  kill (peer->pid, SIGCONT);
  wait_for_status (KEY_A, 401, RECOVERY_TIME);
  close (kept);
}
END_TEST

START_TEST (test_an_entry_that_has_restarted_beside_a_silent_store_refuses_keys_with_503)
{
  int fd;

  open_fleet (NULL);
  fleet_kill_entry (entry, SIGKILL);
  kill (proxy->pid, SIGSTOP);
  fleet_configure (&fleet, ONLY_B);
  fleet_start_entry (&fleet, entry);
  while ((fd = fleet_connect (entry->caller_port)) < 0)
    g_usleep (POLL_US);
  close (fd);
  assert_status_for (KEY_A, 503, REVOKE_TIME);
  kill (proxy->pid, SIGCONT);
  wait_for_status (KEY_A, 401, RECOVERY_TIME);
  ck_assert_uint_eq (request_status ("/view/1", KEY_B), 200);
}
END_TEST

/* Guards against a proof that is looked at only when a request arrives. */
START_TEST (test_a_request_that_waits_for_a_slot_is_not_sent_once_the_proof_is_old)
{
  int running;
  int waiting;

  open_fleet ("--slots 1 --queue 1");
  kill (peer->pid, SIGSTOP);
  kill (proxy->pid, SIGSTOP);
  while (fleet_read_metric (entry, "anvil_config_proof_age_seconds") < 2)
    g_usleep (POLL_US);
  /* The first request is sent with a proof of 2.3 s, and ends with one of 2.9 s. */
  g_usleep (250 * ANVIL_MS);
  running = fleet_connect (entry->caller_port);
  waiting = fleet_connect (entry->caller_port);
  send_request (running, "/view/1?work=600", KEY_A);
  g_usleep (100 * ANVIL_MS);
  fleet_send (waiting, "GET /view/1 HTTP/1.1\r\nHost: " FLEET_HOST
                       "\r\nRequest-Id: waiting\r\nApi-Key: " KEY_A "\r\n\r\n");
  ck_assert_uint_eq (read_status (running), 200);
  ck_assert_uint_eq (read_status (waiting), 503);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "waiting"), 0);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_keyed_refusals_total"), 1);
  close (running);
  close (waiting);
}
END_TEST

/* A configuration with tenants that a peer doesn't send. */
static void
configure_too_long (void)
{
  GString *more = g_string_new (BOTH ",{\"resourceKind\":\"novel\",\"spec\":{\"text\":\"");

  for (guint i = 0; i < TOO_MANY_BYTES / 8; i++)
    g_string_append_printf (more, "%08x", g_random_int ());
  g_string_append (more, "\"}}");
  fleet_configure (&fleet, more->str);
  g_string_free (more, TRUE);
}

/* Guards against callers that are sent to entries which can't serve them, or to none. */
START_TEST (test_look_ups_leave_out_entries_with_old_proofs_unless_all_are)
{
  const anvil_time_t until = anvil_clock_now () + RECOVERY_TIME;

  open_fleet (NULL);
  ck_assert (looks_up (peer, entry) && looks_up (entry, entry));
  kill (proxy->pid, SIGSTOP);
  configure_too_long ();
  g_usleep (REVOKE_TIME);
  ck_assert (!looks_up (peer, entry) && looks_up (peer, peer));
  ck_assert (!looks_up (entry, entry) && looks_up (entry, peer));
  fleet_set_store_fault (&fleet, "silent", 600000);
  while (!looks_up (peer, entry) || !looks_up (entry, entry) || !looks_up (entry, peer))
    {
      ck_assert (anvil_clock_now () < until);
      g_usleep (POLL_US);
    }
}
END_TEST

/* Requests with a key that was taken away, for a while; an entry that starts refuses connections at
 * first. */
static void
assert_never_served (const char *key, anvil_time_t duration)
{
  const anvil_time_t until = anvil_clock_now () + duration;

  while (anvil_clock_now () < until)
    {
      int fd = fleet_connect (entry->caller_port);

      if (fd >= 0)
        {
          send_request (fd, "/view/1", key);
          ck_assert_uint_ne (read_status (fd), 200);
          close (fd);
        }
      g_usleep (POLL_US);
    }
}

/* Guards against a key that works again at an entry which starts after a drill: the store has lost
 * the configuration without it, and the peers, which have restarted since, keep no changes of it.
 */
START_TEST (test_a_key_that_was_taken_away_stays_so_after_a_drill)
{
  anvil_time_t copied_at;

  fleet_open_at_era (&fleet, 3);
  fleet.more_bounds = STRICT;
  fleet_add_upstream (&fleet, "west", "photos", NULL);
  fleet_configure (&fleet, BOTH);
  peer = fleet_add_entry (&fleet, "e0", "west-a");
  proxy = fleet_add_store_proxy (&fleet, 0);
  entry = fleet_add_entry (&fleet, "e1", "west-b");
  fleet_wait_ready (peer);
  fleet_wait_ready (entry);
  wait_for_status (KEY_A, 200, RECOVERY_TIME);
  copied_at = anvil_clock_now ();
  g_usleep (COPY_MARGIN_US);
  fleet_configure (&fleet, ONLY_B);
  wait_for_status (KEY_A, 401, REVOKE_TIME);
  fleet_kill_entry (peer, SIGKILL);
  fleet_start_entry (&fleet, peer);
  fleet_wait_ready (peer);
  g_usleep (REVOKE_TIME);
  fleet_kill_entry (entry, SIGKILL);
  fleet_start_drill (&fleet, AWAY_MS, (guint) ((anvil_clock_now () - copied_at) / ANVIL_MS),
                     REWRITE_MS);
  g_usleep (2 * AWAY_US);
  fleet_start_entry (&fleet, entry);
  assert_never_served (KEY_A, RECOVERY_TIME / 2);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_routes_version"), 2);
  wait_for_status (KEY_B, 200, RECOVERY_TIME);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-revocation");
  TCase *tests = tcase_create ("relay-revocation");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, NULL, tear_down);
  tcase_set_timeout (tests, 90);
  tcase_add_test (tests, test_an_entry_that_only_reaches_peers_knows_of_each_key);
  tcase_add_test (tests, test_a_peer_with_a_newer_version_proves_nothing);
  tcase_add_test (tests, test_an_entry_that_is_cut_off_refuses_all_keys_in_time);
  tcase_add_test (tests,
                  test_an_entry_that_was_suspended_refuses_keys_until_it_knows_the_configuration);
  tcase_add_test (tests,
                  test_an_entry_that_has_restarted_beside_a_silent_store_refuses_keys_with_503);
  tcase_add_test (tests, test_a_request_that_waits_for_a_slot_is_not_sent_once_the_proof_is_old);
  tcase_add_test (tests, test_look_ups_leave_out_entries_with_old_proofs_unless_all_are);
  tcase_add_test (tests, test_a_key_that_was_taken_away_stays_so_after_a_drill);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
