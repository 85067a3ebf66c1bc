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
/* The route's timeout is 1.5 s. */
#define AT_ONCE (750 * ANVIL_MS)
#define SHORT_PAUSE "0.6"
#define SHORT_PAUSE_TIME (600 * ANVIL_MS)
/* The budget in the settings of the entries, in a window that is longer than the test. */
#define RETRY_RATIO 0.2
#define RETRY_EXTRA 56
#define N_BUDGET_BURSTS 20

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
set_retry_after_of (const standin_t *upstream, const char *value)
{
  char *path = g_strdup_printf ("/retry-after?value=%s", value);

  g_free (fleet_request (fleet_port (upstream), "POST", path, "set"));
  g_free (path);
}

static void
set_retry_after (const char *value)
{
  set_retry_after_of (pausing, value);
}

/* An upstream that logs its events with those of the first one. */
static standin_t *
add_upstream (const char *id, const char *more_flags)
{
  char *flags = g_strdup_printf ("--runs %s %s", events_path, more_flags);
  standin_t *upstream = fleet_add_upstream (&fleet, id, "photos", flags);

  g_free (flags);
  return upstream;
}

static gdouble
retry_after_of (const char *response)
{
  const char *field = strstr (response, "Retry-After: ");

  ck_assert_msg (field != NULL, "%s", response);
  return g_ascii_strtod (field + strlen ("Retry-After: "), NULL);
}

/* Whether a request ran at an upstream, or was refused there. */
static gboolean
has_reached_upstream (const char *id)
{
  char *line_end = g_strdup_printf (" %s\n", id);
  char *text = NULL;
  gboolean found;

  ck_assert (g_file_get_contents (events_path, &text, NULL, NULL));
  found = strstr (text, line_end) != NULL;
  g_free (text);
  g_free (line_end);
  return found;
}

/* Sends a request that is refused at once, and reaches no upstream. Its caller is told to return
 * after the pause. */
static void
check_refused_in_pause (const fleet_entry_t *entry, const char *id)
{
  const anvil_time_t sent_at = anvil_clock_now ();
  char *response = fleet_request (entry->caller_port, "POST", "/pay/1", id);

  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_int_lt (anvil_clock_now () - sent_at, AT_ONCE);
  ck_assert_double_gt (retry_after_of (response), 1.5);
  ck_assert_double_le (retry_after_of (response), PAUSE_S + 2.0);
  ck_assert (!has_reached_upstream (id));
  g_free (response);
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

/* Times at which upstreams logged an event of a kind with a request of an entry; adds the ids of
 * the requests to @ids, unless that is NULL. */
static GArray *
event_times_and_ids (const char *kind, const fleet_entry_t *entry, GHashTable *ids)
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
          if (ids != NULL)
            g_hash_table_add (ids, g_strdup (words[2]));
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  return times;
}

static GArray *
event_times (const char *kind, const fleet_entry_t *entry)
{
  return event_times_and_ids (kind, entry, NULL);
}

/* Refused requests of the entry beyond the first arrival of each. */
static guint
count_refused_repeats (const fleet_entry_t *entry)
{
  GHashTable *ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GArray *times = event_times_and_ids ("refused", entry, ids);
  const guint n = times->len - g_hash_table_size (ids);

  g_array_unref (times);
  g_hash_table_unref (ids);
  return n;
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
  start_entries (2);
  set_retry_after ("3");
  wait_until_refused (entries[0]);
  check_refused_in_pause (entries[0], "last");
}
END_TEST

START_TEST (test_a_pause_begins_with_a_refused_repeat)
{
  standin_t *other = add_upstream ("other", "");
  anvil_time_t sent_at;
  char *response;

  start_entries (1);
  set_retry_after ("3");
  set_retry_after_of (other, "3");
  sent_at = anvil_clock_now ();
  response = fleet_request (entries[0]->caller_port, "GET", "/view/1", "e0-first");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_int_lt (anvil_clock_now () - sent_at, AT_ONCE);
  ck_assert_double_gt (retry_after_of (response), 1.5);
  ck_assert_uint_eq (count_refused (entries[0]), 2);
  set_retry_after ("");
  set_retry_after_of (other, "");
  check_refused_in_pause (entries[0], "e0-second");
  g_free (response);
}
END_TEST

START_TEST (test_a_request_waits_for_a_pause_that_ends_before_its_deadline)
{
  char *response;
  GArray *refused;
  GArray *runs;

  start_entries (1);
  set_retry_after (SHORT_PAUSE);
  response = fleet_request (entries[0]->caller_port, "GET", "/view/1", "e0-first");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  g_free (response);
  set_retry_after ("");
  response = fleet_request (entries[0]->caller_port, "GET", "/view/1", "e0-second");
  ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
  g_free (response);
  refused = event_times ("refused", entries[0]);
  runs = event_times ("run", entries[0]);
  ck_assert_uint_eq (refused->len, 1);
  ck_assert_uint_eq (runs->len, 1);
  ck_assert_int_ge (g_array_index (runs, gint64, 0) - g_array_index (refused, gint64, 0),
                    SHORT_PAUSE_TIME);
  g_array_unref (refused);
  g_array_unref (runs);
}
END_TEST

START_TEST (test_a_pause_holds_while_the_store_is_silent)
{
  fleet_add_upstream (&fleet, "other", "photos", NULL);
  start_entries (MAX_ENTRIES);
  kill (fleet.store.pid, SIGSTOP);
  g_usleep (NOTICE_US);
  set_retry_after ("3");
  wait_until_refused (entries[(fleet_find_holder (&fleet, "photos") + 1) % MAX_ENTRIES]);
  send_requests (MAX_ENTRIES, 4 * ANVIL_SECOND);
  kill (fleet.store.pid, SIGCONT);
  send_requests (MAX_ENTRIES, 2 * ANVIL_SECOND);
  for (guint i = 0; i < MAX_ENTRIES; i++)
    ck_assert_uint_le (count_stragglers (entries[i]), MAX_STRAGGLERS);
}
END_TEST

/* It ran, so its caller isn't told that it did not. */
START_TEST (test_a_pause_begins_with_a_response_to_a_request_that_ran)
{
  char *response;

  start_entries (2);
  response = fleet_request (entries[0]->caller_port, "POST",
                            "/pay/1?fault=error&status=503&retry-after=3", "ran");
  ck_assert_msg (fleet_response_status (response) == 502, "%s", response);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "ran"), 1);
  check_refused_in_pause (entries[0], "next");
  g_free (response);
}
END_TEST

/* The pauses are over before the next requests come, so that these are refused again. */
START_TEST (test_repeats_of_refused_requests_count_for_the_retry_budget)
{
  const gdouble budget = RETRY_RATIO * N_REQUESTS * N_BUDGET_BURSTS + RETRY_EXTRA;
  standin_t *others[2];
  guint n_repeats;

  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    others[i] = add_upstream (i == 0 ? "other" : "third", "--slots 1");
  start_entries (1);
  set_retry_after ("0.01");
  for (guint i = 0; i < G_N_ELEMENTS (others); i++)
    set_retry_after_of (others[i], "0.01");
  for (guint i = 0; i < N_BUDGET_BURSTS; i++)
    ck_assert_uint_eq (send_burst (entries[0]), N_REQUESTS);
  n_repeats = count_refused_repeats (entries[0]);
  ck_assert_uint_gt (n_repeats, 0);
  ck_assert_double_le (n_repeats, budget);
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
  tcase_add_test (tests, test_a_pause_begins_with_a_refused_repeat);
  tcase_add_test (tests, test_a_request_waits_for_a_pause_that_ends_before_its_deadline);
  tcase_add_test (tests, test_a_pause_holds_while_the_store_is_silent);
  tcase_add_test (tests, test_a_pause_begins_with_a_response_to_a_request_that_ran);
  tcase_add_test (tests, test_repeats_of_refused_requests_count_for_the_retry_budget);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
