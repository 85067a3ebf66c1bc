/* Each oracle must fail when the mechanism that it checks is disabled. */

#include <check.h>
#include <stdlib.h>

#include "world-fault.h"
#include "world-run.h"

/* Number of seeds that are tried for one mechanism, by random and by directed histories. */
#define MAX_SEEDS 100
#define DIRECTED_SEEDS 20

/* Returns the first seed at which the fault's oracle is the first to fail, 0 if there is none. */
static guint32
find_failing_seed (const world_fault_t *fault)
{
  anvil_steer_faults_t faults = { 0 };

  world_fault_set (&faults, fault->name);
  for (guint32 seed = 1; seed <= MAX_SEEDS; seed++)
    {
      GArray *history = world_generate_history (seed, WORLD_STEPS);
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
  seed = find_failing_seed (&world_faults[_i]);
  ck_assert_msg (seed > 0, "%s: oracle \"%s\" passed seeds 1-%d", world_faults[_i].name,
                 world_faults[_i].oracle, MAX_SEEDS);
}
END_TEST

static void
append_op (GArray *history, const char *name, guint8 a, guint8 b)
{
  world_op_t op = world_op (name, a, b, 0);

  g_array_append_val (history, op);
}

/*
 * Guards against a second user of a seat after a witness has restarted. Entries 0, 1 and 2 are the
 * witnesses of seat 0. The holder of the seat dies, and entry 1 takes it over with the grants of
 * witnesses 1 and 2. An entry without a seat, which can't reach entry 1, also requests the seat.
 * Then witness 2 restarts and no longer knows its grant to entry 1, which has not expired.
 */
static GArray *
restarted_witness_history (void)
{
  GArray *history = g_array_new (FALSE, FALSE, sizeof (world_op_t));

  append_op (history, "advance-long", 255, 0);
  append_op (history, "kill", 0, 0);
  append_op (history, "advance-long", 125, 0);
  append_op (history, "cut", 0, 1);
  append_op (history, "cut", 5, 1);
  append_op (history, "replace", 0, 0);
  append_op (history, "advance-long", 75, 0);
  append_op (history, "restart", 2, 0);
  for (guint i = 0; i < 40; i++)
    append_op (history, "advance", 24, 0);
  return history;
}

START_TEST (test_seat_oracle_fails_if_a_restarted_witness_grants_at_once)
{
  GArray *history = restarted_witness_history ();
  anvil_steer_faults_t faults = { .ignore_wait_out = TRUE };
  guint failures = 0;

  for (guint32 seed = 1; seed <= DIRECTED_SEEDS; seed++)
    {
      world_result_t intact = world_run (seed, history, NULL);
      world_result_t faulty = world_run (seed, history, &faults);

      ck_assert_msg (intact.failed == NULL, "seed %u: oracle \"%s\": %s", seed, intact.failed,
                     intact.reason);
      failures += g_strcmp0 (faulty.failed, "seat") == 0;
    }
  ck_assert_uint_gt (failures, 0);
  g_array_unref (history);
}
END_TEST

/* Forbidden histories, written by hand, and the oracle that must fail. */
static const struct
{
  const char *oracle;
  fake_record_t records[4];
} forbidden_histories[] = {
  { "refused",
    { { .kind = FAKE_SUBMITTED, .request = 1 },
      { .kind = FAKE_DISPATCHED, .request = 1, .attempt = 1, .deadline = ANVIL_SECOND },
      { .kind = FAKE_ATTEMPT_RESULT, .request = 1, .attempt = 1, .result = ANVIL_ATTEMPT_UNKNOWN },
      { .kind = FAKE_REFUSED, .request = 1 } } },
  { "refused",
    { { .kind = FAKE_SUBMITTED, .request = 1 },
      { .kind = FAKE_REFUSED, .request = 1 },
      { .kind = FAKE_WORK_ENDED, .request = 1, .attempt = 1, .ran = TRUE },
      { .kind = FAKE_STOPPED } } },
  { "outcome",
    { { .kind = FAKE_SUBMITTED, .request = 1 },
      { .kind = FAKE_REFUSED, .request = 1 },
      { .kind = FAKE_REFUSED, .request = 1 },
      { .kind = FAKE_STOPPED } } },
  { "outcome",
    { { .kind = FAKE_SUBMITTED, .request = 1 },
      { .kind = FAKE_DISPATCHED, .request = 1, .attempt = 1, .deadline = ANVIL_SECOND },
      { .kind = FAKE_FINISHED, .request = 1 },
      { .kind = FAKE_STOPPED } } },
  { "generation",
    { { .kind = FAKE_STARTED },
      { .kind = FAKE_IN_FORCE, .generation = 2 },
      { .kind = FAKE_IN_FORCE, .generation = 1 },
      { .kind = FAKE_STOPPED } } },
  { "half",
    { { .kind = FAKE_SUBMITTED, .request = 1, .service = 2 },
      { .kind = FAKE_DISPATCHED, .request = 1, .service = 2, .upstream = 8, .deadline = 1 },
      { .kind = FAKE_STOPPED },
      { .kind = FAKE_STOPPED } } },
  { "shutdown",
    { { .kind = FAKE_SUBMITTED, .request = 1 },
      { .kind = FAKE_SHUTDOWN_STARTED },
      { .kind = FAKE_SHUTDOWN_FINISHED },
      { .kind = FAKE_STOPPED } } },
};

START_TEST (test_oracle_fails_on_a_forbidden_history)
{
  oracle_t *oracle = oracle_new (world_config (0));

  for (guint i = 0; i < G_N_ELEMENTS (forbidden_histories[_i].records); i++)
    oracle_record (oracle, &forbidden_histories[_i].records[i]);
  ck_assert_str_eq (oracle_failed (oracle), forbidden_histories[_i].oracle);
  oracle_drop (oracle);
}
END_TEST

START_TEST (test_in_force_oracle_fails_if_other_entries_lag)
{
  const fake_record_t ahead = { .kind = FAKE_IN_FORCE, .entry = 1, .generation = 9 };
  world_t *world = world_new (1, NULL);
  const world_op_t advance_op = world_op ("advance", 249, 0, 0);

  for (guint i = 0; i < 5; i++)
    ck_assert (world_step (world, &advance_op));
  oracle_record (world->oracle, &ahead);
  for (guint i = 0; i < 8; i++)
    world_step (world, &advance_op);
  ck_assert_str_eq (oracle_failed (world->oracle), "in-force");
  world_drop (world);
}
END_TEST

START_TEST (test_in_force_oracle_ignores_paths_through_entries_that_cannot_fetch)
{
  const fake_record_t ahead = { .kind = FAKE_IN_FORCE, .entry = 1, .generation = 9 };
  world_t *world = world_new (1, NULL);
  const world_op_t advance_op = world_op ("advance", 249, 0, 0);
  const world_op_t cut_op = world_op ("cut", 5, 1, 0);

  for (guint i = 0; i < 5; i++)
    ck_assert (world_step (world, &advance_op));
  oracle_record (world->oracle, &ahead);
  for (guint8 i = 0; i < 5; i++)
    {
      const world_op_t files_cut_op = world_op ("files-cut", i, 0, 0);

      if (i != ahead.entry)
        world_step (world, &files_cut_op);
    }
  world_step (world, &cut_op);
  for (guint i = 0; i < 8; i++)
    world_step (world, &advance_op);
  ck_assert_msg (oracle_failed (world->oracle) == NULL, "%s", oracle_reason (world->oracle));
  world_drop (world);
}
END_TEST

START_TEST (test_recovery_oracle_fails_if_a_seat_has_no_user)
{
  world_t *world = world_new (1, NULL);

  for (guint i = 0; i < world->net->n_entries; i++)
    fake_net_kill (world->net, i);
  oracle_check_recovered (world->oracle, world->net);
  ck_assert_str_eq (oracle_failed (world->oracle), "recovery");
  world_drop (world);
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
  tcase_add_test (tcase, test_seat_oracle_fails_if_a_restarted_witness_grants_at_once);
  tcase_add_loop_test (tcase, test_oracle_fails_on_a_forbidden_history, 0,
                       G_N_ELEMENTS (forbidden_histories));
  tcase_add_test (tcase, test_in_force_oracle_fails_if_other_entries_lag);
  tcase_add_test (tcase, test_in_force_oracle_ignores_paths_through_entries_that_cannot_fetch);
  tcase_add_test (tcase, test_recovery_oracle_fails_if_a_seat_has_no_user);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  world_configs_drop ();
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
