/* Dispatcher: placing, queueing and refusing tasks, ejection, limits common to all entries. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

static dispatch_sim_t sim;

static void
set_up (void)
{
  sim_open (&sim);
}

static void
tear_down (void)
{
  sim_close (&sim);
}

static void
add_upstreams (guint n)
{
  for (guint i = 0; i < n; i++)
    sim_add_upstream (&sim, "west", "west-a", 3);
}

static anvil_task_t
plain_task (void)
{
  return (anvil_task_t){ .service = anvil_str ("photos"),
                         .region = anvil_str ("west"),
                         .zone = anvil_str ("west-a"),
                         .attempt = 1 };
}

START_TEST (test_slot_is_granted_to_one_task_at_a_time)
{
  add_upstreams (1);
  for (guint i = 0; i < 5; i++)
    sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 3);
  sim_finish (&sim, 0, ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (sim.n_grants, 4);
}
END_TEST

START_TEST (test_object_goes_to_the_upstream_that_is_warm_for_it)
{
  guint first;

  add_upstreams (8);
  first = sim_submit (&sim, 5);
  sim_run (&sim, ANVIL_SECOND);
  for (guint i = 0; i < 20; i++)
    {
      guint next = sim_submit (&sim, 5);

      sim_run (&sim, ANVIL_SECOND);
      ck_assert_uint_eq (sim_task (&sim, next)->upstream, sim_task (&sim, first)->upstream);
      ck_assert (sim_task (&sim, next)->warm);
    }
}
END_TEST

START_TEST (test_upstream_is_warm_only_after_the_first_run_has_ended)
{
  add_upstreams (1);
  sim_submit (&sim, 5);
  sim_run (&sim, 400 * ANVIL_MS);
  sim_submit (&sim, 5);
  ck_assert (!sim_task (&sim, 1)->granted);
  sim_run (&sim, 500 * ANVIL_MS);
  ck_assert (sim_task (&sim, 1)->granted);
  ck_assert (sim_task (&sim, 1)->warm);
}
END_TEST

/* Upstreams are warm for 3 of 24 objects. If objects were spread over all upstreams, each would
 * evict an object before its next request, and all runs would be cold: 42 slots serve 48 of these a
 * second. */
START_TEST (test_objects_are_not_spread_beyond_the_capacity_of_upstreams)
{
  sim.max_warm_objects = 3;
  add_upstreams (14);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 40, 24);
  ck_assert_double_ge (sim_run_load (&sim, 20 * ANVIL_SECOND, 90, 24), 0.9);
}
END_TEST

START_TEST (test_newest_late_task_is_served_first)
{
  guint older;
  guint newer;

  sim.warm_run = 900 * ANVIL_MS;
  add_upstreams (1);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  /* When a slot becomes free, both miss their target but not their deadline. */
  older = sim_submit (&sim, 0);
  sim_run (&sim, 100 * ANVIL_MS);
  newer = sim_submit (&sim, 0);
  sim_run (&sim, 600 * ANVIL_MS);
  sim_finish (&sim, 0, ANVIL_RUN_ANSWERED);
  ck_assert (sim_task (&sim, newer)->granted);
  ck_assert (!sim_task (&sim, older)->granted);
}
END_TEST

/* One upstream is warm for twelve objects, which are all requested at once. It could serve each
 * alone soon, but not all of them: those that would wait for longer than a cold run takes must run
 * on the idle upstream. The failure guarded against is a backlog that counts only the same object.
 */
START_TEST (test_backlog_of_an_upstream_includes_all_its_warm_objects)
{
  guint first;

  add_upstreams (1);
  for (guint64 object = 1; object <= 12; object++)
    {
      sim_submit (&sim, object);
      sim_run (&sim, ANVIL_SECOND);
    }
  add_upstreams (1);
  first = sim.n_grants;
  for (guint64 object = 1; object <= 12; object++)
    sim_submit (&sim, object);
  ck_assert_uint_gt (sim.n_grants - first, 3);
}
END_TEST

/* 14 upstreams have 42 slots. 76 requests a second occupy 20 slots in warm runs, 67 in cold ones.
 */
START_TEST (test_load_beyond_the_capacity_of_cold_runs_is_served_on_time)
{
  add_upstreams (14);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 40, 24);
  ck_assert_double_ge (sim_run_load (&sim, 20 * ANVIL_SECOND, 76, 24), 0.95);
}
END_TEST

/* Under overload, some are served on time instead of all late: 42 slots serve 159 a second. */
START_TEST (test_overloaded_slots_mostly_serve_on_time)
{
  gdouble on_time;

  add_upstreams (14);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 40, 24);
  on_time = sim_run_load (&sim, 20 * ANVIL_SECOND, 240, 24);
  ck_assert_double_ge (on_time, 0.6 * 159 / 240);
}
END_TEST

/* Tasks that can't be served aren't held: few of the refused ones waited for most of their time. */
START_TEST (test_overload_is_refused_early)
{
  guint refused = 0;
  guint held = 0;

  add_upstreams (14);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 40, 24);
  sim_run_load (&sim, 20 * ANVIL_SECOND, 240, 24);
  for (guint i = 0; i < sim.tasks->len; i++)
    {
      const sim_task_t *task = sim_task (&sim, i);

      refused += task->refused;
      held += task->refused && task->refused_at - task->submitted_at > sim.timeout * 2 / 3;
    }
  ck_assert_uint_ge (refused, 1000);
  ck_assert_uint_le (held, refused / 20);
}
END_TEST

START_TEST (test_task_that_cannot_meet_its_deadline_is_refused_at_once)
{
  guint refused_at_once = 0;

  add_upstreams (1);
  for (guint i = 0; i < 60; i++)
    sim_submit (&sim, 0);
  for (guint i = 0; i < 60; i++)
    refused_at_once += sim_task (&sim, i)->refused;
  ck_assert_uint_ge (refused_at_once, 30);
  sim_run (&sim, 3 * ANVIL_SECOND);
  for (guint i = 0; i < 60; i++)
    ck_assert (sim_task (&sim, i)->refused || sim_task (&sim, i)->done);
}
END_TEST

START_TEST (test_retry_times_of_refused_callers_are_spread)
{
  anvil_time_t last = 0;
  guint n = 0;

  add_upstreams (1);
  for (guint i = 0; i < 40; i++)
    {
      const sim_task_t *task = sim_task (&sim, sim_submit (&sim, 0));

      if (!task->refused)
        continue;
      ck_assert_int_ge (task->retry_after, last);
      last = task->retry_after;
      n++;
    }
  ck_assert_uint_ge (n, 10);
  ck_assert_int_gt (last, 200 * ANVIL_MS);
}
END_TEST

START_TEST (test_more_urgent_task_is_served_first)
{
  anvil_task_t urgent = plain_task ();
  guint late;
  guint index;

  add_upstreams (1);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  urgent.priority = 2;
  late = sim_submit_task (&sim, &urgent);
  urgent.priority = 1;
  index = sim_submit_task (&sim, &urgent);
  sim_finish (&sim, 0, ANVIL_RUN_ANSWERED);
  ck_assert (sim_task (&sim, index)->granted);
  ck_assert (!sim_task (&sim, late)->granted);
}
END_TEST

START_TEST (test_other_regions_than_the_allowed_ones_are_not_used)
{
  anvil_task_t task = plain_task ();

  sim_add_upstream (&sim, "east", "east-a", 3);
  sim_add_upstream (&sim, "west", "west-a", 1);
  task.regions[0] = anvil_str ("west");
  task.n_regions = 1;
  for (guint i = 0; i < 4; i++)
    sim_submit_task (&sim, &task);
  sim_run (&sim, 2 * ANVIL_SECOND);
  for (guint i = 0; i < 4; i++)
    ck_assert (!sim_task (&sim, i)->granted || sim_task (&sim, i)->upstream == sim.keys[1]);
}
END_TEST

START_TEST (test_large_bodies_stay_in_their_zone)
{
  anvil_task_t task = plain_task ();

  sim_add_upstream (&sim, "east", "east-a", 3);
  sim_add_upstream (&sim, "west", "west-b", 3);
  sim_add_upstream (&sim, "west", "west-a", 3);
  task.body_bytes = 60000;
  for (guint i = 0; i < 3; i++)
    ck_assert_uint_eq (sim_task (&sim, sim_submit_task (&sim, &task))->upstream, sim.keys[2]);
}
END_TEST

START_TEST (test_cold_upstream_gets_at_most_half_of_the_limit)
{
  guint most = 0;
  guint counts[200] = { 0 };

  add_upstreams (1);
  sim_set_upstream (&sim, 0, FALSE, sim.now + 5 * ANVIL_SECOND);
  sim.warm_run = 10 * ANVIL_MS;
  for (guint i = 0; i < 50; i++)
    {
      guint before = sim.n_grants;

      sim_submit (&sim, 0);
      sim_run (&sim, 50 * ANVIL_MS);
      counts[i] = sim.n_grants - before;
    }
  for (guint i = 0; i + 20 <= 50; i++)
    {
      guint second = 0;

      for (guint j = i; j < i + 20; j++)
        second += counts[j];
      most = MAX (most, second);
    }
  /* (2.5 x 1.5 + 5) / 2, since two holders may act at the same time. */
  ck_assert_uint_le (most, 4);
  ck_assert_uint_ge (most, 2);
}
END_TEST

START_TEST (test_retries_stay_within_the_budget)
{
  guint retries = 0;

  add_upstreams (14);
  for (guint i = 0; i < 200; i++)
    {
      anvil_task_t retry = plain_task ();
      guint first = sim_submit (&sim, 0);

      sim_run (&sim, 20 * ANVIL_MS);
      sim_finish (&sim, first, ANVIL_RUN_SHED);
      retry.attempt = 2;
      retry.excluded[0] = sim_task (&sim, first)->upstream;
      retry.n_excluded = 1;
      if (sim_task (&sim, sim_submit_task (&sim, &retry))->granted)
        retries++;
    }
  /* 0.4 of 0.2 x 200 + 50: share of the budget of one of two holders. */
  ck_assert_uint_le (retries, 36);
  ck_assert_uint_ge (retries, 30);
}
END_TEST

START_TEST (test_failing_upstream_is_ejected_and_probed)
{
  guint64 broken;
  guint tried = 0;

  add_upstreams (2);
  broken = sim.keys[0];
  for (guint i = 0; i < 400; i++)
    {
      guint index = sim_submit (&sim, 0);

      if (sim_task (&sim, index)->granted && sim_task (&sim, index)->upstream == broken)
        {
          sim_finish (&sim, index, ANVIL_RUN_CONNECT_FAILED);
          tried++;
        }
      sim_run (&sim, 50 * ANVIL_MS);
    }
  ck_assert_uint_ge (tried, 3);
  ck_assert_uint_le (tried, 12);
}
END_TEST

START_TEST (test_draining_upstream_gets_no_tasks)
{
  add_upstreams (2);
  sim_set_upstream (&sim, 0, TRUE, 0);
  for (guint i = 0; i < 3; i++)
    ck_assert_uint_eq (sim_task (&sim, sim_submit (&sim, 0))->upstream, sim.keys[1]);
  anvil_dispatcher_remove_upstream (sim.dispatcher, sim.now, sim.keys[1]);
  ck_assert (sim_task (&sim, sim_submit (&sim, 0))->refused);
  ck_assert_int_eq (sim_task (&sim, 3)->reason, ANVIL_TASK_NO_UPSTREAM);
  /* Tasks on a removed upstream can still finish. */
  for (guint i = 0; i < 3; i++)
    sim_finish (&sim, i, ANVIL_RUN_ANSWERED);
}
END_TEST

START_TEST (test_adopted_tasks_use_slots)
{
  anvil_task_t running = plain_task ();

  add_upstreams (1);
  for (guint i = 0; i < 2; i++)
    {
      running.id = (anvil_task_id_t){ .requester = 5, .number = i };
      running.deadline = sim.now + sim.timeout;
      anvil_dispatcher_adopt (sim.dispatcher, sim.now, &running, sim.keys[0]);
    }
  sim_submit (&sim, 0);
  sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 1);
}
END_TEST

START_TEST (test_reported_warm_objects_are_used)
{
  guint index;

  add_upstreams (8);
  anvil_dispatcher_add_warm_object (sim.dispatcher, sim.now, anvil_str ("photos"), 5, sim.keys[6]);
  anvil_dispatcher_add_warm_object (sim.dispatcher, sim.now, anvil_str ("photos"), 6, 12345);
  anvil_dispatcher_add_warm_object (sim.dispatcher, sim.now, anvil_str ("nowhere"), 5, sim.keys[5]);
  index = sim_submit (&sim, 5);
  ck_assert_uint_eq (sim_task (&sim, index)->upstream, sim.keys[6]);
  ck_assert (sim_task (&sim, index)->warm);
}
END_TEST

START_TEST (test_second_submission_repeats_the_grant_without_a_second_slot)
{
  anvil_dispatcher_status_t status;
  guint index;

  add_upstreams (1);
  index = sim_submit (&sim, 0);
  anvil_dispatcher_submit (sim.dispatcher, sim.now, &sim_task (&sim, index)->task);
  ck_assert_uint_eq (sim.n_grants, 2);
  ck_assert (anvil_dispatcher_status (sim.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.running, 1);
}
END_TEST

/* Requests of a region that run there until all objects are warm in another region only: then they
 * move there, but no faster than the limit while there is room at home. */
START_TEST (test_work_moves_to_another_region_at_a_bounded_rate)
{
  const gdouble max_shift = 0.15;
  const anvil_time_t window = 2 * ANVIL_SECOND;
  const anvil_dispatcher_limits_t limits = { .retry_ratio = 1,
                                             .retry_extra = 100,
                                             .retry_window = 10 * ANVIL_SECOND,
                                             .cold_factor = 1,
                                             .cold_extra = 100,
                                             .max_shift = max_shift };
  guint64 remote[8];
  gdouble previous = 0;

  anvil_dispatcher_set_limits (sim.dispatcher, &limits);
  for (guint i = 0; i < 16; i++)
    sim_add_upstream (&sim, "west", "west-a", 3);
  for (guint i = 0; i < G_N_ELEMENTS (remote); i++)
    remote[i] = sim_add_upstream (&sim, "east", "east-a", 3);
  sim_run_load (&sim, 4 * ANVIL_SECOND, 20, 8);
  for (guint64 object = 1001; object <= 1024; object++)
    anvil_dispatcher_add_warm_object (sim.dispatcher, sim.now, anvil_str ("photos"), object,
                                      remote[object % G_N_ELEMENTS (remote)]);
  for (guint i = 0; i < 4; i++)
    {
      guint first = sim.tasks->len;
      guint n_remote = 0;
      gdouble share;

      for (anvil_time_t until = sim.now + window; sim.now < until;)
        {
          sim_submit (&sim, 1001 + (sim.tasks->len % 24));
          sim_run (&sim, 40 * ANVIL_MS);
        }
      for (guint j = first; j < sim.tasks->len; j++)
        for (guint k = 0; k < G_N_ELEMENTS (remote); k++)
          n_remote += sim_task (&sim, j)->granted && sim_task (&sim, j)->upstream == remote[k];
      share = (gdouble) n_remote / (gdouble) (sim.tasks->len - first);
      ck_assert_msg (share - previous <= max_shift, "%u: %g after %g", i, share, previous);
      previous = share;
    }
}
END_TEST

/* Nothing is free at home: callers are served elsewhere at once. */
START_TEST (test_work_moves_at_once_if_there_is_no_room_at_home)
{
  guint n_granted = 0;
  guint first;

  for (guint i = 0; i < 8; i++)
    sim_add_upstream (&sim, "west", "west-a", 3);
  sim_run_load (&sim, 4 * ANVIL_SECOND, 20, 8);
  for (guint i = 0; i < 8; i++)
    sim_add_upstream (&sim, "east", "east-a", 3);
  for (guint i = 0; i < 8; i++)
    sim_set_upstream (&sim, i, TRUE, 0);
  first = sim.tasks->len;
  for (guint i = 0; i < 20; i++)
    sim_submit (&sim, 0);
  for (guint i = first; i < sim.tasks->len; i++)
    n_granted += sim_task (&sim, i)->granted;
  ck_assert_uint_eq (n_granted, 20);
}
END_TEST

/* Its link is cut or it is suspended, but the upstream goes on with its tasks. */
START_TEST (test_slots_of_a_silent_requester_stay_in_use_until_the_deadline)
{
  anvil_time_t deadline;

  add_upstreams (1);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  deadline = sim_task (&sim, 0)->task.deadline;
  anvil_dispatcher_requester_lost (sim.dispatcher, sim.now, sim_task (&sim, 0)->task.id.requester);
  sim.now = deadline;
  anvil_dispatcher_tick (sim.dispatcher, sim.now);
  sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 3);
  sim.now = deadline + ANVIL_SECOND;
  anvil_dispatcher_tick (sim.dispatcher, sim.now);
  sim_submit (&sim, 0);
  ck_assert_uint_ge (sim.n_grants, 4);
}
END_TEST

START_TEST (test_tasks_of_a_lost_requester_are_removed)
{
  anvil_dispatcher_status_t status;

  add_upstreams (1);
  for (guint i = 0; i < 5; i++)
    sim_submit (&sim, 0);
  anvil_dispatcher_requester_lost (sim.dispatcher, sim.now, sim_task (&sim, 0)->task.id.requester);
  ck_assert (anvil_dispatcher_status (sim.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.waiting, 0);
  ck_assert_uint_eq (status.running, 3);
  sim_run (&sim, 100 * ANVIL_MS);
  sim.now += 3 * ANVIL_SECOND;
  anvil_dispatcher_tick (sim.dispatcher, sim.now);
  ck_assert (anvil_dispatcher_status (sim.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.running, 0);
}
END_TEST

static guint
count_running (void)
{
  anvil_dispatcher_status_t status;

  ck_assert (anvil_dispatcher_status (sim.dispatcher, anvil_str ("photos"), &status));
  return status.running;
}

/* Messages of one requester on a link and on the next one may be read in any order. */
START_TEST (test_late_messages_about_an_ended_task_free_no_slot_of_the_next)
{
  const anvil_run_report_t report = { .result = ANVIL_RUN_SHED };
  anvil_task_id_t ended;
  guint next;

  add_upstreams (1);
  ended = sim_task (&sim, sim_submit (&sim, 0))->task.id;
  anvil_dispatcher_run_finished (sim.dispatcher, sim.now, ended, &report);
  next = sim_submit (&sim, 0);
  ck_assert (sim_task (&sim, next)->granted);
  anvil_dispatcher_cancel (sim.dispatcher, sim.now, ended);
  anvil_dispatcher_run_finished (sim.dispatcher, sim.now, ended, &report);
  anvil_dispatcher_cancel (sim.dispatcher, sim.now, sim_task (&sim, next)->task.id);
  ck_assert_uint_eq (count_running (), 1);
}
END_TEST

START_TEST (test_a_late_request_for_a_slot_of_an_ended_task_uses_one_until_it_is_returned)
{
  const anvil_run_report_t unused = { .result = ANVIL_RUN_UNUSED };
  anvil_task_t ended;

  add_upstreams (1);
  ended = sim_task (&sim, sim_submit (&sim, 0))->task;
  anvil_dispatcher_run_finished (sim.dispatcher, sim.now, ended.id, &unused);
  anvil_dispatcher_submit (sim.dispatcher, sim.now, &ended);
  ck_assert_uint_eq (count_running (), 1);
  anvil_dispatcher_run_finished (sim.dispatcher, sim.now, ended.id, &unused);
  ck_assert_uint_eq (count_running (), 0);
}
END_TEST

START_TEST (test_an_ended_task_that_is_adopted_late_uses_a_slot_until_its_deadline_at_most)
{
  const anvil_run_report_t report = { .result = ANVIL_RUN_ANSWERED };
  anvil_task_t ended;

  add_upstreams (1);
  ended = sim_task (&sim, sim_submit (&sim, 0))->task;
  anvil_dispatcher_run_finished (sim.dispatcher, sim.now, ended.id, &report);
  anvil_dispatcher_adopt (sim.dispatcher, sim.now, &ended, sim.keys[0]);
  ck_assert_uint_eq (count_running (), 1);
  sim.now = ended.deadline + ANVIL_SECOND;
  anvil_dispatcher_tick (sim.dispatcher, sim.now);
  ck_assert_uint_eq (count_running (), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatcher");
  TCase *tests = tcase_create ("dispatcher");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_slot_is_granted_to_one_task_at_a_time);
  tcase_add_test (tests, test_object_goes_to_the_upstream_that_is_warm_for_it);
  tcase_add_test (tests, test_upstream_is_warm_only_after_the_first_run_has_ended);
  tcase_add_test (tests, test_objects_are_not_spread_beyond_the_capacity_of_upstreams);
  tcase_add_test (tests, test_newest_late_task_is_served_first);
  tcase_add_test (tests, test_backlog_of_an_upstream_includes_all_its_warm_objects);
  tcase_add_test (tests, test_load_beyond_the_capacity_of_cold_runs_is_served_on_time);
  tcase_add_test (tests, test_overloaded_slots_mostly_serve_on_time);
  tcase_add_test (tests, test_overload_is_refused_early);
  tcase_add_test (tests, test_task_that_cannot_meet_its_deadline_is_refused_at_once);
  tcase_add_test (tests, test_retry_times_of_refused_callers_are_spread);
  tcase_add_test (tests, test_more_urgent_task_is_served_first);
  tcase_add_test (tests, test_other_regions_than_the_allowed_ones_are_not_used);
  tcase_add_test (tests, test_large_bodies_stay_in_their_zone);
  tcase_add_test (tests, test_cold_upstream_gets_at_most_half_of_the_limit);
  tcase_add_test (tests, test_retries_stay_within_the_budget);
  tcase_add_test (tests, test_failing_upstream_is_ejected_and_probed);
  tcase_add_test (tests, test_draining_upstream_gets_no_tasks);
  tcase_add_test (tests, test_adopted_tasks_use_slots);
  tcase_add_test (tests, test_reported_warm_objects_are_used);
  tcase_add_test (tests, test_second_submission_repeats_the_grant_without_a_second_slot);
  tcase_add_test (tests, test_work_moves_to_another_region_at_a_bounded_rate);
  tcase_add_test (tests, test_work_moves_at_once_if_there_is_no_room_at_home);
  tcase_add_test (tests, test_slots_of_a_silent_requester_stay_in_use_until_the_deadline);
  tcase_add_test (tests, test_tasks_of_a_lost_requester_are_removed);
  tcase_add_test (tests, test_late_messages_about_an_ended_task_free_no_slot_of_the_next);
  tcase_add_test (tests,
                  test_a_late_request_for_a_slot_of_an_ended_task_uses_one_until_it_is_returned);
  tcase_add_test (tests,
                  test_an_ended_task_that_is_adopted_late_uses_a_slot_until_its_deadline_at_most);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
