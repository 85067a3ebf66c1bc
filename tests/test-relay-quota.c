/* Quotas of tenants with real entries: the bound over all of them, and no refusal below the rate.
 */

#include "helper-fleet.h"

#include <stdlib.h>
#include <sys/mman.h>
#include <sys/prctl.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"

#define N_ENTRIES 4
#define N_CALLERS 8
#define WINDOW (5 * ANVIL_SECOND)
/* (20 a second x 5 s + 20) x 1.1 + 20 */
#define MAX_IN_WINDOW 152
/* What the rate alone allows. */
#define MIN_IN_WINDOW 100
#define PRESSING_PER_S 170
#define BELOW_PER_S 16
#define LOAD_US 5500000

/** counts_t - statuses that callers got; shared between processes */
typedef struct
{
  guint answered;
  guint over_quota;
  guint without_time;
  guint other;
} counts_t;

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static char *run_log;
static pid_t callers[N_CALLERS];
static counts_t *counts;

static void
set_up (void)
{
  fleet_proxy_t *proxy;
  char *flags;

  counts = mmap (NULL, sizeof *counts, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  fleet_open (&fleet);
  fleet.more_bounds = ",\"quotaWindowS\":5,\"quotaOverage\":0.1,\"quotaSlack\":20";
  run_log = g_strdup_printf ("%s/runs", fleet.directory);
  flags = g_strdup_printf ("--slots 16 --work-ms 10 --warm-ms 10 --runs %s", run_log);
  fleet_add_upstream (&fleet, "u", "photos", flags);
  fleet_configure (&fleet,
                   "{\"resourceKind\":\"tenants\",\"metadata\":{\"name\":\"acme\"},\"spec\":"
                   "{\"apiKeys\":[\"acme-key\"],\"ratePerS\":20,\"burst\":20,"
                   "\"allowedRegions\":[]}}");
  proxy = fleet_add_store_proxy (&fleet, 0);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      fleet.entry_store_endpoint = i == 1 ? proxy->endpoint : NULL;
      entries[i] = fleet_add_entry (&fleet, name, i == 0 ? "east-a" : "west-a");
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
  g_free (flags);
}

static void
stop_callers (void)
{
  for (guint i = 0; i < N_CALLERS; i++)
    {
      if (callers[i] <= 0)
        continue;
      kill (callers[i], SIGKILL);
      waitpid (callers[i], NULL, 0);
      callers[i] = 0;
    }
}

static void
tear_down (void)
{
  stop_callers ();
  g_unlink (run_log);
  g_free (run_log);
  fleet_close (&fleet);
  munmap (counts, sizeof *counts);
}

static void
send_one (guint entry, guint number)
{
  int fd = fleet_connect (entries[entry]->caller_port);
  char *response;
  guint status;

  if (fd < 0)
    return;
  fleet_send (fd,
              "GET /view/%d-%u HTTP/1.1\r\nHost: " FLEET_HOST
              "\r\nApi-Key: acme-key\r\nRequest-Id: r-%d-%u\r\n\r\n",
              (int) getpid (), number, (int) getpid (), number);
  response = fleet_read_response (fd);
  status = fleet_response_status (response);
  if (status == 200)
    __atomic_add_fetch (&counts->answered, 1, __ATOMIC_RELAXED);
  else if (status != 429)
    __atomic_add_fetch (&counts->other, 1, __ATOMIC_RELAXED);
  else
    {
      __atomic_add_fetch (&counts->over_quota, 1, __ATOMIC_RELAXED);
      if (strstr (response, "Retry-After: ") == NULL)
        __atomic_add_fetch (&counts->without_time, 1, __ATOMIC_RELAXED);
    }
  g_free (response);
  close (fd);
}

/* Sends requests at times that don't depend on the responses, until the process is killed. */
static void
run_caller (guint entry, guint per_second)
{
  const gint64 interval = (gint64) G_USEC_PER_SEC * N_CALLERS / per_second;
  gint64 next = g_get_monotonic_time ();

  for (guint i = 0;; i++)
    {
      const gint64 wait = next - g_get_monotonic_time ();

      if (wait > 0)
        g_usleep ((gulong) wait);
      next = MAX (next + interval, g_get_monotonic_time () - interval);
      send_one (entry, i);
    }
}

static void
start_callers (guint per_second)
{
  for (guint i = 0; i < N_CALLERS; i++)
    {
      callers[i] = fork ();
      if (callers[i] != 0)
        continue;
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      run_caller (i % N_ENTRIES, per_second);
    }
}

/* Most runs in any window, of those that the upstream logged since a time, microseconds since 1970.
 */
static guint
most_runs_since (gint64 since)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  char *text = NULL;
  char **lines;
  guint most = 0;

  ck_assert (g_file_get_contents (run_log, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      gint64 at
          = g_str_has_prefix (lines[i], "run ") ? g_ascii_strtoll (lines[i] + 4, NULL, 10) : 0;

      if (at > since)
        g_array_append_val (times, at);
    }
  for (guint first = 0, i = 0; i < times->len; i++)
    {
      while (g_array_index (times, gint64, i) - g_array_index (times, gint64, first) >= WINDOW)
        first++;
      most = MAX (most, i - first + 1);
    }
  g_strfreev (lines);
  g_free (text);
  g_array_unref (times);
  return most;
}

static void
check_bound (void)
{
  guint most = most_runs_since (0);

  ck_assert_msg (most <= MAX_IN_WINDOW, "%u runs in 5 s, allowed %u", most, MAX_IN_WINDOW);
}

/* Guards against entries that each allow a tenant its quota, and against a quota that isn't used.
 */
START_TEST (test_pressing_tenant_gets_its_quota_over_all_entries)
{
  start_callers (PRESSING_PER_S);
  g_usleep (LOAD_US);
  stop_callers ();
  check_bound ();
  ck_assert_uint_ge (most_runs_since (0), MIN_IN_WINDOW);
  ck_assert_uint_gt (counts->over_quota, 300);
  ck_assert_uint_eq (counts->without_time, 0);
  ck_assert_uint_le (counts->other, N_CALLERS);
}
END_TEST

/* Guards against excess while an entry is cut off from the store and others are suspended and
 * resumed, one of them the counter. */
START_TEST (test_quota_holds_with_entries_cut_off_and_suspended)
{
  fleet_proxy_t *proxy = fleet.proxies->pdata[0];

  start_callers (PRESSING_PER_S);
  g_usleep (1000000);
  kill (proxy->pid, SIGSTOP);
  for (guint i = 2; i < N_ENTRIES; i++)
    {
      kill (entries[i]->pid, SIGSTOP);
      g_usleep (2000000);
      kill (entries[i]->pid, SIGCONT);
      g_usleep (2000000);
    }
  kill (proxy->pid, SIGCONT);
  stop_callers ();
  check_bound ();
  ck_assert_uint_ge (most_runs_since (0), MIN_IN_WINDOW / 2);
}
END_TEST

/* Guards against a quota that is cut by the part of entries whose processes have ended. */
START_TEST (test_ended_entries_take_no_part_of_the_quota)
{
  gint64 since;

  start_callers (PRESSING_PER_S);
  g_usleep (1000000);
  fleet_kill_entry (entries[0], SIGKILL);
  fleet_kill_entry (entries[3], SIGKILL);
  g_usleep (4000000);
  since = g_get_real_time ();
  g_usleep (LOAD_US);
  stop_callers ();
  check_bound ();
  /* Half of it would be 50. */
  ck_assert_uint_ge (most_runs_since (since), 85);
}
END_TEST

/* Guards against refusals of a tenant below its rate that sends at all entries. */
START_TEST (test_tenant_below_its_rate_is_never_refused)
{
  start_callers (BELOW_PER_S);
  g_usleep (LOAD_US);
  stop_callers ();
  ck_assert_uint_eq (counts->over_quota, 0);
  ck_assert_uint_eq (counts->other, 0);
  ck_assert_uint_ge (counts->answered, 4ul * BELOW_PER_S);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-quota");
  TCase *tests = tcase_create ("relay-quota");
  SRunner *runner;
  int n_failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_pressing_tenant_gets_its_quota_over_all_entries);
  tcase_add_test (tests, test_quota_holds_with_entries_cut_off_and_suspended);
  tcase_add_test (tests, test_ended_entries_take_no_part_of_the_quota);
  tcase_add_test (tests, test_tenant_below_its_rate_is_never_refused);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
