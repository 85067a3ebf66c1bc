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
/* Of each guarantee. */
#define MAX_VIOLATIONS_PRINTED 5

static void
report_violation (soak_t *soak,
                  const char *guarantee,
                  const soak_request_t *request,
                  const char *detail)
{
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (soak->violations, guarantee));

  soak->n_violations++;
  g_hash_table_insert (soak->violations, (gpointer) guarantee, GUINT_TO_POINTER (n + 1));
  if (n < MAX_VIOLATIONS_PRINTED)
    printf ("BROKEN %s: request %s to entry %u at %.3f, status %u: %s\n", guarantee, request->id,
            request->entry, (gdouble) request->sent_at / (gdouble) ANVIL_SECOND, request->status,
            detail);
}

/**
 * run_counts_t - what upstreams logged of requests
 * @runs: soak_request_t to number of its runs
 * @leaving: arrays of when an entry passed on responses of an upstream that says that it leaves, by
 * entry and id of the upstream (leaving_key())
 * @n_copies: copies of refusals that upstreams wrote
 * @n_pauses: refusals that asked for a pause
 */
typedef struct
{
  soak_t *soak;
  GHashTable *runs;
  GHashTable *leaving;
  guint n_copies;
  guint n_pauses;
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

/* A request may run on an upstream that drains only if its entry or the store had a fault. */
static void
check_run_after_drain (soak_t *soak, const soak_request_t *request, gint64 draining_at, gint64 at)
{
  if (at <= draining_at + MAX_DRAIN_DELAY
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
check_limit (soak_t *soak, limit_check_t *check, const soak_request_t *request, gint64 at)
{
  if (check->per_second < 0 || at < check->named_at + FAULT_EFFECT_TIME
      || !without_faults (soak->entries[request->entry].fault_times, at, at))
    return;
  g_array_append_val (check->times, at);
  while (at - g_array_index (check->times, gint64, 0) > LIMIT_WINDOW)
    g_array_remove_index (check->times, 0);
  if (check->times->len > 1.5 * check->per_second * 4 + 5)
    report_violation (soak, "request limit", request, "more runs in 4 s than its upstream takes");
}

static char *
leaving_key (guint entry, const char *upstream_id)
{
  return g_strdup_printf ("%u %s", entry, upstream_id);
}

static void
note_leaving (run_counts_t *counts, const soak_request_t *request)
{
  char *key = leaving_key (request->entry, request->leaving_id);
  GArray *times = g_hash_table_lookup (counts->leaving, key);

  if (times == NULL)
    {
      times = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_hash_table_insert (counts->leaving, g_strdup (key), times);
    }
  g_array_append_val (times, request->ended_at);
  g_free (key);
}

/* Whether a fault of a node was active, or began or ended, between two times. Its times are pairs
 * of a begin and an end. */
static gboolean
had_fault (const GArray *fault_times, gint64 from, gint64 to)
{
  for (guint i = 0; i < fault_times->len; i += 2)
    {
      if (g_array_index (fault_times, gint64, i) < to
          && (i + 1 == fault_times->len || g_array_index (fault_times, gint64, i + 1) > from))
        return TRUE;
    }
  return FALSE;
}

static gboolean
had_reset (const node_t *upstream, gint64 from, gint64 to)
{
  for (guint i = 0; i < upstream->reset_times->len; i++)
    {
      gint64 at = g_array_index (upstream->reset_times, gint64, i);

      if (at >= from && at <= to)
        return TRUE;
    }
  return FALSE;
}

/* A request that was sent 2.5 s after its entry had passed on that the upstream leaves may arrive
 * there only if the entry was stopped or restarted since then. */
static void
check_leaving (run_counts_t *counts,
               const soak_request_t *request,
               const char *upstream_id,
               gint64 at)
{
  char *key = leaving_key (request->entry, upstream_id);
  const GArray *times = g_hash_table_lookup (counts->leaving, key);

  g_free (key);
  for (guint i = 0; times != NULL && i < times->len; i++)
    {
      gint64 passed_at = g_array_index (times, gint64, i);

      if (request->sent_at <= passed_at + MAX_DRAIN_DELAY
          || had_fault (counts->soak->entries[request->entry].fault_times, passed_at, at))
        continue;
      report_violation (counts->soak, "leaving", request,
                        "its entry had passed on 2.5 s before that its upstream leaves");
      return;
    }
}

/* Requests of an entry may arrive for so long after a refusal that asks it for a pause. */
#define PAUSE_LEARN_TIME (500 * ANVIL_MS)
#define MAX_ARRIVALS_IN_PAUSE 2
/* Longest time for which a proxy delays data, also when that fault has ended. */
#define MAX_PROXY_DELAY (400 * ANVIL_MS)

/**
 * pause_t - a pause that an upstream has asked an entry for
 * @n_arrived: requests of the entry that have arrived in it
 */
typedef struct
{
  guint entry;
  gint64 asked_at;
  gint64 until;
  guint n_arrived;
} pause_t;

/* Faults of the upstream and its connections excuse too: the refusal may have been lost, or the
 * request sent long before it is read. */
static gboolean
pause_is_excused (const soak_t *soak, const node_t *upstream, const pause_t *pause, gint64 at)
{
  const gint64 from = pause->asked_at - MAX_PROXY_DELAY;

  return had_fault (soak->entries[pause->entry].fault_times, pause->asked_at, at)
         || had_fault (upstream->fault_times, from, at) || had_reset (upstream, from, at);
}

static void
check_pauses (
    soak_t *soak, GArray *pauses, const node_t *upstream, const soak_request_t *request, gint64 at)
{
  for (guint i = 0; i < pauses->len; i++)
    {
      pause_t *pause = &g_array_index (pauses, pause_t, i);

      if (pause->entry == request->entry && at > pause->asked_at + PAUSE_LEARN_TIME
          && at < pause->until && !pause_is_excused (soak, upstream, pause, at)
          && ++pause->n_arrived == MAX_ARRIVALS_IN_PAUSE + 1)
        report_violation (soak, "pause", request,
                          "more than two arrived in a pause that their upstream asked for");
    }
}

/**
 * log_t - the log of an upstream while it is read
 * @id: id of the process that wrote the line
 * @draining_at: when the store had accepted that it drains, 0 if it doesn't
 * @pause: how long a pause it asks for
 * @pauses: pause_t that it has asked for
 */
typedef struct
{
  const node_t *node;
  char *id;
  gint64 draining_at;
  limit_check_t limit;
  gint64 pause;
  GArray *pauses;
} log_t;

static void
read_start (log_t *log, gint64 at, const char *id)
{
  g_free (log->id);
  log->id = g_strdup (id);
  log->draining_at = 0;
  set_limit (&log->limit, at, "-");
  log->pause = 0;
  g_array_set_size (log->pauses, 0);
}

/* Reads an event of a request that a caller sent. */
static void
read_request_event (
    run_counts_t *counts, log_t *log, const char *event, gint64 at, const soak_request_t *request)
{
  guint n_runs = GPOINTER_TO_UINT (g_hash_table_lookup (counts->runs, request));

  if (strcmp (event, "run") == 0)
    {
      g_hash_table_insert (counts->runs, (gpointer) request, GUINT_TO_POINTER (n_runs + 1));
      if (log->draining_at > 0)
        check_run_after_drain (counts->soak, request, log->draining_at, at);
      check_limit (counts->soak, &log->limit, request, at);
    }
  else if (strcmp (event, "arrived") == 0)
    {
      check_leaving (counts, request, log->id, at);
      check_pauses (counts->soak, log->pauses, log->node, request, at);
    }
  else if (strcmp (event, "refused") == 0)
    {
      pause_t pause = { .entry = request->entry, .asked_at = at, .until = at + log->pause };

      counts->n_pauses++;
      g_array_append_val (log->pauses, pause);
    }
  else if (strcmp (event, "copied") == 0)
    counts->n_copies++;
}

static void
read_event (run_counts_t *counts, log_t *log, const char *event, gint64 at, const char *text)
{
  const soak_request_t *request;

  if (strcmp (event, "start") == 0)
    read_start (log, at, text);
  else if (strcmp (event, "draining") == 0)
    log->draining_at = at;
  else if (strcmp (event, "limit") == 0)
    set_limit (&log->limit, at, text);
  else if (strcmp (event, "retry-after") == 0)
    log->pause = (gint64) (g_ascii_strtod (text, NULL) * ANVIL_SECOND);
  else if ((request = soak_callers_find (counts->soak->callers, text, at)) != NULL)
    read_request_event (counts, log, event, at, request);
}

/* Reads the log of an upstream: lines of an event, its time, and a request's id or another text. */
static void
read_log (run_counts_t *counts, const node_t *node)
{
  char *text = NULL;
  char **lines;
  log_t log = { .node = node,
                .limit = { .per_second = -1 },
                .pauses = g_array_new (FALSE, FALSE, sizeof (pause_t)) };

  if (!g_file_get_contents (node->runs_path, &text, NULL, NULL))
    text = g_strdup ("");
  log.limit.times = g_array_new (FALSE, FALSE, sizeof (gint64));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    {
      char **fields = g_strsplit (lines[i], " ", 3);

      read_event (counts, &log, fields[0], g_ascii_strtoll (fields[1], NULL, 10), fields[2]);
      g_strfreev (fields);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (log.id);
  g_array_unref (log.limit.times);
  g_array_unref (log.pauses);
}

static void
print_violations (const soak_t *soak)
{
  GHashTableIter iter;
  gpointer guarantee;
  gpointer n;

  g_hash_table_iter_init (&iter, soak->violations);
  while (g_hash_table_iter_next (&iter, &guarantee, &n))
    printf ("broken %u times: %s\n", GPOINTER_TO_UINT (n), (const char *) guarantee);
}

void
soak_check_requests (soak_t *soak, gint64 faults_ended_at)
{
  run_counts_t run_counts = { .soak = soak,
                              .runs = g_hash_table_new (NULL, NULL),
                              .leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                                (GDestroyNotify) g_array_unref) };
  const GPtrArray *requests = soak_callers_requests (soak->callers);
  guint counts[SOAK_INVALID + 1] = { 0 };
  guint n_recovered_requests = 0;
  guint n_recovered_answered = 0;

  guint n_repeats = 0;

  for (guint i = 0; i < requests->len; i++)
    {
      const soak_request_t *request = requests->pdata[i];

      n_repeats += request->repeat != NULL;
      if (request->leaving_id != NULL)
        note_leaving (&run_counts, request);
    }
  for (guint i = 0; i < soak->n_upstreams; i++)
    read_log (&run_counts, &soak->upstreams[i]);
  for (guint i = 0; i < requests->len; i++)
    {
      const soak_request_t *request = requests->pdata[i];
      guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (run_counts.runs, request));

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
  print_violations (soak);
  printf ("requests=%u answered=%u refused=%u unknown=%u wrong=%u pending=%u faults=%u calm=%u/%u "
          "repeats=%u copies=%u leaving=%u pauses=%u broken=%u\n",
          requests->len, counts[SOAK_ANSWERED], counts[SOAK_REFUSED], counts[SOAK_UNKNOWN],
          counts[SOAK_INVALID], counts[SOAK_PENDING], soak->n_faults, n_recovered_answered,
          n_recovered_requests, n_repeats, run_counts.n_copies,
          g_hash_table_size (run_counts.leaving), run_counts.n_pauses, soak->n_violations);
  g_hash_table_unref (run_counts.runs);
  g_hash_table_unref (run_counts.leaving);
}
