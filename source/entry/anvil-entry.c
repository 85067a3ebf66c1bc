/* anvil-entry: daemon that forwards requests of callers to upstreams. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "entry.h"

#define EXIT_INVALID_SETTINGS 2

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  anvil_entry_shut_down (data);
}

static int
run (struct event_base *base, const anvil_entry_settings_t *settings)
{
  GError *error = NULL;
  anvil_entry_t *entry = anvil_entry_open (base, settings, &error);
  struct event *terminate;
  struct event *interrupt;
  int status;

  if (entry == NULL)
    {
      fprintf (stderr, "anvil-entry: %s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  terminate = evsignal_new (base, SIGTERM, on_signal, entry);
  interrupt = evsignal_new (base, SIGINT, on_signal, entry);
  event_add (terminate, NULL);
  event_add (interrupt, NULL);
  event_base_dispatch (base);
  status = anvil_entry_requests_aborted (entry) ? EXIT_FAILURE : EXIT_SUCCESS;
  event_free (terminate);
  event_free (interrupt);
  anvil_entry_close (entry);
  return status;
}

int
main (int argc, char **argv)
{
  anvil_entry_settings_t settings;
  struct event_base *base;
  int status;

  switch (anvil_entry_settings_load (&settings, argc, (const char **) argv))
    {
    case ANVIL_SETTINGS_EXIT:
      return EXIT_SUCCESS;
    case ANVIL_SETTINGS_INVALID:
      return EXIT_INVALID_SETTINGS;
    case ANVIL_SETTINGS_RUN:
      break;
    }
  signal (SIGPIPE, SIG_IGN);
  anvil_log_set_level (settings.log_level);
  base = event_base_new ();
  status = run (base, &settings);
  event_base_free (base);
  anvil_entry_settings_clear (&settings);
  return status;
}
