/* Tenants of a routing table: look-up by key and validation. */

#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "anvil/error.h"
#include "anvil/tenants.h"

#define N_MANY_TENANTS 3000

static anvil_tenant_t *
add_tenant (anvil_routes_t *routes, const char *name, const char *key)
{
  anvil_tenant_t *tenant = anvil_routes_add_tenant (routes);

  tenant->name = g_strdup (name);
  if (key != NULL)
    g_ptr_array_add (tenant->keys, g_strdup (key));
  return tenant;
}

static const char *
holder_of (const anvil_routes_t *routes, const char *key)
{
  const anvil_tenant_t *tenant = anvil_routes_lookup_tenant (routes, anvil_str (key));

  return tenant != NULL ? tenant->name : "none";
}

/* Guards against keys that are compared in part, or without case. */
START_TEST (test_only_whole_keys_select_a_tenant)
{
  anvil_routes_t *routes = anvil_routes_new (1);
  anvil_tenant_t *tenant = add_tenant (routes, "a", "gy35ieispuxsr7i427ey");

  g_ptr_array_add (tenant->keys, g_strdup ("a6u6sz9frge9itfrzm2d"));
  add_tenant (routes, "b", "gy35");
  add_tenant (routes, "without-keys", NULL);
  ck_assert (anvil_routes_finish (routes, NULL));
  ck_assert_str_eq (holder_of (routes, "gy35ieispuxsr7i427ey"), "a");
  ck_assert_str_eq (holder_of (routes, "a6u6sz9frge9itfrzm2d"), "a");
  ck_assert_str_eq (holder_of (routes, "gy35"), "b");
  ck_assert_str_eq (holder_of (routes, "gy35i"), "none");
  ck_assert_str_eq (holder_of (routes, "gy35ieispuxsr7i427e"), "none");
  ck_assert_str_eq (holder_of (routes, "gy35ieispuxsr7i427eyx"), "none");
  ck_assert_str_eq (holder_of (routes, "GY35IEISPUXSR7I427EY"), "none");
  ck_assert_str_eq (holder_of (routes, ""), "none");
  anvil_routes_drop (routes);
}
END_TEST

START_TEST (test_each_of_many_keys_is_found)
{
  anvil_routes_t *routes = anvil_routes_new (1);

  for (guint i = 0; i < N_MANY_TENANTS; i++)
    {
      char *name = g_strdup_printf ("tenant-%u", i);
      char *key = g_strdup_printf ("key-%u", i);

      add_tenant (routes, name, key);
      g_free (name);
      g_free (key);
    }
  ck_assert (anvil_routes_finish (routes, NULL));
  for (guint i = 0; i < N_MANY_TENANTS; i++)
    {
      char *name = g_strdup_printf ("tenant-%u", i);
      char *key = g_strdup_printf ("key-%u", i);
      char *unknown = g_strdup_printf ("Key-%u", i);

      ck_assert_str_eq (holder_of (routes, key), name);
      ck_assert_str_eq (holder_of (routes, unknown), "none");
      ck_assert_str_eq (anvil_routes_find_tenant (routes, anvil_str (name))->name, name);
      ck_assert_ptr_null (anvil_routes_find_tenant (routes, anvil_str (key)));
      g_free (name);
      g_free (key);
      g_free (unknown);
    }
  anvil_routes_drop (routes);
}
END_TEST

START_TEST (test_a_table_without_tenants_knows_no_key)
{
  anvil_routes_t *routes = anvil_routes_new (1);

  ck_assert (anvil_routes_finish (routes, NULL));
  ck_assert_uint_eq (anvil_routes_count_tenants (routes), 0);
  ck_assert_str_eq (holder_of (routes, "gy35ieispuxsr7i427ey"), "none");
  anvil_routes_drop (routes);
}
END_TEST

static void
assert_rejected (anvil_routes_t *routes, const char *reason)
{
  GError *error = NULL;

  ck_assert (!anvil_routes_finish (routes, &error));
  ck_assert_msg (strstr (error->message, reason) != NULL, "%s", error->message);
  ck_assert_msg (strstr (error->message, "secret") == NULL, "%s", error->message);
  g_error_free (error);
  anvil_routes_drop (routes);
}

/* Guards against one key of two tenants, and against error messages that contain it. */
START_TEST (test_invalid_tenants_are_rejected_without_naming_a_key)
{
  static const char *const bad_names[] = { "", " a", "a ", "a\tb", "a\nb", "a\x7f" };
  static const gdouble bad_rates[] = { -1, NAN, INFINITY, 1.1e9 };
  anvil_routes_t *routes = anvil_routes_new (1);

  add_tenant (routes, "a", "secret");
  add_tenant (routes, "b", "secret");
  assert_rejected (routes, "tenant \"b\": keys");
  routes = anvil_routes_new (1);
  g_ptr_array_add (add_tenant (routes, "a", "secret")->keys, g_strdup ("secret"));
  assert_rejected (routes, "tenant \"a\": keys");
  routes = anvil_routes_new (1);
  add_tenant (routes, "a", "");
  assert_rejected (routes, "tenant \"a\": keys");
  routes = anvil_routes_new (1);
  add_tenant (routes, "a", "secret");
  add_tenant (routes, "a", "secret 2");
  assert_rejected (routes, "tenant \"a\": name");
  for (gsize i = 0; i < G_N_ELEMENTS (bad_names); i++)
    {
      routes = anvil_routes_new (1);
      add_tenant (routes, bad_names[i], "secret");
      assert_rejected (routes, "name");
    }
  for (gsize i = 0; i < G_N_ELEMENTS (bad_rates); i++)
    {
      routes = anvil_routes_new (1);
      add_tenant (routes, "a", "secret")->rate = bad_rates[i];
      assert_rejected (routes, "tenant \"a\": rate");
      routes = anvil_routes_new (1);
      add_tenant (routes, "a", "secret")->burst = bad_rates[i];
      assert_rejected (routes, "tenant \"a\": burst");
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tenants");
  TCase *tests = tcase_create ("tenants");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_only_whole_keys_select_a_tenant);
  tcase_add_test (tests, test_each_of_many_keys_is_found);
  tcase_add_test (tests, test_a_table_without_tenants_knows_no_key);
  tcase_add_test (tests, test_invalid_tenants_are_rejected_without_naming_a_key);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
