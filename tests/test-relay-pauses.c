/* Upstreams that refuse requests with Retry-After: they want none of the entry that sent them for
 * so long. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"

#define MAX_ENTRIES 3
#define PAUSE_S 3
/* The platform's contract: so many requests may arrive from an entry, from half a second after a
 * refusal to the end of its pause. */
#define MAX_STRAGGLERS 2
#define STRAGGLERS_FROM (500 * ANVIL_MS)
/* Until a holder is known. */
#define NOTICE_US 2000000
/* More than one upstream has slots. */
#define N_REQUESTS 9

static fleet_t fleet;
static fleet_entry_t *entries[MAX_ENTRIES];
static standin_t *pausing;
static char *events_path;
static guint n_sent;

static void
set_up (void)
{
  char *flags;

  fleet_open (&fleet);
  events_path = g_strdup_printf ("%s/events", fleet.directory);
  flags = g_strdup_printf ("--runs %s", events_path);
  pausing = fleet_add_upstream (&fleet, "pausing", "photos", flags);
  fleet_configure (&fleet, NULL);
  n_sent = 0;
  g_free (flags);
}

static void
tear_down (void)
{
  g_unlink (events_path);
  fleet_close (&fleet);
  g_clear_pointer (&events_path, g_free);
}

static void
start_entries (guint n)
{
  for (guint i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, "west-a");
      g_free (name);
    }
  for (guint i = 0; i < n; i++)
    fleet_wait_ready (entries[i]);
  g_usleep (NOTICE_US);
}

static void
set_retry_after (const char *value)
{
  char *path = g_strdup_printf ("/retry-after?value=%s", value);

  g_free (fleet_request (fleet_port (pausing), "POST", path, "set"));
  g_free (path);
}

/* Sends requests at the same time, with the name of the entry in their ids. Returns how many of
 * them aren't answered with 200. */
static guint
send_burst (const fleet_entry_t *entry)
{
  int fds[N_REQUESTS];
  guint n_failed = 0;

  for (guint i = 0; i < N_REQUESTS; i++)
    {
      fds[i] = fleet_connect (entry->caller_port);
      fleet_send (fds[i],
                  "GET /view/1?work=50 HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: %s-%u\r\n\r\n",
                  entry->name, n_sent++);
    }
  for (guint i = 0; i < N_REQUESTS; i++)
    {
      char *response = fleet_read_response (fds[i]);

      n_failed += fleet_response_status (response) != 200;
      g_free (response);
      close (fds[i]);
    }
  return n_failed;
}

/* Sends requests to the entries that are alive, in turn; each is answered with 200. */
static void
send_requests (guint n_entries, anvil_time_t length)
{
  const anvil_time_t until = anvil_clock_now () + length;

  for (guint i = 0; anvil_clock_now () < until; i = (i + 1) % n_entries)
    {
      if (entries[i]->pid != 0)
        ck_assert_uint_eq (send_burst (entries[i]), 0);
    }
}

/* Times at which the upstream logged an event of a kind with a request of an entry. */
static GArray *
event_times (const char *kind, const fleet_entry_t *entry)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  char *text = NULL;
  char **lines;

  ck_assert (g_file_get_contents (events_path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char **words = g_strsplit (lines[i], " ", 3);

      if (g_strv_length (words) == 3 && strcmp (words[0], kind) == 0
          && g_str_has_prefix (words[2], entry->name))
        {
          gint64 time = g_ascii_strtoll (words[1], NULL, 10);

          g_array_append_val (times, time);
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  return times;
}

static guint
count_refused (const fleet_entry_t *entry)
{
  GArray *times = event_times ("refused", entry);
  const guint n = times->len;

  g_array_unref (times);
  return n;
}

/* Sends requests until the upstream has refused one of the entry. */
static void
wait_until_refused (const fleet_entry_t *entry)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;

  while (count_refused (entry) == 0 && anvil_clock_now () < until)
    send_burst (entry);
  ck_assert_uint_gt (count_refused (entry), 0);
}

/* Most requests of an entry that arrived in the pause after one of its refusals. */
static guint
count_stragglers (const fleet_entry_t *entry)
{
  GArray *times = event_times ("refused", entry);
  guint most = 0;

  for (guint i = 0; i < times->len; i++)
    {
      const gint64 refused_at = g_array_index (times, gint64, i);
      guint n = 0;

      for (guint k = 0; k < times->len; k++)
        {
          const gint64 after = g_array_index (times, gint64, k) - refused_at;

          n += after > STRAGGLERS_FROM && after < PAUSE_S * ANVIL_SECOND;
        }
      most = MAX (most, n);
    }
  g_array_unref (times);
  return most;
}

START_TEST (test_an_upstream_gets_no_requests_in_the_pause_that_it_asked_for)
{
  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (1);
  set_retry_after ("3");
  wait_until_refused (entries[0]);
  send_requests (1, 7 * ANVIL_SECOND);
  ck_assert_uint_le (count_stragglers (entries[0]), MAX_STRAGGLERS);
}
END_TEST

START_TEST (test_an_upstream_is_used_again_after_its_pause)
{
  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (1);
  set_retry_after ("3");
  wait_until_refused (entries[0]);
  set_retry_after ("");
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "pausing", N_REQUESTS), 0);
  g_usleep (PAUSE_S * ANVIL_SECOND);
  ck_assert_uint_gt (fleet_count_responses_of (entries[0], "pausing", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_a_holder_elsewhere_keeps_to_a_pause)
{
  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (MAX_ENTRIES);
  set_retry_after ("3");
  wait_until_refused (entries[(fleet_find_holder (&fleet, "photos") + 1) % MAX_ENTRIES]);
  send_requests (MAX_ENTRIES, 7 * ANVIL_SECOND);
  for (guint i = 0; i < MAX_ENTRIES; i++)
    ck_assert_uint_le (count_stragglers (entries[i]), MAX_STRAGGLERS);
}
END_TEST

START_TEST (test_a_pause_holds_over_a_change_of_the_holder)
{
  guint holder;

  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (MAX_ENTRIES);
  holder = fleet_find_holder (&fleet, "photos");
  set_retry_after ("3");
  wait_until_refused (entries[(holder + 1) % MAX_ENTRIES]);
  fleet_kill_entry (entries[holder], SIGKILL);
  g_usleep (NOTICE_US);
  send_requests (MAX_ENTRIES, 4 * ANVIL_SECOND);
  for (guint i = 1; i < MAX_ENTRIES; i++)
    ck_assert_uint_le (count_stragglers (entries[(holder + i) % MAX_ENTRIES]), MAX_STRAGGLERS);
}
END_TEST

START_TEST (test_a_pause_of_one_entry_is_not_that_of_others)
{
  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (2);
  set_retry_after ("8");
  wait_until_refused (entries[0]);
  set_retry_after ("");
  ck_assert_uint_gt (fleet_count_responses_of (entries[1], "pausing", N_REQUESTS), 0);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "pausing", N_REQUESTS), 0);
}
END_TEST

START_TEST (test_requests_are_refused_at_once_when_all_upstreams_pause)
{
  anvil_time_t sent_at;
  char *response;
  const char *retry_after;

  start_entries (2);
  set_retry_after ("3");
  wait_until_refused (entries[0]);
  sent_at = anvil_clock_now ();
  response = fleet_request (entries[0]->caller_port, "POST", "/pay/1", "last");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  /* The route's timeout is 1.5 s. */
  ck_assert_int_lt (anvil_clock_now () - sent_at, 750 * ANVIL_MS);
  retry_after = strstr (response, "Retry-After: ");
  ck_assert_msg (retry_after != NULL, "%s", response);
  ck_assert_double_gt (g_ascii_strtod (retry_after + strlen ("Retry-After: "), NULL), 1.5);
  ck_assert_double_le (g_ascii_strtod (retry_after + strlen ("Retry-After: "), NULL),
                       PAUSE_S + 2.0);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "last"), 0);
  g_free (response);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-pauses");
  TCase *tests = tcase_create ("relay-pauses");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_an_upstream_gets_no_requests_in_the_pause_that_it_asked_for);
  tcase_add_test (tests, test_an_upstream_is_used_again_after_its_pause);
  tcase_add_test (tests, test_a_holder_elsewhere_keeps_to_a_pause);
  tcase_add_test (tests, test_a_pause_holds_over_a_change_of_the_holder);
  tcase_add_test (tests, test_a_pause_of_one_entry_is_not_that_of_others);
  tcase_add_test (tests, test_requests_are_refused_at_once_when_all_upstreams_pause);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
