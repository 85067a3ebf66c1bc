/* What a dispatcher grants of the limits that all entries share, before it is known who else grants
 * and just after its entry has become the holder. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

/* The bucket of a cold upstream that takes 2.5 requests a second has its first token after this. */
#define FIRST_COLD_TOKEN (400 * ANVIL_MS)

static dispatch_sim_t sim;

static void
set_up (void)
{
  sim_open (&sim);
  sim_add_upstream (&sim, "west", "west-a", 3);
}

static void
tear_down (void)
{
  sim_close (&sim);
}

static void
set_knows_peers (gboolean knows_peers)
{
  anvil_dispatcher_set_knows_peers (sim.dispatcher, sim.now, knows_peers);
}

static void
make_cold (void)
{
  sim_set_upstream (&sim, 0, FALSE, sim.now + 10 * ANVIL_SECOND);
}

/* Guards against as many requests to a cold upstream as entries start together. */
START_TEST (test_cold_upstream_gets_nothing_until_the_peers_are_known)
{
  guint task;

  make_cold ();
  set_knows_peers (FALSE);
  task = sim_submit (&sim, 0);
  sim_run (&sim, 200 * ANVIL_MS);
  ck_assert (!sim_task (&sim, task)->granted && !sim_task (&sim, task)->refused);
  set_knows_peers (TRUE);
  sim_run (&sim, FIRST_COLD_TOKEN - 50 * ANVIL_MS);
  ck_assert (!sim_task (&sim, task)->granted);
  sim_run (&sim, 100 * ANVIL_MS);
  ck_assert (sim_task (&sim, task)->granted);
}
END_TEST

START_TEST (test_other_upstreams_are_used_before_the_peers_are_known)
{
  set_knows_peers (FALSE);
  ck_assert (sim_task (&sim, sim_submit (&sim, 0))->granted);
}
END_TEST

START_TEST (test_upstream_with_a_request_limit_gets_nothing_until_the_peers_are_known)
{
  anvil_dispatcher_add_request_limit (sim.dispatcher, sim.now, sim.keys[0], 5, sim.now);
  sim_run (&sim, ANVIL_SECOND);
  set_knows_peers (FALSE);
  ck_assert (!sim_task (&sim, sim_submit (&sim, 0))->granted);
  set_knows_peers (TRUE);
  sim_run (&sim, 250 * ANVIL_MS);
  ck_assert_uint_eq (sim.n_grants, 1);
}
END_TEST

START_TEST (test_nothing_is_retried_until_the_peers_are_known)
{
  anvil_task_t task = { .service = anvil_str ("photos"),
                        .region = anvil_str ("west"),
                        .zone = anvil_str ("west-a"),
                        .attempt = 2 };
  const sim_task_t *retry;

  set_knows_peers (FALSE);
  retry = sim_task (&sim, sim_submit_task (&sim, &task));
  ck_assert (retry->refused && retry->reason == ANVIL_TASK_NO_RETRY);
  set_knows_peers (TRUE);
  ck_assert (sim_task (&sim, sim_submit_task (&sim, &task))->granted);
}
END_TEST

/* Guards against holders that follow each other quickly, each with a full bucket. */
START_TEST (test_new_holder_does_not_grant_what_the_last_one_may_have_used)
{
  guint task;

  make_cold ();
  anvil_dispatcher_hold_service (sim.dispatcher, sim.now, anvil_str ("photos"));
  task = sim_submit (&sim, 0);
  sim_run (&sim, FIRST_COLD_TOKEN - 50 * ANVIL_MS);
  ck_assert (!sim_task (&sim, task)->granted);
  sim_run (&sim, 100 * ANVIL_MS);
  ck_assert (sim_task (&sim, task)->granted);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-holder");
  TCase *tests = tcase_create ("dispatch-holder");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_cold_upstream_gets_nothing_until_the_peers_are_known);
  tcase_add_test (tests, test_other_upstreams_are_used_before_the_peers_are_known);
  tcase_add_test (tests, test_upstream_with_a_request_limit_gets_nothing_until_the_peers_are_known);
  tcase_add_test (tests, test_nothing_is_retried_until_the_peers_are_known);
  tcase_add_test (tests, test_new_holder_does_not_grant_what_the_last_one_may_have_used);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
