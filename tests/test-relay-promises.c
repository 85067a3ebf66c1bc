/* Statuses that promise callers that their requests have not run and never will. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"

static const guint unconfirmed_statuses[] = { 408, 421, 429, 503 };

static fleet_t fleet;
static fleet_entry_t *entry;

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_add_upstream (&fleet, "u2", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  char *path = g_strdup_printf ("%s/%s.json.log", fleet.directory, entry->name);

  g_unlink (path);
  g_free (path);
  fleet_close (&fleet);
}

static gboolean
is_promise (guint status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Sends a request whose upstreams respond as @query says, and returns the response. */
static char *
request (const char *method, const char *prefix, const char *query, const char *id)
{
  char *path = g_strdup_printf ("%s1?%s", prefix, query);
  char *response = fleet_request (entry->caller_port, method, path, id);

  g_free (path);
  return response;
}

/* Upstreams run the request and respond with each status that promises the opposite. */
static void
check_run_requests (const char *method, const char *prefix, const char *fault, guint min_runs)
{
  for (gsize i = 0; i < G_N_ELEMENTS (unconfirmed_statuses); i++)
    {
      char *query = g_strdup_printf ("fault=%s&status=%u", fault, unconfirmed_statuses[i]);
      char *id = g_strdup_printf ("run-%u", unconfirmed_statuses[i]);
      char *response = request (method, prefix, query, id);
      guint status = fleet_response_status (response);
      guint runs = fleet_count_runs (&fleet, id);

      ck_assert_uint_ge (runs, min_runs);
      ck_assert_msg (strcmp (method, "POST") != 0 || runs == 1, "%s %s: it ran %u times", method,
                     query, runs);
      ck_assert_msg (!is_promise (status), "%s %s: %u although it ran %u times", method, query,
                     status, runs);
      /* The marker would say that the status is the upstream's. */
      ck_assert_msg (strstr (response, "Server-Stamp") == NULL, "%s", response);
      g_free (response);
      g_free (query);
      g_free (id);
    }
}

START_TEST (test_an_unsafe_request_that_ran_is_not_answered_with_a_promise)
{
  check_run_requests ("POST", "/pay/", "error", 1);
}
END_TEST

START_TEST (test_a_safe_request_that_ran_is_not_answered_with_a_promise)
{
  check_run_requests ("GET", "/view/", "error", 2);
}
END_TEST

START_TEST (test_a_promise_without_marker_is_not_passed_on)
{
  check_run_requests ("POST", "/pay/", "unsigned", 1);
}
END_TEST

START_TEST (test_a_request_that_all_upstreams_reject_is_refused_with_a_promise)
{
  for (gsize i = 0; i < G_N_ELEMENTS (unconfirmed_statuses); i++)
    {
      char *query = g_strdup_printf ("fault=rejected&status=%u", unconfirmed_statuses[i]);
      char *id = g_strdup_printf ("rejected-%u", unconfirmed_statuses[i]);
      char *response = request ("POST", "/pay/", query, id);

      ck_assert_msg (fleet_response_status (response) == 503, "%s: %s", query, response);
      ck_assert_uint_eq (fleet_count_runs (&fleet, id), 0);
      g_free (response);
      g_free (query);
      g_free (id);
    }
}
END_TEST

/* A caller sends a refused request again under its id; the upstream that runs it then writes a copy
 * of its refusal first. */
START_TEST (test_a_copy_of_a_refusal_is_not_passed_on_for_a_request_that_runs)
{
  for (guint i = 0; i < 20; i++)
    {
      char *id = g_strdup_printf ("again-%u", i);
      guint status = 503;

      for (guint n = 0; n < 5 && status == 503 && fleet_count_runs (&fleet, id) == 0; n++)
        {
          char *response = request ("POST", "/pay/", "fault=refused-once", id);

          status = fleet_response_status (response);
          g_free (response);
        }
      ck_assert_uint_eq (fleet_count_runs (&fleet, id), 1);
      ck_assert_msg (!is_promise (status), "%s: %u although it ran", id, status);
      g_free (id);
    }
}
END_TEST

/* Upstreams that are used again show that they weren't taken for others at their address. */
START_TEST (test_upstreams_that_answer_421_to_their_own_requests_stay_in_use)
{
  static const char *const faults[] = { "error", "unsigned" };

  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *query = g_strdup_printf ("fault=%s&status=421", faults[i]);
      char *response = request ("POST", "/pay/", query, faults[i]);

      ck_assert_msg (fleet_response_status (response) == 502, "%s: %s", query, response);
      ck_assert_uint_eq (fleet_count_runs (&fleet, faults[i]), 1);
      g_free (response);
      g_free (query);
    }
  for (guint i = 0; i < 4; i++)
    {
      char *id = g_strdup_printf ("after-%u", i);
      char *response = request ("POST", "/pay/", "", id);

      ck_assert_msg (fleet_response_status (response) == 200, "%s: %s", id, response);
      g_free (response);
      g_free (id);
    }
}
END_TEST

static char *
read_log (void)
{
  char *path = g_strdup_printf ("%s/%s.json.log", fleet.directory, entry->name);
  char *text = NULL;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

/* Waits until the log has a line that contains all of @parts, and fails if it never does. */
static void
wait_for_log_line (const char *const *parts)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  gboolean found = FALSE;

  while (!found && anvil_clock_now () < until)
    {
      char *text = read_log ();
      char **lines = g_strsplit (text, "\n", -1);

      for (guint i = 0; !found && lines[i] != NULL; i++)
        {
          guint n = 0;

          while (parts[n] != NULL && strstr (lines[i], parts[n]) != NULL)
            n++;
          found = parts[n] == NULL;
        }
      g_strfreev (lines);
      g_free (text);
      g_usleep (20000);
    }
  ck_assert_msg (found, "no line has \"%s\" and what belongs to it", parts[0]);
}

START_TEST (test_the_log_tells_whose_status_a_caller_got)
{
  static const char *const unconfirmed[] = {
    "attempt failed request=ran", "status=503", "marker=1", "not_run=0", "id=1", "responder=u", NULL
  };
  static const char *const rejected[]
      = { "attempt failed request=rejected", "status=503", "marker=0", "not_run=1", "id=1", NULL };
  static const char *const refused[]
      = { ": refused request=rejected", "status=503", "upstream=u", "attempts=2", NULL };
  static const char *const not_sent[]
      = { ": refused request=not-sent", "status=404", "upstream=-", "attempts=0", NULL };

  g_free (request ("POST", "/pay/", "fault=error&status=503", "ran"));
  g_free (request ("POST", "/pay/", "fault=rejected", "rejected"));
  g_free (request ("GET", "/nowhere/", "", "not-sent"));
  wait_for_log_line (unconfirmed);
  wait_for_log_line (rejected);
  wait_for_log_line (refused);
  wait_for_log_line (not_sent);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_unconfirmed_rejections_total"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-promises");
  TCase *tests = tcase_create ("relay-promises");
  SRunner *runner;
  int failed;

  g_setenv ("ANVIL_FLEET_LOGS", "1", TRUE);
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_an_unsafe_request_that_ran_is_not_answered_with_a_promise);
  tcase_add_test (tests, test_a_safe_request_that_ran_is_not_answered_with_a_promise);
  tcase_add_test (tests, test_a_promise_without_marker_is_not_passed_on);
  tcase_add_test (tests, test_a_request_that_all_upstreams_reject_is_refused_with_a_promise);
  tcase_add_test (tests, test_a_copy_of_a_refusal_is_not_passed_on_for_a_request_that_runs);
  tcase_add_test (tests, test_upstreams_that_answer_421_to_their_own_requests_stay_in_use);
  tcase_add_test (tests, test_the_log_tells_whose_status_a_caller_got);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
