/* Use of the VM's link: what is measured in a period, and for whom. */

#include <check.h>
#include <stdlib.h>

#include "relay/link-usage.h"

/* 8 Mbit/s, so that a second carries a million bytes. */
#define LINK_RATE 8000000
#define START (100 * ANVIL_SECOND)

START_TEST (test_periods_are_measured_each_second)
{
  anvil_link_usage_t usage = { .rate = LINK_RATE };
  anvil_byte_counts_t totals[ANVIL_N_LINK_USERS] = { { .in = 5000, .out = 7000 } };

  ck_assert (!anvil_link_usage_update (&usage, START, totals));
  totals[ANVIL_LINK_CALLERS].in += 250000;
  totals[ANVIL_LINK_STORE].in += 350000;
  totals[ANVIL_LINK_UPSTREAMS].out += 100000;
  ck_assert (!anvil_link_usage_update (&usage, START + 999 * ANVIL_MS, totals));
  ck_assert (anvil_link_usage_update (&usage, START + ANVIL_SECOND, totals));
  ck_assert_uint_eq (usage.period[ANVIL_LINK_CALLERS].in, 250000);
  ck_assert_uint_eq (usage.period[ANVIL_LINK_CALLERS].out, 0);
  ck_assert_uint_eq (usage.period[ANVIL_LINK_STORE].in, 350000);
  ck_assert_uint_eq (usage.period[ANVIL_LINK_UPSTREAMS].out, 100000);
  ck_assert_double_eq_tol (usage.share, 0.6, 1e-9);
}
END_TEST

START_TEST (test_the_busier_direction_counts_over_the_time_that_passed)
{
  anvil_link_usage_t usage = { .rate = LINK_RATE };
  anvil_byte_counts_t totals[ANVIL_N_LINK_USERS] = { { 0 } };

  anvil_link_usage_update (&usage, START, totals);
  totals[ANVIL_LINK_PEERS] = (anvil_byte_counts_t){ .in = 100, .out = 1000000 };
  ck_assert (anvil_link_usage_update (&usage, START + 2 * ANVIL_SECOND, totals));
  ck_assert_double_eq_tol (usage.share, 0.5, 1e-9);
}
END_TEST

START_TEST (test_a_link_of_unknown_rate_has_no_share)
{
  anvil_link_usage_t usage = { .rate = 0 };
  anvil_byte_counts_t totals[ANVIL_N_LINK_USERS] = { { 0 } };

  anvil_link_usage_update (&usage, START, totals);
  totals[ANVIL_LINK_STORE].in = 1u << 30;
  ck_assert (anvil_link_usage_update (&usage, START + ANVIL_SECOND, totals));
  ck_assert_double_eq (usage.share, 0);
  ck_assert_uint_eq (usage.period[ANVIL_LINK_STORE].in, 1u << 30);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link-usage");
  TCase *tests = tcase_create ("link-usage");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_periods_are_measured_each_second);
  tcase_add_test (tests, test_the_busier_direction_counts_over_the_time_that_passed);
  tcase_add_test (tests, test_a_link_of_unknown_rate_has_no_share);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
