/* Pauses that upstreams asked an entry for: how long they hold, and for which process. */

#include "relay/pause-table.h"

#include <check.h>
#include <stdlib.h>

#define NOW (100 * ANVIL_SECOND)
#define UNTIL (NOW + 3 * ANVIL_SECOND)

static anvil_pause_table_t *table;

static void
set_up (void)
{
  table = anvil_pause_table_new ();
  ck_assert (anvil_pause_table_add (table, NOW, "photos", 1, 1000, UNTIL));
}

static void
tear_down (void)
{
  anvil_pause_table_drop (table);
}

START_TEST (test_a_pause_holds_until_its_end)
{
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1000), UNTIL - NOW);
  ck_assert_int_eq (anvil_pause_table_remaining (table, UNTIL - 1, 1, 1000), 1);
  ck_assert_int_eq (anvil_pause_table_remaining (table, UNTIL, 1, 1000), 0);
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 2, 1000), 0);
  ck_assert_uint_eq (anvil_pause_table_count (table, NOW), 1);
  ck_assert_uint_eq (anvil_pause_table_count (table, UNTIL), 0);
}
END_TEST

/* Responses to earlier requests arrive late. */
START_TEST (test_a_shorter_pause_does_not_end_a_longer_one)
{
  ck_assert (!anvil_pause_table_add (table, NOW, "photos", 1, 1000, UNTIL - 1));
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1000), UNTIL - NOW);
  ck_assert (anvil_pause_table_add (table, NOW, "photos", 1, 1000, UNTIL + 1));
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1000), UNTIL + 1 - NOW);
}
END_TEST

START_TEST (test_a_later_start_does_not_inherit_a_pause)
{
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1001), 0);
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 0), UNTIL - NOW);
  ck_assert (anvil_pause_table_add (table, NOW, "photos", 1, 1001, UNTIL));
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1001), UNTIL - NOW);
}
END_TEST

/* The last response of the earlier process arrives after the first one of its successor. */
START_TEST (test_a_pause_of_an_earlier_start_does_not_replace_that_of_a_later_one)
{
  ck_assert (anvil_pause_table_add (table, NOW, "photos", 1, 1001, UNTIL));
  ck_assert (!anvil_pause_table_add (table, NOW, "photos", 1, 1000, UNTIL + 1));
  ck_assert_int_eq (anvil_pause_table_remaining (table, NOW, 1, 1001), UNTIL - NOW);
}
END_TEST

START_TEST (test_pauses_of_a_service_are_listed_with_what_remains)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (anvil_named_announcement_t));
  const anvil_named_announcement_t *item;

  anvil_pause_table_add (table, NOW, "videos", 2, 1000, UNTIL);
  anvil_pause_table_append (table, NOW + ANVIL_SECOND, "photos", items);
  ck_assert_uint_eq (items->len, 1);
  item = &g_array_index (items, anvil_named_announcement_t, 0);
  ck_assert_uint_eq (item->upstream, 1);
  ck_assert_int_eq (item->started_at, 1000);
  ck_assert_int_eq (item->announcement.pause, 2 * ANVIL_SECOND);
  ck_assert (!item->announcement.leaving);
  anvil_pause_table_append (table, UNTIL, "photos", items);
  ck_assert_uint_eq (items->len, 1);
  g_array_unref (items);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pause-table");
  TCase *tests = tcase_create ("pause-table");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_pause_holds_until_its_end);
  tcase_add_test (tests, test_a_shorter_pause_does_not_end_a_longer_one);
  tcase_add_test (tests, test_a_later_start_does_not_inherit_a_pause);
  tcase_add_test (tests, test_a_pause_of_an_earlier_start_does_not_replace_that_of_a_later_one);
  tcase_add_test (tests, test_pauses_of_a_service_are_listed_with_what_remains);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
