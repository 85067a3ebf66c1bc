#include "tools/anvil-config-submit.h"

/* Pause before a step that had no answer is tried again. */
#define RETRY_PAUSE (200 * ANVIL_MS)

/* The platform's client joined to the submission's steps. */
typedef struct
{
  anvil_config_session_t *session;
  anvil_config_submission_t *submission;
  anvil_submit_t *submit;
  anvil_time_t until;
  gboolean ended;
} run_t;

/* After a step without an answer: waits before the next try, or gives up when time is over. */
static void
pause_after (run_t *run, const GError *error)
{
  if (error == NULL)
    return;
  if (anvil_clock_now () >= run->until)
    anvil_submit_timed_out (run->submit);
  else
    g_usleep ((gulong) RETRY_PAUSE);
}

static void
on_stored (void *context, anvil_commit_result_t result, const GError *error)
{
  run_t *run = context;

  pause_after (run, error);
  anvil_submit_store_finished (run->submit, result);
}

static void
put_object (void *context, const char *name)
{
  run_t *run = context;

  anvil_platform_put_object (run->session->platform, name, run->submission->file, on_stored, run);
}

static void
on_rows (void *context, const anvil_row_t *rows, guint n_rows, const GError *error)
{
  run_t *run = context;

  pause_after (run, error);
  anvil_submit_read_finished (run->submit, error == NULL, rows, n_rows);
}

static void
read_rows (void *context, const char *prefix)
{
  run_t *run = context;

  anvil_platform_read_rows (run->session->platform, prefix, on_rows, run);
}

static void
on_committed (void *context, anvil_commit_result_t result, const GError *error)
{
  run_t *run = context;

  anvil_submit_commit_finished (run->submit, result);
}

static void
commit_rows (void *context, guint64 head_version, const char *history_key, const char *record)
{
  run_t *run = context;
  const anvil_row_t conditions[] = {
    { .key = anvil_str (ANVIL_HEAD_KEY), .version = head_version },
    { .key = anvil_str (history_key), .version = 0 },
  };
  const anvil_row_t writes[] = {
    { .key = anvil_str (ANVIL_HEAD_KEY), .value = anvil_str (record) },
    { .key = anvil_str (history_key), .value = anvil_str (record) },
  };

  anvil_platform_commit (run->session->platform, conditions, G_N_ELEMENTS (conditions), writes,
                         G_N_ELEMENTS (writes), on_committed, run);
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

/* Seats can't move in place: witnesses on the old and the new file would differ. */
static anvil_submit_check_t
compare_seats (run_t *run, anvil_str_t text)
{
  anvil_config_t *old = anvil_config_load ("head", text, NULL);
  gboolean same = old != NULL && same_seats (old, run->submission->config);

  if (old == NULL)
    run->submission->reason = g_strdup ("the file in force isn't valid any more");
  else if (!same)
    run->submission->reason
        = g_strdup ("seats: the list differs from the file in force; seats can't change in place");
  anvil_config_drop (old);
  return same ? ANVIL_SUBMIT_CHECK_ALLOWED : ANVIL_SUBMIT_CHECK_REFUSED;
}

static void
on_head_file (void *context, anvil_str_t body, const GError *error)
{
  run_t *run = context;

  pause_after (run, error);
  anvil_submit_check_finished (run->submit, error != NULL ? ANVIL_SUBMIT_CHECK_UNKNOWN
                                                          : compare_seats (run, body));
}

static void
check_head_file (void *context, const anvil_config_head_t *before)
{
  run_t *run = context;

  anvil_platform_get_object (run->session->platform, before->object_name, on_head_file, run);
}

static void
ended (void *context, anvil_submit_result_t result, const anvil_config_head_t *winner)
{
  run_t *run = context;

  run->submission->result = result;
  if (winner != NULL)
    run->submission->winner = (anvil_config_head_t){
      .generation = winner->generation,
      .object_name = g_strdup (winner->object_name),
      .submission_id = g_strdup (winner->submission_id),
      .submitted_by = g_strdup (winner->submitted_by),
      .submitted_at = g_strdup (winner->submitted_at),
    };
  run->ended = TRUE;
  event_base_loopbreak (run->session->base);
}

void
anvil_config_run_submission (anvil_config_session_t *session, anvil_config_submission_t *submission)
{
  const anvil_submit_callbacks_t actions = {
    .put_object = put_object,
    .read_rows = read_rows,
    .commit = commit_rows,
    .check = check_head_file,
    .ended = ended,
  };
  run_t run = {
    .session = session,
    .submission = submission,
    .until = anvil_clock_now () + submission->patience,
  };
  GDateTime *now = g_date_time_new_now_utc ();
  char *at = g_date_time_format_iso8601 (now);
  char *by = g_strdup_printf ("%s@%s", g_get_user_name (), g_get_host_name ());
  char *id = g_uuid_string_random ();

  run.submit = anvil_submit_new (submission->file, id, by, at, &actions, &run);
  if (submission->after >= 0)
    anvil_submit_expect_generation (run.submit, (guint64) submission->after);
  anvil_submit_start (run.submit);
  while (!run.ended)
    event_base_dispatch (session->base);
  anvil_submit_drop (run.submit);
  g_free (id);
  g_free (by);
  g_free (at);
  g_date_time_unref (now);
}

void
anvil_config_submission_clear (anvil_config_submission_t *submission)
{
  anvil_config_head_clear (&submission->winner);
  g_clear_pointer (&submission->reason, g_free);
}
