#include "anvil/settings.h"

#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

#ifndef ANVIL_VERSION
#define ANVIL_VERSION "0.1.0"
#endif

/* Values that poptGetNextOpt() returns; those of the settings start at OPTION_FIRST_SETTING. */
enum
{
  OPTION_VERSION = 1,
  OPTION_CHECK_SETTINGS,
  OPTION_FIRST_SETTING,
};

gboolean
anvil_endpoint_parse (const char *text, guint32 *address, guint16 *port)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  struct in_addr parsed;
  guint64 number;

  if (colon == NULL || (gsize) (colon - text) >= sizeof host)
    return FALSE;
  memcpy (host, text, colon - text);
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &parsed) != 1)
    return FALSE;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &number, NULL))
    return FALSE;

  *address = ntohl (parsed.s_addr);
  *port = (guint16) number;
  return TRUE;
}

char *
anvil_endpoint_format (guint32 address, guint16 port)
{
  struct in_addr network = { .s_addr = htonl (address) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &network, host, sizeof host);
  return g_strdup_printf ("%s:%u", host, port);
}

static char *
variable_name (const char *name)
{
  char *upper = g_ascii_strup (name, -1);
  char *result = g_strconcat ("ANVIL_", g_strdelimit (upper, "-", '_'), NULL);

  g_free (upper);
  return result;
}

static gboolean
parse_flag (anvil_setting_t *item)
{
  if (strcmp (item->text, "1") != 0 && strcmp (item->text, "0") != 0)
    return FALSE;
  item->integer = item->text[0] == '1';
  return TRUE;
}

/* Parses the text of one setting; prints an error and returns FALSE if it is invalid or missing. */
static gboolean
parse_setting (const char *program, anvil_setting_t *item)
{
  if (item->text == NULL)
    {
      if (item->required)
        fprintf (stderr, "%s: --%s is missing\n", program, item->name);
      return !item->required;
    }

  switch (item->kind)
    {
    case ANVIL_SETTING_TEXT:
      if (item->text[0] != '\0')
        return TRUE;
      fprintf (stderr, "%s: --%s must not be empty\n", program, item->name);
      return FALSE;
    case ANVIL_SETTING_FLAG:
      if (parse_flag (item))
        return TRUE;
      fprintf (stderr, "%s: --%s \"%s\" must be 0 or 1\n", program, item->name, item->text);
      return FALSE;
    case ANVIL_SETTING_INTEGER:
      if (g_ascii_string_to_signed (item->text, 10, item->minimum, item->maximum, &item->integer,
                                    NULL))
        return TRUE;
      fprintf (stderr,
               "%s: --%s \"%s\" must be a whole number from %" G_GINT64_FORMAT
               " to %" G_GINT64_FORMAT "\n",
               program, item->name, item->text, item->minimum, item->maximum);
      return FALSE;
    case ANVIL_SETTING_ENDPOINT:
      if (anvil_endpoint_parse (item->text, &item->address, &item->port))
        return TRUE;
      fprintf (stderr,
               "%s: --%s \"%s\" must be an IPv4 address and a port, such as 127.0.0.1:8080\n",
               program, item->name, item->text);
      return FALSE;
    }
  g_assert_not_reached ();
}

/* Sets the settings that the command line lacks from the environment, else from the defaults. */
static void
apply_environment_and_defaults (anvil_settings_t *settings)
{
  for (gsize i = 0; i < settings->n_items; i++)
    {
      anvil_setting_t *item = &settings->items[i];
      char *variable;

      if (item->text != NULL)
        continue;
      variable = variable_name (item->name);
      item->text = g_strdup (g_getenv (variable));
      if (item->text == NULL)
        item->text = g_strdup (item->default_value);
      g_free (variable);
    }
}

static struct poptOption *
build_options (const anvil_settings_t *settings)
{
  const struct poptOption common[] = {
    { "version", '\0', POPT_ARG_NONE, NULL, OPTION_VERSION, "Print the version", NULL },
    { "check-settings", '\0', POPT_ARG_NONE, NULL, OPTION_CHECK_SETTINGS,
      "Check the settings and exit", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  struct poptOption *options
      = g_new0 (struct poptOption, settings->n_items + G_N_ELEMENTS (common));

  for (gsize i = 0; i < settings->n_items; i++)
    {
      const anvil_setting_t *item = &settings->items[i];

      options[i] = (struct poptOption){
        .longName = item->name,
        .argInfo = item->kind == ANVIL_SETTING_FLAG ? POPT_ARG_NONE : POPT_ARG_STRING,
        .val = OPTION_FIRST_SETTING + (int) i,
        .descrip = item->help,
        .argDescrip = item->kind == ANVIL_SETTING_FLAG ? NULL : item->default_value,
      };
    }
  memcpy (&options[settings->n_items], common, sizeof common);
  return options;
}

static void
store_value (anvil_setting_t *item, poptContext popt)
{
  char *value = poptGetOptArg (popt);

  g_free (item->text);
  item->text = g_strdup (value != NULL ? value : "1");
  free (value);
}

anvil_settings_outcome_t
anvil_settings_load (anvil_settings_t *settings, int argc, const char **argv)
{
  struct poptOption *options = build_options (settings);
  poptContext popt = poptGetContext (settings->program, argc, argv, options, 0);
  anvil_settings_outcome_t outcome = ANVIL_SETTINGS_RUN;
  gboolean check_only = FALSE;
  int value;

  for (gsize i = 0; i < settings->n_items; i++)
    settings->items[i].text = NULL;
  settings->arguments = NULL;

  if (settings->usage != NULL)
    poptSetOtherOptionHelp (popt, settings->usage);
  while ((value = poptGetNextOpt (popt)) > 0)
    {
      if (value == OPTION_VERSION)
        {
          printf ("%s %s\n", settings->program, ANVIL_VERSION);
          outcome = ANVIL_SETTINGS_EXIT;
          goto out;
        }
      if (value == OPTION_CHECK_SETTINGS)
        check_only = TRUE;
      else
        store_value (&settings->items[value - OPTION_FIRST_SETTING], popt);
    }
  if (value < -1)
    {
      fprintf (stderr, "%s: %s: %s\n", settings->program, poptBadOption (popt, 0),
               poptStrerror (value));
      outcome = ANVIL_SETTINGS_INVALID;
    }

  apply_environment_and_defaults (settings);
  for (gsize i = 0; i < settings->n_items; i++)
    {
      if (!parse_setting (settings->program, &settings->items[i]))
        outcome = ANVIL_SETTINGS_INVALID;
    }
  settings->arguments = g_strdupv ((char **) poptGetArgs (popt));
  if (settings->arguments == NULL)
    settings->arguments = g_new0 (char *, 1);
  if (outcome == ANVIL_SETTINGS_RUN && check_only)
    {
      printf ("%s: settings are valid\n", settings->program);
      outcome = ANVIL_SETTINGS_EXIT;
    }

out:
  poptFreeContext (popt);
  g_free (options);
  return outcome;
}

void
anvil_settings_clear (anvil_settings_t *settings)
{
  for (gsize i = 0; i < settings->n_items; i++)
    g_clear_pointer (&settings->items[i].text, g_free);
  g_clear_pointer (&settings->arguments, g_strfreev);
}
