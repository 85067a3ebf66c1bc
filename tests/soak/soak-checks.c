/* Checks the platform's guarantees by the outcomes at callers and the runs on upstreams. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "anvil/clock.h"
#include "soak.h"

/* Longest time until no entry dispatches to a draining upstream, by the platform's contract. */
#define MAX_DRAIN_DELAY (2500 * ANVIL_MS)
/* Time after the begin or end of a fault in which the contract allows for its effects. */
#define FAULT_EFFECT_TIME (4 * ANVIL_SECOND)
/* From this time after the last fault on, requests must be answered again. */
#define RECOVERY_S 5
#define MAX_VIOLATIONS_PRINTED 5

static void
report_violation (soak_t *soak,
                  const char *guarantee,
                  const soak_request_t *request,
                  const char *detail)
{
  if (soak->n_violations++ < MAX_VIOLATIONS_PRINTED)
    printf ("BROKEN %s: request %s to entry %u at %.3f, status %u: %s\n", guarantee, request->id,
            request->entry, (gdouble) request->sent_at / (gdouble) ANVIL_SECOND, request->status,
            detail);
}

/**
 * run_counts_t - runs of requests on all upstreams
 * @runs: request id to number of runs
 */
typedef struct
{
  soak_t *soak;
  GHashTable *runs;
} run_counts_t;

/* Whether no fault began or ended between FAULT_EFFECT_TIME before @from and @to. */
static gboolean
without_faults (const GArray *fault_times, gint64 from, gint64 to)
{
  for (guint i = 0; i < fault_times->len; i++)
    {
      gint64 at = g_array_index (fault_times, gint64, i);

      if (at > from - FAULT_EFFECT_TIME && at < to)
        return FALSE;
    }
  return TRUE;
}

static const soak_request_t *
find_request (const soak_t *soak, const char *id)
{
  const GPtrArray *requests = soak_callers_requests (soak->callers);
  const char *number = strrchr (id, '-');
  guint index = number != NULL ? (guint) atoi (number + 1) : G_MAXUINT;

  return index < requests->len ? requests->pdata[index] : NULL;
}

/* A request may run on an upstream that drains only if its entry or the store had a fault. */
static void
check_run_after_drain (soak_t *soak, const char *id, gint64 draining_at, gint64 at)
{
  const soak_request_t *request = find_request (soak, id);

  if (request == NULL || at <= draining_at + MAX_DRAIN_DELAY
      || !without_faults (soak->entries[request->entry].fault_times, draining_at, at)
      || !without_faults (soak->store_fault_times, draining_at, at))
    return;
  report_violation (soak, "drain", request, "its upstream had drained for more than 2.5 s");
}

/* Time in which the runs of a limited upstream are counted. */
#define LIMIT_WINDOW (4 * ANVIL_SECOND)

/**
 * limit_check_t - the request limit of an upstream while its log is read
 * @per_second: requests a second, negative if it names none
 * @named_at: since when
 * @times: runs since then that count, oldest first
 */
typedef struct
{
  gdouble per_second;
  gint64 named_at;
  GArray *times;
} limit_check_t;

/* Runs before a change of the limit don't count: it starts a new time to learn of it. */
static void
set_limit (limit_check_t *check, gint64 at, const char *value)
{
  gboolean names = strcmp (value, "-") != 0;

  check->per_second = names ? g_ascii_strtod (value, NULL) : -1;
  check->named_at = at;
  g_array_set_size (check->times, 0);
}

/* Runs count from the time on at which every entry must know of the limit, unless their entry had a
 * fault. */
static void
check_limit (soak_t *soak, limit_check_t *check, const char *id, gint64 at)
{
  const soak_request_t *request = find_request (soak, id);

  if (request == NULL || check->per_second < 0 || at < check->named_at + FAULT_EFFECT_TIME
      || !without_faults (soak->entries[request->entry].fault_times, at, at))
    return;
  g_array_append_val (check->times, at);
  while (at - g_array_index (check->times, gint64, 0) > LIMIT_WINDOW)
    g_array_remove_index (check->times, 0);
  if (check->times->len > 1.5 * check->per_second * 4 + 5)
    report_violation (soak, "request limit", request, "more runs in 4 s than its upstream takes");
}

/* Reads the log of runs of an upstream: lines of an event, its time and a request's id. */
static void
read_runs (run_counts_t *counts, const node_t *node)
{
  char *text = NULL;
  char **lines;
  gint64 draining_at = 0;
  limit_check_t limit = { .per_second = -1, .times = g_array_new (FALSE, FALSE, sizeof (gint64)) };

  if (!g_file_get_contents (node->runs_path, &text, NULL, NULL))
    {
      g_array_unref (limit.times);
      return;
    }
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char **fields = g_strsplit (lines[i], " ", 3);
      gint64 at = g_ascii_strtoll (fields[1], NULL, 10);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts->runs, fields[2]));

      if (strcmp (fields[0], "draining") == 0)
        draining_at = at;
      else if (strcmp (fields[0], "start") == 0)
        {
          draining_at = 0;
          set_limit (&limit, at, "-");
        }
      else if (strcmp (fields[0], "limit") == 0)
        set_limit (&limit, at, fields[2]);
      else
        {
          g_hash_table_insert (counts->runs, g_strdup (fields[2]), GUINT_TO_POINTER (count + 1));
          if (draining_at > 0)
            check_run_after_drain (counts->soak, fields[2], draining_at, at);
          check_limit (counts->soak, &limit, fields[2], at);
        }
      g_strfreev (fields);
    }
  g_strfreev (lines);
  g_free (text);
  g_array_unref (limit.times);
}

void
soak_check_requests (soak_t *soak, gint64 faults_ended_at)
{
  run_counts_t run_counts
      = { .soak = soak, .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  const GPtrArray *requests = soak_callers_requests (soak->callers);
  guint counts[SOAK_INVALID + 1] = { 0 };
  guint n_recovered_requests = 0;
  guint n_recovered_answered = 0;

  for (guint i = 0; i < soak->n_upstreams; i++)
    read_runs (&run_counts, &soak->upstreams[i]);
  for (guint i = 0; i < requests->len; i++)
    {
      const soak_request_t *request = requests->pdata[i];
      guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (run_counts.runs, request->id));

      counts[request->outcome]++;
      if (request->outcome == SOAK_INVALID)
        report_violation (soak, "whole and own answers", request, request->detail);
      if (!request->idempotent && runs > 1)
        report_violation (soak, "at most once", request, "it ran more than once");
      if (request->outcome == SOAK_REFUSED && runs > 0)
        report_violation (soak, "refused means not run", request, "it has run");
      if (request->outcome == SOAK_ANSWERED && runs == 0)
        report_violation (soak, "answers come from upstreams", request, "it never ran");
      if (request->outcome == SOAK_PENDING)
        report_violation (soak, "every request ends", request, "no answer");
      if (request->sent_at > faults_ended_at + RECOVERY_S * ANVIL_SECOND)
        {
          n_recovered_requests++;
          n_recovered_answered += request->outcome == SOAK_ANSWERED;
        }
    }
  if (n_recovered_requests == 0 || n_recovered_answered * 100 < n_recovered_requests * 99)
    {
      soak->n_violations++;
      printf ("BROKEN recovery: %u of %u answered from %d s after the last fault on\n",
              n_recovered_answered, n_recovered_requests, RECOVERY_S);
    }
  printf ("requests=%u answered=%u refused=%u unknown=%u wrong=%u pending=%u faults=%u calm=%u/%u "
          "broken=%u\n",
          requests->len, counts[SOAK_ANSWERED], counts[SOAK_REFUSED], counts[SOAK_UNKNOWN],
          counts[SOAK_INVALID], counts[SOAK_PENDING], soak->n_faults, n_recovered_answered,
          n_recovered_requests, soak->n_violations);
  g_hash_table_unref (run_counts.runs);
}
