/* Entries, store and upstreams as processes: what callers receive while some of them fail. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

static fleet_t fleet;
static fleet_entry_t *entry;

static void
set_up (void)
{
  fleet_open (&fleet);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

/* One entry, two upstreams and the default routes. */
static void
start_default_deployment (void)
{
  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_add_upstream (&fleet, "u2", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
}

static void
assert_status (const char *method, const char *path, const char *id, guint status)
{
  char *response = fleet_request (entry->caller_port, method, path, id);

  ck_assert_msg (fleet_response_status (response) == status, "%s %s: %s", method, path, response);
  g_free (response);
}

/* Waits until a request gets @status. */
static void
wait_status (guint16 port, const char *path, guint status)
{
  anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  guint last = 0;

  for (guint i = 0; anvil_clock_now () < until; i++)
    {
      char *id = g_strdup_printf ("wait-%u", i);
      char *response = fleet_request (port, "GET", path, id);

      last = fleet_response_status (response);
      g_free (response);
      g_free (id);
      if (last == status)
        return;
      g_usleep (50000);
    }
  ck_abort_msg ("%s gave %u, never %u", path, last, status);
}

START_TEST (test_request_and_response_are_passed_unchanged)
{
  char *response;

  start_default_deployment ();
  response = fleet_request (entry->caller_port, "GET", "/view/1?a=b%20c", "id-1");
  ck_assert_uint_eq (fleet_response_status (response), 200);
  ck_assert_ptr_nonnull (strstr (response, "Server-Stamp: u"));
  ck_assert_ptr_nonnull (strstr (response, "Request-Id: id-1\r\n"));
  ck_assert_ptr_nonnull (strstr (fleet_response_body (response), " /view/1?a=b%20c id-1 0"));
  g_free (response);
  assert_status ("GET", "/nowhere/", "id-2", 404);
}
END_TEST

START_TEST (test_requests_without_a_configuration_get_503_and_not_404)
{
  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  wait_status (entry->caller_port, "/view/1", 503);
  fleet_configure (&fleet, NULL);
  wait_status (entry->caller_port, "/view/1", 200);
}
END_TEST

START_TEST (test_pipelined_responses_are_in_the_order_of_the_requests)
{
  char *first;
  char *second;
  int fd;

  start_default_deployment ();
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd,
              "GET /view/slow?work=300 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: s\r\n\r\n"
              "GET /view/fast?work=1 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: f\r\n\r\n");
  first = fleet_read_response (fd);
  second = fleet_read_response (fd);
  ck_assert_ptr_nonnull (strstr (fleet_response_body (first), "/view/slow"));
  ck_assert_ptr_nonnull (strstr (fleet_response_body (second), "/view/fast"));
  g_free (first);
  g_free (second);
  close (fd);
}
END_TEST

START_TEST (test_chunked_bodies_reach_the_upstream_whole)
{
  char *response;
  int fd;

  start_default_deployment ();
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "POST /pay/1 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: c\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n");
  response = fleet_read_response (fd);
  ck_assert_ptr_nonnull (strstr (fleet_response_body (response), "/pay/1 c 8"));
  g_free (response);
  close (fd);
}
END_TEST

START_TEST (test_unsafe_requests_run_once_if_the_response_is_lost)
{
  static const char *const faults[] = { "reset", "truncate", "garbage", "unsigned" };

  start_default_deployment ();
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *path = g_strdup_printf ("/pay/1?fault=%s", faults[i]);

      assert_status ("POST", path, faults[i], 502);
      ck_assert_uint_eq (fleet_count_runs (&fleet, faults[i]), 1);
      g_free (path);
    }
}
END_TEST

START_TEST (test_safe_requests_are_retried_on_another_upstream)
{
  start_default_deployment ();
  assert_status ("GET", "/view/1?fault=reset", "twice", 502);
  ck_assert_uint_ge (fleet_count_runs (&fleet, "twice"), 2);
  ck_assert_uint_le (fleet_count_runs (&fleet, "twice"), 3);
}
END_TEST

START_TEST (test_failure_responses_of_upstreams_are_passed_on)
{
  start_default_deployment ();
  assert_status ("POST", "/pay/1?fault=error", "failed", 500);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "failed"), 1);
}
END_TEST

START_TEST (test_unframed_responses_and_those_after_a_stray_one_are_delivered)
{
  char *response;

  start_default_deployment ();
  response = fleet_request (entry->caller_port, "POST", "/pay/1?fault=unframed", "n");
  ck_assert_uint_eq (fleet_response_status (response), 200);
  ck_assert_ptr_nonnull (strstr (fleet_response_body (response), "/pay/1?fault=unframed n 0"));
  g_free (response);
  response = fleet_request (entry->caller_port, "POST", "/pay/1?fault=stray", "m");
  ck_assert_uint_eq (fleet_response_status (response), 200);
  ck_assert_ptr_nonnull (strstr (fleet_response_body (response), "/pay/1?fault=stray m 0"));
  g_free (response);
}
END_TEST

START_TEST (test_a_request_ends_at_the_timeout)
{
  anvil_time_t sent_at;

  start_default_deployment ();
  sent_at = anvil_clock_now ();
  assert_status ("POST", "/pay/1?work=5000", "long", 504);
  ck_assert_int_ge (anvil_clock_now () - sent_at, 1400 * ANVIL_MS);
}
END_TEST

START_TEST (test_malformed_requests_are_refused_and_do_not_affect_others)
{
  static const char *const inputs[] = {
    "nonsense\r\n\r\n",
    "GET /view/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    "GET /view/1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    "GET /view/1 HTTP/1.1\r\nHost a\r\n\r\n",
    "POST /pay/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST /pay/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
  };

  start_default_deployment ();
  for (gsize i = 0; i < G_N_ELEMENTS (inputs); i++)
    {
      int fd = fleet_connect (entry->caller_port);
      char *response;

      fleet_send (fd, "%s", inputs[i]);
      response = fleet_read_response (fd);
      ck_assert_msg (fleet_response_status (response) >= 400
                         && fleet_response_status (response) < 500,
                     "%zu: %s", i, response);
      g_free (response);
      close (fd);
      assert_status ("GET", "/view/1", inputs[i][0] == 'n' ? "a" : "b", 200);
    }
}
END_TEST

/* Starts an upload of 64 MB and sends so many megabytes of it. */
static int
begin_upload (const char *id, guint megabytes)
{
  char *piece = g_strnfill (1 << 20, 'x');
  int fd = fleet_connect (entry->caller_port);

  fleet_send (fd,
              "POST /pay/1 HTTP/1.1\r\nHost: " FLEET_HOST
              "\r\nRequest-Id: %s\r\nContent-Length: 67108864\r\n\r\n",
              id);
  for (guint i = 0; i < megabytes; i++)
    fleet_send (fd, "%s", piece);
  g_free (piece);
  return fd;
}

START_TEST (test_bodies_beyond_the_memory_limit_are_refused)
{
  char *response;
  int first;
  int second;

  /* The memory limit is 256 MB, of which a quarter is for bodies. */
  start_default_deployment ();
  first = begin_upload ("first", 40);
  while (fleet_read_metric (entry, "anvil_buffered_bytes") < 40 << 20)
    g_usleep (20000);
  second = begin_upload ("second", 30);
  response = fleet_read_response (second);
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  g_free (response);
  close (second);
  close (first);
  for (guint i = 0; i < 250 && fleet_read_metric (entry, "anvil_buffered_bytes") > 0; i++)
    g_usleep (20000);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_buffered_bytes"), 0);
  assert_status ("POST", "/pay/1", "small", 200);
}
END_TEST

START_TEST (test_headers_beyond_the_limit_are_refused)
{
  char *filler = g_strnfill (20000, 'x');
  char *response;
  int fd;

  start_default_deployment ();
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "GET /view/1 HTTP/1.1\r\nHost: a\r\nFiller: %s\r\n\r\n", filler);
  response = fleet_read_response (fd);
  ck_assert_uint_eq (fleet_response_status (response), 431);
  g_free (response);
  g_free (filler);
  close (fd);
}
END_TEST

START_TEST (test_a_newer_configuration_takes_effect_only_if_it_is_valid)
{
  start_default_deployment ();
  assert_status ("GET", "/new/1", "before", 404);
  fleet_configure (
      &fleet, "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"new\"},\"spec\":{\"host\":"
              "\"" FLEET_HOST "\",\"prefix\":\"/new/\",\"kind\":\"safe\",\"service\":\"photos\","
              "\"maxAttempts\":1}}");
  wait_status (entry->caller_port, "/new/1", 200);
  fleet_configure_raw (&fleet, "{\"version\":99,\"resources\":[{\"resourceKind\":\"routes\"}]}");
  fleet_configure_raw (&fleet, "{\"version\":100,");
  g_usleep (300000);
  assert_status ("GET", "/new/1", "kept", 200);
  fleet_configure (&fleet, NULL);
  wait_status (entry->caller_port, "/new/1", 404);
}
END_TEST

START_TEST (test_no_request_is_sent_to_a_draining_upstream)
{
  standin_t *first;
  char *response;

  start_default_deployment ();
  first = fleet.upstreams->pdata[0];
  kill (first->pid, SIGTERM);
  g_usleep (1700000);
  for (guint i = 0; i < 20; i++)
    {
      response = fleet_request (entry->caller_port, "GET", "/view/1", "drain");
      ck_assert_uint_eq (fleet_response_status (response), 200);
      ck_assert_ptr_nonnull (strstr (response, "Server-Stamp: u2"));
      g_free (response);
    }
}
END_TEST

START_TEST (test_invalid_upstream_rows_are_ignored)
{
  static const char *const rows[] = {
    "not JSON",
    "{}",
    "{\"address\":5,\"info\":[],\"status\":null}",
    "{\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"photos\",\"zone\":\"west-a\",\"slots\":"
    "\"3\"},"
    "\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"photos\",\"zone\":\"west-a\",\"slots\":3}"
    ","
    "\"status\":{\"state\":\"odd\"}}",
  };

  start_default_deployment ();
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *key = g_strdup_printf ("foreign-%zu", i);

      fleet_put_row (&fleet, "servers", key, rows[i]);
      g_free (key);
    }
  g_usleep (1300000);
  for (guint i = 0; i < 20; i++)
    assert_status ("GET", "/view/1", "foreign", 200);
}
END_TEST

START_TEST (test_requests_are_served_during_an_outage_of_the_store)
{
  static const char *const kinds[] = { "busy", "silent" };

  start_default_deployment ();
  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      fleet_set_store_fault (&fleet, kinds[i], 4000);
      for (guint j = 0; j < 30; j++)
        {
          assert_status ("GET", "/view/1", "away", 200);
          g_usleep (100000);
        }
      fleet_set_store_fault (&fleet, "none", 0);
    }
}
END_TEST

START_TEST (test_a_configuration_written_after_an_outage_takes_effect_soon)
{
  anvil_time_t recovered_at;

  start_default_deployment ();
  fleet_set_store_fault (&fleet, "silent", 60000);
  /* The long poll under way times out, and the store accepts the next one and never answers it. */
  g_usleep (6000000);
  fleet_set_store_fault (&fleet, "none", 0);
  recovered_at = anvil_clock_now ();
  fleet_configure (
      &fleet, "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"new\"},\"spec\":{\"host\":"
              "\"" FLEET_HOST "\",\"prefix\":\"/new/\",\"kind\":\"safe\",\"service\":\"photos\","
              "\"maxAttempts\":1}}");
  wait_status (entry->caller_port, "/new/1", 200);
  ck_assert_int_lt (anvil_clock_now () - recovered_at, 2500 * ANVIL_MS);
}
END_TEST

START_TEST (test_a_configuration_written_after_an_outage_takes_effect_soon_at_all_entries)
{
  fleet_entry_t *entries[3];
  anvil_time_t recovered_at;

  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, "west-a");
      g_free (name);
    }
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    fleet_wait_ready (entries[i]);
  for (guint round = 0; round < 3; round++)
    {
      char *route = g_strdup_printf (
          "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"new\"},\"spec\":{\"host\":"
          "\"" FLEET_HOST "\",\"prefix\":\"/new%u/\",\"kind\":\"safe\",\"service\":\"photos\","
          "\"maxAttempts\":1}}",
          round);
      char *path = g_strdup_printf ("/new%u/1", round);

      g_usleep (2500000);
      fleet_set_store_fault (&fleet, "silent", 60000);
      g_usleep (3700000 + round * 900000);
      fleet_set_store_fault (&fleet, "none", 0);
      recovered_at = anvil_clock_now ();
      fleet_configure (&fleet, route);
      for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
        wait_status (entries[i]->caller_port, path, 200);
      ck_assert_int_lt (anvil_clock_now () - recovered_at, 2500 * ANVIL_MS);
      g_free (path);
      g_free (route);
    }
}
END_TEST

START_TEST (test_a_response_that_arrived_while_the_entry_was_suspended_is_delivered)
{
  char *response;
  int fd;

  start_default_deployment ();
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "POST /pay/1?work=500 HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: still\r\nContent-Length: 0\r\n\r\n");
  g_usleep (200000);
  kill (entry->pid, SIGSTOP);
  g_usleep (2500000);
  kill (entry->pid, SIGCONT);
  response = fleet_read_response (fd);
  ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
  g_free (response);
  close (fd);
}
END_TEST

START_TEST (test_the_table_is_read_again_if_the_store_discards_its_history)
{
  start_default_deployment ();
  fleet_set_store_fault (&fleet, "compact", 0);
  fleet_configure (
      &fleet, "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"new\"},\"spec\":{\"host\":"
              "\"" FLEET_HOST "\",\"prefix\":\"/new/\",\"kind\":\"safe\",\"service\":\"photos\","
              "\"maxAttempts\":1}}");
  fleet_set_store_fault (&fleet, "compact", 0);
  wait_status (entry->caller_port, "/new/1", 200);
}
END_TEST

START_TEST (test_a_disconnected_caller_releases_the_slot)
{
  int fds[6];

  fleet_add_upstream (&fleet, "u1", "photos", "--slots 3");
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = fleet_connect (entry->caller_port);
      fleet_send (
          fds[i],
          "GET /view/1?work=60000 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: g%zu\r\n\r\n", i);
    }
  g_usleep (100000);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
  assert_status ("GET", "/view/1?work=1", "after", 200);
}
END_TEST

START_TEST (test_an_entry_in_shutdown_responds_and_refuses_late_requests)
{
  char *response;
  int running;
  int kept;
  int status;

  start_default_deployment ();
  kept = fleet_connect (entry->caller_port);
  running = fleet_connect (entry->caller_port);
  fleet_send (running, "POST /pay/1?work=1200 HTTP/1.1\r\nHost: " FLEET_HOST
                       "\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n");
  g_usleep (100000);
  kill (entry->pid, SIGTERM);
  g_usleep (100000);
  assert_status ("GET", "/view/1", "soon", 200);
  response = fleet_read_response (running);
  ck_assert_uint_eq (fleet_response_status (response), 200);
  ck_assert_ptr_nonnull (strstr (response, "Connection: close"));
  g_free (response);
  /* Keeps the process running after the time during which it accepts requests. */
  close (running);
  running = fleet_connect (entry->caller_port);
  g_usleep (700000);
  fleet_send (running, "POST /pay/1?work=1200 HTTP/1.1\r\nHost: " FLEET_HOST
                       "\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n");
  g_usleep (800000);
  fleet_send (kept, "GET /view/1 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: late\r\n\r\n");
  response = fleet_read_response (kept);
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_ptr_nonnull (strstr (response, "Retry-After: "));
  g_free (response);
  response = fleet_read_response (running);
  ck_assert_uint_eq (fleet_response_status (response), 200);
  g_free (response);
  close (running);
  close (kept);
  waitpid (entry->pid, &status, 0);
  entry->pid = 0;
  ck_assert_int_eq (status, 0);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "late"), 0);
}
END_TEST

START_TEST (test_requests_are_served_after_the_loss_of_any_entry)
{
  fleet_entry_t *entries[3];

  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entries[0] = fleet_add_entry (&fleet, "e1", "west-a");
  entries[1] = fleet_add_entry (&fleet, "e2", "west-b");
  entries[2] = fleet_add_entry (&fleet, "e3", "east-a");
  for (guint i = 0; i < 3; i++)
    fleet_wait_ready (entries[i]);
  for (guint lost = 0; lost < 3; lost++)
    {
      fleet_kill_entry (entries[lost], SIGKILL);
      for (guint i = 0; i < 3; i++)
        {
          if (i != lost)
            wait_status (entries[i]->caller_port, "/view/1", 200);
        }
      fleet_start_entry (&fleet, entries[lost]);
      fleet_wait_ready (entries[lost]);
    }
}
END_TEST

START_TEST (test_one_entry_reads_the_upstreams_of_its_region)
{
  fleet_entry_t *entries[4];
  guint before;

  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, i % 2 == 0 ? "west-a" : "west-b");
      g_free (name);
    }
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    fleet_wait_ready (entries[i]);
  /* Until the entries have found each other and chosen the reader. */
  g_usleep (3000000);
  before = fleet_count_change_reads (&fleet, "servers");
  g_usleep (5000000);
  /* One call per second; four entries reading for themselves would make twenty. */
  ck_assert_uint_le (fleet_count_change_reads (&fleet, "servers") - before, 8);
  ck_assert_uint_ge (fleet_count_change_reads (&fleet, "servers") - before, 3);
}
END_TEST

START_TEST (test_a_drain_is_known_although_an_entry_of_the_region_is_lost)
{
  fleet_entry_t *entries[3];

  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, "west-a");
      g_free (name);
    }
  for (guint i = 0; i < G_N_ELEMENTS (entries); i++)
    fleet_wait_ready (entries[i]);
  for (guint lost = 0; lost < G_N_ELEMENTS (entries); lost++)
    {
      char *id = g_strdup_printf ("n%u", lost);
      standin_t *leaving = fleet.upstreams->pdata[fleet.upstreams->len - 1];
      char *stamp = g_strdup_printf ("Server-Stamp: %s", id);

      g_usleep (2500000);
      fleet_add_upstream (&fleet, id, "photos", NULL);
      g_usleep (1500000);
      fleet_kill_entry (entries[lost], SIGKILL);
      kill (leaving->pid, SIGTERM);
      g_usleep (2600000);
      for (guint i = 0; i < 2 * G_N_ELEMENTS (entries); i++)
        {
          const fleet_entry_t *up = entries[i % G_N_ELEMENTS (entries)];
          char *response
              = up->pid != 0 ? fleet_request (up->caller_port, "GET", "/view/1", "d") : NULL;

          ck_assert_msg (response == NULL || strstr (response, stamp) != NULL, "%s", response);
          g_free (response);
        }
      fleet_start_entry (&fleet, entries[lost]);
      fleet_wait_ready (entries[lost]);
      g_free (stamp);
      g_free (id);
    }
}
END_TEST

START_TEST (test_look_ups_name_running_entries_of_the_callers_region)
{
  anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  fleet_entry_t *east;
  char *address;
  gboolean named = TRUE;

  start_default_deployment ();
  east = fleet_add_entry (&fleet, "e2", "east-a");
  fleet_wait_ready (east);
  address = g_strdup_printf ("\"127.0.0.1:%u\"", east->caller_port);
  while (anvil_clock_now () < until)
    {
      char *response = fleet_request (entry->lookup_port, "GET",
                                      "/-/resolve?name=x&region=east&zone=east-a", "l");

      named = strstr (response, address) != NULL && strstr (response, ",\"127") == NULL;
      g_free (response);
      if (named)
        break;
      g_usleep (50000);
    }
  ck_assert (named);
  fleet_kill_entry (east, SIGKILL);
  while (named && anvil_clock_now () < until)
    {
      char *response = fleet_request (entry->lookup_port, "GET",
                                      "/-/resolve?name=x&region=east&zone=east-a", "l");

      named = strstr (response, address) != NULL;
      g_free (response);
      g_usleep (50000);
    }
  ck_assert (!named);
  g_free (address);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-process");
  TCase *tests = tcase_create ("relay-process");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_request_and_response_are_passed_unchanged);
  tcase_add_test (tests, test_requests_without_a_configuration_get_503_and_not_404);
  tcase_add_test (tests, test_pipelined_responses_are_in_the_order_of_the_requests);
  tcase_add_test (tests, test_chunked_bodies_reach_the_upstream_whole);
  tcase_add_test (tests, test_unsafe_requests_run_once_if_the_response_is_lost);
  tcase_add_test (tests, test_safe_requests_are_retried_on_another_upstream);
  tcase_add_test (tests, test_failure_responses_of_upstreams_are_passed_on);
  tcase_add_test (tests, test_unframed_responses_and_those_after_a_stray_one_are_delivered);
  tcase_add_test (tests, test_a_request_ends_at_the_timeout);
  tcase_add_test (tests, test_malformed_requests_are_refused_and_do_not_affect_others);
  tcase_add_test (tests, test_bodies_beyond_the_memory_limit_are_refused);
  tcase_add_test (tests, test_headers_beyond_the_limit_are_refused);
  tcase_add_test (tests, test_a_newer_configuration_takes_effect_only_if_it_is_valid);
  tcase_add_test (tests, test_no_request_is_sent_to_a_draining_upstream);
  tcase_add_test (tests, test_invalid_upstream_rows_are_ignored);
  tcase_add_test (tests, test_requests_are_served_during_an_outage_of_the_store);
  tcase_add_test (tests, test_a_configuration_written_after_an_outage_takes_effect_soon);
  tcase_add_test (tests,
                  test_a_configuration_written_after_an_outage_takes_effect_soon_at_all_entries);
  tcase_add_test (tests, test_a_response_that_arrived_while_the_entry_was_suspended_is_delivered);
  tcase_add_test (tests, test_the_table_is_read_again_if_the_store_discards_its_history);
  tcase_add_test (tests, test_a_disconnected_caller_releases_the_slot);
  tcase_add_test (tests, test_an_entry_in_shutdown_responds_and_refuses_late_requests);
  tcase_add_test (tests, test_requests_are_served_after_the_loss_of_any_entry);
  tcase_add_test (tests, test_one_entry_reads_the_upstreams_of_its_region);
  tcase_add_test (tests, test_a_drain_is_known_although_an_entry_of_the_region_is_lost);
  tcase_add_test (tests, test_look_ups_name_running_entries_of_the_callers_region);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
