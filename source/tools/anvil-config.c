/* anvil-config: checks, compares, submits and shows the configuration file of a deployment. */

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "anvil/config.h"
#include "anvil/error.h"
#include "anvil/settings.h"
#include "tools/anvil-config-in-force.h"
#include "tools/anvil-config-submit.h"

#define MAX_WAIT_MS 600000
#define ANY_GENERATION (-1)

/** exit_code_t - exit codes; docs/CONFIGURATION.md lists them */
typedef enum
{
  EXIT_OK = 0,
  EXIT_REFUSED = 1,
  EXIT_USAGE = 2,
  EXIT_UNAVAILABLE = 3,
  EXIT_CONFLICT = 4,
  EXIT_UNKNOWN = 5,
  EXIT_NOT_IN_FORCE_EVERYWHERE = 6,
} exit_code_t;

enum
{
  SETTING_PLATFORM,
  SETTING_JSON,
  SETTING_WAIT_MS,
  SETTING_AFTER,
};

static anvil_setting_t items[] = {
  [SETTING_PLATFORM]
  = { .name = "platform", .kind = ANVIL_SETTING_ENDPOINT, .help = "Address of the platform" },
  [SETTING_JSON] = { .name = "json", .kind = ANVIL_SETTING_FLAG, .help = "Print JSON" },
  [SETTING_WAIT_MS] = { .name = "wait-ms",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "How long submit retries and waits until all entries use the file",
                        .default_value = "10000",
                        .minimum = 0,
                        .maximum = MAX_WAIT_MS },
  [SETTING_AFTER] = { .name = "after",
                      .kind = ANVIL_SETTING_INTEGER,
                      .help = "Submit only if this generation is in force; default: any",
                      .minimum = 0,
                      .maximum = G_MAXINT64 },
};

/* A valid configuration file. */
typedef struct
{
  GString *text;
  anvil_config_t *config;
} config_file_t;

static exit_code_t
report_error (const GError *error)
{
  fprintf (stderr, "anvil-config: %s\n", error->message);
  return error->code == ANVIL_ERROR_INVALID ? EXIT_REFUSED : EXIT_UNAVAILABLE;
}

/* Stops reading soon after the size limit; anvil_config_load() refuses the file then. */
static GString *
read_file (const char *path, GError **error)
{
  FILE *stream = fopen (path, "rb");
  GString *text;
  char buffer[65536];
  gsize n;

  if (stream == NULL)
    {
      g_set_error (error, ANVIL_ERROR, ANVIL_ERROR_INVALID, "%s: %s", path, g_strerror (errno));
      return NULL;
    }
  text = g_string_new (NULL);
  while (text->len <= ANVIL_CONFIG_MAX_BYTES && (n = fread (buffer, 1, sizeof buffer, stream)) > 0)
    g_string_append_len (text, buffer, (gssize) n);
  fclose (stream);
  return text;
}

static gboolean
config_file_load (const char *path, config_file_t *file, GError **error)
{
  file->text = read_file (path, error);
  if (file->text == NULL)
    return FALSE;
  file->config = anvil_config_load (
      path, (anvil_str_t){ .data = file->text->str, .length = file->text->len }, error);
  if (file->config != NULL)
    return TRUE;
  g_string_free (file->text, TRUE);
  return FALSE;
}

static void
config_file_clear (config_file_t *file)
{
  anvil_config_drop (file->config);
  g_string_free (file->text, TRUE);
}

static void
print_json (json_t *value)
{
  json_dumpf (value, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
  putchar ('\n');
  json_decref (value);
}

static exit_code_t
check_command (const char *path)
{
  GError *error = NULL;
  config_file_t file;
  exit_code_t code = EXIT_OK;

  if (config_file_load (path, &file, &error))
    {
      if (items[SETTING_JSON].integer)
        print_json (json_pack ("{s:b, s:s, s:i, s:i}", "valid", 1, "deployment",
                               file.config->deployment.data, "services",
                               (int) file.config->n_services, "upstreams",
                               (int) file.config->n_upstreams));
      else
        printf ("%s: valid, %u services, %u upstreams, %u seats\n", path, file.config->n_services,
                file.config->n_upstreams, file.config->n_seats);
      config_file_clear (&file);
      return EXIT_OK;
    }
  if (items[SETTING_JSON].integer)
    print_json (json_pack ("{s:b, s:s}", "valid", 0, "error", error->message));
  code = report_error (error);
  g_clear_error (&error);
  return code;
}

/* Reads the head record; returns NULL without @error if no file was ever submitted. */
static char *
read_head (anvil_config_session_t *session, anvil_config_head_t *head, GError **error)
{
  char *record = anvil_config_session_read_row (session, ANVIL_HEAD_KEY, error);

  if (record != NULL && !anvil_config_head_parse (anvil_str (record), head, error))
    g_clear_pointer (&record, g_free);
  return record;
}

/* Reads the file in force; returns NULL without @error if there is none. */
static GString *
read_head_file (anvil_config_session_t *session, guint64 *generation, GError **error)
{
  anvil_config_head_t head = { 0 };
  char *record = read_head (session, &head, error);
  GString *text = NULL;

  *generation = head.generation;
  if (record != NULL)
    text = anvil_config_session_get_object (session, head.object_name, error);
  g_free (record);
  anvil_config_head_clear (&head);
  return text;
}

static void
print_diff (guint64 generation, guint count, const GString *lines)
{
  char **changes;
  json_t *list;

  if (!items[SETTING_JSON].integer)
    {
      fputs (lines->str, stdout);
      fprintf (stderr, "anvil-config: %u changes to generation %" G_GUINT64_FORMAT "\n", count,
               generation);
      return;
    }
  changes = g_strsplit (lines->str, "\n", -1);
  list = json_array ();
  for (guint i = 0; i < count; i++)
    json_array_append_new (list, json_string (changes[i]));
  print_json (json_pack ("{s:I, s:o}", "generation", (json_int_t) generation, "changes", list));
  g_strfreev (changes);
}

static exit_code_t
diff_command (anvil_config_session_t *session, const char *path)
{
  GError *error = NULL;
  exit_code_t code = EXIT_OK;
  anvil_config_t *before = NULL;
  GString *lines = g_string_new (NULL);
  GString *text = NULL;
  guint64 generation;
  config_file_t file;

  if (!config_file_load (path, &file, &error))
    {
      code = report_error (error);
      goto out;
    }
  text = read_head_file (session, &generation, &error);
  if (text != NULL)
    before = anvil_config_load ("head", (anvil_str_t){ .data = text->str, .length = text->len },
                                &error);
  if (error != NULL)
    code = report_error (error);
  else if (before == NULL)
    printf ("no file is in force; %s would be the first\n", path);
  else
    {
      guint count = anvil_config_diff (before, file.config, lines);

      print_diff (generation, count, lines);
    }
  config_file_clear (&file);

out:
  if (text != NULL)
    g_string_free (text, TRUE);
  g_string_free (lines, TRUE);
  anvil_config_drop (before);
  g_clear_error (&error);
  return code;
}

static exit_code_t
wait_in_force (anvil_config_session_t *session, guint64 generation)
{
  anvil_config_rollout_status_t count = { 0 };
  GError *error = NULL;

  if (!anvil_config_wait_in_force (session, generation, items[SETTING_WAIT_MS].integer * ANVIL_MS,
                                   &count, &error))
    {
      fprintf (stderr,
               "anvil-config: generation %" G_GUINT64_FORMAT
               " was accepted, but the list of entries can't be read: %s\n",
               generation, error->message);
      g_clear_error (&error);
      return EXIT_NOT_IN_FORCE_EVERYWHERE;
    }
  if (items[SETTING_JSON].integer)
    print_json (json_pack ("{s:s, s:I, s:i, s:i, s:i}", "result", "accepted", "generation",
                           (json_int_t) generation, "entries", (int) count.entries, "in_force",
                           (int) count.in_force, "silent", (int) count.silent));
  else
    printf ("generation %" G_GUINT64_FORMAT " is in force on %u of %u entries, %u silent\n",
            generation, count.in_force, count.entries, count.silent);
  return count.in_force == count.entries ? EXIT_OK : EXIT_NOT_IN_FORCE_EVERYWHERE;
}

static void
print_submit_failure (const anvil_config_submission_t *submission)
{
  static const char *const names[] = {
    [ANVIL_SUBMIT_ACCEPTED] = "accepted",       [ANVIL_SUBMIT_CONFLICT] = "lost",
    [ANVIL_SUBMIT_UNAVAILABLE] = "unavailable", [ANVIL_SUBMIT_REFUSED] = "refused",
    [ANVIL_SUBMIT_UNKNOWN] = "unknown",
  };
  json_t *result = json_pack ("{s:s}", "result", names[submission->result]);

  if (submission->result == ANVIL_SUBMIT_CONFLICT)
    {
      json_object_set_new (result, "generation",
                           json_integer ((json_int_t) submission->committed_head.generation));
      json_object_set_new (result, "by", json_string (submission->committed_head.submitted_by));
    }
  print_json (result);
}

static exit_code_t
report_submit_failure (const anvil_config_submission_t *submission)
{
  if (items[SETTING_JSON].integer)
    print_submit_failure (submission);
  switch (submission->result)
    {
    case ANVIL_SUBMIT_CONFLICT:
      fprintf (stderr,
               "anvil-config: generation %" G_GUINT64_FORMAT
               " was already submitted by %s at %s; nothing was changed\n",
               submission->committed_head.generation, submission->committed_head.submitted_by,
               submission->committed_head.submitted_at);
      return EXIT_CONFLICT;
    case ANVIL_SUBMIT_REFUSED:
      fprintf (stderr, "anvil-config: refused, nothing was changed: %s\n",
               submission->refusal_reason != NULL ? submission->refusal_reason
                                                  : "the head record can't be read");
      return EXIT_REFUSED;
    case ANVIL_SUBMIT_UNAVAILABLE:
      fprintf (stderr, "anvil-config: the platform can't be reached; nothing was changed\n");
      return EXIT_UNAVAILABLE;
    case ANVIL_SUBMIT_UNKNOWN:
    case ANVIL_SUBMIT_ACCEPTED:
      break;
    }
  fprintf (stderr, "anvil-config: the outcome isn't known; look at anvil-config history\n");
  return EXIT_UNKNOWN;
}

static exit_code_t
submit_command (anvil_config_session_t *session, const char *path)
{
  GError *error = NULL;
  exit_code_t code;
  config_file_t file;
  anvil_config_submission_t submission = { 0 };

  if (!config_file_load (path, &file, &error))
    {
      code = report_error (error);
      g_clear_error (&error);
      return code;
    }
  submission.file = (anvil_str_t){ .data = file.text->str, .length = file.text->len };
  submission.config = file.config;
  submission.after_generation
      = items[SETTING_AFTER].text != NULL ? items[SETTING_AFTER].integer : ANY_GENERATION;
  submission.timeout = items[SETTING_WAIT_MS].integer * ANVIL_MS;
  anvil_config_run_submission (session, &submission);
  code = submission.result == ANVIL_SUBMIT_ACCEPTED
             ? wait_in_force (session, submission.committed_head.generation)
             : report_submit_failure (&submission);
  anvil_config_submission_clear (&submission);
  config_file_clear (&file);
  return code;
}

static exit_code_t
show_command (anvil_config_session_t *session)
{
  GError *error = NULL;
  guint64 generation;
  GString *text = read_head_file (session, &generation, &error);
  exit_code_t code;

  if (error != NULL)
    {
      code = report_error (error);
      g_clear_error (&error);
      return code;
    }
  if (text == NULL)
    {
      fprintf (stderr, "anvil-config: no file was ever submitted\n");
      return EXIT_REFUSED;
    }
  if (items[SETTING_JSON].integer)
    print_json (json_pack ("{s:I, s:s#}", "generation", (json_int_t) generation, "file", text->str,
                           text->len));
  else
    fwrite (text->str, 1, text->len, stdout);
  g_string_free (text, TRUE);
  return EXIT_OK;
}

static exit_code_t
history_command (anvil_config_session_t *session)
{
  GError *error = NULL;
  char **records = anvil_config_session_read_rows (session, "config/history/", &error);
  exit_code_t code;

  if (records == NULL)
    {
      code = report_error (error);
      g_clear_error (&error);
      return code;
    }
  for (guint i = 0; records[i] != NULL; i++)
    {
      anvil_config_head_t head;

      if (items[SETTING_JSON].integer)
        puts (records[i]);
      else if (anvil_config_head_parse (anvil_str (records[i]), &head, NULL))
        {
          printf ("%6" G_GUINT64_FORMAT "  %s  %s  %s\n", head.generation, head.submitted_at,
                  head.submitted_by, head.object_name);
          anvil_config_head_clear (&head);
        }
    }
  g_strfreev (records);
  return EXIT_OK;
}

static exit_code_t
run_platform_command (const char *command, const char *path)
{
  anvil_config_session_t session;
  exit_code_t code = EXIT_USAGE;

  if (items[SETTING_PLATFORM].text == NULL)
    {
      fprintf (stderr, "anvil-config: --platform is missing\n");
      return EXIT_USAGE;
    }
  if (!anvil_config_session_open (&session, items[SETTING_PLATFORM].address,
                                  items[SETTING_PLATFORM].port))
    return EXIT_UNAVAILABLE;
  if (strcmp (command, "submit") == 0)
    code = submit_command (&session, path);
  else if (strcmp (command, "diff") == 0)
    code = diff_command (&session, path);
  else if (strcmp (command, "show") == 0)
    code = show_command (&session);
  else
    code = history_command (&session);
  anvil_config_session_close (&session);
  return code;
}

/* Whether the arguments are a command and as many operands as it takes. */
static gboolean
valid_arguments (char **arguments)
{
  static const struct
  {
    const char *name;
    guint n_arguments;
  } commands[]
      = { { "check", 2 }, { "diff", 2 }, { "submit", 2 }, { "show", 1 }, { "history", 1 } };

  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (arguments[0] != NULL && strcmp (arguments[0], commands[i].name) == 0)
        return g_strv_length (arguments) == commands[i].n_arguments;
    }
  return FALSE;
}

int
main (int argc, char **argv)
{
  anvil_settings_t settings = {
    .program = "anvil-config",
    .usage = "check FILE | diff FILE | submit FILE | show | history",
    .items = items,
    .n_items = G_N_ELEMENTS (items),
  };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  exit_code_t code = EXIT_USAGE;

  if (outcome == ANVIL_SETTINGS_EXIT)
    code = EXIT_OK;
  else if (outcome == ANVIL_SETTINGS_RUN && !valid_arguments (settings.arguments))
    fprintf (stderr, "anvil-config: expected %s\n", settings.usage);
  else if (outcome == ANVIL_SETTINGS_RUN && strcmp (settings.arguments[0], "check") == 0)
    code = check_command (settings.arguments[1]);
  else if (outcome == ANVIL_SETTINGS_RUN)
    code = run_platform_command (settings.arguments[0], settings.arguments[1]);
  anvil_settings_clear (&settings);
  return (int) code;
}
