#include "tools/anvil-config-submit.h"

/* Delay before a step that got no response is retried. */
#define RETRY_DELAY (200 * ANVIL_MS)

/* Carries out the steps of a submission with the platform's client. */
typedef struct
{
  anvil_config_session_t *session;
  anvil_config_submission_t *submission;
  anvil_submit_t *submit;
  anvil_time_t deadline;
  gboolean ended;
} execution_t;

/* After a step that got no response: waits before it is retried, or gives up at the deadline. */
static void
delay_retry (execution_t *execution, const GError *error)
{
  if (error == NULL)
    return;
  if (anvil_clock_now () >= execution->deadline)
    anvil_submit_timed_out (execution->submit);
  else
    g_usleep ((gulong) RETRY_DELAY);
}

static void
on_stored (void *context, anvil_commit_result_t result, const GError *error)
{
  execution_t *execution = context;

  delay_retry (execution, error);
  anvil_submit_store_finished (execution->submit, result);
}

static void
put_object (void *context, const char *name)
{
  execution_t *execution = context;

  anvil_platform_put_object (execution->session->platform, name, execution->submission->file,
                             on_stored, execution);
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  execution_t *execution = context;

  delay_retry (execution, error);
  anvil_submit_read_finished (execution->submit, error == NULL, rows, n_rows);
}

static void
read_rows (void *context, const char *prefix)
{
  execution_t *execution = context;

  anvil_platform_read_rows (execution->session->platform, prefix, on_rows, execution);
}

static void
on_committed (void *context, anvil_commit_result_t result, const GError *error)
{
  execution_t *execution = context;

  anvil_submit_commit_finished (execution->submit, result);
}

static void
commit_rows (void *context, guint64 head_version, const char *history_key, const char *record)
{
  execution_t *execution = context;
  const anvil_row_t conditions[] = {
    { .key = anvil_str (ANVIL_HEAD_KEY), .version = head_version },
    { .key = anvil_str (history_key), .version = 0 },
  };
  const anvil_row_t writes[] = {
    { .key = anvil_str (ANVIL_HEAD_KEY), .value = anvil_str (record) },
    { .key = anvil_str (history_key), .value = anvil_str (record) },
  };

  anvil_platform_commit (execution->session->platform, conditions, G_N_ELEMENTS (conditions),
                         writes, G_N_ELEMENTS (writes), on_committed, execution);
}

static gboolean
same_seats (const anvil_config_t *a, const anvil_config_t *b)
{
  if (a->n_seats != b->n_seats)
    return FALSE;
  for (guint i = 0; i < a->n_seats; i++)
    {
      if (!anvil_str_equal (a->zones[a->seats[i].zone].name, b->zones[b->seats[i].zone].name))
        return FALSE;
    }
  return TRUE;
}

/*
 * Refuses a changed list of seats: while entries still use different files, they would not agree on
 * the witnesses of a seat.
 */
static anvil_submit_check_t
compare_seats (execution_t *execution, anvil_str_t text)
{
  anvil_config_t *old = anvil_config_load ("head", text, NULL);
  gboolean same = old != NULL && same_seats (old, execution->submission->config);

  if (old == NULL)
    execution->submission->refusal_reason = g_strdup ("the file in force is no longer valid");
  else if (!same)
    execution->submission->refusal_reason
        = g_strdup ("seats: the list differs from the file in force; seats can't be changed in a "
                    "running deployment");
  anvil_config_drop (old);
  return same ? ANVIL_SUBMIT_CHECK_ALLOWED : ANVIL_SUBMIT_CHECK_REFUSED;
}

static void
on_head_file (void *context, anvil_str_t body, const GError *error)
{
  execution_t *execution = context;

  delay_retry (execution, error);
  anvil_submit_check_finished (execution->submit, error != NULL ? ANVIL_SUBMIT_CHECK_UNKNOWN
                                                                : compare_seats (execution, body));
}

static void
check_head_file (void *context, const anvil_config_head_t *before)
{
  execution_t *execution = context;

  anvil_platform_get_object (execution->session->platform, before->object_name, on_head_file,
                             execution);
}

static void
on_ended (void *context, anvil_submit_result_t result, const anvil_config_head_t *committed)
{
  execution_t *execution = context;

  execution->submission->result = result;
  if (committed != NULL)
    execution->submission->committed_head = (anvil_config_head_t){
      .generation = committed->generation,
      .object_name = g_strdup (committed->object_name),
      .submission_id = g_strdup (committed->submission_id),
      .submitted_by = g_strdup (committed->submitted_by),
      .submitted_at = g_strdup (committed->submitted_at),
    };
  execution->ended = TRUE;
  event_base_loopbreak (execution->session->base);
}

void
anvil_config_run_submission (anvil_config_session_t *session, anvil_config_submission_t *submission)
{
  const anvil_submit_callbacks_t callbacks = {
    .put_object = put_object,
    .read_rows = read_rows,
    .commit = commit_rows,
    .check = check_head_file,
    .ended = on_ended,
  };
  execution_t execution = {
    .session = session,
    .submission = submission,
    .deadline = anvil_clock_now () + submission->timeout,
  };
  GDateTime *now = g_date_time_new_now_utc ();
  char *at = g_date_time_format_iso8601 (now);
  char *by = g_strdup_printf ("%s@%s", g_get_user_name (), g_get_host_name ());
  char *id = g_uuid_string_random ();

  execution.submit = anvil_submit_new (submission->file, id, by, at, &callbacks, &execution);
  if (submission->after_generation >= 0)
    anvil_submit_expect_generation (execution.submit, (guint64) submission->after_generation);
  anvil_submit_start (execution.submit);
  while (!execution.ended)
    event_base_dispatch (session->base);
  anvil_submit_drop (execution.submit);
  g_free (id);
  g_free (by);
  g_free (at);
  g_date_time_unref (now);
}

void
anvil_config_submission_clear (anvil_config_submission_t *submission)
{
  anvil_config_head_clear (&submission->committed_head);
  g_clear_pointer (&submission->refusal_reason, g_free);
}
