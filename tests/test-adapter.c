/* Adapter to the users' platform: parsing of the configuration, of upstreams' rows and of settings.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "anvil/tenants.h"
#include "platform/adapter.h"

#define SPEC                                                                                       \
  "\"host\":\"a.example\",\"prefix\":\"/x/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,"              \
  "\"targetLatencyMs\":600.5,\"priority\":2,\"maxAttempts\":2,\"sticky\":true,"                    \
  "\"allowedRegions\":[\"west\"]"
#define SERVICE                                                                                    \
  "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"s\"},\"spec\":{\"healthPath\":\"/h\","  \
  "\"maxConnections\":330,\"coldStartS\":3.0,\"coldPerS\":2.5}}"
#define ROUTE(spec)                                                                                \
  "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"r\"},\"spec\":{" spec "}}"
#define DOCUMENT(items) "{\"version\":7,\"resources\":[" items "]}"

static void
assert_rejected (const char *text, const char *reason)
{
  GError *error = NULL;

  ck_assert_ptr_null (anvil_adapter_parse_routes (anvil_str (text), &error));
  ck_assert_msg (strstr (error->message, reason) != NULL, "\"%s\" isn't in \"%s\"", reason,
                 error->message);
  g_error_free (error);
}

static void
assert_hidden (const char *text, const char *secret)
{
  GError *error = NULL;

  ck_assert_ptr_null (anvil_adapter_parse_routes (anvil_str (text), &error));
  ck_assert_msg (strstr (error->message, secret) == NULL, "%s", error->message);
  g_error_free (error);
}

START_TEST (test_configuration_is_parsed)
{
  anvil_routes_t *routes = anvil_adapter_parse_routes (
      anvil_str (DOCUMENT (ROUTE (
          SPEC ",\"service\":\"s\"") "," SERVICE
                                     ",{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{"
                                     "\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
                                     "\"headerTimeoutMs\":3000,"
                                     "\"idleTimeoutMs\":15000}},{\"resourceKind\":\"novel\","
                                     "\"spec\":{}}")),
      NULL);
  const anvil_route_t *route;

  ck_assert_ptr_nonnull (routes);
  ck_assert_int_eq (anvil_routes_version (routes), 7);
  route = anvil_routes_at (routes, 0);
  ck_assert_int_eq (route->kind, ANVIL_ROUTE_UNSAFE);
  ck_assert_int_eq (route->timeout, 1500 * ANVIL_MS);
  ck_assert_int_eq (route->target_latency, 600500);
  ck_assert_uint_eq (route->max_attempts, 2);
  ck_assert (route->sticky);
  ck_assert_str_eq (route->regions[0], "west");
  ck_assert_uint_eq (anvil_routes_service_at (routes, 0)->max_connections, 330);
  ck_assert_int_eq (anvil_routes_service_at (routes, 0)->cold_time, 3 * ANVIL_SECOND);
  ck_assert_uint_eq (anvil_routes_limits (routes)->max_body_bytes, 200);
  anvil_routes_drop (routes);
}
END_TEST

START_TEST (test_traffic_split_is_parsed)
{
  anvil_routes_t *routes = anvil_adapter_parse_routes (
      anvil_str (DOCUMENT (ROUTE (SPEC ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":90},"
                                       "{\"service\":\"s\",\"weight\":10}]") "," SERVICE)),
      NULL);

  ck_assert_ptr_nonnull (routes);
  ck_assert_uint_eq (anvil_routes_at (routes, 0)->n_services, 2);
  ck_assert_uint_eq (anvil_routes_at (routes, 0)->services[1].weight, 10);
  anvil_routes_drop (routes);
}
END_TEST

START_TEST (test_a_share_of_second_runs_is_parsed)
{
  anvil_routes_t *routes = anvil_adapter_parse_routes (
      anvil_str (DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"repeatShare\":0") "," ROUTE (
          SPEC ",\"service\":\"s\",\"prefix\":\"/y/\"") "," SERVICE)),
      NULL);

  ck_assert_ptr_nonnull (routes);
  ck_assert (anvil_routes_at (routes, 0)->has_repeat_share);
  ck_assert_double_eq (anvil_routes_at (routes, 0)->repeat_share, 0);
  ck_assert (!anvil_routes_at (routes, 1)->has_repeat_share);
  anvil_routes_drop (routes);
}
END_TEST

START_TEST (test_bad_configurations_are_rejected_with_field_and_reason)
{
  assert_rejected ("{", "configuration");
  assert_rejected ("[]", "not a JSON object");
  assert_rejected ("{\"resources\":[]}", "version");
  assert_rejected ("{\"version\":\"7\",\"resources\":[]}", "version");
  assert_rejected ("{\"version\":7}", "resources");
  assert_rejected (DOCUMENT ("5"), "resourceKind");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"service\":\"t\"") "," SERVICE), "service \"t\"");
  assert_rejected (DOCUMENT (ROUTE ("\"host\":5") "," SERVICE), "r: host");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"maxAttempts\":0") "," SERVICE),
                   "r: maxAttempts");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"kind\":\"odd\"") "," SERVICE),
                   "r: kind");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"timeoutMs\":-1") "," SERVICE),
                   "r: timeoutMs");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"repeatShare\":0.6") "," SERVICE),
                   "r: repeatShare");
  assert_rejected (DOCUMENT (ROUTE (SPEC ",\"trafficSplit\":[{\"service\":\"s\"}]") "," SERVICE),
                   "weight");
}
END_TEST

static gboolean
parse_upstream_with_id (const char *id,
                        const char *text,
                        anvil_upstream_report_t *report,
                        gpointer *storage)
{
  GError *error = NULL;
  gboolean valid
      = anvil_adapter_parse_upstream (anvil_str (id), anvil_str (text), report, storage, &error);

  ck_assert (valid == (error == NULL));
  g_clear_error (&error);
  return valid;
}

static gboolean
parse_upstream (const char *text, anvil_upstream_report_t *report, gpointer *storage)
{
  return parse_upstream_with_id ("i-1", text, report, storage);
}

#define TENANT(name, spec)                                                                         \
  "{\"resourceKind\":\"tenants\",\"metadata\":{" name "},\"spec\":{" spec "}}"
#define TENANT_A(spec) TENANT ("\"name\":\"a\"", "\"apiKeys\":[\"secret\"]," spec)

START_TEST (test_tenants_are_parsed)
{
  anvil_routes_t *routes = anvil_adapter_parse_routes (
      anvil_str (
          DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"public\":true") "," SERVICE "," TENANT_A (
              "\"priority\":1,\"ratePerS\":92.5,\"burst\":924,\"allowedRegions\":"
              "[\"west\",\"east\"]") "," TENANT ("\"name\":\"b\"", "\"apiKeys\":[\"k1\",\"k2\"]"))),
      NULL);
  const anvil_tenant_t *tenant;

  ck_assert_ptr_nonnull (routes);
  ck_assert (anvil_routes_at (routes, 0)->is_public);
  tenant = anvil_routes_lookup_tenant (routes, anvil_str ("secret"));
  ck_assert_str_eq (tenant->name, "a");
  ck_assert (tenant->has_priority && tenant->priority == 1);
  ck_assert_double_eq (tenant->rate, 92.5);
  ck_assert_double_eq (tenant->burst, 924);
  ck_assert_uint_eq (tenant->n_regions, 2);
  ck_assert_str_eq (tenant->regions[1], "east");
  tenant = anvil_routes_lookup_tenant (routes, anvil_str ("k2"));
  ck_assert_str_eq (tenant->name, "b");
  ck_assert (!tenant->has_priority && tenant->n_regions == 0);
  ck_assert_double_eq (tenant->rate, 0);
  anvil_routes_drop (routes);
}
END_TEST

/* Guards against a version that is accepted in part, and against logs that contain a key. */
START_TEST (test_bad_tenants_are_rejected_with_field_and_name_but_no_key)
{
  static const struct
  {
    const char *text;
    const char *reason;
  } cases[] = {
    { DOCUMENT (TENANT ("", "\"apiKeys\":[\"secret\"]")), "tenants: name" },
    { DOCUMENT (TENANT ("\"name\":5", "\"apiKeys\":[\"secret\"]")), "tenants: name" },
    { DOCUMENT (TENANT ("\"name\":\"a\"", "\"priority\":1")), "a: apiKeys" },
    { DOCUMENT (TENANT ("\"name\":\"a\"", "\"apiKeys\":\"secret\"")), "a: apiKeys" },
    { DOCUMENT (TENANT ("\"name\":\"a\"", "\"apiKeys\":[\"secret\",5]")), "a: apiKeys" },
    { DOCUMENT (TENANT ("\"name\":\"a\"", "\"apiKeys\":[\"secret\",\"\"]")), "a: apiKeys" },
    { DOCUMENT (TENANT ("\"name\":\"a\\r\\nb\"", "\"apiKeys\":[\"secret\"]")), "name" },
    { DOCUMENT (TENANT_A ("\"priority\":-1")), "a: priority" },
    { DOCUMENT (TENANT_A ("\"priority\":1.5")), "a: priority" },
    { DOCUMENT (TENANT_A ("\"priority\":\"1\"")), "a: priority" },
    { DOCUMENT (TENANT_A ("\"ratePerS\":-0.1")), "a: ratePerS" },
    { DOCUMENT (TENANT_A ("\"ratePerS\":1.1e9")), "a: ratePerS" },
    { DOCUMENT (TENANT_A ("\"ratePerS\":true")), "a: ratePerS" },
    { DOCUMENT (TENANT_A ("\"ratePerS\":1e999")), "not a JSON object" },
    { DOCUMENT (TENANT_A ("\"burst\":2000000000")), "a: burst" },
    { DOCUMENT (TENANT_A ("\"allowedRegions\":\"west\"")), "a: allowedRegions" },
    { DOCUMENT (TENANT_A ("\"allowedRegions\":[5]")), "a: allowedRegions" },
    { DOCUMENT (TENANT_A ("\"burst\":1") "," TENANT_A ("\"burst\":1")), "tenant \"a\": name" },
    { DOCUMENT (TENANT_A ("\"burst\":1") "," TENANT ("\"name\":\"b\"", "\"apiKeys\":[\"secret\"]")),
      "tenant \"b\": keys" },
    { DOCUMENT (ROUTE (SPEC ",\"service\":\"s\",\"public\":\"yes\"")), "r: public" },
    { DOCUMENT ("{\"resourceKind\":\"tenants\",\"spec\":{\"apiKeys\":[\"x\" \"secret\"]}}"),
      "line 1" },
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      assert_rejected (cases[i].text, cases[i].reason);
      assert_hidden (cases[i].text, "secret");
    }
}
END_TEST

START_TEST (test_upstream_is_parsed)
{
  anvil_upstream_report_t report;
  gpointer storage;

  ck_assert (parse_upstream (
      "{\"address\":\"10.1.0.9:8080\",\"born\":1733300000123,\"info\":{\"service\":\"photos\","
      "\"version\":\"v1\",\"zone\":\"west-a\",\"slots\":3},\"status\":{\"state\":\"draining\","
      "\"sequence\":4,\"coldRemainingMs\":1500}}",
      &report, &storage));
  ck_assert (anvil_str_equal (report.id, anvil_str ("i-1")));
  ck_assert (anvil_str_equal (report.service, anvil_str ("photos")));
  ck_assert (anvil_str_equal (report.zone, anvil_str ("west-a")));
  ck_assert_uint_eq (report.address, 0x0a010009);
  ck_assert_uint_eq (report.port, 8080);
  ck_assert (report.draining);
  ck_assert_int_eq (report.cold_remaining, 1500 * ANVIL_MS);
  ck_assert_int_eq (report.started_at, G_GINT64_CONSTANT (1733300000123));
  ck_assert_uint_eq (report.sequence, 4);
  g_free (storage);
}
END_TEST

/* Guards against upstreams that are lost because of a field that few situations need. */
START_TEST (test_an_upstream_without_a_usable_sequence_is_accepted)
{
  static const char *const fields[] = { "", "\"sequence\":null,", "\"sequence\":\"4\",",
                                        "\"sequence\":-4,", "\"sequence\":4.5," };

  for (gsize i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      anvil_upstream_report_t report;
      gpointer storage;
      char *text = g_strdup_printf (
          "{\"address\":\"10.1.0.9:8080\",\"info\":{\"service\":\"photos\",\"zone\":\"west-a\","
          "\"slots\":3},\"status\":{%s\"state\":\"ready\"}}",
          fields[i]);

      ck_assert_msg (parse_upstream (text, &report, &storage), "%s", fields[i]);
      ck_assert_uint_eq (report.sequence, 0);
      g_free (storage);
      g_free (text);
    }
}
END_TEST

START_TEST (test_invalid_upstream_rows_are_rejected)
{
  static const char *const rows[] = {
    "",
    "\xff\xfe",
    "[]",
    "{}",
    "{\"address\":\"10.1.0.9\",\"info\":{\"service\":\"p\",\"zone\":\"z\",\"slots\":3},\"status\":{"
    "\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"zone\":\"z\",\"slots\":3},\"status\":{\"state\":"
    "\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\",\"slots\":0},"
    "\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\",\"slots\":2.5},"
    "\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\",\"slots\":3},"
    "\"status\":{\"state\":\"up\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\",\"slots\":3},"
    "\"status\":{\"state\":\"ready\",\"coldRemainingMs\":\"1\"}}",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      anvil_upstream_report_t report;
      gpointer storage;

      ck_assert_msg (!parse_upstream (rows[i], &report, &storage), "row %zu", i);
      ck_assert_ptr_null (storage);
    }
}
END_TEST

#define UPSTREAM(address, service, zone)                                                           \
  "{\"address\":\"" address "\",\"info\":{\"service\":\"" service "\",\"zone\":\"" zone            \
  "\",\"slots\":3},\"status\":{\"state\":\"ready\"}}"

/* Guards against an id that ends the header that it is sent in. */
START_TEST (test_upstream_ids_are_printable)
{
  static const char *const ids[] = {
    "", " i-1", "i 1", "i-1\r\nHost: other", "i-1\n", "i\t1", "i-\x7f", "i-\xc3\xa9",
  };
  anvil_upstream_report_t report;
  gpointer storage;

  for (gsize i = 0; i < G_N_ELEMENTS (ids); i++)
    ck_assert_msg (
        !parse_upstream_with_id (ids[i], UPSTREAM ("10.1.0.9:1", "p", "z"), &report, &storage),
        "id %zu", i);
  ck_assert (
      parse_upstream_with_id ("i-7f_3:A.~", UPSTREAM ("10.1.0.9:1", "p", "z"), &report, &storage));
  g_free (storage);
}
END_TEST

/* Guards against upstreams that can't be reached, or that fill memory and logs. */
START_TEST (test_upstreams_with_odd_addresses_and_names_are_rejected)
{
  static const char *const addresses[]
      = { "10.1.0.9:0",  "10.1.0.9:65536", "10.1.0.9:-1",  "10.1.0.9:99999999999999999999",
          "10.1.0.9:1x", "10.1.0.256:1",   "10.1.0.9:0x1", "[::1]:1" };
  char *long_name = g_strnfill (256, 'x');
  char *rows[] = { g_strdup_printf (UPSTREAM ("10.1.0.9:1", "%s", "z"), long_name),
                   g_strdup_printf (UPSTREAM ("10.1.0.9:1", "p", "%s"), long_name) };
  anvil_upstream_report_t report;
  gpointer storage;

  for (gsize i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      char *row = g_strdup_printf (UPSTREAM ("%s", "p", "z"), addresses[i]);

      ck_assert_msg (!parse_upstream (row, &report, &storage), "%s", row);
      g_free (row);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      ck_assert (!parse_upstream (rows[i], &report, &storage));
      g_free (rows[i]);
    }
  long_name[255] = '\0';
  rows[0] = g_strdup_printf (UPSTREAM ("10.1.0.9:65535", "%s", "z"), long_name);
  ck_assert (parse_upstream (rows[0], &report, &storage));
  g_free (storage);
  g_free (rows[0]);
  g_free (long_name);
}
END_TEST

/* Guards against numbers and nesting that end the parser. */
START_TEST (test_upstreams_with_odd_values_are_rejected)
{
  char *open = g_strnfill (100000, '[');
  char *nested = g_strdup_printf ("{\"info\":%s", open);
  static const char *const rows[] = {
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\","
    "\"slots\":99999999999999999999},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\","
    "\"slots\":9223372036854775807},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"born\":1e999,\"info\":{\"service\":\"p\",\"zone\":\"z\","
    "\"slots\":3},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"born\":-1,\"info\":{\"service\":\"p\",\"zone\":\"z\","
    "\"slots\":3},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\\u0000q\",\"zone\":\"z\","
    "\"slots\":3},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"\\ud800\",\"zone\":\"z\","
    "\"slots\":3},\"status\":{\"state\":\"ready\"}}",
    "{\"address\":\"10.1.0.9:1\",\"info\":{\"service\":\"p\",\"zone\":\"z\","
    "\"slots\":3},\"status\":{\"state\":\"ready\",\"coldRemainingMs\":1e300}}",
  };
  anvil_upstream_report_t report;
  gpointer storage;

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (!parse_upstream (rows[i], &report, &storage), "row %zu", i);
  ck_assert (!parse_upstream (nested, &report, &storage));
  ck_assert (!parse_upstream (open, &report, &storage));
  g_free (nested);
  g_free (open);
}
END_TEST

#define SETTINGS(bounds, store)                                                                    \
  "{\"nodeName\":\"e1\",\"zone\":\"west-a\",\"zones\":{\"west-a\":\"west\"},\"novel\":1,"          \
  "\"listen\":{\"front\":\"10.0.0.1:1\",\"ready\":\"10.0.0.1:2\",\"directory\":\"10.0.0.1:3\","    \
  "\"control\":\"10.0.0.1:4\"},\"internalPorts\":[7540,7555],\"seeds\":[\"10.0.0.2:4\"],"          \
  "\"limits\":{\"memoryMb\":260,\"maxFds\":4100},\"platform\":{\"address\":" store "},"            \
  "\"bounds\":{" bounds "}}"
#define BOUNDS                                                                                     \
  "\"graceS\":6,\"ttl_max_s\":5,\"retryBudgetRatio\":0.2,\"retryBudgetExtra\":56,"                 \
  "\"budgetWindowS\":10,\"coldLoadFactor\":1.5,\"coldSlack\":5,\"maxShift\":0.15,"                 \
  "\"stableWindowMs\":3000"

static gboolean
load_settings (const char *text, anvil_relay_settings_t *settings, GError **error)
{
  char *path;
  int fd = g_file_open_tmp ("anvil-settings-XXXXXX", &path, NULL);
  gboolean valid;

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  valid = anvil_adapter_load_settings (path, settings, error);
  g_unlink (path);
  g_free (path);
  return valid;
}

START_TEST (test_settings_are_parsed)
{
  anvil_relay_settings_t settings;

  ck_assert (load_settings (SETTINGS (BOUNDS, "\"10.200.1.7:8541\""), &settings, NULL));
  ck_assert_str_eq (settings.vm, "e1");
  ck_assert_str_eq (anvil_relay_settings_region (&settings, "west-a"), "west");
  ck_assert_uint_eq (settings.peer_endpoint.port, 4);
  ck_assert_uint_eq (settings.store_endpoint.port, 8541);
  ck_assert_uint_eq (settings.n_seeds, 1);
  ck_assert_int_eq (settings.shutdown_timeout, 6 * ANVIL_SECOND);
  ck_assert_int_eq (settings.resync_time, 3 * ANVIL_SECOND);
  ck_assert_double_eq (settings.limits.retry_extra, 56);
  ck_assert_double_eq (settings.limits.repeat_share, 0);
  anvil_relay_settings_clear (&settings);
  ck_assert (load_settings (SETTINGS (BOUNDS ",\"repeatShare\":0.05", "\"10.200.1.7:8541\""),
                            &settings, NULL));
  ck_assert_double_eq (settings.limits.repeat_share, 0.05);
  anvil_relay_settings_clear (&settings);
}
END_TEST

START_TEST (test_strict_revocation_needs_a_time)
{
  anvil_relay_settings_t settings;
  GError *error = NULL;

  ck_assert (load_settings (
      SETTINGS (BOUNDS ",\"strictRevocation\":true,\"revokeMs\":5000", "\"10.200.1.7:8541\""),
      &settings, NULL));
  ck_assert (settings.strict_revocation);
  ck_assert_int_eq (settings.revoke_time, 5 * ANVIL_SECOND);
  anvil_relay_settings_clear (&settings);
  ck_assert (!load_settings (SETTINGS (BOUNDS ",\"strictRevocation\":true", "\"10.200.1.7:8541\""),
                             &settings, &error));
  ck_assert_msg (strstr (error->message, "revokeMs") != NULL, "%s", error->message);
  g_clear_error (&error);
  ck_assert (!load_settings (SETTINGS (BOUNDS ",\"strictRevocation\":1", "\"10.200.1.7:8541\""),
                             &settings, &error));
  ck_assert_msg (strstr (error->message, "strictRevocation") != NULL, "%s", error->message);
  g_clear_error (&error);
}
END_TEST

START_TEST (test_all_bad_settings_are_reported)
{
  anvil_relay_settings_t settings;
  GError *error = NULL;

  ck_assert (!load_settings (SETTINGS ("\"graceS\":\"x\"", "\"nowhere\""), &settings, &error));
  ck_assert_ptr_nonnull (strstr (error->message, "graceS"));
  ck_assert_ptr_nonnull (strstr (error->message, "maxShift"));
  ck_assert_ptr_nonnull (strstr (error->message, "platform: address"));
  g_clear_error (&error);
  ck_assert (!load_settings (SETTINGS (BOUNDS ",\"repeatShare\":0.6", "\"10.200.1.7:8541\""),
                             &settings, &error));
  ck_assert_ptr_nonnull (strstr (error->message, "bounds: repeatShare"));
  g_clear_error (&error);
  ck_assert (!load_settings ("nothing", &settings, &error));
  g_clear_error (&error);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter");
  TCase *tests = tcase_create ("adapter");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_configuration_is_parsed);
  tcase_add_test (tests, test_traffic_split_is_parsed);
  tcase_add_test (tests, test_a_share_of_second_runs_is_parsed);
  tcase_add_test (tests, test_bad_configurations_are_rejected_with_field_and_reason);
  tcase_add_test (tests, test_tenants_are_parsed);
  tcase_add_test (tests, test_bad_tenants_are_rejected_with_field_and_name_but_no_key);
  tcase_add_test (tests, test_upstream_is_parsed);
  tcase_add_test (tests, test_an_upstream_without_a_usable_sequence_is_accepted);
  tcase_add_test (tests, test_invalid_upstream_rows_are_rejected);
  tcase_add_test (tests, test_upstream_ids_are_printable);
  tcase_add_test (tests, test_upstreams_with_odd_addresses_and_names_are_rejected);
  tcase_add_test (tests, test_upstreams_with_odd_values_are_rejected);
  tcase_add_test (tests, test_settings_are_parsed);
  tcase_add_test (tests, test_strict_revocation_needs_a_time);
  tcase_add_test (tests, test_all_bad_settings_are_reported);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
