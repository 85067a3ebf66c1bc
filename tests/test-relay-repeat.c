/* Second attempts with entries, a store and upstreams as processes: an upstream that stops
 * answering without closing its connections, and changes of the setting while it does. */

#include "helper-fleet.h"

#include <signal.h>
#include <stdlib.h>

#include "anvil/clock.h"

#define N_UPSTREAMS 3
/* Runs that the holder must know before it tells when one is late. */
#define N_WARM_UP 8
/* Of all upstreams, which have 3 each. */
#define N_SLOTS 9
/* From sending requests to the signal: they have been sent on, and none is answered. */
#define SIGNAL_DELAY_US 20000

static fleet_t fleet;
static fleet_entry_t *entry;

static void
edit_share (const char *from, const char *to)
{
  char *path = g_strdup_printf ("%s/%s.json", fleet.directory, entry->name);
  char *text = NULL;
  char **parts;
  char *edited;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  parts = g_strsplit (text, from, -1);
  ck_assert_uint_eq (g_strv_length (parts), 2);
  edited = g_strjoinv (to, parts);
  ck_assert (g_file_set_contents (path, edited, -1, NULL));
  kill (entry->pid, SIGHUP);
  g_usleep (200000);
  g_free (edited);
  g_strfreev (parts);
  g_free (text);
  g_free (path);
}

static void
set_up (void)
{
  fleet_open (&fleet);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      char *id = g_strdup_printf ("u%u", i);

      fleet_add_upstream (&fleet, id, "photos", "--work-ms 40");
      g_free (id);
    }
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
  edit_share ("\"bounds\":{", "\"bounds\":{\"repeatShare\":0.5,");
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

/* Sends as many requests at once as there are slots, so that each upstream gets some, and then
 * @signal_number to the entry unless it is 0; returns how many of them aren't answered with 200. */
static guint
send_at_once (const char *method, const char *path, const char *prefix, int signal_number)
{
  int fds[N_SLOTS];
  guint n_failed = 0;

  for (guint i = 0; i < N_SLOTS; i++)
    {
      fds[i] = fleet_connect (entry->caller_port);
      fleet_send (fds[i],
                  "%s %s HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: %s-%u\r\nContent-Length: 0\r\n\r\n",
                  method, path, prefix, i);
    }
  if (signal_number != 0)
    {
      g_usleep (SIGNAL_DELAY_US);
      kill (entry->pid, signal_number);
    }
  for (guint i = 0; i < N_SLOTS; i++)
    {
      char *response = fleet_read_response (fds[i]);

      n_failed += fleet_response_status (response) != 200;
      g_free (response);
      close (fds[i]);
    }
  return n_failed;
}

static void
warm_up (const char *method, const char *path)
{
  for (guint i = 0; i < N_WARM_UP; i++)
    {
      char *prefix = g_strdup_printf ("warm-%s-%u", method, i);

      ck_assert_uint_eq (send_at_once (method, path, prefix, 0), 0);
      g_free (prefix);
    }
}

/* Stops one upstream; its connections stay open. */
static void
signal_upstream (int signal_number)
{
  kill (((const standin_t *) fleet.upstreams->pdata[0])->pid, signal_number);
}

static gint64
begun (void)
{
  return fleet_read_metric (entry, "anvil_repeats_begun_total");
}

/* Without second attempts, those that are sent to the stopped upstream time out. */
START_TEST (test_requests_to_an_upstream_that_stops_answering_are_answered_by_another)
{
  warm_up ("GET", "/view/1");
  signal_upstream (SIGSTOP);
  ck_assert_uint_eq (send_at_once ("GET", "/view/1", "stopped", 0), 0);
  ck_assert_int_ge (begun (), 1);
  ck_assert_int_ge (fleet_read_metric (entry, "anvil_repeats_won_total"), 1);
  signal_upstream (SIGCONT);
  ck_assert_uint_eq (send_at_once ("GET", "/view/1", "after", 0), 0);
}
END_TEST

START_TEST (test_unsafe_requests_run_once_when_an_upstream_stops_answering)
{
  warm_up ("POST", "/pay/1");
  signal_upstream (SIGSTOP);
  ck_assert_uint_gt (send_at_once ("POST", "/pay/1", "pay", 0), 0);
  ck_assert_int_le (begun (), 0);
  signal_upstream (SIGCONT);
  g_usleep (500000);
  for (guint i = 0; i < N_SLOTS; i++)
    {
      char *id = g_strdup_printf ("pay-%u", i);

      ck_assert_uint_le (fleet_count_runs (&fleet, id), 1);
      g_free (id);
    }
}
END_TEST

START_TEST (test_a_share_that_is_taken_away_by_a_reload_ends_second_attempts)
{
  gint64 before;

  warm_up ("GET", "/view/1");
  edit_share ("\"repeatShare\":0.5", "\"repeatShare\":0");
  before = begun ();
  signal_upstream (SIGSTOP);
  ck_assert_uint_gt (send_at_once ("GET", "/view/1", "stopped", 0), 0);
  ck_assert_int_eq (begun (), before);
}
END_TEST

START_TEST (test_a_bad_share_is_not_taken_over)
{
  warm_up ("GET", "/view/1");
  edit_share ("\"repeatShare\":0.5", "\"repeatShare\":0.6");
  signal_upstream (SIGSTOP);
  ck_assert_uint_eq (send_at_once ("GET", "/view/1", "stopped", 0), 0);
  ck_assert_int_ge (begun (), 1);
}
END_TEST

/* SIGTERM arrives while requests run on the upstream that doesn't answer. */
START_TEST (test_an_entry_that_stops_answers_late_requests_by_second_attempts)
{
  warm_up ("GET", "/view/1");
  signal_upstream (SIGSTOP);
  ck_assert_uint_eq (send_at_once ("GET", "/view/1", "stop", SIGTERM), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-repeat");
  TCase *tests = tcase_create ("relay-repeat");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_requests_to_an_upstream_that_stops_answering_are_answered_by_another);
  tcase_add_test (tests, test_unsafe_requests_run_once_when_an_upstream_stops_answering);
  tcase_add_test (tests, test_a_share_that_is_taken_away_by_a_reload_ends_second_attempts);
  tcase_add_test (tests, test_a_bad_share_is_not_taken_over);
  tcase_add_test (tests, test_an_entry_that_stops_answers_late_requests_by_second_attempts);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
