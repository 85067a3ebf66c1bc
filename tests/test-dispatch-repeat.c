/* Second runs of late requests: what they gain, and every limit on them. */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake-repeats.h"
#include "helper-dispatch.h"

static void
print (const char *name, const fake_repeats_results_t *results)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("%s: p50 %.0f p99 %.0f p99.9 %.0f ms, served %.4f, second runs %u of %u, won %u, "
          "largest share %.4f\n",
          name, (gdouble) results->p50 / ANVIL_MS, (gdouble) results->p99 / ANVIL_MS,
          (gdouble) results->p999 / ANVIL_MS, results->served, results->begun, results->n_requests,
          results->won, results->largest_share);
}

static fake_repeats_results_t
run (const char *name, const fake_repeats_options_t *options)
{
  const fake_repeats_results_t results = fake_repeats_run (options);

  print (name, &results);
  return results;
}

START_TEST (test_second_runs_halve_the_99th_percentile_of_runs_that_are_sometimes_long)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  const fake_repeats_results_t with = run ("with", &options);
  fake_repeats_results_t without;

  options.reaction = FAKE_LATE_WAIT;
  without = run ("without", &options);
  ck_assert_int_le (with.p99, without.p99 / 2);
  ck_assert_int_ge (with.won, with.begun / 2);
  ck_assert (with.largest_share <= options.share);
  ck_assert (with.served >= without.served);
}
END_TEST

/* Without it, requests on an upstream that no longer answers take until their deadline. */
START_TEST (test_a_stalled_upstream_is_answered_for_by_others)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  gdouble lost_with = 0;
  gdouble lost_without = 0;

  options.stalled_from = 20 * ANVIL_SECOND;
  for (options.seed = 1; options.seed <= 10; options.seed++)
    {
      options.reaction = FAKE_LATE_REPEAT;
      lost_with += 1 - run ("stalled, with", &options).served;
      options.reaction = FAKE_LATE_WAIT;
      lost_without += 1 - run ("stalled, without", &options).served;
    }
  ck_assert (lost_with < lost_without / 2);
}
END_TEST

START_TEST (test_overload_gets_no_second_runs_while_tasks_wait_and_serves_as_many)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t with;
  fake_repeats_results_t without;

  options.per_second = 600;
  with = run ("overload, with", &options);
  options.reaction = FAKE_LATE_WAIT;
  without = run ("overload, without", &options);
  ck_assert_uint_eq (with.begun_while_waiting, 0);
  ck_assert (with.served >= without.served - 0.005);
}
END_TEST

START_TEST (test_no_second_run_without_a_share)
{
  fake_repeats_options_t options = fake_repeats_defaults ();

  options.share = 0;
  ck_assert_uint_eq (run ("no share", &options).begun, 0);
}
END_TEST

/* Otherwise second runs would take the retries that requests need after failures. */
START_TEST (test_second_runs_take_at_most_half_of_the_retry_budget)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t results;

  options.share = 0.5;
  options.long_share = 0.1;
  options.retry_extra = 0;
  results = run ("retry budget", &options);
  ck_assert_uint_gt (results.begun, 0);
  /* Half of the 0.4 of the ratio of 0.2 that one holder uses. */
  ck_assert (results.begun <= 0.04 * results.n_requests + 1);
}
END_TEST

START_TEST (test_a_route_with_a_smaller_share_keeps_to_it)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t results;

  options.has_class_share = TRUE;
  options.class_share = 0.01;
  results = run ("share of a class", &options);
  ck_assert_uint_gt (results.begun, 0);
  ck_assert (results.largest_share <= 0.01);
}
END_TEST

START_TEST (test_two_holders_keep_to_half_of_the_share_while_they_may_be_divided)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t results;

  options.n_holders = 2;
  results = run ("two holders", &options);
  ck_assert_uint_gt (results.begun, 0);
  ck_assert (results.largest_share <= options.share / 2);
}
END_TEST

START_TEST (test_a_share_that_is_taken_away_ends_second_runs_at_once)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t results;

  options.share_ends = 20 * ANVIL_SECOND;
  results = run ("share taken away", &options);
  ck_assert_uint_gt (results.begun, 0);
  ck_assert_uint_eq (results.begun_after_end, 0);
}
END_TEST

START_TEST (test_unsafe_requests_and_uploads_never_get_a_second_run)
{
  fake_repeats_options_t options = fake_repeats_defaults ();

  options.kind = ANVIL_ROUTE_UNSAFE;
  ck_assert_uint_eq (run ("unsafe", &options).begun, 0);
  options.kind = ANVIL_ROUTE_UPLOAD;
  ck_assert_uint_eq (run ("uploads", &options).begun, 0);
}
END_TEST

/* Requests that are long wherever they run gain nothing from a second run. */
START_TEST (test_second_runs_that_never_win_stop)
{
  fake_repeats_options_t options = fake_repeats_defaults ();
  fake_repeats_results_t results;

  options.all_runs_long = TRUE;
  results = run ("never win", &options);
  /* 50 are judged, and then one in 20 of the 1200 or so that are late. */
  ck_assert_uint_gt (results.begun, 50);
  ck_assert_uint_lt (results.begun, 50 + 1600 / 20);
}
END_TEST

#define REQUESTER ((anvil_node_t) 5)

/* Two upstreams with a slot each, and first runs that leave room for second ones. */
static void
open_two (dispatch_sim_t *sim)
{
  const anvil_dispatcher_limits_t limits = { .retry_ratio = 0.2,
                                             .retry_extra = 50,
                                             .retry_window = 10 * ANVIL_SECOND,
                                             .cold_factor = 1.5,
                                             .cold_extra = 5,
                                             .repeat_share = 0.5 };

  sim_open (sim);
  anvil_dispatcher_set_limits (sim->dispatcher, &limits);
  sim_add_upstream (sim, "west", "west-a", 1);
  sim_add_upstream (sim, "west", "west-a", 1);
  for (guint i = 0; i < 4; i++)
    sim_finish (sim, sim_submit (sim, 0), ANVIL_RUN_UNUSED);
}

static guint64
other_upstream (const dispatch_sim_t *sim, guint64 upstream)
{
  return sim->keys[0] == upstream ? sim->keys[1] : sim->keys[0];
}

static guint
submit (dispatch_sim_t *sim, gboolean is_repeat, guint64 excluded)
{
  const anvil_task_t task = { .id = { .requester = REQUESTER },
                              .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .attempt = is_repeat ? 2 : 1,
                              .excluded = { excluded },
                              .n_excluded = 1,
                              .is_repeat = is_repeat };

  return sim_submit_task (sim, &task);
}

static guint
count_waiting (const dispatch_sim_t *sim)
{
  anvil_dispatcher_status_t status;

  ck_assert (anvil_dispatcher_status (sim->dispatcher, anvil_str ("photos"), &status));
  return status.waiting;
}

START_TEST (test_a_second_run_gets_a_free_slot_of_another_upstream)
{
  dispatch_sim_t sim;
  guint64 first;
  guint second;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  second = submit (&sim, TRUE, first);
  ck_assert (sim_task (&sim, second)->granted);
  ck_assert_uint_eq (sim_task (&sim, second)->upstream, other_upstream (&sim, first));
  sim_close (&sim);
}
END_TEST

/* The free slot is of no use to the task that waits now, but it may soon be to another. */
START_TEST (test_no_second_run_while_a_task_waits)
{
  dispatch_sim_t sim;
  guint64 first;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  submit (&sim, FALSE, other_upstream (&sim, first));
  ck_assert_uint_eq (count_waiting (&sim), 1);
  ck_assert (sim_task (&sim, submit (&sim, TRUE, first))->refused);
  sim_close (&sim);
}
END_TEST

START_TEST (test_a_second_run_is_never_queued)
{
  dispatch_sim_t sim;
  guint64 first;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  sim_submit (&sim, 0);
  ck_assert (sim_task (&sim, submit (&sim, TRUE, first))->refused);
  ck_assert_uint_eq (count_waiting (&sim), 0);
  sim_close (&sim);
}
END_TEST

START_TEST (test_no_second_run_on_an_upstream_that_pauses)
{
  dispatch_sim_t sim;
  guint64 first;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  anvil_dispatcher_pause_upstream (sim.dispatcher, sim.now, other_upstream (&sim, first), 0,
                                   REQUESTER, sim.now + ANVIL_SECOND);
  ck_assert (sim_task (&sim, submit (&sim, TRUE, first))->refused);
  sim_close (&sim);
}
END_TEST

START_TEST (test_no_second_run_before_the_other_entries_are_known)
{
  dispatch_sim_t sim;
  guint64 first;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  anvil_dispatcher_set_knows_peers (sim.dispatcher, sim.now, FALSE);
  ck_assert (sim_task (&sim, submit (&sim, TRUE, first))->refused);
  sim_close (&sim);
}
END_TEST

/* Nothing is known of the rest of the first run, and the target would be missed anyway. */
START_TEST (test_no_second_run_that_would_end_too_late)
{
  dispatch_sim_t sim;
  guint64 first;

  open_two (&sim);
  first = sim_task (&sim, sim_submit (&sim, 0))->upstream;
  sim.target = 100 * ANVIL_MS;
  ck_assert (sim_task (&sim, submit (&sim, TRUE, first))->refused);
  sim_close (&sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-repeat");
  TCase *tests = tcase_create ("dispatch-repeat");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 120);
  tcase_add_test (tests,
                  test_second_runs_halve_the_99th_percentile_of_runs_that_are_sometimes_long);
  tcase_add_test (tests, test_a_stalled_upstream_is_answered_for_by_others);
  tcase_add_test (tests, test_overload_gets_no_second_runs_while_tasks_wait_and_serves_as_many);
  tcase_add_test (tests, test_no_second_run_without_a_share);
  tcase_add_test (tests, test_second_runs_take_at_most_half_of_the_retry_budget);
  tcase_add_test (tests, test_a_route_with_a_smaller_share_keeps_to_it);
  tcase_add_test (tests, test_two_holders_keep_to_half_of_the_share_while_they_may_be_divided);
  tcase_add_test (tests, test_a_share_that_is_taken_away_ends_second_runs_at_once);
  tcase_add_test (tests, test_unsafe_requests_and_uploads_never_get_a_second_run);
  tcase_add_test (tests, test_second_runs_that_never_win_stop);
  tcase_add_test (tests, test_a_second_run_gets_a_free_slot_of_another_upstream);
  tcase_add_test (tests, test_no_second_run_while_a_task_waits);
  tcase_add_test (tests, test_a_second_run_is_never_queued);
  tcase_add_test (tests, test_no_second_run_on_an_upstream_that_pauses);
  tcase_add_test (tests, test_no_second_run_before_the_other_entries_are_known);
  tcase_add_test (tests, test_no_second_run_that_would_end_too_late);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
