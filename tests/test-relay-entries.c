/* The list of entries in the store, and how entries find each other. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <string.h>

#include "anvil/clock.h"

/* The store takes a removal for this long without an answer, and performs it so much later: after
 * the next process of the entry has written its address. */
#define LATE_CALLS_MS 400
#define LATE_MS 5000
#define POLL_US 50000ul

static fleet_t fleet;
static fleet_entry_t *first;
static fleet_entry_t *second;

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_configure (&fleet, NULL);
  first = fleet_add_entry (&fleet, "first", "west-a");
  second = fleet_add_entry (&fleet, "second", "west-b");
  fleet_wait_ready (first);
  fleet_wait_ready (second);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static gboolean
has_address (const fleet_entry_t *entry)
{
  char *response
      = fleet_request (fleet_port (&fleet.store), "GET", "/-/rows-get?table=entries&part=", "rows");
  char *key = g_strdup_printf ("\"%s\"", entry->name);
  gboolean found = strstr (response, key) != NULL;

  g_free (key);
  g_free (response);
  return found;
}

static void
wait_for_address (const fleet_entry_t *entry, gboolean present)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;

  while (has_address (entry) != present && anvil_clock_now () < until)
    g_usleep (POLL_US);
  ck_assert_msg (has_address (entry) == present, "the address of %s is %s", entry->name,
                 present ? "missing" : "still there");
}

START_TEST (test_a_planned_stop_removes_the_address)
{
  wait_for_address (second, TRUE);
  fleet_kill_entry (second, SIGTERM);
  wait_for_address (second, FALSE);
}
END_TEST

/* Guards against entries that can't be found after a restart: the store performed the removal of
 * the stopping process when the next one had written the same row. */
START_TEST (test_a_late_removal_leaves_the_address_of_the_next_process)
{
  char *fault = g_strdup_printf ("late&late_ms=%u", LATE_MS);
  anvil_time_t performed_at;

  wait_for_address (second, TRUE);
  fleet_set_store_fault (&fleet, fault, LATE_CALLS_MS);
  performed_at = anvil_clock_now () + (LATE_CALLS_MS + LATE_MS) * ANVIL_MS;
  fleet_kill_entry (second, SIGTERM);
  fleet_start_entry (&fleet, second);
  fleet_wait_ready (second);
  wait_for_address (second, TRUE);
  while (anvil_clock_now () < performed_at)
    {
      ck_assert (has_address (second));
      g_usleep (POLL_US);
    }
  ck_assert (has_address (second));
  g_free (fault);
}
END_TEST

/* Guards against an entry that others can't find, as its address was lost, where the store names no
 * era. */
START_TEST (test_a_lost_address_is_written_again)
{
  wait_for_address (second, TRUE);
  fleet_put_row (&fleet, "entries", second->name, NULL);
  wait_for_address (second, FALSE);
  wait_for_address (second, TRUE);
}
END_TEST

/* Takes all addresses but that of the first entry out of the list. */
static void
lose_addresses (const fleet_entry_t *third)
{
  fleet_put_row (&fleet, "entries", second->name, NULL);
  fleet_put_row (&fleet, "entries", third->name, NULL);
}

static gboolean
know_each_other (const fleet_entry_t *third)
{
  return fleet_read_metric (second, "anvil_reachable_entries") == 3
         && fleet_read_metric (third, "anvil_reachable_entries") == 3;
}

/* Guards against two entries that both hold all services, since neither finds the other in the
 * list: an entry that both reach tells them. */
START_TEST (test_entries_learn_of_each_other_from_a_third)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  fleet_entry_t *third;

  wait_for_address (second, TRUE);
  fleet_put_row (&fleet, "entries", second->name, NULL);
  third = fleet_add_entry (&fleet, "third", "east-a");
  while (!know_each_other (third) && anvil_clock_now () < until)
    {
      lose_addresses (third);
      g_usleep (POLL_US);
    }
  ck_assert (know_each_other (third));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-entries");
  TCase *tests = tcase_create ("relay-entries");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 4 * FLEET_TIMEOUT_S);
  tcase_add_test (tests, test_a_planned_stop_removes_the_address);
  tcase_add_test (tests, test_a_late_removal_leaves_the_address_of_the_next_process);
  tcase_add_test (tests, test_a_lost_address_is_written_again);
  tcase_add_test (tests, test_entries_learn_of_each_other_from_a_third);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
