#include "config/submit.h"

/* Maximum number of attempts of a step that gets no response, and of commits. */
#define MAX_ATTEMPTS 100

typedef enum
{
  STEP_IDLE,
  STEP_STORE,
  STEP_READ_HEAD,
  STEP_CHECK,
  STEP_COMMIT,
  STEP_READ_HISTORY,
  STEP_ENDED,
} step_t;

/*
 * @before: head record in force
 * @next: head record to be written
 * @head_version: version of the head row that the commit depends on
 * @commit_unknown: a commit was sent whose result is unknown
 */
struct anvil_submit
{
  anvil_submit_callbacks_t callbacks;
  void *context;
  anvil_config_head_t before;
  anvil_config_head_t next;
  gboolean expects_generation;
  guint64 expected_generation;
  step_t step;
  guint n_attempts;
  guint n_commits;
  guint64 head_version;
  char *history_key;
  gboolean commit_unknown;
};

char *
anvil_config_history_key (guint64 generation)
{
  return g_strdup_printf ("config/history/%010" G_GUINT64_FORMAT, generation);
}

anvil_submit_t *
anvil_submit_new (anvil_str_t file,
                  const char *submission_id,
                  const char *submitted_by,
                  const char *submitted_at,
                  const anvil_submit_callbacks_t *callbacks,
                  void *context)
{
  anvil_submit_t *submit = g_new0 (anvil_submit_t, 1);

  submit->callbacks = *callbacks;
  submit->context = context;
  submit->next = (anvil_config_head_t){
    .object_name = anvil_config_object_name (file),
    .submission_id = g_strdup (submission_id),
    .submitted_by = g_strdup (submitted_by),
    .submitted_at = g_strdup (submitted_at),
  };
  return submit;
}

void
anvil_submit_drop (anvil_submit_t *submit)
{
  if (submit == NULL)
    return;
  anvil_config_head_clear (&submit->before);
  anvil_config_head_clear (&submit->next);
  g_free (submit->history_key);
  g_free (submit);
}

static void
end (anvil_submit_t *submit, anvil_submit_result_t result, const anvil_config_head_t *winner)
{
  submit->step = STEP_ENDED;
  submit->callbacks.ended (submit->context, result, winner);
}

/* Ends the submission without a known result: a commit that was sent may have taken effect. */
static void
end_without_response (anvil_submit_t *submit)
{
  end (submit, submit->commit_unknown ? ANVIL_SUBMIT_UNKNOWN : ANVIL_SUBMIT_UNAVAILABLE, NULL);
}

/* Enters a step or repeats it; FALSE, and the submission has ended, after too many attempts. */
static gboolean
begin_attempt (anvil_submit_t *submit, step_t step)
{
  if (submit->step != step)
    submit->n_attempts = 0;
  submit->step = step;
  if (submit->n_attempts++ < MAX_ATTEMPTS)
    return TRUE;
  end_without_response (submit);
  return FALSE;
}

static void
store (anvil_submit_t *submit)
{
  if (begin_attempt (submit, STEP_STORE))
    submit->callbacks.put_object (submit->context, submit->next.object_name);
}

static void
read_head (anvil_submit_t *submit)
{
  if (begin_attempt (submit, STEP_READ_HEAD))
    submit->callbacks.read_rows (submit->context, ANVIL_HEAD_KEY);
}

static void
read_history (anvil_submit_t *submit)
{
  if (begin_attempt (submit, STEP_READ_HISTORY))
    submit->callbacks.read_rows (submit->context, submit->history_key);
}

static void
commit (anvil_submit_t *submit)
{
  char *record;

  if (submit->n_commits++ == MAX_ATTEMPTS)
    {
      end_without_response (submit);
      return;
    }
  record = anvil_config_head_format (&submit->next);
  submit->step = STEP_COMMIT;
  submit->callbacks.commit (submit->context, submit->head_version, submit->history_key, record);
  g_free (record);
}

void
anvil_submit_expect_generation (anvil_submit_t *submit, guint64 generation)
{
  submit->expects_generation = TRUE;
  submit->expected_generation = generation;
}

void
anvil_submit_start (anvil_submit_t *submit)
{
  store (submit);
}

void
anvil_submit_store_finished (anvil_submit_t *submit, anvil_commit_result_t result)
{
  if (submit->step != STEP_STORE)
    return;
  /* The name is derived from the digest, so the object may be stored again. */
  if (result == ANVIL_COMMIT_DONE)
    read_head (submit);
  else
    store (submit);
}

static void
request_check (anvil_submit_t *submit)
{
  if (begin_attempt (submit, STEP_CHECK))
    submit->callbacks.check (submit->context, &submit->before);
}

/* Prepares the commit that replaces the head that was read; NULL if there is none yet. */
static void
prepare_commit (anvil_submit_t *submit, const anvil_row_t *head_row)
{
  if (head_row != NULL && !anvil_config_head_parse (head_row->value, &submit->before, NULL))
    {
      end (submit, ANVIL_SUBMIT_REFUSED, NULL);
      return;
    }
  if (submit->expects_generation && submit->before.generation != submit->expected_generation)
    {
      end (submit, ANVIL_SUBMIT_CONFLICT, &submit->before);
      return;
    }
  submit->head_version = head_row != NULL ? head_row->version : 0;
  submit->next.generation = submit->before.generation + 1;
  submit->history_key = anvil_config_history_key (submit->next.generation);
  if (head_row != NULL)
    request_check (submit);
  else
    commit (submit);
}

void
anvil_submit_check_finished (anvil_submit_t *submit, anvil_submit_check_t check)
{
  if (submit->step != STEP_CHECK)
    return;
  switch (check)
    {
    case ANVIL_SUBMIT_CHECK_ALLOWED:
      commit (submit);
      return;
    case ANVIL_SUBMIT_CHECK_REFUSED:
      end (submit, ANVIL_SUBMIT_REFUSED, NULL);
      return;
    case ANVIL_SUBMIT_CHECK_UNKNOWN:
      request_check (submit);
      return;
    }
}

/* Determines the result from the history row of the generation. */
static void
resolve_from_history (anvil_submit_t *submit, const anvil_row_t *row)
{
  anvil_config_head_t winner;
  gboolean own;

  if (!anvil_config_head_parse (row->value, &winner, NULL))
    {
      end (submit, ANVIL_SUBMIT_UNKNOWN, NULL);
      return;
    }
  own = g_strcmp0 (winner.submission_id, submit->next.submission_id) == 0;
  end (submit, own ? ANVIL_SUBMIT_ACCEPTED : ANVIL_SUBMIT_CONFLICT, &winner);
  anvil_config_head_clear (&winner);
}

void
anvil_submit_read_finished (anvil_submit_t *submit,
                            gboolean answered,
                            const anvil_row_t *rows,
                            guint n_rows)
{
  if (submit->step == STEP_READ_HEAD)
    {
      if (answered)
        prepare_commit (submit, n_rows > 0 ? &rows[0] : NULL);
      else
        read_head (submit);
      return;
    }
  if (submit->step != STEP_READ_HISTORY)
    return;
  if (!answered)
    read_history (submit);
  else if (n_rows > 0)
    resolve_from_history (submit, &rows[0]);
  else
    commit (submit);
}

void
anvil_submit_commit_finished (anvil_submit_t *submit, anvil_commit_result_t result)
{
  if (submit->step != STEP_COMMIT)
    return;
  switch (result)
    {
    case ANVIL_COMMIT_DONE:
      end (submit, ANVIL_SUBMIT_ACCEPTED, &submit->next);
      return;
    case ANVIL_COMMIT_UNKNOWN:
      submit->commit_unknown = TRUE;
      read_history (submit);
      return;
    case ANVIL_COMMIT_CONFLICT:
    case ANVIL_COMMIT_NOT_DONE:
      read_history (submit);
      return;
    }
}

void
anvil_submit_timed_out (anvil_submit_t *submit)
{
  if (submit->step == STEP_ENDED)
    return;
  /* A commit that was sent may still take effect. */
  if (submit->step == STEP_COMMIT)
    submit->commit_unknown = TRUE;
  end_without_response (submit);
}
