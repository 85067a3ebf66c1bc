/* Entry, store and upstreams as processes: planned stops under load, upstreams that answer twice or
 * without end, responses that are lost, and an entry that is silent for a while. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

/* Memory limit in the settings of helper-fleet.c, and the part of it for responses. */
#define MEMORY_BYTES (256u << 20)
#define RESPONSE_MEMORY_BYTES (MEMORY_BYTES / 8)

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

static void
start_deployment (guint n_upstreams, const char *upstream_flags)
{
  for (guint i = 0; i < n_upstreams; i++)
    {
      char *id = g_strdup_printf ("u%u", i);

      fleet_add_upstream (&fleet, id, "photos", upstream_flags);
      g_free (id);
    }
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
}

static void
send_request (int fd, const char *method, const char *path, const char *id)
{
  fleet_send (fd,
              "%s %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: %s\r\nContent-Length: 0\r\n"
              "\r\n",
              method, path, id);
}

static void
assert_status (const char *method, const char *path, const char *id, guint status)
{
  char *response = fleet_request (entry->caller_port, method, path, id);

  ck_assert_msg (fleet_response_status (response) == status, "%s %s: %s", method, path, response);
  g_free (response);
}

/* Connections of each kind at a planned stop. */
#define N_CONNECTIONS 60
#define N_STOPS 3

/* Reads the response to a request that was sent before the stop. A refusal must be true. */
static void
assert_complete (int fd, const char *kind, guint number, guint round)
{
  char *id = g_strdup_printf ("%s-%u-%u", kind, round, number);
  char *response = fleet_read_response (fd);
  guint status = fleet_response_status (response);
  const char *expected = g_strdup_printf (" %s ", id);

  ck_assert_msg (status == 200 || status == 503, "%s: \"%s\"", id, response);
  if (status == 200)
    ck_assert_msg (strstr (response, expected) != NULL, "%s: %s", id, response);
  else
    ck_assert_uint_eq (fleet_count_runs (&fleet, id), 0);
  g_free ((char *) expected);
  g_free (response);
  g_free (id);
}

static void
send_numbered (int fd, const char *path, const char *kind, guint number, guint round)
{
  char *id = g_strdup_printf ("%s-%u-%u", kind, round, number);

  send_request (fd, "POST", path, id);
  g_free (id);
}

/* Requests under way, behind them on the same connection, with half of a body read, and on new
 * connections in the last millisecond before the stop. */
START_TEST (test_a_planned_stop_under_load_cuts_off_no_request)
{
  start_deployment (4, "--slots 200 --queue 1000");
  for (guint round = 0; round < N_STOPS; round++)
    {
      int pipelined[N_CONNECTIONS];
      int uploads[N_CONNECTIONS];
      int new[N_CONNECTIONS];
      int status;

      for (guint i = 0; i < N_CONNECTIONS; i++)
        {
          pipelined[i] = fleet_connect (entry->caller_port);
          send_numbered (pipelined[i], "/pay/1?work=400", "running", i, round);
          send_numbered (pipelined[i], "/pay/1?work=100", "behind", i, round);
          uploads[i] = fleet_connect (entry->caller_port);
          fleet_send (uploads[i],
                      "POST /pay/1 HTTP/1.1\r\nHost: " FLEET_HOST
                      "\r\nRequest-Id: upload-%u-%u\r\nContent-Length: 8\r\n\r\nhalf",
                      round, i);
        }
      for (guint i = 0; i < N_CONNECTIONS; i++)
        {
          new[i] = fleet_connect (entry->caller_port);
          send_numbered (new[i], "/pay/1?work=50", "new", i, round);
        }
      kill (entry->pid, SIGTERM);
      for (guint i = 0; i < N_CONNECTIONS; i++)
        fleet_send (uploads[i], "half");
      for (guint i = 0; i < N_CONNECTIONS; i++)
        {
          assert_complete (pipelined[i], "running", i, round);
          assert_complete (pipelined[i], "behind", i, round);
          assert_complete (uploads[i], "upload", i, round);
          assert_complete (new[i], "new", i, round);
          close (pipelined[i]);
          close (uploads[i]);
          close (new[i]);
        }
      waitpid (entry->pid, &status, 0);
      entry->pid = 0;
      ck_assert_int_eq (status, 0);
      fleet_start_entry (&fleet, entry);
      fleet_wait_ready (entry);
    }
}
END_TEST

START_TEST (test_a_second_copy_of_a_response_reaches_no_other_caller)
{
  start_deployment (1, NULL);
  for (guint i = 0; i < 50; i++)
    {
      char *id = g_strdup_printf ("request-%u", i);
      char *expected = g_strdup_printf (" %s ", id);
      char *response = fleet_request (entry->caller_port, "POST",
                                      i % 2 == 0 ? "/pay/1?fault=copies" : "/pay/1", id);

      ck_assert_msg (fleet_response_status (response) == 200
                         && strstr (fleet_response_body (response), expected) != NULL,
                     "%s: %s", id, response);
      ck_assert_uint_eq (fleet_count_runs (&fleet, id), 1);
      g_free (response);
      g_free (expected);
      g_free (id);
    }
}
END_TEST

#define N_FLOODING 60
#define N_CALLERS 120

/* Peak resident memory of a process, bytes. */
static gsize
peak_memory (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int) pid);
  char *text = NULL;
  const char *line;
  gsize bytes;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmHWM:");
  ck_assert_ptr_nonnull (line);
  bytes = (gsize) g_ascii_strtoull (line + strlen ("VmHWM:"), NULL, 10) << 10;
  g_free (text);
  g_free (path);
  return bytes;
}

START_TEST (test_memory_is_bounded_while_many_upstreams_send_without_end)
{
  static const char *const paths[]
      = { "/view/1?fault=endless-body", "/pay/1?fault=endless-body", "/pay/1?fault=endless-head" };
  int fds[N_CALLERS];

  start_deployment (N_FLOODING, NULL);
  for (guint i = 0; i < N_CALLERS; i++)
    {
      char *id = g_strdup_printf ("flood-%u", i);

      fds[i] = fleet_connect (entry->caller_port);
      send_request (fds[i], i % 3 == 0 ? "GET" : "POST", paths[i % 3], id);
      g_free (id);
    }
  for (guint i = 0; i < N_CALLERS; i++)
    {
      char *response = fleet_read_response (fds[i]);
      guint status = fleet_response_status (response);

      ck_assert_msg (status == 502 || status == 503 || status == 504, "%s", response);
      g_free (response);
      close (fds[i]);
    }
  ck_assert_int_gt (fleet_read_metric (entry, "anvil_oversized_responses"), 0);
  ck_assert_int_le (fleet_read_metric (entry, "anvil_buffered_response_bytes"),
                    RESPONSE_MEMORY_BYTES);
#ifndef __SANITIZE_ADDRESS__
  ck_assert_uint_le (peak_memory (entry->pid), MEMORY_BYTES / 2);
#else
  ck_assert_uint_gt (peak_memory (entry->pid), 0);
#endif
}
END_TEST

/* Every other upstream is honest: its callers are served meanwhile. */
START_TEST (test_a_flooding_upstream_is_ejected_and_others_serve)
{
  guint served = 0;

  start_deployment (2, NULL);
  for (guint i = 0; i < 4; i++)
    assert_status ("POST", "/pay/1?fault=endless-body", "flood", 502);
  for (guint i = 0; i < 20; i++)
    {
      char *response = fleet_request (entry->caller_port, "GET", "/view/1", "after");

      served += fleet_response_status (response) == 200;
      g_free (response);
      g_usleep (100000);
    }
  ck_assert_uint_ge (served, 10);
}
END_TEST

/* The process stands still while its upstream works, and its peers take it for lost. */
START_TEST (test_a_task_of_a_silent_entry_runs_once_and_is_answered)
{
  fleet_entry_t *other;
  char *response;
  int fd;

  start_deployment (1, "--slots 1");
  other = fleet_add_entry (&fleet, "e2", "west-b");
  fleet_wait_ready (other);
  for (guint i = 0; i < 2; i++)
    {
      const fleet_entry_t *silent = i == 0 ? entry : other;
      const fleet_entry_t *active = i == 0 ? other : entry;
      const char *id = i == 0 ? "first" : "second";

      fd = fleet_connect (silent->caller_port);
      send_request (fd, "POST", "/pay/1?work=1000", id);
      g_usleep (200000);
      kill (silent->pid, SIGSTOP);
      for (guint j = 0; j < 10; j++)
        {
          response = fleet_request (active->caller_port, "GET", "/view/1?work=1", "meanwhile");
          ck_assert_uint_ne (fleet_response_status (response), 0);
          g_free (response);
          g_usleep (100000);
        }
      kill (silent->pid, SIGCONT);
      response = fleet_read_response (fd);
      ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
      ck_assert_uint_eq (fleet_count_runs (&fleet, id), 1);
      g_free (response);
      close (fd);
      g_usleep (1500000);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-troubles");
  TCase *tests = tcase_create ("relay-troubles");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_a_planned_stop_under_load_cuts_off_no_request);
  tcase_add_test (tests, test_a_second_copy_of_a_response_reaches_no_other_caller);
  tcase_add_test (tests, test_memory_is_bounded_while_many_upstreams_send_without_end);
  tcase_add_test (tests, test_a_flooding_upstream_is_ejected_and_others_serve);
  tcase_add_test (tests, test_a_task_of_a_silent_entry_runs_once_and_is_answered);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
