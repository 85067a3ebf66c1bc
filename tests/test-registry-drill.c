/* The registry while the store comes back from an older copy. */

#include <check.h>
#include <stdlib.h>

#include "anvil/registry.h"
#include "steer/store-era.h"

#define T0 (100 * ANVIL_SECOND)
#define BORN 1000

static anvil_registry_t *registry;

static void
on_changed (void *unused_context,
            anvil_time_t unused_now,
            const anvil_registered_upstream_t *unused_upstream,
            anvil_registry_change_t unused_change)
{
}

static void
apply (anvil_time_t now, gint64 born, guint64 sequence, gboolean draining)
{
  const anvil_upstream_report_t report = { .id = anvil_str ("a"),
                                           .service = anvil_str ("photos"),
                                           .zone = anvil_str ("west-a"),
                                           .address = 0x7f000001,
                                           .port = 80,
                                           .slots = 3,
                                           .draining = draining,
                                           .started_at = born,
                                           .sequence = sequence };

  anvil_registry_apply (registry, now, &report);
}

static const anvil_registered_upstream_t *
lookup (void)
{
  return anvil_registry_lookup (registry, anvil_str_hash (anvil_str ("a")));
}

static gboolean
is_usable (void)
{
  return lookup () != NULL && anvil_registry_usable (lookup ());
}

static void
set_up (void)
{
  static const anvil_registry_callbacks_t callbacks = { .changed = on_changed };

  registry = anvil_registry_new (&callbacks, NULL);
}

static void
tear_down (void)
{
  anvil_registry_drop (registry);
}

static void
read_empty_table (anvil_time_t now)
{
  anvil_registry_begin_snapshot (registry);
  anvil_registry_end_snapshot (registry, now);
}

START_TEST (test_a_missing_row_is_no_departure_for_a_while)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  read_empty_table (T0 + 1);
  anvil_registry_cancel_grace (registry, T0 + 2, 0);
  anvil_registry_tick (registry, T0 + ANVIL_STORE_RETURN_TIME - 1);
  ck_assert (is_usable ());
  anvil_registry_tick (registry, T0 + ANVIL_STORE_RETURN_TIME);
  ck_assert_ptr_null (lookup ());
}
END_TEST

/* Nor is a drain forgotten with its row, which would let a row of the copy join anew. */
START_TEST (test_a_draining_upstream_stays_known_without_its_row)
{
  apply (T0, BORN, 5, TRUE);
  anvil_registry_begin_era (registry, T0);
  read_empty_table (T0 + 1);
  ck_assert_ptr_nonnull (lookup ());
  ck_assert (!is_usable ());
}
END_TEST

START_TEST (test_a_row_that_was_read_again_and_then_removed_is_a_departure)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 6, FALSE);
  anvil_registry_remove (registry, T0 + 2, anvil_str ("a"));
  ck_assert_ptr_null (lookup ());
}
END_TEST

/* The copy's row may expire before the upstream writes the next one. */
START_TEST (test_the_removal_of_an_older_row_is_no_departure)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 3, FALSE);
  anvil_registry_remove (registry, T0 + 2, anvil_str ("a"));
  ck_assert (is_usable ());
}
END_TEST

START_TEST (test_the_removal_of_an_older_row_counts_once_live_upstreams_are_back)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 3, FALSE);
  anvil_registry_remove (registry, T0 + 2, anvil_str ("a"));
  anvil_registry_tick (registry, T0 + ANVIL_REGISTRY_REMOVAL_GRACE - 1);
  ck_assert (is_usable ());
  anvil_registry_tick (registry, T0 + ANVIL_REGISTRY_REMOVAL_GRACE);
  ck_assert_ptr_null (lookup ());
}
END_TEST

/* Guards against an upstream that is used for seconds after it has left, by an entry that isn't
 * sent rows that have not changed. */
START_TEST (test_a_removal_in_the_new_era_is_a_departure_without_a_report_in_it)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  anvil_registry_remove (registry, T0 + ANVIL_REGISTRY_REMOVAL_GRACE, anvil_str ("a"));
  ck_assert_ptr_null (lookup ());
}
END_TEST

/* The same for an entry that reads the whole table itself later. */
START_TEST (test_a_row_that_goes_missing_in_the_new_era_is_a_departure)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  anvil_registry_confirm_rows (registry);
  read_empty_table (T0 + ANVIL_REGISTRY_REMOVAL_GRACE);
  ck_assert_ptr_null (lookup ());
}
END_TEST

START_TEST (test_a_missing_row_is_not_confirmed)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  anvil_registry_row_missing (registry, T0 + 1, anvil_str ("a"));
  anvil_registry_confirm_rows (registry);
  ck_assert_uint_eq (anvil_registry_count_deferred (registry), 1);
  read_empty_table (T0 + ANVIL_REGISTRY_REMOVAL_GRACE);
  anvil_registry_tick (registry, T0 + ANVIL_STORE_RETURN_TIME - 1);
  ck_assert (is_usable ());
  /* It came back, and was removed then. */
  anvil_registry_remove (registry, T0 + ANVIL_STORE_RETURN_TIME - 1, anvil_str ("a"));
  ck_assert_ptr_null (lookup ());
}
END_TEST

START_TEST (test_a_drain_is_undone_by_a_higher_sequence_only)
{
  apply (T0, BORN, 5, TRUE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 4, FALSE);
  ck_assert (!is_usable ());
  /* Also after rows had time to come back. */
  apply (T0 + 2 * ANVIL_STORE_RETURN_TIME, BORN, 4, FALSE);
  ck_assert (!is_usable ());
  apply (T0 + 2 * ANVIL_STORE_RETURN_TIME, BORN, 6, FALSE);
  ck_assert (is_usable ());
}
END_TEST

START_TEST (test_a_drain_without_sequences_is_kept_while_rows_come_back)
{
  apply (T0, BORN, 0, TRUE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 0, FALSE);
  ck_assert (!is_usable ());
  apply (T0 + ANVIL_STORE_RETURN_TIME, BORN, 0, FALSE);
  ck_assert (is_usable ());
}
END_TEST

START_TEST (test_a_new_process_ends_the_drain_of_the_old_one)
{
  apply (T0, BORN, 5, TRUE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN - 1, 9, FALSE);
  ck_assert (!is_usable ());
  apply (T0 + 2, BORN + 1, 1, FALSE);
  ck_assert (is_usable ());
}
END_TEST

/* Guards against an older row that would end what the upstream itself said. */
START_TEST (test_an_older_row_does_not_end_the_leaving_of_a_process)
{
  const guint64 key = anvil_str_hash (anvil_str ("a"));

  apply (T0, BORN, 5, TRUE);
  ck_assert (anvil_registry_set_leaving (registry, T0, key, "photos", BORN, FALSE));
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 4, FALSE);
  ck_assert (lookup ()->leaving);
  ck_assert (!is_usable ());
}
END_TEST

/* The copy has the row of an upstream that has left since. */
START_TEST (test_an_upstream_that_left_does_not_come_back_with_an_old_row)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_remove (registry, T0, anvil_str ("a"));
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 5, FALSE);
  apply (T0 + 1, BORN, 4, FALSE);
  apply (T0 + 1, BORN - 1, 9, FALSE);
  ck_assert_ptr_null (lookup ());
  /* The copy was read. */
  anvil_registry_confirm_rows (registry);
  apply (T0 + 1, BORN, 6, FALSE);
  ck_assert (is_usable ());
}
END_TEST

/* Guards against an upstream that has left and is used again: an entry that isn't sent the reports
 * that change nothing knows a lower sequence than the copy has. */
START_TEST (test_an_upstream_that_left_does_not_come_back_with_an_unknown_report)
{
  apply (T0, BORN, 1, FALSE);
  anvil_registry_remove (registry, T0, anvil_str ("a"));
  anvil_registry_begin_era (registry, T0);
  anvil_registry_begin_snapshot (registry);
  apply (T0 + 1, BORN, 5, FALSE);
  anvil_registry_end_snapshot (registry, T0 + 1);
  ck_assert_ptr_null (lookup ());
  /* Nor with the same row in a later read. */
  anvil_registry_begin_snapshot (registry);
  apply (T0 + 2, BORN, 5, FALSE);
  anvil_registry_end_snapshot (registry, T0 + 2);
  ck_assert_ptr_null (lookup ());
  /* One that it writes after the return shows that it lives. */
  apply (T0 + 3, BORN, 6, FALSE);
  ck_assert (is_usable ());
}
END_TEST

START_TEST (test_a_second_return_starts_anew)
{
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (registry, T0);
  apply (T0 + 1, BORN, 6, FALSE);
  anvil_registry_begin_era (registry, T0 + 2);
  read_empty_table (T0 + 3);
  ck_assert (is_usable ());
  anvil_registry_tick (registry, T0 + 1 + ANVIL_STORE_RETURN_TIME);
  ck_assert (is_usable ());
  anvil_registry_tick (registry, T0 + 2 + ANVIL_STORE_RETURN_TIME);
  ck_assert_ptr_null (lookup ());
}
END_TEST

/* Versions of the new era are lower. */
START_TEST (test_grants_are_judged_by_era)
{
  const guint64 key = anvil_str_hash (anvil_str ("unknown"));
  const anvil_str_t zone = anvil_str ("west-a");
  const anvil_store_position_t past = { .era = 1, .version = 90 };
  const anvil_store_position_t present = { .era = 2, .version = 50 };
  const anvil_store_position_t later = { .era = 3, .version = 10 };
  const anvil_time_t settled = ANVIL_REGISTRY_REMOVAL_GRACE;

  anvil_registry_set_version (registry, present);
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, key, zone, 0, past, settled));
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, key, zone, 0, later, settled));
  /* Its row may be lost. */
  anvil_registry_begin_era (registry, T0);
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, key, zone, 0, past, settled));
  anvil_registry_tick (registry, T0 + ANVIL_STORE_RETURN_TIME);
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, key, zone, 0, past, settled));
}
END_TEST

static void
on_missing (void *context, anvil_str_t id)
{
  anvil_registry_t *subscriber = context;

  anvil_registry_row_missing (subscriber, T0 + 1, id);
}

/* Guards against subscribers that all read the table after a drill, as they differ from their
 * reader: they are told which rows are missing. */
START_TEST (test_a_subscriber_that_is_told_what_is_missing_knows_what_its_reader_does)
{
  anvil_registry_t *reader = registry;
  guint64 digest;

  apply (T0, BORN, 5, FALSE);
  set_up ();
  apply (T0, BORN, 5, FALSE);
  anvil_registry_begin_era (reader, T0);
  anvil_registry_begin_era (registry, T0);
  anvil_registry_begin_snapshot (reader);
  anvil_registry_foreach_missing (reader, on_missing, registry);
  anvil_registry_end_snapshot (reader, T0 + 1);
  digest = anvil_registry_digest (reader);
  anvil_registry_drop (reader);
  ck_assert_uint_eq (anvil_registry_digest (registry), digest);
  ck_assert (is_usable ());
}
END_TEST

/* Guards against another order of rows where the store never comes back from a copy. */
START_TEST (test_without_a_return_sequences_do_not_matter)
{
  apply (T0, BORN, 5, TRUE);
  apply (T0 + 1, BORN, 4, FALSE);
  ck_assert (is_usable ());
  apply (T0 + 2, BORN - 1, 1, FALSE);
  ck_assert_int_eq (lookup ()->started_at, BORN - 1);
  anvil_registry_remove (registry, T0 + 3, anvil_str ("a"));
  ck_assert_ptr_null (lookup ());
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("registry-drill");
  TCase *tests = tcase_create ("registry-drill");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_missing_row_is_no_departure_for_a_while);
  tcase_add_test (tests, test_a_draining_upstream_stays_known_without_its_row);
  tcase_add_test (tests, test_a_row_that_was_read_again_and_then_removed_is_a_departure);
  tcase_add_test (tests, test_the_removal_of_an_older_row_is_no_departure);
  tcase_add_test (tests, test_the_removal_of_an_older_row_counts_once_live_upstreams_are_back);
  tcase_add_test (tests, test_a_removal_in_the_new_era_is_a_departure_without_a_report_in_it);
  tcase_add_test (tests, test_a_row_that_goes_missing_in_the_new_era_is_a_departure);
  tcase_add_test (tests, test_a_missing_row_is_not_confirmed);
  tcase_add_test (tests, test_a_drain_is_undone_by_a_higher_sequence_only);
  tcase_add_test (tests, test_a_drain_without_sequences_is_kept_while_rows_come_back);
  tcase_add_test (tests, test_a_new_process_ends_the_drain_of_the_old_one);
  tcase_add_test (tests, test_an_older_row_does_not_end_the_leaving_of_a_process);
  tcase_add_test (tests, test_an_upstream_that_left_does_not_come_back_with_an_old_row);
  tcase_add_test (tests, test_an_upstream_that_left_does_not_come_back_with_an_unknown_report);
  tcase_add_test (tests, test_a_second_return_starts_anew);
  tcase_add_test (tests, test_a_subscriber_that_is_told_what_is_missing_knows_what_its_reader_does);
  tcase_add_test (tests, test_grants_are_judged_by_era);
  tcase_add_test (tests, test_without_a_return_sequences_do_not_matter);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
