/* Requests of an entry whose region has few upstreams: small ones that may be repeated go to the
 * holder along with their slot requests, and run once whatever fails. */

#include "helper-fleet.h"

#include <stdlib.h>

#define N_REQUESTS 8
/* Until entries know each other, the upstreams and the holder. */
#define SETTLE_US 1500000ul
#define POLL_US 20000ul
/* Larger than a request that goes along with its slot request. */
#define LONG_QUERY_BYTES 9000

static fleet_t fleet;
static fleet_entry_t *requester;
static fleet_entry_t *holders[2];

/* Upstreams, and so the holder, are in the region "west"; the caller's entry is in "east". */
static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "far", "photos", "--zone west-a --slots 40");
  fleet_configure (&fleet, "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"home\"},\"spec\":"
                           "{\"host\":\"" FLEET_HOST "\",\"prefix\":\"/home/\",\"kind\":\"safe\","
                           "\"timeoutMs\":1500,\"maxAttempts\":2,\"service\":\"photos\","
                           "\"allowedRegions\":[\"east\"]}},"
                           "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"once\"},\"spec\":"
                           "{\"host\":\"" FLEET_HOST "\",\"prefix\":\"/once/\",\"kind\":\"safe\","
                           "\"timeoutMs\":1500,\"maxAttempts\":1,\"service\":\"photos\"}}");
  requester = fleet_add_entry (&fleet, "requester", "east-a");
  holders[0] = fleet_add_entry (&fleet, "holder-0", "west-a");
  holders[1] = fleet_add_entry (&fleet, "holder-1", "west-b");
  fleet_wait_ready (requester);
  fleet_wait_ready (holders[0]);
  fleet_wait_ready (holders[1]);
  g_usleep (SETTLE_US);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static gint64
count_forwarded (void)
{
  gint64 n = 0;

  for (guint i = 0; i < G_N_ELEMENTS (holders); i++)
    n += holders[i]->pid != 0
             ? MAX (fleet_read_metric (holders[i], "anvil_forwarded_runs_total"), 0)
             : 0;
  return n;
}

static int
send_request (const char *method, const char *target, const char *id)
{
  int fd = fleet_connect (requester->caller_port);

  fleet_send (fd,
              "%s %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\nRequest-Id: %s\r\nDeadline-Ms: 1400\r\n"
              "X-Color: green\r\nContent-Length: 0\r\n\r\n",
              method, target, id);
  return fd;
}

static guint
read_status (int fd)
{
  char *response = fleet_read_response (fd);
  guint status = fleet_response_status (response);

  g_free (response);
  close (fd);
  return status;
}

/* Guards against a second crossing between regions, against a second run, and against a request or
 * response that is changed on the way. */
START_TEST (test_small_requests_run_beside_the_holder_once)
{
  for (guint i = 0; i < N_REQUESTS; i++)
    {
      char *id = g_strdup_printf ("small-%u", i);
      int fd = send_request ("GET", "/view/1?work=30&echo=headers", id);
      char *response = fleet_read_response (fd);

      ck_assert_uint_eq (fleet_response_status (response), 200);
      ck_assert_ptr_nonnull (strstr (response, id));
      ck_assert_ptr_nonnull (strstr (fleet_response_body (response), "X-Color: green"));
      ck_assert_uint_eq (fleet_count_runs (&fleet, id), 1);
      g_free (response);
      g_free (id);
      close (fd);
    }
  ck_assert_int_ge (count_forwarded (), N_REQUESTS / 2);
}
END_TEST

/* Guards against a request that must not run twice being sent where its outcome can get lost, one
 * that isn't small, and one whose regions exclude the holder's. */
START_TEST (test_other_requests_get_a_grant)
{
  char *query = g_strnfill (LONG_QUERY_BYTES, 'q');
  char *target = g_strdup_printf ("/view/1?work=10&q=%s", query);

  ck_assert_uint_eq (read_status (send_request ("POST", "/pay/1?work=10", "unsafe")), 200);
  ck_assert_uint_eq (read_status (send_request ("GET", target, "long")), 200);
  ck_assert_uint_eq (read_status (send_request ("GET", "/home/1?work=10", "home")), 503);
  ck_assert_int_eq (count_forwarded (), 0);
  g_free (target);
  g_free (query);
}
END_TEST

static void
wait_until_running (void)
{
  for (guint i = 0; i < FLEET_TIMEOUT_S * 1000000ul / POLL_US && count_forwarded () == 0; i++)
    g_usleep (POLL_US);
  ck_assert_int_gt (count_forwarded (), 0);
}

static guint
count_running (void)
{
  guint running = 0;

  for (guint i = 0; i < G_N_ELEMENTS (holders); i++)
    running += (guint) MAX (fleet_read_metric (holders[i], "anvil_forwarded_running"), 0);
  return running;
}

/* Guards against a run that keeps its slot after its caller has left. */
START_TEST (test_a_run_ends_when_its_caller_leaves)
{
  int fd = send_request ("GET", "/view/1?work=1200", "left");

  wait_until_running ();
  close (fd);
  for (guint i = 0; i < 25 && count_running () > 0; i++)
    g_usleep (POLL_US);
  ck_assert_uint_eq (count_running (), 0);
}
END_TEST

/* Guards against a request that is lost with the holder that runs it, and against one that the
 * requester says not to have run. */
START_TEST (test_a_request_survives_the_end_of_the_holder)
{
  int fd = send_request ("GET", "/view/1?work=300", "survivor");
  guint running = 0;

  wait_until_running ();
  for (guint i = 0; i < G_N_ELEMENTS (holders); i++)
    {
      if (fleet_read_metric (holders[i], "anvil_forwarded_running") > 0)
        running = i;
    }
  fleet_kill_entry (holders[running], SIGKILL);
  ck_assert_uint_eq (read_status (fd), 200);
  ck_assert_uint_le (fleet_count_runs (&fleet, "survivor"), 2);
}
END_TEST

/* Guards against requests that are broken off at their upstream in a rolling restart: the entry
 * that took them and the one that runs them are stopped one after the other. */
START_TEST (test_a_run_goes_on_when_requester_and_holder_stop)
{
  int fd = send_request ("GET", "/once/1?work=1000", "stopped");

  wait_until_running ();
  kill (requester->pid, SIGTERM);
  for (guint i = 0; i < G_N_ELEMENTS (holders); i++)
    {
      if (fleet_read_metric (holders[i], "anvil_forwarded_running") > 0)
        kill (holders[i]->pid, SIGTERM);
    }
  ck_assert_uint_eq (read_status (fd), 200);
  ck_assert_uint_eq (fleet_count_runs (&fleet, "stopped"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-forward");
  TCase *tests = tcase_create ("relay-forward");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 4 * FLEET_TIMEOUT_S);
  tcase_add_test (tests, test_small_requests_run_beside_the_holder_once);
  tcase_add_test (tests, test_other_requests_get_a_grant);
  tcase_add_test (tests, test_a_run_ends_when_its_caller_leaves);
  tcase_add_test (tests, test_a_request_survives_the_end_of_the_holder);
  tcase_add_test (tests, test_a_run_goes_on_when_requester_and_holder_stop);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
