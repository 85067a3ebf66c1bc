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

static const anvil_str_t photos = { .data = "photos", .length = 6 };

static gboolean
try_retry (dispatch_sim_t *of)
{
  const anvil_task_t task = {
    .service = photos, .region = anvil_str ("west"), .zone = anvil_str ("west-a"), .attempt = 2
  };
  const sim_task_t *retry = sim_task (of, sim_submit_task (of, &task));

  return !(retry->refused && retry->reason == ANVIL_TASK_NO_RETRY);
}

/* Uses up the retry budget. Returns the number of retries that it allowed. */
static guint
exhaust_retries (dispatch_sim_t *of)
{
  guint n = 0;

  while (try_retry (of))
    n++;
  return n;
}

/* Hands over as brokers do, which replace the origin 0 and leave out the receiver's own. */
static void
hand_over (dispatch_sim_t *from, guint64 from_origin, dispatch_sim_t *to, guint64 to_origin)
{
  anvil_retry_counts_t counts[ANVIL_MAX_RETRY_ORIGINS];
  guint n = anvil_dispatcher_list_retry_counts (from->dispatcher, from->now, photos, counts);

  for (guint i = 0; i < n; i++)
    {
      if (counts[i].origin == 0)
        counts[i].origin = from_origin;
      if (counts[i].origin != to_origin)
        ck_assert (anvil_dispatcher_add_retry_counts (to->dispatcher, to->now, photos, &counts[i]));
    }
}

/* Guards against holders that follow each other quickly, each with a whole retry budget. */
START_TEST (test_new_holder_goes_on_with_the_retry_budget_of_the_last_one)
{
  dispatch_sim_t next;

  sim_open (&next);
  sim_add_upstream (&next, "west", "west-a", 3);
  next.now = sim.now;
  ck_assert_uint_gt (exhaust_retries (&sim), 0);
  hand_over (&sim, 1, &next, 2);
  ck_assert (!try_retry (&next));
  sim_run (&next, 12 * ANVIL_SECOND);
  ck_assert (try_retry (&next));
  sim_close (&next);
}
END_TEST

START_TEST (test_counts_that_come_back_are_not_added_again)
{
  dispatch_sim_t next;
  guint n = 0;

  sim_open (&next);
  sim_add_upstream (&next, "west", "west-a", 3);
  next.now = sim.now;
  ck_assert (try_retry (&sim));
  ck_assert (try_retry (&next));
  for (guint i = 0; i < 20; i++)
    {
      hand_over (&sim, 1, &next, 2);
      hand_over (&next, 2, &sim, 1);
    }
  n = exhaust_retries (&next);
  hand_over (&next, 2, &sim, 1);
  ck_assert (!try_retry (&sim));
  sim_close (&next);
  sim_close (&sim);
  sim_open (&sim);
  sim_add_upstream (&sim, "west", "west-a", 3);
  ck_assert_uint_eq (n + 2, exhaust_retries (&sim));
}
END_TEST

START_TEST (test_counts_of_too_many_holders_are_left_out)
{
  anvil_retry_counts_t counts[ANVIL_MAX_RETRY_ORIGINS];
  guint added = 0;

  ck_assert (try_retry (&sim));
  for (guint64 origin = 1; origin <= (guint64) 2 * ANVIL_MAX_RETRY_ORIGINS; origin++)
    added += anvil_dispatcher_add_retry_counts (
        sim.dispatcher, sim.now, photos,
        &(anvil_retry_counts_t){ .origin = origin, .n_attempts = 1, .retries = { 1 } });
  ck_assert_uint_eq (added, ANVIL_MAX_RETRY_ORIGINS - 1);
  ck_assert_uint_eq (anvil_dispatcher_list_retry_counts (sim.dispatcher, sim.now, photos, counts),
                     ANVIL_MAX_RETRY_ORIGINS);
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
  tcase_add_test (tests, test_new_holder_goes_on_with_the_retry_budget_of_the_last_one);
  tcase_add_test (tests, test_counts_that_come_back_are_not_added_again);
  tcase_add_test (tests, test_counts_of_too_many_holders_are_left_out);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
