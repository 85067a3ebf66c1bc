#pragma once

#include <glib.h>

/**
 * anvil_setting_kind_t - how the text of a setting is checked
 * @ANVIL_SETTING_TEXT: any text that isn't empty
 * @ANVIL_SETTING_FLAG: present or absent; in the environment "1" or "0"
 * @ANVIL_SETTING_INTEGER: a whole number within bounds
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
 * anvil_setting_t - one flag and its environment variable
 * @name: long option, "listen"; the variable is then ANVIL_LISTEN
 * @kind: how it is checked
 * @help: one line for --help
 * @default_value: the default, or NULL
 * @required: whether it must be given when there is no default
 * @minimum: least count allowed
 * @maximum: largest count allowed
 * @text: result; NULL if not given, owned by the settings
 * @integer: result of a count or a flag
 * @address: result of an endpoint, IPv4 in host order
 * @port: result of an endpoint
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
 * @usage: what the usage says after the options, such as "check|submit FILE"
 * @items: the settings
 * @n_items: how many
 * @arguments: result; what remained of the command line, NULL-terminated
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
 * anvil_settings_outcome_t - what main does next
 * @ANVIL_SETTINGS_RUN: go on
 * @ANVIL_SETTINGS_EXIT: exit 0, help or version or --check-settings was asked for
 * @ANVIL_SETTINGS_INVALID: exit 2, every fault was printed to standard error
 */
typedef enum
{
  ANVIL_SETTINGS_RUN,
  ANVIL_SETTINGS_EXIT,
  ANVIL_SETTINGS_INVALID,
} anvil_settings_outcome_t;

/**
 * anvil_settings_load - reads flags, then the environment, then defaults
 *
 * Adds --help, --version and --check-settings. All faults are reported, one
 * line each, not just the first.
 */
anvil_settings_outcome_t
anvil_settings_load (anvil_settings_t *settings, int argc, const char **argv);

/** anvil_settings_clear - frees the results */
void anvil_settings_clear (anvil_settings_t *settings);

/** anvil_endpoint_parse - splits "127.0.0.1:8080"; FALSE if it is anything else */
gboolean anvil_endpoint_parse (const char *text, guint32 *address, guint16 *port);

/** anvil_endpoint_format - "127.0.0.1:8080"; freed with g_free() */
char *anvil_endpoint_format (guint32 address, guint16 port);
