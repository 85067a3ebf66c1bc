/* The changes of the configuration that a peer lacks. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/config-log.h"

#define N_VERSIONS 200
#define LARGE_BYTES (256u << 10)

static anvil_config_log_t *sender;
static anvil_config_log_t *receiver;

static void
set_up (void)
{
  sender = anvil_config_log_new ();
  receiver = anvil_config_log_new ();
}

static void
tear_down (void)
{
  anvil_config_log_drop (sender);
  anvil_config_log_drop (receiver);
}

static char *
text_of (gint64 version)
{
  return g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT ",\"resources\":[\"photos\"]}", version);
}

static void
set_version (anvil_config_log_t *log, gint64 version)
{
  char *text = text_of (version);

  anvil_config_log_set (log, version, anvil_str (text), (anvil_str_t){ 0 });
  g_free (text);
}

/* Brings the receiver from a version to the sender's, as a peer does. */
static gboolean
catch_up (gint64 version)
{
  GByteArray *changes = g_byte_array_new ();
  gboolean known = anvil_config_log_changes_since (sender, version, changes);
  anvil_str_t rest = { .data = (const char *) changes->data, .length = changes->len };

  while (known && rest.length > 0)
    {
      anvil_config_change_t change;
      GByteArray *text;

      ck_assert (anvil_config_change_unpack (&rest, &change));
      text = anvil_config_log_apply (receiver, &change);
      ck_assert_ptr_nonnull (text);
      anvil_config_log_set (receiver, change.to_version,
                            (anvil_str_t){ .data = (const char *) text->data, .length = text->len },
                            change.delta);
      g_byte_array_unref (text);
    }
  g_byte_array_unref (changes);
  return known;
}

/* Checks that the first of packed changes leads from the receiver's text to that of a version. */
static void
check_first_change (const GByteArray *changes, gint64 from_version, gint64 to_version)
{
  anvil_str_t rest = { .data = (const char *) changes->data, .length = changes->len };
  char *expected = text_of (to_version);
  anvil_config_change_t change;
  GByteArray *text;

  ck_assert (anvil_config_change_unpack (&rest, &change));
  ck_assert_int_eq (change.from_version, from_version);
  ck_assert_int_eq (change.to_version, to_version);
  text = anvil_config_log_apply (receiver, &change);
  ck_assert_ptr_nonnull (text);
  ck_assert (
      anvil_str_equal ((anvil_str_t){ .data = (const char *) text->data, .length = text->len },
                       anvil_str (expected)));
  g_byte_array_unref (text);
  g_free (expected);
}

START_TEST (test_a_peer_that_missed_versions_catches_up)
{
  GByteArray *changes = g_byte_array_new ();

  set_version (sender, 3);
  set_version (receiver, 3);
  for (gint64 version = 5; version < 20; version += 2)
    set_version (sender, version);
  ck_assert (catch_up (3));
  ck_assert (catch_up (19));
  set_version (sender, 20);
  ck_assert (anvil_config_log_changes_since (sender, 19, changes));
  check_first_change (changes, 19, 20);
  g_byte_array_unref (changes);
}
END_TEST

START_TEST (test_what_a_peer_received_it_can_pass_on)
{
  anvil_config_log_t *first = sender;

  set_version (sender, 1);
  set_version (receiver, 1);
  set_version (sender, 2);
  ck_assert (catch_up (1));
  sender = receiver;
  receiver = anvil_config_log_new ();
  set_version (receiver, 1);
  ck_assert (catch_up (1));
  anvil_config_log_drop (first);
}
END_TEST

START_TEST (test_an_unknown_version_is_told)
{
  ck_assert (!catch_up (0));
  set_version (sender, 4);
  ck_assert (catch_up (4));
  ck_assert (!catch_up (3));
  set_version (sender, 6);
  ck_assert (!catch_up (5));
  ck_assert (!catch_up (7));
}
END_TEST

START_TEST (test_the_changes_that_are_kept_are_bounded)
{
  GString *large = g_string_new (NULL);

  for (gint64 version = 1; version <= N_VERSIONS; version++)
    set_version (sender, version);
  ck_assert (!catch_up (1));
  set_version (receiver, N_VERSIONS - 10);
  ck_assert (catch_up (N_VERSIONS - 10));
  for (guint i = 0; large->len < LARGE_BYTES; i++)
    g_string_append_printf (large, "%u,", g_random_int ());
  anvil_config_log_set (sender, N_VERSIONS + 1,
                        (anvil_str_t){ .data = large->str, .length = large->len },
                        (anvil_str_t){ 0 });
  ck_assert (!catch_up (N_VERSIONS));
  g_string_free (large, TRUE);
}
END_TEST

START_TEST (test_the_whole_applies_to_any_version)
{
  GByteArray *changes = g_byte_array_new ();
  char *text = text_of (9);

  set_version (sender, 9);
  set_version (receiver, 2);
  anvil_config_log_pack_whole (sender, strlen (text) - 1, changes);
  ck_assert_uint_eq (changes->len, 0);
  anvil_config_log_pack_whole (sender, strlen (text), changes);
  check_first_change (changes, 0, 9);
  g_byte_array_unref (changes);
  g_free (text);
}
END_TEST

START_TEST (test_malformed_changes_are_rejected)
{
  GByteArray *changes = g_byte_array_new ();
  anvil_config_change_t change;

  set_version (sender, 1);
  set_version (sender, 2);
  ck_assert (anvil_config_log_changes_since (sender, 1, changes));
  for (gsize length = 0; length < changes->len; length++)
    {
      anvil_str_t part = { .data = (const char *) changes->data, .length = length };

      ck_assert (!anvil_config_change_unpack (&part, &change));
    }
  g_byte_array_unref (changes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-log");
  TCase *tests = tcase_create ("config-log");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_a_peer_that_missed_versions_catches_up);
  tcase_add_test (tests, test_what_a_peer_received_it_can_pass_on);
  tcase_add_test (tests, test_an_unknown_version_is_told);
  tcase_add_test (tests, test_the_changes_that_are_kept_are_bounded);
  tcase_add_test (tests, test_the_whole_applies_to_any_version);
  tcase_add_test (tests, test_malformed_changes_are_rejected);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
