/* The request limits that an entry remembers for a new holder. */

#include <check.h>
#include <stdlib.h>

#include "relay/request-limit-table.h"

static const anvil_request_limit_t none = { .state = ANVIL_REQUEST_LIMIT_NONE };
static const anvil_request_limit_t unknown = { .state = ANVIL_REQUEST_LIMIT_UNKNOWN };

static anvil_request_limit_table_t *table;

static void
set_up (void)
{
  table = anvil_request_limit_table_new ();
}

static void
tear_down (void)
{
  anvil_request_limit_table_drop (table);
}

static void
record (anvil_time_t now, const char *service, guint64 upstream, const anvil_request_limit_t *limit)
{
  anvil_request_limit_table_record (table, now, service, upstream, "u", limit);
}

static anvil_request_limit_t
named (gdouble per_second)
{
  return (anvil_request_limit_t){ .state = ANVIL_REQUEST_LIMIT_NAMED, .per_second = per_second };
}

START_TEST (test_the_last_limits_of_a_service_are_listed_with_their_age)
{
  const anvil_request_limit_t first = named (5);
  const anvil_request_limit_t second = named (7.5);
  GArray *limits;

  record (1 * ANVIL_SECOND, "photos", 1, &first);
  record (2 * ANVIL_SECOND, "photos", 1, &second);
  record (2 * ANVIL_SECOND, "booking", 2, &first);
  limits = anvil_request_limit_table_list (table, 5 * ANVIL_SECOND, "photos");
  ck_assert_uint_eq (limits->len, 1);
  ck_assert_uint_eq (g_array_index (limits, anvil_named_limit_t, 0).upstream, 1);
  ck_assert_double_eq (g_array_index (limits, anvil_named_limit_t, 0).per_second, 7.5);
  ck_assert_int_eq (g_array_index (limits, anvil_named_limit_t, 0).age, 3 * ANVIL_SECOND);
  g_array_unref (limits);
}
END_TEST

START_TEST (test_a_limit_ends_with_a_response_that_names_none_or_with_its_upstream)
{
  const anvil_request_limit_t limit = named (5);
  GArray *limits;

  record (ANVIL_SECOND, "photos", 1, &limit);
  record (ANVIL_SECOND, "photos", 2, &limit);
  record (ANVIL_SECOND, "photos", 1, &unknown);
  ck_assert_uint_eq (anvil_request_limit_table_count (table), 2);
  record (ANVIL_SECOND, "photos", 1, &none);
  ck_assert_uint_eq (anvil_request_limit_table_count (table), 1);
  limits = anvil_request_limit_table_list (table, ANVIL_SECOND, "photos");
  ck_assert_uint_eq (limits->len, 1);
  g_array_unref (limits);
  anvil_request_limit_table_remove (table, 2);
  anvil_request_limit_table_remove (table, 2);
  ck_assert_uint_eq (anvil_request_limit_table_count (table), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("request-limit-table");
  TCase *tests = tcase_create ("request-limit-table");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_the_last_limits_of_a_service_are_listed_with_their_age);
  tcase_add_test (tests, test_a_limit_ends_with_a_response_that_names_none_or_with_its_upstream);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
