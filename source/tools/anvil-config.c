/* anvil-config: checks, compares, submits and shows the operators' file. */

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "anvil/config.h"
#include "anvil/error.h"
#include "anvil/settings.h"
#include "tools/anvil-config-in-force.h"
#include "tools/anvil-config-submit.h"

#define LONGEST_WAIT_MS 600000
#define ANY_GENERATION (-1)

/** exit_code_t - how the program ends; docs/CONFIGURATION.md lists them */
typedef enum
{
  EXIT_DONE = 0,
  EXIT_REFUSED = 1,
  EXIT_USAGE = 2,
  EXIT_UNAVAILABLE = 3,
  EXIT_LOST = 4,
  EXIT_UNKNOWN = 5,
  EXIT_NOT_EVERYWHERE = 6,
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
  = { .name = "platform", .kind = ANVIL_SETTING_ENDPOINT, .help = "The platform's service" },
  [SETTING_JSON] = { .name = "json", .kind = ANVIL_SETTING_FLAG, .help = "Print JSON" },
  [SETTING_WAIT_MS] = { .name = "wait-ms",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Longest wait of submit for the file to be in force",
                        .default_value = "10000",
                        .minimum = 0,
                        .maximum = LONGEST_WAIT_MS },
  [SETTING_AFTER] = { .name = "after",
                      .kind = ANVIL_SETTING_INTEGER,
                      .help = "Generation that the submitted file must follow; any if not given",
                      .minimum = 0,
                      .maximum = G_MAXINT64 },
};

/* A file that was read and passed every check. */
typedef struct
{
  GString *text;
  anvil_config_t *config;
} file_t;

static exit_code_t
fail (const GError *error)
{
  fprintf (stderr, "anvil-config: %s\n", error->message);
  return error->code == ANVIL_ERROR_INVALID ? EXIT_REFUSED : EXIT_UNAVAILABLE;
}

/* Reads at most one byte more than a file may have, so that a longer one is known. */
static GString *
read_text (const char *path, GError **error)
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
load_file (const char *path, file_t *file, GError **error)
{
  file->text = read_text (path, error);
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
clear_file (file_t *file)
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
check (const char *path)
{
  GError *error = NULL;
  file_t file;
  exit_code_t code = EXIT_DONE;

  if (load_file (path, &file, &error))
    {
      if (items[SETTING_JSON].integer)
        print_json (json_pack ("{s:b, s:s, s:i, s:i}", "valid", 1, "deployment",
                               file.config->deployment.data, "services",
                               (int) file.config->n_services, "upstreams",
                               (int) file.config->n_upstreams));
      else
        printf ("%s: valid, %u services, %u upstreams, %u seats\n", path, file.config->n_services,
                file.config->n_upstreams, file.config->n_seats);
      clear_file (&file);
      return EXIT_DONE;
    }
  if (items[SETTING_JSON].integer)
    print_json (json_pack ("{s:b, s:s}", "valid", 0, "error", error->message));
  code = fail (error);
  g_clear_error (&error);
  return code;
}

/* The head record; NULL with no error when nothing was ever submitted. */
static char *
load_head (anvil_config_session_t *session, anvil_config_head_t *head, GError **error)
{
  char *record = anvil_config_session_value (session, ANVIL_HEAD_KEY, error);

  if (record != NULL && !anvil_config_head_parse (anvil_str (record), head, error))
    g_clear_pointer (&record, g_free);
  return record;
}

/* Text of the file in force; NULL with no error when there is none. */
static GString *
load_head_file (anvil_config_session_t *session, guint64 *generation, GError **error)
{
  anvil_config_head_t head = { 0 };
  char *record = load_head (session, &head, error);
  GString *text = NULL;

  *generation = head.generation;
  if (record != NULL)
    text = anvil_config_session_object (session, head.object_name, error);
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
diff (anvil_config_session_t *session, const char *path)
{
  GError *error = NULL;
  exit_code_t code = EXIT_DONE;
  anvil_config_t *before = NULL;
  GString *lines = g_string_new (NULL);
  GString *text = NULL;
  guint64 generation;
  file_t file;

  if (!load_file (path, &file, &error))
    {
      code = fail (error);
      goto out;
    }
  text = load_head_file (session, &generation, &error);
  if (text != NULL)
    before = anvil_config_load ("head", (anvil_str_t){ .data = text->str, .length = text->len },
                                &error);
  if (error != NULL)
    code = fail (error);
  else if (before == NULL)
    printf ("no file is in force; %s would be the first\n", path);
  else
    {
      guint count = anvil_config_diff (before, file.config, lines);

      print_diff (generation, count, lines);
    }
  clear_file (&file);

out:
  if (text != NULL)
    g_string_free (text, TRUE);
  g_string_free (lines, TRUE);
  anvil_config_drop (before);
  g_clear_error (&error);
  return code;
}

static exit_code_t
report_in_force (anvil_config_session_t *session, guint64 generation)
{
  anvil_config_in_force_t count = { 0 };
  GError *error = NULL;

  if (!anvil_config_wait_in_force (session, generation, items[SETTING_WAIT_MS].integer * ANVIL_MS,
                                   &count, &error))
    {
      fprintf (stderr,
               "anvil-config: generation %" G_GUINT64_FORMAT
               " was accepted, but the entries aren't known: %s\n",
               generation, error->message);
      g_clear_error (&error);
      return EXIT_NOT_EVERYWHERE;
    }
  if (items[SETTING_JSON].integer)
    print_json (json_pack ("{s:s, s:I, s:i, s:i, s:i}", "result", "accepted", "generation",
                           (json_int_t) generation, "entries", (int) count.entries, "in_force",
                           (int) count.in_force, "silent", (int) count.silent));
  else
    printf ("generation %" G_GUINT64_FORMAT " is in force on %u of %u entries, %u silent\n",
            generation, count.in_force, count.entries, count.silent);
  return count.in_force == count.entries ? EXIT_DONE : EXIT_NOT_EVERYWHERE;
}

static void
print_failure (const anvil_config_submission_t *submission)
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
                           json_integer ((json_int_t) submission->winner.generation));
      json_object_set_new (result, "by", json_string (submission->winner.submitted_by));
    }
  print_json (result);
}

static exit_code_t
report_failure (const anvil_config_submission_t *submission)
{
  if (items[SETTING_JSON].integer)
    print_failure (submission);
  switch (submission->result)
    {
    case ANVIL_SUBMIT_CONFLICT:
      fprintf (stderr,
               "anvil-config: generation %" G_GUINT64_FORMAT
               " was won by %s at %s; nothing was changed\n",
               submission->winner.generation, submission->winner.submitted_by,
               submission->winner.submitted_at);
      return EXIT_LOST;
    case ANVIL_SUBMIT_REFUSED:
      fprintf (stderr, "anvil-config: refused, nothing was changed: %s\n",
               submission->reason != NULL ? submission->reason : "the head record can't be read");
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
submit (anvil_config_session_t *session, const char *path)
{
  GError *error = NULL;
  exit_code_t code;
  file_t file;
  anvil_config_submission_t submission = { 0 };

  if (!load_file (path, &file, &error))
    {
      code = fail (error);
      g_clear_error (&error);
      return code;
    }
  submission.file = (anvil_str_t){ .data = file.text->str, .length = file.text->len };
  submission.config = file.config;
  submission.after
      = items[SETTING_AFTER].text != NULL ? items[SETTING_AFTER].integer : ANY_GENERATION;
  submission.patience = items[SETTING_WAIT_MS].integer * ANVIL_MS;
  anvil_config_run_submission (session, &submission);
  code = submission.result == ANVIL_SUBMIT_ACCEPTED
             ? report_in_force (session, submission.winner.generation)
             : report_failure (&submission);
  anvil_config_submission_clear (&submission);
  clear_file (&file);
  return code;
}

static exit_code_t
show (anvil_config_session_t *session)
{
  GError *error = NULL;
  guint64 generation;
  GString *text = load_head_file (session, &generation, &error);
  exit_code_t code;

  if (error != NULL)
    {
      code = fail (error);
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
  return EXIT_DONE;
}

static exit_code_t
history (anvil_config_session_t *session)
{
  GError *error = NULL;
  char **records = anvil_config_session_values (session, "config/history/", &error);
  exit_code_t code;

  if (records == NULL)
    {
      code = fail (error);
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
  return EXIT_DONE;
}

static exit_code_t
run_on_platform (const char *command, const char *path)
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
    code = submit (&session, path);
  else if (strcmp (command, "diff") == 0)
    code = diff (&session, path);
  else if (strcmp (command, "show") == 0)
    code = show (&session);
  else
    code = history (&session);
  anvil_config_session_close (&session);
  return code;
}

/* Whether the words after the options are a command with what it needs. */
static gboolean
well_formed (char **arguments)
{
  static const struct
  {
    const char *name;
    guint words;
  } commands[]
      = { { "check", 2 }, { "diff", 2 }, { "submit", 2 }, { "show", 1 }, { "history", 1 } };

  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (arguments[0] != NULL && strcmp (arguments[0], commands[i].name) == 0)
        return g_strv_length (arguments) == commands[i].words;
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
    code = EXIT_DONE;
  else if (outcome == ANVIL_SETTINGS_RUN && !well_formed (settings.arguments))
    fprintf (stderr, "anvil-config: expected %s\n", settings.usage);
  else if (outcome == ANVIL_SETTINGS_RUN && strcmp (settings.arguments[0], "check") == 0)
    code = check (settings.arguments[1]);
  else if (outcome == ANVIL_SETTINGS_RUN)
    code = run_on_platform (settings.arguments[0], settings.arguments[1]);
  anvil_settings_clear (&settings);
  return (int) code;
}
