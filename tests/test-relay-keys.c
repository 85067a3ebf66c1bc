/* Keys of tenants at a real entry: who is served, and what of the key and the tenant's name reaches
 * an upstream. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define KEY_A "gy35ieispuxsr7i427ey"
#define KEY_B "a6u6sz9frge9itfrzm2d"
#define TENANT(name, keys, more)                                                                   \
  "{\"resourceKind\":\"tenants\",\"metadata\":{\"name\":\"" name                                   \
  "\"},\"spec\":{\"apiKeys\":[" keys "]" more "}}"
#define TENANT_A TENANT ("tenant-a", "\"" KEY_A "\"", ",\"priority\":1")
#define TENANT_B TENANT ("tenant-b", "\"" KEY_B "\"", "")
#define PUBLIC_ROUTE                                                                               \
  "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"open\"},\"spec\":{\"host\":\"" FLEET_HOST \
  "\",\"prefix\":\"/open/\",\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":600,"         \
  "\"priority\":1,\"service\":\"photos\",\"maxAttempts\":3,\"public\":true}}"
#define APPLY_TIMEOUT (10 * ANVIL_SECOND)
#define POLL_US 5000
/* Enough for a slot request to reach the holder, which is the entry itself. */
#define SETTLE_US 150000

static fleet_t fleet;
static fleet_entry_t *entry;

static void
open_fleet (const char *resources, const char *upstream_flags)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "west", "photos", upstream_flags);
  fleet_configure (&fleet, resources);
  entry = fleet_add_entry (&fleet, "e0", "west-a");
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
configure (const char *resources)
{
  const anvil_time_t until = anvil_clock_now () + APPLY_TIMEOUT;

  fleet_configure (&fleet, resources);
  while (fleet_read_metric (entry, "anvil_routes_version") != fleet.version)
    {
      ck_assert (anvil_clock_now () < until);
      g_usleep (POLL_US);
    }
}

/* Response to a request with more header lines, each with its end. */
static char *
request (const char *path, const char *id, const char *lines)
{
  int fd = fleet_connect (entry->caller_port);
  char *response;

  fleet_send (fd,
              "GET %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: %s\r\n%s"
              "Connection: close\r\n\r\n",
              path, id, lines);
  response = fleet_read_response (fd);
  close (fd);
  return response;
}

static guint
request_status (const char *id, const char *lines)
{
  char *response = request ("/view/1", id, lines);
  guint status = fleet_response_status (response);

  g_free (response);
  return status;
}

static guint
count (const char *text, const char *part)
{
  guint n = 0;

  for (const char *at = strstr (text, part); at != NULL; at = strstr (at + 1, part))
    n++;
  return n;
}

/* What the upstream received, in lower case. */
static char *
echo (const char *path, const char *lines)
{
  char *response = request (path, "echo", lines);
  char *body = g_ascii_strdown (fleet_response_body (response), -1);

  ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
  g_free (response);
  return body;
}

/* Guards against callers that are served without a whole key of their own. */
START_TEST (test_only_requests_with_a_known_key_are_served)
{
  open_fleet (TENANT_A "," TENANT_B "," PUBLIC_ROUTE, NULL);
  ck_assert_uint_eq (request_status ("none", ""), 401);
  ck_assert_uint_eq (request_status ("empty", "Api-Key:\r\n"), 401);
  ck_assert_uint_eq (request_status ("unknown", "Api-Key: b6u6sz9frge9itfrzm2d\r\n"), 401);
  ck_assert_uint_eq (request_status ("case", "Api-Key: GY35IEISPUXSR7I427EY\r\n"), 401);
  ck_assert_uint_eq (request_status ("prefix", "Api-Key: gy35ieispuxsr7i427e\r\n"), 401);
  ck_assert_uint_eq (request_status ("longer", "Api-Key: " KEY_A "x\r\n"), 401);
  ck_assert_uint_eq (request_status ("list", "Api-Key: " KEY_A "," KEY_B "\r\n"), 401);
  ck_assert_uint_eq (
      request_status ("two", "Api-Key: " KEY_A "\r\nApi-Key: " KEY_B "\r\nApi-Key: " KEY_A "\r\n"),
      401);
  ck_assert_uint_eq (request_status ("one", "Api-Key: " KEY_A "\r\nApi-Key:\r\n"), 401);
  ck_assert_uint_eq (request_status ("folded", "Api-Key: " KEY_A "\r\n \r\nX: y\r\n"), 400);
  ck_assert_uint_eq (request_status ("known", "Api-Key: " KEY_A "\r\n"), 200);
  ck_assert_uint_eq (request_status ("blanks", "API-KEY: \t " KEY_A " \t\r\n"), 200);
  ck_assert_uint_eq (request_status ("same", "Api-Key: " KEY_B "\r\napi-key:" KEY_B "\r\n"), 200);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "none") + fleet_count_runs (&fleet, "prefix"), 0);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_unauthorized_total{reason=\"missing\"}"), 2);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_unauthorized_total{reason=\"unknown\"}"), 5);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_unauthorized_total{reason=\"repeated\"}"), 2);
}
END_TEST

/* Guards against a key that reaches an upstream, and against forged names of tenants. */
START_TEST (test_an_upstream_gets_the_name_of_the_tenant_and_no_key)
{
  char *body;
  int fd;

  open_fleet (TENANT_A "," TENANT_B "," PUBLIC_ROUTE, NULL);
  body = echo ("/view/1?echo=headers",
               "Tenant: tenant-b\r\ntenant: x\r\nApi-Key: " KEY_A "\r\nTENANT: tenant-c\r\n"
               "Connection: Api-Key, Tenant\r\napi-key: " KEY_A "\r\n");
  ck_assert_msg (count (body, "\ntenant: ") == 1, "%s", body);
  ck_assert_msg (strstr (body, "\ntenant: tenant-a") != NULL, "%s", body);
  ck_assert_msg (strstr (body, "api-key") == NULL && strstr (body, KEY_A) == NULL, "%s", body);
  g_free (body);
  body = echo ("/open/1?echo=headers", "Tenant: tenant-b\r\nTENANT: x\r\nApi-Key: " KEY_A "\r\n");
  ck_assert_msg (count (body, "\ntenant") == 0, "%s", body);
  ck_assert_msg (strstr (body, "api-key") == NULL && strstr (body, KEY_A) == NULL, "%s", body);
  g_free (body);
  body = echo ("/open/1?echo=headers", "");
  g_free (body);
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "POST /view/1?echo=headers HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: t\r\nApi-Key: " KEY_A "\r\nTransfer-Encoding: chunked\r\n"
                  "Trailer: Tenant\r\n\r\n1\r\nx\r\n0\r\nTenant: tenant-b\r\nApi-Key: y\r\n\r\n");
  body = fleet_read_response (fd);
  ck_assert_msg (fleet_response_status (body) == 200, "%s", body);
  ck_assert_msg (count (body, "tenant-a") == 1 && count (body, "tenant-b") == 0, "%s", body);
  g_free (body);
  close (fd);
}
END_TEST

START_TEST (test_without_tenants_headers_pass_as_they_are)
{
  char *body;

  open_fleet (NULL, NULL);
  body = echo ("/view/1?echo=headers", "Api-Key:  k \r\nTenant: t\r\ntenant: u\r\n");
  ck_assert_msg (strstr (body, "\napi-key: k") != NULL, "%s", body);
  ck_assert_msg (strstr (body, "\ntenant: t\ntenant: u") != NULL, "%s", body);
  g_free (body);
}
END_TEST

static void
assert_next_status (int fd, guint status)
{
  char *response = fleet_read_response (fd);

  ck_assert_msg (fleet_response_status (response) == status, "%u expected: %s", status, response);
  g_free (response);
}

#define GOOD "GET /view/1 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: good\r\nApi-Key: " KEY_A
#define BAD "POST /pay/1 HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: bad\r\nApi-Key: wrong"

/* Guards against a body that is read before the answer, or taken for a request behind it. */
START_TEST (test_a_refused_request_is_answered_before_its_body_and_the_next_one_is_served)
{
  int fd;

  open_fleet (TENANT_A, NULL);
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, BAD "\r\nContent-Length: 60\r\n\r\n");
  assert_next_status (fd, 401);
  fleet_send (fd, "GET /view/2 HTTP/1.1\r\nHost: " FLEET_HOST "\r\n");
  fleet_send (fd, "%*s" GOOD "\r\n\r\n", 18, "");
  fleet_send (fd, BAD "\r\nTransfer-Encoding: chunked\r\n\r\n");
  fleet_send (fd, "5\r\nGET /\r\n");
  fleet_send (fd, "0\r\nApi-Key: " KEY_A "\r\n\r\n" GOOD "\r\n\r\n");
  assert_next_status (fd, 200);
  assert_next_status (fd, 401);
  assert_next_status (fd, 200);
  fleet_send (fd, GOOD "\r\n\r\n" BAD "\r\nContent-Length: 3\r\n\r\nabc" GOOD "\r\n\r\n" BAD
                       "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" GOOD
                       "\r\nConnection: close\r\n\r\n");
  assert_next_status (fd, 200);
  assert_next_status (fd, 401);
  assert_next_status (fd, 200);
  assert_next_status (fd, 401);
  assert_next_status (fd, 200);
  close (fd);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "bad"), 0);
}
END_TEST

/* Guards against a second response to one request, and against a body without end. */
START_TEST (test_a_refused_request_whose_body_is_invalid_gets_one_response)
{
  static const char *const requests[] = {
    BAD "\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n",
    BAD "\r\nContent-Length: 99999999999\r\n\r\nabc",
    BAD "\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc" GOOD "\r\n\r\n",
  };

  open_fleet (TENANT_A, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      int fd = fleet_connect (entry->caller_port);
      char *response;
      char *rest;

      fleet_send (fd, "%s", requests[i]);
      response = fleet_read_response (fd);
      ck_assert_msg (fleet_response_status (response) == 401, "%s", response);
      /* The body of the first one shows only later that it is invalid. */
      ck_assert_msg (i == 0 || strstr (response, "Connection: close") != NULL, "%s", response);
      g_free (response);
      rest = fleet_read_response (fd);
      ck_assert_str_eq (rest, "");
      g_free (rest);
      close (fd);
    }
}
END_TEST

START_TEST (test_without_a_configuration_no_key_is_refused_as_unknown)
{
  char *response;
  int fd;

  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "west", "photos", NULL);
  entry = fleet_add_entry (&fleet, "e0", "west-a");
  while ((fd = fleet_connect (entry->caller_port)) < 0)
    g_usleep (POLL_US);
  close (fd);
  response = request ("/view/1", "none", "Api-Key: " KEY_A "\r\n");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_msg (strstr (response, "Retry-After: ") != NULL, "%s", response);
  g_free (response);
}
END_TEST

/* Guards against a version that takes effect in part. */
START_TEST (test_invalid_tenants_leave_the_version_before_in_force)
{
  open_fleet (TENANT_A, NULL);
  fleet_configure (&fleet, TENANT_B "," TENANT ("tenant-c", "\"" KEY_B "\"", ""));
  g_usleep (2 * ANVIL_SECOND);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_routes_version"), fleet.version - 1);
  ck_assert_uint_eq (request_status ("a", "Api-Key: " KEY_A "\r\n"), 200);
  ck_assert_uint_eq (request_status ("b", "Api-Key: " KEY_B "\r\n"), 401);
  configure (TENANT_B);
  ck_assert_uint_eq (request_status ("a", "Api-Key: " KEY_A "\r\n"), 401);
  ck_assert_uint_eq (request_status ("b", "Api-Key: " KEY_B "\r\n"), 200);
}
END_TEST

/* Response to a request with KEY_A that waits for a slot while the configuration changes. */
static char *
wait_beside_change (const char *resources)
{
  int running;
  int waiting;
  char *response;

  open_fleet (TENANT_A "," TENANT_B, "--slots 1 --queue 1");
  running = fleet_connect (entry->caller_port);
  waiting = fleet_connect (entry->caller_port);
  fleet_send (running, "GET /view/1?work=600 HTTP/1.1\r\nHost: " FLEET_HOST
                       "\r\nRequest-Id: running\r\nApi-Key: " KEY_B "\r\n\r\n");
  g_usleep (SETTLE_US);
  fleet_send (waiting, "GET /view/1?echo=headers HTTP/1.1\r\nHost: " FLEET_HOST
                       "\r\nRequest-Id: waiting\r\nApi-Key: " KEY_A "\r\n\r\n");
  g_usleep (SETTLE_US);
  configure (resources);
  assert_next_status (running, 200);
  response = fleet_read_response (waiting);
  close (running);
  close (waiting);
  return response;
}

/* Guards against a request that is sent with what was known of its key when it arrived. */
START_TEST (test_a_request_that_waits_for_a_slot_is_not_sent_if_its_key_was_taken_away)
{
  char *response = wait_beside_change (TENANT_B);

  ck_assert_msg (fleet_response_status (response) == 401, "%s", response);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "waiting"), 0);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_unauthorized_total{reason=\"revoked\"}"), 1);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_held_running{service=\"photos\"}"), 0);
  g_free (response);
}
END_TEST

START_TEST (test_a_request_that_waits_for_a_slot_is_sent_for_the_tenant_that_its_key_moved_to)
{
  char *response = wait_beside_change (TENANT ("tenant-c", "\"" KEY_A "\"", ""));

  ck_assert_msg (strstr (response, "Tenant: tenant-c") != NULL, "%s", response);
  ck_assert_msg (strstr (response, "tenant-a") == NULL, "%s", response);
  g_free (response);
}
END_TEST

START_TEST (test_a_request_that_waits_for_a_slot_runs_only_in_regions_of_its_present_tenant)
{
  char *response
      = wait_beside_change (TENANT ("tenant-c", "\"" KEY_A "\"", ",\"allowedRegions\":[\"east\"]"));

  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "waiting"), 0);
  g_free (response);
}
END_TEST

/* Guards against a retry with a key that was taken away after the first attempt. */
START_TEST (test_a_retry_is_not_sent_with_a_key_that_was_taken_away)
{
  int fd;
  char *response;

  open_fleet (TENANT_A, "--slots 1 --queue 1");
  fleet_add_upstream (&fleet, "west-2", "photos", "--slots 1 --queue 1");
  g_usleep (2 * ANVIL_SECOND);
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "GET /view/1?work=1000&fault=error HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: retried\r\nApi-Key: " KEY_A "\r\n\r\n");
  g_usleep (SETTLE_US);
  configure (TENANT_B);
  response = fleet_read_response (fd);
  ck_assert_msg (fleet_response_status (response) == 500, "%s", response);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "retried"), 1);
  g_free (response);
  close (fd);
}
END_TEST

START_TEST (test_a_request_without_a_region_that_route_and_tenant_allow_is_refused)
{
  char *response;

  open_fleet (
      TENANT ("tenant-a", "\"" KEY_A "\"", ",\"allowedRegions\":[\"east\"]") "," TENANT (
          "tenant-b", "\"" KEY_B "\"",
          ",\"allowedRegions\":[\"west\",\"east\"]") ",{\"resourceKind\":\"routes\",\"metadata\":{"
                                                     "\"name\":\"west\"},\"spec\":{"
                                                     "\"host\":\"" FLEET_HOST
                                                     "\",\"prefix\":\"/west/\",\"kind\":\"safe\","
                                                     "\"timeoutMs\":1500,\"targetLatencyMs\":600,"
                                                     "\"priority\":1,\"service\":\"photos\","
                                                     "\"maxAttempts\":3,\"allowedRegions\":["
                                                     "\"west\"]}}",
      NULL);
  response = request ("/west/1", "a", "Api-Key: " KEY_A "\r\n");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  g_free (response);
  /* The only upstream is in the region west. */
  response = request ("/view/1", "a-2", "Api-Key: " KEY_A "\r\n");
  ck_assert_msg (fleet_response_status (response) == 503, "%s", response);
  g_free (response);
  response = request ("/west/1", "b", "Api-Key: " KEY_B "\r\n");
  ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
  g_free (response);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "a") + fleet_count_runs (&fleet, "a-2"), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-keys");
  TCase *tests = tcase_create ("relay-keys");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, NULL, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_only_requests_with_a_known_key_are_served);
  tcase_add_test (tests, test_an_upstream_gets_the_name_of_the_tenant_and_no_key);
  tcase_add_test (tests, test_without_tenants_headers_pass_as_they_are);
  tcase_add_test (tests,
                  test_a_refused_request_is_answered_before_its_body_and_the_next_one_is_served);
  tcase_add_test (tests, test_a_refused_request_whose_body_is_invalid_gets_one_response);
  tcase_add_test (tests, test_without_a_configuration_no_key_is_refused_as_unknown);
  tcase_add_test (tests, test_invalid_tenants_leave_the_version_before_in_force);
  tcase_add_test (tests,
                  test_a_request_that_waits_for_a_slot_is_not_sent_if_its_key_was_taken_away);
  tcase_add_test (
      tests, test_a_request_that_waits_for_a_slot_is_sent_for_the_tenant_that_its_key_moved_to);
  tcase_add_test (tests,
                  test_a_request_that_waits_for_a_slot_runs_only_in_regions_of_its_present_tenant);
  tcase_add_test (tests, test_a_retry_is_not_sent_with_a_key_that_was_taken_away);
  tcase_add_test (tests, test_a_request_without_a_region_that_route_and_tenant_allow_is_refused);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
