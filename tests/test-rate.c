/* Token buckets: what may be used never exceeds the share and its burst. */

#include <check.h>
#include <stdlib.h>

#include "steer/rate-bucket.h"

START_TEST (test_use_stays_within_rate_and_burst)
{
  GRand *random = g_rand_new_with_seed (7);
  anvil_rate_bucket_t rate = { .rate_per_seat = 1e6 };
  gdouble used = 0;

  for (anvil_time_t now = 0; now < 60 * ANVIL_SECOND; now += ANVIL_MS)
    {
      gint64 units = g_rand_int_range (random, 1, 50000);

      anvil_rate_bucket_refill (&rate, ANVIL_MS);
      if (anvil_rate_bucket_allows (&rate, units))
        {
          anvil_rate_bucket_consume (&rate, units);
          used += (gdouble) units;
        }
      ck_assert_double_le (used, 1e6 * (gdouble) (now + ANVIL_MS) / ANVIL_SECOND
                                     + anvil_rate_bucket_capacity (&rate));
    }
  ck_assert_double_ge (used, 0.95 * 60e6);
  g_rand_free (random);
}
END_TEST

START_TEST (test_large_use_waits_for_a_full_bucket_and_is_worked_off)
{
  anvil_rate_bucket_t rate = { .rate_per_seat = 1e6 };

  ck_assert (!anvil_rate_bucket_allows (&rate, 4000000));
  anvil_rate_bucket_refill (&rate, ANVIL_RATE_BURST_TIME);
  ck_assert (anvil_rate_bucket_allows (&rate, 4000000));
  anvil_rate_bucket_consume (&rate, 4000000);
  anvil_rate_bucket_refill (&rate, 3 * ANVIL_SECOND);
  ck_assert (!anvil_rate_bucket_allows (&rate, 1));
  anvil_rate_bucket_refill (&rate, ANVIL_SECOND);
  ck_assert (anvil_rate_bucket_allows (&rate, 1));
}
END_TEST

START_TEST (test_idle_time_saves_up_no_more_than_the_burst)
{
  anvil_rate_bucket_t rate = { .rate_per_seat = 1e6 };

  for (guint i = 0; i < 3600; i++)
    anvil_rate_bucket_refill (&rate, ANVIL_SECOND);
  ck_assert_double_eq (rate.tokens, anvil_rate_bucket_capacity (&rate));
}
END_TEST

START_TEST (test_lending_takes_tokens_away)
{
  anvil_rate_bucket_t rate = { .rate_per_seat = 1e6, .tokens = 1000 };

  ck_assert_int_eq (anvil_rate_bucket_lend (&rate, 10000), 500);
  ck_assert_double_eq (rate.tokens, 500);
  rate.tokens = -100;
  ck_assert_int_eq (anvil_rate_bucket_lend (&rate, 10), 0);
  ck_assert_double_eq (rate.tokens, -100);
}
END_TEST

START_TEST (test_no_share_means_no_use)
{
  anvil_rate_bucket_t rate = { 0 };

  ck_assert (!anvil_rate_bucket_allows (&rate, 0));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rate");
  TCase *tcase = tcase_create ("rate");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_use_stays_within_rate_and_burst);
  tcase_add_test (tcase, test_large_use_waits_for_a_full_bucket_and_is_worked_off);
  tcase_add_test (tcase, test_idle_time_saves_up_no_more_than_the_burst);
  tcase_add_test (tcase, test_lending_takes_tokens_away);
  tcase_add_test (tcase, test_no_share_means_no_use);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
