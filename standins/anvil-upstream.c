/* anvil-upstream: stand-in for all upstreams of a deployment and the links to them, for tests and
 * the demo. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "anvil-upstream-admin.h"
#include "anvil-upstream-settings.h"
#include "anvil/log.h"

static void
on_signal (evutil_socket_t unused_number, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static void
serve (const upstream_context_t *context, const upstream_admin_t *admin, guint32 address)
{
  struct event *terminate = evsignal_new (context->base, SIGTERM, on_signal, context->base);
  struct event *interrupt = evsignal_new (context->base, SIGINT, on_signal, context->base);
  char *endpoint = anvil_endpoint_format (address, upstream_admin_port (admin));

  signal (SIGPIPE, SIG_IGN);
  evsignal_add (terminate, NULL);
  evsignal_add (interrupt, NULL);
  anvil_log (ANVIL_LOG_NOTICE, "upstream", "ready upstreams=%u, listening on %s",
             context->config->n_upstreams, endpoint);
  g_free (endpoint);
  event_base_dispatch (context->base);
  event_free (interrupt);
  event_free (terminate);
}

static int
run (const anvil_setting_t *items)
{
  upstream_context_t context = { .base = event_base_new () };
  const anvil_setting_t *endpoint = &items[UPSTREAM_ADMIN];
  upstream_fleet_t *fleet = NULL;
  upstream_admin_t *admin = NULL;
  GError *error = NULL;

  if (upstream_context_load (&context, items, &error))
    fleet = upstream_fleet_open (&context, &error);
  if (fleet != NULL)
    admin = upstream_admin_open (&context, fleet, endpoint->address, endpoint->port, &error);
  if (admin != NULL)
    serve (&context, admin, endpoint->address);
  upstream_admin_close (admin);
  upstream_fleet_close (fleet);
  upstream_context_clear (&context);
  event_base_free (context.base);
  if (error == NULL)
    return EXIT_SUCCESS;
  fprintf (stderr, "anvil-upstream: %s\n", error->message);
  g_error_free (error);
  return EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[UPSTREAM_N_SETTINGS] = {
    [UPSTREAM_CONFIG] = { .name = "config",
                          .kind = ANVIL_SETTING_TEXT,
                          .help = "Configuration file that defines the upstreams",
                          .required = TRUE },
    [UPSTREAM_ADMIN]
    = { .name = "admin",
        .kind = ANVIL_SETTING_ENDPOINT,
        .help = "Address and port for faults and reports, port 0 for any free port",
        .default_value = "127.0.0.1:0" },
    [UPSTREAM_VMS] = { .name = "vms",
                       .kind = ANVIL_SETTING_TEXT,
                       .help = "JSON file with VMs, which maps addresses to zones" },
    [UPSTREAM_SERVICE_MS]
    = { .name = "service-ms",
        .kind = ANVIL_SETTING_TEXT,
        .help = "Mean service times in ms, galeria=60,attest=40; 60 by default" },
    [UPSTREAM_LOAD_LAG] = { .name = "load-lag-ms",
                            .kind = ANVIL_SETTING_INTEGER,
                            .help = "Maximum age of a load report",
                            .default_value = "1000",
                            .minimum = 1,
                            .maximum = 600000 },
    [UPSTREAM_BACKLOG]
    = { .name = "backlog",
        .kind = ANVIL_SETTING_INTEGER,
        .help = "Maximum number of requests that wait at an upstream; more are shed",
        .default_value = "2",
        .maximum = 100000 },
    [UPSTREAM_COLD_REQUESTS] = { .name = "cold-requests",
                                 .kind = ANVIL_SETTING_INTEGER,
                                 .help = "Number of slow requests after a start",
                                 .default_value = "20",
                                 .maximum = 1000000 },
    [UPSTREAM_COLD_FACTOR]
    = { .name = "cold-factor",
        .kind = ANVIL_SETTING_INTEGER,
        .help = "Factor on the service time after a start or on a cache miss",
        .default_value = "3",
        .minimum = 1,
        .maximum = 1000 },
    [UPSTREAM_CACHE_OBJECTS] = { .name = "cache-objects",
                                 .kind = ANVIL_SETTING_INTEGER,
                                 .help = "Capacity of an upstream's cache in objects",
                                 .default_value = "1000",
                                 .minimum = 1,
                                 .maximum = 1000000 },
    [UPSTREAM_SEED] = { .name = "seed",
                        .kind = ANVIL_SETTING_INTEGER,
                        .help = "Seed of random service times and faults",
                        .default_value = "1",
                        .maximum = G_MAXUINT32 },
  };
  anvil_settings_t settings
      = { .program = "anvil-upstream", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  int status = outcome == ANVIL_SETTINGS_INVALID ? 2 : EXIT_SUCCESS;

  if (outcome == ANVIL_SETTINGS_RUN)
    status = run (items);
  anvil_settings_clear (&settings);
  return status;
}
