/* Pauses as upstreams ask for them in Retry-After. */

#include "anvil/announcement.h"

#include <check.h>
#include <stdlib.h>

START_TEST (test_numbers_of_seconds_are_pauses)
{
  static const struct
  {
    const char *text;
    anvil_time_t pause;
  } values[] = { { "3", 3 * ANVIL_SECOND },
                 { "0.25", 250 * ANVIL_MS },
                 { " 1.5 ", 1500 * ANVIL_MS },
                 { "0", 0 },
                 { "3600", ANVIL_MAX_PAUSE },
                 { "3601", ANVIL_MAX_PAUSE },
                 { "99999999999999999999", ANVIL_MAX_PAUSE } };

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      anvil_time_t pause = -1;

      ck_assert_msg (anvil_announcement_parse_pause (anvil_str (values[i].text), &pause), "\"%s\"",
                     values[i].text);
      ck_assert_int_eq (pause, values[i].pause);
    }
}
END_TEST

START_TEST (test_other_values_are_no_pauses)
{
  static const char *const values[] = {
    "", "-1", "+3", "1e9", "nan", "inf", "soon", "3 s", "3,5", "Wed, 21 Oct 2026 07:28:00 GMT"
  };

  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    {
      anvil_time_t pause;

      ck_assert_msg (!anvil_announcement_parse_pause (anvil_str (values[i]), &pause), "\"%s\"",
                     values[i]);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("announcement");
  TCase *tests = tcase_create ("announcement");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_numbers_of_seconds_are_pauses);
  tcase_add_test (tests, test_other_values_are_no_pauses);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
