/* Upstreams that name the speed of their VM in the load header, at a real entry. */

#include "helper-fleet.h"

#include <stdlib.h>

/* Requests after each change, one after the other. */
#define N_REQUESTS 40

static fleet_t fleet;
static fleet_entry_t *entry;
static standin_t *fast;

static void
set_up (void)
{
  fleet_open (&fleet);
  fast = fleet_add_upstream (&fleet, "fast", "photos", "--work-ms 20");
  fleet_add_upstream (&fleet, "slow", "photos", "--work-ms 80");
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e0", "west-a");
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
name_speed (const char *value)
{
  char *path = g_strdup_printf ("/speed?value=%s", value);
  char *response = fleet_request (fleet_port (fast), "POST", path, "speed");

  ck_assert_uint_eq (fleet_response_status (response), 200);
  g_free (response);
  g_free (path);
}

/* How many of the next requests the fast upstream runs. */
static guint
count_runs_of_fast (void)
{
  guint n = 0;

  for (guint i = 0; i < N_REQUESTS; i++)
    {
      char *response = fleet_request (entry->caller_port, "GET", "/view/1", "speed");

      ck_assert_uint_eq (fleet_response_status (response), 200);
      n += g_str_has_prefix (fleet_response_body (response), "fast ");
      g_free (response);
    }
  return n;
}

/* Guards against a header that an upstream writes otherwise, which would move requests away from it
 * or stop them. */
START_TEST (test_strange_speeds_change_nothing)
{
  static const char *const values[] = { "", "0", "-1000", "100001", "many", "1000,1", "%20" };

  count_runs_of_fast ();
  for (guint i = 0; i < G_N_ELEMENTS (values); i++)
    {
      name_speed (values[i]);
      ck_assert_uint_ge (count_runs_of_fast (), N_REQUESTS * 3 / 4);
    }
}
END_TEST

/* Guards against a speed that doesn't reach the holder. After each run at the fast upstream, which
 * says that it takes 10 times as long, requests go to the other one for about half a second. */
START_TEST (test_speed_moves_requests_to_another_upstream)
{
  count_runs_of_fast ();
  ck_assert_uint_ge (count_runs_of_fast (), N_REQUESTS * 3 / 4);
  name_speed ("1000");
  ck_assert_uint_le (count_runs_of_fast (), N_REQUESTS / 2);
  name_speed ("100");
  count_runs_of_fast ();
  ck_assert_uint_ge (count_runs_of_fast (), N_REQUESTS * 3 / 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-speed");
  TCase *tests = tcase_create ("relay-speed");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_strange_speeds_change_nothing);
  tcase_add_test (tests, test_speed_moves_requests_to_another_upstream);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
