/* Submission of the operators' file: random histories against a simple oracle. */

#include <check.h>
#include <stdlib.h>

#include "config/submit.h"

#define N_SUBMITTERS 3
#define N_SEEDS 150
#define N_STEPS 400

/* A row of the fake table. */
typedef struct
{
  char *value;
  guint64 version;
} fake_row_t;

/* What a submitter asked for and hasn't been told of. */
typedef enum
{
  ASKED_NOTHING,
  ASKED_PUT,
  ASKED_READ,
  ASKED_CHECK,
  ASKED_COMMIT,
} asked_t;

typedef struct world world_t;

typedef struct
{
  world_t *world;
  anvil_submit_t *submit;
  char *id;
  asked_t asked;
  char *prefix;
  guint64 head_version;
  char *history_key;
  char *record;
  gboolean ended;
} submitter_t;

struct world
{
  GRand *random;
  GHashTable *rows;
  submitter_t submitters[N_SUBMITTERS];
  guint next_id;
  guint64 generation;
  GHashTable *winners;
  GHashTable *told_won;
  GHashTable *told_lost;
  guint unknown;
};

static void
put_object (void *context, const char *name)
{
  ((submitter_t *) context)->asked = ASKED_PUT;
}

static void
read_rows (void *context, const char *prefix)
{
  submitter_t *self = context;

  self->asked = ASKED_READ;
  g_free (self->prefix);
  self->prefix = g_strdup (prefix);
}

static void
check_head (void *context, const anvil_config_head_t *before)
{
  ((submitter_t *) context)->asked = ASKED_CHECK;
}

static void
commit_rows (void *context, guint64 head_version, const char *history_key, const char *record)
{
  submitter_t *self = context;

  self->asked = ASKED_COMMIT;
  self->head_version = head_version;
  g_free (self->history_key);
  self->history_key = g_strdup (history_key);
  g_free (self->record);
  self->record = g_strdup (record);
}

static void
ended (void *context, anvil_submit_result_t result, const anvil_config_head_t *winner)
{
  submitter_t *self = context;

  self->ended = TRUE;
  self->asked = ASKED_NOTHING;
  if (result == ANVIL_SUBMIT_ACCEPTED)
    g_hash_table_add (self->world->told_won, g_strdup (self->id));
  else if (result == ANVIL_SUBMIT_UNKNOWN)
    self->world->unknown++;
  else
    g_hash_table_add (self->world->told_lost, g_strdup (self->id));
  if (result == ANVIL_SUBMIT_LOST)
    ck_assert_str_ne (winner->submission, self->id);
}

static const anvil_submit_actions_t actions = {
  .put_object = put_object,
  .read = read_rows,
  .check = check_head,
  .commit = commit_rows,
  .ended = ended,
};

static void
begin (world_t *world, submitter_t *self)
{
  self->world = world;
  self->ended = FALSE;
  g_free (self->id);
  self->id = g_strdup_printf ("submission-%u", world->next_id++);
  anvil_submit_drop (self->submit);
  self->submit = anvil_submit_new (anvil_str ("file"), self->id, "test", "now", &actions, self);
  anvil_submit_begin (self->submit);
}

static guint64
version_of (const world_t *world, const char *key)
{
  const fake_row_t *row = g_hash_table_lookup (world->rows, key);

  return row != NULL ? row->version : 0;
}

static void
write_row (world_t *world, const char *key, const char *value)
{
  fake_row_t *row = g_hash_table_lookup (world->rows, key);

  if (row == NULL)
    {
      row = g_new0 (fake_row_t, 1);
      g_hash_table_insert (world->rows, g_strdup (key), row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version++;
}

/* Takes the write if its conditions hold, and notes the winner for the oracle. */
static gboolean
take_commit (world_t *world, const submitter_t *self)
{
  if (version_of (world, ANVIL_HEAD_KEY) != self->head_version
      || version_of (world, self->history_key) != 0)
    return FALSE;
  write_row (world, ANVIL_HEAD_KEY, self->record);
  write_row (world, self->history_key, self->record);
  world->generation++;
  g_hash_table_add (world->winners, g_strdup (self->id));
  return TRUE;
}

static void
answer_commit (world_t *world, submitter_t *self)
{
  guint fate = (guint) g_rand_int_range (world->random, 0, 10);
  gboolean taken;

  if (fate == 0)
    {
      anvil_submit_committed (self->submit, ANVIL_COMMIT_NOT_DONE);
      return;
    }
  if (fate == 1)
    {
      anvil_submit_committed (self->submit, ANVIL_COMMIT_UNKNOWN);
      return;
    }
  taken = take_commit (world, self);
  if (fate <= 4)
    anvil_submit_committed (self->submit, ANVIL_COMMIT_UNKNOWN);
  else
    anvil_submit_committed (self->submit, taken ? ANVIL_COMMIT_DONE : ANVIL_COMMIT_CONFLICT);
}

static void
answer_read (world_t *world, submitter_t *self)
{
  const fake_row_t *row = g_hash_table_lookup (world->rows, self->prefix);
  anvil_row_t found = { 0 };

  if (g_rand_int_range (world->random, 0, 4) == 0)
    {
      anvil_submit_read (self->submit, FALSE, NULL, 0);
      return;
    }
  if (row == NULL)
    {
      anvil_submit_read (self->submit, TRUE, NULL, 0);
      return;
    }
  found = (anvil_row_t){ .key = anvil_str (self->prefix),
                         .value = anvil_str (row->value),
                         .version = row->version };
  anvil_submit_read (self->submit, TRUE, &found, 1);
}

static void
answer (world_t *world, submitter_t *self)
{
  asked_t asked = self->asked;

  self->asked = ASKED_NOTHING;
  switch (asked)
    {
    case ASKED_PUT:
      anvil_submit_stored (self->submit, g_rand_boolean (world->random) ? ANVIL_COMMIT_DONE
                                                                        : ANVIL_COMMIT_UNKNOWN);
      return;
    case ASKED_READ:
      answer_read (world, self);
      return;
    case ASKED_CHECK:
      anvil_submit_checked (self->submit, g_rand_int_range (world->random, 0, 20) != 0);
      return;
    case ASKED_COMMIT:
      answer_commit (world, self);
      return;
    case ASKED_NOTHING:
      return;
    }
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

/* Everyone who was told something was told the truth, and each generation has one winner. */
static void
check_history (const world_t *world)
{
  GHashTableIter iter;
  gpointer id;

  ck_assert_uint_eq (g_hash_table_size (world->winners), world->generation);
  ck_assert_uint_eq (version_of (world, ANVIL_HEAD_KEY), world->generation);
  g_hash_table_iter_init (&iter, world->told_won);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    ck_assert_msg (g_hash_table_contains (world->winners, id), "%s says it won", (const char *) id);
  g_hash_table_iter_init (&iter, world->told_lost);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    ck_assert_msg (!g_hash_table_contains (world->winners, id), "%s says nothing was changed",
                   (const char *) id);
}

static guint
run_history (guint32 seed)
{
  world_t world = {
    .random = g_rand_new_with_seed (seed),
    .rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row),
    .winners = new_set (),
    .told_won = new_set (),
    .told_lost = new_set (),
  };
  guint won;

  for (guint step = 0; step < N_STEPS; step++)
    {
      submitter_t *self = &world.submitters[g_rand_int_range (world.random, 0, N_SUBMITTERS)];

      if (self->submit == NULL || self->ended)
        begin (&world, self);
      else if (g_rand_int_range (world.random, 0, 60) == 0)
        anvil_submit_give_up (self->submit);
      else
        answer (&world, self);
      check_history (&world);
    }
  won = g_hash_table_size (world.told_won);

  for (guint i = 0; i < N_SUBMITTERS; i++)
    {
      submitter_t *self = &world.submitters[i];

      anvil_submit_drop (self->submit);
      g_free (self->id);
      g_free (self->prefix);
      g_free (self->history_key);
      g_free (self->record);
    }
  g_hash_table_unref (world.told_lost);
  g_hash_table_unref (world.told_won);
  g_hash_table_unref (world.winners);
  g_hash_table_unref (world.rows);
  g_rand_free (world.random);
  return won;
}

START_TEST (test_histories)
{
  guint won = 0;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    won += run_history (seed);
  ck_assert_uint_gt (won, N_SEEDS);
}
END_TEST

START_TEST (test_head_record_round_trip_and_faults)
{
  static const char *const bad[] = { "",
                                     "{}",
                                     "[]",
                                     "{\"generation\":0,\"object\":\"a\",\"submission\":\"b\"}",
                                     "{\"generation\":1,\"object\":2,\"submission\":\"b\"}",
                                     "{\"generation\":1" };
  anvil_config_head_t head = { .generation = 7,
                               .object = (char *) "o",
                               .submission = (char *) "s",
                               .by = (char *) "b\"",
                               .at = (char *) "t" };
  char *text = anvil_config_head_format (&head);
  anvil_config_head_t parsed;

  ck_assert (anvil_config_head_parse (anvil_str (text), &parsed, NULL));
  ck_assert_uint_eq (parsed.generation, 7);
  ck_assert_str_eq (parsed.by, "b\"");
  anvil_config_head_clear (&parsed);
  g_free (text);
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert_msg (!anvil_config_head_parse (anvil_str (bad[i]), &parsed, NULL), "accepted %s",
                   bad[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("submit");
  TCase *tcase = tcase_create ("submit");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 0);
  tcase_add_test (tcase, test_histories);
  tcase_add_test (tcase, test_head_record_round_trip_and_faults);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
