/* The version in force only grows, wherever a configuration comes from. */

#include <check.h>
#include <stdlib.h>

#include "anvil/error.h"
#include "relay/config-in-force.h"
#include "relay/config-log.h"

static anvil_config_in_force_t *config;
static guint n_changes;
static gint64 last_version;

/* A configuration is its version, in decimal; anything else is invalid. */
static anvil_routes_t *
parse_routes (anvil_str_t value, GError **error)
{
  char *text = anvil_str_dup (value);
  gint64 version;
  gboolean valid = g_ascii_string_to_signed (text, 10, 1, G_MAXINT64, &version, NULL);

  g_free (text);
  if (valid)
    return anvil_routes_new (version);
  g_set_error_literal (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "not a number");
  return NULL;
}

static void
on_changed (void *unused_context, anvil_routes_t *routes)
{
  n_changes++;
  last_version = anvil_routes_version (routes);
}

static const anvil_adapter_t adapter = { .parse_routes = parse_routes };

static void
set_up (void)
{
  config = anvil_config_in_force_new (&adapter, on_changed, NULL);
}

static void
tear_down (void)
{
  anvil_config_in_force_drop (config);
}

static gboolean
apply_row (const char *text)
{
  const anvil_table_follower_last_response_t response = { 0 };
  const anvil_store_row_t row = { .key = anvil_str ("config"),
                                  .value = anvil_str (text != NULL ? text : ""),
                                  .removed = text == NULL };

  return anvil_config_in_force_apply_row (config, &row, &response);
}

/* The changes that a peer sends to bring @from to @to. */
static GByteArray *
changes_of_peer (gint64 from, const char *from_text, gint64 to, const char *to_text)
{
  anvil_config_log_t *peer = anvil_config_log_new ();
  GByteArray *changes = g_byte_array_new ();

  anvil_config_log_set (peer, from, anvil_str (from_text), (anvil_str_t){ 0 });
  anvil_config_log_set (peer, to, anvil_str (to_text), (anvil_str_t){ 0 });
  ck_assert (anvil_config_log_changes_since (peer, from, changes));
  anvil_config_log_drop (peer);
  return changes;
}

static gboolean
apply_changes (GByteArray *changes)
{
  gboolean applied = anvil_config_in_force_apply_changes (
      config, (anvil_str_t){ .data = (const char *) changes->data, .length = changes->len }, "peer",
      0);

  g_byte_array_unref (changes);
  return applied;
}

static void
check_in_force (gint64 version, guint changes)
{
  ck_assert_int_eq (anvil_config_in_force_version (config), version);
  ck_assert_int_eq (last_version, version);
  ck_assert_uint_eq (n_changes, changes);
}

START_TEST (test_rows_that_are_older_invalid_or_removed_change_nothing)
{
  ck_assert (!anvil_config_in_force_exists (config));
  ck_assert (apply_row ("5"));
  ck_assert (anvil_config_in_force_exists (config));
  ck_assert (!apply_row ("4"));
  ck_assert (!apply_row ("5"));
  ck_assert (!apply_row ("invalid"));
  ck_assert (!apply_row (NULL));
  check_in_force (5, 1);
  ck_assert (apply_row ("7"));
  check_in_force (7, 2);
}
END_TEST

START_TEST (test_older_changes_of_a_peer_change_nothing)
{
  ck_assert (apply_row ("5"));
  ck_assert (apply_changes (changes_of_peer (5, "5", 8, "8")));
  check_in_force (8, 2);
  ck_assert (apply_changes (changes_of_peer (5, "5", 8, "8")));
  ck_assert (apply_changes (changes_of_peer (5, "5", 7, "7")));
  ck_assert (!apply_row ("6"));
  check_in_force (8, 2);
}
END_TEST

START_TEST (test_changes_from_another_text_or_to_an_invalid_one_are_not_applied)
{
  ck_assert (apply_row ("5"));
  ck_assert (!apply_changes (changes_of_peer (4, "4", 8, "8")));
  ck_assert (!apply_changes (changes_of_peer (5, "other", 8, "8")));
  ck_assert (!apply_changes (changes_of_peer (5, "5", 8, "invalid")));
  /* The version that was told isn't that of the text. */
  ck_assert (!apply_changes (changes_of_peer (5, "5", 8, "3")));
  check_in_force (5, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-in-force");
  TCase *tests = tcase_create ("config-in-force");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, test_rows_that_are_older_invalid_or_removed_change_nothing);
  tcase_add_test (tests, test_older_changes_of_a_peer_change_nothing);
  tcase_add_test (tests, test_changes_from_another_text_or_to_an_invalid_one_are_not_applied);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
