/* Request limits as upstreams name them in header fields. */

#include "anvil/request-limit.h"

#include <check.h>
#include <stdlib.h>

static anvil_request_limit_t
parse (const char *value)
{
  anvil_request_limit_t limit = { .state = ANVIL_REQUEST_LIMIT_NONE };

  anvil_request_limit_add_field (&limit, anvil_str (value));
  return limit;
}

START_TEST (test_decimal_numbers_are_limits)
{
  static const struct
  {
    const char *text;
    gdouble per_second;
  } values[]
      = { { "7.5", 7.5 },   { "0", 0 },  { "12", 12 },      { " 3 ", 3 },
          { "0.25", 0.25 }, { "5.", 5 }, { "007.50", 7.5 }, { "99999999999999999999", 1e20 } };

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      anvil_request_limit_t limit = parse (values[i].text);

      ck_assert_msg (limit.state == ANVIL_REQUEST_LIMIT_NAMED, "\"%s\"", values[i].text);
      ck_assert_double_eq (limit.per_second, values[i].per_second);
    }
}
END_TEST

START_TEST (test_other_values_say_nothing)
{
  static const char *const values[] = { "",
                                        " ",
                                        "-1",
                                        "+1",
                                        "x",
                                        "7x",
                                        "1e3",
                                        "0x10",
                                        "nan",
                                        "inf",
                                        "1,5",
                                        "1.2.3",
                                        ".",
                                        ".5",
                                        "7 5",
                                        "infinity",
                                        "1111111111111111111111111111111111111111111" };

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    ck_assert_msg (parse (values[i]).state == ANVIL_REQUEST_LIMIT_UNKNOWN, "\"%s\"", values[i]);
}
END_TEST

START_TEST (test_the_lowest_of_several_limits_applies)
{
  anvil_request_limit_t limit = parse ("9");

  anvil_request_limit_add_field (&limit, anvil_str ("4"));
  anvil_request_limit_add_field (&limit, anvil_str ("6"));
  anvil_request_limit_add_field (&limit, anvil_str ("none"));
  ck_assert_int_eq (limit.state, ANVIL_REQUEST_LIMIT_NAMED);
  ck_assert_double_eq (limit.per_second, 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("request-limit");
  TCase *tests = tcase_create ("request-limit");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_decimal_numbers_are_limits);
  tcase_add_test (tests, test_other_values_say_nothing);
  tcase_add_test (tests, test_the_lowest_of_several_limits_applies);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
