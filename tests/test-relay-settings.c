/* Changes of the settings file: what differs, and what the tool and the running entry say of it. */

#include "helper-fleet.h"

#include <stdlib.h>

#include "anvil/clock.h"
#include "platform/adapter.h"
#include "relay/relay-settings-diff.h"

static void
append_change (void *context, const anvil_relay_setting_change_t *change)
{
  g_string_append_printf (context, "%s %s>%s %s;", change->name, change->from, change->to,
                          change->at_reload ? "reload" : "start");
}

static anvil_relay_settings_t
settings (const char *extra_zone)
{
  anvil_relay_settings_t made = { .vm = g_strdup ("vm-1"), .zone = g_strdup ("west-a") };

  made.region_by_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (made.region_by_zone, g_strdup ("west-a"), g_strdup ("west"));
  if (extra_zone != NULL)
    g_hash_table_insert (made.region_by_zone, g_strdup (extra_zone), g_strdup ("east"));
  made.limits.max_shift = 0.15;
  return made;
}

START_TEST (test_each_difference_is_named_with_its_effect)
{
  anvil_relay_settings_t from = settings ("east-a");
  anvil_relay_settings_t to = settings ("east-b");
  GString *text = g_string_new (NULL);

  ck_assert_uint_eq (anvil_relay_settings_diff (&from, &from, append_change, text), 0);
  to.limits.max_shift = 0.2;
  to.store_endpoint.port = 80;
  to.seeds[to.n_seeds++] = anvil_node (0x7f000001, 5);
  ck_assert_uint_eq (anvil_relay_settings_diff (&from, &to, append_change, text), 5);
  ck_assert_str_eq (text->str, "store 0.0.0.0:0>0.0.0.0:80 start;seeds >127.0.0.1:5 reload;"
                               "max-shift 0.15>0.2 reload;zone east-a east>- start;"
                               "zone east-b ->east start;");
  g_string_free (text, TRUE);
  anvil_relay_settings_clear (&from);
  anvil_relay_settings_clear (&to);
}
END_TEST

static fleet_t fleet;

/* Writes the settings of the entry with one text replaced. */
static void
edit_settings (const char *path, const char *to_path, const char *from, const char *to)
{
  char *text = NULL;
  char **parts;
  char *edited;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  parts = g_strsplit (text, from, -1);
  ck_assert_uint_eq (g_strv_length (parts), 2);
  edited = g_strjoinv (to, parts);
  ck_assert (g_file_set_contents (to_path, edited, -1, NULL));
  g_free (edited);
  g_strfreev (parts);
  g_free (text);
}

/* Runs anvil-relay on the settings; returns its exit status, and its output in @output. */
static int
run_tool (const char *flag, const char *path, const char *argument, char **output)
{
  const char *bin = g_getenv ("ANVIL_BIN");
  char *program = g_build_filename (bin != NULL ? bin : "build/release/bin", "anvil-relay", NULL);
  char *argv[] = { program, "--settings", (char *) path, (char *) flag, (char *) argument, NULL };
  char *errors = NULL;
  int status = -1;

  ck_assert (
      g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, output, &errors, &status, NULL));
  g_free (program);
  g_free (errors);
  return status;
}

/* The change is compared before, made, and a request that is under way meanwhile is answered. */
START_TEST (test_a_change_is_shown_before_and_logged_when_it_takes_effect)
{
  fleet_entry_t *entry;
  char *path;
  char *next;
  char *log;
  char *text = NULL;
  char *response;
  int fd;

  g_setenv ("ANVIL_FLEET_LOGS", "1", TRUE);
  fleet_open (&fleet);
  fleet_add_upstream (&fleet, "u1", "photos", NULL);
  fleet_configure (&fleet, NULL);
  entry = fleet_add_entry (&fleet, "e1", "west-a");
  fleet_wait_ready (entry);
  path = g_strdup_printf ("%s/e1.json", fleet.directory);
  next = g_strdup_printf ("%s/next.json", fleet.directory);
  log = g_strdup_printf ("%s.log", path);
  edit_settings (path, next, "\"maxShift\":0.15", "\"maxShift\":0.25");
  ck_assert_int_eq (run_tool ("--compare", path, next, &text), 0);
  ck_assert_msg (strstr (text, "max-shift") != NULL && strstr (text, "0.15 -> 0.25") != NULL
                     && strstr (text, "at reload") != NULL,
                 "%s", text);
  g_free (text);
  fd = fleet_connect (entry->caller_port);
  fleet_send (fd, "POST /pay/1?work=800 HTTP/1.1\r\nHost: " FLEET_HOST
                  "\r\nRequest-Id: reload\r\nContent-Length: 0\r\n\r\n");
  g_usleep (100000);
  edit_settings (path, path, "\"maxShift\":0.15", "\"maxShift\":0.25");
  kill (entry->pid, SIGHUP);
  response = fleet_read_response (fd);
  ck_assert_uint_eq (fleet_response_status (response), 200);
  g_free (response);
  close (fd);
  fleet_kill_entry (entry, SIGTERM);
  ck_assert (g_file_get_contents (log, &text, NULL, NULL));
  ck_assert_msg (strstr (text, "setting changed name=\"max-shift\" from=\"0.15\" to=\"0.25\"")
                     != NULL,
                 "%s", text);
  g_free (text);
  edit_settings (path, next, "\"maxShift\":0.25", "\"maxShift\":\"x\"");
  ck_assert_int_ne (run_tool ("--compare", path, next, &text), 0);
  g_free (text);
  ck_assert_int_ne (run_tool ("--check-settings", next, NULL, &text), 0);
  g_free (text);
  ck_assert_int_eq (run_tool ("--check-settings", path, NULL, &text), 0);
  g_free (text);
  unlink (next);
  unlink (log);
  g_free (path);
  g_free (next);
  g_free (log);
  fleet_close (&fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay-settings");
  TCase *tests = tcase_create ("relay-settings");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_each_difference_is_named_with_its_effect);
  tcase_add_test (tests, test_a_change_is_shown_before_and_logged_when_it_takes_effect);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
