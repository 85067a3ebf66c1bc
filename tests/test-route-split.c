/* Requests are spread by weight however few of them one entry gets between two changes. */

#include <check.h>
#include <stdlib.h>

#include "relay/route-split.h"

#define N_ENTRIES 2000
#define N_REQUESTS 4000
#define MAX_REQUESTS_EACH 6
/* The least tolerance of a deployment, as a share of the requests. */
#define TOLERANCE 0.1

static const anvil_route_t routes[] = {
  { .name = "a", .services = { { .weight = 90 }, { .weight = 10 } }, .n_services = 2 },
  { .name = "b", .services = { { .weight = 30 }, { .weight = 70 } }, .n_services = 2 },
  { .name = "c",
    .services = { { .weight = 5 }, { .weight = 0 }, { .weight = 3 }, { .weight = 2 } },
    .n_services = 4 },
};

static void
check_shares (const anvil_route_t *route, const guint *counts, guint n_requests)
{
  gdouble total = 0;

  for (guint i = 0; i < route->n_services; i++)
    total += route->services[i].weight;
  for (guint i = 0; i < route->n_services; i++)
    ck_assert_double_eq_tol ((gdouble) counts[i] / n_requests, route->services[i].weight / total,
                             TOLERANCE);
}

START_TEST (test_entries_with_a_few_requests_each_keep_the_weights_together)
{
  const anvil_route_t *route = &routes[_i / MAX_REQUESTS_EACH];
  const guint n_each = (guint) _i % MAX_REQUESTS_EACH + 1;
  guint counts[ANVIL_MAX_ROUTE_SERVICES] = { 0 };

  for (guint entry = 0; entry < N_ENTRIES; entry++)
    {
      anvil_route_split_t *split = anvil_route_split_new ();

      for (guint i = 0; i < n_each; i++)
        counts[anvil_route_split_next (split, route)]++;
      anvil_route_split_drop (split);
    }
  check_shares (route, counts, N_ENTRIES * n_each);
}
END_TEST

START_TEST (test_frequent_changes_of_the_configuration_keep_the_weights)
{
  const anvil_route_t *route = &routes[_i];
  anvil_route_split_t *split = anvil_route_split_new ();
  guint counts[ANVIL_MAX_ROUTE_SERVICES] = { 0 };

  for (guint i = 0; i < N_REQUESTS; i++)
    {
      counts[anvil_route_split_next (split, route)]++;
      anvil_route_split_limit (split, G_N_ELEMENTS (routes));
    }
  check_shares (route, counts, N_REQUESTS);
  anvil_route_split_drop (split);
}
END_TEST

START_TEST (test_a_change_of_the_weights_holds_at_once)
{
  anvil_route_split_t *split = anvil_route_split_new ();
  anvil_route_t route = routes[0];

  for (guint i = 0; i < N_REQUESTS; i++)
    {
      route.services[0].weight = i % 2;
      route.services[1].weight = 1 - i % 2;
      ck_assert_uint_eq (anvil_route_split_next (split, &route), 1 - i % 2);
    }
  anvil_route_split_drop (split);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("route-split");
  TCase *tests = tcase_create ("route-split");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tests, test_entries_with_a_few_requests_each_keep_the_weights_together, 0,
                       MAX_REQUESTS_EACH * (int) G_N_ELEMENTS (routes));
  tcase_add_loop_test (tests, test_frequent_changes_of_the_configuration_keep_the_weights, 0,
                       (int) G_N_ELEMENTS (routes));
  tcase_add_test (tests, test_a_change_of_the_weights_holds_at_once);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
