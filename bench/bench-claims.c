/*
 * Measures the latency that claims of idempotency keys add to requests, and the load on the store.
 *
 * Runs in virtual time: Poisson arrivals of unused keys at one entry, a store that answers after a
 * fixed round trip, requests that run for a fixed time.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "anvil/claims.h"

#define DURATION (120 * ANVIL_SECOND)
#define RUN_TIME (60 * ANVIL_MS)
#define DEADLINE_DELAY (2 * ANVIL_SECOND)
#define MAX_REQUESTS 100000

typedef struct
{
  anvil_time_t now;
  anvil_time_t round_trip;
  anvil_time_t commit_done_at;
  guint64 commits;
  guint64 rows;
  guint64 n_requests;
  guint64 n_runs;
  guint64 n_refused;
  guint64 next_finished;
  anvil_time_t submitted[MAX_REQUESTS];
  anvil_time_t finish_at[MAX_REQUESTS];
  guint64 ids[MAX_REQUESTS];
  anvil_time_t added_latency[MAX_REQUESTS];
  anvil_claims_t *claims;
} bench_t;

static bench_t bench;

static void
on_commit (void *unused_context,
           const anvil_row_t *unused_conditions,
           guint unused_n,
           const anvil_row_t *unused_writes,
           guint n_writes)
{
  bench.commits++;
  bench.rows += n_writes;
  bench.commit_done_at = bench.now + bench.round_trip;
}

static void
on_read (void *unused_context, const char *unused_prefix)
{
  g_assert_not_reached ();
}

static void
on_decided (void *unused_context, guint64 id, anvil_claim_verdict_t verdict, gint unused_status)
{
  if (verdict != ANVIL_CLAIM_RUN)
    {
      bench.n_refused++;
      return;
    }
  bench.added_latency[bench.n_runs] = bench.now - bench.submitted[id];
  bench.finish_at[bench.n_runs] = bench.now + RUN_TIME;
  bench.ids[bench.n_runs] = id;
  bench.n_runs++;
}

static void
submit (void)
{
  guint64 id = bench.n_requests++;
  char *text = g_strdup_printf ("key-%" G_GUINT64_FORMAT, id);
  const anvil_claim_t claim = { .id = id,
                                .service = anvil_str ("rezervacie"),
                                .key = anvil_str (text),
                                .deadline = bench.now + DEADLINE_DELAY };

  bench.submitted[id] = bench.now;
  anvil_claims_submit (bench.claims, bench.now, &claim);
  g_free (text);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const anvil_time_t *left = a;
  const anvil_time_t *right = b;

  return (*left > *right) - (*left < *right);
}

static void
run_simulation (GRand *random, gdouble per_s)
{
  anvil_time_t next_arrival = 0;

  while (bench.now < DURATION && bench.n_requests < MAX_REQUESTS)
    {
      anvil_time_t end
          = bench.next_finished < bench.n_runs ? bench.finish_at[bench.next_finished] : G_MAXINT64;
      anvil_time_t due = anvil_claims_next_tick (bench.claims);

      bench.now = MAX (bench.now, MIN (MIN (next_arrival, bench.commit_done_at), MIN (end, due)));
      if (bench.now >= bench.commit_done_at)
        {
          bench.commit_done_at = G_MAXINT64;
          anvil_claims_commit_finished (bench.claims, bench.now, ANVIL_COMMIT_DONE);
        }
      else if (bench.now >= end)
        anvil_claims_finished (bench.claims, bench.now, bench.ids[bench.next_finished++],
                               ANVIL_CLAIM_OUTCOME_ANSWERED, 200);
      else if (bench.now >= next_arrival)
        {
          submit ();
          next_arrival += (anvil_time_t) (-log (1 - g_rand_double (random)) / per_s
                                          * (gdouble) ANVIL_SECOND);
        }
      else
        anvil_claims_tick (bench.claims, bench.now);
    }
}

static void
measure (anvil_time_t round_trip, anvil_time_t interval, gdouble per_s)
{
  const anvil_claims_callbacks_t callbacks
      = { .commit = on_commit, .read = on_read, .decided = on_decided };
  const anvil_claims_options_t options
      = { .node = 1, .incarnation = 1, .commit_interval = interval };
  GRand *random = g_rand_new_with_seed (1);
  gdouble sum = 0;
  guint64 p99;

  bench = (bench_t){ .round_trip = round_trip, .commit_done_at = G_MAXINT64 };
  bench.claims = anvil_claims_new (&options, &callbacks, NULL);
  run_simulation (random, per_s);
  for (guint64 i = 0; i < bench.n_runs; i++)
    sum += (gdouble) bench.added_latency[i];
  qsort (bench.added_latency, bench.n_runs, sizeof *bench.added_latency, compare_times);
  p99 = bench.n_runs * 99 / 100;
  printf ("%8.0f %9.0f %8.0f %9.1f %9.1f %9.1f %9.1f %9" G_GUINT64_FORMAT "\n",
          (gdouble) round_trip / ANVIL_MS, (gdouble) interval / ANVIL_MS, per_s,
          sum / (gdouble) MAX (bench.n_runs, 1) / ANVIL_MS,
          (gdouble) bench.added_latency[p99] / ANVIL_MS,
          (gdouble) bench.commits * ANVIL_SECOND / (gdouble) bench.now,
          (gdouble) bench.rows / (gdouble) MAX (bench.commits, 1), bench.n_refused);
  anvil_claims_drop (bench.claims);
  g_rand_free (random);
}

int
main (void)
{
  static const anvil_time_t round_trips[] = { 2 * ANVIL_MS, 40 * ANVIL_MS, 70 * ANVIL_MS };
  static const anvil_time_t intervals[] = { 10 * ANVIL_MS, 50 * ANVIL_MS, 200 * ANVIL_MS };
  static const gdouble rates[] = { 5, 50, 200 };

  printf ("%8s %9s %8s %9s %9s %9s %9s %9s\n", "trip ms", "interval", "req/s", "mean ms", "p99 ms",
          "commits/s", "rows", "refused");
  for (guint i = 0; i < G_N_ELEMENTS (round_trips); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (intervals); j++)
        {
          for (guint k = 0; k < G_N_ELEMENTS (rates); k++)
            measure (round_trips[i], intervals[j], rates[k]);
        }
    }
  return EXIT_SUCCESS;
}
