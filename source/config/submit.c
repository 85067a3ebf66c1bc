#include "config/submit.h"

/* Tries of a step that had no answer. */
#define MAX_TRIES 100

typedef enum
{
  STEP_IDLE,
  STEP_STORE,
  STEP_READ_HEAD,
  STEP_CHECK,
  STEP_COMMIT,
  STEP_READ_BACK,
  STEP_ENDED,
} step_t;

struct anvil_submit
{
  anvil_submit_callbacks_t actions;
  void *context;
  anvil_config_head_t before;
  anvil_config_head_t next;
  gboolean expecting;
  guint64 expected;
  step_t step;
  guint tries;
  guint commits;
  guint64 head_version;
  char *history_key;
  gboolean maybe_written;
};

char *
anvil_config_history_key (guint64 generation)
{
  return g_strdup_printf ("config/history/%010" G_GUINT64_FORMAT, generation);
}

anvil_submit_t *
anvil_submit_new (anvil_str_t file,
                  const char *submission,
                  const char *by,
                  const char *at,
                  const anvil_submit_callbacks_t *actions,
                  void *context)
{
  anvil_submit_t *submit = g_new0 (anvil_submit_t, 1);

  submit->actions = *actions;
  submit->context = context;
  submit->next = (anvil_config_head_t){
    .object_name = anvil_config_object_name (file),
    .submission_id = g_strdup (submission),
    .submitted_by = g_strdup (by),
    .submitted_at = g_strdup (at),
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
  submit->actions.ended (submit->context, result, winner);
}

/* Without an answer: nothing was changed, unless a write was sent. */
static void
end_without_answer (anvil_submit_t *submit)
{
  end (submit, submit->maybe_written ? ANVIL_SUBMIT_UNKNOWN : ANVIL_SUBMIT_UNAVAILABLE, NULL);
}

/* Counts a try of a step; FALSE when there were enough. */
static gboolean
try_step (anvil_submit_t *submit, step_t step)
{
  if (submit->step != step)
    submit->tries = 0;
  submit->step = step;
  if (submit->tries++ < MAX_TRIES)
    return TRUE;
  end_without_answer (submit);
  return FALSE;
}

static void
store (anvil_submit_t *submit)
{
  if (try_step (submit, STEP_STORE))
    submit->actions.put_object (submit->context, submit->next.object_name);
}

static void
read_head (anvil_submit_t *submit)
{
  if (try_step (submit, STEP_READ_HEAD))
    submit->actions.read_rows (submit->context, ANVIL_HEAD_KEY);
}

static void
read_back (anvil_submit_t *submit)
{
  if (try_step (submit, STEP_READ_BACK))
    submit->actions.read_rows (submit->context, submit->history_key);
}

static void
commit (anvil_submit_t *submit)
{
  char *record;

  if (submit->commits++ == MAX_TRIES)
    {
      end_without_answer (submit);
      return;
    }
  record = anvil_config_head_format (&submit->next);
  submit->step = STEP_COMMIT;
  submit->actions.commit (submit->context, submit->head_version, submit->history_key, record);
  g_free (record);
}

void
anvil_submit_expect_generation (anvil_submit_t *submit, guint64 generation)
{
  submit->expecting = TRUE;
  submit->expected = generation;
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
  /* The object's name is its digest, so storing it again is harmless. */
  if (result == ANVIL_COMMIT_DONE)
    read_head (submit);
  else
    store (submit);
}

static void
check_before (anvil_submit_t *submit)
{
  if (try_step (submit, STEP_CHECK))
    submit->actions.check (submit->context, &submit->before);
}

/* Prepares the write that follows the head that was read. */
static void
follow (anvil_submit_t *submit, const anvil_row_t *head_row)
{
  if (head_row != NULL && !anvil_config_head_parse (head_row->value, &submit->before, NULL))
    {
      end (submit, ANVIL_SUBMIT_REFUSED, NULL);
      return;
    }
  if (submit->expecting && submit->before.generation != submit->expected)
    {
      end (submit, ANVIL_SUBMIT_CONFLICT, &submit->before);
      return;
    }
  submit->head_version = head_row != NULL ? head_row->version : 0;
  submit->next.generation = submit->before.generation + 1;
  submit->history_key = anvil_config_history_key (submit->next.generation);
  if (head_row != NULL)
    check_before (submit);
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
      check_before (submit);
      return;
    }
}

/* Finds out from the history who won the generation. */
static void
resolve (anvil_submit_t *submit, const anvil_row_t *row)
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
        follow (submit, n_rows > 0 ? &rows[0] : NULL);
      else
        read_head (submit);
      return;
    }
  if (submit->step != STEP_READ_BACK)
    return;
  if (!answered)
    read_back (submit);
  else if (n_rows > 0)
    resolve (submit, &rows[0]);
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
      submit->maybe_written = TRUE;
      read_back (submit);
      return;
    case ANVIL_COMMIT_CONFLICT:
    case ANVIL_COMMIT_NOT_DONE:
      read_back (submit);
      return;
    }
}

void
anvil_submit_timed_out (anvil_submit_t *submit)
{
  if (submit->step == STEP_ENDED)
    return;
  /* A write that is under way may take effect after this. */
  if (submit->step == STEP_COMMIT)
    submit->maybe_written = TRUE;
  end_without_answer (submit);
}
