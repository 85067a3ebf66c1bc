/* Ranks of tenants, and shares of tenants of equal rank, where capacity is short. */

#include <check.h>
#include <stdlib.h>

#include "helper-dispatch.h"

#define N_UPSTREAMS 5
#define SLOTS 3
#define MAX_TENANTS 12

static dispatch_sim_t sim;
static gdouble owed[MAX_TENANTS];

static void
set_up (void)
{
  memset (owed, 0, sizeof owed);
  sim_open (&sim);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    sim_add_upstream (&sim, "west", "west-a", SLOTS);
}

static void
tear_down (void)
{
  sim_close (&sim);
}

/**
 * load_t - what a tenant sends
 * @n_objects: objects that its requests are about, 0 for none
 * @kind: its run times are estimated apart from those of other kinds
 */
typedef struct
{
  const char *name;
  gdouble per_second;
  guint tenant_priority;
  guint priority;
  guint n_objects;
  anvil_route_kind_t kind;
} load_t;

static void
submit (const load_t *load)
{
  anvil_task_t task = { .service = anvil_str ("photos"),
                        .region = anvil_str ("west"),
                        .zone = anvil_str ("west-a"),
                        .tenant = anvil_str (load->name),
                        .tenant_priority = load->tenant_priority,
                        .priority = load->priority,
                        .kind = load->kind,
                        .attempt = 1 };

  if (load->n_objects > 0)
    task.object = 1 + sim.tasks->len % load->n_objects;
  sim_submit_task (&sim, &task);
}

static void
run_loads (const load_t *loads, guint n, anvil_time_t length)
{
  const anvil_time_t end = sim.now + length;

  while (sim.now < end)
    {
      for (guint i = 0; i < n; i++)
        {
          owed[i] += loads[i].per_second * 5 / 1000;
          while (owed[i] >= 1)
            {
              owed[i]--;
              submit (&loads[i]);
            }
        }
      sim_run (&sim, 5 * ANVIL_MS);
    }
}

/* Share of a tenant's requests since a time that were granted, and their number. */
static gdouble
served (const load_t *load, anvil_time_t since, guint *n_granted)
{
  guint n = 0;

  *n_granted = 0;
  for (guint i = 0; i < sim.tasks->len; i++)
    {
      const sim_task_t *task = sim_task (&sim, i);

      if (task->submitted_at < since || sim.now - task->submitted_at < sim.timeout
          || !anvil_str_equal (task->task.tenant, anvil_str (load->name)))
        continue;
      n++;
      *n_granted += task->granted;
    }
  return n > 0 ? (gdouble) *n_granted / n : 0;
}

/* Guards against a tenant that sends eight times its usual load and starves those of its rank. */
START_TEST (test_pressing_tenant_starves_nobody)
{
  const guint n_objects = _i == 0 ? 0 : 30;
  const load_t loads[] = { { "large", 120, 1, 1, n_objects }, { "a", 6, 1, 1, n_objects },
                           { "b", 6, 1, 1, n_objects },       { "c", 6, 1, 1, n_objects },
                           { "d", 2, 1, 1, n_objects },       { "e", 2, 1, 1, n_objects } };
  anvil_time_t since;
  guint n;
  guint all = 0;

  run_loads (loads, G_N_ELEMENTS (loads), 5 * ANVIL_SECOND);
  since = sim.now;
  run_loads (loads, G_N_ELEMENTS (loads), 20 * ANVIL_SECOND);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      gdouble share = served (&loads[i], since, &n);

      all += n;
      if (i > 0)
        ck_assert_msg (share >= 0.95, "%s: %.2f served", loads[i].name, share);
    }
  /* The slots aren't idle: 15 of them, 264 ms or more a run. */
  ck_assert_uint_ge (all, _i == 0 ? 18 * 45 : 18 * 30);
}
END_TEST

/* Guards against shares that follow the load instead of being equal. */
START_TEST (test_pressing_tenants_share_equally)
{
  const load_t loads[] = { { "a", 160, 1, 1, 0 }, { "b", 80, 1, 1, 0 }, { "c", 40, 1, 1, 0 } };
  anvil_time_t since;
  guint n[3];
  guint least = G_MAXUINT;
  guint most = 0;

  run_loads (loads, 3, 5 * ANVIL_SECOND);
  since = sim.now;
  run_loads (loads, 3, 20 * ANVIL_SECOND);
  for (guint i = 0; i < 3; i++)
    {
      served (&loads[i], since, &n[i]);
      least = MIN (least, n[i]);
      most = MAX (most, n[i]);
    }
  ck_assert_msg (least >= 0.85 * most, "%u %u %u", n[0], n[1], n[2]);
}
END_TEST

/* Guards against a tenant that is served less than a quarter as often as all. */
START_TEST (test_no_tenant_is_served_less_than_a_quarter_as_often)
{
  load_t loads[MAX_TENANTS];
  anvil_time_t since;
  gdouble sum = 0;
  gdouble least = 1;
  guint n;

  for (guint i = 0; i < MAX_TENANTS; i++)
    loads[i] = (load_t){ .name = (const char *[]){ "a", "b", "c", "d", "e", "f", "g", "h", "i", "j",
                                                   "k", "l" }[i],
                         .per_second = 2 + 2 * i,
                         .tenant_priority = 1,
                         .priority = 1,
                         .n_objects = 40 };
  run_loads (loads, MAX_TENANTS, 5 * ANVIL_SECOND);
  since = sim.now;
  run_loads (loads, MAX_TENANTS, 20 * ANVIL_SECOND);
  for (guint i = 0; i < MAX_TENANTS; i++)
    {
      gdouble share = served (&loads[i], since, &n);

      sum += share;
      least = MIN (least, share);
    }
  ck_assert_msg (least >= 0.25 * sum / MAX_TENANTS, "least %.2f, mean %.2f", least,
                 sum / MAX_TENANTS);
}
END_TEST

/* Guards against a tenant that is held back for long because its runs took long. */
START_TEST (test_long_runs_are_forgotten)
{
  const load_t loads[] = { { "a", 60, 1, 1, 0 }, { "b", 60, 1, 1, 0 } };
  const load_t uploads = { "a", 0, 1, 1, 0, ANVIL_ROUTE_UPLOAD };
  const anvil_time_t warm_run = sim.warm_run;
  const anvil_time_t cold_run = sim.cold_run;
  anvil_time_t since;
  guint n = 0;

  sim.target = 20 * ANVIL_SECOND;
  sim.timeout = 30 * ANVIL_SECOND;
  run_loads (loads, 2, 4 * ANVIL_SECOND);
  sim_run (&sim, 5 * ANVIL_SECOND);
  sim.warm_run = sim.cold_run = 8 * ANVIL_SECOND;
  for (guint i = 0; i < N_UPSTREAMS * SLOTS; i++)
    submit (&uploads);
  sim_run (&sim, 9 * ANVIL_SECOND);
  sim.warm_run = warm_run;
  sim.cold_run = cold_run;
  for (guint i = 0; i < 100; i++)
    submit (&loads[1]);
  since = sim.now;
  run_loads (loads, 2, 4 * ANVIL_SECOND);
  for (guint i = 0; i < sim.tasks->len; i++)
    n += sim_task (&sim, i)->granted_at >= since
         && anvil_str_equal (sim_task (&sim, i)->task.tenant, anvil_str ("a"));
  /* Of about 220 runs. */
  ck_assert_uint_ge (n, 60);
}
END_TEST

/* Guards against tasks that are refused for the queue of another tenant. */
START_TEST (test_queue_of_others_does_not_refuse)
{
  const load_t large = { "large", 0, 1, 1, 0 };
  const load_t small = { "small", 2, 1, 1, 0 };
  guint n;

  for (guint i = 0; i < 20; i++)
    {
      for (guint j = 0; j < 120; j++)
        submit (&large);
      submit (&small);
      run_loads (&small, 1, ANVIL_SECOND);
    }
  ck_assert_double_ge (served (&small, 0, &n), 0.999);
}
END_TEST

/* Guards against an order by the route's priority where the tenant's goes first. */
START_TEST (test_tenants_priority_goes_before_the_routes)
{
  const load_t loads[] = { { "urgent", 30, 0, 2, 0 }, { "other", 100, 1, 0, 0 } };
  anvil_time_t since;
  guint n;

  run_loads (loads, 2, 5 * ANVIL_SECOND);
  since = sim.now;
  run_loads (loads, 2, 10 * ANVIL_SECOND);
  ck_assert_double_ge (served (&loads[0], since, &n), 0.97);
  ck_assert_double_ge (served (&loads[1], since, &n), 0.1);
}
END_TEST

/* Guards against a free slot that is kept from a tenant because of its share. */
START_TEST (test_free_slots_are_used_beyond_a_share)
{
  const load_t loads[] = { { "large", 40, 1, 1, 0 }, { "a", 1, 1, 1, 0 } };
  guint n;

  run_loads (loads, 2, 10 * ANVIL_SECOND);
  ck_assert_double_ge (served (&loads[0], 0, &n), 0.999);
  ck_assert_double_ge (served (&loads[1], 0, &n), 0.999);
}
END_TEST

/* Guards against a full queue that refuses those who come last instead of the one who filled it. */
START_TEST (test_full_queue_refuses_the_tenant_with_most_tasks)
{
  const load_t large[] = { { "large", 0, 1, 1, 0 }, { "large", 0, 1, 3, 0 } };
  const load_t small = { "small", 0, 1, 1, 0 };
  guint n_small = 0;

  sim.target = 1000 * ANVIL_SECOND;
  sim.timeout = 2000 * ANVIL_SECOND;
  for (guint i = 0; i < 4200; i++)
    submit (&large[i % 2]);
  /* Those of its own that are least urgent go first. */
  for (guint i = 0; i < sim.tasks->len; i++)
    ck_assert (!sim_task (&sim, i)->refused || sim_task (&sim, i)->task.priority == 3);
  ck_assert_uint_gt (sim.n_refusals, 0);
  for (guint i = 0; i < 100; i++)
    submit (&small);
  for (guint i = 4200; i < sim.tasks->len; i++)
    n_small += !sim_task (&sim, i)->refused;
  ck_assert_uint_eq (n_small, 100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatch-fairness");
  TCase *tests = tcase_create ("dispatch-fairness");
  SRunner *runner;
  int n_failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, test_pressing_tenant_starves_nobody, 0, 2);
  tcase_add_test (tests, test_pressing_tenants_share_equally);
  tcase_add_test (tests, test_no_tenant_is_served_less_than_a_quarter_as_often);
  tcase_add_test (tests, test_long_runs_are_forgotten);
  tcase_add_test (tests, test_queue_of_others_does_not_refuse);
  tcase_add_test (tests, test_tenants_priority_goes_before_the_routes);
  tcase_add_test (tests, test_free_slots_are_used_beyond_a_share);
  tcase_add_test (tests, test_full_queue_refuses_the_tenant_with_most_tasks);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
