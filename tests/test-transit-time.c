#include <check.h>
#include <stdlib.h>

#include "steer/transit-time.h"

/* The peer's clock, relative to this one. */
#define OFFSET (-777 * ANVIL_SECOND)
#define LEAST_TIME (20 * ANVIL_MS)

static anvil_transit_t transit;

static anvil_time_t
add (anvil_time_t sent_at, anvil_time_t queued)
{
  return anvil_transit_add (&transit, sent_at + LEAST_TIME + queued, sent_at + OFFSET);
}

static void
set_up (void)
{
  transit = (anvil_transit_t){ 0 };
}

START_TEST (test_time_in_queues_is_told_apart_from_clocks_and_distance)
{
  ck_assert_int_eq (add (1 * ANVIL_SECOND, 0), 0);
  ck_assert_int_eq (add (2 * ANVIL_SECOND, 700 * ANVIL_MS), 700 * ANVIL_MS);
  ck_assert_int_eq (add (3 * ANVIL_SECOND, 0), 0);
}
END_TEST

START_TEST (test_first_messages_of_a_busy_peer_are_corrected)
{
  ck_assert_int_eq (add (1 * ANVIL_SECOND, 500 * ANVIL_MS), 0);
  ck_assert_int_eq (add (2 * ANVIL_SECOND, 100 * ANVIL_MS), 0);
  ck_assert_int_eq (add (3 * ANVIL_SECOND, 500 * ANVIL_MS), 400 * ANVIL_MS);
}
END_TEST

START_TEST (test_a_longer_way_is_followed)
{
  add (1 * ANVIL_SECOND, 0);
  for (guint i = 2; i < 100; i++)
    add (i * ANVIL_SECOND, 40 * ANVIL_MS);
  ck_assert_int_eq (add (100 * ANVIL_SECOND, 40 * ANVIL_MS), 0);
  ck_assert_int_eq (add (101 * ANVIL_SECOND, 90 * ANVIL_MS), 50 * ANVIL_MS);
}
END_TEST

START_TEST (test_a_least_time_is_kept_for_a_whole_period_at_least)
{
  add (1 * ANVIL_SECOND, 0);
  for (guint i = 2; i < 30; i++)
    ck_assert_int_eq (add (i * ANVIL_SECOND, 2 * ANVIL_SECOND), 2 * ANVIL_SECOND);
}
END_TEST

START_TEST (test_a_clock_that_starts_again_is_no_queue)
{
  add (1 * ANVIL_SECOND, 0);
  ck_assert_int_eq (anvil_transit_add (&transit, 2 * ANVIL_SECOND, 2 * ANVIL_SECOND + 5 * OFFSET),
                    0);
  ck_assert_int_eq (anvil_transit_add (&transit, 3 * ANVIL_SECOND, 2 * ANVIL_SECOND + 5 * OFFSET),
                    ANVIL_SECOND);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("transit-time");
  TCase *tests = tcase_create ("transit-time");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, NULL);
  tcase_add_test (tests, test_time_in_queues_is_told_apart_from_clocks_and_distance);
  tcase_add_test (tests, test_first_messages_of_a_busy_peer_are_corrected);
  tcase_add_test (tests, test_a_longer_way_is_followed);
  tcase_add_test (tests, test_a_least_time_is_kept_for_a_whole_period_at_least);
  tcase_add_test (tests, test_a_clock_that_starts_again_is_no_queue);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
