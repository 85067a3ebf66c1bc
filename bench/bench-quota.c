/*
 * Compares ways to keep tenants to their quotas, in virtual time, and measures what the one in use
 * costs.
 *
 * The ways: tokens lent by a counter to the holders of four services (in use); an equal share of
 * rate and burst at each of 35 entries; at each entry a bucket of the whole quota from which the
 * use of the others is taken, as they report it every 100 ms.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "anvil/dispatcher.h"
#include "helper-quota.h"

/* The first deployment. */
#define N_ENTRIES 35
#define N_HOLDERS 4
#define REPORT_INTERVAL (100 * ANVIL_MS)
#define STEP (1 * ANVIL_MS)
#define DURATION_S 30
#define N_TENANTS 4096
#define N_CALLS 1000000

/**
 * scenario_t - what one tenant sends
 * @factor: load relative to its rate
 * @burst_factor: the same in the second half of each ten seconds
 * @n_used: entries that it sends at, of those @moving on every second
 */
typedef struct
{
  const char *name;
  gdouble rate;
  gdouble burst;
  gdouble factor;
  gdouble burst_factor;
  guint n_used;
} scenario_t;

static const scenario_t scenarios[] = {
  { "usual load, all entries", 924, 924, 0.6, 0.6, N_ENTRIES },
  { "usual load, moving", 924, 924, 0.6, 0.6, 1 },
  { "near its rate, moving", 100, 100, 0.95, 0.95, 3 },
  { "small tenant, moving", 5, 10, 0.9, 0.9, 1 },
  { "8 times, all entries", 924, 924, 0.6, 8, N_ENTRIES },
  { "5 times, one entry", 20, 20, 0.6, 5, 1 },
};

/** bucket_t - a local bucket of a simpler way */
typedef struct
{
  gdouble tokens;
  guint used;
} local_bucket_t;

typedef struct
{
  GArray *runs;
  guint n_refused;
  guint n_wrong;
  guint n_messages;
} result_t;

static gdouble
load_at (const scenario_t *scenario, anvil_time_t time)
{
  return scenario->rate
         * (time / ANVIL_SECOND % 10 < 5 ? scenario->factor : scenario->burst_factor);
}

static guint
entry_at (const scenario_t *scenario, anvil_time_t time, guint number)
{
  return (guint) (time / ANVIL_SECOND * 7 + number % scenario->n_used) % N_ENTRIES;
}

/* Whether a refusal now is wrong: the tenant keeps to its rate in this scenario. */
static gboolean
is_below (const scenario_t *scenario)
{
  return scenario->burst_factor < 1;
}

static void
exchange_reports (local_bucket_t *buckets, result_t *result)
{
  guint all = 0;

  for (guint i = 0; i < N_ENTRIES; i++)
    all += buckets[i].used;
  for (guint i = 0; i < N_ENTRIES; i++)
    {
      buckets[i].tokens -= all - buckets[i].used;
      result->n_messages += buckets[i].used > 0 ? N_ENTRIES - 1 : 0;
    }
  for (guint i = 0; i < N_ENTRIES; i++)
    buckets[i].used = 0;
}

static void
run_local (const scenario_t *scenario, gboolean reports, result_t *result)
{
  const gdouble part = reports ? 1 : 1.0 / N_ENTRIES;
  local_bucket_t buckets[N_ENTRIES] = { 0 };
  gdouble owed = 0;
  guint number = 0;

  for (guint i = 0; i < N_ENTRIES; i++)
    buckets[i].tokens = scenario->burst * part;
  for (anvil_time_t now = 0; now < DURATION_S * ANVIL_SECOND; now += STEP)
    {
      for (guint i = 0; i < N_ENTRIES; i++)
        buckets[i].tokens = MIN (buckets[i].tokens + scenario->rate * part * STEP / ANVIL_SECOND,
                                 MAX (scenario->burst * part, 1));
      if (reports && now % REPORT_INTERVAL == 0)
        exchange_reports (buckets, result);
      owed += load_at (scenario, now) * STEP / ANVIL_SECOND;
      while (owed >= 1)
        {
          local_bucket_t *bucket = &buckets[entry_at (scenario, now, number++)];

          owed--;
          if (bucket->tokens < 1)
            {
              result->n_refused++;
              result->n_wrong += is_below (scenario);
              continue;
            }
          bucket->tokens--;
          bucket->used++;
          g_array_append_val (result->runs, now);
        }
    }
}

static void
run_counter (const scenario_t *scenario, result_t *result)
{
  quota_sim_t sim;
  gdouble owed = 0;
  guint number = 0;

  quota_sim_open (&sim, N_HOLDERS + 1, scenario->rate, scenario->burst);
  quota_sim_run (&sim, 3 * ANVIL_SECOND, 0, 0, 1);
  for (anvil_time_t now = 0; now < DURATION_S * ANVIL_SECOND; now += STEP)
    {
      quota_sim_run (&sim, STEP, 0, 0, 1);
      owed += load_at (scenario, now) * STEP / ANVIL_SECOND;
      while (owed >= 1)
        {
          owed--;
          quota_sim_send (&sim, 1 + number++ % N_HOLDERS);
        }
    }
  g_array_append_vals (result->runs, sim.runs->data, sim.runs->len);
  result->n_refused = sim.n_over_quota + sim.n_no_counter;
  result->n_wrong = is_below (scenario) ? result->n_refused : 0;
  result->n_messages = sim.n_messages;
  quota_sim_close (&sim);
}

static void
report (const char *way, const scenario_t *scenario, const result_t *result)
{
  quota_sim_t sim = { .rate = scenario->rate, .burst = scenario->burst, .runs = result->runs };

  sim.limits = (anvil_dispatcher_limits_t){ .quota_window = 5 * ANVIL_SECOND,
                                            .quota_overage = 0.1,
                                            .quota_slack = 20 };
  printf ("  %-22s %5u of %6.0f %8u refused %7u wrongly %8.1f messages/s\n", way,
          quota_sim_most_runs (&sim, 0), quota_sim_bound (&sim), result->n_refused, result->n_wrong,
          (gdouble) result->n_messages / DURATION_S);
}

static void
compare (const scenario_t *scenario)
{
  static const char *const ways[] = { "counter and loans", "equal shares", "reports, 100 ms" };

  printf ("%s (rate %.0f, burst %.0f); most runs in 5 s, of those allowed:\n", scenario->name,
          scenario->rate, scenario->burst);
  for (guint i = 0; i < G_N_ELEMENTS (ways); i++)
    {
      result_t result = { .runs = g_array_new (FALSE, FALSE, sizeof (anvil_time_t)) };

      if (i == 0)
        run_counter (scenario, &result);
      else
        run_local (scenario, i == 2, &result);
      report (ways[i], scenario, &result);
      g_array_unref (result.runs);
    }
}

static void
ignore_task (void *context, const anvil_task_t *task)
{
}

static void
ignore_refusal (void *context, anvil_task_id_t id, const anvil_task_refusal_info_t *refused)
{
}

static void
ignore_quota_refusal (void *context,
                      anvil_str_t tenant,
                      anvil_task_id_t id,
                      const anvil_task_refusal_info_t *refused)
{
}

static gdouble
elapsed_ns (gint64 since)
{
  return (gdouble) (g_get_monotonic_time () - since) * 1000;
}

static anvil_routes_t *
new_routes (guint n_tenants)
{
  anvil_routes_t *routes = anvil_routes_new (1);

  for (guint i = 0; i < n_tenants; i++)
    {
      anvil_tenant_t *tenant = anvil_routes_add_tenant (routes);

      tenant->name = g_strdup_printf ("tenant-%05u", i);
      tenant->rate = 100;
      tenant->burst = 100;
    }
  return routes;
}

/* Memory and time of a counter. */
static void
measure_counter (const anvil_dispatcher_limits_t *limits, const anvil_routes_t *routes)
{
  gsize before = mallinfo2 ().uordblks;
  anvil_quota_counter_t *counter = anvil_quota_counter_new (limits);
  gsize with_limits;
  gint64 since;

  anvil_quota_counter_set_tenants (counter, 1, routes);
  with_limits = mallinfo2 ().uordblks;
  anvil_quota_counter_hold (counter, 1, 0, TRUE);
  anvil_quota_counter_tick (counter, 1);
  since = g_get_monotonic_time ();
  for (guint i = 0; i < N_CALLS; i++)
    {
      const anvil_quota_want_t want
          = { .tenant = anvil_str (anvil_routes_tenant_at (routes, i % N_TENANTS)->name),
              .waiting = 1 };
      anvil_quota_lent_t lent;

      anvil_quota_counter_lend (counter, 1 + i / 10, 7, &want, &lent);
    }
  printf ("counter: %.0f ns a request of a tenant\n", elapsed_ns (since) / N_CALLS);
  printf ("counter: %.0f bytes for the limit of a tenant, %.0f for its bucket\n",
          (gdouble) (with_limits - before) / N_TENANTS,
          (gdouble) (mallinfo2 ().uordblks - with_limits) / N_TENANTS);
  since = g_get_monotonic_time ();
  for (guint i = 0; i < 100; i++)
    anvil_quota_counter_set_tenants (counter, 200000 + i, routes);
  printf ("counter: %.0f ns a tenant for a configuration\n", elapsed_ns (since) / 100 / N_TENANTS);
  anvil_quota_counter_drop (counter);
}

/* Memory and time of a holder. */
static void
measure_holder (const anvil_dispatcher_limits_t *limits, const anvil_routes_t *routes)
{
  const anvil_quota_loans_callbacks_t callbacks
      = { .submit = ignore_task, .refuse = ignore_quota_refusal };
  const anvil_quota_limit_t limit = { .rate = 1e6, .burst = 1e6 };
  gsize before = mallinfo2 ().uordblks;
  anvil_quota_loans_t *loans = anvil_quota_loans_new (&callbacks, NULL);
  gint64 since = g_get_monotonic_time ();

  anvil_quota_loans_set_window (loans, limits->quota_window);
  for (guint i = 0; i < N_CALLS; i++)
    {
      const anvil_str_t name = anvil_str (anvil_routes_tenant_at (routes, i % N_TENANTS)->name);
      const anvil_task_t task = { .id = { .requester = 1, .number = i }, .tenant = name };
      const anvil_quota_lent_t lent = { .tenant = name, .lent = 300, .use_share = 1000 };

      if (i < N_TENANTS)
        anvil_quota_loans_lent (loans, 2, 1, &lent);
      anvil_quota_loans_take (loans, 3, &task, &limit);
      if (i < N_TENANTS)
        {
          anvil_quota_loans_lent (loans, 3, 3, &lent);
          continue;
        }
      anvil_quota_loans_granted (loans, task.id);
    }
  printf ("holder: %.0f ns a task\n", elapsed_ns (since) / N_CALLS);
  printf ("holder: %.0f bytes for a tenant in use\n",
          (gdouble) (mallinfo2 ().uordblks - before) / N_TENANTS);
  since = g_get_monotonic_time ();
  for (guint i = 0; i < 100; i++)
    anvil_quota_loans_tick (loans, 4);
  printf ("holder: %.0f ns a tenant in use for a tick, of which there are 20 a second\n",
          elapsed_ns (since) / 100 / N_TENANTS);
  anvil_quota_loans_drop (loans);
}

static void
ignore_grant (void *context, anvil_task_id_t id, const anvil_slot_grant_t *grant)
{
}

/* Time of the dispatcher for a task while tasks of many tenants wait. */
static void
measure_fairness (guint n_tenants)
{
  const anvil_dispatcher_limits_t limits = { .retry_window = 10 * ANVIL_SECOND };
  const anvil_dispatcher_callbacks_t callbacks
      = { .grant = ignore_grant, .refuse = ignore_refusal };
  const guint n_tasks = 5000;
  anvil_dispatcher_t *dispatcher = anvil_dispatcher_new (&limits, &callbacks, NULL);
  anvil_registered_upstream_t upstream = { .id = (char *) "u",
                                           .service = (char *) "photos",
                                           .zone = (char *) "west-a",
                                           .key = 5,
                                           .slots = 16 };
  gint64 since;

  anvil_dispatcher_update_upstream (dispatcher, 1, &upstream, anvil_str ("west"),
                                    ANVIL_REGISTRY_JOINED);
  since = g_get_monotonic_time ();
  for (guint i = 0; i < n_tasks; i++)
    {
      char *name = g_strdup_printf ("tenant-%u", i % MAX (n_tenants, 1));
      const anvil_run_report_t done = { .result = ANVIL_RUN_ANSWERED, .duration = 20 * ANVIL_MS };
      anvil_task_t task = { .id = { .requester = 1, .number = i + 1 },
                            .service = anvil_str ("photos"),
                            .region = anvil_str ("west"),
                            .zone = anvil_str ("west-a"),
                            .attempt = 1,
                            .target = 1000 * ANVIL_SECOND,
                            .deadline = 2000 * ANVIL_SECOND };

      if (n_tenants > 0)
        task.tenant = anvil_str (name);
      anvil_dispatcher_submit (dispatcher, 2, &task);
      if (i > n_tasks / 2)
        anvil_dispatcher_run_finished (
            dispatcher, 3, (anvil_task_id_t){ .requester = 1, .number = i - n_tasks / 2 }, &done);
      g_free (name);
    }
  printf ("dispatcher: %.1f us a task with %u tenants, up to %u tasks waiting\n",
          elapsed_ns (since) / n_tasks / 1000, n_tenants, n_tasks / 2);
  anvil_dispatcher_drop (dispatcher);
}

int
main (void)
{
  const anvil_dispatcher_limits_t limits
      = { .quota_window = 5 * ANVIL_SECOND, .quota_overage = 0.1, .quota_slack = 20 };
  anvil_routes_t *routes = new_routes (N_TENANTS);

  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    compare (&scenarios[i]);
  measure_counter (&limits, routes);
  measure_holder (&limits, routes);
  measure_fairness (0);
  measure_fairness (10);
  measure_fairness (86);
  measure_fairness (1000);
  anvil_routes_drop (routes);
  return EXIT_SUCCESS;
}
