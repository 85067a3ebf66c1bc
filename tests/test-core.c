/* Strings, settings and metrics. */

#include <check.h>
#include <stdlib.h>

#include "anvil/metrics.h"
#include "anvil/settings.h"
#include "anvil/str.h"

START_TEST (test_str_compares_by_bytes_then_length)
{
  ck_assert_int_lt (anvil_str_compare (anvil_str ("ab"), anvil_str ("abc")), 0);
  ck_assert_int_gt (anvil_str_compare (anvil_str ("b"), anvil_str ("abc")), 0);
  ck_assert (anvil_str_equal (anvil_str (NULL), anvil_str ("")));
}
END_TEST

START_TEST (test_endpoint_parse)
{
  static const char *const invalid[] = {
    "",           ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "localhost:1", "127.0.0.1:-1",
    "1.2.3.4.5:6"
  };
  guint32 address;
  guint16 port;

  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    ck_assert_msg (!anvil_endpoint_parse (invalid[i], &address, &port), "accepted \"%s\"",
                   invalid[i]);
  ck_assert (anvil_endpoint_parse ("127.0.0.2:8080", &address, &port));
  ck_assert_uint_eq (address, 0x7f000002);
  ck_assert_uint_eq (port, 8080);
}
END_TEST

START_TEST (test_settings_prefer_option_to_environment_to_default)
{
  anvil_setting_t items[] = {
    { .name = "listen", .kind = ANVIL_SETTING_ENDPOINT, .help = "address", .required = TRUE },
    { .name = "queue-length",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "count",
      .default_value = "5",
      .minimum = 1,
      .maximum = 9 },
    { .name = "zone", .kind = ANVIL_SETTING_TEXT, .help = "zone", .default_value = "a" },
  };
  anvil_settings_t settings
      = { .program = "test", .items = items, .n_items = G_N_ELEMENTS (items) };
  const char *argv[] = { "test", "--listen", "127.0.0.1:1", "rest", NULL };

  g_setenv ("ANVIL_LISTEN", "127.0.0.1:2", TRUE);
  g_setenv ("ANVIL_QUEUE_LENGTH", "7", TRUE);
  ck_assert_int_eq (anvil_settings_load (&settings, 4, argv), ANVIL_SETTINGS_RUN);
  ck_assert_uint_eq (items[0].port, 1);
  ck_assert_int_eq (items[1].integer, 7);
  ck_assert_str_eq (items[2].text, "a");
  ck_assert_str_eq (settings.arguments[0], "rest");
  anvil_settings_clear (&settings);
}
END_TEST

START_TEST (test_settings_reject_invalid_values)
{
  static const char *const invalid[][2] = { { "--count", "x" },
                                            { "--count", "10" },
                                            { "--count", "" },
                                            { "--nothing", "1" },
                                            { "--endpoint", "1" } };

  g_unsetenv ("ANVIL_LISTEN");
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      anvil_setting_t items[] = {
        { .name = "count",
          .kind = ANVIL_SETTING_INTEGER,
          .help = "count",
          .default_value = "5",
          .minimum = 1,
          .maximum = 9 },
        { .name = "endpoint", .kind = ANVIL_SETTING_ENDPOINT, .help = "endpoint" },
      };
      anvil_settings_t settings
          = { .program = "test", .items = items, .n_items = G_N_ELEMENTS (items) };
      const char *argv[] = { "test", invalid[i][0], invalid[i][1], NULL };

      ck_assert_msg (anvil_settings_load (&settings, 3, argv) == ANVIL_SETTINGS_INVALID,
                     "accepted %s %s", invalid[i][0], invalid[i][1]);
      anvil_settings_clear (&settings);
    }
}
END_TEST

START_TEST (test_metrics_render_as_prometheus_text)
{
  anvil_metrics_t *metrics = anvil_metrics_new ();
  GString *out = g_string_new (NULL);

  anvil_metrics_add_counter (metrics, "anvil_requests_total", "service=\"b\"", 2);
  anvil_metrics_add_counter (metrics, "anvil_requests_total", "service=\"a\"", 1);
  anvil_metrics_add_counter (metrics, "anvil_requests_total", "service=\"a\"", 1);
  anvil_metrics_set_gauge (metrics, "anvil_ready", NULL, 1);
  anvil_metrics_observe_histogram (metrics, "anvil_seconds", NULL, 0.004);
  anvil_metrics_render (metrics, out);

  ck_assert_ptr_nonnull (g_strstr_len (out->str, -1, "# TYPE anvil_ready gauge\nanvil_ready 1\n"));
  ck_assert_ptr_nonnull (g_strstr_len (
      out->str, -1,
      "# TYPE anvil_requests_total counter\n"
      "anvil_requests_total{service=\"a\"} 2\nanvil_requests_total{service=\"b\"} 2\n"));
  ck_assert_ptr_nonnull (g_strstr_len (out->str, -1, "anvil_seconds_bucket{le=\"+Inf\"} 1\n"));
  ck_assert_double_eq (anvil_metrics_value (metrics, "anvil_requests_total", "service=\"a\""), 2);
  g_string_free (out, TRUE);
  anvil_metrics_drop (metrics);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core");
  TCase *tcase = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_str_compares_by_bytes_then_length);
  tcase_add_test (tcase, test_endpoint_parse);
  tcase_add_test (tcase, test_settings_prefer_option_to_environment_to_default);
  tcase_add_test (tcase, test_settings_reject_invalid_values);
  tcase_add_test (tcase, test_metrics_render_as_prometheus_text);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
