/* anvil-load: simulates open-loop callers of a deployment and checks how their requests end. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "anvil-load-report.h"
#include "anvil-load-run.h"
#include "anvil/error.h"
#include "anvil/log.h"
#include "anvil/settings.h"
#include "tool-http.h"

#define EXIT_FAULTS 1
#define EXIT_USAGE 2
#define REPORT_TIMEOUT (10 * ANVIL_SECOND)

enum
{
  ITEM_ENTRIES,
  ITEM_UPSTREAM_ADMIN,
  ITEM_RATE,
  ITEM_SECONDS,
  ITEM_SEED,
  ITEM_CALLERS,
  ITEM_REPEAT_PERCENT,
  ITEM_BURST_FACTOR,
  ITEM_JSON,
  ITEM_LOG_LEVEL,
  N_ITEMS,
};

static anvil_setting_t items[N_ITEMS] = {
  [ITEM_ENTRIES] = { .name = "entries",
                     .kind = ANVIL_SETTING_TEXT,
                     .help = "Entries that look-ups are sent to, IP:PORT,IP:PORT",
                     .required = TRUE },
  [ITEM_UPSTREAM_ADMIN] = { .name = "upstream-admin",
                            .kind = ANVIL_SETTING_ENDPOINT,
                            .help = "Administration address of the stand-in for upstreams" },
  [ITEM_RATE] = { .name = "rate",
                  .kind = ANVIL_SETTING_INTEGER,
                  .help = "Requests per second of all services together",
                  .default_value = "60",
                  .minimum = 1,
                  .maximum = 100000 },
  [ITEM_SECONDS] = { .name = "seconds",
                     .kind = ANVIL_SETTING_INTEGER,
                     .help = "Duration of the run",
                     .default_value = "20",
                     .minimum = 1,
                     .maximum = 86400 },
  [ITEM_SEED] = { .name = "seed",
                  .kind = ANVIL_SETTING_INTEGER,
                  .help = "Seed of all random numbers",
                  .default_value = "1",
                  .minimum = 0,
                  .maximum = G_MAXUINT32 },
  [ITEM_CALLERS] = { .name = "callers",
                     .kind = ANVIL_SETTING_INTEGER,
                     .help = "Number of callers in each region",
                     .default_value = "20",
                     .minimum = 1,
                     .maximum = 10000 },
  [ITEM_REPEAT_PERCENT] = { .name = "repeat-percent",
                            .kind = ANVIL_SETTING_INTEGER,
                            .help = "Percentage of keyed requests repeated at another entry",
                            .default_value = "10",
                            .minimum = 0,
                            .maximum = 100 },
  [ITEM_BURST_FACTOR] = { .name = "burst-factor",
                          .kind = ANVIL_SETTING_INTEGER,
                          .help = "Factor on the rate of uploads during the burst",
                          .default_value = "4",
                          .minimum = 1,
                          .maximum = 1000 },
  [ITEM_JSON] = { .name = "json", .kind = ANVIL_SETTING_FLAG, .help = "Print the report as JSON" },
  [ITEM_LOG_LEVEL] = { .name = "log-level",
                       .kind = ANVIL_SETTING_TEXT,
                       .help = "error, warning, notice, info or debug",
                       .default_value = "notice" },
};

static anvil_settings_t settings = {
  .program = "anvil-load",
  .usage = "FILE\n\n"
           "Simulates callers of the deployment that the configuration FILE describes.\n"
           "Exit code: 0 every request has one correct outcome, 1 the verdict counts faults,\n"
           "2 usage error.",
  .items = items,
  .n_items = N_ITEMS,
};

/* Prints an error message and returns the exit code of a usage error. */
static int
usage_error (const char *message)
{
  fprintf (stderr, "anvil-load: %s\n", message);
  return EXIT_USAGE;
}

static GArray *
parse_entries (const char *text)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (load_entry_t));
  char **addresses = g_strsplit (text, ",", 0);

  for (char **address = addresses; *address != NULL; address++)
    {
      load_entry_t entry = { .weight = 1 };

      if (!anvil_endpoint_parse (*address, &entry.address, &entry.port))
        {
          g_clear_pointer (&entries, g_array_unref);
          break;
        }
      g_array_append_val (entries, entry);
    }
  g_strfreev (addresses);
  return entries;
}

static anvil_config_t *
load_config (const char *path)
{
  GError *error = NULL;
  char *text = NULL;
  gsize length = 0;
  anvil_config_t *config = NULL;

  if (g_file_get_contents (path, &text, &length, &error))
    config = anvil_config_load (path, (anvil_str_t){ .data = text, .length = length }, &error);
  if (config == NULL)
    usage_error (error->message);
  g_clear_error (&error);
  g_free (text);
  return config;
}

typedef struct
{
  struct event_base *base;
  load_upstream_report_t *report;
} fetch_t;

static void
on_report (void *context, const tool_http_response_t *response)
{
  fetch_t *fetch = context;
  GError *error = NULL;

  event_base_loopexit (fetch->base, NULL);
  if (response->result != TOOL_HTTP_COMPLETE || response->status != HTTP_OK)
    {
      anvil_log (ANVIL_LOG_ERROR, "load", "upstream stand-in returned no report status=%d",
                 response->status);
      return;
    }
  fetch->report = load_upstream_report_parse (response->body, &error);
  if (fetch->report == NULL)
    anvil_log (ANVIL_LOG_ERROR, "load", "%s", error->message);
  g_clear_error (&error);
}

static load_upstream_report_t *
fetch_report (struct event_base *base)
{
  fetch_t fetch = { .base = base };
  tool_http_request_t request = {
    .method = EVHTTP_REQ_GET,
    .path = "/standin/report",
    .address = items[ITEM_UPSTREAM_ADMIN].address,
    .port = items[ITEM_UPSTREAM_ADMIN].port,
    .timeout = REPORT_TIMEOUT,
  };

  tool_http_send (base, &request, on_report, &fetch);
  event_base_dispatch (base);
  return fetch.report;
}

static guint64
get_runs (void *context, const char *key)
{
  return load_upstream_report_runs (context, key);
}

static gboolean
print_report (const load_report_t *report)
{
  load_verdict_t verdict = load_report_verdict (report, items[ITEM_UPSTREAM_ADMIN].text != NULL);

  if (items[ITEM_JSON].integer != 0)
    {
      json_t *json = load_report_json (report, &verdict);

      json_dumpf (json, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
      putchar ('\n');
      json_decref (json);
    }
  else
    {
      GString *text = g_string_new (NULL);

      load_report_text (report, &verdict, text);
      fputs (text->str, stdout);
      g_string_free (text, TRUE);
    }
  return load_verdict_passed (&verdict);
}

static gboolean
run_load (anvil_config_t *config, const GArray *entries)
{
  struct event_base *base = event_base_new ();
  load_run_options_t options = {
    .config = config,
    .bootstrap = (const load_entry_t *) (const void *) entries->data,
    .n_bootstrap = entries->len,
    .rate_per_s = (gdouble) items[ITEM_RATE].integer,
    .duration = items[ITEM_SECONDS].integer * ANVIL_SECOND,
    .seed = (guint32) items[ITEM_SEED].integer,
    .callers = (guint) items[ITEM_CALLERS].integer,
    .repeat_percent = (guint) items[ITEM_REPEAT_PERCENT].integer,
    .burst_factor = (gdouble) items[ITEM_BURST_FACTOR].integer,
  };
  load_run_t *run = load_run_new (base, &options);
  load_upstream_report_t *upstream_report = NULL;
  load_report_t report = {
    .config = config,
    .seed = options.seed,
    .duration = options.duration,
    .tallies = load_run_tallies (run),
  };
  gboolean passed;

  load_run_wait (run);
  if (items[ITEM_UPSTREAM_ADMIN].text != NULL)
    upstream_report = fetch_report (base);
  report.upstream_report = upstream_report;
  if (upstream_report != NULL)
    report.run_check = load_keys_check_runs (load_run_keys (run), get_runs, upstream_report);
  load_run_lookup_counts (run, &report.lookups, &report.failed_lookups, &report.failovers);
  passed = print_report (&report);

  load_upstream_report_drop (upstream_report);
  load_run_drop (run);
  event_base_free (base);
  return passed;
}

static int
run_program (void)
{
  anvil_log_level_t level;
  anvil_config_t *config;
  GArray *entries;
  gboolean passed;

  if (settings.arguments == NULL || g_strv_length (settings.arguments) != 1)
    return usage_error ("expected one FILE, the configuration file of the deployment");
  if (!anvil_log_level_parse (items[ITEM_LOG_LEVEL].text, &level))
    return usage_error ("--log-level must be error, warning, notice, info or debug");
  anvil_log_set_level (level);
  entries = parse_entries (items[ITEM_ENTRIES].text);
  if (entries == NULL)
    return usage_error (
        "--entries must be addresses and ports, such as 127.0.10.1:8000,127.0.10.2:8000");
  config = load_config (settings.arguments[0]);
  if (config == NULL)
    {
      g_array_unref (entries);
      return EXIT_USAGE;
    }
  passed = run_load (config, entries);
  g_array_unref (entries);
  anvil_config_drop (config);
  return passed ? EXIT_SUCCESS : EXIT_FAULTS;
}

int
main (int argc, char **argv)
{
  int status;

  switch (anvil_settings_load (&settings, argc, (const char **) argv))
    {
    case ANVIL_SETTINGS_EXIT:
      status = EXIT_SUCCESS;
      break;
    case ANVIL_SETTINGS_INVALID:
      status = EXIT_USAGE;
      break;
    default:
      status = run_program ();
    }
  anvil_settings_clear (&settings);
  return status;
}
