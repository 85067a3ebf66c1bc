/* Histogram of run times: quantiles, age, runs that have lasted some time. */

#include <check.h>
#include <stdlib.h>

#include "steer/run-time-estimate.h"

/* Buckets are 9 % apart. */
static void
assert_near (anvil_time_t value, anvil_time_t expected)
{
  ck_assert_msg (llabs (value - expected) * 10 <= expected,
                 "%" G_GINT64_FORMAT " instead of %" G_GINT64_FORMAT, value, expected);
}

static anvil_run_time_estimate_t estimate;

static void
set_up (void)
{
  estimate = (anvil_run_time_estimate_t){ 0 };
}

static void
add (guint n, anvil_time_t now, anvil_time_t run_time)
{
  for (guint i = 0; i < n; i++)
    anvil_run_time_estimate_add (&estimate, now, run_time);
}

/* Guards against a default that looks like a measured time. */
START_TEST (test_no_samples)
{
  ck_assert_int_eq (anvil_run_time_estimate_quantile (&estimate, 0.5), 0);
  ck_assert_int_eq (anvil_run_time_estimate_remaining (&estimate, ANVIL_MS, 0.5), 0);
  ck_assert_double_eq (anvil_run_time_estimate_weight (&estimate, ANVIL_SECOND), 0);
}
END_TEST

/* Load: 3 in 100 runs take 7 times as long. They must not move the median. */
START_TEST (test_long_runs_show_in_the_tail_only)
{
  add (97, ANVIL_SECOND, 200 * ANVIL_MS);
  add (3, ANVIL_SECOND, 1400 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_quantile (&estimate, 0.5), 200 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_quantile (&estimate, 0.95), 200 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_quantile (&estimate, 0.99), 1400 * ANVIL_MS);
}
END_TEST

/* Guards against a slot expected back at the median although its run is one of the long ones. */
START_TEST (test_remaining_time_comes_from_the_tail)
{
  add (97, ANVIL_SECOND, 200 * ANVIL_MS);
  add (3, ANVIL_SECOND, 1400 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_remaining (&estimate, 0, 0.5), 200 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_remaining (&estimate, 300 * ANVIL_MS, 0.5), 1100 * ANVIL_MS);
  ck_assert_int_eq (anvil_run_time_estimate_remaining (&estimate, 3 * ANVIL_SECOND, 0.5),
                    3 * ANVIL_SECOND);
}
END_TEST

/* Guards against estimates that stay at what an upstream's past load was. */
START_TEST (test_samples_lose_weight)
{
  add (100, ANVIL_SECOND, 200 * ANVIL_MS);
  ck_assert_double_eq_tol (anvil_run_time_estimate_weight (&estimate, 11 * ANVIL_SECOND), 50, 0.1);
  add (60, 21 * ANVIL_SECOND, 800 * ANVIL_MS);
  assert_near (anvil_run_time_estimate_quantile (&estimate, 0.5), 800 * ANVIL_MS);
}
END_TEST

/* Guards against weights that overflow in a process that runs for weeks. */
START_TEST (test_ages_and_sizes_without_bound)
{
  const anvil_time_t day = (anvil_time_t) 24 * 3600 * ANVIL_SECOND;

  for (guint i = 0; i < 50; i++)
    add (10, i * day, i % 2 == 0 ? 0 : G_MAXINT64 / 2);
  assert_near (anvil_run_time_estimate_quantile (&estimate, 0.5), 120 * ANVIL_SECOND);
  ck_assert_double_eq_tol (anvil_run_time_estimate_weight (&estimate, 49 * day), 10, 0.1);
  ck_assert_int_eq (anvil_run_time_estimate_quantile (&estimate, 0),
                    anvil_run_time_estimate_quantile (&estimate, -1));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("run-time-estimate");
  TCase *tests = tcase_create ("run-time-estimate");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, NULL);
  tcase_add_test (tests, test_no_samples);
  tcase_add_test (tests, test_long_runs_show_in_the_tail_only);
  tcase_add_test (tests, test_remaining_time_comes_from_the_tail);
  tcase_add_test (tests, test_samples_lose_weight);
  tcase_add_test (tests, test_ages_and_sizes_without_bound);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
