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
#include "relay/relay-settings-diff.h"
#include "relay/relay.h"

#define EXIT_SETTINGS 2
/* The settings file is checked for changes, since it may be written without a SIGHUP. */
#define SETTINGS_CHECK_PERIOD_S 1

/* Indices of the options below. */
enum
{
  SETTINGS,
  COMPARE,
  LOG_LEVEL,
};

static const anvil_setting_t option_definitions[] = {
  [SETTINGS] = { .name = "settings",
                 .kind = ANVIL_SETTING_TEXT,
                 .help = "Settings file of this VM",
                 .required = TRUE },
  [COMPARE]
  = { .name = "compare",
      .kind = ANVIL_SETTING_TEXT,
      .help = "Settings file that is to replace --settings: shows what changes, and exits" },
  [LOG_LEVEL] = { .name = "log-level",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "error, warning, notice, info or debug",
                  .default_value = "info" },
};

/**
 * program_t - context of the signal handlers and of the settings timer
 * @path: path of the settings file
 * @settings: settings in force
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
log_change (void *context, const anvil_relay_setting_change_t *change)
{
  anvil_log (ANVIL_LOG_NOTICE, "settings",
             "setting changed name=\"%s\" from=\"%s\" to=\"%s\" reaches=\"%s\" effect=%s",
             change->name, change->from, change->to, change->reaches,
             change->at_reload ? "now" : "at-next-start");
}

static void
print_change (void *context, const anvil_relay_setting_change_t *change)
{
  printf ("%-18s %s -> %s  (%s; %s)\n", change->name, change->from, change->to, change->reaches,
          change->at_reload ? "at reload" : "at the next start");
}

/* For --check-settings: names every invalid field of the settings file. */
static int
check_file (const char *path)
{
  anvil_relay_settings_t settings;
  GError *error = NULL;

  if (anvil_adapter_load_settings (path, &settings, &error))
    {
      anvil_relay_settings_clear (&settings);
      return EXIT_SUCCESS;
    }
  fprintf (stderr, "anvil-relay: %s: %s\n", path, error->message);
  g_error_free (error);
  return EXIT_SETTINGS;
}

/* Shows what replacing the settings in force by those of @path would change. */
static int
compare (const anvil_relay_settings_t *in_force, const char *path)
{
  anvil_relay_settings_t next;
  GError *error = NULL;

  if (!anvil_adapter_load_settings (path, &next, &error))
    {
      fprintf (stderr, "anvil-relay: %s: %s\n", path, error->message);
      g_error_free (error);
      return EXIT_SETTINGS;
    }
  if (anvil_relay_settings_diff (in_force, &next, print_change, NULL) == 0)
    printf ("no setting that this program uses differs\n");
  anvil_relay_settings_clear (&next);
  return EXIT_SUCCESS;
}

static void
reload (program_t *program)
{
  anvil_relay_settings_t next;
  GError *error = NULL;
  guint n_changes;

  program->modified_at = file_modified_at (program->path);
  if (!anvil_adapter_load_settings (program->path, &next, &error))
    {
      anvil_log (ANVIL_LOG_ERROR, "settings",
                 "invalid settings file, keeping the last settings reason=\"%s\"", error->message);
      g_error_free (error);
      return;
    }
  n_changes = anvil_relay_settings_diff (&program->settings, &next, log_change, NULL);
  anvil_log (ANVIL_LOG_NOTICE, "settings", "settings reloaded changes=%u", n_changes);
  anvil_relay_reload (program->relay, &next);
  /* What takes effect only at the next start stays different until then. */
  memcpy (program->settings.seeds, next.seeds, sizeof next.seeds);
  program->settings.n_seeds = next.n_seeds;
  program->settings.limits = next.limits;
  program->settings.resync_time = next.resync_time;
  program->settings.strict_revocation = next.strict_revocation;
  program->settings.revoke_time = next.revoke_time;
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
    {
      status = items[SETTINGS].text != NULL ? check_file (items[SETTINGS].text) : EXIT_SUCCESS;
      anvil_settings_clear (&options);
      return status;
    }
  if (outcome == ANVIL_SETTINGS_INVALID)
    return EXIT_SETTINGS;
  if (!anvil_log_level_parse (items[LOG_LEVEL].text, &level))
    {
      fprintf (stderr, "anvil-relay: --log-level \"%s\" is not a log level\n",
               items[LOG_LEVEL].text);
      anvil_settings_clear (&options);
      return EXIT_SETTINGS;
    }
  program.path = items[SETTINGS].text;
  program.modified_at = file_modified_at (program.path);
  if (!anvil_adapter_load_settings (program.path, &program.settings, &error))
    {
      fprintf (stderr, "anvil-relay: %s: %s\n", program.path, error->message);
      g_error_free (error);
      anvil_settings_clear (&options);
      return EXIT_SETTINGS;
    }
  if (items[COMPARE].text != NULL)
    {
      status = compare (&program.settings, items[COMPARE].text);
      anvil_relay_settings_clear (&program.settings);
      anvil_settings_clear (&options);
      return status;
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
