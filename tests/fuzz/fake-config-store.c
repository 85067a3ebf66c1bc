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
  fake_submitter_t *self = context;

  self->asked = FAKE_PENDING_PUT;
  g_free (self->key);
  self->key = g_strdup (name);
}

static void
read_rows (void *context, const char *prefix)
{
  fake_submitter_t *self = context;

  self->asked = FAKE_PENDING_READ;
  g_free (self->key);
  self->key = g_strdup (prefix);
}

static void
check_head (void *context, const anvil_config_head_t *before)
{
  ((fake_submitter_t *) context)->asked = FAKE_PENDING_CHECK;
}

static void
commit_rows (void *context, guint64 head_version, const char *history_key, const char *record)
{
  fake_submitter_t *self = context;

  self->asked = FAKE_PENDING_COMMIT;
  self->head_version = head_version;
  g_free (self->key);
  self->key = g_strdup (history_key);
  g_free (self->record);
  self->record = g_strdup (record);
}

static void
ended (void *context, anvil_submit_result_t result, const anvil_config_head_t *winner)
{
  fake_submitter_t *self = context;

  self->ended = TRUE;
  self->asked = FAKE_PENDING_NONE;
  if (result == ANVIL_SUBMIT_ACCEPTED)
    g_hash_table_add (self->registry->reported_accepted, g_strdup (self->id));
  else if (result != ANVIL_SUBMIT_UNKNOWN)
    g_hash_table_add (self->registry->reported_unchanged, g_strdup (self->id));
  if (result == ANVIL_SUBMIT_CONFLICT && g_strcmp0 (winner->submission_id, self->id) == 0)
    g_error ("%s says it lost to itself", self->id);
}

static const anvil_submit_callbacks_t actions = {
  .put_object = put_object,
  .read_rows = read_rows,
  .check = check_head,
  .commit = commit_rows,
  .ended = ended,
};

static void
begin (fake_config_store_t *registry, fake_submitter_t *self)
{
  self->registry = registry;
  self->ended = FALSE;
  g_free (self->id);
  self->id = g_strdup_printf ("submission-%u", registry->next_id);
  g_free (self->file);
  self->file = registry->write_file (registry->next_id);
  registry->next_id++;
  anvil_submit_drop (self->submit);
  self->submit = anvil_submit_new (anvil_str (self->file), self->id, "test", "now", &actions, self);
  self->expecting = g_rand_int_range (registry->random, 0, 4) == 0;
  self->expected = registry->generation;
  if (self->expecting)
    anvil_submit_expect_generation (self->submit, self->expected);
  anvil_submit_start (self->submit);
}

static guint64
version_of (const fake_config_store_t *registry, const char *key)
{
  const fake_row_t *row = g_hash_table_lookup (registry->rows, key);

  return row != NULL ? row->version : 0;
}

static void
write_row (fake_config_store_t *registry, const char *key, const char *value)
{
  fake_row_t *row = g_hash_table_lookup (registry->rows, key);

  if (row == NULL)
    {
      row = g_new0 (fake_row_t, 1);
      g_hash_table_insert (registry->rows, g_strdup (key), row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version++;
}

static void
store_object (fake_config_store_t *registry, const char *file)
{
  g_hash_table_replace (registry->objects, anvil_config_object_name (anvil_str (file)),
                        g_strdup (file));
}

/* Takes the write if its conditions hold, and notes the winner for the oracle. */
static gboolean
take_commit (fake_config_store_t *registry, const fake_submitter_t *self)
{
  if (version_of (registry, ANVIL_HEAD_KEY) != self->head_version
      || version_of (registry, self->key) != 0)
    return FALSE;
  if (self->expecting && self->expected != registry->generation)
    g_error ("%s follows a generation that its author didn't know", self->id);
  write_row (registry, ANVIL_HEAD_KEY, self->record);
  write_row (registry, self->key, self->record);
  registry->generation++;
  g_ptr_array_add (registry->files, g_strdup (self->file));
  g_hash_table_add (registry->winners, g_strdup (self->id));
  return TRUE;
}

static void
answer_commit (fake_config_store_t *registry, fake_submitter_t *self)
{
  guint fate = (guint) g_rand_int_range (registry->random, 0, 10);
  gboolean taken;

  if (registry->down || fate <= 1)
    {
      anvil_submit_commit_finished (self->submit,
                                    fate == 0 ? ANVIL_COMMIT_NOT_DONE : ANVIL_COMMIT_UNKNOWN);
      return;
    }
  taken = take_commit (registry, self);
  if (fate <= 4)
    anvil_submit_commit_finished (self->submit, ANVIL_COMMIT_UNKNOWN);
  else
    anvil_submit_commit_finished (self->submit, taken ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT);
}

static void
answer_read (fake_config_store_t *registry, fake_submitter_t *self)
{
  const fake_row_t *row = g_hash_table_lookup (registry->rows, self->key);
  anvil_row_t found = { .key = anvil_str (self->key) };

  if (registry->down || g_rand_int_range (registry->random, 0, 4) == 0)
    {
      anvil_submit_read_finished (self->submit, FALSE, NULL, 0);
      return;
    }
  if (row == NULL)
    {
      anvil_submit_read_finished (self->submit, TRUE, NULL, 0);
      return;
    }
  found.value = anvil_str (row->value);
  found.version = row->version;
  anvil_submit_read_finished (self->submit, TRUE, &found, 1);
}

static void
answer_put (fake_config_store_t *registry, fake_submitter_t *self)
{
  gboolean taken = !registry->down && g_rand_boolean (registry->random);

  if (taken)
    store_object (registry, self->file);
  anvil_submit_store_finished (self->submit, taken && g_rand_boolean (registry->random)
                                                 ? ANVIL_COMMIT_DONE
                                                 : ANVIL_COMMIT_UNKNOWN);
}

static void
answer_check (fake_config_store_t *registry, fake_submitter_t *self)
{
  if (registry->down || g_rand_int_range (registry->random, 0, 4) == 0)
    anvil_submit_check_finished (self->submit, ANVIL_SUBMIT_CHECK_UNKNOWN);
  else if (g_rand_int_range (registry->random, 0, 20) == 0)
    anvil_submit_check_finished (self->submit, ANVIL_SUBMIT_CHECK_REFUSED);
  else
    anvil_submit_check_finished (self->submit, ANVIL_SUBMIT_CHECK_ALLOWED);
}

static void
answer (fake_config_store_t *registry, fake_submitter_t *self)
{
  fake_pending_call_t asked = self->asked;

  self->asked = FAKE_PENDING_NONE;
  switch (asked)
    {
    case FAKE_PENDING_PUT:
      answer_put (registry, self);
      return;
    case FAKE_PENDING_READ:
      answer_read (registry, self);
      return;
    case FAKE_PENDING_CHECK:
      answer_check (registry, self);
      return;
    case FAKE_PENDING_COMMIT:
      answer_commit (registry, self);
      return;
    case FAKE_PENDING_NONE:
      return;
    }
}

/* A write that was under way may take effect after its author gave up. */
static void
give_up (fake_config_store_t *registry, fake_submitter_t *self)
{
  gboolean writing = self->asked == FAKE_PENDING_COMMIT;

  anvil_submit_timed_out (self->submit);
  if (writing && !registry->down && g_rand_boolean (registry->random))
    take_commit (registry, self);
}

static void
free_row (gpointer data)
{
  g_free (((fake_row_t *) data)->value);
  g_free (data);
}

static GHashTable *
new_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

fake_config_store_t *
fake_config_store_new (GRand *random, char *(*write_file) (guint submission))
{
  fake_config_store_t *registry = g_new0 (fake_config_store_t, 1);

  registry->random = random;
  registry->write_file = write_file;
  registry->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  registry->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  registry->files = g_ptr_array_new_with_free_func (g_free);
  registry->winners = new_set ();
  registry->reported_accepted = new_set ();
  registry->reported_unchanged = new_set ();
  return registry;
}

void
fake_config_store_drop (fake_config_store_t *registry)
{
  for (guint i = 0; i < FAKE_N_SUBMITTERS; i++)
    {
      fake_submitter_t *self = &registry->submitters[i];

      anvil_submit_drop (self->submit);
      g_free (self->id);
      g_free (self->file);
      g_free (self->key);
      g_free (self->record);
    }
  g_hash_table_unref (registry->reported_unchanged);
  g_hash_table_unref (registry->reported_accepted);
  g_hash_table_unref (registry->winners);
  g_ptr_array_unref (registry->files);
  g_hash_table_unref (registry->objects);
  g_hash_table_unref (registry->rows);
  g_free (registry);
}

void
fake_config_store_step (fake_config_store_t *registry)
{
  fake_submitter_t *self
      = &registry->submitters[g_rand_int_range (registry->random, 0, FAKE_N_SUBMITTERS)];

  if (self->submit == NULL || self->ended)
    begin (registry, self);
  else if (g_rand_int_range (registry->random, 0, 60) == 0)
    give_up (registry, self);
  else
    answer (registry, self);
  if (!self->ended && self->asked == FAKE_PENDING_NONE)
    g_error ("%s waits for nothing", self->id);
}

void
fake_config_store_commit (fake_config_store_t *registry, const char *file)
{
  char *object = anvil_config_object_name (anvil_str (file));
  char *history_key = anvil_config_history_key (registry->generation + 1);
  anvil_config_head_t head = {
    .generation = registry->generation + 1,
    .object_name = object,
    .submission_id = (char *) "direct",
  };
  char *record = anvil_config_head_format (&head);
  fake_submitter_t direct = {
    .id = (char *) "direct",
    .file = (char *) file,
    .key = history_key,
    .head_version = version_of (registry, ANVIL_HEAD_KEY),
    .record = record,
  };

  store_object (registry, file);
  take_commit (registry, &direct);
  g_free (record);
  g_free (history_key);
  g_free (object);
}

const char *
fake_config_store_head (const fake_config_store_t *registry)
{
  const fake_row_t *row = g_hash_table_lookup (registry->rows, ANVIL_HEAD_KEY);

  return row != NULL ? row->value : NULL;
}

void
fake_config_store_check (const fake_config_store_t *registry)
{
  GHashTableIter iter;
  gpointer id;

  if (g_hash_table_size (registry->winners) != registry->generation
      || version_of (registry, ANVIL_HEAD_KEY) != registry->generation)
    g_error ("a generation has another number of winners than one");
  g_hash_table_iter_init (&iter, registry->reported_accepted);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (!g_hash_table_contains (registry->winners, id))
        g_error ("%s says it won, but it didn't", (const char *) id);
    }
  g_hash_table_iter_init (&iter, registry->reported_unchanged);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      if (g_hash_table_contains (registry->winners, id))
        g_error ("%s says nothing was changed, but it won", (const char *) id);
    }
}
