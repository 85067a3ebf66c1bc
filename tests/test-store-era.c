/* Eras of the store: which responses count, and what missing rows mean after its return. */

#include <check.h>
#include <stdlib.h>

#include "anvil/store-position.h"
#include "steer/evacuated-zones.h"
#include "steer/store-era.h"

#define T0 (100 * ANVIL_SECOND)

START_TEST (test_positions_are_compared_by_era_first)
{
  const anvil_store_position_t old = { .era = 2, .version = 900 };
  const anvil_store_position_t new = { .era = 3, .version = 7 };
  const anvil_store_position_t without_era = { .version = 2 };
  const anvil_store_position_t without_version = { 0 };

  ck_assert (anvil_store_position_later (new, old));
  ck_assert (!anvil_store_position_later (old, new));
  ck_assert (!anvil_store_position_later (old, old));
  ck_assert_int_lt (anvil_store_position_compare (old, new), 0);
  ck_assert_int_eq (anvil_store_position_compare (new, new), 0);
  ck_assert_uint_eq (anvil_store_position_latest (old, new).era, 3);
  ck_assert (anvil_store_position_later (without_era, without_version));
}
END_TEST

START_TEST (test_an_era_that_falls_or_is_missing_is_outdated)
{
  store_era_t era = { 0 };

  ck_assert_int_eq (store_era_hear (&era, T0, 5), STORE_ERA_PRESENT);
  ck_assert_int_eq (store_era_hear (&era, T0, 4), STORE_ERA_OUTDATED);
  ck_assert_int_eq (store_era_hear (&era, T0, 0), STORE_ERA_OUTDATED);
  ck_assert (!store_era_returning (&era, T0));
  ck_assert_int_eq (store_era_hear (&era, T0, 9), STORE_ERA_RISEN);
  ck_assert_uint_eq (era.n_rises, 1);
  ck_assert_int_eq (store_era_hear (&era, T0, 9), STORE_ERA_PRESENT);
  ck_assert (store_era_returning (&era, T0 + ANVIL_STORE_RETURN_TIME - 1));
  ck_assert (!store_era_returning (&era, T0 + ANVIL_STORE_RETURN_TIME));
}
END_TEST

/* Guards against changes where the store names no era, and against the loss of its first one. */
START_TEST (test_without_eras_nothing_is_outdated)
{
  store_era_t era = { 0 };

  ck_assert_int_eq (store_era_hear (&era, T0, 0), STORE_ERA_PRESENT);
  ck_assert_int_eq (store_era_hear (&era, T0, 0), STORE_ERA_PRESENT);
  ck_assert_int_eq (store_era_hear (&era, T0, 1), STORE_ERA_RISEN);
  ck_assert_int_eq (store_era_hear (&era, T0, 0), STORE_ERA_OUTDATED);
}
END_TEST

START_TEST (test_a_peer_can_only_raise_the_era)
{
  store_era_t era = { 0 };

  store_era_hear (&era, T0, 5);
  ck_assert (!store_era_hear_from_peer (&era, T0, 0));
  ck_assert (!store_era_hear_from_peer (&era, T0, 4));
  ck_assert (!store_era_hear_from_peer (&era, T0, 5));
  ck_assert (store_era_hear_from_peer (&era, T0, 6));
  ck_assert_int_eq (store_era_hear (&era, T0, 5), STORE_ERA_OUTDATED);
}
END_TEST

START_TEST (test_outdated_responses_are_reported_once_a_second)
{
  store_era_t era = { 0 };

  ck_assert (store_era_may_report (&era, T0));
  ck_assert (!store_era_may_report (&era, T0 + ANVIL_SECOND - 1));
  ck_assert (store_era_may_report (&era, T0 + ANVIL_SECOND));
}
END_TEST

static evacuated_zones_t *zones;
static guint n_changes;

static void
on_changed (void *unused_context, const char *unused_zone, gboolean unused_evacuated)
{
  n_changes++;
}

static void
set_up (void)
{
  n_changes = 0;
  zones = evacuated_zones_new (on_changed, NULL);
  evacuated_zones_set_row (zones, T0, "west-a", FALSE);
  evacuated_zones_begin_era (zones, T0);
}

static void
tear_down (void)
{
  evacuated_zones_drop (zones);
}

/* A read of the whole table, with one row or none. */
static void
read_table (anvil_time_t now, const char *zone)
{
  evacuated_zones_begin_list (zones);
  if (zone != NULL)
    evacuated_zones_set_row (zones, now, zone, FALSE);
  evacuated_zones_end_list (zones, now);
  evacuated_zones_settle (zones, now);
}

START_TEST (test_an_evacuation_outlasts_the_loss_of_its_row)
{
  read_table (T0 + 1, NULL);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
  evacuated_zones_settle (zones, T0 + ANVIL_STORE_RETURN_TIME - 1);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
  evacuated_zones_set_row (zones, T0 + 2, "west-a", FALSE);
  evacuated_zones_settle (zones, T0 + ANVIL_STORE_RETURN_TIME);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
  ck_assert_uint_eq (n_changes, 1);
}
END_TEST

START_TEST (test_an_evacuation_ends_if_its_row_stays_missing)
{
  read_table (T0 + 1, NULL);
  evacuated_zones_settle (zones, T0 + ANVIL_STORE_RETURN_TIME);
  ck_assert (!evacuated_zones_contain (zones, "west-a"));
}
END_TEST

/* Nothing was read since the return, so nothing is known of the row. */
START_TEST (test_an_evacuation_does_not_end_unread)
{
  evacuated_zones_settle (zones, T0 + 2 * ANVIL_STORE_RETURN_TIME);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
}
END_TEST

START_TEST (test_a_row_that_was_seen_and_then_removed_ends_the_evacuation)
{
  read_table (T0 + 1, "west-a");
  evacuated_zones_set_row (zones, T0 + 2, "west-a", TRUE);
  ck_assert (!evacuated_zones_contain (zones, "west-a"));
}
END_TEST

/* The row was seen in the era before, not in this one. */
START_TEST (test_a_second_return_starts_anew)
{
  read_table (T0 + 1, "west-a");
  evacuated_zones_begin_era (zones, T0 + 2);
  read_table (T0 + 3, NULL);
  evacuated_zones_settle (zones, T0 + ANVIL_STORE_RETURN_TIME);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
  evacuated_zones_settle (zones, T0 + 2 + ANVIL_STORE_RETURN_TIME);
  ck_assert (!evacuated_zones_contain (zones, "west-a"));
}
END_TEST

/* Guards against a peer that has started since the return, and doesn't know what was lost. */
START_TEST (test_a_peer_does_not_end_an_evacuation_while_rows_come_back)
{
  const anvil_str_t names[] = { anvil_str ("east-a") };

  evacuated_zones_set_from_peer (zones, T0 + 1, names, 1);
  ck_assert (evacuated_zones_contain (zones, "west-a"));
  ck_assert (evacuated_zones_contain (zones, "east-a"));
  evacuated_zones_set_from_peer (zones, T0 + ANVIL_STORE_RETURN_TIME, NULL, 0);
  ck_assert_uint_eq (evacuated_zones_count (zones), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store-era");
  TCase *eras = tcase_create ("eras");
  TCase *evacuations = tcase_create ("evacuations");
  SRunner *runner;
  int failed;

  tcase_add_test (eras, test_positions_are_compared_by_era_first);
  tcase_add_test (eras, test_an_era_that_falls_or_is_missing_is_outdated);
  tcase_add_test (eras, test_without_eras_nothing_is_outdated);
  tcase_add_test (eras, test_a_peer_can_only_raise_the_era);
  tcase_add_test (eras, test_outdated_responses_are_reported_once_a_second);
  suite_add_tcase (suite, eras);
  tcase_add_checked_fixture (evacuations, set_up, tear_down);
  tcase_add_test (evacuations, test_an_evacuation_outlasts_the_loss_of_its_row);
  tcase_add_test (evacuations, test_an_evacuation_ends_if_its_row_stays_missing);
  tcase_add_test (evacuations, test_an_evacuation_does_not_end_unread);
  tcase_add_test (evacuations, test_a_row_that_was_seen_and_then_removed_ends_the_evacuation);
  tcase_add_test (evacuations, test_a_second_return_starts_anew);
  tcase_add_test (evacuations, test_a_peer_does_not_end_an_evacuation_while_rows_come_back);
  suite_add_tcase (suite, evacuations);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
