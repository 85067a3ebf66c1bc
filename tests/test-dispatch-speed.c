/* Dispatcher: upstreams whose VMs change their speed, and runs that take several times as long. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"
#include "steer/upstream-speed.h"

#define SLOTS 3
#define LOCAL 0
#define REMOTE 1

static dispatch_sim_t sim;

static void
set_up (void)
{
  sim_open (&sim);
  sim.names_speed = TRUE;
}

static void
tear_down (void)
{
  sim_close (&sim);
}

/* An upstream near the caller, and one that is chosen only if the first is expected to take more
 * than a round trip between regions longer. */
static void
add_local_and_remote (void)
{
  sim_add_upstream (&sim, "west", "west-a", SLOTS);
  sim_add_upstream (&sim, "east", "east-a", SLOTS);
}

static guint64
upstream_of_next (guint64 object)
{
  return sim_task (&sim, sim_submit (&sim, object))->upstream;
}

/* Runs one after the other, so that run times are known. */
static void
run_some (guint n)
{
  for (guint i = 0; i < n; i++)
    {
      sim_submit (&sim, 0);
      sim_run (&sim, 300 * ANVIL_MS);
    }
}

/* Guards against an old figure that is taken for the present one, and a fall-back to 0. */
START_TEST (test_speed_ages)
{
  anvil_upstream_speed_t speed = { 0 };

  ck_assert_double_eq (anvil_upstream_speed_factor (&speed, ANVIL_SECOND), 1);
  anvil_upstream_speed_set (&speed, ANVIL_SECOND, 250);
  ck_assert_double_eq_tol (anvil_upstream_speed_factor (&speed, ANVIL_SECOND), 2.5, 1e-9);
  ck_assert_double_eq_tol (anvil_upstream_speed_factor (&speed, 1300 * ANVIL_MS), 1.75, 1e-9);
  ck_assert_double_eq (anvil_upstream_speed_factor (&speed, 2 * ANVIL_SECOND), 1);
}
END_TEST

/* Guards against figures of a faulty or strange upstream or entry. */
START_TEST (test_invalid_speeds_are_ignored)
{
  const guint invalid[] = { 0, ANVIL_MAX_SPEED + 1, G_MAXUINT };
  anvil_upstream_speed_t speed = { 0 };

  anvil_upstream_speed_set (&speed, ANVIL_SECOND, 200);
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      anvil_upstream_speed_set (&speed, ANVIL_SECOND, invalid[i]);
      ck_assert_double_eq (anvil_upstream_speed_factor (&speed, ANVIL_SECOND), 2);
      ck_assert_double_eq (anvil_upstream_speed_run_factor (3, invalid[i], ANVIL_SECOND), 1);
    }
  ck_assert_double_eq (anvil_upstream_speed_run_factor (1, 200, 100 * ANVIL_MS), 2);
  ck_assert_double_eq (anvil_upstream_speed_run_factor (0, 200, 600 * ANVIL_MS), 2);
  ck_assert_double_eq_tol (anvil_upstream_speed_run_factor (1, 200, 600 * ANVIL_MS), 1.5, 1e-9);
}
END_TEST

/* Load: an upstream's VM is 2.5 times as slow. Guards against tasks that are still placed there. */
START_TEST (test_slow_vm_is_avoided_while_it_is_slow)
{
  add_local_and_remote ();
  run_some (3);
  sim.speeds[LOCAL] = 250;
  sim_finish (&sim, sim_submit (&sim, 0), ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (upstream_of_next (0), sim.keys[REMOTE]);
  sim_run (&sim, 1100 * ANVIL_MS);
  ck_assert_uint_eq (upstream_of_next (0), sim.keys[LOCAL]);
}
END_TEST

/* Guards against the slowness of a VM that is counted as the upstream's own and outlasts it. */
START_TEST (test_slow_vm_is_no_slow_upstream)
{
  add_local_and_remote ();
  run_some (10);
  sim_run (&sim, 1100 * ANVIL_MS);
  sim.speeds[LOCAL] = 250;
  for (guint i = 0; i < SLOTS; i++)
    sim_submit (&sim, 0);
  sim_run (&sim, 700 * ANVIL_MS);
  sim.speeds[LOCAL] = 100;
  sim_run (&sim, 1100 * ANVIL_MS);
  ck_assert_uint_eq (upstream_of_next (0), sim.keys[LOCAL]);
}
END_TEST

/* Load: 3 in 100 runs take 7 times as long. Guards against one that makes its upstream count as
 * slow; several in a row do. */
START_TEST (test_one_long_run_makes_no_slow_upstream)
{
  add_local_and_remote ();
  run_some (10);
  sim.long_interval = 1;
  sim.long_factor = 7;
  sim_submit (&sim, 0);
  sim_run (&sim, 2 * ANVIL_SECOND);
  ck_assert_uint_eq (upstream_of_next (0), sim.keys[LOCAL]);
  sim_run (&sim, 3 * ANVIL_SECOND);
  ck_assert_uint_eq (upstream_of_next (0), sim.keys[REMOTE]);
}
END_TEST

/* Load: as before. Guards against tasks that wait for a slot at the median although its run is one
 * of the long ones. */
START_TEST (test_slot_of_a_long_run_is_not_waited_for)
{
  sim_add_upstream (&sim, "west", "west-a", 1);
  sim.long_interval = 20;
  sim.long_factor = 7;
  for (guint i = 0; i < 40; i++)
    {
      sim_submit (&sim, 1);
      sim_run (&sim, 2 * ANVIL_SECOND);
    }
  sim.long_interval = 1;
  sim_submit (&sim, 1);
  sim_run (&sim, 500 * ANVIL_MS);
  sim_add_upstream (&sim, "west", "west-a", 1);
  ck_assert_uint_eq (upstream_of_next (1), sim.keys[1]);
}
END_TEST

/* Load: 1 in 10 runs takes 7 times as long. Guards against tasks that are refused as late because
 * the mean run time is 1.6 times as long as most runs are. */
START_TEST (test_long_runs_do_not_make_others_late)
{
  sim_add_upstream (&sim, "west", "west-a", SLOTS);
  sim.long_interval = 10;
  sim.long_factor = 7;
  run_some (60);
  sim_run (&sim, 2 * ANVIL_SECOND);
  sim.target = sim.timeout = 350 * ANVIL_MS;
  for (guint i = 0; i < SLOTS + 1; i++)
    sim_submit (&sim, 0);
  ck_assert (!sim_task (&sim, sim.tasks->len - 1)->refused);
}
END_TEST

/* Number of 30 tasks that are queued when the first of two upstreams has just named @percent. */
static guint
count_queued (guint percent)
{
  guint first;
  guint n = 0;

  sim_add_upstream (&sim, "west", "west-a", SLOTS);
  sim_add_upstream (&sim, "west", "west-a", SLOTS);
  run_some (10);
  sim.speeds[0] = percent;
  sim_finish (&sim, sim_submit (&sim, 0), ANVIL_RUN_ANSWERED);
  sim_run (&sim, 50 * ANVIL_MS);
  first = sim.tasks->len;
  for (guint i = 0; i < 30; i++)
    sim_submit (&sim, 0);
  for (guint i = first; i < sim.tasks->len; i++)
    n += !sim_task (&sim, i)->granted && !sim_task (&sim, i)->refused;
  return n;
}

/* Guards against tasks that are queued at a slow upstream until they are late. */
START_TEST (test_fewer_tasks_wait_for_slow_vms)
{
  guint usual = count_queued (100);

  tear_down ();
  set_up ();
  ck_assert_uint_lt (count_queued (250), usual);
}
END_TEST

/* Share of the requests of an urgent route that are on time under the load of the second
 * deployment, beside a long one: 3 in 100 runs take 7 times as long, each VM is 2.5 times as slow
 * for 15 % of the time. */
static gdouble
run_uneven_load (gboolean names_speed)
{
  static const sim_class_t urgent = { .route_class = 1,
                                      .cold_run = 220 * ANVIL_MS,
                                      .warm_run = 66 * ANVIL_MS,
                                      .target = 250 * ANVIL_MS,
                                      .timeout = 1200 * ANVIL_MS };
  static const sim_class_t heavy = { .route_class = 2,
                                     .priority = 2,
                                     .cold_run = 1360 * ANVIL_MS,
                                     .warm_run = 410 * ANVIL_MS,
                                     .target = 2000 * ANVIL_MS,
                                     .timeout = 6000 * ANVIL_MS };
  const sim_class_t *const classes[] = { &urgent, &heavy };
  /* Together as much as the slots could serve if all runs were warm and none was long or slow. */
  const gdouble per_second[] = { 182, 29 };
  guint first;

  sim.names_speed = names_speed;
  sim.has_slow_periods = TRUE;
  sim.long_interval = 33;
  sim.long_factor = 7;
  for (guint i = 0; i < 8; i++)
    sim_add_upstream (&sim, "west", "west-a", SLOTS);
  sim_run_classes (&sim, 10 * ANVIL_SECOND, classes, per_second, 2, 40);
  first = sim.tasks->len;
  sim_run_classes (&sim, 20 * ANVIL_SECOND, classes, per_second, 2, 40);
  return sim_outcome (&sim, &urgent, first).on_time;
}

/* Guards against figures that are known and don't help. */
START_TEST (test_more_is_on_time_with_the_speed)
{
  gdouble without = run_uneven_load (FALSE);
  gdouble with;

  tear_down ();
  set_up ();
  with = run_uneven_load (TRUE);
  ck_assert_double_ge (with, without + 0.05);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-speed");
  TCase *tests = tcase_create ("dispatch-speed");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_speed_ages);
  tcase_add_test (tests, test_invalid_speeds_are_ignored);
  tcase_add_test (tests, test_slow_vm_is_avoided_while_it_is_slow);
  tcase_add_test (tests, test_slow_vm_is_no_slow_upstream);
  tcase_add_test (tests, test_one_long_run_makes_no_slow_upstream);
  tcase_add_test (tests, test_slot_of_a_long_run_is_not_waited_for);
  tcase_add_test (tests, test_long_runs_do_not_make_others_late);
  tcase_add_test (tests, test_fewer_tasks_wait_for_slow_vms);
  tcase_add_test (tests, test_more_is_on_time_with_the_speed);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
