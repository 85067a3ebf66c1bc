/* anvil-platform: stand-in for the platform's table, object store and VM list, for tests and the
 * demo. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "anvil-platform-server.h"
#include "anvil/log.h"
#include "anvil/settings.h"

enum
{
  LISTEN,
  VM_LAG,
  SEED,
  WRITES_PER_S,
  READS_PER_S,
  N_SETTINGS,
};

static void
on_signal (evutil_socket_t unused_number, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static int
run (struct event_base *base, const anvil_setting_t *items)
{
  const platform_server_options_t options = {
    .address = items[LISTEN].address,
    .port = items[LISTEN].port,
    .vm_lag = items[VM_LAG].integer * ANVIL_MS,
    .seed = (guint32) items[SEED].integer,
    .writes_per_s = (guint) items[WRITES_PER_S].integer,
    .reads_per_s = (guint) items[READS_PER_S].integer,
  };
  struct event *terminate = evsignal_new (base, SIGTERM, on_signal, base);
  struct event *interrupt = evsignal_new (base, SIGINT, on_signal, base);
  GError *error = NULL;
  platform_server_t *server = platform_server_open (base, &options, &error);
  int status = server != NULL ? EXIT_SUCCESS : EXIT_FAILURE;

  evsignal_add (terminate, NULL);
  evsignal_add (interrupt, NULL);
  if (server != NULL)
    {
      char *endpoint = anvil_endpoint_format (options.address, platform_server_port (server));

      anvil_log (ANVIL_LOG_NOTICE, "platform", "ready, listening on %s", endpoint);
      g_free (endpoint);
      event_base_dispatch (base);
    }
  else
    {
      fprintf (stderr, "anvil-platform: %s\n", error->message);
      g_error_free (error);
    }
  event_free (interrupt);
  event_free (terminate);
  platform_server_close (server);
  return status;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[N_SETTINGS] = {
    [LISTEN] = { .name = "listen",
                 .kind = ANVIL_SETTING_ENDPOINT,
                 .help = "Address and port to listen on, port 0 for any free port",
                 .default_value = "127.0.0.1:0" },
    [VM_LAG] = { .name = "vm-lag-ms",
                 .kind = ANVIL_SETTING_INTEGER,
                 .help = "Delay until a change of the VM list is visible",
                 .default_value = "2000",
                 .maximum = 600000 },
    [SEED] = { .name = "seed",
               .kind = ANVIL_SETTING_INTEGER,
               .help = "Seed of the random faults",
               .default_value = "1",
               .maximum = G_MAXUINT32 },
    [WRITES_PER_S] = { .name = "writes-per-s",
                       .kind = ANVIL_SETTING_INTEGER,
                       .help = "Limit of commits and stored objects per second",
                       .default_value = "500",
                       .minimum = 1,
                       .maximum = 1000000 },
    [READS_PER_S] = { .name = "reads-per-s",
                      .kind = ANVIL_SETTING_INTEGER,
                      .help = "Limit of other calls per second",
                      .default_value = "2000",
                      .minimum = 1,
                      .maximum = 1000000 },
  };
  anvil_settings_t settings
      = { .program = "anvil-platform", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_INVALID ? 2 : EXIT_SUCCESS;

  if (outcome == ANVIL_SETTINGS_RUN)
    {
      struct event_base *base = event_base_new ();

      signal (SIGPIPE, SIG_IGN);
      status = run (base, items);
      event_base_free (base);
    }
  anvil_settings_clear (&settings);
  return status;
}
