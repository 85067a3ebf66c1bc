#include "claims-task.h"

/* Time-out of a claim. The request is then refused as not run. */
#define CLAIM_TIMEOUT (2 * ANVIL_SECOND)
/* How long the record of a key is kept. */
#define RETENTION_S ((gint64) 24 * 60 * 60)

struct anvil_claims_task
{
  anvil_claims_task_options_t options;
  anvil_claims_t *claims;
  anvil_claims_decided_cb_t decided;
  void *context;
  struct event *timer;
};

/* A read of the table that is in progress. */
typedef struct
{
  anvil_claims_task_t *task;
  char *prefix;
} rows_read_t;

static void
schedule_tick (anvil_claims_task_t *task)
{
  anvil_time_t next_tick = anvil_claims_next_tick (task->claims);
  anvil_time_t delay = MAX (next_tick - anvil_clock_now (), 0);
  struct timeval timeout = { .tv_sec = delay / ANVIL_SECOND, .tv_usec = delay % ANVIL_SECOND };

  if (next_tick == G_MAXINT64)
    evtimer_del (task->timer);
  else
    evtimer_add (task->timer, &timeout);
}

static void
on_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  anvil_claims_task_t *task = data;

  anvil_claims_tick (task->claims, anvil_clock_now ());
  schedule_tick (task);
}

static void
on_committed (void *context, anvil_commit_result_t result, const GError *error)
{
  anvil_claims_task_t *task = context;

  if (result != ANVIL_COMMIT_DONE && result != ANVIL_COMMIT_CONFLICT)
    anvil_metrics_add_counter (task->options.metrics, "anvil_platform_failures_total",
                               "call=\"claims\"", 1);
  anvil_claims_commit_finished (task->claims, anvil_clock_now (), result);
  schedule_tick (task);
}

static void
commit (void *context,
        const anvil_row_t *conditions,
        guint n_conditions,
        const anvil_row_t *writes,
        guint n_writes)
{
  anvil_claims_task_t *task = context;

  anvil_metrics_add_counter (task->options.metrics, "anvil_claim_commits_total", NULL, 1);
  anvil_metrics_add_counter (task->options.metrics, "anvil_claim_rows_total", NULL, n_writes);
  anvil_platform_commit (task->options.platform, conditions, n_conditions, writes, n_writes,
                         on_committed, task);
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  rows_read_t *read = context;
  anvil_claims_task_t *task = read->task;

  anvil_claims_read_finished (task->claims, anvil_clock_now (), read->prefix, rows, n_rows,
                              error != NULL);
  schedule_tick (task);
  g_free (read->prefix);
  g_free (read);
}

static void
read_rows (void *context, const char *prefix)
{
  anvil_claims_task_t *task = context;
  rows_read_t *read = g_new0 (rows_read_t, 1);

  read->task = task;
  read->prefix = g_strdup (prefix);
  anvil_platform_read_rows (task->options.platform, prefix, on_rows, read);
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

  anvil_metrics_add_counter (task->options.metrics, "anvil_claims_total", labels[verdict], 1);
  task->decided (task->context, id, verdict, status);
}

anvil_claims_task_t *
anvil_claims_task_new (const anvil_claims_task_options_t *options,
                       anvil_claims_decided_cb_t decided,
                       void *context)
{
  const anvil_claims_callbacks_t callbacks
      = { .commit = commit, .read = read_rows, .decided = on_decided };
  const anvil_claims_options_t claims_options = { .node = options->node,
                                                  .incarnation = options->incarnation,
                                                  .commit_interval = ANVIL_CLAIMS_COMMIT_INTERVAL };
  anvil_claims_task_t *task = g_new0 (anvil_claims_task_t, 1);

  task->options = *options;
  task->decided = decided;
  task->context = context;
  task->timer = evtimer_new (options->base, on_timer, task);
  task->claims = anvil_claims_new (&claims_options, &callbacks, task);
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
    .deadline = MIN (deadline, now + CLAIM_TIMEOUT),
    .expires_at_s = anvil_clock_wall () / ANVIL_SECOND + RETENTION_S,
  };

  anvil_claims_submit (task->claims, now, &claim);
  schedule_tick (task);
}

void
anvil_claims_task_cancel (anvil_claims_task_t *task, guint64 id)
{
  anvil_claims_cancel (task->claims, anvil_clock_now (), id);
  schedule_tick (task);
}

void
anvil_claims_task_finished (anvil_claims_task_t *task,
                            guint64 id,
                            anvil_claim_outcome_t outcome,
                            gint status)
{
  anvil_claims_finished (task->claims, anvil_clock_now (), id, outcome, status);
  schedule_tick (task);
}

guint
anvil_claims_task_pending (const anvil_claims_task_t *task)
{
  return anvil_claims_pending (task->claims);
}
