/* Request limits that upstreams name: how many tasks they get, and what becomes of the others. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

#define WINDOW (4 * ANVIL_SECOND)
/* The platform's contract: requests that a limited upstream may get in any such time. */
#define MAX_IN_WINDOW(per_second) ((guint) (1.5 * (per_second) *4 + 5))
#define N_OBJECTS 40
/* So many that hardly any is requested twice. */
#define MANY_OBJECTS 1000000

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
    {
      sim_add_upstream (&sim, "west", "west-a", 3);
      sim_end_limit (&sim, i);
    }
}

START_TEST (test_a_limited_upstream_gets_what_it_takes_and_no_more)
{
  static const gdouble limits[] = { 0.5, 2, 5 };

  for (gsize i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      anvil_time_t since;
      guint n;

      tear_down ();
      set_up ();
      add_upstreams (4);
      sim_run_load (&sim, 5 * ANVIL_SECOND, 30, N_OBJECTS);
      sim_name_limit (&sim, 0, limits[i]);
      sim_run_load (&sim, 2 * ANVIL_SECOND, 30, N_OBJECTS);
      since = sim.now;
      sim_run_load (&sim, 20 * ANVIL_SECOND, 30, N_OBJECTS);
      n = sim_count_grants (&sim, 0, since);
      ck_assert_msg (sim_most_grants (&sim, 0, since, WINDOW) <= 5 * limits[i] + 1, "%g: %u",
                     limits[i], sim_most_grants (&sim, 0, since, WINDOW));
      ck_assert_msg (n >= 20 * limits[i] * 0.7, "%g: %u", limits[i], n);
    }
}
END_TEST

/* The load that the limit leaves fits into the other upstreams. */
START_TEST (test_tasks_beyond_a_limit_are_served_elsewhere_on_time)
{
  guint refusals;

  add_upstreams (6);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 30, N_OBJECTS);
  sim_name_limit (&sim, 0, 1);
  sim_run_load (&sim, 4 * ANVIL_SECOND, 30, N_OBJECTS);
  refusals = sim.n_refusals;
  ck_assert_double_ge (sim_run_load (&sim, 10 * ANVIL_SECOND, 30, N_OBJECTS), 0.95);
  ck_assert_uint_eq (sim.n_refusals, refusals);
}
END_TEST

/* All upstreams are limited to a fifth of the load. What can't be served is refused while its
 * caller still has time for another try, and told to return when the limits leave room. */
START_TEST (test_tasks_that_limits_leave_no_room_for_are_refused_in_time)
{
  guint first;
  guint n_refused = 0;
  guint n_answered = 0;

  add_upstreams (4);
  sim_run_load (&sim, 10 * ANVIL_SECOND, 20, N_OBJECTS);
  for (guint i = 0; i < 4; i++)
    sim_name_limit (&sim, i, 1);
  sim_run_load (&sim, 4 * ANVIL_SECOND, 20, N_OBJECTS);
  first = sim.tasks->len;
  sim_run_load (&sim, 10 * ANVIL_SECOND, 20, N_OBJECTS);
  for (guint i = first; i < sim.tasks->len; i++)
    {
      const sim_task_t *task = sim_task (&sim, i);

      n_answered += task->done;
      if (!task->refused)
        continue;
      n_refused++;
      ck_assert_int_le (task->refused_at - task->submitted_at, (sim.target + sim.timeout) / 2);
      /* The limits take longer than this for what is refused in a second. */
      if (i > first + 40)
        ck_assert_int_ge (task->retry_after, ANVIL_SECOND);
    }
  ck_assert_uint_eq (n_answered + n_refused, sim.tasks->len - first);
  ck_assert_uint_ge (n_answered, 30);
}
END_TEST

START_TEST (test_a_limit_ends_with_a_response_that_names_none)
{
  anvil_time_t since;
  guint first;

  add_upstreams (1);
  sim_name_limit (&sim, 0, 1);
  sim_run_load (&sim, 5 * ANVIL_SECOND, 6, 3);
  sim_end_limit (&sim, 0);
  sim_run_load (&sim, 3 * ANVIL_SECOND, 6, 3);
  since = sim.now;
  first = sim.tasks->len;
  sim_run_load (&sim, 5 * ANVIL_SECOND, 6, 3);
  ck_assert_uint_eq (sim_count_grants (&sim, 0, since), sim.tasks->len - first);
}
END_TEST

/* Responses of several entries reach the holder in any order. */
START_TEST (test_a_response_to_an_earlier_request_does_not_end_a_limit)
{
  anvil_time_t since;

  add_upstreams (1);
  sim_submit (&sim, 0);
  sim_submit (&sim, 0);
  sim.now += ANVIL_MS;
  sim_name_limit (&sim, 0, 1);
  sim_finish (&sim, 0, ANVIL_RUN_ANSWERED);
  sim_end_limit (&sim, 0);
  sim_finish (&sim, 1, ANVIL_RUN_ANSWERED);
  since = ++sim.now;
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  ck_assert_uint_eq (sim_count_grants (&sim, 0, since), 0);
}
END_TEST

/* The other upstream is better for every task. */
START_TEST (test_a_limit_of_zero_is_probed)
{
  anvil_time_t since;

  add_upstreams (2);
  sim_run_load (&sim, 5 * ANVIL_SECOND, 1, MANY_OBJECTS);
  sim_name_limit (&sim, 0, 0);
  sim_run_load (&sim, 5 * ANVIL_SECOND, 1, MANY_OBJECTS);
  since = sim.now;
  sim_run_load (&sim, 30 * ANVIL_SECOND, 1, MANY_OBJECTS);
  ck_assert_uint_le (sim_most_grants (&sim, 0, since, WINDOW), 2);
  ck_assert_uint_ge (sim_count_grants (&sim, 0, since), 5);
  sim_end_limit (&sim, 0);
  sim_run_load (&sim, 6 * ANVIL_SECOND, 1, MANY_OBJECTS);
  since = sim.now;
  sim_run_load (&sim, 10 * ANVIL_SECOND, 1, MANY_OBJECTS);
  ck_assert_uint_ge (sim_count_grants (&sim, 0, since), 3);
}
END_TEST

START_TEST (test_a_huge_limit_changes_nothing)
{
  add_upstreams (2);
  sim_name_limit (&sim, 0, 1e300);
  ck_assert_double_ge (sim_run_load (&sim, 10 * ANVIL_SECOND, 8, 10), 0.6);
  ck_assert_uint_ge (sim_count_grants (&sim, 0, 5 * ANVIL_SECOND), 10);
}
END_TEST

/* Another dispatcher takes over, and is told of the limit by other entries. */
START_TEST (test_a_new_holder_keeps_to_a_limit_from_its_first_grant)
{
  sim.target = 3 * ANVIL_SECOND;
  sim.timeout = 6 * ANVIL_SECOND;
  add_upstreams (1);
  anvil_dispatcher_add_request_limit (sim.dispatcher, sim.now, sim.keys[0], 1,
                                      sim.now - 100 * ANVIL_MS);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 0);
  sim_run (&sim, 1100 * ANVIL_MS);
  ck_assert_uint_eq (sim.n_grants, 1);
}
END_TEST

START_TEST (test_an_older_report_does_not_replace_a_limit)
{
  add_upstreams (1);
  anvil_dispatcher_add_request_limit (sim.dispatcher, sim.now, sim.keys[0], 1e6, sim.now);
  anvil_dispatcher_add_request_limit (sim.dispatcher, sim.now, sim.keys[0], 1,
                                      sim.now - 500 * ANVIL_MS);
  sim_run (&sim, 100 * ANVIL_MS);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 3);
}
END_TEST

START_TEST (test_a_restarted_upstream_has_no_limit)
{
  const anvil_registered_upstream_t restarted = { .key = 0,
                                                  .id = (char *) "u0",
                                                  .service = (char *) "photos",
                                                  .zone = (char *) "west-a",
                                                  .slots = 3 };
  anvil_registered_upstream_t upstream = restarted;

  add_upstreams (1);
  upstream.key = sim.keys[0];
  anvil_dispatcher_add_request_limit (sim.dispatcher, sim.now, sim.keys[0], 0, sim.now);
  anvil_dispatcher_update_upstream (sim.dispatcher, sim.now, &upstream, anvil_str ("west"),
                                    ANVIL_REGISTRY_RESTARTED);
  for (guint i = 0; i < 3; i++)
    sim_submit (&sim, 0);
  ck_assert_uint_eq (sim.n_grants, 3);
}
END_TEST

/* While another holder may act for other entries, two together keep to the contract. */
START_TEST (test_two_holders_together_keep_to_a_limit)
{
  static const gdouble limits[] = { 0, 1, 5, 8 };

  for (gsize i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      tear_down ();
      set_up ();
      add_upstreams (1);
      anvil_dispatcher_set_divided (sim.dispatcher, TRUE);
      sim_name_limit (&sim, 0, limits[i]);
      sim_run_load (&sim, 4 * ANVIL_SECOND, 20, 3);
      sim_run_load (&sim, 20 * ANVIL_SECOND, 20, 3);
      ck_assert_msg (2 * sim_most_grants (&sim, 0, 5 * ANVIL_SECOND, WINDOW)
                         <= MAX_IN_WINDOW (limits[i]),
                     "%g: %u each", limits[i], sim_most_grants (&sim, 0, 5 * ANVIL_SECOND, WINDOW));
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-limit");
  TCase *tests = tcase_create ("dispatch-limit");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_limited_upstream_gets_what_it_takes_and_no_more);
  tcase_add_test (tests, test_tasks_beyond_a_limit_are_served_elsewhere_on_time);
  tcase_add_test (tests, test_tasks_that_limits_leave_no_room_for_are_refused_in_time);
  tcase_add_test (tests, test_a_limit_ends_with_a_response_that_names_none);
  tcase_add_test (tests, test_a_response_to_an_earlier_request_does_not_end_a_limit);
  tcase_add_test (tests, test_a_limit_of_zero_is_probed);
  tcase_add_test (tests, test_a_huge_limit_changes_nothing);
  tcase_add_test (tests, test_a_new_holder_keeps_to_a_limit_from_its_first_grant);
  tcase_add_test (tests, test_an_older_report_does_not_replace_a_limit);
  tcase_add_test (tests, test_a_restarted_upstream_has_no_limit);
  tcase_add_test (tests, test_two_holders_together_keep_to_a_limit);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
