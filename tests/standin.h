#pragma once

#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs a stand-in as a process, for tests. */

/**
 * standin_t - a process
 * @stderr_fd: pipe from its standard error
 * @endpoint: endpoint that it listens on, "127.0.0.1:41234"
 */
typedef struct
{
  GPid pid;
  int stderr_fd;
  char endpoint[32];
} standin_t;

/* Reads standard error up to the log line that the stand-in listens. */
static G_GNUC_UNUSED void
standin_wait_until_ready (standin_t *standin)
{
  GIOChannel *channel = g_io_channel_unix_new (standin->stderr_fd);
  const char *prefix = "listening on ";
  char *line = NULL;

  while (g_io_channel_read_line (channel, &line, NULL, NULL, NULL) == G_IO_STATUS_NORMAL)
    {
      const char *match = strstr (line, prefix);

      if (match != NULL)
        {
          g_strlcpy (standin->endpoint, g_strchomp (strstr (line, prefix) + strlen (prefix)),
                     sizeof standin->endpoint);
          break;
        }
      g_clear_pointer (&line, g_free);
    }
  g_free (line);
  g_io_channel_unref (channel);
  if (standin->endpoint[0] == '\0')
    g_error ("stand-in ended before it listened");
}

/** standin_open - starts a program and waits until it listens; @arguments are its flags,
 * NULL-terminated */
static G_GNUC_UNUSED void
standin_open (standin_t *standin, const char *program, const char *const *arguments)
{
  const char *directory = g_getenv ("ANVIL_BIN");
  GStrvBuilder *builder = g_strv_builder_new ();
  char *path
      = g_build_filename (directory != NULL ? directory : "build/release/bin", program, NULL);
  GError *error = NULL;
  char **argv;

  g_strv_builder_add (builder, path);
  g_strv_builder_addv (builder, (const char **) arguments);
  argv = g_strv_builder_end (builder);
  memset (standin, 0, sizeof *standin);
  if (!g_spawn_async_with_pipes (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
                                 &standin->pid, NULL, NULL, &standin->stderr_fd, &error))
    g_error ("%s", error->message);
  g_strv_builder_unref (builder);
  g_strfreev (argv);
  g_free (path);
  standin_wait_until_ready (standin);
}

/** standin_close - terminates the process; returns its wait status */
static G_GNUC_UNUSED int
standin_close (standin_t *standin)
{
  int status = -1;

  kill (standin->pid, SIGTERM);
  waitpid (standin->pid, &status, 0);
  g_spawn_close_pid (standin->pid);
  close (standin->stderr_fd);
  return status;
}
