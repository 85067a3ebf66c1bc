/* Drills with real entries: the store comes back from an older copy, in a later era. */

#include "helper-fleet.h"

#include <stdlib.h>
#include <string.h>

#include "anvil/clock.h"
#include "anvil/registry.h"
#include "steer/store-era.h"

#define N_ENTRIES 3
/* More than one upstream has slots. */
#define N_REQUESTS 9
/* More than three upstreams have slots. */
#define N_ALL_REQUESTS 14
/* Until all entries know of a change, and the store may go back to what it had before. */
#define SETTLE_US 1500000ul
/* Between the time of the copy and the change that a drill loses. */
#define COPY_MARGIN_US 50000ul
#define AWAY_MS 500
/* The lost rows are written again this long after the store's return, less than the 10 s for which
 * entries wait for them. */
#define REWRITE_MS 4000
#define REWRITE_US (REWRITE_MS * 1000ul)
#define FIRST_ERA 3
/* More versions than a drill's own rewrites assign. */
#define N_VERSIONS 20
#define EVACUATED_ZONE "west-b"
/* Entries read again within this time after the store's return. */
#define READ_AGAIN_US 2000000ul
/* A departure must be known within this time, the shortest drain time of a deployment. */
#define DRAIN_TIME (2500 * ANVIL_MS)
/* Until an entry has noticed that the store doesn't answer it. */
#define NOTICE_LOSS_US 2000000

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static fleet_proxy_t *proxies[N_ENTRIES];
/* When the copy is made that the next drill comes back from. */
static anvil_time_t copied_at;

/* Two upstreams that write their rows only once, so that only the drill writes them again, and one
 * in another zone. */
static void
set_up (void)
{
  static const char *const zones[N_ENTRIES] = { "west-a", "west-a", "east-a" };

  fleet_open_at_era (&fleet, FIRST_ERA);
  fleet_add_upstream (&fleet, "stays", "photos", "--heartbeat-ms 1000000 --slots 4");
  fleet_add_upstream (&fleet, "other", "photos",
                      "--heartbeat-ms 1000000 --drain-ms 100000 --slots 4");
  fleet_add_upstream (&fleet, "zone", "photos",
                      "--heartbeat-ms 1000000 --slots 4 --zone " EVACUATED_ZONE);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      proxies[i] = fleet_add_store_proxy (&fleet, 0);
      fleet.entry_store_endpoint = proxies[i]->endpoint;
      entries[i] = fleet_add_entry (&fleet, name, zones[i]);
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
  g_usleep (2 * SETTLE_US);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
wait_for_metric (const fleet_entry_t *entry, const char *name, gint64 value)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;

  while (fleet_read_metric (entry, name) != value)
    {
      ck_assert_msg (anvil_clock_now () < until, "%s of %s never was %" G_GINT64_FORMAT, name,
                     entry->name, value);
      g_usleep (20000);
    }
}

static void
wait_for_all (const char *name, gint64 value)
{
  for (guint i = 0; i < N_ENTRIES; i++)
    wait_for_metric (entries[i], name, value);
}

/* The next drill loses what is written from now on. */
static void
copy_store (void)
{
  copied_at = anvil_clock_now ();
  g_usleep (COPY_MARGIN_US);
}

static void
start_drill (void)
{
  fleet_start_drill (&fleet, AWAY_MS, (guint) ((anvil_clock_now () - copied_at) / ANVIL_MS),
                     REWRITE_MS);
}

/* Begins a drill, and waits until all entries know of it and have read the store again. All the
 * while, a metric of all entries keeps its value. */
static void
drill_keeping (guint era, const char *metric, gint64 value)
{
  anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;
  gboolean all_know = FALSE;

  start_drill ();
  while (anvil_clock_now () < until)
    {
      gboolean knows = TRUE;

      for (guint i = 0; i < N_ENTRIES; i++)
        {
          ck_assert_int_eq (fleet_read_metric (entries[i], metric), value);
          knows = knows && fleet_read_metric (entries[i], "anvil_store_era") == era;
        }
      if (knows && !all_know)
        until = anvil_clock_now () + (anvil_time_t) READ_AGAIN_US;
      all_know |= knows;
    }
  ck_assert (all_know);
}

static void
drill (guint era)
{
  drill_keeping (era, "anvil_ready", 1);
}

/* Writes the row of an upstream. */
static void
put_upstream (const char *id, const char *endpoint)
{
  char *row = g_strdup_printf (
      "{\"address\":\"%s\",\"born\":%" G_GINT64_FORMAT
      ",\"info\":{\"service\":\"photos\",\"version\":\"v1\",\"zone\":\"west-a\",\"slots\":4},"
      "\"status\":{\"state\":\"ready\",\"sequence\":1,\"coldRemainingMs\":0}}",
      endpoint, anvil_clock_wall () / ANVIL_MS);

  fleet_put_row (&fleet, "servers", id, row);
  g_free (row);
}

/* The drain stays known where the copy has an older row of the same process, which is ready. */
START_TEST (test_a_drained_upstream_is_not_used_again)
{
  copy_store ();
  kill (((standin_t *) fleet.upstreams->pdata[1])->pid, SIGTERM);
  g_usleep (SETTLE_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "other", N_REQUESTS), 0);
  drill (FIRST_ERA + 1);
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_uint_eq (fleet_count_responses_of (entries[i], "other", N_REQUESTS), 0);
  g_usleep (REWRITE_US);
  ck_assert_uint_eq (fleet_count_responses_of (entries[0], "other", N_REQUESTS), 0);
}
END_TEST

/* Whether the new row of an upstream that drained and is ready again is used. */
START_TEST (test_a_drain_ends_by_a_newer_row)
{
  copy_store ();
  kill (((standin_t *) fleet.upstreams->pdata[1])->pid, SIGTERM);
  g_usleep (SETTLE_US);
  drill (FIRST_ERA + 1);
  g_usleep (REWRITE_US);
  /* Another process at the same id. */
  put_upstream ("other", ((standin_t *) fleet.upstreams->pdata[1])->endpoint);
  g_usleep (SETTLE_US);
  ck_assert_uint_gt (fleet_count_responses_of (entries[0], "other", N_REQUESTS), 0);
}
END_TEST

/* Its row is gone with the copy, and written again after some seconds. */
START_TEST (test_an_evacuation_is_not_undone)
{
  copy_store ();
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  wait_for_all ("anvil_evacuated_zones", 1);
  g_usleep (SETTLE_US);
  drill_keeping (FIRST_ERA + 1, "anvil_evacuated_zones", 1);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      ck_assert_uint_eq (fleet_count_responses_of (entries[i], "zone", N_REQUESTS), 0);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_evacuated_zones"), 1);
    }
  g_usleep (REWRITE_US);
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_evacuated_zones"), 1);
  /* Its row was seen, so its removal is the operator's. */
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, NULL);
  wait_for_all ("anvil_evacuated_zones", 0);
}
END_TEST

START_TEST (test_the_configuration_does_not_go_back)
{
  copy_store ();
  fleet_configure_routes (&fleet, 1, "photos");
  wait_for_all ("anvil_routes_version", 2);
  g_usleep (SETTLE_US);
  drill_keeping (FIRST_ERA + 1, "anvil_routes_version", 2);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *response = fleet_request (entries[i]->caller_port, "GET", "/more-0/1", "r");

      ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_routes_version"), 2);
      g_free (response);
    }
  g_usleep (REWRITE_US);
  /* A version of the store that it had assigned before the drill. */
  fleet_configure (&fleet, NULL);
  wait_for_all ("anvil_routes_version", 3);
}
END_TEST

/* A row that the copy doesn't have is no departure. */
START_TEST (test_upstreams_whose_rows_are_missing_for_some_seconds_are_used)
{
  copy_store ();
  fleet_add_upstream (&fleet, "new", "photos", "--heartbeat-ms 1000000 --slots 4");
  g_usleep (SETTLE_US);
  ck_assert_uint_gt (fleet_count_responses_of (entries[0], "new", N_ALL_REQUESTS), 0);
  drill_keeping (FIRST_ERA + 1, "anvil_upstreams", 4);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_upstreams"), 4);
      ck_assert_uint_gt (fleet_count_responses_of (entries[i], "new", N_ALL_REQUESTS), 0);
    }
  g_usleep (REWRITE_US + ANVIL_STORE_RETURN_TIME);
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_upstreams"), 4);
  /* Now its row is gone. */
  fleet_put_row (&fleet, "servers", "new", NULL);
  wait_for_all ("anvil_upstreams", 3);
}
END_TEST

/* Removes the row of an upstream, and checks that all entries know it in time. */
static void
check_departure (const char *id, gint64 n_left)
{
  anvil_time_t until;

  fleet_put_row (&fleet, "servers", id, NULL);
  until = anvil_clock_now () + DRAIN_TIME;
  wait_for_all ("anvil_upstreams", n_left);
  ck_assert_msg (anvil_clock_now () <= until, "the departure of %s was known too late", id);
}

/* Guards against requests to an upstream that left after a drill: entries that are told of
 * upstreams by their region's reader took its removal for a row that the drill has lost. */
START_TEST (test_a_departure_after_a_drill_is_known_in_time)
{
  copy_store ();
  drill (FIRST_ERA + 1);
  g_usleep (ANVIL_REGISTRY_REMOVAL_GRACE);
  check_departure ("stays", 2);
  wait_for_all ("anvil_deferred_removals", 0);
  check_departure ("zone", 1);
}
END_TEST

/* Guards against changes that are missed because the store has passed the versions that it had
 * before: those are no longer refused, and stand for other contents. */
START_TEST (test_versions_that_are_assigned_again_are_read)
{
  copy_store ();
  for (guint i = 0; i < N_VERSIONS; i++)
    fleet_put_row (&fleet, "other", "raises-the-version", "{}");
  g_usleep (SETTLE_US);
  start_drill ();
  g_usleep (AWAY_MS * 1000ul + COPY_MARGIN_US);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  for (guint i = 0; i < 2 * N_VERSIONS; i++)
    fleet_put_row (&fleet, "other", "raises-the-version", "{}");
  wait_for_all ("anvil_store_era", FIRST_ERA + 1);
  wait_for_all ("anvil_evacuated_zones", 1);
}
END_TEST

/* It learns the era by pings, and what is written in it by updates whose versions are lower than
 * those that it knows. */
START_TEST (test_an_entry_without_the_store_hears_of_the_era_from_a_peer)
{
  guint cut_off = fleet_find_holder (&fleet, "photos");

  copy_store ();
  for (guint i = 0; i < N_VERSIONS; i++)
    fleet_put_row (&fleet, "other", "raises-the-version", "{}");
  kill (proxies[cut_off]->pid, SIGSTOP);
  g_usleep (NOTICE_LOSS_US);
  drill (FIRST_ERA + 1);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  wait_for_metric (entries[cut_off], "anvil_evacuated_zones", 1);
  fleet_add_upstream (&fleet, "new", "photos", "--heartbeat-ms 1000000 --slots 4");
  wait_for_metric (entries[cut_off], "anvil_upstreams", 4);
  kill (proxies[cut_off]->pid, SIGCONT);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, NULL);
  wait_for_all ("anvil_evacuated_zones", 0);
}
END_TEST

static gboolean
has_all_addresses (void)
{
  char *response
      = fleet_request (fleet_port (&fleet.store), "GET", "/-/rows-get?table=entries&part=", "rows");
  gboolean all = TRUE;

  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *key = g_strdup_printf ("\"%s\"", entries[i]->name);

      all = all && strstr (response, key) != NULL;
      g_free (key);
    }
  g_free (response);
  return all;
}

/* The second return begins while the rows that the first has lost are missing. The entries' own
 * addresses are lost by both. */
START_TEST (test_two_drills_in_a_row)
{
  const anvil_time_t until = anvil_clock_now () + FLEET_TIMEOUT_S * ANVIL_SECOND;

  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  kill (((standin_t *) fleet.upstreams->pdata[1])->pid, SIGTERM);
  wait_for_all ("anvil_evacuated_zones", 1);
  g_usleep (SETTLE_US);
  fleet_start_drill (&fleet, AWAY_MS, 100000, REWRITE_MS);
  wait_for_all ("anvil_store_era", FIRST_ERA + 1);
  g_usleep (READ_AGAIN_US / 2);
  fleet_start_drill (&fleet, AWAY_MS, 100000, REWRITE_MS);
  wait_for_all ("anvil_store_era", FIRST_ERA + 2);
  g_usleep (READ_AGAIN_US);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      ck_assert_uint_eq (fleet_count_responses_of (entries[i], "zone", N_REQUESTS), 0);
      ck_assert_uint_eq (fleet_count_responses_of (entries[i], "other", N_REQUESTS), 0);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_upstreams"), 3);
    }
  while (!has_all_addresses ())
    {
      ck_assert (anvil_clock_now () < until);
      g_usleep (100000);
    }
  g_usleep (REWRITE_US);
  for (guint i = 0; i < N_ENTRIES; i++)
    ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_evacuated_zones"), 1);
}
END_TEST

static void
check_not_applied (const char *fault)
{
  fleet_set_store_fault (&fleet, fault, 3000);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  put_upstream ("odd", "127.0.0.1:1");
  g_usleep (2000000);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_evacuated_zones"), 0);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_upstreams"), 3);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_store_era"), FIRST_ERA);
    }
  wait_for_all ("anvil_evacuated_zones", 1);
  wait_for_all ("anvil_upstreams", 4);
  fleet_put_row (&fleet, "servers", "odd", NULL);
  wait_for_all ("anvil_upstreams", 3);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, NULL);
  wait_for_all ("anvil_evacuated_zones", 0);
}

/* Guards against what a cache or an old process says instead of the store. */
START_TEST (test_responses_of_another_era_are_not_applied)
{
  check_not_applied ("no-era");
  check_not_applied ("odd-era");
  check_not_applied ("old-era");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-drill");
  TCase *tests = tcase_create ("relay-drill");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_a_drained_upstream_is_not_used_again);
  tcase_add_test (tests, test_a_drain_ends_by_a_newer_row);
  tcase_add_test (tests, test_an_evacuation_is_not_undone);
  tcase_add_test (tests, test_the_configuration_does_not_go_back);
  tcase_add_test (tests, test_upstreams_whose_rows_are_missing_for_some_seconds_are_used);
  tcase_add_test (tests, test_a_departure_after_a_drill_is_known_in_time);
  tcase_add_test (tests, test_versions_that_are_assigned_again_are_read);
  tcase_add_test (tests, test_an_entry_without_the_store_hears_of_the_era_from_a_peer);
  tcase_add_test (tests, test_two_drills_in_a_row);
  tcase_add_test (tests, test_responses_of_another_era_are_not_applied);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
