/* Evacuated zones while the store doesn't answer the entry that places the requests. */

#include "helper-fleet.h"

#include <stdlib.h>

#define N_ENTRIES 3
#define N_REQUESTS 6
#define N_JOINS 6
#define EVACUATED_ZONE "west-b"
/* Until an entry has noticed that the store doesn't answer it. */
#define NOTICE_LOSS_US 2000000
/* Until the other entries know of an evacuation. */
#define NOTICE_EVACUATION_US 1000000ul
/* Shorter than the time-out of a call to the store, and than the time between two reads. */
#define UNREAD_US 700000

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static fleet_proxy_t *proxies[N_ENTRIES];
static guint holder;

/* Entries with a connection to the store each, and an upstream with too few slots for all requests.
 */
static void
set_up (void)
{
  static const char *const zones[N_ENTRIES] = { "west-a", "west-a", "east-a" };

  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "stays", "photos", "--slots 2");
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
  g_usleep (NOTICE_LOSS_US);
  holder = fleet_find_holder (&fleet, "photos");
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

static void
evacuate_while_holder_is_cut_off (void)
{
  kill (proxies[holder]->pid, SIGSTOP);
  g_usleep (NOTICE_LOSS_US);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, "{}");
  g_usleep (NOTICE_EVACUATION_US);
}

static void
add_upstream_in_evacuated_zone (const char *id)
{
  fleet_add_upstream (&fleet, id, "photos", "--zone " EVACUATED_ZONE " --slots 8");
}

/* Sends requests at the same time; returns how many of them upstreams whose id begins with "zone"
 * ran. */
static guint
count_responses_of_zone (const fleet_entry_t *entry)
{
  int fds[N_REQUESTS];
  guint n = 0;

  for (guint i = 0; i < N_REQUESTS; i++)
    {
      fds[i] = fleet_connect (entry->caller_port);
      fleet_send (fds[i],
                  "GET /view/1?work=100 HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: request-%u\r\n\r\n",
                  i);
    }
  for (guint i = 0; i < N_REQUESTS; i++)
    {
      char *response = fleet_read_response (fds[i]);

      ck_assert_msg (fleet_response_status (response) != 0, "%s", response);
      n += strstr (response, "Server-Stamp: zone") != NULL;
      g_free (response);
      close (fds[i]);
    }
  return n;
}

/* Guards against requests to an evacuated zone on the word of a holder that doesn't know of the
 * evacuation: the requester knows of it, but not yet of the upstream. */
START_TEST (test_an_upstream_that_joins_an_evacuated_zone_is_not_used)
{
  evacuate_while_holder_is_cut_off ();
  for (guint i = 0; i < N_JOINS; i++)
    {
      guint requester = (holder + 1 + i % 2) % N_ENTRIES;
      char *id = g_strdup_printf ("zone-%u", i);

      kill (proxies[requester]->pid, SIGSTOP);
      add_upstream_in_evacuated_zone (id);
      for (guint j = 0; j < 4; j++)
        {
          ck_assert_uint_eq (count_responses_of_zone (entries[requester]), 0);
          g_usleep (UNREAD_US / 8);
        }
      kill (proxies[requester]->pid, SIGCONT);
      g_usleep (NOTICE_EVACUATION_US);
      g_free (id);
    }
}
END_TEST

/* Guards against work that the holder grants in an evacuated zone: its own callers' requests reach
 * that, and those of others bounce. */
START_TEST (test_an_entry_without_the_store_learns_of_evacuations_from_its_peers)
{
  add_upstream_in_evacuated_zone ("zone-0");
  g_usleep (NOTICE_EVACUATION_US);
  ck_assert_uint_gt (count_responses_of_zone (entries[holder]), 0);
  evacuate_while_holder_is_cut_off ();
  g_usleep (NOTICE_EVACUATION_US);
  ck_assert_uint_eq (count_responses_of_zone (entries[holder]), 0);
  ck_assert_uint_eq (count_responses_of_zone (entries[(holder + 1) % N_ENTRIES]), 0);
  ck_assert_int_eq (fleet_read_metric (entries[holder], "anvil_evacuated_zones"), 1);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, NULL);
  g_usleep (2 * NOTICE_EVACUATION_US);
  ck_assert_int_eq (fleet_read_metric (entries[holder], "anvil_evacuated_zones"), 0);
  ck_assert_uint_gt (count_responses_of_zone (entries[holder]), 0);
}
END_TEST

/* What a peer told is not undone by an older read of the store, and ends with a newer one. */
START_TEST (test_an_entry_that_the_store_answers_again_knows_of_evacuations)
{
  add_upstream_in_evacuated_zone ("zone-0");
  evacuate_while_holder_is_cut_off ();
  g_usleep (NOTICE_EVACUATION_US);
  kill (proxies[holder]->pid, SIGCONT);
  g_usleep (NOTICE_EVACUATION_US);
  ck_assert_uint_eq (count_responses_of_zone (entries[holder]), 0);
  ck_assert_int_eq (fleet_read_metric (entries[holder], "anvil_evacuated_zones"), 1);
  fleet_put_row (&fleet, "op", "evacuate/" EVACUATED_ZONE, NULL);
  g_usleep (NOTICE_EVACUATION_US);
  ck_assert_uint_gt (count_responses_of_zone (entries[holder]), 0);
  ck_assert_int_eq (fleet_read_metric (entries[holder], "anvil_evacuated_zones"), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-evacuation");
  TCase *tests = tcase_create ("relay-evacuation");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 120);
  tcase_add_test (tests, test_an_upstream_that_joins_an_evacuated_zone_is_not_used);
  tcase_add_test (tests, test_an_entry_without_the_store_learns_of_evacuations_from_its_peers);
  tcase_add_test (tests, test_an_entry_that_the_store_answers_again_knows_of_evacuations);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
