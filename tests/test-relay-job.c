/* Target and deadline of a request's task. */

#include <check.h>
#include <stdlib.h>

#include "relay/relay-job-internal.h"

#define ARRIVED_AT (100 * ANVIL_SECOND)

START_TEST (test_target_and_deadline_include_the_way_back_to_the_caller)
{
  const anvil_route_t route = { .timeout = 2 * ANVIL_SECOND, .target_latency = 600 * ANVIL_MS };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 4 * ANVIL_SECOND);
  /* The round trip to a caller takes at least two milliseconds. */
  ck_assert_int_le (task.target, ARRIVED_AT + 598 * ANVIL_MS);
  ck_assert_int_ge (task.target, ARRIVED_AT + 570 * ANVIL_MS);
  ck_assert_int_le (task.deadline, ARRIVED_AT + 1998 * ANVIL_MS);
  ck_assert_int_ge (task.deadline, ARRIVED_AT + 1970 * ANVIL_MS);
}
END_TEST

START_TEST (test_a_callers_timeout_below_that_of_the_route_sets_the_deadline)
{
  const anvil_route_t route = { .timeout = 2 * ANVIL_SECOND, .target_latency = 600 * ANVIL_MS };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 300 * ANVIL_MS);
  ck_assert_int_lt (task.deadline, ARRIVED_AT + 300 * ANVIL_MS);
  ck_assert_int_le (task.target, task.deadline);
}
END_TEST

START_TEST (test_a_default_timeout_applies_if_none_is_given)
{
  const anvil_route_t route = { .timeout = 0 };
  anvil_task_t task = { 0 };

  job_set_times (&task, &route, ARRIVED_AT, 0);
  ck_assert_int_gt (task.deadline, ARRIVED_AT);
  ck_assert_int_lt (task.deadline, ARRIVED_AT + 60 * ANVIL_SECOND);
  ck_assert_int_eq (task.target, task.deadline);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-job");
  TCase *tests = tcase_create ("relay-job");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_target_and_deadline_include_the_way_back_to_the_caller);
  tcase_add_test (tests, test_a_callers_timeout_below_that_of_the_route_sets_the_deadline);
  tcase_add_test (tests, test_a_default_timeout_applies_if_none_is_given);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
