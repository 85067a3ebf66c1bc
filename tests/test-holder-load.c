/* A holder whose processor hasn't time for all requests, in simulated time. */

#include <check.h>
#include <stdlib.h>

#include "bench/common-holder.h"
#include "steer/holder-pressure.h"

#define RATE 1540.0
/* The least VM has 0.23 of a core. A third of that may go to comparisons at twice the usual rate,
 * with COMPARE_US each; and no tick may take a tenth of its interval. */
#define COMPARE_US 0.2
#define MAX_COMPARED_PER_REQUEST 125
#define MAX_COMPARED_PER_TICK 5750
#define PROCESSOR_SHARE 0.23
/* So that a request, its answer and the report of its end leave time for 1,000 a second. */
#define MESSAGE_US 115.0
#define GRANTS_PER_SECOND 1000.0
#define MAX_REFUSAL_TIME (HOLDER_SIM_TARGET / 10)

/* A holder with little processor time, at a multiple of what that can grant. */
static holder_sim_t *
new_limited (gdouble load)
{
  const holder_sim_options_t options = { .per_second = load * GRANTS_PER_SECOND,
                                         .processor_share = PROCESSOR_SHARE,
                                         .message_us = MESSAGE_US,
                                         .compare_us = COMPARE_US,
                                         .warm = TRUE };

  return holder_sim_new (&options);
}

START_TEST (test_comparisons_per_request_are_bounded_while_all_objects_wait)
{
  const gdouble loads[] = { 1, 4 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      const holder_sim_options_t options = { .per_second = loads[i] * RATE };
      holder_sim_t *sim = holder_sim_new (&options);
      const holder_sim_result_t result = holder_sim_run (sim, 8 * ANVIL_SECOND);

      ck_assert_msg (result.n_compared <= (guint64) result.n * MAX_COMPARED_PER_REQUEST,
                     "%.0f comparisons for a request at load %.1f",
                     (gdouble) result.n_compared / result.n, loads[i]);
      ck_assert_msg (result.most_compared <= MAX_COMPARED_PER_TICK,
                     "%" G_GUINT64_FORMAT " comparisons in a tick at load %.1f",
                     result.most_compared, loads[i]);
      holder_sim_drop (sim);
    }
}
END_TEST

START_TEST (test_holder_serves_what_it_can_grant_beyond_its_limit)
{
  const gdouble loads[] = { 1, 1.5, 2, 3 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      holder_sim_t *sim = new_limited (loads[i]);
      holder_sim_result_t result;

      holder_sim_run (sim, 8 * ANVIL_SECOND);
      result = holder_sim_run (sim, 8 * ANVIL_SECOND);
      holder_sim_drop (sim);
      ck_assert_msg (result.served * loads[i] >= 0.75, "load %.1f: %.3f served", loads[i],
                     result.served);
      ck_assert_msg (result.held <= 0.02, "load %.1f: %.3f held", loads[i], result.held);
      ck_assert_msg (result.median_refusal <= MAX_REFUSAL_TIME,
                     "load %.1f: refused after %" G_GINT64_FORMAT " ms", loads[i],
                     result.median_refusal / ANVIL_MS);
    }
}
END_TEST

START_TEST (test_holder_recovers_after_a_burst)
{
  holder_sim_t *sim = new_limited (3);
  holder_sim_result_t result;

  holder_sim_run (sim, 4 * ANVIL_SECOND);
  holder_sim_set_rate (sim, 0.5 * GRANTS_PER_SECOND);
  holder_sim_run (sim, 4 * ANVIL_SECOND);
  result = holder_sim_run (sim, 4 * ANVIL_SECOND);
  ck_assert_msg (result.served >= 0.99, "%.3f served after the burst", result.served);
  holder_sim_drop (sim);
}
END_TEST

START_TEST (test_requests_behind_one_slow_link_are_no_pressure)
{
  anvil_holder_pressure_t pressure = { 0 };
  anvil_time_t now = ANVIL_SECOND;

  for (guint i = 0; i < 8; i++)
    {
      for (guint k = 0; k < 30; k++)
        anvil_holder_pressure_add (&pressure, k < 10 ? ANVIL_SECOND : 0);
      now += 250 * ANVIL_MS;
      ck_assert (!anvil_holder_pressure_tick (&pressure, now));
    }
  ck_assert_uint_eq (pressure.refused_share, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("holder-load");
  TCase *tests = tcase_create ("holder-load");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_comparisons_per_request_are_bounded_while_all_objects_wait);
  tcase_add_test (tests, test_holder_serves_what_it_can_grant_beyond_its_limit);
  tcase_add_test (tests, test_holder_recovers_after_a_burst);
  tcase_add_test (tests, test_requests_behind_one_slow_link_are_no_pressure);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
