/* Registry of upstreams: joining, restarting, draining, evacuation, and outages of the store. */

#include <check.h>
#include <stdlib.h>

#include "anvil/registry.h"

typedef struct
{
  guint joined;
  guint restarted;
  guint changed;
  guint left;
} change_counts_t;

static void
on_changed (void *context,
            anvil_time_t now,
            const anvil_registered_upstream_t *upstream,
            anvil_registry_change_t change)
{
  change_counts_t *changes = context;
  guint *counts[] = { &changes->joined, &changes->restarted, &changes->changed, &changes->left };

  (*counts[change])++;
}

static const anvil_registry_callbacks_t callbacks = { .changed = on_changed };

static anvil_upstream_report_t
report (const char *id)
{
  return (anvil_upstream_report_t){ .id = anvil_str (id),
                                    .service = anvil_str ("photos"),
                                    .zone = anvil_str ("west-a"),
                                    .address = 0x7f000001,
                                    .port = 80,
                                    .slots = 3,
                                    .started_at = 1000 };
}

/* A position of a store that names no era. */
static anvil_store_position_t
at (guint64 version)
{
  return (anvil_store_position_t){ .version = version };
}

static const anvil_registered_upstream_t *
lookup (const anvil_registry_t *registry, const char *id)
{
  return anvil_registry_lookup (registry, anvil_str_hash (anvil_str (id)));
}

static change_counts_t changes;
static anvil_registry_t *registry;

static void
set_up (void)
{
  const anvil_upstream_report_t first = report ("a");

  changes = (change_counts_t){ 0 };
  registry = anvil_registry_new (&callbacks, &changes);
  anvil_registry_apply (registry, 0, &first);
}

static void
tear_down (void)
{
  anvil_registry_drop (registry);
}

START_TEST (test_unchanged_report_is_no_change)
{
  anvil_upstream_report_t same = report ("a");

  anvil_registry_apply (registry, ANVIL_SECOND, &same);
  ck_assert_uint_eq (changes.joined, 1);
  ck_assert_uint_eq (changes.changed, 0);
  same.draining = TRUE;
  anvil_registry_apply (registry, 2 * ANVIL_SECOND, &same);
  ck_assert_uint_eq (changes.changed, 1);
  ck_assert (!anvil_registry_usable (lookup (registry, "a")));
}
END_TEST

START_TEST (test_another_start_time_of_the_same_id_is_a_restart)
{
  anvil_upstream_report_t next = report ("a");

  next.started_at = 2000;
  anvil_registry_apply (registry, ANVIL_SECOND, &next);
  ck_assert_uint_eq (changes.restarted, 1);
}
END_TEST

START_TEST (test_removed_row_removes_the_upstream_at_once)
{
  anvil_registry_remove (registry, ANVIL_SECOND, anvil_str ("a"));
  ck_assert_uint_eq (changes.left, 1);
  ck_assert_ptr_null (lookup (registry, "a"));
  ck_assert (anvil_registry_recently_removed (registry, anvil_str_hash (anvil_str ("a"))));
}
END_TEST

START_TEST (test_removals_are_deferred_after_an_outage_of_the_store)
{
  const anvil_upstream_report_t again = report ("a");
  const anvil_upstream_report_t second = report ("b");
  anvil_time_t recovered_at = 10 * ANVIL_SECOND;

  anvil_registry_apply (registry, 0, &second);
  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, recovered_at);
  anvil_registry_remove (registry, recovered_at, anvil_str ("a"));
  anvil_registry_remove (registry, recovered_at, anvil_str ("b"));
  ck_assert_uint_eq (changes.left, 0);
  anvil_registry_apply (registry, recovered_at + 1500 * ANVIL_MS, &again);
  anvil_registry_tick (registry, recovered_at + ANVIL_REGISTRY_REMOVAL_GRACE - 1);
  ck_assert_uint_eq (changes.left, 0);
  anvil_registry_tick (registry, recovered_at + ANVIL_REGISTRY_REMOVAL_GRACE);
  ck_assert_uint_eq (changes.left, 1);
  ck_assert_ptr_nonnull (lookup (registry, "a"));
  ck_assert_ptr_null (lookup (registry, "b"));
}
END_TEST

START_TEST (test_removals_take_effect_if_a_peer_reached_the_store_during_the_outage)
{
  anvil_time_t recovered_at = 10 * ANVIL_SECOND;

  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, recovered_at);
  anvil_registry_remove (registry, recovered_at, anvil_str ("a"));
  /* A peer that reached the store for the last part of the outage doesn't rule out expired rows. */
  anvil_registry_cancel_grace (registry, recovered_at,
                               recovered_at - ANVIL_REGISTRY_REMOVAL_GRACE + 1);
  anvil_registry_tick (registry, recovered_at);
  ck_assert_uint_eq (changes.left, 0);
  anvil_registry_cancel_grace (registry, recovered_at, ANVIL_SECOND / 2);
  anvil_registry_tick (registry, recovered_at);
  ck_assert_uint_eq (changes.left, 1);
}
END_TEST

/* The store had an outage and was back long before this entry reached it again. */
START_TEST (test_removals_take_effect_if_expired_rows_are_back)
{
  anvil_time_t recovered_at = 20 * ANVIL_SECOND;
  anvil_time_t since = 10 * ANVIL_SECOND;

  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, recovered_at);
  anvil_registry_remove (registry, recovered_at, anvil_str ("a"));
  anvil_registry_cancel_grace (registry, recovered_at,
                               recovered_at - ANVIL_REGISTRY_REMOVAL_GRACE + 1);
  anvil_registry_tick (registry, recovered_at);
  ck_assert_uint_eq (changes.left, 0);
  anvil_registry_cancel_grace (registry, recovered_at, since);
  anvil_registry_tick (registry, recovered_at);
  ck_assert_uint_eq (changes.left, 1);
}
END_TEST

START_TEST (test_draining_upstream_is_removed_at_once_after_an_outage)
{
  anvil_upstream_report_t draining = report ("a");

  draining.draining = TRUE;
  anvil_registry_apply (registry, 0, &draining);
  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, 2 * ANVIL_SECOND);
  anvil_registry_remove (registry, 2 * ANVIL_SECOND, anvil_str ("a"));
  ck_assert_uint_eq (changes.left, 1);
}
END_TEST

START_TEST (test_draining_upstream_that_a_snapshot_lacks_is_removed_at_once_after_an_outage)
{
  anvil_upstream_report_t draining = report ("a");

  draining.draining = TRUE;
  anvil_registry_apply (registry, 0, &draining);
  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, 2 * ANVIL_SECOND);
  anvil_registry_begin_snapshot (registry);
  anvil_registry_end_snapshot (registry, 2 * ANVIL_SECOND);
  ck_assert_uint_eq (changes.left, 1);
}
END_TEST

/* An entry that started after "gone" had left, and an entry that still knows it. */
START_TEST (test_granted_upstream_without_a_row_is_judged_by_the_newer_read)
{
  const guint64 gone = anvil_str_hash (anvil_str ("gone"));
  const anvil_str_t zone = anvil_str ("west-a");
  const anvil_time_t settled = ANVIL_REGISTRY_REMOVAL_GRACE;

  anvil_registry_set_version (registry, at (50));
  ck_assert_ptr_nonnull (
      anvil_registry_reason_not_to_use (registry, gone, zone, 0, at (49), settled));
  ck_assert_ptr_nonnull (
      anvil_registry_reason_not_to_use (registry, gone, zone, 0, at (50), settled));
  /* The other entry has read later, so the upstream is new. */
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, gone, zone, 0, at (51), settled));
  /* Its row may have expired in an outage and not be back yet. */
  ck_assert_ptr_null (
      anvil_registry_reason_not_to_use (registry, gone, zone, 0, at (49), settled - 1));
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, anvil_str_hash (anvil_str ("a")),
                                                        zone, 0, at (49), settled));
}
END_TEST

/* Guards against requests to an evacuated zone on the word of an entry that knows a new upstream
 * there, but not the evacuation. */
START_TEST (test_granted_upstream_in_an_evacuated_zone_is_not_used_if_it_is_unknown)
{
  const guint64 new_key = anvil_str_hash (anvil_str ("new"));
  const anvil_str_t zone = anvil_str ("west-b");

  anvil_registry_set_evacuated (registry, 0, zone, TRUE, 0);
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, new_key, zone, 0, at (1), 0));
  ck_assert_ptr_null (
      anvil_registry_reason_not_to_use (registry, new_key, anvil_str ("west-a"), 0, at (1), 0));
  anvil_registry_set_evacuated (registry, 0, zone, FALSE, 0);
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, new_key, zone, 0, at (1), 0));
}
END_TEST

START_TEST (test_row_of_an_upstream_is_as_new_as_the_last_read_unless_it_is_missing)
{
  const guint64 key = anvil_str_hash (anvil_str ("a"));

  anvil_registry_set_version (registry, at (50));
  ck_assert_uint_eq (anvil_registry_row_version (registry, key).version, 50);
  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, 10 * ANVIL_SECOND);
  anvil_registry_remove (registry, 10 * ANVIL_SECOND, anvil_str ("a"));
  ck_assert_ptr_nonnull (lookup (registry, "a"));
  ck_assert_uint_eq (anvil_registry_row_version (registry, key).version, 0);
}
END_TEST

START_TEST (test_snapshot_removes_upstreams_that_are_not_in_it)
{
  const anvil_upstream_report_t first = report ("a");
  const anvil_upstream_report_t second = report ("b");

  anvil_registry_apply (registry, 0, &second);
  anvil_registry_begin_snapshot (registry);
  anvil_registry_apply (registry, ANVIL_SECOND, &first);
  anvil_registry_end_snapshot (registry, ANVIL_SECOND);
  ck_assert_uint_eq (anvil_registry_count (registry), 1);
  ck_assert_ptr_nonnull (lookup (registry, "a"));
}
END_TEST

START_TEST (test_zone_is_cold_after_an_evacuation)
{
  anvil_registry_set_evacuated (registry, 0, anvil_str ("west-a"), TRUE, 0);
  ck_assert (!anvil_registry_usable (lookup (registry, "a")));
  anvil_registry_set_evacuated (registry, ANVIL_SECOND, anvil_str ("west-a"), FALSE,
                                3 * ANVIL_SECOND);
  ck_assert (anvil_registry_usable (lookup (registry, "a")));
  ck_assert_int_eq (lookup (registry, "a")->cold_until, 4 * ANVIL_SECOND);
}
END_TEST

START_TEST (test_upstream_that_joins_an_evacuated_zone_is_not_usable)
{
  const anvil_upstream_report_t second = report ("b");

  anvil_registry_set_evacuated (registry, 0, anvil_str ("west-a"), TRUE, 0);
  anvil_registry_apply (registry, ANVIL_SECOND, &second);
  ck_assert (!anvil_registry_usable (lookup (registry, "b")));
}
END_TEST

static gboolean
is_usable (const char *id)
{
  const anvil_registered_upstream_t *upstream = lookup (registry, id);

  return upstream != NULL && anvil_registry_usable (upstream);
}

static void
apply_at (anvil_time_t now, gint64 started_at, gboolean draining)
{
  anvil_upstream_report_t row = report ("a");

  row.started_at = started_at;
  row.draining = draining;
  anvil_registry_apply (registry, now, &row);
}

static void
apply (gint64 started_at, gboolean draining)
{
  apply_at (ANVIL_SECOND, started_at, draining);
}

static gboolean
set_leaving (gint64 started_at)
{
  return anvil_registry_set_leaving (registry, ANVIL_SECOND, anvil_str_hash (anvil_str ("a")),
                                     "photos", started_at, FALSE);
}

START_TEST (test_an_upstream_that_says_that_it_leaves_stays_unusable)
{
  ck_assert (set_leaving (1000));
  ck_assert (!set_leaving (1000));
  ck_assert_uint_eq (changes.changed, 1);
  ck_assert (!is_usable ("a"));
  /* Its row, a whole read, and a row that is gone and comes back say that it is ready. */
  apply (1000, FALSE);
  ck_assert (!is_usable ("a"));
  anvil_registry_begin_snapshot (registry);
  apply (1000, FALSE);
  anvil_registry_end_snapshot (registry, ANVIL_SECOND);
  ck_assert (!is_usable ("a"));
  anvil_registry_remove (registry, ANVIL_SECOND, anvil_str ("a"));
  apply (1000, FALSE);
  ck_assert (!is_usable ("a"));
}
END_TEST

START_TEST (test_a_later_start_does_not_inherit_that_an_upstream_leaves)
{
  ck_assert (set_leaving (1000));
  apply (1001, FALSE);
  ck_assert (is_usable ("a"));
  /* A response of the former process arrives late. */
  ck_assert (!set_leaving (1000));
  ck_assert (is_usable ("a"));
}
END_TEST

/* The entry that granted it knows a later process than this one. */
START_TEST (test_an_older_row_does_not_bring_an_upstream_back_that_leaves)
{
  ck_assert (set_leaving (1001));
  apply (1000, FALSE);
  ck_assert (!is_usable ("a"));
  apply (1001, FALSE);
  ck_assert (!is_usable ("a"));
}
END_TEST

/* Rows are read in the order in which they were written, so the row of a process that started
 * earlier by its own clock is newer. */
START_TEST (test_a_restart_after_the_clock_was_set_back_does_not_inherit_that_an_upstream_leaves)
{
  ck_assert (set_leaving (1000));
  apply (999, FALSE);
  ck_assert (is_usable ("a"));
  ck_assert (set_leaving (999));
  anvil_registry_remove (registry, ANVIL_SECOND, anvil_str ("a"));
  apply (998, FALSE);
  ck_assert (is_usable ("a"));
}
END_TEST

START_TEST (test_an_upstream_that_left_is_forgotten_some_time_after_its_row_is_gone)
{
  ck_assert (set_leaving (1000));
  anvil_registry_remove (registry, ANVIL_SECOND, anvil_str ("a"));
  apply_at (30 * ANVIL_SECOND, 1000, FALSE);
  ck_assert (!is_usable ("a"));
  anvil_registry_remove (registry, 30 * ANVIL_SECOND, anvil_str ("a"));
  apply_at (120 * ANVIL_SECOND, 1000, FALSE);
  ck_assert (is_usable ("a"));
  ck_assert_uint_eq (anvil_registry_count_leaving (registry), 0);
}
END_TEST

START_TEST (test_another_service_at_an_address_does_not_inherit_that_an_upstream_leaves)
{
  const anvil_registered_upstream_t *former = lookup (registry, "a");
  anvil_upstream_report_t row = report ("b");

  row.service = anvil_str ("videos");
  row.address = former->address;
  row.port = former->port;
  row.started_at = former->started_at;
  ck_assert (set_leaving (0));
  anvil_registry_remove (registry, ANVIL_SECOND, anvil_str ("a"));
  anvil_registry_apply (registry, ANVIL_SECOND, &row);
  ck_assert (is_usable ("b"));
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, anvil_str_hash (anvil_str ("b")),
                                                        row.zone, row.started_at, at (1), 0));
}
END_TEST

START_TEST (test_an_upstream_whose_row_returns_from_draining_stays)
{
  ck_assert (set_leaving (1000));
  apply (1000, TRUE);
  ck_assert (!is_usable ("a"));
  apply (1000, FALSE);
  ck_assert (is_usable ("a"));
}
END_TEST

/* The peer has not read the row that said that it drains. */
START_TEST (test_a_peer_does_not_undo_that_an_upstream_stays)
{
  const guint64 key = anvil_str_hash (anvil_str ("a"));

  ck_assert (set_leaving (1000));
  apply (1000, TRUE);
  apply (1000, FALSE);
  ck_assert (!anvil_registry_set_leaving (registry, ANVIL_SECOND, key, "photos", 1000, TRUE));
  ck_assert (is_usable ("a"));
  ck_assert_uint_eq (anvil_registry_count_leaving (registry), 0);
  /* It says so again. */
  ck_assert (set_leaving (1000));
  ck_assert (!is_usable ("a"));
}
END_TEST

START_TEST (test_an_upstream_that_left_is_removed_at_once_after_an_outage)
{
  ck_assert (set_leaving (1000));
  anvil_registry_store_lost (registry, ANVIL_SECOND);
  anvil_registry_store_recovered (registry, 10 * ANVIL_SECOND);
  anvil_registry_remove (registry, 10 * ANVIL_SECOND, anvil_str ("a"));
  ck_assert_ptr_null (lookup (registry, "a"));
}
END_TEST

/* The upstream may be known to the holder only. */
START_TEST (test_a_grant_of_an_upstream_that_leaves_is_not_used)
{
  const guint64 key = anvil_str_hash (anvil_str ("new"));
  const anvil_str_t zone = anvil_str ("west-a");

  ck_assert (anvil_registry_set_leaving (registry, ANVIL_SECOND, key, "photos", 1000, FALSE));
  ck_assert_uint_eq (anvil_registry_count_leaving (registry), 1);
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, key, zone, 1000, at (1), 0));
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, key, zone, 0, at (1), 0));
  ck_assert_ptr_null (anvil_registry_reason_not_to_use (registry, key, zone, 1001, at (1), 0));
}
END_TEST

/* Those that have left are dropped first. */
START_TEST (test_the_number_of_upstreams_that_leave_is_bounded)
{
  const guint more_than_kept = 10000;

  ck_assert (set_leaving (1000));
  for (guint64 key = 1; key <= more_than_kept; key++)
    anvil_registry_set_leaving (registry, ANVIL_SECOND, key, "photos", 1000, FALSE);
  ck_assert_uint_lt (anvil_registry_count_leaving (registry), more_than_kept);
  ck_assert_ptr_nonnull (anvil_registry_reason_not_to_use (registry, more_than_kept,
                                                           anvil_str ("west-a"), 1000, at (1), 0));
  apply (1000, FALSE);
  ck_assert (!is_usable ("a"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("registry");
  TCase *tests = tcase_create ("registry");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_unchanged_report_is_no_change);
  tcase_add_test (tests, test_another_start_time_of_the_same_id_is_a_restart);
  tcase_add_test (tests, test_removed_row_removes_the_upstream_at_once);
  tcase_add_test (tests, test_removals_are_deferred_after_an_outage_of_the_store);
  tcase_add_test (tests, test_removals_take_effect_if_a_peer_reached_the_store_during_the_outage);
  tcase_add_test (tests, test_removals_take_effect_if_expired_rows_are_back);
  tcase_add_test (tests, test_draining_upstream_is_removed_at_once_after_an_outage);
  tcase_add_test (tests,
                  test_draining_upstream_that_a_snapshot_lacks_is_removed_at_once_after_an_outage);
  tcase_add_test (tests, test_granted_upstream_without_a_row_is_judged_by_the_newer_read);
  tcase_add_test (tests, test_row_of_an_upstream_is_as_new_as_the_last_read_unless_it_is_missing);
  tcase_add_test (tests, test_snapshot_removes_upstreams_that_are_not_in_it);
  tcase_add_test (tests, test_granted_upstream_in_an_evacuated_zone_is_not_used_if_it_is_unknown);
  tcase_add_test (tests, test_zone_is_cold_after_an_evacuation);
  tcase_add_test (tests, test_upstream_that_joins_an_evacuated_zone_is_not_usable);
  tcase_add_test (tests, test_an_upstream_that_says_that_it_leaves_stays_unusable);
  tcase_add_test (tests, test_a_later_start_does_not_inherit_that_an_upstream_leaves);
  tcase_add_test (tests,
                  test_another_service_at_an_address_does_not_inherit_that_an_upstream_leaves);
  tcase_add_test (tests, test_an_upstream_whose_row_returns_from_draining_stays);
  tcase_add_test (tests, test_an_upstream_that_left_is_removed_at_once_after_an_outage);
  tcase_add_test (tests, test_a_grant_of_an_upstream_that_leaves_is_not_used);
  tcase_add_test (tests, test_the_number_of_upstreams_that_leave_is_bounded);
  tcase_add_test (tests, test_an_older_row_does_not_bring_an_upstream_back_that_leaves);
  tcase_add_test (
      tests, test_a_restart_after_the_clock_was_set_back_does_not_inherit_that_an_upstream_leaves);
  tcase_add_test (tests, test_an_upstream_that_left_is_forgotten_some_time_after_its_row_is_gone);
  tcase_add_test (tests, test_a_peer_does_not_undo_that_an_upstream_stays);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
