/* Runs the fuzzer with fixed seeds, and with the seeds and histories that have revealed faults. */

#include <check.h>
#include <stdlib.h>

#include "world-run.h"

#define SEEDS_PER_TEST 10

static const struct
{
  guint32 seed;
  const char *history;
} regression_histories[] = {
  /* in-force: members considered dead received too few heartbeats. */
  { 95,
    "076aad952144a6d0725ea72c89a0573f2abfd09b05f73dec0a528cebcb976dae7eccd58d82a5dc8029c87274c01f"
    "69778fa63bda323894d0377c3ef2" },
  /* in-force: a file was requested only from the peer that announced it first, which was
   * unreachable. */
  { 37000234,
    "02cafe69881c3575e8b909f729d2f64211e0e4e721724c01723be6604cae281488476b7b23a7910a05c6f6d58b24"
    "ae08af26d84e7c7de85e6155cccf8a7758ef2fa15eaa396b4490dc860618dd1fc858b9b0e1d0e3ed168536a10e3"
    "a" },
  /* link: a loan of a few bits started a whole upload without pacing. */
  { 103, "36d2d8486d6d6e7c" },
  { 136, "2ff7550a5ffb9819" },
  /* drain: an entry without the VM list ended a drain from that list because of a load report. */
  { 11, "ed91c124daeb76272fd0e6ce3bf09ef87feeab7d" },
  { 184, "ecebd31edcf7f2f2349d07f534f8ee1e839b453d" },
};

/* Seeds whose whole history failed "seat", "slot", "slots", "stale" or "drain". In 91916 ("drain")
 * a heartbeat omitted old drains although it had room for them. The last three failed "in-force"
 * because the oracle expected files to pass through entries that could not fetch them. */
static const guint32 regression_seeds[]
    = { 808,  160,  249,   434,     389,     1163,    857,      713,      1443,    1755,
        1812, 1916, 91916, 1200310, 1300054, 1400223, 17001542, 37000234, 47000184 };

static void
check_history (guint32 seed, const GArray *history)
{
  world_result_t result = world_run (seed, history, NULL);

  ck_assert_msg (result.failed == NULL, "oracle \"%s\": %s; make fuzz SEED=%u STEPS=%d",
                 result.failed, result.reason, seed, WORLD_STEPS);
}

START_TEST (test_regression_histories)
{
  GArray *history = world_parse_history (regression_histories[_i].history);

  check_history (regression_histories[_i].seed, history);
  g_array_unref (history);
}
END_TEST

START_TEST (test_seeds)
{
  for (guint32 seed = 1; seed <= SEEDS_PER_TEST; seed++)
    {
      guint32 this_seed = (guint32) _i * SEEDS_PER_TEST + seed;
      GArray *history = world_generate_history (this_seed, WORLD_STEPS);

      check_history (this_seed, history);
      g_array_unref (history);
    }
}
END_TEST

START_TEST (test_regression_seeds)
{
  GArray *history = world_generate_history (regression_seeds[_i], WORLD_STEPS);

  check_history (regression_seeds[_i], history);
  g_array_unref (history);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz");
  TCase *tcase = tcase_create ("fuzz");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 0);
  tcase_add_loop_test (tcase, test_regression_histories, 0, G_N_ELEMENTS (regression_histories));
  tcase_add_loop_test (tcase, test_regression_seeds, 0, G_N_ELEMENTS (regression_seeds));
  tcase_add_loop_test (tcase, test_seeds, 0, 6);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  world_configs_drop ();
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
