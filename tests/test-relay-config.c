/* Changes by operators reach every entry in time, also if the calls that would have brought them
 * were lost. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define N_ENTRIES 3
#define OUTAGE_MS 300
/* Until the entries have read a change and started the next long poll. */
#define POLL_RENEWAL_US 30000

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "west", "photos", NULL);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, i == 0 ? "east-a" : "west-a");
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

/* The long polls that follow a change are taken by the store, and never answered. */
static anvil_time_t
lose_long_polls (void)
{
  fleet_configure (&fleet, NULL);
  g_usleep (POLL_RENEWAL_US);
  fleet_set_store_fault (&fleet, "silent", OUTAGE_MS);
  g_usleep (OUTAGE_MS * ANVIL_MS);
  return anvil_clock_now ();
}

static void
wait_until (anvil_time_t time)
{
  anvil_time_t now = anvil_clock_now ();

  if (time > now)
    g_usleep ((gulong) (time - now));
}

START_TEST (test_a_configuration_after_a_lost_long_poll_is_in_force_in_time)
{
  anvil_time_t outage_ended_at = lose_long_polls ();

  fleet_configure (&fleet, NULL);
  wait_until (outage_ended_at + FLEET_RESYNC_TIME);
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_routes_version"), fleet.version);
}
END_TEST

START_TEST (test_an_evacuation_after_a_lost_long_poll_is_in_force_in_time)
{
  anvil_time_t outage_ended_at = lose_long_polls ();

  fleet_put_row (&fleet, "op", "evacuate/west-a", "{}");
  wait_until (outage_ended_at + FLEET_RESYNC_TIME);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *response = fleet_request (entries[i]->caller_port, "GET", "/view/1", "late");

      ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
      g_free (response);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-config");
  TCase *tests = tcase_create ("relay-config");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_configuration_after_a_lost_long_poll_is_in_force_in_time);
  tcase_add_test (tests, test_an_evacuation_after_a_lost_long_poll_is_in_force_in_time);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
