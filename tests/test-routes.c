/* Routing table: matching of requests, validation, and traffic split. */

#include <check.h>
#include <stdlib.h>

#include "anvil/error.h"
#include "anvil/routes.h"
#include "relay/route-split.h"

static void
add_service (anvil_routes_t *routes, const char *name)
{
  anvil_routes_add_service (routes)->name = g_strdup (name);
}

static anvil_route_t *
add_route (anvil_routes_t *routes, const char *name, const char *host, const char *prefix)
{
  anvil_route_t *route = anvil_routes_add (routes);

  route->name = g_strdup (name);
  route->host = g_strdup (host);
  route->prefix = g_strdup (prefix);
  route->max_attempts = 2;
  route->services[0] = (anvil_weighted_service_t){ .service = g_strdup ("photos"), .weight = 1 };
  route->n_services = 1;
  return route;
}

static anvil_routes_t *
new_table (void)
{
  anvil_routes_t *routes = anvil_routes_new (7);

  add_service (routes, "photos");
  add_service (routes, "booking");
  return routes;
}

static const char *
match (const anvil_routes_t *routes, const char *host, const char *path)
{
  const anvil_route_t *route = anvil_routes_match (routes, anvil_str (host), anvil_str (path));

  return route != NULL ? route->name : "none";
}

START_TEST (test_longest_prefix_of_the_host_is_chosen)
{
  anvil_routes_t *routes = new_table ();

  add_route (routes, "short", "a.example", "/x/");
  add_route (routes, "long", "a.example", "/x/y/");
  add_route (routes, "other", "b.example", "/");
  ck_assert (anvil_routes_finish (routes, NULL));
  ck_assert_str_eq (match (routes, "a.example", "/x/1"), "short");
  ck_assert_str_eq (match (routes, "a.example", "/x/y/1"), "long");
  ck_assert_str_eq (match (routes, "A.Example:8080", "/x/y/1"), "long");
  ck_assert_str_eq (match (routes, "a.example", "/x"), "none");
  ck_assert_str_eq (match (routes, "a.example", "/z/"), "none");
  ck_assert_str_eq (match (routes, "b.example", "/anything"), "other");
  ck_assert_str_eq (match (routes, "", "/x/1"), "none");
  anvil_routes_drop (routes);
}
END_TEST

static void
assert_rejected (anvil_routes_t *routes, const char *reason)
{
  GError *error = NULL;

  ck_assert (!anvil_routes_finish (routes, &error));
  ck_assert_msg (strstr (error->message, reason) != NULL, "%s", error->message);
  g_error_free (error);
  anvil_routes_drop (routes);
}

START_TEST (test_invalid_tables_are_rejected_with_field_and_reason)
{
  anvil_routes_t *routes = new_table ();

  add_route (routes, "r", "a.example", "x/");
  assert_rejected (routes, "route \"r\": prefix");
  routes = new_table ();
  add_route (routes, "r", "a.example", "/x");
  assert_rejected (routes, "route \"r\": prefix");
  routes = new_table ();
  add_route (routes, "r", "", "/x/");
  assert_rejected (routes, "route \"r\": host");
  routes = new_table ();
  add_route (routes, "r", "a.example", "/x/")->max_attempts = 0;
  assert_rejected (routes, "attempt");
  routes = new_table ();
  add_route (routes, "r", "a.example", "/x/")->services[0].weight = 0;
  assert_rejected (routes, "weights");
  routes = new_table ();
  g_free (add_route (routes, "r", "a.example", "/x/")->services[0].service);
  anvil_routes_add (routes);
  ((anvil_route_t *) anvil_routes_at (routes, 0))->services[0].service = g_strdup ("nowhere");
  assert_rejected (routes, "service \"nowhere\"");
}
END_TEST

START_TEST (test_split_keeps_every_share_exact)
{
  anvil_route_split_t *split = anvil_route_split_new ();
  anvil_route_t route = { .name = "r",
                          .services = { { .weight = 70 }, { .weight = 0 }, { .weight = 30 } },
                          .n_services = 3 };
  guint counts[3] = { 0 };

  for (guint i = 1; i <= 1000; i++)
    {
      counts[anvil_route_split_next (split, &route)]++;
      ck_assert_double_le (ABS (counts[0] - 0.7 * i), 2);
    }
  ck_assert_uint_eq (counts[1], 0);
  ck_assert_double_le (ABS (counts[2] - 300.0), 2);
  anvil_route_split_drop (split);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("routes");
  TCase *tests = tcase_create ("routes");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_longest_prefix_of_the_host_is_chosen);
  tcase_add_test (tests, test_invalid_tables_are_rejected_with_field_and_reason);
  tcase_add_test (tests, test_split_keeps_every_share_exact);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
