/* The update log: which rows a peer is sent that is some versions behind. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/update-log.h"

static anvil_update_log_t *update_log;
static GString *visited;

static void
set_up (void)
{
  update_log = anvil_update_log_new ();
  visited = g_string_new (NULL);
}

static void
tear_down (void)
{
  anvil_update_log_drop (update_log);
  g_string_free (visited, TRUE);
}

/* A position of a store that names no era. */
static anvil_store_position_t
at (guint64 version)
{
  return (anvil_store_position_t){ .version = version };
}

static void
add (const char *key, const char *value)
{
  const anvil_store_row_t row
      = { .key = anvil_str (key), .value = anvil_str (value), .removed = value == NULL };

  anvil_update_log_add (update_log, &row);
}

static void
on_row (void *context, const anvil_store_row_t *row)
{
  g_string_append_printf (visited, "%.*s=%.*s%s ", ANVIL_STR_ARGS (row->key),
                          ANVIL_STR_ARGS (row->value), row->removed ? "-" : "");
}

/* The rows that a peer at @version is sent, or "unavailable" if the log lacks some. */
static const char *
since (guint64 version)
{
  GByteArray *rows = g_byte_array_new ();

  g_string_truncate (visited, 0);
  if (anvil_update_log_since (update_log, at (version), rows))
    ck_assert (
        anvil_updates_unpack ((anvil_str_t){ (const char *) rows->data, rows->len }, on_row, NULL));
  else
    g_string_assign (visited, "unavailable");
  g_byte_array_unref (rows);
  return visited->str;
}

static void
on_removed_row (void *context, const anvil_store_row_t *row)
{
  g_string_append_printf (visited, "%.*s=%s ", ANVIL_STR_ARGS (row->key),
                          !row->removed  ? "written"
                          : row->missing ? "missing"
                                         : "removed");
}

/* A row that is missing may have been lost, one that was removed hasn't. */
START_TEST (test_missing_rows_are_told_from_removed_ones)
{
  const anvil_store_row_t rows[] = { { .key = anvil_str ("a"), .value = anvil_str ("1") },
                                     { .key = anvil_str ("b"), .removed = TRUE },
                                     { .key = anvil_str ("c"), .removed = TRUE, .missing = TRUE } };
  GByteArray *bytes = g_byte_array_new ();

  anvil_update_log_reset (update_log, at (10));
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    anvil_update_log_add (update_log, &rows[i]);
  anvil_update_log_end_batch (update_log, at (12));
  ck_assert (anvil_update_log_since (update_log, at (10), bytes));
  ck_assert (anvil_updates_unpack ((anvil_str_t){ (const char *) bytes->data, bytes->len },
                                   on_removed_row, NULL));
  ck_assert_str_eq (visited->str, "a=written b=removed c=missing ");
  g_byte_array_unref (bytes);
}
END_TEST

START_TEST (test_rows_after_the_version_of_a_peer_are_sent)
{
  anvil_update_log_reset (update_log, at (10));
  add ("a", "1");
  anvil_update_log_end_batch (update_log, at (12));
  anvil_update_log_end_batch (update_log, at (14));
  add ("a", "2");
  add ("b", NULL);
  anvil_update_log_end_batch (update_log, at (20));
  ck_assert_str_eq (since (10), "a=1 a=2 b=- ");
  ck_assert_str_eq (since (11), "a=1 a=2 b=- ");
  ck_assert_str_eq (since (12), "a=2 b=- ");
  ck_assert_str_eq (since (20), "");
}
END_TEST

/* What the read of the whole table changed leads from the past era to the present one, whose
 * versions are lower. */
START_TEST (test_a_peer_of_the_past_era_is_sent_what_has_changed)
{
  const anvil_store_position_t present = { .era = 1, .version = 5 };
  GByteArray *rows = g_byte_array_new ();

  anvil_update_log_reset (update_log, at (10));
  add ("a", "1");
  anvil_update_log_end_batch (update_log, at (12));
  add ("b", "2");
  anvil_update_log_end_batch (update_log, present);
  ck_assert_str_eq (since (10), "a=1 b=2 ");
  ck_assert_str_eq (since (12), "b=2 ");
  /* It has read further in that era than this log's entry has. */
  ck_assert_str_eq (since (13), "unavailable");
  ck_assert (anvil_update_log_since (update_log, present, rows));
  ck_assert_uint_eq (rows->len, 0);
  ck_assert (!anvil_update_log_since (update_log,
                                      (anvil_store_position_t){ .era = 2, .version = 1 }, rows));
  g_byte_array_unref (rows);
}
END_TEST

START_TEST (test_versions_outside_of_the_log_are_rejected)
{
  ck_assert_str_eq (since (0), "unavailable");
  anvil_update_log_reset (update_log, at (10));
  anvil_update_log_end_batch (update_log, at (12));
  ck_assert_str_eq (since (9), "unavailable");
  ck_assert_str_eq (since (13), "unavailable");
  for (guint64 version = 13; version < 100; version++)
    anvil_update_log_end_batch (update_log, at (version));
  ck_assert_str_eq (since (20), "unavailable");
  ck_assert_str_eq (since (90), "");
  anvil_update_log_reset (update_log, at (200));
  ck_assert_str_eq (since (99), "unavailable");
}
END_TEST

START_TEST (test_size_of_the_log_is_limited)
{
  char *large = g_strnfill (30000, 'x');

  anvil_update_log_reset (update_log, at (1));
  for (guint64 version = 2; version < 6; version++)
    {
      add ("a", large);
      anvil_update_log_end_batch (update_log, at (version));
    }
  ck_assert_str_eq (since (1), "unavailable");
  ck_assert_str_eq (since (5), "");
  g_free (large);
}
END_TEST

START_TEST (test_malformed_rows_are_rejected)
{
  GRand *random = g_rand_new_with_seed (5);
  guint rejected = 0;

  for (guint i = 0; i < 5000; i++)
    {
      char bytes[24];

      for (gsize j = 0; j < sizeof bytes; j++)
        bytes[j] = (char) g_rand_int_range (random, 0, 256);
      rejected += !anvil_updates_unpack ((anvil_str_t){ bytes, sizeof bytes }, on_row, NULL);
    }
  ck_assert_uint_ge (rejected, 4900);
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("update-log");
  TCase *tests = tcase_create ("update-log");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_missing_rows_are_told_from_removed_ones);
  tcase_add_test (tests, test_rows_after_the_version_of_a_peer_are_sent);
  tcase_add_test (tests, test_a_peer_of_the_past_era_is_sent_what_has_changed);
  tcase_add_test (tests, test_versions_outside_of_the_log_are_rejected);
  tcase_add_test (tests, test_size_of_the_log_is_limited);
  tcase_add_test (tests, test_malformed_rows_are_rejected);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
