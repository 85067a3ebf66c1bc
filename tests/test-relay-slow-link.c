/* An entry behind a slow link to the store knows of changes in time, also if the store has more to
 * send than fits into the time-out of a call. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define LINK_BYTES_PER_SECOND 400000
/* Until the entry's calls to the store have failed. */
#define OUTAGE_US 2500000
#define N_ROUTES 300
/* Their configuration takes more than a second of the link. */
#define N_LARGE_ROUTES 1600
#define N_MISSED_VERSIONS 8
#define N_OTHER_UPSTREAMS 10
#define PADDING_BYTES 10000
#define N_MISSED_HEARTBEATS 12
#define N_REQUESTS 9

static fleet_t fleet;
static fleet_proxy_t *proxy;
static fleet_entry_t *entry;
static standin_t *leaves;

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "stays", "photos", NULL);
  leaves = fleet_add_upstream (&fleet, "leaves", "photos", "--heartbeat-ms 1000000");
  fleet_configure (&fleet, NULL);
  proxy = fleet_add_store_proxy (&fleet, LINK_BYTES_PER_SECOND);
  fleet.entry_store_endpoint = proxy->endpoint;
  entry = fleet_add_entry (&fleet, "e0", "west-a");
  fleet_wait_ready (entry);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
put_other_upstreams (void)
{
  char padding[PADDING_BYTES + 1];

  memset (padding, 'x', PADDING_BYTES);
  padding[PADDING_BYTES] = '\0';
  for (guint i = 0; i < N_OTHER_UPSTREAMS; i++)
    {
      char *key = g_strdup_printf ("other-%u", i);
      char *row = g_strdup_printf (
          "{\"address\":\"127.0.0.1:9\",\"born\":1,\"padding\":\"%s\",\"info\":{\"service\":"
          "\"other\",\"zone\":\"west-a\",\"slots\":3},\"status\":{\"state\":\"ready\"}}",
          padding);

      fleet_put_row (&fleet, "servers", key, row);
      g_free (row);
      g_free (key);
    }
}

static void
drain_upstream (void)
{
  char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"photos\",\"zone\":\"west-a\","
      "\"slots\":3},\"status\":{\"state\":\"draining\"}}",
      leaves->endpoint);

  fleet_put_row (&fleet, "servers", "leaves", row);
  g_free (row);
}

/* The store doesn't answer until then. */
static void
end_outage_and_wait (void)
{
  g_usleep (OUTAGE_US);
  kill (proxy->pid, SIGCONT);
  g_usleep (FLEET_RESYNC_TIME);
}

START_TEST (test_a_configuration_after_missed_versions_is_in_force_in_time)
{
  kill (proxy->pid, SIGSTOP);
  for (guint i = 0; i < N_MISSED_VERSIONS; i++)
    fleet_configure_routes (&fleet, N_ROUTES, "photos");
  end_outage_and_wait ();
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_routes_version"), fleet.version);
}
END_TEST

START_TEST (test_a_configuration_that_takes_longer_than_a_call_is_in_force_in_time)
{
  fleet_configure_routes (&fleet, N_LARGE_ROUTES, "photos");
  g_usleep (FLEET_RESYNC_TIME);
  ck_assert_int_eq (fleet_read_metric (entry, "anvil_routes_version"), fleet.version);
}
END_TEST

START_TEST (test_a_drain_after_missed_heartbeats_is_known_in_time)
{
  kill (proxy->pid, SIGSTOP);
  for (guint i = 0; i < N_MISSED_HEARTBEATS; i++)
    put_other_upstreams ();
  drain_upstream ();
  end_outage_and_wait ();
  for (guint i = 0; i < N_REQUESTS; i++)
    {
      char *response = fleet_request (entry->caller_port, "GET", "/view/1", "after-drain");

      ck_assert_msg (strstr (response, "Server-Stamp: stays\r\n") != NULL, "%s", response);
      g_free (response);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-slow-link");
  TCase *tests = tcase_create ("relay-slow-link");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_a_configuration_after_missed_versions_is_in_force_in_time);
  tcase_add_test (tests, test_a_configuration_that_takes_longer_than_a_call_is_in_force_in_time);
  tcase_add_test (tests, test_a_drain_after_missed_heartbeats_is_known_in_time);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
