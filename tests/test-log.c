/* Logging to standard output: lines are complete, and logging never blocks on the reader. */

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "anvil/clock.h"
#include "anvil/log.h"

#define LINES 20000

/* Forks a process that logs into a pipe; returns the read end of the pipe. */
static int
start_logger (pid_t *pid, gboolean flush_while_logging)
{
  int pipe_fds[2];

  ck_assert_int_eq (pipe (pipe_fds), 0);
  *pid = fork ();
  if (*pid == 0)
    {
      dup2 (pipe_fds[1], STDOUT_FILENO);
      close (pipe_fds[0]);
      close (pipe_fds[1]);
      anvil_log_to_stdout ();
      for (guint i = 0; i < LINES; i++)
        {
          anvil_log (ANVIL_LOG_NOTICE, "test", "line number=%u", i);
          if (flush_while_logging && i % 100 == 0)
            {
              anvil_log_flush ();
              g_usleep (200);
            }
        }
      for (guint i = 0; i < 200; i++)
        {
          anvil_log_flush ();
          g_usleep (2000);
        }
      _exit (0);
    }
  close (pipe_fds[1]);
  return pipe_fds[0];
}

START_TEST (test_logging_does_not_block_when_nobody_reads)
{
  anvil_time_t started_at = anvil_clock_now ();
  pid_t pid;
  int status;
  int fd = start_logger (&pid, FALSE);

  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert_int_eq (status, 0);
  ck_assert_int_lt (anvil_clock_now () - started_at, 20 * ANVIL_SECOND);
  close (fd);
}
END_TEST

START_TEST (test_number_of_dropped_lines_is_logged)
{
  char *text = g_malloc0 (8 << 20);
  gsize length = 0;
  ssize_t n_read;
  pid_t pid;
  int fd = start_logger (&pid, FALSE);
  guint lines = 0;
  guint dropped = 0;
  const char *found;

  while ((n_read = read (fd, text + length, 65536)) > 0)
    length += (gsize) n_read;
  waitpid (pid, NULL, 0);
  close (fd);
  for (const char *line = text; (line = strstr (line, "test: line number=")) != NULL; line++)
    lines++;
  found = strstr (text, "lines=");
  if (found != NULL)
    dropped = (guint) atoi (found + strlen ("lines="));
  ck_assert_uint_gt (dropped, 0);
  ck_assert_uint_eq (lines + dropped, LINES);
  g_free (text);
}
END_TEST

START_TEST (test_concurrent_reader_gets_every_line)
{
  char *text = g_malloc0 (8 << 20);
  gsize length = 0;
  ssize_t n_read;
  pid_t pid;
  int fd = start_logger (&pid, TRUE);

  while ((n_read = read (fd, text + length, 65536)) > 0)
    length += (gsize) n_read;
  waitpid (pid, NULL, 0);
  close (fd);
  for (guint i = 0; i < LINES; i += 997)
    {
      char *line = g_strdup_printf ("<5>test: line number=%u\n", i);

      ck_assert_msg (strstr (text, line) != NULL, "%s", line);
      g_free (line);
    }
  g_free (text);
}
END_TEST

/* Guards against lines as long as what they quote. */
START_TEST (test_long_lines_are_cut)
{
  char *quoted = g_strnfill (40000, 'x');
  char *text = g_malloc0 (100000);
  gsize length = 0;
  ssize_t n_read;
  int pipe_fds[2];
  pid_t pid;

  ck_assert_int_eq (pipe (pipe_fds), 0);
  pid = fork ();
  if (pid == 0)
    {
      dup2 (pipe_fds[1], STDERR_FILENO);
      anvil_log (ANVIL_LOG_NOTICE, "test", "row key=%s", quoted);
      anvil_log (ANVIL_LOG_NOTICE, "test", "next");
      _exit (0);
    }
  close (pipe_fds[1]);
  while ((n_read = read (pipe_fds[0], text + length, 65536)) > 0)
    length += (gsize) n_read;
  waitpid (pid, NULL, 0);
  close (pipe_fds[0]);
  ck_assert_uint_eq (strchr (text, '\n') - text, strlen ("<5>test: ") + ANVIL_LOG_MAX_BYTES);
  ck_assert_ptr_nonnull (strstr (text, "xxx...\n<5>test: next\n"));
  g_free (text);
  g_free (quoted);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tests = tcase_create ("log");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, test_logging_does_not_block_when_nobody_reads);
  tcase_add_test (tests, test_number_of_dropped_lines_is_logged);
  tcase_add_test (tests, test_concurrent_reader_gets_every_line);
  tcase_add_test (tests, test_long_lines_are_cut);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
