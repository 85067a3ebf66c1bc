/* Which entries callers are told of. */

#include <check.h>
#include <stdlib.h>

#include "steer/caller-choice.h"

#define N_CALLERS 4000
#define N_CANDIDATES 8

static anvil_caller_candidate_t candidates[N_CANDIDATES];

static void
set_up (void)
{
  for (guint i = 0; i < N_CANDIDATES; i++)
    candidates[i] = (anvil_caller_candidate_t){ .node = anvil_node (i + 1, 80), .share = 1000 };
}

/* Counts the callers that are told of each candidate. */
static void
count_callers (guint counts[N_CANDIDATES])
{
  for (guint caller = 0; caller < N_CALLERS; caller++)
    {
      anvil_node_t nodes[N_CANDIDATES];
      guint n = anvil_caller_choose (candidates, N_CANDIDATES, caller, nodes);

      for (guint i = 0; i < n; i++)
        counts[anvil_node_address (nodes[i]) - 1]++;
    }
}

START_TEST (test_callers_are_told_of_all_entries_with_the_same_share)
{
  guint counts[N_CANDIDATES] = { 0 };

  for (guint i = 0; i < N_CANDIDATES; i++)
    candidates[i].share = 200;
  count_callers (counts);
  for (guint i = 0; i < N_CANDIDATES; i++)
    ck_assert_uint_eq (counts[i], N_CALLERS);
}
END_TEST

START_TEST (test_an_entry_with_a_smaller_share_is_told_to_fewer_callers)
{
  guint counts[N_CANDIDATES] = { 0 };

  candidates[0].share = 250;
  candidates[1].share = 500;
  count_callers (counts);
  ck_assert_uint_gt (counts[0], N_CALLERS * 22 / 100);
  ck_assert_uint_lt (counts[0], N_CALLERS * 28 / 100);
  ck_assert_uint_gt (counts[1], N_CALLERS * 47 / 100);
  ck_assert_uint_lt (counts[1], N_CALLERS * 53 / 100);
  ck_assert_uint_eq (counts[2], N_CALLERS);
}
END_TEST

START_TEST (test_a_smaller_share_takes_an_entry_from_callers_and_gives_them_no_other_change)
{
  anvil_node_t before[N_CANDIDATES];
  anvil_node_t after[N_CANDIDATES];

  for (guint caller = 0; caller < N_CALLERS; caller++)
    {
      guint n_before;
      guint n_after;

      candidates[3].share = 600;
      n_before = anvil_caller_choose (candidates, N_CANDIDATES, caller, before);
      candidates[3].share = 300;
      n_after = anvil_caller_choose (candidates, N_CANDIDATES, caller, after);
      ck_assert_uint_le (n_after, n_before);
      ck_assert_uint_ge (n_after, N_CANDIDATES - 1);
    }
}
END_TEST

START_TEST (test_a_caller_has_alternatives)
{
  for (guint i = 1; i < N_CANDIDATES; i++)
    candidates[i].share = 1;
  for (guint caller = 0; caller < N_CALLERS; caller++)
    {
      anvil_node_t nodes[N_CANDIDATES];

      ck_assert_uint_ge (anvil_caller_choose (candidates, N_CANDIDATES, caller, nodes), 3);
      ck_assert_uint_eq (anvil_caller_choose (candidates, 1, caller, nodes), 1);
      ck_assert_uint_eq (anvil_caller_choose (candidates, 0, caller, nodes), 0);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("caller-choice");
  TCase *tests = tcase_create ("caller-choice");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, NULL);
  tcase_add_test (tests, test_callers_are_told_of_all_entries_with_the_same_share);
  tcase_add_test (tests, test_an_entry_with_a_smaller_share_is_told_to_fewer_callers);
  tcase_add_test (tests,
                  test_a_smaller_share_takes_an_entry_from_callers_and_gives_them_no_other_change);
  tcase_add_test (tests, test_a_caller_has_alternatives);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
