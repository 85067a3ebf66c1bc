#include "fake-config-store.h"

/* A row of the table. */
typedef struct
{
  char *value;
  guint64 version;
} fake_row_t;

static void
put_object (void *context, const char *name)
{
  fake_submitter_t *submitter = context;

  submitter->pending = FAKE_PENDING_PUT;
  g_free (submitter->row_key);
  submitter->row_key = g_strdup (name);
}

static void
read_rows (void *context, const char *prefix)
{
  fake_submitter_t *submitter = context;

  submitter->pending = FAKE_PENDING_READ;
  g_free (submitter->row_key);
  submitter->row_key = g_strdup (prefix);
}

static void
check_head (void *context, const anvil_config_head_t *before)
{
  ((fake_submitter_t *) context)->pending = FAKE_PENDING_CHECK;
}

static void
commit_rows (void *context, guint64 head_version, const char *history_key, const char *record)
{
  fake_submitter_t *submitter = context;

  submitter->pending = FAKE_PENDING_COMMIT;
  submitter->head_version = head_version;
  g_free (submitter->row_key);
  submitter->row_key = g_strdup (history_key);
  g_free (submitter->record);
  submitter->record = g_strdup (record);
}

static void
submission_finished (void *context, anvil_submit_result_t result, const anvil_config_head_t *winner)
{
  fake_submitter_t *submitter = context;

  submitter->finished = TRUE;
  submitter->pending = FAKE_PENDING_NONE;
  if (result == ANVIL_SUBMIT_ACCEPTED)
    g_hash_table_add (submitter->store->reported_accepted, g_strdup (submitter->id));
  else if (result != ANVIL_SUBMIT_UNKNOWN)
    g_hash_table_add (submitter->store->reported_unchanged, g_strdup (submitter->id));
  if (result == ANVIL_SUBMIT_CONFLICT && g_strcmp0 (winner->submission_id, submitter->id) == 0)
    g_error ("%s was reported as lost to its own commit", submitter->id);
}

static const anvil_submit_callbacks_t callbacks = {
  .put_object = put_object,
  .read_rows = read_rows,
  .check = check_head,
  .commit = commit_rows,
  .ended = submission_finished,
};

static void
start_submission (fake_config_store_t *store, fake_submitter_t *submitter)
{
  submitter->store = store;
  submitter->finished = FALSE;
  g_free (submitter->id);
  submitter->id = g_strdup_printf ("submission-%u", store->next_id);
  g_free (submitter->file);
  submitter->file = store->format_file (store->next_id);
  store->next_id++;
  anvil_submit_drop (submitter->submit);
  submitter->submit = anvil_submit_new (anvil_str (submitter->file), submitter->id, "test", "now",
                                        &callbacks, submitter);
  submitter->expects_generation = g_rand_int_range (store->random, 0, 4) == 0;
  submitter->expected_generation = store->generation;
  if (submitter->expects_generation)
    anvil_submit_expect_generation (submitter->submit, submitter->expected_generation);
  anvil_submit_start (submitter->submit);
}

static guint64
row_version (const fake_config_store_t *store, const char *key)
{
  const fake_row_t *row = g_hash_table_lookup (store->rows, key);

  return row != NULL ? row->version : 0;
}

static void
write_row (fake_config_store_t *store, const char *key, const char *value)
{
  fake_row_t *row = g_hash_table_lookup (store->rows, key);

  if (row == NULL)
    {
      row = g_new0 (fake_row_t, 1);
      g_hash_table_insert (store->rows, g_strdup (key), row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version++;
}

static void
put_file (fake_config_store_t *store, const char *file)
{
  g_hash_table_replace (store->objects, anvil_config_object_name (anvil_str (file)),
                        g_strdup (file));
}

/* Writes the rows if their expected versions match, and records the winner for the check. */
static gboolean
apply_commit (fake_config_store_t *store, const fake_submitter_t *submitter)
{
  if (row_version (store, ANVIL_HEAD_KEY) != submitter->head_version
      || row_version (store, submitter->row_key) != 0)
    return FALSE;
  if (submitter->expects_generation && submitter->expected_generation != store->generation)
    g_error ("%s was committed after another generation than expected", submitter->id);
  write_row (store, ANVIL_HEAD_KEY, submitter->record);
  write_row (store, submitter->row_key, submitter->record);
  store->generation++;
  g_ptr_array_add (store->files, g_strdup (submitter->file));
  g_hash_table_add (store->winners, g_strdup (submitter->id));
  return TRUE;
}

static void
respond_to_commit (fake_config_store_t *store, fake_submitter_t *submitter)
{
  guint outcome = (guint) g_rand_int_range (store->random, 0, 10);
  gboolean applied;

  if (store->down || outcome <= 1)
    {
      anvil_submit_commit_finished (submitter->submit,
                                    outcome == 0 ? ANVIL_COMMIT_NOT_DONE : ANVIL_COMMIT_UNKNOWN);
      return;
    }
  applied = apply_commit (store, submitter);
  if (outcome <= 4)
    anvil_submit_commit_finished (submitter->submit, ANVIL_COMMIT_UNKNOWN);
  else
    anvil_submit_commit_finished (submitter->submit,
                                  applied ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT);
}

static void
respond_to_read (fake_config_store_t *store, fake_submitter_t *submitter)
{
  const fake_row_t *row = g_hash_table_lookup (store->rows, submitter->row_key);
  anvil_row_t found = { .key = anvil_str (submitter->row_key) };

  if (store->down || g_rand_int_range (store->random, 0, 4) == 0)
    {
      anvil_submit_read_finished (submitter->submit, FALSE, NULL, 0);
      return;
    }
  if (row == NULL)
    {
      anvil_submit_read_finished (submitter->submit, TRUE, NULL, 0);
      return;
    }
  found.value = anvil_str (row->value);
  found.version = row->version;
  anvil_submit_read_finished (submitter->submit, TRUE, &found, 1);
}

static void
respond_to_put (fake_config_store_t *store, fake_submitter_t *submitter)
{
  gboolean applied = !store->down && g_rand_boolean (store->random);

  if (applied)
    put_file (store, submitter->file);
  anvil_submit_store_finished (submitter->submit, applied && g_rand_boolean (store->random)
                                                      ? ANVIL_COMMIT_DONE
                                                      : ANVIL_COMMIT_UNKNOWN);
}

static void
respond_to_check (fake_config_store_t *store, fake_submitter_t *submitter)
{
  if (store->down || g_rand_int_range (store->random, 0, 4) == 0)
    anvil_submit_check_finished (submitter->submit, ANVIL_SUBMIT_CHECK_UNKNOWN);
  else if (g_rand_int_range (store->random, 0, 20) == 0)
    anvil_submit_check_finished (submitter->submit, ANVIL_SUBMIT_CHECK_REFUSED);
  else
    anvil_submit_check_finished (submitter->submit, ANVIL_SUBMIT_CHECK_ALLOWED);
}

static void
respond (fake_config_store_t *store, fake_submitter_t *submitter)
{
  fake_pending_call_t pending = submitter->pending;

  submitter->pending = FAKE_PENDING_NONE;
  switch (pending)
    {
    case FAKE_PENDING_PUT:
      respond_to_put (store, submitter);
      return;
    case FAKE_PENDING_READ:
      respond_to_read (store, submitter);
      return;
    case FAKE_PENDING_CHECK:
      respond_to_check (store, submitter);
      return;
    case FAKE_PENDING_COMMIT:
      respond_to_commit (store, submitter);
      return;
    case FAKE_PENDING_NONE:
      return;
    }
}

/* A pending commit may take effect after the submitter has timed out. */
static void
time_out (fake_config_store_t *store, fake_submitter_t *submitter)
{
  gboolean committing = submitter->pending == FAKE_PENDING_COMMIT;

  anvil_submit_timed_out (submitter->submit);
  if (committing && !store->down && g_rand_boolean (store->random))
    apply_commit (store, submitter);
}

static void
free_row (gpointer data)
{
  g_free (((fake_row_t *) data)->value);
  g_free (data);
}

static GHashTable *
string_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

fake_config_store_t *
fake_config_store_new (GRand *random, char *(*format_file) (guint submission))
{
  fake_config_store_t *store = g_new0 (fake_config_store_t, 1);

  store->random = random;
  store->format_file = format_file;
  store->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  store->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->files = g_ptr_array_new_with_free_func (g_free);
  store->winners = string_set_new ();
  store->reported_accepted = string_set_new ();
  store->reported_unchanged = string_set_new ();
  return store;
}

void
fake_config_store_drop (fake_config_store_t *store)
{
  for (guint i = 0; i < FAKE_N_SUBMITTERS; i++)
    {
      fake_submitter_t *submitter = &store->submitters[i];

      anvil_submit_drop (submitter->submit);
      g_free (submitter->id);
      g_free (submitter->file);
      g_free (submitter->row_key);
      g_free (submitter->record);
    }
  g_hash_table_unref (store->reported_unchanged);
  g_hash_table_unref (store->reported_accepted);
  g_hash_table_unref (store->winners);
  g_ptr_array_unref (store->files);
  g_hash_table_unref (store->objects);
  g_hash_table_unref (store->rows);
  g_free (store);
}

void
fake_config_store_step (fake_config_store_t *store)
{
  fake_submitter_t *submitter
      = &store->submitters[g_rand_int_range (store->random, 0, FAKE_N_SUBMITTERS)];

  if (submitter->submit == NULL || submitter->finished)
    start_submission (store, submitter);
  else if (g_rand_int_range (store->random, 0, 60) == 0)
    time_out (store, submitter);
  else
    respond (store, submitter);
  if (!submitter->finished && submitter->pending == FAKE_PENDING_NONE)
    g_error ("%s has not ended, but waits for no call", submitter->id);
}

void
fake_config_store_commit (fake_config_store_t *store, const char *file)
{
  char *object = anvil_config_object_name (anvil_str (file));
  char *history_key = anvil_config_history_key (store->generation + 1);
  anvil_config_head_t head = {
    .generation = store->generation + 1,
    .object_name = object,
    .submission_id = (char *) "direct",
  };
  char *record = anvil_config_head_format (&head);
  fake_submitter_t direct = {
    .id = (char *) "direct",
    .file = (char *) file,
    .row_key = history_key,
    .head_version = row_version (store, ANVIL_HEAD_KEY),
    .record = record,
  };

  put_file (store, file);
  apply_commit (store, &direct);
  g_free (record);
  g_free (history_key);
  g_free (object);
}

const char *
fake_config_store_head (const fake_config_store_t *store)
{
  const fake_row_t *row = g_hash_table_lookup (store->rows, ANVIL_HEAD_KEY);

  return row != NULL ? row->value : NULL;
}

void
fake_config_store_check (const fake_config_store_t *store)
{
  GHashTableIter iter;
  gpointer id;

  if (g_hash_table_size (store->winners) != store->generation
      || row_version (store, ANVIL_HEAD_KEY) != store->generation)
    g_error ("a generation has no winner or several");
  g_hash_table_iter_init (&iter, store->reported_accepted);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (!g_hash_table_contains (store->winners, id))
        g_error ("%s was reported as accepted, but had no effect", (const char *) id);
    }
  g_hash_table_iter_init (&iter, store->reported_unchanged);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (g_hash_table_contains (store->winners, id))
        g_error ("%s was reported as without effect, but was committed", (const char *) id);
    }
}
