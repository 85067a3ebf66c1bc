/* What the process takes of its VM: how much work for other entries it declines. */

#include <check.h>
#include <stdlib.h>

#include "relay/process-usage.h"

#define INTERVAL (50 * ANVIL_MS)
#define LATE (40 * ANVIL_MS)

static anvil_process_usage_t usage;
static anvil_time_t now;

static void
set_up (void)
{
  usage = (anvil_process_usage_t){ 0 };
  now = 100 * ANVIL_SECOND;
}

/* Ticks that are all late by the same time. */
static void
tick_for (anvil_time_t time, anvil_time_t delay)
{
  const anvil_time_t until = now + time;

  while (now < until)
    {
      now += INTERVAL + delay;
      anvil_process_usage_tick (&usage, now, INTERVAL);
    }
}

START_TEST (test_a_process_with_time_to_spare_declines_nothing)
{
  tick_for (10 * ANVIL_SECOND, ANVIL_MS);
  ck_assert_uint_eq (usage.declined_share, 0);
}
END_TEST

/* Guards against a holder that sends requests for others until all that it holds waits for its
 * processor. */
START_TEST (test_a_process_whose_loop_is_late_soon_declines_most)
{
  tick_for (ANVIL_SECOND, LATE);
  ck_assert_uint_ge (usage.declined_share, 900);
  tick_for (10 * ANVIL_SECOND, LATE);
  ck_assert_uint_le (usage.declined_share, ANVIL_FULL_DECLINED_SHARE);
}
END_TEST

START_TEST (test_work_is_accepted_again_by_and_by)
{
  guint before;

  tick_for (2 * ANVIL_SECOND, LATE);
  before = usage.declined_share;
  tick_for (ANVIL_SECOND, 0);
  ck_assert_uint_lt (usage.declined_share, before);
  ck_assert_uint_ge (usage.declined_share, before / 2);
  tick_for (30 * ANVIL_SECOND, 0);
  ck_assert_uint_eq (usage.declined_share, 0);
}
END_TEST

/* One long task in a while is no lack of processor time. */
START_TEST (test_a_single_late_tick_does_not_count)
{
  tick_for (ANVIL_SECOND, 0);
  now += INTERVAL + LATE;
  anvil_process_usage_tick (&usage, now, INTERVAL);
  tick_for (ANVIL_SECOND, 0);
  ck_assert_uint_eq (usage.declined_share, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process-usage");
  TCase *tests = tcase_create ("process-usage");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, NULL);
  tcase_add_test (tests, test_a_process_with_time_to_spare_declines_nothing);
  tcase_add_test (tests, test_a_process_whose_loop_is_late_soon_declines_most);
  tcase_add_test (tests, test_work_is_accepted_again_by_and_by);
  tcase_add_test (tests, test_a_single_late_tick_does_not_count);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
