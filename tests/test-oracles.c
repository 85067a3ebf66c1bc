/* Every oracle is seen to fail once the mechanism that it watches is switched off. */

#include <check.h>
#include <stdlib.h>

#include "world-fault.h"
#include "world-run.h"

/* Seeds that are tried for one mechanism. */
#define MAX_SEEDS 100
#define DIRECTED_SEEDS 20

/* First seed at which the named oracle is the first to fail, 0 if there is none. */
static guint32
failing_seed (const world_fault_t *fault)
{
  anvil_steer_faults_t faults = { 0 };

  world_fault_set (&faults, fault->name);
  for (guint32 seed = 1; seed <= MAX_SEEDS; seed++)
    {
      GArray *history = world_draw (seed, WORLD_STEPS);
      world_result_t result = world_run (seed, history, &faults);

      g_array_unref (history);
      if (g_strcmp0 (result.failed, fault->oracle) == 0)
        return seed;
    }
  return 0;
}

START_TEST (test_oracle_fails_without_its_mechanism)
{
  guint32 seed;

  if (world_faults[_i].directed)
    return;
  seed = failing_seed (&world_faults[_i]);
  ck_assert_msg (seed > 0, "%s: oracle \"%s\" passed seeds 1-%d", world_faults[_i].name,
                 world_faults[_i].oracle, MAX_SEEDS);
}
END_TEST

static void
add (GArray *history, const char *name, guint8 a, guint8 b)
{
  world_op_t op = world_op (name, a, b, 0);

  g_array_append_val (history, op);
}

/*
 * Seat 0 has the witnesses 0, 1 and 2. Its holder dies and entry 1 adopts it by the grants of 1 and
 * 2. An entry without a seat, which can't reach entry 1, claims the seat. Then witness 2 restarts
 * and has forgotten its grant to entry 1, which still lasts.
 */
static GArray *
forgetful_witness_history (void)
{
  GArray *history = g_array_new (FALSE, FALSE, sizeof (world_op_t));

  add (history, "advance-long", 255, 0);
  add (history, "kill", 0, 0);
  add (history, "advance-long", 125, 0);
  add (history, "cut", 0, 1);
  add (history, "cut", 5, 1);
  add (history, "replace", 0, 0);
  add (history, "advance-long", 75, 0);
  add (history, "restart", 2, 0);
  for (guint i = 0; i < 40; i++)
    add (history, "advance", 24, 0);
  return history;
}

START_TEST (test_seat_oracle_fails_when_a_witness_doesnt_wait)
{
  GArray *history = forgetful_witness_history ();
  anvil_steer_faults_t faults = { .ignore_wait_out = TRUE };
  guint failures = 0;

  for (guint32 seed = 1; seed <= DIRECTED_SEEDS; seed++)
    {
      world_result_t whole = world_run (seed, history, NULL);
      world_result_t broken = world_run (seed, history, &faults);

      ck_assert_msg (whole.failed == NULL, "seed %u: oracle \"%s\": %s", seed, whole.failed,
                     whole.reason);
      failures += g_strcmp0 (broken.failed, "seat") == 0;
    }
  ck_assert_uint_gt (failures, 0);
  g_array_unref (history);
}
END_TEST

static int
count_faults (void)
{
  int n = 0;

  while (world_faults[n].name != NULL)
    n++;
  return n;
}

int
main (void)
{
  Suite *suite = suite_create ("oracles");
  TCase *tcase = tcase_create ("oracles");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 0);
  tcase_add_loop_test (tcase, test_oracle_fails_without_its_mechanism, 0, count_faults ());
  tcase_add_test (tcase, test_seat_oracle_fails_when_a_witness_doesnt_wait);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  world_files_drop ();
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
