/* The value of a table with the largest measure. */

#include <check.h>
#include <stdlib.h>

#include "anvil/largest.h"

static gint64
measure (gconstpointer value)
{
  return *(const gint64 *) value;
}

START_TEST (test_the_largest_is_found_in_sets_and_tables)
{
  const gint64 values[] = { 3, -1, 0, 7, 5 };
  GHashTable *set = g_hash_table_new (NULL, NULL);
  GHashTable *table = g_hash_table_new (NULL, NULL);

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      g_hash_table_add (set, (gpointer) &values[i]);
      g_hash_table_insert (table, GSIZE_TO_POINTER (i + 1), (gpointer) &values[i]);
    }
  ck_assert_ptr_eq (anvil_find_largest (set, measure), &values[3]);
  ck_assert_ptr_eq (anvil_find_largest (table, measure), &values[3]);
  g_hash_table_unref (set);
  g_hash_table_unref (table);
}
END_TEST

START_TEST (test_values_below_zero_are_left_out)
{
  const gint64 values[] = { -1, G_MININT64, 0 };
  GHashTable *set = g_hash_table_new (NULL, NULL);

  ck_assert_ptr_null (anvil_find_largest (set, measure));
  g_hash_table_add (set, (gpointer) &values[0]);
  g_hash_table_add (set, (gpointer) &values[1]);
  ck_assert_ptr_null (anvil_find_largest (set, measure));
  g_hash_table_add (set, (gpointer) &values[2]);
  ck_assert_ptr_eq (anvil_find_largest (set, measure), &values[2]);
  g_hash_table_unref (set);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("largest");
  TCase *tests = tcase_create ("largest");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_the_largest_is_found_in_sets_and_tables);
  tcase_add_test (tests, test_values_below_zero_are_left_out);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
