/* Quotas of tenants: the bound of every window, and no refusal below the rate, under load. */

#include <check.h>
#include <stdlib.h>

#include "helper-quota.h"

static quota_sim_t sim;

static void
check_bound (void)
{
  guint most = quota_sim_most_runs (&sim, 0);

  ck_assert_msg (most <= quota_sim_bound (&sim), "%u runs in a window, allowed %.1f", most,
                 quota_sim_bound (&sim));
}

/* Limits of tenants: of the first deployment, of the process test, with a small burst, rare. */
static const gdouble limits[][2] = { { 924, 924 }, { 20, 20 }, { 300, 10 }, { 0.5, 1 }, { 5, 50 } };

/* Guards against a tenant that gets more, or much less, than its quota through one holder and then
 * through all. */
START_TEST (test_pressure_through_one_and_all_holders)
{
  const gdouble *limit = limits[_i / 2];
  const gdouble factor = _i % 2 == 0 ? 8 : 5;
  guint last;

  quota_sim_open (&sim, 5, limit[0], limit[1]);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 0, 0, 1);
  quota_sim_run (&sim, 6 * ANVIL_SECOND, factor * limit[0], 3, 1);
  quota_sim_run (&sim, 6 * ANVIL_SECOND, factor * limit[0], 0, 5);
  check_bound ();
  last = sim.runs->len;
  quota_sim_run (&sim, 10 * ANVIL_SECOND, factor * limit[0], 0, 5);
  check_bound ();
  ck_assert_uint_ge (sim.runs->len - last + 1, (guint) (9.5 * limit[0]));
  ck_assert_uint_eq (sim.n_no_counter, 0);
  ck_assert_uint_gt (sim.n_over_quota, 0);
  quota_sim_close (&sim);
}
END_TEST

/* Guards against refusals of a tenant below its rate whose callers move, or send at one entry and
 * then at all. */
START_TEST (test_no_refusal_below_the_rate)
{
  const gdouble *limit = limits[_i];

  quota_sim_open (&sim, 5, limit[0], limit[1]);
  for (guint i = 0; i < 40; i++)
    quota_sim_run (&sim, 700 * ANVIL_MS, 0.95 * limit[0], i % 5, 1);
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 0.95 * limit[0], 0, 5);
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 0.95 * limit[0], 2, 1);
  ck_assert_uint_eq (sim.n_over_quota + sim.n_no_counter, 0);
  check_bound ();
  quota_sim_close (&sim);
}
END_TEST

/* Guards against refusals of a tenant that sends its burst after a quiet time, at one entry. */
START_TEST (test_whole_burst_is_served)
{
  const gdouble *limit = limits[_i];

  quota_sim_open (&sim, 5, limit[0], limit[1]);
  quota_sim_run (&sim, 20 * ANVIL_SECOND, 0.5 * limit[0], 0, 5);
  for (guint i = 0; i < (guint) limit[1]; i++)
    quota_sim_send (&sim, 3);
  quota_sim_run (&sim, ANVIL_SECOND, 0.5 * limit[0], 0, 5);
  ck_assert_uint_eq (sim.n_over_quota + sim.n_no_counter, 0);
  check_bound ();
  quota_sim_close (&sim);
}
END_TEST

/* Guards against latency that the counter adds: tokens are there before their tasks. */
START_TEST (test_tokens_are_there_before_their_tasks)
{
  guint waited = 0;

  quota_sim_open (&sim, 5, 924, 924);
  sim.latency = _i == 0 ? ANVIL_MS : 35 * ANVIL_MS;
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 577, 0, 3);
  for (guint i = 0; i < 1000; i++)
    {
      guint before = sim.runs->len;

      quota_sim_send (&sim, 1 + i % 2);
      waited += sim.runs->len == before;
      quota_sim_run (&sim, 2 * ANVIL_MS, 100, 0, 3);
    }
  ck_assert_uint_le (waited, 10);
  quota_sim_close (&sim);
}
END_TEST

/* Guards against excess and refusals when the counter is lost in the middle of a burst and another
 * one takes over, after 300 ms or within the fallback. */
START_TEST (test_counter_is_lost)
{
  const gdouble *limit = limits[_i / 2];
  const gdouble factor = _i % 2 == 0 ? 8 : 0.6;

  quota_sim_open (&sim, 5, limit[0], limit[1]);
  quota_sim_run (&sim, 12 * ANVIL_SECOND, 0.6 * limit[0], 2, 3);
  quota_sim_run (&sim, ANVIL_SECOND, factor * limit[0], 2, 3);
  sim.silent[0] = TRUE;
  quota_sim_run (&sim, 300 * ANVIL_MS, factor * limit[0], 2, 3);
  quota_sim_move_counter (&sim, 0, 1);
  quota_sim_run (&sim, 4 * ANVIL_SECOND, factor * limit[0], 2, 3);
  sim.silent[1] = TRUE;
  quota_sim_run (&sim, 1500 * ANVIL_MS, factor * limit[0], 2, 3);
  quota_sim_move_counter (&sim, 0, 2);
  quota_sim_run (&sim, 8 * ANVIL_SECOND, factor * limit[0], 2, 3);
  check_bound ();
  ck_assert_uint_eq (sim.n_no_counter, 0);
  if (factor < 1)
    ck_assert_uint_eq (sim.n_over_quota, 0);
  quota_sim_close (&sim);
}
END_TEST

/* Guards against a holder that goes on without end while no counter answers. */
START_TEST (test_fallback_ends)
{
  guint before;

  quota_sim_open (&sim, 3, 100, 100);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 60, 1, 1);
  before = sim.runs->len;
  sim.silent[0] = TRUE;
  quota_sim_run (&sim, 2 * ANVIL_SECOND, 60, 1, 1);
  ck_assert_uint_ge (sim.runs->len - before, 100);
  quota_sim_run (&sim, ANVIL_SECOND, 60, 1, 1);
  before = sim.runs->len;
  quota_sim_run (&sim, 2 * ANVIL_SECOND, 60, 1, 1);
  ck_assert_uint_eq (sim.runs->len, before);
  ck_assert_uint_gt (sim.n_no_counter, 0);
  ck_assert_uint_eq (sim.n_over_quota, 0);
  sim.silent[0] = FALSE;
  quota_sim_run (&sim, ANVIL_SECOND, 60, 1, 1);
  before = sim.n_no_counter;
  quota_sim_run (&sim, 2 * ANVIL_SECOND, 60, 1, 1);
  ck_assert_uint_eq (sim.n_no_counter, before);
  quota_sim_close (&sim);
}
END_TEST

/* Guards against a burst that holders repeat while no counter answers. */
START_TEST (test_fallback_keeps_to_the_rate)
{
  const gdouble *limit = limits[_i];

  quota_sim_open (&sim, 3, limit[0], limit[1]);
  quota_sim_run (&sim, 30 * ANVIL_SECOND, 0.2 * limit[0], 0, 3);
  quota_sim_run (&sim, 500 * ANVIL_MS, 16 * limit[0] + 2 * limit[1], 1, 2);
  sim.silent[0] = TRUE;
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 8 * limit[0] + limit[1], 1, 2);
  check_bound ();
  quota_sim_close (&sim);
}
END_TEST

/* Guards against a counter that was suspended and lends a full bucket beside its successor. */
START_TEST (test_counter_was_suspended)
{
  const gdouble *limit = limits[_i];

  quota_sim_open (&sim, 5, limit[0], limit[1]);
  quota_sim_run (&sim, 12 * ANVIL_SECOND, 8 * limit[0], 0, 5);
  sim.silent[0] = TRUE;
  quota_sim_run (&sim, 600 * ANVIL_MS, 8 * limit[0], 1, 4);
  quota_sim_move_counter (&sim, 0, 1);
  for (guint i = 1; i < 5; i++)
    sim.share[i] = 0.8;
  quota_sim_run (&sim, 20 * ANVIL_SECOND, 0.3 * limit[0], 1, 4);
  quota_sim_run (&sim, 500 * ANVIL_MS, 16 * limit[0] + 2 * limit[1], 1, 4);
  /* Until its next tick it doesn't know that another entry has taken over. */
  sim.silent[0] = FALSE;
  for (guint i = 0; i < 2 * limit[1]; i++)
    quota_sim_send (&sim, 0);
  sim.share[0] = 0.2;
  quota_sim_run (&sim, 200 * ANVIL_MS, 16 * limit[0], 0, 5);
  quota_sim_move_counter (&sim, 0, 0);
  for (guint i = 0; i < 5; i++)
    sim.share[i] = 1;
  quota_sim_run (&sim, 8 * ANVIL_SECOND, 8 * limit[0], 0, 5);
  check_bound ();
  quota_sim_close (&sim);
}
END_TEST

/* Guards against a partition in which both sides together exceed the quota. */
START_TEST (test_entries_are_divided)
{
  const gdouble *limit = limits[_i / 3];
  const guint n_cut_off = (guint[]){ 1, 5, 3 }[_i % 3];

  quota_sim_open (&sim, 10, limit[0], limit[1]);
  quota_sim_run (&sim, 12 * ANVIL_SECOND, 0.6 * limit[0], 0, 10);
  for (guint i = 0; i < n_cut_off; i++)
    sim.side[9 - i] = 1;
  quota_sim_run (&sim, 400 * ANVIL_MS, 8 * limit[0], 0, 10);
  for (guint i = 0; i < 10; i++)
    sim.share[i] = (sim.side[i] == 1 ? n_cut_off : 10 - n_cut_off) / 10.0;
  quota_sim_move_counter (&sim, 1, 9);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 8 * limit[0], 0, 10);
  for (guint i = 0; i < 10; i++)
    {
      sim.side[i] = 0;
      sim.share[i] = 1;
    }
  quota_sim_move_counter (&sim, 0, 0);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 8 * limit[0], 0, 10);
  check_bound ();
  quota_sim_close (&sim);
}
END_TEST

/* Guards against limits that change late, or that refuse a tenant for what it sent before. */
START_TEST (test_limits_change)
{
  guint before;

  quota_sim_open (&sim, 3, 200, 200);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 180, 0, 3);
  quota_sim_set_limit (&sim, 50, 50);
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 45, 0, 3);
  ck_assert_uint_eq (sim.n_over_quota, 0);
  quota_sim_run (&sim, 10 * ANVIL_SECOND, 400, 0, 3);
  ck_assert_uint_le (quota_sim_most_runs (&sim, sim.now - 15 * ANVIL_SECOND),
                     (guint) quota_sim_bound (&sim));
  /* Removed: at once. */
  quota_sim_set_limit (&sim, 0, 0);
  before = sim.n_over_quota;
  quota_sim_run (&sim, 2 * ANVIL_SECOND, 400, 0, 3);
  ck_assert_uint_eq (sim.n_over_quota, before);
  /* Back again: with a part of its burst. */
  quota_sim_set_limit (&sim, 50, 200);
  before = sim.runs->len;
  for (guint i = 0; i < 300; i++)
    quota_sim_send (&sim, 0);
  ck_assert_uint_ge (sim.runs->len - before, 60);
  ck_assert_uint_le (sim.runs->len - before, 90);
  quota_sim_close (&sim);
}
END_TEST

/* Guards against refused callers that return together, or before there is room. */
START_TEST (test_retry_after_is_spread)
{
  anvil_time_t first = 0;
  guint n_distinct = 0;

  quota_sim_open (&sim, 3, 20, 20);
  quota_sim_run (&sim, 5 * ANVIL_SECOND, 160, 0, 3);
  for (guint i = 0; i < 20; i++)
    {
      anvil_time_t before = sim.last_retry_after;

      quota_sim_send (&sim, 0);
      n_distinct += sim.last_retry_after != before;
      first = sim.last_retry_after;
      ck_assert_int_gt (first, 0);
      ck_assert_int_le (first, 3 * ANVIL_SECOND);
    }
  ck_assert_uint_ge (n_distinct, 19);
  quota_sim_close (&sim);
}
END_TEST

static guint n_submitted;

static void
count_submit (void *context, const anvil_task_t *task)
{
  n_submitted++;
}

static void
ignore_refusal (void *context,
                anvil_str_t tenant,
                anvil_task_id_t id,
                const anvil_task_refusal_info_t *refused)
{
}

static anvil_task_t
numbered_task (guint64 number)
{
  return (anvil_task_t){ .id = { .requester = 1, .number = number }, .tenant = anvil_str ("acme") };
}

/* Guards against tokens that are lost with a refused task, or come back after their loan's end. */
START_TEST (test_tokens_are_given_back)
{
  const anvil_quota_loans_callbacks_t callbacks
      = { .submit = count_submit, .refuse = ignore_refusal };
  const anvil_quota_limit_t limit = { .rate = 10, .burst = 10 };
  anvil_quota_loans_t *loans = anvil_quota_loans_new (&callbacks, NULL);
  const anvil_quota_lent_t lent
      = { .tenant = anvil_str ("acme"), .wanted = 1, .lent = 1, .use_share = 1000 };
  const anvil_time_t start = 100 * ANVIL_SECOND;
  anvil_task_t task = numbered_task (1);

  anvil_quota_loans_set_window (loans, 5 * ANVIL_SECOND);
  ck_assert (!anvil_quota_loans_take (loans, start, &task, &limit));
  ck_assert (anvil_quota_loans_waits (loans, task.id));
  anvil_quota_loans_lent (loans, start + ANVIL_MS, start, &lent);
  ck_assert_uint_eq (n_submitted, 1);
  /* Refused for lack of capacity: another task uses its token. */
  anvil_quota_loans_give_back (loans, start + 2 * ANVIL_MS, task.id);
  anvil_quota_loans_give_back (loans, start + 2 * ANVIL_MS, task.id);
  task = numbered_task (2);
  ck_assert (anvil_quota_loans_take (loans, start + 3 * ANVIL_MS, &task, &limit));
  task = numbered_task (3);
  ck_assert (!anvil_quota_loans_take (loans, start + 3 * ANVIL_MS, &task, &limit));
  anvil_quota_loans_cancel (loans, task.id);
  ck_assert (!anvil_quota_loans_waits (loans, task.id));
  /* Cancelled after the loan's end: the counter has refilled since. */
  task = numbered_task (2);
  anvil_quota_loans_give_back (loans, start + 400 * ANVIL_MS, task.id);
  task = numbered_task (4);
  ck_assert (!anvil_quota_loans_take (loans, start + 401 * ANVIL_MS, &task, &limit));
  anvil_quota_loans_requester_lost (loans, 1);
  ck_assert (!anvil_quota_loans_waits (loans, task.id));
  anvil_quota_loans_drop (loans);
}
END_TEST

/* Guards against shards that change with anything but the configuration. */
START_TEST (test_tenants_are_divided_into_shards)
{
  const anvil_dispatcher_limits_t some = { .quota_window = 5 * ANVIL_SECOND };
  anvil_quota_counter_t *counter = anvil_quota_counter_new (&some);
  anvil_routes_t *routes = anvil_routes_new (1);
  guint n_second = 0;

  for (guint i = 0; i < ANVIL_QUOTA_SHARD_TENANTS + 1; i++)
    {
      anvil_tenant_t *tenant = anvil_routes_add_tenant (routes);

      tenant->name = g_strdup_printf ("t%u", i);
      tenant->rate = 1;
    }
  anvil_quota_counter_set_tenants (counter, 1, routes);
  ck_assert_uint_eq (anvil_quota_counter_count_shards (counter), 2);
  for (guint i = 0; i < 1000; i++)
    n_second += anvil_quota_counter_shard (counter,
                                           anvil_str (anvil_routes_tenant_at (routes, i)->name));
  ck_assert_uint_ge (n_second, 400);
  ck_assert_uint_le (n_second, 600);
  anvil_routes_drop (routes);
  anvil_quota_counter_drop (counter);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota");
  TCase *tests = tcase_create ("quota");
  SRunner *runner;
  int n_failed;

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_pressure_through_one_and_all_holders, 0, 10);
  tcase_add_loop_test (tests, test_no_refusal_below_the_rate, 0, 5);
  tcase_add_loop_test (tests, test_whole_burst_is_served, 0, 5);
  tcase_add_loop_test (tests, test_tokens_are_there_before_their_tasks, 0, 2);
  tcase_add_loop_test (tests, test_counter_is_lost, 0, 10);
  tcase_add_test (tests, test_fallback_ends);
  tcase_add_loop_test (tests, test_fallback_keeps_to_the_rate, 0, 5);
  tcase_add_loop_test (tests, test_counter_was_suspended, 0, 5);
  tcase_add_loop_test (tests, test_entries_are_divided, 0, 15);
  tcase_add_test (tests, test_limits_change);
  tcase_add_test (tests, test_retry_after_is_spread);
  tcase_add_test (tests, test_tokens_are_given_back);
  tcase_add_test (tests, test_tenants_are_divided_into_shards);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
