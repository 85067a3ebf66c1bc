/* Proofs that the configuration in force is the newest, in time of CLOCK_BOOTTIME. */

#include <check.h>
#include <stdlib.h>

#include "steer/config-proof.h"

#define REVOKE_TIME (5 * ANVIL_SECOND)
/* The machine has run for a while. */
#define START (100 * ANVIL_SECOND)

START_TEST (test_without_a_proof_keys_are_not_judged)
{
  anvil_config_proof_t proof = { 0 };

  ck_assert_int_lt (anvil_config_proof_age (&proof, START), 0);
  ck_assert (!anvil_config_proof_allows_keys (-1, REVOKE_TIME));
  ck_assert (!anvil_config_proof_is_fresh (-1, REVOKE_TIME));
}
END_TEST

START_TEST (test_a_proof_ends_before_the_revoke_time)
{
  ck_assert (anvil_config_proof_allows_keys (0, REVOKE_TIME));
  ck_assert (anvil_config_proof_allows_keys (4700 * ANVIL_MS - 1, REVOKE_TIME));
  ck_assert (!anvil_config_proof_allows_keys (4700 * ANVIL_MS, REVOKE_TIME));
  ck_assert (anvil_config_proof_is_fresh (3 * ANVIL_SECOND - 1, REVOKE_TIME));
  ck_assert (!anvil_config_proof_is_fresh (3 * ANVIL_SECOND, REVOKE_TIME));
}
END_TEST

/* Guards against an answer that counts from its arrival, though it was held or delayed. */
START_TEST (test_a_read_counts_from_its_call_and_an_older_one_changes_nothing)
{
  anvil_config_proof_t proof = { 0 };

  anvil_config_proof_add_read (&proof, START);
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), ANVIL_SECOND);
  anvil_config_proof_add_read (&proof, START - ANVIL_SECOND);
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), ANVIL_SECOND);
  anvil_config_proof_add_read (&proof, START + ANVIL_SECOND);
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), 0);
}
END_TEST

/* Guards against a pong that counts from its arrival or without the age of the peer's proof. */
START_TEST (test_a_pong_counts_from_its_ping_less_the_age_there)
{
  anvil_config_proof_t proof = { 0 };

  ck_assert (anvil_config_proof_add_pong (&proof, 7, 7, START, 400 * ANVIL_MS));
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), 1400 * ANVIL_MS);
  ck_assert (anvil_config_proof_add_pong (&proof, 8, 7, START + ANVIL_SECOND, 0));
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), 0);
  /* An older proof doesn't replace it. */
  anvil_config_proof_add_pong (&proof, 8, 8, START + ANVIL_SECOND, ANVIL_SECOND);
  ck_assert_int_eq (anvil_config_proof_age (&proof, START + ANVIL_SECOND), 0);
}
END_TEST

/* Guards against a peer's proof of a version that may lack a key which is still accepted here. */
START_TEST (test_a_pong_proves_nothing_for_an_older_version_or_without_a_proof_there)
{
  anvil_config_proof_t proof = { 0 };

  ck_assert (!anvil_config_proof_add_pong (&proof, 7, 8, START, 0));
  ck_assert (!anvil_config_proof_add_pong (&proof, 7, 7, START, -1));
  ck_assert (!anvil_config_proof_add_pong (&proof, 0, 0, START, 0));
  ck_assert (!anvil_config_proof_add_pong (&proof, 7, 0, START, 0));
  ck_assert_int_lt (anvil_config_proof_age (&proof, START), 0);
}
END_TEST

/* Two entries that hear of each other only: their proofs age together. */
START_TEST (test_entries_without_the_store_do_not_renew_each_others_proofs)
{
  anvil_config_proof_t a = { 0 };
  anvil_config_proof_t b = { 0 };
  anvil_time_t now = START;

  anvil_config_proof_add_read (&a, START);
  for (guint i = 0; i < 100; i++, now += 250 * ANVIL_MS)
    {
      anvil_config_proof_add_pong (&b, 7, 7, now, anvil_config_proof_age (&a, now));
      anvil_config_proof_add_pong (&a, 7, 7, now, anvil_config_proof_age (&b, now));
    }
  ck_assert_int_eq (anvil_config_proof_age (&a, now), now - START);
  ck_assert_int_eq (anvil_config_proof_age (&b, now), now - START);
}
END_TEST

/* A VM is suspended for an hour: CLOCK_BOOTTIME goes on, and pongs of before are dated before. */
START_TEST (test_a_proof_of_before_a_suspension_is_old)
{
  const anvil_time_t resumed_at = START + 3600 * ANVIL_SECOND;
  anvil_config_proof_t proof = { 0 };

  anvil_config_proof_add_read (&proof, START);
  ck_assert (
      !anvil_config_proof_allows_keys (anvil_config_proof_age (&proof, resumed_at), REVOKE_TIME));
  anvil_config_proof_add_pong (&proof, 7, 7, START + ANVIL_MS, 0);
  ck_assert (
      !anvil_config_proof_allows_keys (anvil_config_proof_age (&proof, resumed_at), REVOKE_TIME));
  anvil_config_proof_add_pong (&proof, 7, 7, resumed_at, 0);
  ck_assert (
      anvil_config_proof_allows_keys (anvil_config_proof_age (&proof, resumed_at), REVOKE_TIME));
}
END_TEST

/* An entry that reads the store itself stays fresh when one of its calls is held. */
START_TEST (test_held_calls_keep_the_proof_fresh)
{
  const anvil_time_t hold_time = anvil_config_proof_max_hold_time (REVOKE_TIME);

  ck_assert_int_gt (hold_time, 0);
  ck_assert (anvil_config_proof_is_fresh (2 * hold_time + ANVIL_SECOND, REVOKE_TIME));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-proof");
  TCase *tests = tcase_create ("config-proof");
  SRunner *runner;
  int failed;

  tcase_add_test (tests, test_without_a_proof_keys_are_not_judged);
  tcase_add_test (tests, test_a_proof_ends_before_the_revoke_time);
  tcase_add_test (tests, test_a_read_counts_from_its_call_and_an_older_one_changes_nothing);
  tcase_add_test (tests, test_a_pong_counts_from_its_ping_less_the_age_there);
  tcase_add_test (tests, test_a_pong_proves_nothing_for_an_older_version_or_without_a_proof_there);
  tcase_add_test (tests, test_entries_without_the_store_do_not_renew_each_others_proofs);
  tcase_add_test (tests, test_a_proof_of_before_a_suspension_is_old);
  tcase_add_test (tests, test_held_calls_keep_the_proof_fresh);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
