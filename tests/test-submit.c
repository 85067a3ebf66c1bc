/* Submission of configuration files: random sequences of events, checked against a model. */

#include <check.h>
#include <stdlib.h>

#include "fake-config-store.h"

#define N_SEEDS 300
#define N_STEPS 400

#define OBJECT "\"config-0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\""

static char *
write_file (guint submission)
{
  return g_strdup_printf ("file %u", submission);
}

static guint
run_sequence (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  fake_config_store_t *registry = fake_config_store_new (random, write_file);
  guint n_accepted;

  for (guint step = 0; step < N_STEPS; step++)
    {
      fake_config_store_step (registry);
      fake_config_store_check (registry);
    }
  n_accepted = g_hash_table_size (registry->reported_accepted);
  fake_config_store_drop (registry);
  g_rand_free (random);
  return n_accepted;
}

START_TEST (test_random_submissions)
{
  guint n_accepted = 0;

  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    n_accepted += run_sequence (seed);
  ck_assert_uint_gt (n_accepted, N_SEEDS);
}
END_TEST

START_TEST (test_head_record_round_trip_and_errors)
{
  static const char *const invalid[] = {
    "",
    "{}",
    "[]",
    "{\"generation\":0,\"object\":" OBJECT ",\"submission\":\"b\"}",
    "{\"generation\":1,\"object\":2,\"submission\":\"b\"}",
    "{\"generation\":1,\"object\":\"config-../seat/0\",\"submission\":\"b\"}",
    "{\"generation\":1,\"object\":" OBJECT "}",
    "{\"generation\":1",
  };
  char *object = anvil_config_object_name (anvil_str ("file"));
  anvil_config_head_t head = { .generation = 7,
                               .object_name = object,
                               .submission_id = (char *) "s",
                               .submitted_by = (char *) "b\"",
                               .submitted_at = (char *) "t" };
  char *text = anvil_config_head_format (&head);
  anvil_config_head_t parsed;

  ck_assert (anvil_config_head_parse (anvil_str (text), &parsed, NULL));
  ck_assert_uint_eq (parsed.generation, 7);
  ck_assert_str_eq (parsed.submitted_by, "b\"");
  ck_assert_str_eq (parsed.object_name, object);
  anvil_config_head_clear (&parsed);
  g_free (object);
  g_free (text);
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    ck_assert_msg (!anvil_config_head_parse (anvil_str (invalid[i]), &parsed, NULL), "accepted %s",
                   invalid[i]);
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
  tcase_add_test (tcase, test_random_submissions);
  tcase_add_test (tcase, test_head_record_round_trip_and_errors);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
