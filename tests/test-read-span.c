/* Spans of reads of the store: how long it is known to have answered. */

#include <check.h>
#include <stdlib.h>

#include "steer/read-span.h"

#define FIRST (100 * ANVIL_SECOND)

START_TEST (test_reads_without_a_gap_are_one_span)
{
  anvil_read_span_t span = { 0 };

  ck_assert_int_eq (anvil_read_span_length (&span, FIRST), 0);
  for (anvil_time_t at = FIRST; at <= FIRST + 5 * ANVIL_SECOND; at += ANVIL_SECOND)
    anvil_read_span_add (&span, at, at);
  ck_assert_int_eq (anvil_read_span_length (&span, FIRST + 6 * ANVIL_SECOND), 6 * ANVIL_SECOND);
}
END_TEST

START_TEST (test_a_gap_starts_a_new_span)
{
  anvil_read_span_t span = { 0 };
  anvil_time_t later = FIRST + ANVIL_MAX_READ_GAP + 1;

  anvil_read_span_add (&span, FIRST, FIRST);
  ck_assert_int_eq (anvil_read_span_length (&span, later), 0);
  anvil_read_span_add (&span, later, later);
  ck_assert_int_eq (anvil_read_span_length (&span, later + ANVIL_MS), ANVIL_MS);
}
END_TEST

/* An entry that lost the store at 4 s receives what a peer has read since 2 s. */
START_TEST (test_a_peers_reads_connect_with_own_ones)
{
  anvil_read_span_t span = { 0 };
  anvil_time_t now = FIRST + 9 * ANVIL_SECOND;

  anvil_read_span_add (&span, FIRST, FIRST + 4 * ANVIL_SECOND);
  anvil_read_span_add (&span, FIRST + 2 * ANVIL_SECOND, now);
  ck_assert_int_eq (anvil_read_span_length (&span, now), 9 * ANVIL_SECOND);
}
END_TEST

START_TEST (test_a_peer_may_have_read_the_store_for_longer)
{
  anvil_read_span_t span = { 0 };
  anvil_time_t now = FIRST + ANVIL_SECOND;

  anvil_read_span_add (&span, FIRST, FIRST);
  anvil_read_span_add (&span, FIRST - 20 * ANVIL_SECOND, now);
  ck_assert_int_eq (anvil_read_span_length (&span, now), 21 * ANVIL_SECOND);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("read-span");
  TCase *tests = tcase_create ("read-span");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_reads_without_a_gap_are_one_span);
  tcase_add_test (tests, test_a_gap_starts_a_new_span);
  tcase_add_test (tests, test_a_peers_reads_connect_with_own_ones);
  tcase_add_test (tests, test_a_peer_may_have_read_the_store_for_longer);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
