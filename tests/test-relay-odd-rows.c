/* Rows of other writers in the tables that entries read: no entry ends, or stops following them. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"

#define N_ENTRIES 2
#define NESTING 20000
/* The store's limit of a row's value. */
#define ROW_BYTES 65536ul
#define N_LARGE_ROWS 300
#define N_REQUESTS 5
#define CHANGE_TIMEOUT (20 * ANVIL_SECOND)
#define POLL_US 50000

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];

static void
set_up (void)
{
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "first", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entries[0] = fleet_add_entry (&fleet, "e0", "west-a");
  entries[1] = fleet_add_entry (&fleet, "e1", "east-a");
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
assert_served (void)
{
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      ck_assert_int_eq (waitpid (entries[i]->pid, NULL, WNOHANG), 0);
      for (guint j = 0; j < N_REQUESTS; j++)
        {
          char *response = fleet_request (entries[i]->caller_port, "GET", "/view/1", "odd");

          ck_assert_msg (fleet_response_status (response) == 200, "%s", response);
          g_free (response);
        }
    }
}

/* Waits until both entries know so many upstreams. */
static void
wait_for_upstreams (gint64 n)
{
  anvil_time_t deadline = anvil_clock_now () + CHANGE_TIMEOUT;

  for (guint i = 0; i < N_ENTRIES; i++)
    {
      while (fleet_read_metric (entries[i], "anvil_upstreams") != n
             && anvil_clock_now () < deadline)
        g_usleep (POLL_US);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_upstreams"), n);
    }
}

/* Entries take up what comes after the odd rows, also if they start beside them. */
static void
assert_tables_are_followed (void)
{
  assert_served ();
  fleet_add_upstream (&fleet, "second", "photos", NULL);
  wait_for_upstreams (2);
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      anvil_time_t deadline = anvil_clock_now () + CHANGE_TIMEOUT;

      while (fleet_read_metric (entries[i], "anvil_routes_version") != fleet.version
             && anvil_clock_now () < deadline)
        g_usleep (POLL_US);
      ck_assert_int_eq (fleet_read_metric (entries[i], "anvil_routes_version"), fleet.version);
    }
  fleet_kill_entry (entries[0], SIGKILL);
  fleet_start_entry (&fleet, entries[0]);
  fleet_wait_ready (entries[0]);
  wait_for_upstreams (2);
  assert_served ();
}

#define ROW(address, service, slots)                                                               \
  "{\"address\":\"" address "\",\"born\":1,\"info\":{\"service\":\"" service                       \
  "\",\"zone\":\"west-a\",\"slots\":" slots "},\"status\":{\"state\":\"ready\"}}"

/* Keys are JSON strings without their quotes. */
START_TEST (test_odd_rows_among_the_upstreams)
{
  static const char *const rows[][2] = {
    { "odd-1", "" },
    { "odd-2", "\xff\xfe\x01" },
    { "odd-3", ROW ("127.0.0.1:99999", "photos", "3") },
    { "odd-4", ROW ("127.0.0.1:0", "photos", "3") },
    { "odd-5", ROW ("127.0.0.1:80", "photos", "99999999999999999999") },
    { "odd-6", ROW ("127.0.0.1:80", "photos", "1e999") },
    { "odd-7", "{\"address\":[],\"info\":7,\"status\":\"ready\"}" },
    { "odd-8\\r\\nHost: other", ROW ("127.0.0.1:80", "photos", "3") },
    { "\\u00e9", ROW ("127.0.0.1:80", "photos", "3") },
  };
  char *open = g_strnfill (NESTING, '[');
  char *name = g_strnfill (ROW_BYTES / 2, 'x');
  char *long_row = g_strdup_printf (ROW ("127.0.0.1:80", "%s", "3"), name);

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    fleet_put_row (&fleet, "servers", rows[i][0], rows[i][1]);
  fleet_put_row (&fleet, "servers", "nested", open);
  fleet_put_row (&fleet, "servers", "long", long_row);
  assert_tables_are_followed ();
  g_free (long_row);
  g_free (name);
  g_free (open);
}
END_TEST

START_TEST (test_large_rows_in_great_number_among_the_upstreams)
{
  char *value = g_strnfill (ROW_BYTES / 4 * 3, 'x');

  for (guint i = 0; i < N_LARGE_ROWS; i++)
    {
      char *key = g_strdup_printf ("large-%u", i);

      fleet_put_row (&fleet, "servers", key, value);
      g_free (key);
    }
  assert_tables_are_followed ();
  g_free (value);
}
END_TEST

START_TEST (test_odd_rows_in_the_other_tables)
{
  static const char *const addresses[] = { "",
                                           "127.0.0.1:0",
                                           "127.0.0.1:1",
                                           "127.0.0.1:99999",
                                           "999.0.0.1:7540",
                                           "\xff\xfe\x01",
                                           "0.0.0.0:1",
                                           "255.255.255.255:9",
                                           "[[[[" };
  char *open = g_strnfill (NESTING, '[');
  char *key = g_strnfill (200, 'z');
  char *zone = g_strdup_printf ("evacuate/%.150s", key);

  for (gsize i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      char *name = g_strdup_printf ("odd-%zu", i);

      fleet_put_row (&fleet, "entries", name, addresses[i]);
      g_free (name);
    }
  fleet_put_row (&fleet, "entries", key, open);
  fleet_put_row (&fleet, "op", "evacuate/", open);
  fleet_put_row (&fleet, "op", zone, "\xff");
  fleet_put_row (&fleet, "op", "evacuate/a\\nb", "{}");
  fleet_put_row (&fleet, "op", "other", open);
  fleet_put_row (&fleet, "places", "photos", "odd bytes that are no list of objects");
  fleet_put_row (&fleet, "places", key, open);
  fleet_put_row (&fleet, "places", "", "x");
  fleet_configure_raw (&fleet, open);
  fleet_configure_raw (&fleet, "{\"version\":99999999999999999999,\"resources\":[]}");
  fleet_configure_raw (&fleet, "{\"version\":-1,\"resources\":{}}");
  fleet_configure_raw (&fleet, "\xff\xfe");
  assert_tables_are_followed ();
  g_free (zone);
  g_free (key);
  g_free (open);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-odd-rows");
  TCase *tests = tcase_create ("relay-odd-rows");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_odd_rows_among_the_upstreams);
  tcase_add_test (tests, test_large_rows_in_great_number_among_the_upstreams);
  tcase_add_test (tests, test_odd_rows_in_the_other_tables);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
