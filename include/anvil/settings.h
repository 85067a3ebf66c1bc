#pragma once

#include <glib.h>

/**
 * anvil_setting_kind_t - type of a setting
 * @ANVIL_SETTING_TEXT: any text that isn't empty
 * @ANVIL_SETTING_FLAG: an option without a value; in the environment "1" or "0"
 * @ANVIL_SETTING_INTEGER: an integer within limits
 * @ANVIL_SETTING_ENDPOINT: an IPv4 address and a port, "127.0.0.1:8080"
 */
typedef enum
{
  ANVIL_SETTING_TEXT,
  ANVIL_SETTING_FLAG,
  ANVIL_SETTING_INTEGER,
  ANVIL_SETTING_ENDPOINT,
} anvil_setting_kind_t;

/**
 * anvil_setting_t - one command-line option and its environment variable
 * @name: long option; "listen" has the variable ANVIL_LISTEN
 * @kind: type of its value
 * @help: one line for --help
 * @default_value: text used if neither is given, or NULL
 * @required: whether it must be given if there is no default
 * @minimum: smallest integer allowed
 * @maximum: largest integer allowed
 * @text: result; NULL if not given, owned by the settings
 * @integer: result for an integer or a flag
 * @address: result for an endpoint, IPv4 in host order
 * @port: result for an endpoint
 */
typedef struct
{
  const char *name;
  anvil_setting_kind_t kind;
  const char *help;
  const char *default_value;
  gboolean required;
  gint64 minimum;
  gint64 maximum;
  char *text;
  gint64 integer;
  guint32 address;
  guint16 port;
} anvil_setting_t;

/**
 * anvil_settings_t - the settings of a program
 * @program: its name
 * @usage: text that --help prints after the options, such as "check|submit FILE", or NULL
 * @items: the settings
 * @n_items: number of @items
 * @arguments: result; the remaining command-line arguments, NULL-terminated
 */
typedef struct
{
  const char *program;
  const char *usage;
  anvil_setting_t *items;
  gsize n_items;
  char **arguments;
} anvil_settings_t;

/**
 * anvil_settings_outcome_t - what main() has to do next
 * @ANVIL_SETTINGS_RUN: continue
 * @ANVIL_SETTINGS_EXIT: exit with 0; --version or --check-settings was given
 * @ANVIL_SETTINGS_INVALID: exit with 2; all errors were printed to standard error
 */
typedef enum
{
  ANVIL_SETTINGS_RUN,
  ANVIL_SETTINGS_EXIT,
  ANVIL_SETTINGS_INVALID,
} anvil_settings_outcome_t;

/**
 * anvil_settings_load - reads settings from the command line, else the environment, else defaults
 *
 * Adds --help, --version and --check-settings. Reports all errors, one line
 * each, not just the first.
 */
anvil_settings_outcome_t
anvil_settings_load (anvil_settings_t *settings, int argc, const char **argv);

/** anvil_settings_clear - frees the results */
void anvil_settings_clear (anvil_settings_t *settings);

/** anvil_endpoint_parse - parses a text like "127.0.0.1:8080"; FALSE if it is invalid */
gboolean anvil_endpoint_parse (const char *text, guint32 *address, guint16 *port);

/** anvil_endpoint_format - formats a text like "127.0.0.1:8080"; freed with g_free() */
char *anvil_endpoint_format (guint32 address, guint16 port);
