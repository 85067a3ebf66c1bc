/* Runs anvil-config against the platform's stand-in and checks its exit codes and output. */

#include "standin.h"
#include <stdlib.h>

#define LABKA "examples/labka.yaml"
#define HOLMGAARD "examples/holmgaard.yaml"

static standin_t platform;

/* Runs a program and waits for it; @output receives its standard output and standard error. */
static int
run (const char *program, const char *const *arguments, char **output)
{
  GStrvBuilder *builder = g_strv_builder_new ();
  GError *error = NULL;
  char *errors;
  char *printed;
  char **argv;
  int status;

  g_strv_builder_add (builder, program);
  g_strv_builder_addv (builder, (const char **) arguments);
  argv = g_strv_builder_end (builder);
  if (!g_spawn_sync (NULL, argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, &printed, &errors, &status,
                     &error))
    ck_abort_msg ("%s", error->message);
  ck_assert_msg (WIFEXITED (status), "%s was ended by a signal", program);
  *output = g_strconcat (printed, errors, NULL);
  g_free (printed);
  g_free (errors);
  g_strfreev (argv);
  g_strv_builder_unref (builder);
  return WEXITSTATUS (status);
}

static void
expect (int code, const char *line, const char *const *arguments)
{
  const char *directory = g_getenv ("ANVIL_BIN");
  char *path = g_build_filename (directory != NULL ? directory : "build/release/bin",
                                 "anvil-config", NULL);
  char *output;
  int actual = run (path, arguments, &output);

  ck_assert_msg (actual == code && strstr (output, line) != NULL,
                 "exit %d, expected %d with \"%s\"; printed: %s", actual, code, line, output);
  g_free (output);
  g_free (path);
}

#define EXPECT(code, line, ...) expect (code, line, (const char *const[]){ __VA_ARGS__, NULL })
#define ON_PLATFORM "--platform", platform.endpoint, "--wait-ms", "200"

static void
setup (void)
{
  standin_open (&platform, "anvil-platform",
                (const char *const[]){ "--listen", "127.0.0.1:0", NULL });
}

static void
teardown (void)
{
  standin_close (&platform);
}

/* Sets the stand-in's VMs or faults. */
static void
put (const char *path, const char *body)
{
  char *url = g_strdup_printf ("http://%s%s", platform.endpoint, path);
  char *output;

  ck_assert_int_eq (
      run ("curl", (const char *const[]){ "-sf", "-X", "PUT", "-d", body, url, NULL }, &output), 0);
  g_free (output);
  g_free (url);
}

START_TEST (test_check_needs_no_platform)
{
  EXPECT (0, "valid, 3 services, 38 upstreams, 7 seats", "check", LABKA);
  EXPECT (0, "\"valid\":true", "--json", "check", HOLMGAARD);
  EXPECT (1, "packages.txt:1: file: a single value, expected a mapping", "check",
          "scripts/packages.txt");
  EXPECT (1, "No such file", "check", "examples/none.yaml");
  EXPECT (2, "expected check FILE", "check");
  EXPECT (2, "expected check FILE", "drain", LABKA);
  EXPECT (2, "--platform is missing", "show");
}
END_TEST

START_TEST (test_submit_diff_show_and_history)
{
  EXPECT (1, "no file was ever submitted", ON_PLATFORM, "show");
  EXPECT (0, "generation 1 is in force on 0 of 0", ON_PLATFORM, "submit", LABKA);
  EXPECT (0, "0 changes to generation 1", ON_PLATFORM, "diff", LABKA);
  EXPECT (1, "seats: the list differs", ON_PLATFORM, "submit", HOLMGAARD);
  EXPECT (0, "\"generation\":2", ON_PLATFORM, "--json", "--after", "1", "submit", LABKA);
  EXPECT (4, "generation 2 was already submitted by", ON_PLATFORM, "--after", "1", "submit", LABKA);
  EXPECT (4, "\"result\":\"lost\"", ON_PLATFORM, "--json", "--after", "1", "submit", LABKA);
  EXPECT (0, "     2  ", ON_PLATFORM, "history");
  EXPECT (0, "deployment: labka", ON_PLATFORM, "show");
}
END_TEST

START_TEST (test_submit_with_silent_entry_and_failing_platform)
{
  put ("/v1/standin/vms", "{\"vms\":[{\"name\":\"entry-0\",\"kind\":\"entry\",\"state\":\"live\","
                          "\"zone\":\"zapad-a\",\"address\":\"127.0.0.1\",\"peer_port\":1,"
                          "\"caller_port\":1,\"admin_port\":1}]}");
  put ("/v1/standin/faults", "{\"vm_lag_ms\":0}");
  EXPECT (6, "in force on 0 of 1 entries, 1 silent", ON_PLATFORM, "submit", LABKA);
  put ("/v1/standin/faults", "{\"down\":true}");
  EXPECT (3, "nothing was changed", ON_PLATFORM, "submit", LABKA);
  EXPECT (3, "anvil-config: ", ON_PLATFORM, "show");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config-tool");
  TCase *tcase = tcase_create ("config-tool");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_check_needs_no_platform);
  tcase_add_test (tcase, test_submit_diff_show_and_history);
  tcase_add_test (tcase, test_submit_with_silent_entry_and_failing_platform);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
