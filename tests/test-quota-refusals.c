/* Metrics of requests refused by quota: bounded in number, whatever tenants there are. */

#include <check.h>
#include <stdlib.h>

#include "relay/quota-refusals.h"

#define N_TENANTS 5000

static void
refuse (anvil_quota_refusals_t *refusals, guint tenant, guint n)
{
  char *name = g_strdup_printf ("t%u", tenant);

  for (guint i = 0; i < n; i++)
    anvil_quota_refusals_add (refusals, name);
  g_free (name);
}

static guint
count_lines (const anvil_metrics_t *metrics)
{
  GString *text = g_string_new (NULL);
  guint n = 0;

  anvil_metrics_render (metrics, text);
  for (const char *p = strstr (text->str, "total{"); p != NULL; p = strstr (p + 1, "total{"))
    n++;
  g_string_free (text, TRUE);
  return n;
}

/* Guards against a metric for each tenant that was ever refused. */
START_TEST (test_only_tenants_with_most_refusals_have_a_metric)
{
  anvil_quota_refusals_t *refusals = anvil_quota_refusals_new ();
  anvil_metrics_t *metrics = anvil_metrics_new ();
  const char *name = "anvil_quota_refusals_total";

  for (guint i = 0; i < N_TENANTS; i++)
    refuse (refusals, i, i < 20 ? 2 : 1);
  anvil_quota_refusals_publish (refusals, metrics);
  ck_assert_uint_eq (count_lines (metrics), ANVIL_QUOTA_REFUSALS_NAMED + 1);
  ck_assert_double_eq (anvil_metrics_value (metrics, name, "tenant=\"t3\""), 2);
  ck_assert_double_eq (anvil_metrics_value (metrics, name, "tenant=\"\""), N_TENANTS - 20);
  /* Another one takes the place of one with fewer. */
  refuse (refusals, 3000, 9);
  anvil_quota_refusals_publish (refusals, metrics);
  ck_assert_uint_eq (count_lines (metrics), ANVIL_QUOTA_REFUSALS_NAMED + 1);
  ck_assert_double_eq (anvil_metrics_value (metrics, name, "tenant=\"t3000\""), 10);
  ck_assert_double_eq (anvil_metrics_value (metrics, name, "tenant=\"\""), N_TENANTS - 21 + 2);
  anvil_quota_refusals_drop (refusals);
  anvil_metrics_drop (metrics);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota-refusals");
  TCase *tests = tcase_create ("quota-refusals");
  SRunner *runner;
  int n_failed;

  tcase_add_test (tests, test_only_tenants_with_most_refusals_have_a_metric);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
