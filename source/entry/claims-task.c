#include "claims-task.h"

/* Longest wait for a claim; the request is then refused as not run. */
#define MAX_WAIT (2 * ANVIL_SECOND)
/* How long a key is remembered. */
#define KEEP_S ((gint64) 24 * 60 * 60)

struct anvil_claims_task
{
  anvil_claims_task_parts_t parts;
  anvil_claims_t *claims;
  anvil_claims_decided_cb_t decided;
  void *context;
  struct event *timer;
};

/* A read under way. */
typedef struct
{
  anvil_claims_task_t *task;
  char *prefix;
} read_t;

static void
arm (anvil_claims_task_t *task)
{
  anvil_time_t due = anvil_claims_next_tick (task->claims);
  anvil_time_t wait = MAX (due - anvil_clock_now (), 0);
  struct timeval time = { .tv_sec = wait / ANVIL_SECOND, .tv_usec = wait % ANVIL_SECOND };

  if (due == G_MAXINT64)
    evtimer_del (task->timer);
  else
    evtimer_add (task->timer, &time);
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_claims_task_t *task = data;

  anvil_claims_tick (task->claims, anvil_clock_now ());
  arm (task);
}

static void
on_committed (void *context, anvil_commit_result_t result, const GError *error)
{
  anvil_claims_task_t *task = context;

  if (result != ANVIL_COMMIT_DONE && result != ANVIL_COMMIT_CONFLICT)
    anvil_metrics_add_counter (task->parts.counters, "anvil_platform_failures_total",
                               "call=\"claims\"", 1);
  anvil_claims_commit_finished (task->claims, anvil_clock_now (), result);
  arm (task);
}

static void
commit (void *context,
        const anvil_row_t *conditions,
        guint n_conditions,
        const anvil_row_t *writes,
        guint n_writes)
{
  anvil_claims_task_t *task = context;

  anvil_metrics_add_counter (task->parts.counters, "anvil_claim_commits_total", NULL, 1);
  anvil_metrics_add_counter (task->parts.counters, "anvil_claim_rows_total", NULL, n_writes);
  anvil_platform_commit (task->parts.platform, conditions, n_conditions, writes, n_writes,
                         on_committed, task);
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  read_t *read = context;
  anvil_claims_task_t *task = read->task;

  anvil_claims_read_finished (task->claims, anvil_clock_now (), read->prefix, rows, n_rows,
                              error != NULL);
  arm (task);
  g_free (read->prefix);
  g_free (read);
}

static void
read_back (void *context, const char *prefix)
{
  anvil_claims_task_t *task = context;
  read_t *read = g_new0 (read_t, 1);

  read->task = task;
  read->prefix = g_strdup (prefix);
  anvil_platform_read_rows (task->parts.platform, prefix, on_rows, read);
}

static void
on_decided (void *context, guint64 id, anvil_claim_verdict_t verdict, gint status)
{
  static const char *const labels[] = {
    [ANVIL_CLAIM_RUN] = "verdict=\"run\"",
    [ANVIL_CLAIM_RECORDED] = "verdict=\"recorded\"",
    [ANVIL_CLAIM_UNKNOWN] = "verdict=\"unknown\"",
    [ANVIL_CLAIM_UNAVAILABLE] = "verdict=\"unavailable\"",
  };
  anvil_claims_task_t *task = context;

  anvil_metrics_add_counter (task->parts.counters, "anvil_claims_total", labels[verdict], 1);
  task->decided (task->context, id, verdict, status);
}

anvil_claims_task_t *
anvil_claims_task_new (const anvil_claims_task_parts_t *parts,
                       anvil_claims_decided_cb_t decided,
                       void *context)
{
  const anvil_claims_callbacks_t actions
      = { .commit = commit, .read = read_back, .decided = on_decided };
  const anvil_claims_options_t options = { .node = parts->node,
                                           .incarnation = parts->incarnation,
                                           .commit_interval = ANVIL_CLAIMS_COMMIT_INTERVAL };
  anvil_claims_task_t *task = g_new0 (anvil_claims_task_t, 1);

  task->parts = *parts;
  task->decided = decided;
  task->context = context;
  task->timer = evtimer_new (parts->base, on_timer, task);
  task->claims = anvil_claims_new (&options, &actions, task);
  return task;
}

void
anvil_claims_task_drop (anvil_claims_task_t *task)
{
  if (task == NULL)
    return;
  event_free (task->timer);
  anvil_claims_drop (task->claims);
  g_free (task);
}

void
anvil_claims_task_submit (anvil_claims_task_t *task,
                          guint64 id,
                          anvil_str_t service,
                          anvil_str_t key,
                          anvil_time_t deadline)
{
  anvil_time_t now = anvil_clock_now ();
  const anvil_claim_t claim = {
    .id = id,
    .service = service,
    .key = key,
    .deadline = MIN (deadline, now + MAX_WAIT),
    .expires_at_s = anvil_clock_wall () / ANVIL_SECOND + KEEP_S,
  };

  anvil_claims_submit (task->claims, now, &claim);
  arm (task);
}

void
anvil_claims_task_cancel (anvil_claims_task_t *task, guint64 id)
{
  anvil_claims_cancel (task->claims, anvil_clock_now (), id);
  arm (task);
}

void
anvil_claims_task_finished (anvil_claims_task_t *task,
                            guint64 id,
                            anvil_claim_outcome_t end,
                            gint status)
{
  anvil_claims_finished (task->claims, anvil_clock_now (), id, end, status);
  arm (task);
}

guint
anvil_claims_task_busy (const anvil_claims_task_t *task)
{
  return anvil_claims_pending (task->claims);
}
