/* Entries that start together: what cold upstreams get before the entries know each other. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <sys/prctl.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"

#define N_ENTRIES 14
#define N_UPSTREAMS 3
#define COLD_PER_S 2.5
/* The platform's contract: a cold upstream gets at most this in any second; the factors are those
 * of the entries' settings. */
#define MAX_COLD_IN_A_SECOND ((guint) (COLD_PER_S * 1.5 + 5))
#define LOAD_US 3000000
#define COLD_FLAGS "--cold-ms 60000 --slots 30 --work-ms 20"
#define COLD_ROUTE                                                                                 \
  "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"cold\"},\"spec\":{\"host\":\"" FLEET_HOST \
  "\",\"prefix\":\"/cold/\",\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":600,"         \
  "\"priority\":1,\"service\":\"cold\",\"maxAttempts\":2,\"sticky\":false,"                        \
  "\"allowedRegions\":[]}},"                                                                       \
  "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"cold\"},"                               \
  "\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":330,\"coldStartS\":60,"                 \
  "\"coldPerS\":" G_STRINGIFY (COLD_PER_S) "}}"

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static char *run_logs[N_UPSTREAMS];
static pid_t callers[N_ENTRIES];

static void
set_up (void)
{
  static const char *const zones[] = { "west-a", "west-b", "east-a" };

  fleet_open (&fleet);
  fleet_configure (&fleet, COLD_ROUTE);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, zones[i % G_N_ELEMENTS (zones)]);
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
}

static void
tear_down (void)
{
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      if (callers[i] <= 0)
        continue;
      kill (callers[i], SIGKILL);
      waitpid (callers[i], NULL, 0);
      callers[i] = 0;
    }
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      if (run_logs[i] != NULL)
        g_unlink (run_logs[i]);
      g_clear_pointer (&run_logs[i], g_free);
    }
  fleet_close (&fleet);
}

static void
kill_entries (guint step)
{
  for (guint i = 0; i < N_ENTRIES; i += step)
    fleet_kill_entry (entries[i], SIGKILL);
}

static void
add_cold_upstreams (void)
{
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      char *id = g_strdup_printf ("cold-%u", i);
      char *flags;

      run_logs[i] = g_strdup_printf ("%s/%s", fleet.directory, id);
      flags = g_strdup_printf (COLD_FLAGS " --runs %s", run_logs[i]);
      fleet_add_upstream (&fleet, id, "cold", flags);
      g_free (flags);
      g_free (id);
    }
}

/* Requests one after the other until the process is killed. */
static void
run_caller (guint entry)
{
  for (guint i = 0;; i++)
    {
      char *path = g_strdup_printf ("/cold/%u", i);
      char *response = fleet_request (entries[entry]->caller_port, "GET", path, "load");

      if (fleet_response_status (response) != 200)
        g_usleep (5000);
      g_free (response);
      g_free (path);
    }
}

static void
start_callers (void)
{
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      callers[i] = fork ();
      if (callers[i] != 0)
        continue;
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      run_caller (i);
    }
}

/* The most runs of an upstream in any second. */
static guint
most_runs_in_a_second (const char *run_log)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  char *text = NULL;
  char **lines;
  guint most = 0;

  ck_assert (g_file_get_contents (run_log, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0, first = 0; lines[i] != NULL; i++)
    {
      gint64 at
          = g_str_has_prefix (lines[i], "run ") ? g_ascii_strtoll (lines[i] + 4, NULL, 10) : 0;

      if (at == 0)
        continue;
      g_array_append_val (times, at);
      while (at - g_array_index (times, gint64, first) >= ANVIL_SECOND)
        first++;
      most = MAX (most, times->len - first);
    }
  g_strfreev (lines);
  g_free (text);
  g_array_unref (times);
  return most;
}

/* Kills every @step-th entry, and restarts them with requests at all entries. */
static void
restart_under_load (guint step)
{
  kill_entries (step);
  add_cold_upstreams ();
  start_callers ();
  for (guint i = 0; i < N_ENTRIES; i += step)
    fleet_start_entry (&fleet, entries[i]);
  g_usleep (LOAD_US);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      guint most = most_runs_in_a_second (run_logs[i]);

      ck_assert_uint_le (most, MAX_COLD_IN_A_SECOND);
      ck_assert_uint_gt (most, 0);
    }
}

/* Guards against entries that each grant as the one holder until they know the others. */
START_TEST (test_entries_that_restart_together_keep_to_the_limit_of_cold_upstreams)
{
  restart_under_load (1);
}
END_TEST

START_TEST (test_entries_that_restart_beside_others_keep_to_the_limit_of_cold_upstreams)
{
  restart_under_load (2);
}
END_TEST

/* Guards against as many holders as entries while the store takes no writes: entries read each
 * other's addresses only after they had written their own. */
START_TEST (test_entries_find_each_other_while_the_store_refuses_writes)
{
  guint holders = 0;

  add_cold_upstreams ();
  kill_entries (1);
  fleet_set_store_fault (&fleet, "refuse-writes", 20000);
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_start_entry (&fleet, entries[i]);
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
  g_usleep (LOAD_US);
  for (guint i = 0; i < N_ENTRIES; i++)
    holders += fleet_read_metric (entries[i], "anvil_held_upstreams{service=\"cold\"}") > 0;
  ck_assert_uint_eq (holders, 1);
}
END_TEST

/* All others are in the store's list and don't answer. */
START_TEST (test_a_lone_entry_serves_cold_upstreams)
{
  guint served = 0;

  kill_entries (1);
  add_cold_upstreams ();
  fleet_start_entry (&fleet, entries[0]);
  fleet_wait_ready (entries[0]);
  for (guint i = 0; i < 5; i++)
    {
      char *response = fleet_request (entries[0]->caller_port, "GET", "/cold/1", "lone");

      served += fleet_response_status (response) == 200;
      g_free (response);
    }
  ck_assert_uint_gt (served, 0);
  ck_assert_int_eq (fleet_read_metric (entries[0], "anvil_knows_peers"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-start");
  TCase *tests = tcase_create ("relay-start");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_entries_that_restart_together_keep_to_the_limit_of_cold_upstreams);
  tcase_add_test (tests,
                  test_entries_that_restart_beside_others_keep_to_the_limit_of_cold_upstreams);
  tcase_add_test (tests, test_entries_find_each_other_while_the_store_refuses_writes);
  tcase_add_test (tests, test_a_lone_entry_serves_cold_upstreams);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
