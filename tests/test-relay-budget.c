/* The retry budget that all entries share, while the holders of a service stop one after the other.
 */

#include "helper-fleet.h"

#include <stdlib.h>

#include <jansson.h>

#include "anvil/clock.h"

#define N_ENTRIES 6
#define N_UPSTREAMS 4
#define N_STOPS 4
#define STOP_PERIOD_US 1000000
#define HOLDER_POLL_US 20000
#define CALL_PERIOD_US 200000
/* The budget in the settings of the entries. */
#define WINDOW (10 * ANVIL_SECOND)
#define RETRY_RATIO 0.2
#define RETRY_EXTRA 56

/**
 * caller_t - a caller on its own thread
 * @n_sent: requests sent
 * @n_failed: those that got an upstream's failure; the others were refused or not accepted
 */
typedef struct
{
  guint number;
  guint n_sent;
  guint n_failed;
  GThread *thread;
} caller_t;

static fleet_t fleet;
static fleet_entry_t *entries[N_ENTRIES];
static gint stop_callers;

static void
set_up (void)
{
  g_atomic_int_set (&stop_callers, FALSE);
  fleet_open (&fleet);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      char *id = g_strdup_printf ("u%u", i);

      fleet_add_upstream (&fleet, id, "photos", "--slots 8 --work-ms 10 --warm-ms 10");
      g_free (id);
    }
  fleet_configure (&fleet, NULL);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      entries[i] = fleet_add_entry (&fleet, name, "west-a");
      g_free (name);
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    fleet_wait_ready (entries[i]);
}

static void
tear_down (void)
{
  fleet_close (&fleet);
}

/* Sends safe requests that every upstream fails; goes on to the next entry if one is leaving. */
static gpointer
run_caller (gpointer data)
{
  caller_t *caller = data;
  guint entry = caller->number;

  while (!g_atomic_int_get (&stop_callers))
    {
      char *id = g_strdup_printf ("%u-%u", caller->number, caller->n_sent++);
      char *path = g_strdup_printf ("/view/%s?fault=error", id);

      char *response = fleet_request (entries[entry]->caller_port, "GET", path, id);

      if (fleet_response_status (response) == 500)
        {
          caller->n_failed++;
          g_usleep (CALL_PERIOD_US);
        }
      else
        entry = (entry + 1) % N_ENTRIES;
      g_free (response);
      g_free (path);
      g_free (id);
    }
  return NULL;
}

/* Arrivals of requests at upstreams beyond the first of each. */
static guint
count_repeats (void)
{
  GHashTable *ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint n_runs = 0;
  guint n_ids;

  for (guint i = 0; i < fleet.upstreams->len; i++)
    {
      char *response = fleet_request (fleet_port (fleet.upstreams->pdata[i]), "GET", "/runs", "r");
      json_t *root = json_loads (fleet_response_body (response), 0, NULL);
      const char *id;
      json_t *count;

      json_object_foreach (root, id, count)
      {
        n_runs += (guint) json_integer_value (count);
        g_hash_table_add (ids, g_strdup (id));
      }
      json_decref (root);
      g_free (response);
    }
  n_ids = g_hash_table_size (ids);
  g_hash_table_unref (ids);
  return n_runs - n_ids;
}

/* Stops the entry that holds the service, unless it is stopping already. */
static gboolean
stop_holder (gboolean *stopping)
{
  guint holder = fleet_find_holder (&fleet, "photos");

  if (stopping[holder])
    return FALSE;
  stopping[holder] = TRUE;
  kill (entries[holder]->pid, SIGTERM);
  return TRUE;
}

START_TEST (test_successive_holders_keep_to_one_retry_budget)
{
  const anvil_time_t started_at = anvil_clock_now ();
  caller_t callers[N_ENTRIES];
  gboolean stopping[N_ENTRIES] = { FALSE };
  guint n_failed = 0;
  gint64 n_windows;
  guint n_repeats;

  for (guint i = 0; i < N_ENTRIES; i++)
    {
      callers[i] = (caller_t){ .number = i };
      callers[i].thread = g_thread_new ("caller", run_caller, &callers[i]);
    }
  for (guint i = 0; i < N_STOPS; i++)
    {
      g_usleep (STOP_PERIOD_US);
      while (!stop_holder (stopping))
        g_usleep (HOLDER_POLL_US);
    }
  g_usleep (STOP_PERIOD_US);
  g_atomic_int_set (&stop_callers, TRUE);
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      g_thread_join (callers[i].thread);
      n_failed += callers[i].n_failed;
    }
  /* The load lies in one window, or in more on a slow machine. */
  n_windows = (anvil_clock_now () - started_at) / WINDOW + 1;
  n_repeats = count_repeats ();
  ck_assert_msg (n_repeats <= RETRY_RATIO * n_failed + (gdouble) n_windows * RETRY_EXTRA,
                 "%u repeats of %u requests", n_repeats, n_failed);
  /* The budget is used, too. */
  ck_assert_uint_gt (n_repeats, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-budget");
  TCase *tests = tcase_create ("relay-budget");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_successive_holders_keep_to_one_retry_budget);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
