/*
 * soak: entries, upstreams and a store as real processes, faults from outside,
 * and the promises checked from what callers and upstreams saw.
 *
 *   soak --seed N --seconds N [--entries N] [--upstreams N] [--rate N]
 *
 * Ends with one line that names every broken promise, and exit status 1 if
 * there is one.
 */

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "anvil/clock.h"
#include "anvil/settings.h"
#include "soak.h"

/* Upstreams go on serving for longer than entries may send, so that late ones are seen. */
#define SERVES_ON_MS 8000
/* Pauses between faults, and how long they last, milliseconds. */
#define LEAST_PAUSE_MS 150
#define MOST_PAUSE_MS 1200
#define LEAST_FAULT_MS 200
#define MOST_FAULT_MS 3500
/* Time without faults at the end, in which everything must be served again. */
#define CALM_S 10

/** undo_t - ends a fault */
typedef struct
{
  soak_t *soak;
  node_t *node;
  void (*undo) (soak_t *soak, node_t *node);
} undo_t;

static guint
draw (soak_t *soak, guint least, guint most)
{
  return (guint) g_rand_int_range (soak->random, (gint32) least, (gint32) most + 1);
}

static void
say (soak_t *soak, const char *what, const char *who)
{
  printf ("%.3f %s %s\n", (gdouble) anvil_clock_wall () / (gdouble) ANVIL_SECOND, what, who);
  fflush (stdout);
}

static void
harmed (soak_t *soak, node_t *node)
{
  gint64 now = anvil_clock_wall ();

  g_array_append_val (node != NULL ? node->harms : soak->store_harms, now);
}

static void
on_undo (evutil_socket_t unused_fd, short unused_what, void *data)
{
  undo_t *undo = data;

  undo->undo (undo->soak, undo->node);
  harmed (undo->soak, undo->node);
  if (undo->node != NULL)
    undo->node->busy = FALSE;
  else
    undo->soak->store_busy = FALSE;
  g_free (undo);
}

/* Ends the fault of a node, or of the store where @node is NULL, after a while. */
static void
undo_later (soak_t *soak, node_t *node, void (*undo) (soak_t *, node_t *))
{
  guint ms = draw (soak, LEAST_FAULT_MS, MOST_FAULT_MS);
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  undo_t *later = g_new0 (undo_t, 1);

  *later = (undo_t){ .soak = soak, .node = node, .undo = undo };
  harmed (soak, node);
  if (node != NULL)
    node->busy = TRUE;
  else
    soak->store_busy = TRUE;
  soak->n_faults++;
  event_base_once (soak->base, -1, EV_TIMEOUT, on_undo, later, &time);
}

static void
start_upstream (soak_t *soak, node_t *node)
{
  char *line;
  char **arguments;

  g_free (node->id);
  node->id = g_strdup_printf ("u%u", ++soak->starts);
  line = g_strdup_printf (
      "--store %s --id %s --service photos --zone west-a --advertise 127.0.0.1:%u "
      "--runs %s --drain-ms %d --slots 3 --work-ms 40 --warm-ms 10",
      soak->fleet.store.endpoint, node->id, soak_proxy_port (node->proxy), node->notes,
      SERVES_ON_MS);
  arguments = g_strsplit (line, " ", -1);
  standin_open (&node->upstream, "anvil-registrant", (const char *const *) arguments);
  soak_proxy_set_target (node->proxy, fleet_port (&node->upstream));
  g_strfreev (arguments);
  g_free (line);
}

static void
end_upstream (node_t *node, int number)
{
  kill (node->upstream.pid, number);
  kill (node->upstream.pid, SIGCONT);
  waitpid (node->upstream.pid, NULL, 0);
  close (node->upstream.stderr_fd);
}

static void
undo_stop_entry (soak_t *soak, node_t *node)
{
  kill (node->entry->pid, SIGCONT);
}

static void
undo_kill_entry (soak_t *soak, node_t *node)
{
  fleet_start_entry (&soak->fleet, node->entry);
}

static void
undo_term_entry (soak_t *soak, node_t *node)
{
  int status = 0;
  pid_t pid = waitpid (node->entry->pid, &status, WNOHANG);

  /* It may still deliver; it's killed at the end of its grace time as the platform does. */
  if (pid == 0)
    {
      kill (node->entry->pid, SIGKILL);
      waitpid (node->entry->pid, &status, 0);
    }
  fleet_start_entry (&soak->fleet, node->entry);
}

static void
undo_kill_upstream (soak_t *soak, node_t *node)
{
  start_upstream (soak, node);
}

static void
undo_term_upstream (soak_t *soak, node_t *node)
{
  end_upstream (node, SIGKILL);
  /* A row that the store keeps names an upstream that is gone, which may happen too. */
  if (!fleet_try_put_row (&soak->fleet, "servers", node->id, NULL))
    say (soak, "row stays", node->id);
  start_upstream (soak, node);
}

static void
undo_stop_upstream (soak_t *soak, node_t *node)
{
  kill (node->upstream.pid, SIGCONT);
}

static void
undo_proxy (soak_t *soak, node_t *node)
{
  soak_proxy_harm (node != NULL ? node->proxy : soak->store_proxy, SOAK_HARM_NONE, 0);
}

static void
undo_store (soak_t *soak, node_t *node)
{
  fleet_set_store_fault (&soak->fleet, "none", 0);
}

static void
harm_entry (soak_t *soak, node_t *node)
{
  static const struct
  {
    const char *what;
    int number;
    void (*undo) (soak_t *, node_t *);
  } kinds[] = { { "entry stops", SIGSTOP, undo_stop_entry },
                { "entry is killed", SIGKILL, undo_kill_entry },
                { "entry is told to end", SIGTERM, undo_term_entry } };
  guint kind = draw (soak, 0, G_N_ELEMENTS (kinds) - 1);

  if (node->busy)
    return;
  say (soak, kinds[kind].what, node->entry->name);
  kill (node->entry->pid, kinds[kind].number);
  if (kinds[kind].number == SIGKILL)
    waitpid (node->entry->pid, NULL, 0);
  undo_later (soak, node, kinds[kind].undo);
}

static void
harm_proxy (soak_t *soak, node_t *node)
{
  static const char *const names[]
      = { "", "is delayed", "is silent", "is cut one way", "is refused" };
  soak_harm_t harm = (soak_harm_t) draw (soak, SOAK_HARM_DELAY, SOAK_HARM_REFUSE);

  say (soak, names[harm], node != NULL ? node->id : "store");
  soak_proxy_harm (node != NULL ? node->proxy : soak->store_proxy, harm, draw (soak, 20, 400));
  undo_later (soak, node, undo_proxy);
}

static void
harm_upstream (soak_t *soak, node_t *node)
{
  if (node->busy)
    return;
  switch (draw (soak, 0, 4))
    {
    case 0:
      say (soak, "upstream is killed", node->id);
      end_upstream (node, SIGKILL);
      undo_later (soak, node, undo_kill_upstream);
      return;
    case 1:
      say (soak, "upstream drains", node->id);
      kill (node->upstream.pid, SIGTERM);
      undo_later (soak, node, undo_term_upstream);
      return;
    case 2:
      say (soak, "upstream stops", node->id);
      kill (node->upstream.pid, SIGSTOP);
      undo_later (soak, node, undo_stop_upstream);
      return;
    case 3:
      say (soak, "upstream's connections are reset", node->id);
      soak_proxy_reset (node->proxy);
      return;
    default:
      harm_proxy (soak, node);
      return;
    }
}

static void
harm_store (soak_t *soak)
{
  static const char *const kinds[] = { "busy", "silent", "lose", "compact" };
  guint kind = draw (soak, 0, G_N_ELEMENTS (kinds));

  if (soak->store_busy)
    return;
  if (kind == G_N_ELEMENTS (kinds))
    {
      harm_proxy (soak, NULL);
      return;
    }
  say (soak, "store:", kinds[kind]);
  fleet_set_store_fault (&soak->fleet, kinds[kind], MOST_FAULT_MS);
  undo_later (soak, NULL, undo_store);
}

static void
schedule (soak_t *soak)
{
  guint ms = draw (soak, LEAST_PAUSE_MS, MOST_PAUSE_MS);
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };

  event_add (soak->next_fault, &time);
}

static void
on_next_fault (evutil_socket_t unused_fd, short unused_what, void *data)
{
  soak_t *soak = data;
  guint choice = draw (soak, 0, 9);

  if (choice < 3)
    harm_entry (soak, &soak->entries[draw (soak, 0, soak->n_entries - 1)]);
  else if (choice < 8)
    harm_upstream (soak, &soak->upstreams[draw (soak, 0, soak->n_upstreams - 1)]);
  else
    harm_store (soak);
  schedule (soak);
}

static void
on_time_up (evutil_socket_t unused_fd, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static void
run_for (soak_t *soak, guint seconds)
{
  struct timeval time = { .tv_sec = seconds };

  event_base_once (soak->base, -1, EV_TIMEOUT, on_time_up, soak->base, &time);
  event_base_dispatch (soak->base);
}

static void
open_all (soak_t *soak)
{
  static const char *const zones[] = { "west-a", "west-b", "east-a" };

  fleet_open (&soak->fleet);
  soak->store_proxy = soak_proxy_open (soak->base);
  soak_proxy_set_target (soak->store_proxy, fleet_port (&soak->fleet.store));
  soak->store_endpoint = g_strdup_printf ("127.0.0.1:%u", soak_proxy_port (soak->store_proxy));
  soak->fleet.entry_store_endpoint = soak->store_endpoint;
  fleet_configure (&soak->fleet, NULL);
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      node_t *node = &soak->upstreams[i];

      node->proxy = soak_proxy_open (soak->base);
      node->notes = g_strdup_printf ("%s/runs-%u", soak->fleet.directory, i);
      start_upstream (soak, node);
    }
  for (guint i = 0; i < soak->n_entries; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      soak->entries[i].entry
          = fleet_add_entry (&soak->fleet, name, zones[i % G_N_ELEMENTS (zones)]);
      soak->ports[i] = soak->entries[i].entry->caller_port;
      g_free (name);
    }
  /* They come up while the proxies of this process pass their calls on. */
  run_for (soak, 3);
}

static void
close_all (soak_t *soak)
{
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      node_t *node = &soak->upstreams[i];

      end_upstream (node, SIGKILL);
      g_unlink (node->notes);
      g_free (node->notes);
      g_free (node->id);
      soak_proxy_close (node->proxy);
    }
  soak_proxy_close (soak->store_proxy);
  soak_callers_close (soak->callers);
  fleet_close (&soak->fleet);
  g_free (soak->store_endpoint);
}

/* An entry that ended by itself is a fault of ours. */
static void
check_processes (soak_t *soak)
{
  for (guint i = 0; i < soak->n_entries; i++)
    {
      int status = 0;

      if (waitpid (soak->entries[i].entry->pid, &status, WNOHANG) == 0)
        continue;
      soak->broken++;
      printf ("BROKEN processes stay up: entry %u ended with status %d\n", i, status);
      fleet_start_entry (&soak->fleet, soak->entries[i].entry);
    }
}

static int
run (soak_t *soak, guint seconds, gdouble rate)
{
  gint64 calm_at;

  open_all (soak);
  soak->callers
      = soak_callers_open (soak->base, soak->ports, soak->n_entries, soak->random, rate, 0.05);
  soak->next_fault = evtimer_new (soak->base, on_next_fault, soak);
  schedule (soak);
  run_for (soak, seconds);
  event_free (soak->next_fault);
  soak_callers_calm (soak->callers);
  /* Faults that are under way end by themselves. */
  run_for (soak, MOST_FAULT_MS / 1000 + 1);
  calm_at = anvil_clock_wall ();
  run_for (soak, CALM_S);
  soak_callers_stop (soak->callers);
  run_for (soak, 6);
  check_processes (soak);
  soak_check_requests (soak, calm_at);
  close_all (soak);
  return soak->broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  anvil_setting_t items[] = {
    { .name = "seed",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Seed of faults and requests",
      .default_value = "1",
      .minimum = 1,
      .maximum = G_MAXINT32 },
    { .name = "seconds",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "How long faults come",
      .default_value = "30",
      .minimum = 1,
      .maximum = 86400 },
    { .name = "entries",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Entries",
      .default_value = "3",
      .minimum = 1,
      .maximum = MAX_ENTRIES },
    { .name = "upstreams",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Upstreams",
      .default_value = "6",
      .minimum = 1,
      .maximum = MAX_UPSTREAMS },
    { .name = "rate",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Requests a second",
      .default_value = "60",
      .minimum = 1,
      .maximum = 100000 },
  };
  anvil_settings_t settings
      = { .program = "soak", .items = items, .n_items = G_N_ELEMENTS (items) };
  anvil_settings_outcome_t outcome = anvil_settings_load (&settings, argc, (const char **) argv);
  soak_t *soak;
  int status;

  if (outcome != ANVIL_SETTINGS_RUN)
    return outcome == ANVIL_SETTINGS_INVALID ? 2 : EXIT_SUCCESS;
  signal (SIGPIPE, SIG_IGN);
  soak = g_new0 (soak_t, 1);
  soak->base = event_base_new ();
  soak->store_harms = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < MAX_ENTRIES; i++)
    soak->entries[i].harms = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < MAX_UPSTREAMS; i++)
    soak->upstreams[i].harms = g_array_new (FALSE, FALSE, sizeof (gint64));
  soak->random = g_rand_new_with_seed ((guint32) items[0].integer);
  soak->n_entries = (guint) items[2].integer;
  soak->n_upstreams = (guint) items[3].integer;
  status = run (soak, (guint) items[1].integer, (gdouble) items[4].integer);
  event_base_free (soak->base);
  g_rand_free (soak->random);
  g_array_unref (soak->store_harms);
  for (guint i = 0; i < MAX_ENTRIES; i++)
    g_array_unref (soak->entries[i].harms);
  for (guint i = 0; i < MAX_UPSTREAMS; i++)
    g_array_unref (soak->upstreams[i].harms);
  g_free (soak);
  anvil_settings_clear (&settings);
  return status;
}
