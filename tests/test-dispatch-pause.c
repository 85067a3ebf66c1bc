/* Pauses that upstreams ask single entries for: who gets their slots, and what becomes of requests
 * that no upstream wants in time. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

#define PAUSED_ENTRY ((anvil_node_t) 5)
#define OTHER_ENTRY ((anvil_node_t) 6)
#define LONG_PAUSE (10 * ANVIL_SECOND)
#define SHORT_PAUSE (400 * ANVIL_MS)

static dispatch_sim_t sim;

static void
set_up (void)
{
  sim_open (&sim);
  sim_add_upstream (&sim, "west", "west-a", 2);
}

static void
tear_down (void)
{
  sim_close (&sim);
}

static void
pause_upstream (guint index, anvil_time_t pause)
{
  anvil_dispatcher_pause_upstream (sim.dispatcher, sim.now, sim.keys[index], 0, PAUSED_ENTRY,
                                   sim.now + pause);
}

/* A repeat of a request that failed on an upstream. */
static const sim_task_t *
submit_repeat (guint64 failed_on)
{
  const anvil_task_t task = { .id = { .requester = PAUSED_ENTRY },
                              .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .attempt = 2,
                              .excluded = { failed_on },
                              .n_excluded = 1 };

  return sim_task (&sim, sim_submit_task (&sim, &task));
}

static guint
submit_object (anvil_node_t requester, guint64 object)
{
  const anvil_task_t task = { .id = { .requester = requester },
                              .service = anvil_str ("photos"),
                              .region = anvil_str ("west"),
                              .zone = anvil_str ("west-a"),
                              .object = object,
                              .attempt = 1 };

  return sim_submit_task (&sim, &task);
}

static const sim_task_t *
submit_from (anvil_node_t requester)
{
  return sim_task (&sim, submit_object (requester, 0));
}

START_TEST (test_a_paused_upstream_gets_requests_of_other_entries_only)
{
  pause_upstream (0, LONG_PAUSE);
  ck_assert (submit_from (OTHER_ENTRY)->granted);
  ck_assert (!submit_from (PAUSED_ENTRY)->granted);
}
END_TEST

START_TEST (test_requests_of_a_paused_entry_go_to_the_other_upstreams)
{
  const guint64 other = sim_add_upstream (&sim, "west", "west-a", 2);

  pause_upstream (0, LONG_PAUSE);
  for (guint i = 0; i < 2; i++)
    ck_assert_uint_eq (submit_from (PAUSED_ENTRY)->upstream, other);
}
END_TEST

START_TEST (test_a_request_that_all_pauses_outlast_is_refused_at_once)
{
  const sim_task_t *task;

  pause_upstream (0, LONG_PAUSE);
  task = submit_from (PAUSED_ENTRY);
  ck_assert (task->refused);
  ck_assert_int_eq (task->refused_at, task->submitted_at);
  ck_assert_int_eq (task->reason, ANVIL_TASK_PAUSED);
  ck_assert_int_ge (task->retry_after, LONG_PAUSE);
  ck_assert_int_le (task->retry_after, LONG_PAUSE + 2 * ANVIL_SECOND);
}
END_TEST

START_TEST (test_the_callers_of_refused_requests_return_when_the_first_pause_ends)
{
  anvil_time_t last = 0;

  sim_add_upstream (&sim, "west", "west-a", 2);
  pause_upstream (0, 2 * LONG_PAUSE);
  pause_upstream (1, LONG_PAUSE);
  for (guint i = 0; i < 20; i++)
    {
      const sim_task_t *task = submit_from (PAUSED_ENTRY);

      ck_assert (task->refused);
      ck_assert_int_ge (task->retry_after, LONG_PAUSE);
      ck_assert_int_lt (task->retry_after, 2 * LONG_PAUSE);
      ck_assert_int_ge (task->retry_after, last);
      last = task->retry_after;
    }
  ck_assert_int_gt (last, LONG_PAUSE);
}
END_TEST

START_TEST (test_a_request_waits_for_a_pause_that_ends_in_time)
{
  const anvil_time_t until = sim.now + SHORT_PAUSE;
  guint index;

  pause_upstream (0, SHORT_PAUSE);
  submit_from (PAUSED_ENTRY);
  index = sim.tasks->len - 1;
  sim_run (&sim, SHORT_PAUSE + 2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  ck_assert (sim_task (&sim, index)->granted);
  ck_assert_int_ge (sim_task (&sim, index)->granted_at, until);
}
END_TEST

START_TEST (test_a_queued_request_is_refused_when_a_long_pause_begins)
{
  guint index;

  for (guint i = 0; i < 2; i++)
    submit_from (OTHER_ENTRY);
  submit_from (PAUSED_ENTRY);
  index = sim.tasks->len - 1;
  ck_assert (!sim_task (&sim, index)->granted && !sim_task (&sim, index)->refused);
  pause_upstream (0, LONG_PAUSE);
  sim_run (&sim, 2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  ck_assert (sim_task (&sim, index)->refused);
  ck_assert_int_eq (sim_task (&sim, index)->reason, ANVIL_TASK_PAUSED);
}
END_TEST

/* More tasks of the paused entry are queued than are examined for a free slot. */
START_TEST (test_queued_requests_of_a_paused_entry_do_not_hide_those_of_others)
{
  const anvil_time_t pause = 1200 * ANVIL_MS;
  guint index;

  pause_upstream (0, pause);
  for (guint i = 0; i < 2; i++)
    submit_from (OTHER_ENTRY);
  for (guint i = 0; i < 8; i++)
    submit_from (PAUSED_ENTRY);
  submit_from (OTHER_ENTRY);
  index = sim.tasks->len - 1;
  sim_run (&sim, sim.cold_run + 2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  ck_assert (sim_task (&sim, index)->granted);
}
END_TEST

START_TEST (test_a_shorter_pause_does_not_end_a_longer_one)
{
  pause_upstream (0, LONG_PAUSE);
  pause_upstream (0, SHORT_PAUSE);
  sim_run (&sim, 2 * SHORT_PAUSE);
  ck_assert (submit_from (PAUSED_ENTRY)->refused);
}
END_TEST

START_TEST (test_a_repeat_that_may_use_no_upstream_is_refused_at_once)
{
  const sim_task_t *task = submit_repeat (sim.keys[0]);

  ck_assert (task->refused);
  ck_assert_int_eq (task->refused_at, task->submitted_at);
  ck_assert_int_eq (task->reason, ANVIL_TASK_NO_UPSTREAM);
  ck_assert_int_lt (task->retry_after, ANVIL_SECOND);
}
END_TEST

START_TEST (test_a_queued_repeat_is_refused_when_its_last_upstream_drains)
{
  guint index;

  sim_add_upstream (&sim, "west", "west-a", 1);
  for (guint i = 0; i < 3; i++)
    submit_from (OTHER_ENTRY);
  submit_repeat (sim.keys[0]);
  index = sim.tasks->len - 1;
  ck_assert (!sim_task (&sim, index)->granted && !sim_task (&sim, index)->refused);
  sim_set_upstream (&sim, 1, TRUE, 0);
  sim_run (&sim, 2 * ANVIL_DISPATCHER_TICK_INTERVAL);
  ck_assert (sim_task (&sim, index)->refused);
  ck_assert_int_eq (sim_task (&sim, index)->reason, ANVIL_TASK_NO_UPSTREAM);
}
END_TEST

START_TEST (test_repeats_that_may_use_no_upstream_take_nothing_from_the_retry_budget)
{
  for (guint i = 0; i < 60; i++)
    ck_assert (submit_repeat (sim.keys[0])->refused);
  sim_add_upstream (&sim, "west", "west-a", 1);
  ck_assert (submit_repeat (sim.keys[0])->granted);
}
END_TEST

START_TEST (test_the_caller_of_a_repeat_returns_when_the_pause_of_its_upstream_ends)
{
  const sim_task_t *task;

  pause_upstream (0, LONG_PAUSE);
  task = submit_repeat (sim.keys[0]);
  ck_assert (task->refused);
  ck_assert_int_ge (task->retry_after, LONG_PAUSE);
  ck_assert_int_le (task->retry_after, LONG_PAUSE + 2 * ANVIL_SECOND);
}
END_TEST

/* Its next request may use the upstream on which this one failed. */
START_TEST (test_the_caller_of_a_repeat_returns_soon_if_its_first_upstream_does_not_pause)
{
  const sim_task_t *task;

  sim_add_upstream (&sim, "west", "west-a", 2);
  pause_upstream (1, LONG_PAUSE);
  task = submit_repeat (sim.keys[0]);
  ck_assert (task->refused);
  ck_assert_int_eq (task->reason, ANVIL_TASK_PAUSED);
  ck_assert_int_lt (task->retry_after, ANVIL_SECOND);
}
END_TEST

/* More requests are refused than the slots could run in the time of the spread. */
START_TEST (test_the_returns_of_many_callers_are_spread)
{
  GHashTable *times = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  const guint n_requests = 200;
  guint most = 0;

  pause_upstream (0, LONG_PAUSE);
  anvil_dispatcher_pause_upstream (sim.dispatcher, sim.now, sim.keys[0], 0, OTHER_ENTRY,
                                   sim.now + 2 * LONG_PAUSE);
  for (guint i = 0; i < n_requests; i++)
    {
      const sim_task_t *task = submit_from (i % 2 == 0 ? PAUSED_ENTRY : OTHER_ENTRY);
      const anvil_time_t returns_at = task->submitted_at + task->retry_after;
      guint n = 1 + GPOINTER_TO_UINT (g_hash_table_lookup (times, &returns_at));

      g_hash_table_replace (times, g_memdup2 (&returns_at, sizeof returns_at),
                            GUINT_TO_POINTER (n));
      most = MAX (most, n);
    }
  ck_assert_uint_le (most, n_requests / 10);
  g_hash_table_unref (times);
}
END_TEST

/* Two upstreams with few idle slots, of which one is warm for the object and pauses. Returns the
 * index of the other one. */
static guint
occupy_most_slots (guint64 object)
{
  guint warm;

  sim_add_upstream (&sim, "west", "west-a", 3);
  sim_set_upstream (&sim, 0, FALSE, 0);
  warm = sim_task (&sim, submit_object (OTHER_ENTRY, object))->upstream == sim.keys[0] ? 0 : 1;
  sim_run (&sim, sim.cold_run + ANVIL_DISPATCHER_TICK_INTERVAL);
  pause_upstream (warm, LONG_PAUSE);
  for (guint i = 0; i < 2; i++)
    ck_assert_uint_eq (submit_from (PAUSED_ENTRY)->upstream, sim.keys[1 - warm]);
  anvil_dispatcher_pause_upstream (sim.dispatcher, sim.now, sim.keys[1 - warm], 0, OTHER_ENTRY,
                                   sim.now + LONG_PAUSE);
  for (guint i = 0; i < 3; i++)
    ck_assert_uint_eq (submit_from (OTHER_ENTRY)->upstream, sim.keys[warm]);
  return 1 - warm;
}

START_TEST (test_a_request_runs_elsewhere_while_the_upstream_that_is_warm_for_it_pauses)
{
  const guint other = occupy_most_slots (1);
  const sim_task_t *task = sim_task (&sim, submit_object (PAUSED_ENTRY, 1));

  ck_assert (task->granted);
  ck_assert_uint_eq (task->upstream, sim.keys[other]);
}
END_TEST

START_TEST (test_a_queued_request_runs_elsewhere_while_the_upstream_that_is_warm_for_it_pauses)
{
  const guint other = occupy_most_slots (1);
  guint index;

  ck_assert_uint_eq (submit_from (PAUSED_ENTRY)->upstream, sim.keys[other]);
  index = submit_object (PAUSED_ENTRY, 1);
  ck_assert (!sim_task (&sim, index)->granted && !sim_task (&sim, index)->refused);
  /* A slot of the other upstream becomes free; those of the warm one stay in use. */
  for (guint i = 0; i < sim.tasks->len; i++)
    {
      if (sim_task (&sim, i)->upstream == sim.keys[other] && !sim_task (&sim, i)->done)
        {
          sim_finish (&sim, i, ANVIL_RUN_ANSWERED);
          break;
        }
    }
  ck_assert (sim_task (&sim, index)->granted);
  ck_assert_uint_eq (sim_task (&sim, index)->upstream, sim.keys[other]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-pause");
  TCase *tests = tcase_create ("dispatch-pause");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_paused_upstream_gets_requests_of_other_entries_only);
  tcase_add_test (tests, test_requests_of_a_paused_entry_go_to_the_other_upstreams);
  tcase_add_test (tests, test_a_request_that_all_pauses_outlast_is_refused_at_once);
  tcase_add_test (tests, test_the_callers_of_refused_requests_return_when_the_first_pause_ends);
  tcase_add_test (tests, test_a_request_waits_for_a_pause_that_ends_in_time);
  tcase_add_test (tests, test_a_queued_request_is_refused_when_a_long_pause_begins);
  tcase_add_test (tests, test_queued_requests_of_a_paused_entry_do_not_hide_those_of_others);
  tcase_add_test (tests, test_a_shorter_pause_does_not_end_a_longer_one);
  tcase_add_test (tests, test_a_repeat_that_may_use_no_upstream_is_refused_at_once);
  tcase_add_test (tests, test_a_queued_repeat_is_refused_when_its_last_upstream_drains);
  tcase_add_test (tests, test_repeats_that_may_use_no_upstream_take_nothing_from_the_retry_budget);
  tcase_add_test (tests, test_the_caller_of_a_repeat_returns_when_the_pause_of_its_upstream_ends);
  tcase_add_test (tests,
                  test_the_caller_of_a_repeat_returns_soon_if_its_first_upstream_does_not_pause);
  tcase_add_test (tests, test_the_returns_of_many_callers_are_spread);
  tcase_add_test (tests,
                  test_a_request_runs_elsewhere_while_the_upstream_that_is_warm_for_it_pauses);
  tcase_add_test (
      tests, test_a_queued_request_runs_elsewhere_while_the_upstream_that_is_warm_for_it_pauses);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
