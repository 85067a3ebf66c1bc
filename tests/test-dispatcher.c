/* The holder of a service's slots: placing, waiting, refusing, and limits that entries share. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

static dispatch_lab_t lab;

static void
set_up (void)
{
  lab_open (&lab);
}

static void
tear_down (void)
{
  lab_close (&lab);
}

static void
add_upstreams (guint n)
{
  for (guint i = 0; i < n; i++)
    lab_add_upstream (&lab, "west", "west-a", 3);
}

static anvil_task_t
plain_task (void)
{
  return (anvil_task_t){ .service = anvil_str ("photos"),
                         .region = anvil_str ("west"),
                         .zone = anvil_str ("west-a"),
                         .attempt = 1 };
}

START_TEST (test_a_slot_is_given_to_one_task_at_a_time)
{
  add_upstreams (1);
  for (guint i = 0; i < 5; i++)
    lab_ask (&lab, 0);
  ck_assert_uint_eq (lab.n_grants, 3);
  lab_finish (&lab, 0, ANVIL_RUN_ANSWERED);
  ck_assert_uint_eq (lab.n_grants, 4);
}
END_TEST

START_TEST (test_an_object_returns_to_the_upstream_that_remembers_it)
{
  guint first;

  add_upstreams (8);
  first = lab_ask (&lab, 5);
  lab_run (&lab, ANVIL_SECOND);
  for (guint i = 0; i < 20; i++)
    {
      guint next = lab_ask (&lab, 5);

      lab_run (&lab, ANVIL_SECOND);
      ck_assert_uint_eq (lab_task (&lab, next)->upstream, lab_task (&lab, first)->upstream);
      ck_assert (lab_task (&lab, next)->warm);
    }
}
END_TEST

START_TEST (test_an_object_is_remembered_only_once_its_first_run_has_ended)
{
  add_upstreams (1);
  lab_ask (&lab, 5);
  lab_run (&lab, 400 * ANVIL_MS);
  lab_ask (&lab, 5);
  ck_assert (!lab_task (&lab, 1)->granted);
  lab_run (&lab, 500 * ANVIL_MS);
  ck_assert (lab_task (&lab, 1)->granted);
  ck_assert (lab_task (&lab, 1)->warm);
}
END_TEST

/* Upstreams that remember 3 of 24 objects: were objects spread over all of them, each would forget
 * an object before it is asked for again, and runs would be cold, of which 42 slots carry 48 a
 * second. */
START_TEST (test_objects_are_not_spread_beyond_what_upstreams_remember)
{
  lab.remembers = 3;
  add_upstreams (14);
  lab_load (&lab, 10 * ANVIL_SECOND, 40, 24);
  ck_assert_double_ge (lab_load (&lab, 20 * ANVIL_SECOND, 90, 24), 0.9);
}
END_TEST

START_TEST (test_of_the_late_the_newest_is_served_first)
{
  guint older;
  guint newer;

  lab.warm_run = 900 * ANVIL_MS;
  add_upstreams (1);
  for (guint i = 0; i < 3; i++)
    lab_ask (&lab, 0);
  /* Too late for their target when the slots come free, not for their deadline. */
  older = lab_ask (&lab, 0);
  lab_run (&lab, 100 * ANVIL_MS);
  newer = lab_ask (&lab, 0);
  lab_run (&lab, 600 * ANVIL_MS);
  lab_finish (&lab, 0, ANVIL_RUN_ANSWERED);
  ck_assert (lab_task (&lab, newer)->granted);
  ck_assert (!lab_task (&lab, older)->granted);
}
END_TEST

/* One upstream remembers twelve objects, and a request comes for each of them: each alone would
 * find its turn soon, all together don't. Those whose turn would come later than the end of a run
 * on the idle upstream run there. */
START_TEST (test_requests_for_other_objects_of_an_upstream_count_as_waiting_for_it)
{
  guint first;

  add_upstreams (1);
  for (guint64 object = 1; object <= 12; object++)
    {
      lab_ask (&lab, object);
      lab_run (&lab, ANVIL_SECOND);
    }
  add_upstreams (1);
  first = lab.n_grants;
  for (guint64 object = 1; object <= 12; object++)
    lab_ask (&lab, object);
  ck_assert_uint_gt (lab.n_grants - first, 3);
}
END_TEST

/* 14 upstreams with 3 slots: 76 requests a second take 20 slots if their upstreams remember the
 * objects, and 67 if not. */
START_TEST (test_load_beyond_what_cold_runs_could_carry_is_served_in_time)
{
  add_upstreams (14);
  lab_load (&lab, 10 * ANVIL_SECOND, 40, 24);
  ck_assert_double_ge (lab_load (&lab, 20 * ANVIL_SECOND, 76, 24), 0.95);
}
END_TEST

/* Beyond saturation some are served in time, instead of all late: 42 slots carry 159 a second. */
START_TEST (test_beyond_saturation_most_slots_serve_in_time)
{
  gdouble in_time;

  add_upstreams (14);
  lab_load (&lab, 10 * ANVIL_SECOND, 40, 24);
  in_time = lab_load (&lab, 20 * ANVIL_SECOND, 240, 24);
  ck_assert_double_ge (in_time, 0.6 * 159 / 240);
}
END_TEST

/* What can't be served isn't held: of the refused, few waited for most of their time. */
START_TEST (test_beyond_saturation_refusals_come_early)
{
  guint refused = 0;
  guint held = 0;

  add_upstreams (14);
  lab_load (&lab, 10 * ANVIL_SECOND, 40, 24);
  lab_load (&lab, 20 * ANVIL_SECOND, 240, 24);
  for (guint i = 0; i < lab.tasks->len; i++)
    {
      const lab_task_t *task = lab_task (&lab, i);

      refused += task->refused;
      held += task->refused && task->refused_at - task->asked_at > lab.patience * 2 / 3;
    }
  ck_assert_uint_ge (refused, 1000);
  ck_assert_uint_le (held, refused / 20);
}
END_TEST

START_TEST (test_what_can_not_be_served_in_time_is_refused_at_once)
{
  guint refused_at_once = 0;

  add_upstreams (1);
  for (guint i = 0; i < 60; i++)
    lab_ask (&lab, 0);
  for (guint i = 0; i < 60; i++)
    refused_at_once += lab_task (&lab, i)->refused;
  ck_assert_uint_ge (refused_at_once, 30);
  lab_run (&lab, 3 * ANVIL_SECOND);
  for (guint i = 0; i < 60; i++)
    ck_assert (lab_task (&lab, i)->refused || lab_task (&lab, i)->done);
}
END_TEST

START_TEST (test_refused_callers_come_back_one_after_the_other)
{
  anvil_time_t last = 0;
  guint n = 0;

  add_upstreams (1);
  for (guint i = 0; i < 40; i++)
    {
      const lab_task_t *task = lab_task (&lab, lab_ask (&lab, 0));

      if (!task->refused)
        continue;
      ck_assert_int_ge (task->come_back, last);
      last = task->come_back;
      n++;
    }
  ck_assert_uint_ge (n, 10);
  ck_assert_int_gt (last, 200 * ANVIL_MS);
}
END_TEST

START_TEST (test_the_more_urgent_kind_is_served_first)
{
  anvil_task_t urgent = plain_task ();
  guint late;
  guint index;

  add_upstreams (1);
  for (guint i = 0; i < 3; i++)
    lab_ask (&lab, 0);
  urgent.priority = 2;
  late = lab_ask_task (&lab, &urgent);
  urgent.priority = 1;
  index = lab_ask_task (&lab, &urgent);
  lab_finish (&lab, 0, ANVIL_RUN_ANSWERED);
  ck_assert (lab_task (&lab, index)->granted);
  ck_assert (!lab_task (&lab, late)->granted);
}
END_TEST

START_TEST (test_regions_that_are_not_allowed_get_nothing)
{
  anvil_task_t task = plain_task ();

  lab_add_upstream (&lab, "east", "east-a", 3);
  lab_add_upstream (&lab, "west", "west-a", 1);
  task.regions[0] = anvil_str ("west");
  task.n_regions = 1;
  for (guint i = 0; i < 4; i++)
    lab_ask_task (&lab, &task);
  lab_run (&lab, 2 * ANVIL_SECOND);
  for (guint i = 0; i < 4; i++)
    ck_assert (!lab_task (&lab, i)->granted || lab_task (&lab, i)->upstream == lab.keys[1]);
}
END_TEST

START_TEST (test_large_bodies_stay_in_their_zone)
{
  anvil_task_t task = plain_task ();

  lab_add_upstream (&lab, "east", "east-a", 3);
  lab_add_upstream (&lab, "west", "west-b", 3);
  lab_add_upstream (&lab, "west", "west-a", 3);
  task.body_bytes = 60000;
  for (guint i = 0; i < 3; i++)
    ck_assert_uint_eq (lab_task (&lab, lab_ask_task (&lab, &task))->upstream, lab.keys[2]);
}
END_TEST

START_TEST (test_a_cold_upstream_gets_no_more_than_its_half_of_the_limit)
{
  guint most = 0;
  guint counts[200] = { 0 };

  add_upstreams (1);
  lab_set_upstream (&lab, 0, FALSE, lab.now + 5 * ANVIL_SECOND);
  lab.warm_run = 10 * ANVIL_MS;
  for (guint i = 0; i < 50; i++)
    {
      guint before = lab.n_grants;

      lab_ask (&lab, 0);
      lab_run (&lab, 50 * ANVIL_MS);
      counts[i] = lab.n_grants - before;
    }
  for (guint i = 0; i + 20 <= 50; i++)
    {
      guint second = 0;

      for (guint j = i; j < i + 20; j++)
        second += counts[j];
      most = MAX (most, second);
    }
  /* (2.5 x 1.5 + 5) / 2, since two holders may act for a moment. */
  ck_assert_uint_le (most, 4);
  ck_assert_uint_ge (most, 2);
}
END_TEST

START_TEST (test_repeats_stay_within_the_budget)
{
  guint repeats = 0;

  add_upstreams (14);
  for (guint i = 0; i < 200; i++)
    {
      anvil_task_t again = plain_task ();
      guint first = lab_ask (&lab, 0);

      lab_run (&lab, 20 * ANVIL_MS);
      lab_finish (&lab, first, ANVIL_RUN_SHED);
      again.attempt = 2;
      again.excluded[0] = lab_task (&lab, first)->upstream;
      again.n_excluded = 1;
      if (lab_task (&lab, lab_ask_task (&lab, &again))->granted)
        repeats++;
    }
  /* 0.4 of 0.2 x 200 + 50: what one of two holders may spend. */
  ck_assert_uint_le (repeats, 36);
  ck_assert_uint_ge (repeats, 30);
}
END_TEST

START_TEST (test_an_upstream_that_fails_is_left_alone_and_tried_again)
{
  guint64 broken;
  guint tried = 0;

  add_upstreams (2);
  broken = lab.keys[0];
  for (guint i = 0; i < 400; i++)
    {
      guint index = lab_ask (&lab, 0);

      if (lab_task (&lab, index)->granted && lab_task (&lab, index)->upstream == broken)
        {
          lab_finish (&lab, index, ANVIL_RUN_CONNECT_FAILED);
          tried++;
        }
      lab_run (&lab, 50 * ANVIL_MS);
    }
  ck_assert_uint_ge (tried, 3);
  ck_assert_uint_le (tried, 12);
}
END_TEST

START_TEST (test_a_draining_upstream_gets_nothing)
{
  add_upstreams (2);
  lab_set_upstream (&lab, 0, TRUE, 0);
  for (guint i = 0; i < 3; i++)
    ck_assert_uint_eq (lab_task (&lab, lab_ask (&lab, 0))->upstream, lab.keys[1]);
  anvil_dispatcher_remove_upstream (lab.dispatcher, lab.now, lab.keys[1]);
  ck_assert (lab_task (&lab, lab_ask (&lab, 0))->refused);
  ck_assert_int_eq (lab_task (&lab, 3)->why, ANVIL_TASK_NO_UPSTREAM);
  /* Tasks of an upstream that left still end. */
  for (guint i = 0; i < 3; i++)
    lab_finish (&lab, i, ANVIL_RUN_ANSWERED);
}
END_TEST

START_TEST (test_a_new_holder_counts_what_runs_already)
{
  anvil_task_t running = plain_task ();

  add_upstreams (1);
  for (guint i = 0; i < 2; i++)
    {
      running.id = (anvil_task_id_t){ .requester = 5, .number = i };
      running.deadline = lab.now + lab.patience;
      anvil_dispatcher_adopt (lab.dispatcher, lab.now, &running, lab.keys[0]);
    }
  lab_ask (&lab, 0);
  lab_ask (&lab, 0);
  ck_assert_uint_eq (lab.n_grants, 1);
}
END_TEST

START_TEST (test_a_new_holder_takes_the_askers_word_on_what_upstreams_remember)
{
  guint index;

  add_upstreams (8);
  anvil_dispatcher_add_warm_object (lab.dispatcher, lab.now, anvil_str ("photos"), 5, lab.keys[6]);
  anvil_dispatcher_add_warm_object (lab.dispatcher, lab.now, anvil_str ("photos"), 6, 12345);
  anvil_dispatcher_add_warm_object (lab.dispatcher, lab.now, anvil_str ("nowhere"), 5, lab.keys[5]);
  index = lab_ask (&lab, 5);
  ck_assert_uint_eq (lab_task (&lab, index)->upstream, lab.keys[6]);
  ck_assert (lab_task (&lab, index)->warm);
}
END_TEST

START_TEST (test_asking_again_repeats_the_grant_and_takes_no_second_slot)
{
  anvil_dispatcher_status_t status;
  guint index;

  add_upstreams (1);
  index = lab_ask (&lab, 0);
  anvil_dispatcher_submit (lab.dispatcher, lab.now, &lab_task (&lab, index)->task);
  ck_assert_uint_eq (lab.n_grants, 2);
  ck_assert (anvil_dispatcher_status (lab.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.running, 1);
}
END_TEST

START_TEST (test_tasks_of_a_lost_asker_make_room)
{
  anvil_dispatcher_status_t status;

  add_upstreams (1);
  for (guint i = 0; i < 5; i++)
    lab_ask (&lab, 0);
  anvil_dispatcher_requester_lost (lab.dispatcher, lab.now, lab_task (&lab, 0)->task.id.requester);
  ck_assert (anvil_dispatcher_status (lab.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.waiting, 0);
  ck_assert_uint_eq (status.running, 3);
  lab_run (&lab, 100 * ANVIL_MS);
  lab.now += 3 * ANVIL_SECOND;
  anvil_dispatcher_tick (lab.dispatcher, lab.now);
  ck_assert (anvil_dispatcher_status (lab.dispatcher, anvil_str ("photos"), &status));
  ck_assert_uint_eq (status.running, 0);
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
  tcase_add_test (tests, test_a_slot_is_given_to_one_task_at_a_time);
  tcase_add_test (tests, test_an_object_returns_to_the_upstream_that_remembers_it);
  tcase_add_test (tests, test_an_object_is_remembered_only_once_its_first_run_has_ended);
  tcase_add_test (tests, test_objects_are_not_spread_beyond_what_upstreams_remember);
  tcase_add_test (tests, test_of_the_late_the_newest_is_served_first);
  tcase_add_test (tests, test_requests_for_other_objects_of_an_upstream_count_as_waiting_for_it);
  tcase_add_test (tests, test_load_beyond_what_cold_runs_could_carry_is_served_in_time);
  tcase_add_test (tests, test_beyond_saturation_most_slots_serve_in_time);
  tcase_add_test (tests, test_beyond_saturation_refusals_come_early);
  tcase_add_test (tests, test_what_can_not_be_served_in_time_is_refused_at_once);
  tcase_add_test (tests, test_refused_callers_come_back_one_after_the_other);
  tcase_add_test (tests, test_the_more_urgent_kind_is_served_first);
  tcase_add_test (tests, test_regions_that_are_not_allowed_get_nothing);
  tcase_add_test (tests, test_large_bodies_stay_in_their_zone);
  tcase_add_test (tests, test_a_cold_upstream_gets_no_more_than_its_half_of_the_limit);
  tcase_add_test (tests, test_repeats_stay_within_the_budget);
  tcase_add_test (tests, test_an_upstream_that_fails_is_left_alone_and_tried_again);
  tcase_add_test (tests, test_a_draining_upstream_gets_nothing);
  tcase_add_test (tests, test_a_new_holder_counts_what_runs_already);
  tcase_add_test (tests, test_a_new_holder_takes_the_askers_word_on_what_upstreams_remember);
  tcase_add_test (tests, test_asking_again_repeats_the_grant_and_takes_no_second_slot);
  tcase_add_test (tests, test_tasks_of_a_lost_asker_make_room);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
