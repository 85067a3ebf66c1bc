/* News of upstreams for peers that are some versions behind. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/update-log.h"

static anvil_update_log_t *news;
static GString *seen;

static void
set_up (void)
{
  news = anvil_update_log_new ();
  seen = g_string_new (NULL);
}

static void
tear_down (void)
{
  anvil_update_log_free (news);
  g_string_free (seen, TRUE);
}

static void
add (const char *key, const char *value)
{
  const anvil_store_row_t row
      = { .key = anvil_str (key), .value = anvil_str (value), .removed = value == NULL };

  anvil_update_log_add (news, &row);
}

static void
on_row (void *context, const anvil_store_row_t *row)
{
  g_string_append_printf (seen, "%.*s=%.*s%s ", ANVIL_STR_ARGS (row->key),
                          ANVIL_STR_ARGS (row->value), row->removed ? "-" : "");
}

/* What a peer at @version would be told, or "too old". */
static const char *
since (guint64 version)
{
  GByteArray *rows = g_byte_array_new ();

  g_string_truncate (seen, 0);
  if (anvil_update_log_since (news, version, rows))
    ck_assert (
        anvil_updates_unpack ((anvil_str_t){ (const char *) rows->data, rows->len }, on_row, NULL));
  else
    g_string_assign (seen, "not told");
  g_byte_array_unref (rows);
  return seen->str;
}

START_TEST (test_a_peer_is_told_what_came_after_its_version)
{
  anvil_update_log_reset (news, 10);
  add ("a", "1");
  anvil_update_log_end_batch (news, 12);
  anvil_update_log_end_batch (news, 14);
  add ("a", "2");
  add ("b", NULL);
  anvil_update_log_end_batch (news, 20);
  ck_assert_str_eq (since (10), "a=1 a=2 b=- ");
  ck_assert_str_eq (since (11), "a=1 a=2 b=- ");
  ck_assert_str_eq (since (12), "a=2 b=- ");
  ck_assert_str_eq (since (20), "");
}
END_TEST

START_TEST (test_a_peer_that_is_too_far_behind_or_ahead_is_not_told)
{
  ck_assert_str_eq (since (0), "not told");
  anvil_update_log_reset (news, 10);
  anvil_update_log_end_batch (news, 12);
  ck_assert_str_eq (since (9), "not told");
  ck_assert_str_eq (since (13), "not told");
  for (guint64 version = 13; version < 100; version++)
    anvil_update_log_end_batch (news, version);
  ck_assert_str_eq (since (20), "not told");
  ck_assert_str_eq (since (90), "");
  anvil_update_log_reset (news, 200);
  ck_assert_str_eq (since (99), "not told");
}
END_TEST

START_TEST (test_the_log_is_bounded)
{
  char *large = g_strnfill (30000, 'x');

  anvil_update_log_reset (news, 1);
  for (guint64 version = 2; version < 6; version++)
    {
      add ("a", large);
      anvil_update_log_end_batch (news, version);
    }
  ck_assert_str_eq (since (1), "not told");
  ck_assert_str_eq (since (5), "");
  g_free (large);
}
END_TEST

START_TEST (test_bytes_that_are_no_rows_are_refused)
{
  GRand *random = g_rand_new_with_seed (5);
  guint refused = 0;

  for (guint i = 0; i < 5000; i++)
    {
      char bytes[24];

      for (gsize j = 0; j < sizeof bytes; j++)
        bytes[j] = (char) g_rand_int_range (random, 0, 256);
      refused += !anvil_updates_unpack ((anvil_str_t){ bytes, sizeof bytes }, on_row, NULL);
    }
  ck_assert_uint_ge (refused, 4900);
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("news-log");
  TCase *tests = tcase_create ("news-log");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_peer_is_told_what_came_after_its_version);
  tcase_add_test (tests, test_a_peer_that_is_too_far_behind_or_ahead_is_not_told);
  tcase_add_test (tests, test_the_log_is_bounded);
  tcase_add_test (tests, test_bytes_that_are_no_rows_are_refused);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
