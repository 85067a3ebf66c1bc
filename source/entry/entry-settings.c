#include "entry-settings.h"

#include <stdio.h>

#include "anvil/clock.h"

#define BYTES_PER_KB G_GINT64_CONSTANT (1024)
#define BYTES_PER_MB (1024 * BYTES_PER_KB)

/* Indexes of the settings below. */
enum
{
  LISTEN,
  ADMIN,
  PEER,
  PLATFORM,
  ZONE,
  LOG_LEVEL,
  LOAD_PATH,
  MAX_HEADER_KB,
  MAX_BODY_KB,
  MAX_RESPONSE_KB,
  MAX_BUFFERED_MB,
  READ_SECONDS,
  IDLE_SECONDS,
  DRAIN_SECONDS,
  INCARNATION,
  PRINT_TRACES,
};

static const anvil_setting_t definitions[] = {
  [LISTEN] = { .name = "listen",
               .kind = ANVIL_SETTING_ENDPOINT,
               .help = "Address and port for callers",
               .required = TRUE },
  [ADMIN] = { .name = "admin",
              .kind = ANVIL_SETTING_ENDPOINT,
              .help = "Address and port for administration",
              .default_value = "127.0.0.1:9000" },
  [PEER] = { .name = "peer",
             .kind = ANVIL_SETTING_ENDPOINT,
             .help = "Address and port for other entries, as in the platform's VM list",
             .required = TRUE },
  [PLATFORM] = { .name = "platform",
                 .kind = ANVIL_SETTING_ENDPOINT,
                 .help = "Address and port of the platform's service",
                 .required = TRUE },
  [ZONE] = { .name = "zone",
             .kind = ANVIL_SETTING_TEXT,
             .help = "Availability zone of this VM",
             .required = TRUE },
  [LOG_LEVEL] = { .name = "log-level",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "error, warning, notice, info or debug",
                  .default_value = "notice" },
  [LOAD_PATH] = { .name = "load-path",
                  .kind = ANVIL_SETTING_TEXT,
                  .help = "Path at which upstreams report load and health",
                  .default_value = "/load" },
  [MAX_HEADER_KB] = { .name = "max-header-kb",
                      .kind = ANVIL_SETTING_INTEGER,
                      .help = "Maximum size of the headers of a request or a response",
                      .default_value = "16",
                      .minimum = 1,
                      .maximum = 1024 },
  [MAX_BODY_KB] = { .name = "max-body-kb",
                    .kind = ANVIL_SETTING_INTEGER,
                    .help = "Maximum size of a request body, for all services",
                    .default_value = "65536",
                    .minimum = 1,
                    .maximum = 1048576 },
  [MAX_RESPONSE_KB] = { .name = "max-response-kb",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Maximum size of a response body",
                        .default_value = "65536",
                        .minimum = 1,
                        .maximum = 1048576 },
  [MAX_BUFFERED_MB] = { .name = "max-buffered-mb",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Maximum size of all buffered requests",
                        .default_value = "512",
                        .minimum = 1,
                        .maximum = 1048576 },
  [READ_SECONDS] = { .name = "read-seconds",
                     .kind = ANVIL_SETTING_INTEGER,
                     .help = "Maximum time to receive a request",
                     .default_value = "60",
                     .minimum = 1,
                     .maximum = 3600 },
  [IDLE_SECONDS] = { .name = "idle-seconds",
                     .kind = ANVIL_SETTING_INTEGER,
                     .help = "Idle time-out of a caller's connection",
                     .default_value = "60",
                     .minimum = 1,
                     .maximum = 3600 },
  [DRAIN_SECONDS] = { .name = "drain-seconds",
                      .kind = ANVIL_SETTING_INTEGER,
                      .help = "Maximum duration of a graceful shutdown",
                      .default_value = "30",
                      .minimum = 1,
                      .maximum = 3600 },
  [INCARNATION] = { .name = "incarnation",
                    .kind = ANVIL_SETTING_INTEGER,
                    .help = "Number of this start, greater than at any earlier start with this "
                            "address; by default the wall clock in microseconds",
                    .minimum = 1,
                    .maximum = G_MAXINT64 },
  [PRINT_TRACES] = { .name = "print-traces",
                     .kind = ANVIL_SETTING_FLAG,
                     .help = "Write each span to standard output, one JSON object a line" },
};

/* Reports a setting whose value is well-formed but not usable. */
static gboolean
report_invalid (const anvil_setting_t *item, const char *expected)
{
  fprintf (stderr, "anvil-entry: --%s \"%s\" must be %s\n", item->name, item->text, expected);
  return FALSE;
}

/* Checks that go beyond the type of a setting. */
static gboolean
validate (const anvil_setting_t *items, anvil_entry_settings_t *settings)
{
  gboolean valid = TRUE;

  if (items[LOG_LEVEL].text != NULL
      && !anvil_log_level_parse (items[LOG_LEVEL].text, &settings->log_level))
    valid = report_invalid (&items[LOG_LEVEL], "error, warning, notice, info or debug");
  if (items[LOAD_PATH].text != NULL && items[LOAD_PATH].text[0] != '/')
    valid = report_invalid (&items[LOAD_PATH], "a path starting with /");
  if (items[PEER].text != NULL && (items[PEER].address == 0 || items[PEER].port == 0))
    valid = report_invalid (&items[PEER], "an address and port that other entries can reach");
  if (items[ADMIN].address != 0 && items[ADMIN].address == items[LISTEN].address
      && items[ADMIN].port == items[LISTEN].port)
    valid = report_invalid (&items[ADMIN], "different from --listen");
  return valid;
}

static void
copy_values (const anvil_setting_t *items, anvil_entry_settings_t *settings)
{
  settings->listen_address = items[LISTEN].address;
  settings->listen_port = items[LISTEN].port;
  settings->admin_address = items[ADMIN].address;
  settings->admin_port = items[ADMIN].port;
  settings->node = anvil_node (items[PEER].address, items[PEER].port);
  settings->platform_address = items[PLATFORM].address;
  settings->platform_port = items[PLATFORM].port;
  settings->zone = g_strdup (items[ZONE].text);
  settings->load_path = g_strdup (items[LOAD_PATH].text);
  settings->max_header_bytes = items[MAX_HEADER_KB].integer * BYTES_PER_KB;
  settings->max_body_bytes = items[MAX_BODY_KB].integer * BYTES_PER_KB;
  settings->max_response_bytes = items[MAX_RESPONSE_KB].integer * BYTES_PER_KB;
  settings->max_buffered_bytes = (guint64) (items[MAX_BUFFERED_MB].integer * BYTES_PER_MB);
  settings->read_timeout_s = (int) items[READ_SECONDS].integer;
  settings->idle_timeout_s = (int) items[IDLE_SECONDS].integer;
  settings->shutdown_timeout_s = (int) items[DRAIN_SECONDS].integer;
  settings->incarnation = items[INCARNATION].text != NULL ? (guint64) items[INCARNATION].integer
                                                          : (guint64) anvil_clock_wall ();
  settings->print_traces = items[PRINT_TRACES].integer != 0;
}

anvil_settings_outcome_t
anvil_entry_settings_load (anvil_entry_settings_t *settings, int argc, const char **argv)
{
  anvil_setting_t items[G_N_ELEMENTS (definitions)];
  anvil_settings_t all
      = { .program = "anvil-entry", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome;

  *settings = (anvil_entry_settings_t){ 0 };
  for (gsize i = 0; i < G_N_ELEMENTS (items); i++)
    items[i] = definitions[i];
  outcome = anvil_settings_load (&all, argc, argv);
  if (!validate (items, settings))
    outcome = ANVIL_SETTINGS_INVALID;
  if (outcome == ANVIL_SETTINGS_RUN)
    copy_values (items, settings);
  anvil_settings_clear (&all);
  return outcome;
}

void
anvil_entry_settings_clear (anvil_entry_settings_t *settings)
{
  g_clear_pointer (&settings->zone, g_free);
  g_clear_pointer (&settings->load_path, g_free);
}
