/* Use of the VM's link: what is measured in a period, and for whom. */

#include <check.h>
#include <stdlib.h>

#include "anvil/members.h"
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

/* Seconds of a link whose use follows the share of callers, after the time for which they keep a
 * look-up; returns the use of the last one. */
static gdouble
play_load (anvil_link_usage_t *usage, gdouble full_load, guint seconds)
{
  static const guint delay_s = 2;
  anvil_byte_counts_t totals[ANVIL_N_LINK_USERS] = { { 0 } };
  guint shares[64] = { 0 };

  anvil_link_usage_update (usage, START, totals);
  for (guint i = 0; i < seconds; i++)
    {
      guint caller_share = i >= delay_s ? shares[i - delay_s] : ANVIL_FULL_CALLER_SHARE;
      gdouble load = full_load * caller_share / ANVIL_FULL_CALLER_SHARE;

      totals[ANVIL_LINK_CALLERS].in += (guint64) (MIN (load, 1) * LINK_RATE / 8);
      anvil_link_usage_update (usage, START + (i + 1) * ANVIL_SECOND, totals);
      shares[i] = usage->caller_share;
    }
  return usage->share;
}

START_TEST (test_a_crowded_link_wants_fewer_callers_until_it_has_room)
{
  anvil_link_usage_t usage = { .rate = LINK_RATE, .caller_share = ANVIL_FULL_CALLER_SHARE };

  ck_assert_double_lt (play_load (&usage, 2, 30), 0.7);
  ck_assert_double_gt (usage.share, 0.3);
}
END_TEST

START_TEST (test_a_link_with_room_wants_all_callers)
{
  anvil_link_usage_t usage = { .rate = LINK_RATE, .caller_share = 200 };

  play_load (&usage, 0.3, 60);
  ck_assert_uint_eq (usage.caller_share, ANVIL_FULL_CALLER_SHARE);
  usage = (anvil_link_usage_t){ .rate = 0, .caller_share = ANVIL_FULL_CALLER_SHARE };
  play_load (&usage, 1, 30);
  ck_assert_uint_eq (usage.caller_share, ANVIL_FULL_CALLER_SHARE);
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
  tcase_add_test (tests, test_a_crowded_link_wants_fewer_callers_until_it_has_room);
  tcase_add_test (tests, test_a_link_with_room_wants_all_callers);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
