/* Token buckets: use never exceeds the share plus the burst. */

#include <check.h>
#include <stdlib.h>

#include "steer/rate-bucket.h"

START_TEST (test_use_stays_within_rate_and_burst)
{
  GRand *random = g_rand_new_with_seed (7);
  anvil_rate_bucket_t bucket = { .rate_per_seat = 1e6 };
  gdouble used = 0;

  for (anvil_time_t now = 0; now < 60 * ANVIL_SECOND; now += ANVIL_MS)
    {
      gint64 units = g_rand_int_range (random, 1, 50000);

      anvil_rate_bucket_refill (&bucket, ANVIL_MS);
      if (anvil_rate_bucket_allows (&bucket, units))
        {
          anvil_rate_bucket_consume (&bucket, units);
          used += (gdouble) units;
        }
      ck_assert_double_le (used, 1e6 * (gdouble) (now + ANVIL_MS) / ANVIL_SECOND
                                     + anvil_rate_bucket_capacity (&bucket));
    }
  ck_assert_double_ge (used, 0.95 * 60e6);
  g_rand_free (random);
}
END_TEST

START_TEST (test_large_use_needs_a_full_bucket_and_is_paid_back)
{
  anvil_rate_bucket_t bucket = { .rate_per_seat = 1e6 };

  ck_assert (!anvil_rate_bucket_allows (&bucket, 4000000));
  anvil_rate_bucket_refill (&bucket, ANVIL_RATE_BURST_TIME);
  ck_assert (anvil_rate_bucket_allows (&bucket, 4000000));
  anvil_rate_bucket_consume (&bucket, 4000000);
  anvil_rate_bucket_refill (&bucket, 3 * ANVIL_SECOND);
  ck_assert (!anvil_rate_bucket_allows (&bucket, 1));
  anvil_rate_bucket_refill (&bucket, ANVIL_SECOND);
  ck_assert (anvil_rate_bucket_allows (&bucket, 1));
}
END_TEST

START_TEST (test_idle_time_adds_at_most_the_burst)
{
  anvil_rate_bucket_t bucket = { .rate_per_seat = 1e6 };

  for (guint i = 0; i < 3600; i++)
    anvil_rate_bucket_refill (&bucket, ANVIL_SECOND);
  ck_assert_double_eq (bucket.tokens, anvil_rate_bucket_capacity (&bucket));
}
END_TEST

START_TEST (test_lending_removes_tokens)
{
  anvil_rate_bucket_t bucket = { .rate_per_seat = 1e6, .tokens = 1000 };

  ck_assert_int_eq (anvil_rate_bucket_lend (&bucket, 10000), 500);
  ck_assert_double_eq (bucket.tokens, 500);
  bucket.tokens = -100;
  ck_assert_int_eq (anvil_rate_bucket_lend (&bucket, 10), 0);
  ck_assert_double_eq (bucket.tokens, -100);
}
END_TEST

START_TEST (test_bucket_without_a_share_allows_nothing)
{
  anvil_rate_bucket_t bucket = { 0 };

  ck_assert (!anvil_rate_bucket_allows (&bucket, 0));
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
  tcase_add_test (tcase, test_large_use_needs_a_full_bucket_and_is_paid_back);
  tcase_add_test (tcase, test_idle_time_adds_at_most_the_burst);
  tcase_add_test (tcase, test_lending_removes_tokens);
  tcase_add_test (tcase, test_bucket_without_a_share_allows_nothing);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
