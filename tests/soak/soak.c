/*
 * Soak test: runs entries, upstreams and a store as real processes, injects faults from outside,
 * and checks the platform's guarantees by the outcomes at callers and the runs on upstreams.
 *
 *   soak --seed N --seconds N [--entries N] [--upstreams N] [--rate N] [--limits 0|1]
 *        [--words 0|1]
 *
 * Prints a line for each violated guarantee (at most the first few of each) and one with totals;
 * the exit status is 1 if there was a violation.
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

/* Longer than entries may dispatch to a draining upstream, so that late runs are still logged. */
#define UPSTREAM_DRAIN_MS 8000
#define MIN_FAULT_INTERVAL_MS 150
#define MAX_FAULT_INTERVAL_MS 1200
#define MIN_FAULT_MS 200
#define MAX_FAULT_MS 3500
/* Time between two changes of request limits. */
#define LIMIT_PERIOD_S 2
/* Time between two changes of what upstreams say in their answers. */
#define WORD_PERIOD_US 500000
/* Time for which an upstream says that it leaves before it does. */
#define MIN_LEAVING_MS 1500
#define MAX_LEAVING_MS 6000
#define LEAVING_RETRY_MS 500
/* Fraction of the requests that each upstream refuses once. */
#define REFUSAL_RATIO 0.1
/* Time without faults at the end, in which requests must be answered again. */
#define RECOVERY_PHASE_S 10
/* Drills follow each other while entries still wait for rows of the last one. */
#define DRILL_PERIOD_S 3
#define MIN_AWAY_MS 100
#define MAX_AWAY_MS 800
#define MIN_COPY_AGE_MS 200
#define MAX_COPY_AGE_MS 5000
/* Until the first lost row is written again; the others follow within a fraction of a second. */
#define MAX_REWRITE_MS 2500
#define DRILL_SETTLE_MS 1000

/** undo_t - a scheduled end of a fault; @node is NULL for the store */
typedef struct
{
  soak_t *soak;
  node_t *node;
  void (*undo) (soak_t *soak, node_t *node);
} undo_t;

static guint
draw (GRand *random, guint minimum, guint maximum)
{
  return (guint) g_rand_int_range (random, (gint32) minimum, (gint32) maximum + 1);
}

static guint
random_in_range (soak_t *soak, guint minimum, guint maximum)
{
  return draw (soak->random, minimum, maximum);
}

static void
log_event (soak_t *soak, const char *what, const char *who)
{
  printf ("%.3f %s %s\n", (gdouble) anvil_clock_wall () / (gdouble) ANVIL_SECOND, what, who);
  fflush (stdout);
}

static void
record_fault_time (soak_t *soak, node_t *node)
{
  gint64 now = anvil_clock_wall ();

  g_array_append_val (node != NULL ? node->fault_times : soak->store_fault_times, now);
}

static void
on_undo (evutil_socket_t unused_fd, short unused_what, void *data)
{
  undo_t *undo = data;

  undo->undo (undo->soak, undo->node);
  record_fault_time (undo->soak, undo->node);
  if (undo->node != NULL)
    undo->node->fault_active = FALSE;
  else
    undo->soak->store_fault_active = FALSE;
  g_free (undo);
}

/* Ends a fault after a time; @node is NULL for the store. */
static void
schedule_undo_in (soak_t *soak, node_t *node, void (*undo) (soak_t *, node_t *), guint ms)
{
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
  undo_t *pending = g_new0 (undo_t, 1);

  *pending = (undo_t){ .soak = soak, .node = node, .undo = undo };
  record_fault_time (soak, node);
  if (node != NULL)
    node->fault_active = TRUE;
  else
    soak->store_fault_active = TRUE;
  soak->n_faults++;
  event_base_once (soak->base, -1, EV_TIMEOUT, on_undo, pending, &time);
}

/* Ends a fault after a random time; @node is NULL for the store. */
static void
schedule_undo (soak_t *soak, node_t *node, void (*undo) (soak_t *, node_t *))
{
  schedule_undo_in (soak, node, undo, random_in_range (soak, MIN_FAULT_MS, MAX_FAULT_MS));
}

static void
start_upstream (soak_t *soak, node_t *node)
{
  char *line;
  char **arguments;

  g_free (node->id);
  node->id = g_strdup_printf ("u%u", ++soak->n_upstream_starts);
  line = g_strdup_printf (
      "--store %s --id %s --service photos --zone west-a --advertise 127.0.0.1:%u "
      "--runs %s --drain-ms %d --slots 3 --work-ms 40 --warm-ms 10",
      soak->fleet.store.endpoint, node->id, fault_proxy_port (node->proxy), node->runs_path,
      UPSTREAM_DRAIN_MS);
  arguments = g_strsplit (line, " ", -1);
  standin_open (&node->upstream, "anvil-registrant", (const char *const *) arguments);
  fault_proxy_set_target (node->proxy, fleet_port (&node->upstream));
  g_strfreev (arguments);
  g_free (line);
}

static void
kill_upstream (node_t *node, int signal_number)
{
  kill (node->upstream.pid, signal_number);
  kill (node->upstream.pid, SIGCONT);
  waitpid (node->upstream.pid, NULL, 0);
  close (node->upstream.stderr_fd);
}

static void
undo_entry_stop (soak_t *soak, node_t *node)
{
  kill (node->entry->pid, SIGCONT);
}

static void
undo_entry_kill (soak_t *soak, node_t *node)
{
  fleet_start_entry (&soak->fleet, node->entry);
}

static void
undo_entry_term (soak_t *soak, node_t *node)
{
  int status = 0;
  pid_t pid = waitpid (node->entry->pid, &status, WNOHANG);

  /* Still shutting down: killed at the end of its shutdown time, as the platform does. */
  if (pid == 0)
    {
      kill (node->entry->pid, SIGKILL);
      waitpid (node->entry->pid, &status, 0);
    }
  fleet_start_entry (&soak->fleet, node->entry);
}

static void
undo_upstream_kill (soak_t *soak, node_t *node)
{
  start_upstream (soak, node);
}

static void
undo_upstream_term (soak_t *soak, node_t *node)
{
  kill_upstream (node, SIGKILL);
  /* With the store unavailable a stale row of the upstream remains, as may happen in production. */
  if (!fleet_try_put_row (&soak->fleet, "servers", node->id, NULL))
    log_event (soak, "stale row remains of", node->id);
  start_upstream (soak, node);
}

static void
undo_upstream_stop (soak_t *soak, node_t *node)
{
  kill (node->upstream.pid, SIGCONT);
}

static void
undo_proxy_fault (soak_t *soak, node_t *node)
{
  fault_proxy_set_fault (node != NULL ? node->proxy : soak->store_proxy, FAULT_PROXY_NONE, 0);
}

static void
undo_store_fault (soak_t *soak, node_t *node)
{
  fleet_set_store_fault (&soak->fleet, "none", 0);
}

static void
inject_entry_fault (soak_t *soak, node_t *node)
{
  static const struct
  {
    const char *what;
    int signal_number;
    void (*undo) (soak_t *, node_t *);
  } kinds[] = { { "entry is stopped", SIGSTOP, undo_entry_stop },
                { "entry is killed", SIGKILL, undo_entry_kill },
                { "entry receives SIGTERM", SIGTERM, undo_entry_term } };
  guint kind = random_in_range (soak, 0, G_N_ELEMENTS (kinds) - 1);

  if (node->fault_active)
    return;
  log_event (soak, kinds[kind].what, node->entry->name);
  kill (node->entry->pid, kinds[kind].signal_number);
  if (kinds[kind].signal_number == SIGKILL)
    waitpid (node->entry->pid, NULL, 0);
  schedule_undo (soak, node, kinds[kind].undo);
}

static void
inject_proxy_fault (soak_t *soak, node_t *node)
{
  static const char *const names[] = { "", "connections are delayed", "connections are blackholed",
                                       "responses are blackholed", "all connections are reset" };
  fault_proxy_kind_t fault
      = (fault_proxy_kind_t) random_in_range (soak, FAULT_PROXY_DELAY, FAULT_PROXY_RESET);

  log_event (soak, names[fault], node != NULL ? node->id : "store");
  fault_proxy_set_fault (node != NULL ? node->proxy : soak->store_proxy, fault,
                         random_in_range (soak, 20, 400));
  schedule_undo (soak, node, undo_proxy_fault);
}

/* Sets what an upstream says in its answers; an empty value ends that. */
static void
set_word (const node_t *node, const char *word, const char *value)
{
  char *path = g_strdup_printf ("/%s?value=%s", word, value);

  g_free (fleet_request (fleet_port (&node->upstream), "POST", path, word));
  g_free (path);
}

/* An upstream names a request limit, or ends it; none that can't answer because of a fault. Drawn
 * from a generator of its own, so that seeds without limits keep their histories. */
static void
on_limit_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  static const char *const limits[] = { "", "", "0", "0.5", "2", "5" };
  soak_t *soak = data;
  guint index = (guint) g_rand_int_range (soak->limit_random, 0, (gint32) soak->n_upstreams);
  guint limit = (guint) g_rand_int_range (soak->limit_random, 0, G_N_ELEMENTS (limits));

  if (soak->upstreams[index].fault_active)
    return;
  log_event (soak, limits[limit][0] != '\0' ? "upstream names a limit" : "upstream names no limit",
             soak->upstreams[index].id);
  set_word (&soak->upstreams[index], "limit", limits[limit]);
}

static void
end_request_limits (soak_t *soak)
{
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      if (!soak->upstreams[i].fault_active)
        set_word (&soak->upstreams[i], "limit", "");
    }
}

/** leaving_t - a process of an upstream that says that it leaves */
typedef struct
{
  soak_t *soak;
  node_t *node;
  char *id;
} leaving_t;

static void on_leaving_ended (evutil_socket_t fd, short what, void *data);

static void
schedule_leaving_end (leaving_t *leaving, guint ms)
{
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };

  event_base_once (leaving->soak->base, -1, EV_TIMEOUT, on_leaving_ended, leaving, &time);
}

/* The process drains or is killed, and a new one starts, unless a fault has replaced it already. */
static void
on_leaving_ended (evutil_socket_t unused_fd, short unused_what, void *data)
{
  leaving_t *leaving = data;
  soak_t *soak = leaving->soak;
  node_t *node = leaving->node;
  gboolean drains = g_rand_boolean (soak->word_random);

  if (strcmp (leaving->id, node->id) == 0 && node->fault_active)
    {
      schedule_leaving_end (leaving, LEAVING_RETRY_MS);
      return;
    }
  if (strcmp (leaving->id, node->id) == 0)
    {
      log_event (soak, drains ? "leaving upstream drains" : "leaving upstream is killed", node->id);
      if (drains)
        kill (node->upstream.pid, SIGTERM);
      else
        kill_upstream (node, SIGKILL);
      schedule_undo_in (soak, node, drains ? undo_upstream_term : undo_upstream_kill,
                        draw (soak->word_random, MIN_FAULT_MS, MAX_FAULT_MS));
    }
  g_free (leaving->id);
  g_free (leaving);
}

static void
begin_leaving (soak_t *soak, node_t *node)
{
  leaving_t *leaving = g_new0 (leaving_t, 1);

  *leaving = (leaving_t){ .soak = soak, .node = node, .id = g_strdup (node->id) };
  log_event (soak, "upstream says that it leaves", node->id);
  set_word (node, "leaving", "1");
  /* Callers see no response of an upstream that refuses all requests. */
  if (draw (soak->word_random, 0, 3) > 0)
    set_word (node, "retry-after", "");
  schedule_leaving_end (leaving, draw (soak->word_random, MIN_LEAVING_MS, MAX_LEAVING_MS));
}

/* Returns a random upstream that can answer, as it has no fault, or NULL. */
static node_t *
draw_upstream (soak_t *soak)
{
  guint first = draw (soak->word_random, 0, soak->n_upstreams - 1);

  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      node_t *node = &soak->upstreams[(first + i) % soak->n_upstreams];

      if (!node->fault_active)
        return node;
    }
  return NULL;
}

/* An upstream says that it leaves, asks for pauses in seconds, or asks for none any more. */
static void
on_word_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  static const char *const pauses[] = { "", "", "", "0.3", "1", "3", "4.5" };
  soak_t *soak = data;
  node_t *node = draw_upstream (soak);
  const char *pause = pauses[draw (soak->word_random, 0, G_N_ELEMENTS (pauses) - 1)];
  gboolean leaves = draw (soak->word_random, 0, 3) == 0;

  if (node == NULL)
    return;
  if (leaves)
    {
      begin_leaving (soak, node);
      return;
    }
  log_event (soak, pause[0] != '\0' ? "upstream asks for pauses" : "upstream asks for no pauses",
             node->id);
  set_word (node, "retry-after", pause);
}

static void
end_pauses (soak_t *soak)
{
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      if (!soak->upstreams[i].fault_active)
        set_word (&soak->upstreams[i], "retry-after", "");
    }
}

static void
reset_connections (node_t *node)
{
  gint64 now = anvil_clock_wall ();

  g_array_append_val (node->reset_times, now);
  fault_proxy_reset_connections (node->proxy);
}

static void
inject_upstream_fault (soak_t *soak, node_t *node)
{
  if (node->fault_active)
    return;
  switch (random_in_range (soak, 0, 4))
    {
    case 0:
      log_event (soak, "upstream is killed", node->id);
      kill_upstream (node, SIGKILL);
      schedule_undo (soak, node, undo_upstream_kill);
      return;
    case 1:
      log_event (soak, "upstream drains", node->id);
      kill (node->upstream.pid, SIGTERM);
      schedule_undo (soak, node, undo_upstream_term);
      return;
    case 2:
      log_event (soak, "upstream is stopped", node->id);
      kill (node->upstream.pid, SIGSTOP);
      schedule_undo (soak, node, undo_upstream_stop);
      return;
    case 3:
      log_event (soak, "upstream's connections are reset", node->id);
      reset_connections (node);
      return;
    default:
      inject_proxy_fault (soak, node);
      return;
    }
}

static void
inject_store_fault (soak_t *soak)
{
  static const char *const kinds[] = { "busy", "silent", "lose", "compact" };
  guint kind = random_in_range (soak, 0, G_N_ELEMENTS (kinds));

  if (soak->store_fault_active)
    return;
  if (kind == G_N_ELEMENTS (kinds))
    {
      inject_proxy_fault (soak, NULL);
      return;
    }
  log_event (soak, "store:", kinds[kind]);
  fleet_set_store_fault (&soak->fleet, kinds[kind], MAX_FAULT_MS);
  schedule_undo (soak, NULL, undo_store_fault);
}

/* The store comes back from an older copy; the times of the fault include those in which rows are
 * missing. */
static void
on_drill_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  soak_t *soak = data;
  const guint away_ms = draw (soak->drill_random, MIN_AWAY_MS, MAX_AWAY_MS);
  const guint age_ms = draw (soak->drill_random, MIN_COPY_AGE_MS, MAX_COPY_AGE_MS);
  const guint rewrite_ms = draw (soak->drill_random, 0, MAX_REWRITE_MS);

  if (soak->store_fault_active)
    return;
  log_event (soak, "store:", "drill");
  fleet_start_drill (&soak->fleet, away_ms, age_ms, rewrite_ms);
  schedule_undo_in (soak, NULL, undo_store_fault, away_ms + rewrite_ms + DRILL_SETTLE_MS);
}

static void
schedule_next_fault (soak_t *soak)
{
  guint ms = random_in_range (soak, MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS);
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t) (ms % 1000) * 1000 };

  event_add (soak->fault_timer, &time);
}

static void
on_fault_timer (evutil_socket_t unused_fd, short unused_what, void *data)
{
  soak_t *soak = data;
  guint choice = random_in_range (soak, 0, 9);

  if (choice < 3)
    inject_entry_fault (soak, &soak->entries[random_in_range (soak, 0, soak->n_entries - 1)]);
  else if (choice < 8)
    inject_upstream_fault (soak,
                           &soak->upstreams[random_in_range (soak, 0, soak->n_upstreams - 1)]);
  else
    inject_store_fault (soak);
  schedule_next_fault (soak);
}

static void
on_timeout (evutil_socket_t unused_fd, short unused_what, void *data)
{
  event_base_loopbreak (data);
}

static void
run_for (soak_t *soak, guint seconds)
{
  struct timeval time = { .tv_sec = seconds };

  event_base_once (soak->base, -1, EV_TIMEOUT, on_timeout, soak->base, &time);
  event_base_dispatch (soak->base);
}

static void
start_processes (soak_t *soak)
{
  static const char *const zones[] = { "west-a", "west-b", "east-a" };

  fleet_open (&soak->fleet);
  soak->store_proxy = fault_proxy_open (soak->base);
  fault_proxy_set_target (soak->store_proxy, fleet_port (&soak->fleet.store));
  soak->store_endpoint = g_strdup_printf ("127.0.0.1:%u", fault_proxy_port (soak->store_proxy));
  soak->fleet.entry_store_endpoint = soak->store_endpoint;
  fleet_configure (&soak->fleet, NULL);
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      node_t *node = &soak->upstreams[i];

      node->proxy = fault_proxy_open (soak->base);
      node->runs_path = g_strdup_printf ("%s/runs-%u", soak->fleet.directory, i);
      start_upstream (soak, node);
    }
  for (guint i = 0; i < soak->n_entries; i++)
    {
      char *name = g_strdup_printf ("e%u", i);

      soak->entries[i].entry
          = fleet_add_entry (&soak->fleet, name, zones[i % G_N_ELEMENTS (zones)]);
      soak->caller_ports[i] = soak->entries[i].entry->caller_port;
      g_free (name);
    }
  /* The processes start while the proxies in this process forward their connections. */
  run_for (soak, 3);
}

static void
stop_processes (soak_t *soak)
{
  for (guint i = 0; i < soak->n_upstreams; i++)
    {
      node_t *node = &soak->upstreams[i];

      kill_upstream (node, SIGKILL);
      g_unlink (node->runs_path);
      g_free (node->runs_path);
      g_free (node->id);
      fault_proxy_close (node->proxy);
    }
  fault_proxy_close (soak->store_proxy);
  soak_callers_close (soak->callers);
  fleet_close (&soak->fleet);
  g_free (soak->store_endpoint);
}

/* No entry may exit by itself. */
static void
check_processes (soak_t *soak)
{
  for (guint i = 0; i < soak->n_entries; i++)
    {
      int status = 0;

      if (waitpid (soak->entries[i].entry->pid, &status, WNOHANG) == 0)
        continue;
      soak->n_violations++;
      printf ("BROKEN processes stay up: entry %u ended with status %d\n", i, status);
      fleet_start_entry (&soak->fleet, soak->entries[i].entry);
    }
}

static int
run (soak_t *soak,
     guint seconds,
     gdouble rate,
     gboolean with_limits,
     gboolean with_words,
     gboolean with_drills)
{
  const struct timeval drill_period = { .tv_sec = DRILL_PERIOD_S };
  struct event *drill_timer = event_new (soak->base, -1, EV_PERSIST, on_drill_timer, soak);
  const struct timeval word_period = { .tv_usec = WORD_PERIOD_US };
  struct event *word_timer = event_new (soak->base, -1, EV_PERSIST, on_word_timer, soak);
  const struct timeval limit_period = { .tv_sec = LIMIT_PERIOD_S };
  struct event *limit_timer = event_new (soak->base, -1, EV_PERSIST, on_limit_timer, soak);
  gint64 faults_ended_at;

  start_processes (soak);
  soak->callers = soak_callers_open (soak->base, soak->caller_ports, soak->n_entries, soak->random,
                                     rate, 0.05, with_words ? REFUSAL_RATIO : 0, soak->word_random);
  soak->fault_timer = evtimer_new (soak->base, on_fault_timer, soak);
  schedule_next_fault (soak);
  if (with_limits)
    event_add (limit_timer, &limit_period);
  if (with_words)
    event_add (word_timer, &word_period);
  if (with_drills)
    event_add (drill_timer, &drill_period);
  run_for (soak, seconds);
  event_free (soak->fault_timer);
  event_free (limit_timer);
  event_free (word_timer);
  event_free (drill_timer);
  soak_callers_disable_faults (soak->callers);
  /* Active faults end by their timers. */
  run_for (soak, MAX_FAULT_MS / 1000 + 1);
  if (with_words)
    run_for (soak, MAX_LEAVING_MS / 1000);
  if (with_drills)
    run_for (soak, (MAX_AWAY_MS + MAX_REWRITE_MS + DRILL_SETTLE_MS) / 1000);
  if (with_limits)
    end_request_limits (soak);
  if (with_words)
    end_pauses (soak);
  faults_ended_at = anvil_clock_wall ();
  run_for (soak, RECOVERY_PHASE_S);
  soak_callers_stop (soak->callers);
  run_for (soak, 6);
  check_processes (soak);
  soak_check_requests (soak, faults_ended_at);
  stop_processes (soak);
  return soak->n_violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
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
      .help = "Seconds with faults",
      .default_value = "30",
      .minimum = 1,
      .maximum = 86400 },
    { .name = "entries",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Number of entries",
      .default_value = "3",
      .minimum = 1,
      .maximum = MAX_ENTRIES },
    { .name = "upstreams",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Number of upstreams",
      .default_value = "6",
      .minimum = 1,
      .maximum = MAX_UPSTREAMS },
    { .name = "rate",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "Requests per second",
      .default_value = "60",
      .minimum = 1,
      .maximum = 100000 },
    { .name = "limits",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "1 if upstreams name request limits",
      .default_value = "0",
      .minimum = 0,
      .maximum = 1 },
    { .name = "drills",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "1 if the store comes back from an older copy every few seconds",
      .default_value = "0",
      .minimum = 0,
      .maximum = 1 },
    { .name = "words",
      .kind = ANVIL_SETTING_INTEGER,
      .help = "1 if upstreams say that they leave and ask for pauses, and callers repeat requests",
      .default_value = "0",
      .minimum = 0,
      .maximum = 1 },
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
  soak->violations = g_hash_table_new (g_str_hash, g_str_equal);
  soak->store_fault_times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < MAX_ENTRIES; i++)
    soak->entries[i].fault_times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < MAX_UPSTREAMS; i++)
    {
      soak->upstreams[i].fault_times = g_array_new (FALSE, FALSE, sizeof (gint64));
      soak->upstreams[i].reset_times = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  soak->random = g_rand_new_with_seed ((guint32) items[0].integer);
  soak->limit_random = g_rand_new_with_seed ((guint32) items[0].integer);
  soak->word_random = g_rand_new_with_seed (~(guint32) items[0].integer);
  soak->drill_random = g_rand_new_with_seed (~(guint32) items[0].integer);
  soak->n_entries = (guint) items[2].integer;
  soak->n_upstreams = (guint) items[3].integer;
  status = run (soak, (guint) items[1].integer, (gdouble) items[4].integer, items[5].integer != 0,
                items[7].integer != 0, items[6].integer != 0);
  /* Callbacks that libevent has deferred hold what was closed. */
  event_base_loop (soak->base, EVLOOP_NONBLOCK);
  event_base_free (soak->base);
  g_rand_free (soak->random);
  g_rand_free (soak->limit_random);
  g_rand_free (soak->word_random);
  g_rand_free (soak->drill_random);
  g_hash_table_unref (soak->violations);
  g_array_unref (soak->store_fault_times);
  for (guint i = 0; i < MAX_ENTRIES; i++)
    g_array_unref (soak->entries[i].fault_times);
  for (guint i = 0; i < MAX_UPSTREAMS; i++)
    {
      g_array_unref (soak->upstreams[i].fault_times);
      g_array_unref (soak->upstreams[i].reset_times);
    }
  g_free (soak);
  anvil_settings_clear (&settings);
  return status;
}
