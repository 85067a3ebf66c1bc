/* anvil-relay: the daemon of an entry VM whose upstreams register themselves in a store. Reads its
 * settings file, runs the event loop and handles signals. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "anvil/log.h"
#include "anvil/settings.h"
#include "platform/adapter.h"
#include "relay/relay.h"

#define EXIT_SETTINGS 2
/* The settings file is checked for changes, since it may be written without a SIGHUP. */
#define SETTINGS_CHECK_PERIOD_S 1

/* Indices of the options below. */
enum
{
  SETTINGS,
  LOG_LEVEL,
};

static const anvil_setting_t option_definitions[] = {
  [SETTINGS] = { .name = "settings",
                 .kind = ANVIL_SETTING_TEXT,
                 .help = "Settings file of this VM",
                 .required = TRUE },
  [LOG_LEVEL] = { .name = "log-level",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "error, warning, notice, info or debug",
                  .default_value = "info" },
};

/**
 * program_t - context of the signal handlers and of the settings timer
 * @path: path of the settings file
 * @settings: settings read at the start
 * @modified_at: modification time of the file when it was read last
 */
typedef struct
{
  anvil_relay_t *relay;
  const char *path;
  anvil_relay_settings_t settings;
  struct timespec modified_at;
} program_t;

static void
on_terminate (evutil_socket_t number, short what, void *data)
{
  program_t *program = data;

  anvil_relay_begin_shutdown (program->relay);
}

static struct timespec
file_modified_at (const char *path)
{
  struct stat status;

  if (stat (path, &status) != 0)
    return (struct timespec){ 0 };
  return status.st_mtim;
}

static void
reload (program_t *program)
{
  anvil_relay_settings_t next;
  GError *error = NULL;

  program->modified_at = file_modified_at (program->path);
  if (!anvil_adapter_load_settings (program->path, &next, &error))
    {
      anvil_log (ANVIL_LOG_ERROR, "settings",
                 "invalid settings file, keeping the last settings reason=\"%s\"", error->message);
      g_error_free (error);
      return;
    }
  anvil_log (ANVIL_LOG_NOTICE, "settings", "settings reloaded seeds=%u", next.n_seeds);
  anvil_relay_reload (program->relay, &next);
  anvil_relay_settings_clear (&next);
}

static void
on_hangup (evutil_socket_t number, short what, void *data)
{
  reload (data);
}

static void
on_settings_timer (evutil_socket_t fd, short what, void *data)
{
  program_t *program = data;
  struct timespec now = file_modified_at (program->path);

  if (memcmp (&now, &program->modified_at, sizeof now) != 0)
    reload (program);
}

static void
on_log_timer (evutil_socket_t fd, short what, void *data)
{
  anvil_log_flush ();
}

static int
run (struct event_base *base, program_t *program)
{
  const struct timeval settings_period = { .tv_sec = SETTINGS_CHECK_PERIOD_S };
  const struct timeval log_period = { .tv_usec = ANVIL_LOG_FLUSH_INTERVAL_US };
  GError *error = NULL;
  struct event *events[4];

  program->relay = anvil_relay_open (base, &program->settings, anvil_adapter_get (), &error);
  if (program->relay == NULL)
    {
      fprintf (stderr, "anvil-relay: %s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  anvil_log (ANVIL_LOG_NOTICE, "relay", "starting vm=%s zone=%s", program->settings.vm,
             program->settings.zone);
  events[0] = evsignal_new (base, SIGTERM, on_terminate, program);
  events[1] = evsignal_new (base, SIGHUP, on_hangup, program);
  events[2] = event_new (base, -1, EV_PERSIST, on_settings_timer, program);
  events[3] = event_new (base, -1, EV_PERSIST, on_log_timer, NULL);
  event_add (events[0], NULL);
  event_add (events[1], NULL);
  event_add (events[2], &settings_period);
  event_add (events[3], &log_period);
  event_base_dispatch (base);
  for (gsize i = 0; i < G_N_ELEMENTS (events); i++)
    event_free (events[i]);
  anvil_relay_close (program->relay);
  anvil_log_flush ();
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[G_N_ELEMENTS (option_definitions)];
  anvil_settings_t options
      = { .program = "anvil-relay", .items = items, .n_items = G_N_ELEMENTS (items) };
  program_t program = { 0 };
  anvil_log_level_t level;
  struct event_base *base;
  GError *error = NULL;
  anvil_settings_outcome_t outcome;
  int status;

  memcpy (items, option_definitions, sizeof items);
  outcome = anvil_settings_load (&options, argc, (const char **) argv);
  if (outcome == ANVIL_SETTINGS_EXIT)
    return EXIT_SUCCESS;
  if (outcome == ANVIL_SETTINGS_INVALID)
    return EXIT_SETTINGS;
  if (!anvil_log_level_parse (items[LOG_LEVEL].text, &level))
    {
      fprintf (stderr, "anvil-relay: --log-level \"%s\" is not a log level\n",
               items[LOG_LEVEL].text);
      return EXIT_SETTINGS;
    }
  program.path = items[SETTINGS].text;
  program.modified_at = file_modified_at (program.path);
  if (!anvil_adapter_load_settings (program.path, &program.settings, &error))
    {
      fprintf (stderr, "anvil-relay: %s: %s\n", program.path, error->message);
      g_error_free (error);
      return EXIT_SETTINGS;
    }
  signal (SIGPIPE, SIG_IGN);
  anvil_log_set_level (level);
  anvil_log_to_stdout ();
  base = event_base_new ();
  status = run (base, &program);
  event_base_free (base);
  anvil_relay_settings_clear (&program.settings);
  anvil_settings_clear (&options);
  return status;
}
